//! Command line of operators.

use std::path::PathBuf;

use argh::FromArgs;

/// Controls orioleworks: profiles, upstreams, quarantine and status.
#[derive(Debug, FromArgs)]
pub struct Options {
    /// addresses of control replicas, ADDR[,ADDR...]
    #[argh(option)]
    pub control: Option<String>,
    /// settings file with the addresses, JSON with comments
    #[argh(option, short = 'c')]
    pub config: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// longest wait for control in ms, default 5000
    #[argh(option, default = "5000")]
    pub timeout_ms: u64,
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
    /// Adds a profile.
    AddProfile(AddProfile),
    /// Changes a profile.
    ChangeProfile(ChangeProfile),
    /// Retires a profile.
    RetireProfile(RetireProfile),
    /// Stops an upstream.
    StopUpstream(StopUpstream),
    /// Starts an upstream.
    StartUpstream(StartUpstream),
    /// Releases a quarantine.
    ReleaseQuarantine(ReleaseQuarantine),
    /// Lists one kind of object.
    List(List),
    /// Shows the cluster.
    Status(Status),
    /// Explains one request.
    Explain(Explain),
}

/// Options that every order takes.
#[derive(Clone, Debug, Default)]
pub struct OrderOptions {
    /// Order ID for a resend.
    pub order_id: Option<String>,
    /// Revision that the object must have.
    pub expect: Option<u64>,
    /// Whether to wait until the revision is in force.
    pub wait: bool,
}

macro_rules! profile_command {
    ($name:ident, $subcommand:literal, $doc:literal) => {
        #[doc = $doc]
        #[derive(Debug, Default, FromArgs)]
        #[argh(subcommand, name = $subcommand)]
        pub struct $name {
            /// name of the profile
            #[argh(positional)]
            pub name: Option<String>,
            /// profile file, JSON with comments; options override it
            #[argh(option, short = 'f')]
            pub file: Option<PathBuf>,
            /// kind of upstream that serves the profile
            #[argh(option)]
            pub upstream_kind: Option<String>,
            /// lookup, booking or rollout
            #[argh(option)]
            pub class: Option<String>,
            /// whether requests may run more than once: true or false
            #[argh(option)]
            pub idempotent: Option<bool>,
            /// whether upstreams are engines that stream: true or false
            #[argh(option)]
            pub engine: Option<bool>,
            /// deadline of a request in ms
            #[argh(option)]
            pub deadline_ms: Option<u32>,
            /// staleness bound in versions
            #[argh(option)]
            pub max_staleness: Option<u32>,
            /// staleness or idle_time
            #[argh(option)]
            pub objective: Option<String>,
            /// weight in fair queueing
            #[argh(option)]
            pub share: Option<u32>,
            /// kind of upstream that judges samples; empty for none
            #[argh(option)]
            pub judge_kind: Option<String>,
            /// extra tokens for second attempts, in thousandths
            #[argh(option)]
            pub second_attempt_permille: Option<u32>,
            /// order ID of an order that is sent again
            #[argh(option)]
            pub order_id: Option<String>,
            /// revision that the profile must have, 0 for none
            #[argh(option)]
            pub expect: Option<u64>,
            /// wait until the change is in force on every live entry
            #[argh(switch)]
            pub wait: bool,
        }
    };
}

profile_command!(AddProfile, "add-profile", "Adds a profile; it must not exist.");
profile_command!(
    ChangeProfile,
    "change-profile",
    "Changes a profile; values that are not given stay as they are."
);

macro_rules! object_command {
    ($name:ident, $subcommand:literal, $doc:literal) => {
        #[doc = $doc]
        #[derive(Debug, FromArgs)]
        #[argh(subcommand, name = $subcommand)]
        pub struct $name {
            /// name of the object
            #[argh(positional)]
            pub name: String,
            /// order ID of an order that is sent again
            #[argh(option)]
            pub order_id: Option<String>,
            /// revision that the object must have, 0 for none
            #[argh(option)]
            pub expect: Option<u64>,
            /// wait until the change is in force on every live entry
            #[argh(switch)]
            pub wait: bool,
        }
    };
}

object_command!(RetireProfile, "retire-profile", "Retires a profile.");
object_command!(StopUpstream, "stop-upstream", "Stops an upstream; it gets no new work.");
object_command!(StartUpstream, "start-upstream", "Removes the stop of an upstream.");
object_command!(ReleaseQuarantine, "release-quarantine", "Releases a request by fingerprint.");

/// Lists one kind of object.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct List {
    /// profiles, upstreams (stop orders), live (upstreams as entries know them), versions, entries, runs, leases, members or quarantine
    #[argh(positional)]
    pub what: String,
}

/// Shows the cluster as each control replica sees it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// Prints what the logs say of one request, in order of time, with the reason last; needs no control replica.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// ID of a request, a batch or an item
    #[argh(positional)]
    pub id: String,
    /// log files of any processes
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}
