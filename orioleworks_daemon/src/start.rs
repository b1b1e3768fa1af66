//! Start of a daemon: version, settings, `--check`, logs, runtime.

use std::{future::Future, path::PathBuf};

use compio::runtime::Runtime;
use orioleworks_proto::codes::exit;
use orioleworks_settings::{self as settings, Settings};

use crate::logging;

/// Command line options that all daemons share.
#[derive(Clone, Debug)]
pub struct StartOptions<'a> {
    /// Name of the program.
    pub program: &'a str,
    /// Settings file; without one, the path comes from the environment.
    pub config: Option<PathBuf>,
    /// Whether to check the settings and exit.
    pub check: bool,
    /// Whether to print the version and exit.
    pub version: bool,
}

/// Starts a daemon whose logs go to standard output, and returns its exit code.
pub fn run<T: Settings, F: Future<Output = i32>>(
    start: StartOptions<'_>,
    filter: impl Fn(&T) -> &str,
    serve: impl FnOnce(T, PathBuf) -> F,
) -> i32 {
    if start.version {
        println!("{} {}", start.program, env!("CARGO_PKG_VERSION"));
        return exit::OK;
    }
    let Some(path) = start.config.or_else(settings::path_from_environment) else {
        eprintln!("option --config is required; see --help");
        return exit::SETTINGS;
    };
    let cfg: T = match settings::load(&path) {
        Ok(cfg) => cfg,
        Err(e) => {
            eprintln!("{e}");
            return exit::SETTINGS;
        }
    };
    if start.check {
        println!("{}: settings are valid", path.display());
        return exit::OK;
    }
    logging::start_daemon(filter(&cfg));
    logging::abort_on_panic();
    let code = match Runtime::new() {
        Ok(runtime) => runtime.block_on(serve(cfg, path)),
        Err(e) => {
            eprintln!("the runtime cannot be started: {e}");
            exit::FAILED
        }
    };
    logging::finish();
    code
}
