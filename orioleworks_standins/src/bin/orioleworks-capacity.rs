//! Measures how the cost of the daemons grows with load and size; `docs/CAPACITY.md` holds the results.

use std::{
    io,
    path::{Path, PathBuf},
    time::Duration,
};

use argh::FromArgs;
use orioleworks_standins::{
    capacity_control as control, capacity_daemons::Bench, capacity_election as election,
    capacity_entry as entry, capacity_fit::Series, capacity_protocol as protocol,
    capacity_rollout as rollout, host, ports::Ports,
};

/// Names of the measurements.
const NAMES: [&str; 15] = [
    "protocol",
    "control-idle",
    "control-election",
    "control-entries",
    "control-changes",
    "control-claims",
    "control-claims-held",
    "control-leases",
    "control-profiles",
    "entry-requests",
    "entry-tokens",
    "entry-upstreams",
    "entry-peers",
    "entry-samples",
    "entry-steps",
];

/// Measures slopes of CPU, memory and bytes on the release builds of the daemons, on loopback.
#[derive(FromArgs)]
struct Options {
    /// name of the measurement; by default all are run
    #[argh(positional)]
    name: Option<String>,
    /// print the names and exit
    #[argh(switch)]
    list: bool,
    /// duration of one measurement in milliseconds
    #[argh(option, default = "3000")]
    window_ms: u64,
    /// number of measurements at each size
    #[argh(option, default = "3")]
    repeats: u32,
    /// heartbeat interval of the control replicas in milliseconds; the election timeouts are 4 and 8 times as long
    #[argh(option)]
    heartbeat_ms: Option<u64>,
    /// directory of the binaries; by default that of this program
    #[argh(option)]
    bin_dir: Option<PathBuf>,
}

fn main() {
    let options: Options = argh::from_env();
    if options.list {
        println!("{}", NAMES.join("\n"));
        return;
    }
    let unknown = options.name.as_deref().filter(|name| !NAMES.contains(name));
    if let Some(name) = unknown {
        eprintln!("no measurement is named {name}; --list prints the names");
        std::process::exit(1);
    }
    std::process::exit(host::run(|| run(options)));
}

async fn run(options: Options) -> i32 {
    let current_exe = std::env::current_exe().unwrap_or_default();
    let own_dir = current_exe.parent().unwrap_or(Path::new(".")).to_owned();
    let directory = match tempfile::Builder::new().prefix("orioleworks-capacity-").tempdir() {
        Ok(directory) => directory,
        Err(e) => {
            eprintln!("temporary directory: {e}");
            return 1;
        }
    };
    let mut bench = Bench {
        bin_dir: options.bin_dir.clone().unwrap_or(own_dir),
        directory: directory.path().to_owned(),
        window: Duration::from_millis(options.window_ms),
        repeats: options.repeats.max(1),
        heartbeat_ms: options.heartbeat_ms,
        ports: Ports::new(),
        deployments: 0,
    };
    let mut code = 0;
    for name in NAMES.into_iter().filter(|name| options.name.as_deref().is_none_or(|n| n == *name))
    {
        println!("== {name}");
        match measure(name, &mut bench).await {
            // Series of relays that the measurement does not use are all zero.
            Ok(all) => all.iter().filter(|s| !s.is_zero()).for_each(|series| println!("{series}")),
            Err(e) => {
                eprintln!("failed: {name}: {e}");
                code = 1;
            }
        }
    }
    code
}

async fn measure(name: &str, bench: &mut Bench) -> io::Result<Vec<Series>> {
    match name {
        "control-idle" => control::idle(bench).await,
        "control-election" => election::elections(bench).await,
        "control-entries" => control::entries(bench).await,
        "control-changes" => control::changes(bench).await,
        "control-claims" => control::claims(bench).await,
        "control-leases" => control::leases(bench).await,
        "control-claims-held" => control::claims_held(bench).await,
        "control-profiles" => control::profiles(bench).await,
        "entry-requests" => entry::requests(bench).await,
        "entry-tokens" => entry::tokens(bench).await,
        "entry-upstreams" => entry::upstreams(bench).await,
        "entry-peers" => entry::peers(bench).await,
        "entry-samples" => rollout::samples(bench).await,
        "entry-steps" => rollout::steps(bench).await,
        _ => Ok(protocol::messages()),
    }
}
