#!/usr/bin/env bash
# Prepares the stand-ins of review/6 to review/10. They are Python programs that use the standard library only, so that there is
# nothing to compile; this checks that they can run here, and that the programs of the deploy file are built.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'P'
import ast, glob, sys
assert sys.version_info >= (3, 9), "Python 3.9 or newer is needed"
for path in sorted(glob.glob("lib2/*.py") + glob.glob("[0-9]*/case.py")):
    ast.parse(open(path).read(), path)
P
for program in orioleworks-store orioleworks-gateway; do
    test -x "../target/release/$program" || { echo "target/release/$program is missing" >&2; exit 1; }
done
