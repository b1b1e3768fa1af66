//! Command line of the gateway daemon.

use std::path::PathBuf;

use argh::FromArgs;

/// Gateway of the rollout service: takes callers' requests and trainers' batches.
#[derive(Debug, FromArgs)]
pub struct Options {
    /// settings file, JSON with comments
    #[argh(option, short = 'c')]
    pub config: Option<PathBuf>,
    /// check the settings file and exit
    #[argh(switch)]
    pub check: bool,
    /// print the version and exit
    #[argh(switch, short = 'V')]
    pub version: bool,
}
