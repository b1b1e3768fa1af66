//! Driver of a local deployment.

use std::{
    path::{Path, PathBuf},
    time::Duration,
};

use argh::FromArgs;
use futures_util::{FutureExt, select};
use orioleworks_daemon::shutdown::Shutdown;
use orioleworks_standins::{
    deployment::{self, Deployment},
    host,
    scenario::{self, Outcome, ScenarioError},
    table,
};

/// Longest wait for the processes of one kind to exit after `SIGTERM`.
const STOP_DEADLINE: Duration = Duration::from_secs(8);

/// Time limit of the training in addition to that of its steps.
const TRAINING_BASE_LIMIT: Duration = Duration::from_secs(5);
/// Time limit of one step, including the publication of its weights.
const STEP_LIMIT: Duration = Duration::from_secs(5);
/// Time limit of the start, added to that of training and load. It ends a run that hangs, so that CI does not wait for
/// it.
const START_LIMIT: Duration = Duration::from_secs(15);

/// Runs a small deployment on loopback with training steps beside caller traffic, prints one table and stops it.
#[derive(FromArgs)]
struct Options {
    /// seed of prompts, texts and load
    #[argh(option, default = "1")]
    seed: u64,
    /// training steps
    #[argh(option, default = "4")]
    steps: u64,
    /// groups in a step
    #[argh(option, default = "8")]
    groups: u32,
    /// samples in a group
    #[argh(option, default = "4")]
    samples: u32,
    /// calls per second
    #[argh(option, default = "60.0")]
    rate: f64,
    /// duration of the calls in seconds
    #[argh(option, default = "12.0")]
    duration: f64,
    /// leave the deployment running after the table until SIGINT
    #[argh(switch)]
    keep: bool,
    /// connect the daemons without relays; bytes per second are not measured then
    #[argh(switch)]
    no_relays: bool,
    /// directory of the programs (default: directory of this program)
    #[argh(option)]
    bin_dir: Option<PathBuf>,
    /// print the version and exit
    #[argh(switch, short = 'V')]
    version: bool,
}

fn main() {
    let options: Options = argh::from_env();
    if options.version {
        println!("orioleworks-local {}", env!("CARGO_PKG_VERSION"));
        return;
    }
    if !options.duration.is_finite() || options.duration < 0.0 {
        eprintln!("option --duration: must be a number of seconds, 0 or more");
        std::process::exit(1);
    }
    std::process::exit(host::run(|| run(options)));
}

async fn run(options: Options) -> i32 {
    let program = std::env::current_exe().unwrap_or_default();
    let program_dir = program.parent().unwrap_or(Path::new(".")).to_owned();
    let bin_dir = options.bin_dir.clone().unwrap_or(program_dir);
    let directory = match tempfile::Builder::new().prefix("orioleworks-local-").tempdir() {
        Ok(directory) => directory,
        Err(e) => {
            eprintln!("temporary directory: {e}");
            return 1;
        }
    };
    let shutdown = Shutdown::default();
    // A second signal must not end the driver before its processes have exited.
    shutdown.watch_signals(Duration::from_secs(3600));
    let mut deployment_options =
        deployment::Options::consortium(&bin_dir, directory.path(), options.seed);
    deployment_options.relays = !options.no_relays;
    let mut deployment = match Deployment::prepare(deployment_options).await {
        Ok(deployment) => deployment,
        Err(e) => {
            eprintln!("{e}");
            return 1;
        }
    };
    let passed = drive(&mut deployment, &options, &shutdown).await;
    let killed = deployment.stop_all(STOP_DEADLINE).await;
    for name in &killed {
        eprintln!("failed: {name} did not exit within {} s", STOP_DEADLINE.as_secs());
    }
    if passed && killed.is_empty() {
        return 0;
    }
    if !shutdown.draining() {
        eprintln!("settings and logs: {}", directory.keep().display());
    }
    1
}

async fn drive(deployment: &mut Deployment, options: &Options, shutdown: &Shutdown) -> bool {
    let outcome = {
        let traffic = scenario_options(options);
        let limit = START_LIMIT + traffic.max_duration();
        let limited = compio::time::timeout(limit, scenario(deployment, options));
        let mut scenario = std::pin::pin!(limited.fuse());
        let mut signal = std::pin::pin!(shutdown.drain.cancelled().fuse());
        select! { outcome = scenario => outcome, () = signal => {
            eprintln!("interrupted by a signal");
            return false;
        } }
    };
    let passed = match outcome {
        Err(_) => {
            eprintln!("failed: not finished within the time limit");
            false
        }
        Ok(Ok(outcome)) => {
            println!("{}", table::render(&outcome));
            let problems = outcome.problems();
            problems.iter().for_each(|problem| eprintln!("failed: {problem}"));
            problems.is_empty()
        }
        Ok(Err(e)) => {
            eprintln!("failed: {e}");
            false
        }
    };
    if options.keep {
        let entries = deployment.addresses(deployment::Kind::Entry);
        println!("entries {entries}; running until SIGINT");
        shutdown.drain.cancelled().await;
    }
    passed
}

async fn scenario(
    deployment: &mut Deployment,
    options: &Options,
) -> Result<Outcome, ScenarioError> {
    scenario::bring_up(deployment).await?;
    scenario::run(deployment, &scenario_options(options)).await
}

fn scenario_options(options: &Options) -> scenario::Options {
    let steps = u32::try_from(options.steps).unwrap_or(u32::MAX);
    scenario::Options {
        seed: options.seed,
        steps: options.steps,
        groups: options.groups,
        samples: options.samples,
        rate: options.rate,
        duration: Duration::from_secs_f64(options.duration),
        training_deadline: TRAINING_BASE_LIMIT + STEP_LIMIT.saturating_mul(steps),
        ..scenario::Options::default()
    }
}
