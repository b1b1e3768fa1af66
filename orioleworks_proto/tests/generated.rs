//! Guards against committed code that no longer matches the `.proto` file.

#[path = "../examples/fields/mod.rs"]
mod fields;

use std::{fs, path::Path};

#[test]
fn committed_code_matches_the_proto_file() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let set = protox::compile([root.join("proto/inner.proto")], [root.join("proto")]).unwrap();
    let out = tempfile::tempdir().unwrap();
    let mut config = prost_build::Config::new();
    config.bytes(fields::BYTES_FIELDS).out_dir(out.path()).compile_fds(set).unwrap();
    let fresh = fs::read_to_string(out.path().join("inner.rs")).unwrap();
    let committed = fs::read_to_string(root.join("src/generated/inner.rs")).unwrap();
    assert_eq!(fresh, committed, "run `cargo run -p orioleworks_proto --example regenerate`");
}
