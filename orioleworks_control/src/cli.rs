//! Command line of the control daemon.

use std::path::PathBuf;

use argh::FromArgs;

/// Control replica of the rollout service: keeps the replicated configuration, claims and leases.
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
