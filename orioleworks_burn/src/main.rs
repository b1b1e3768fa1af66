//! Error budget report.

use orioleworks_burn::{app, cli};

fn main() {
    std::process::exit(app::run(&argh::from_env::<cli::Options>()));
}
