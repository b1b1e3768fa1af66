//! One cell of the fault matrix: its runner, its seed and its verdict line.

use std::{
    fmt,
    fs::OpenOptions,
    io::Write as _,
    panic::{AssertUnwindSafe, catch_unwind},
    time::{Duration, Instant},
};

use rand::{SeedableRng, rngs::StdRng};
use xxhash_rust::xxh3::xxh3_64;

/// Seed when [`SEED_VARIABLE`] is not set.
const DEFAULT_SEED: u64 = 1;
/// Environment variable with the seed of the whole matrix.
pub const SEED_VARIABLE: &str = "ORIOLEWORKS_MATRIX_SEED";
/// Environment variable with the file to which verdict lines are appended.
pub const REPORT_VARIABLE: &str = "ORIOLEWORKS_MATRIX_REPORT";
/// Time limit of one cell, so that a hanging cell does not block the matrix.
const CELL_TIMEOUT: Duration = Duration::from_secs(60);

/// Fault that is injected when a protocol reaches a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Column {
    /// The process crashes at the step and is restarted.
    Kill,
    /// The process is suspended at the step and resumes later.
    Pause,
    /// The response to the message that the step sends is lost.
    LostResponse,
    /// A process crashes and restarts with an empty data directory.
    LostDisk,
    /// A failure domain is partitioned and later healed.
    Partition,
    /// One process crashes at the step while another failure domain is partitioned.
    KillAndPartition,
    /// One process is suspended at the step while another one crashes.
    PauseAndKill,
}

impl fmt::Display for Column {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Kill => "kill",
            Self::Pause => "pause",
            Self::LostResponse => "lost_response",
            Self::LostDisk => "lost_disk",
            Self::Partition => "partition",
            Self::KillAndPartition => "kill+partition",
            Self::PauseAndKill => "pause+kill",
        })
    }
}

/// Identity of a cell in the matrix.
#[derive(Clone, Debug)]
pub struct Cell {
    /// Protocol.
    pub protocol: &'static str,
    /// Step of the protocol: the name of a fail point.
    pub row: &'static str,
    /// Fault.
    pub column: Column,
    /// Seed of the matrix.
    pub seed: u64,
}

impl Cell {
    /// Returns a cell with the seed from the environment.
    pub fn new(protocol: &'static str, row: &'static str, column: Column) -> Self {
        let seed = std::env::var(SEED_VARIABLE).ok().and_then(|text| text.parse().ok());
        Self { protocol, row, column, seed: seed.unwrap_or(DEFAULT_SEED) }
    }

    /// Returns the random number generator of this cell. It does not depend on which cells run before.
    pub fn rng(&self) -> StdRng {
        let name = format!("{} {} {} {}", self.seed, self.protocol, self.row, self.column);
        StdRng::seed_from_u64(xxh3_64(name.as_bytes()))
    }
}

/// Result of a cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The fault was injected and every invariant held; the text holds measured figures.
    Passed(String),
    /// An invariant was violated.
    Failed(String),
    /// The fault was not injected, so no invariant was tested.
    NotRun(String),
    /// The fault cannot happen at this step.
    NotApplicable(String),
}

impl Verdict {
    fn parts(&self) -> (&'static str, &str) {
        match self {
            Self::Passed(detail) => ("passed", detail),
            Self::Failed(reason) => ("failed", reason),
            Self::NotRun(reason) => ("not_run", reason),
            Self::NotApplicable(reason) => ("not_applicable", reason),
        }
    }
}

/// Runs a cell on its own runtime, prints its verdict line and fails the test unless the cell passed or does not apply.
///
/// An `Err` from the body counts as a violated invariant, as do a panic and a timeout.
///
/// # Panics
///
/// Panics when the cell failed or was not run.
pub fn run<F: Future<Output = Result<Verdict, String>>>(cell: &Cell, body: impl FnOnce() -> F) {
    let started = Instant::now();
    let outcome = catch_unwind(AssertUnwindSafe(|| {
        let runtime = compio::runtime::Runtime::new().map_err(|e| format!("runtime: {e}"))?;
        runtime.block_on(async {
            let timed = compio::time::timeout(CELL_TIMEOUT, body()).await;
            timed.unwrap_or_else(|_| Err(format!("timed out after {CELL_TIMEOUT:?}")))
        })
    }));
    let verdict = match outcome {
        Ok(Ok(verdict)) => verdict,
        Ok(Err(reason)) => Verdict::Failed(reason),
        Err(_) => Verdict::Failed("the cell panicked".into()),
    };
    let line = line(cell, &verdict, started.elapsed());
    println!("{line}");
    report(&line);
    let passed = matches!(verdict, Verdict::Passed(_) | Verdict::NotApplicable(_));
    assert!(passed, "the verdict is {}", verdict.parts().0);
}

fn line(cell: &Cell, verdict: &Verdict, took: Duration) -> String {
    let (verdict_name, detail) = verdict.parts();
    let Cell { protocol, row, column, seed } = cell;
    let ms = took.as_millis();
    let mut line = format!(
        "cell protocol={protocol} row={row} column={column} seed={seed} verdict={verdict_name} ms={ms}"
    );
    if !detail.is_empty() {
        line.push_str(&format!(" detail={:?}", detail));
    }
    line
}

fn report(line: &str) {
    let Ok(path) = std::env::var(REPORT_VARIABLE) else { return };
    // A single write keeps the lines of parallel cells from interleaving.
    let file = OpenOptions::new().create(true).append(true).open(path);
    if let Ok(mut file) = file
        && let Err(e) = file.write_all(format!("{line}\n").as_bytes())
    {
        eprintln!("cannot append the verdict line to the report: {e}");
    }
}
