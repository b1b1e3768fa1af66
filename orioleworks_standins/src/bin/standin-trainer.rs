//! Stand-in trainer.

use std::{path::PathBuf, time::Duration};

use argh::FromArgs;
use orioleworks_standins::{
    host,
    trainer::{TrainerConfig, run},
    trainer_ledger::CrashPoint,
};

/// Stand-in trainer: runs steps, publishes versions and checks the text of every sample.
#[derive(FromArgs)]
struct Options {
    /// entries, IP and port, separated by commas
    #[argh(option, default = "String::new()")]
    entries: String,
    /// weight store, IP and port
    #[argh(option)]
    weights: Option<String>,
    /// name of the run
    #[argh(option, default = "\"run\".into()")]
    run: String,
    /// profile
    #[argh(option, default = "\"scorer\".into()")]
    profile: String,
    /// model
    #[argh(option, default = "\"scorer\".into()")]
    model: String,
    /// steps
    #[argh(option, default = "3")]
    steps: u64,
    /// groups in a step
    #[argh(option, default = "8")]
    groups: u32,
    /// samples in a group
    #[argh(option, default = "4")]
    samples: u32,
    /// largest number of tokens of a sample
    #[argh(option, default = "64")]
    max_tokens: u64,
    /// prompts that the groups of all steps draw from, the first ones more often; 0 for a new one per group
    #[argh(option, default = "0")]
    prompts: u32,
    /// weight version of the engines at the start
    #[argh(option, default = "1")]
    first_version: u64,
    /// staleness bound of the profile
    #[argh(option, default = "2")]
    max_staleness: u64,
    /// seed of the prompts and of the texts of the engines
    #[argh(option, default = "1")]
    seed: u64,
    /// time of training after each step in milliseconds
    #[argh(option, default = "500")]
    train_ms: u64,
    /// longest time of a step in milliseconds
    #[argh(option, default = "30000")]
    step_deadline_ms: u64,
    /// longest wait of an entry for a sample in milliseconds
    #[argh(option, default = "1000")]
    wait_ms: u64,
    /// file of the durable state, from which a restarted trainer resumes
    #[argh(option)]
    state: Option<PathBuf>,
    /// crash at the write of a batch, unless the state file exists at the start: before:<batch> or after:<batch>
    #[argh(option)]
    crash_at: Option<CrashPoint>,
    /// file for the report as JSON; standard output without it
    #[argh(option)]
    report: Option<PathBuf>,
    /// print the version and exit
    #[argh(switch, short = 'V')]
    version: bool,
}

fn main() {
    let options: Options = argh::from_env();
    if options.version {
        println!("standin-trainer {}", env!("CARGO_PKG_VERSION"));
        return;
    }
    std::process::exit(host::run(|| train(options)));
}

async fn train(options: Options) -> i32 {
    let config = TrainerConfig {
        entries: host::split_list(&options.entries),
        weights: options.weights,
        run: options.run,
        profile: options.profile,
        model: options.model,
        steps: options.steps,
        groups: options.groups,
        samples: options.samples,
        max_tokens: options.max_tokens,
        first_version: options.first_version,
        max_staleness: options.max_staleness,
        seed: options.seed,
        prompts: options.prompts,
        train_time: Duration::from_millis(options.train_ms),
        step_deadline: Duration::from_millis(options.step_deadline_ms),
        wait_ms: options.wait_ms,
        state: options.state,
        crash_at: options.crash_at,
    };
    match run(&config).await {
        Ok(report) => {
            let complete = report.steps == report.steps_wanted && report.failures.is_empty();
            let written = host::write_report(&report, options.report.as_deref());
            i32::from(!complete || !written)
        }
        Err(e) => {
            eprintln!("{e}");
            1
        }
    }
}
