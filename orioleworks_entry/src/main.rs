//! Entry daemon; see `docs/operators.md`.

use orioleworks_entry::{app, cli};

fn main() {
    std::process::exit(app::run(&argh::from_env::<cli::Options>()));
}
