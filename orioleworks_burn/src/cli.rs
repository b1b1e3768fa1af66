//! Command line of the error budget report.

use std::path::PathBuf;

use argh::FromArgs;

/// Samples the entries' metrics and reports how fast the error budgets are spent.
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
    /// command
    #[argh(subcommand)]
    pub command: Option<Command>,
}

/// Commands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Takes samples.
    Sample(Sample),
    /// Reports.
    Report(Report),
}

/// Appends samples of all entries to the history file.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "sample")]
pub struct Sample {
    /// number of rounds, default 1; 0 continues until the process is stopped
    #[argh(option, default = "1")]
    pub rounds: u64,
    /// pause between two rounds in ms, default 30000
    #[argh(option, default = "30000")]
    pub every_ms: u64,
}

/// Prints the report of the history file.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "report")]
pub struct Report {
    /// request log of an entry; may be given more than once
    #[argh(option)]
    pub log: Vec<PathBuf>,
    /// time of the report in ms since the epoch; the newest sample's by default
    #[argh(option)]
    pub at_ms: Option<u64>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// write a picture to this SVG file
    #[argh(option)]
    pub svg: Option<PathBuf>,
}
