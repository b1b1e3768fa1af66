//! Control daemon; see `docs/control.md`.

use orioleworks_control::{app, cli};

fn main() {
    std::process::exit(app::run(&argh::from_env::<cli::Options>()));
}
