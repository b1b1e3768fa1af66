//! Store daemon; see `docs/platform.md`.

use orioleworks_store::{app, cli};

fn main() {
    std::process::exit(app::run(&argh::from_env::<cli::Options>()));
}
