//! Command line of the load generator.

use std::{path::PathBuf, time::Duration};

use argh::FromArgs;
use orioleworks_standins::{
    host,
    load::{LoadConfig, MixItem, run},
};

/// Open-loop load generator for calls.
#[derive(FromArgs)]
struct Options {
    /// entries, IP and port, separated by commas
    #[argh(option, default = "String::new()")]
    entries: String,
    /// plain services whose records of runs are compared with the responses, IP and port, separated by commas
    #[argh(option, default = "String::new()")]
    services: String,
    /// profiles, each profile:class:weight with an optional :once or :engine, separated by commas
    #[argh(option, default = "\"quality-lookup:lookup:3,gate-slot:booking:1:once\".into()")]
    mix: String,
    /// requests per second
    #[argh(option, default = "50.0")]
    rate: f64,
    /// duration of the load in milliseconds
    #[argh(option, default = "10000")]
    duration_ms: u64,
    /// share of requests with a key that are repeated with the same key, 0 to 1
    #[argh(option, default = "0.1")]
    repeats: f64,
    /// seed
    #[argh(option, default = "1")]
    seed: u64,
    /// file for the report as JSON; by default standard output
    #[argh(option)]
    report: Option<PathBuf>,
    /// print the version and exit
    #[argh(switch, short = 'V')]
    version: bool,
}

fn main() {
    let options: Options = argh::from_env();
    if options.version {
        println!("orioleworks-load {}", env!("CARGO_PKG_VERSION"));
        return;
    }
    let mix = host::split_list(&options.mix).iter().map(|item| item.parse()).collect();
    let mix: Vec<MixItem> = match mix {
        Ok(mix) => mix,
        Err(e) => {
            let e: orioleworks_standins::load::MixError = e;
            eprintln!("option --mix: {e}");
            std::process::exit(1);
        }
    };
    std::process::exit(host::run(|| generate(options, mix)));
}

async fn generate(options: Options, mix: Vec<MixItem>) -> i32 {
    let config = LoadConfig {
        entries: host::split_list(&options.entries),
        services: host::split_list(&options.services),
        mix,
        rate: options.rate,
        duration: Duration::from_millis(options.duration_ms),
        repeats: options.repeats,
        seed: options.seed,
    };
    match run(&config).await {
        Ok(report) => i32::from(!host::write_report(&report, options.report.as_deref())),
        Err(e) => {
            eprintln!("{e}");
            1
        }
    }
}
