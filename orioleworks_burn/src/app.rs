//! Runs one command.

use std::{fs, time::Duration};

use compio::{runtime::Runtime, time};
use orioleworks_daemon::clock;
use orioleworks_proto::codes::exit;
use orioleworks_settings as settings;

use crate::{
    cli::{self, Command},
    config::{Config, Entry},
    exposition, history, picture, report, requests,
};

/// Longest wait for the metrics of one entry.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Runs a command and returns its exit code.
pub fn run(options: &cli::Options) -> i32 {
    if options.version {
        println!("orioleworks-burn {}", env!("CARGO_PKG_VERSION"));
        return exit::OK;
    }
    let Some(path) = &options.config else {
        eprintln!("option --config is required; see --help");
        return exit::SETTINGS;
    };
    let cfg: Config = match settings::load(path) {
        Ok(cfg) => cfg,
        Err(e) => {
            eprintln!("{e}");
            return exit::SETTINGS;
        }
    };
    if options.check {
        println!("{}: settings are valid", path.display());
        return exit::OK;
    }
    let result = match &options.command {
        Some(Command::Sample(options)) => sample(&cfg, options),
        Some(Command::Report(options)) => print_report(&cfg, options),
        None => {
            eprintln!("a command is required; see --help");
            return exit::SETTINGS;
        }
    };
    match result {
        Ok(()) => exit::OK,
        Err(reason) => {
            eprintln!("{reason}");
            exit::FAILED
        }
    }
}

fn sample(cfg: &Config, options: &cli::Sample) -> Result<(), String> {
    let runtime = Runtime::new().map_err(|e| format!("the runtime cannot start: {e}"))?;
    runtime.block_on(async {
        let mut round = 0;
        loop {
            let missing = sample_round(cfg).await?;
            round += 1;
            if round == options.rounds {
                return match missing {
                    0 => Ok(()),
                    n => Err(format!("{n} of {} entries gave no metrics", cfg.entries.len())),
                };
            }
            time::sleep(Duration::from_millis(options.every_ms)).await;
        }
    })
}

/// Samples every entry once; returns how many entries had no valid metrics.
pub async fn sample_round(cfg: &Config) -> Result<usize, String> {
    let mut samples = Vec::new();
    for entry in &cfg.entries {
        let text = match time::timeout(FETCH_TIMEOUT, fetch(entry)).await {
            Ok(text) => text,
            Err(_) => Err("no response in time".to_owned()),
        };
        let at_ms = clock::unix_ms();
        match text.and_then(|text| exposition::parse(&text)) {
            Ok(profiles) => {
                samples.push(history::Sample { at_ms, entry: entry.name.clone(), profiles });
            }
            Err(reason) => eprintln!("entry {}: {reason}", entry.name),
        }
    }
    let path = &cfg.history;
    history::append(path, &samples).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(cfg.entries.len() - samples.len())
}

async fn fetch(entry: &Entry) -> Result<String, String> {
    let url = format!("http://{}/metrics", entry.http);
    let client = cyper::Client::new().map_err(|e| e.to_string())?;
    let request = client.get(url).map_err(|e| e.to_string())?;
    let response = request.send().await.map_err(|e| e.to_string())?;
    match response.status().as_u16() {
        200 => response.text().await.map_err(|e| e.to_string()),
        status => Err(format!("status {status}")),
    }
}

fn print_report(cfg: &Config, options: &cli::Report) -> Result<(), String> {
    let path = &cfg.history;
    let history = history::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let mut finished = Vec::new();
    for log in &options.log {
        let text = fs::read_to_string(log).map_err(|e| format!("{}: {e}", log.display()))?;
        finished.extend(requests::parse(&text));
    }
    let report = report::build(cfg, &history, &finished, options.at_ms);
    if options.json {
        println!("{}", serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?);
    } else {
        print!("{}", report.text());
    }
    if let Some(svg) = &options.svg {
        let picture = picture::draw(cfg, &history, report.at_ms)?;
        fs::write(svg, picture).map_err(|e| format!("{}: {e}", svg.display()))?;
    }
    Ok(())
}
