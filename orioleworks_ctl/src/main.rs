//! Operators' command line.

use orioleworks_ctl::{app, cli};

fn main() {
    std::process::exit(app::run(&argh::from_env::<cli::Options>()));
}
