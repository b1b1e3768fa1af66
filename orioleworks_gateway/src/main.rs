//! Gateway daemon; see `docs/platform.md`.

use orioleworks_gateway::{app, cli};

fn main() {
    std::process::exit(app::run(&argh::from_env::<cli::Options>()));
}
