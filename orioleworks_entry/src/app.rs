//! Start, wiring and graceful shutdown of the entry daemon.

use orioleworks_proto::codes::exit;
use orioleworks_settings as settings;

use crate::{cli, config};

/// Runs the daemon and returns its exit code.
pub fn run(options: &cli::Options) -> i32 {
    if options.version {
        println!("orioleworks-entry {}", env!("CARGO_PKG_VERSION"));
        return exit::OK;
    }
    let Some(path) = &options.config else {
        eprintln!("option --config is required; see --help");
        return exit::SETTINGS;
    };
    let cfg: config::Config = match settings::load(path) {
        Ok(cfg) => cfg,
        Err(e) => {
            eprintln!("{e}");
            return exit::SETTINGS;
        }
    };
    if options.check {
        println!("{}: settings are valid", path.display());
        return exit::OK;
    }
    drop(cfg);
    exit::OK
}
