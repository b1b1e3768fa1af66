//! Compares two routing policies on one workload.

use std::path::{Path, PathBuf};

use argh::FromArgs;
use orioleworks_standins::{
    host, measure,
    measure_figures::{self, Figures},
    measure_policy::{self, Policy},
    measure_workload::{self, Workload},
};

/// Runs one workload under two policies with each seed, and prints their figures side by side.
#[derive(FromArgs)]
struct Options {
    /// workload: steady, overload, refusals, knee, stragglers, skewed, lag, slow-engine, domain-loss, swaps or
    /// swaps-fast-store
    #[argh(positional)]
    workload: String,
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds
    #[argh(option, default = "3")]
    seeds: u64,
    /// first policy, parts joined by +
    #[argh(option, default = "\"default\".into()")]
    a: String,
    /// second policy; by default the baseline of the workload
    #[argh(option)]
    b: Option<String>,
    /// keep settings and logs of every run
    #[argh(switch)]
    keep: bool,
    /// directory of the binaries; by default that of this program
    #[argh(option)]
    bin_dir: Option<PathBuf>,
    /// print the version and exit
    #[argh(switch, short = 'V')]
    version: bool,
}

fn main() {
    let options: Options = argh::from_env();
    if options.version {
        println!("orioleworks-measure {}", env!("CARGO_PKG_VERSION"));
        return;
    }
    std::process::exit(host::run(|| compare(options)));
}

async fn compare(options: Options) -> i32 {
    let Some(workload) = measure_workload::find(&options.workload, options.seed) else {
        eprintln!("unknown workload; known workloads: {}", measure_workload::NAMES.join(", "));
        return 1;
    };
    let b = options.b.as_deref().unwrap_or(workload.baseline);
    let (a, b): (Policy, Policy) = match (options.a.parse(), b.parse()) {
        (Ok(a), Ok(b)) => (a, b),
        (Err(e), _) | (_, Err(e)) => {
            eprintln!("{e}; known parts of a policy: {}", measure_policy::NAMES);
            return 1;
        }
    };
    let current_exe = std::env::current_exe().unwrap_or_default();
    let own_dir = current_exe.parent().unwrap_or(Path::new(".")).to_owned();
    let bin_dir = options.bin_dir.clone().unwrap_or(own_dir);
    let (mut runs_a, mut runs_b) = (Vec::new(), Vec::new());
    let mut passed = true;
    for seed in options.seed..options.seed + options.seeds {
        let Some(workload) = measure_workload::find(&options.workload, seed) else { return 1 };
        // One after the other: two deployments at a time would distort each other's figures.
        for (policy, runs) in [(&a, &mut runs_a), (&b, &mut runs_b)] {
            passed &= run_once(&bin_dir, &workload, policy, options.keep, runs).await;
        }
    }
    println!(
        "{}, seeds {} to {}",
        options.workload,
        options.seed,
        options.seed + options.seeds - 1
    );
    println!();
    print!("{}", measure_figures::render((&a.name, &runs_a), (&b.name, &runs_b)));
    i32::from(!passed)
}

/// Runs the workload once; returns whether it passed.
async fn run_once(
    bin_dir: &Path,
    workload: &Workload,
    policy: &Policy,
    keep: bool,
    runs: &mut Vec<Figures>,
) -> bool {
    let seed = workload.scenario.seed;
    match measure::run(bin_dir, workload, policy, keep).await {
        Ok(figures) => {
            for violation in &figures.violations {
                eprintln!("failed: seed {seed}, {}: {violation}", policy.name);
            }
            let passed = figures.violations.is_empty();
            runs.push(figures);
            passed
        }
        Err(e) => {
            eprintln!("failed: seed {seed}, {}: {e}", policy.name);
            false
        }
    }
}
