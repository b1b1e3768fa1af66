//! Runner of cells whose columns are specific to one protocol; prints verdict lines like [`crate::cell`].

use std::{
    env,
    fs::OpenOptions,
    io::Write,
    path::PathBuf,
    time::{Duration, Instant},
};

use orioleworks_standins::deployment::{Deployment, Kind, Options};
use rand::{SeedableRng, rngs::StdRng};
use xxhash_rust::xxh3::xxh3_64;

use crate::cell::{REPORT_VARIABLE, SEED_VARIABLE, Verdict};

/// Time limit of one cell, so that a hanging cell does not block the matrix.
const CELL_TIMEOUT: Duration = Duration::from_secs(60);

/// Identity of a cell in the matrix.
#[derive(Clone, Copy, Debug)]
pub struct CellId {
    /// Protocol.
    pub protocol: &'static str,
    /// Step of the protocol.
    pub row: &'static str,
    /// Fault.
    pub column: &'static str,
    /// Seed of the matrix.
    pub seed: u64,
}

impl CellId {
    /// Returns a cell with the seed from the environment, or seed 1.
    pub fn new(protocol: &'static str, row: &'static str, column: &'static str) -> Self {
        let seed = env::var(SEED_VARIABLE).ok().and_then(|text| text.parse().ok()).unwrap_or(1);
        Self { protocol, row, column, seed }
    }

    /// Returns the random number generator of this cell. It does not depend on which cells run before.
    pub fn rng(&self) -> StdRng {
        let name = format!("{} {} {} {}", self.seed, self.protocol, self.row, self.column);
        StdRng::seed_from_u64(xxh3_64(name.as_bytes()))
    }
}

/// Runs a cell on its own runtime in a new directory and prints its verdict line. The directory of a cell that did
/// not pass is kept for its logs.
///
/// # Panics
///
/// Panics unless the cell passed or does not apply.
pub fn run<F: Future<Output = Result<Verdict, String>>>(
    cell_id: CellId,
    body: impl FnOnce(PathBuf) -> F,
) {
    let started = Instant::now();
    let directory = tempfile::tempdir().expect("temporary directory is created");
    let runtime = compio::runtime::Runtime::new().expect("runtime starts");
    let verdict = runtime.block_on(async {
        let timed = compio::time::timeout(CELL_TIMEOUT, body(directory.path().to_owned())).await;
        timed.unwrap_or_else(|_| Err(format!("timed out after {CELL_TIMEOUT:?}")))
    });
    let verdict = verdict.unwrap_or_else(Verdict::Failed);
    let (verdict_name, detail) = match &verdict {
        Verdict::Passed(detail) => ("passed", detail),
        Verdict::Failed(detail) => ("failed", detail),
        Verdict::NotRun(detail) => ("not_run", detail),
        Verdict::NotApplicable(detail) => ("not_applicable", detail),
    };
    let CellId { protocol, row, column, seed } = cell_id;
    let ms = started.elapsed().as_millis();
    let mut line = format!(
        "cell protocol={protocol} row={row} column={column} seed={seed} verdict={verdict_name} ms={ms}"
    );
    if !detail.is_empty() {
        line.push_str(&format!(" detail={detail:?}"));
    }
    println!("{line}");
    report(&line);
    let passed = matches!(verdict, Verdict::Passed(_) | Verdict::NotApplicable(_));
    if !passed {
        println!("logs: {}", directory.keep().display());
    }
    assert!(passed, "{line}");
}

fn report(line: &str) {
    let Ok(path) = env::var(REPORT_VARIABLE) else { return };
    // A single write keeps the lines of parallel cells from interleaving.
    let file = OpenOptions::new().create(true).append(true).open(path);
    if let Err(e) = file.and_then(|mut file| file.write_all(format!("{line}\n").as_bytes())) {
        eprintln!("cannot append the verdict line to the report: {e}");
    }
}

/// Options of a small deployment: programs from `ORIOLEWORKS_BIN_DIR` and one entry in each of three domains.
///
/// # Errors
///
/// Returns an error if the variable is not set.
pub fn small_options(directory: &std::path::Path, seed: u64) -> Result<Options, String> {
    let programs = env::var_os("ORIOLEWORKS_BIN_DIR").ok_or("ORIOLEWORKS_BIN_DIR is not set")?;
    Ok(Options {
        entries_per_domain: 1,
        engines_per_domain: 2,
        judges: 0,
        service_kinds: Vec::new(),
        ..Options::consortium(&PathBuf::from(programs), directory, seed)
    })
}

/// Polls control for its leader and returns the leader's name.
pub async fn wait_for_leader(deployment: &Deployment) -> Option<String> {
    let control = deployment.control_client();
    let names: Vec<&str> = deployment.nodes(Kind::Control).map(|(name, _)| name).collect();
    for _ in 0..50 {
        for (index, name) in names.iter().enumerate() {
            let status = control.status(index, false, Duration::from_millis(300)).await;
            if status.is_ok_and(|status| status.is_leader) {
                return Some((*name).to_owned());
            }
        }
        compio::time::sleep(Duration::from_millis(50)).await;
    }
    None
}

/// Waits for a condition and returns whether it held within the limit.
pub async fn wait_for(limit: Duration, condition: impl Fn() -> bool) -> bool {
    const CHECK_INTERVAL: Duration = Duration::from_millis(5);
    let until = Instant::now() + limit;
    while !condition() {
        if Instant::now() >= until {
            return false;
        }
        compio::time::sleep(CHECK_INTERVAL).await;
    }
    true
}

/// Formats an error as text.
pub fn text(e: impl std::fmt::Display) -> String {
    e.to_string()
}
