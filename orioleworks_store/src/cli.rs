//! Command line of the store daemon.

use std::path::PathBuf;

use argh::FromArgs;

/// Store of the rollout service: keeps batches, routes and weight versions, and runs the items.
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
