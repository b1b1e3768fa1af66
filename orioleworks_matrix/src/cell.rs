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

/// Seed of a run that names none in [`SEED_VARIABLE`].
const DEFAULT_SEED: u64 = 1;
/// Environment variable with the seed of the whole matrix.
pub const SEED_VARIABLE: &str = "ORIOLEWORKS_MATRIX_SEED";
/// Environment variable with the file to which verdict lines are appended.
pub const REPORT_VARIABLE: &str = "ORIOLEWORKS_MATRIX_REPORT";
/// Longest time of one cell. A cell that hangs must not stop the matrix.
const CELL_TIMEOUT: Duration = Duration::from_secs(60);

/// Fault that is applied when a protocol is at a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Column {
    /// The process dies at the step and is started again.
    Kill,
    /// The process stands still at the step and goes on later.
    Pause,
    /// The response to what the step sends is lost.
    LostResponse,
    /// A process dies and comes back with an empty data directory.
    LostDisk,
    /// A failure domain is cut off and healed.
    Partition,
    /// One process dies at the step while another failure domain is cut off.
    KillAndPartition,
    /// One process stands still at the step while another one dies.
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

/// Place in the matrix.
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
    /// A cell under the seed of the environment.
    pub fn new(protocol: &'static str, row: &'static str, column: Column) -> Self {
        let seed = std::env::var(SEED_VARIABLE).ok().and_then(|text| text.parse().ok());
        Self { protocol, row, column, seed: seed.unwrap_or(DEFAULT_SEED) }
    }

    /// Random numbers of this cell; each cell has its own, whichever cells run before it.
    pub fn rng(&self) -> StdRng {
        let name = format!("{} {} {} {}", self.seed, self.protocol, self.row, self.column);
        StdRng::seed_from_u64(xxh3_64(name.as_bytes()))
    }
}

/// Result of a cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The fault happened and every invariant held; the text names figures worth printing.
    Passed(String),
    /// An invariant was violated.
    Failed(String),
    /// The fault did not happen, so that nothing was shown.
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

/// Runs a cell on a runtime of its own, prints its verdict line and fails the test unless it passed or does not apply.
///
/// `Err` of the body is a violated invariant; so are a panic and a time-out.
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
            timed.unwrap_or_else(|_| Err(format!("no end after {CELL_TIMEOUT:?}")))
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
    let (word, detail) = verdict.parts();
    let Cell { protocol, row, column, seed } = cell;
    let ms = took.as_millis();
    let mut line = format!(
        "cell protocol={protocol} row={row} column={column} seed={seed} verdict={word} ms={ms}"
    );
    if !detail.is_empty() {
        line.push_str(&format!(" detail={:?}", detail));
    }
    line
}

fn report(line: &str) {
    let Ok(path) = std::env::var(REPORT_VARIABLE) else { return };
    // One write keeps the lines of parallel cells apart.
    let file = OpenOptions::new().create(true).append(true).open(path);
    if let Ok(mut file) = file
        && let Err(e) = file.write_all(format!("{line}\n").as_bytes())
    {
        eprintln!("the verdict line is not in the report: {e}");
    }
}
