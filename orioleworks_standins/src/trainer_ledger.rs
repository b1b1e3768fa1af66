//! Durable state of the stand-in trainer: state of the library, samples of the step, and report so far.

use std::{
    cell::RefCell,
    fs::{self, File},
    io::{self, Write},
    path::Path,
    rc::Rc,
    str::FromStr,
};

use orioleworks_daemon::event;
use orioleworks_trainer::{
    client::Persist,
    messages::{Group, Sample},
    state::State,
};
use serde::{Deserialize, Serialize};

use crate::{
    fault::CRASH_EXIT,
    trainer::{self, Checker, TrainerConfig, TrainerReport},
};

/// Point of an injected crash: before or after the write of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashPoint {
    /// Whether the write of the batch is durable at the crash.
    pub after: bool,
    /// Number of the batch, from 1.
    pub batch: u64,
}

impl FromStr for CrashPoint {
    type Err = String;

    /// Reads `before:<batch>` or `after:<batch>`.
    fn from_str(text: &str) -> Result<Self, String> {
        let invalid = || format!("{text:?} is not before:<batch> or after:<batch>");
        let (position, batch) = text.split_once(':').ok_or_else(invalid)?;
        let batch = batch.parse().map_err(|_| invalid())?;
        match position {
            "before" => Ok(Self { after: false, batch }),
            "after" => Ok(Self { after: true, batch }),
            _ => Err(invalid()),
        }
    }
}

/// State that is written atomically.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct DurableState {
    /// State of the library.
    pub state: State,
    /// Samples of the step in the order of their delivery.
    pub samples: Vec<Sample>,
    /// Steps that completed.
    pub finished_steps: u64,
    /// Current weight version of the trainer.
    pub version: u64,
    /// Highest version that is published.
    pub published: u64,
    /// Report so far.
    pub report: TrainerReport,
}

impl DurableState {
    /// Reads the latest state; `None` without a file.
    ///
    /// # Errors
    ///
    /// Returns why the file cannot be read.
    pub fn read(path: &Path) -> Result<Option<Self>, String> {
        match fs::read(path) {
            Ok(bytes) => serde_json::from_slice(&bytes).map(Some).map_err(|e| e.to_string()),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e.to_string()),
        }
    }
}

/// Durable state and its file.
#[derive(Debug)]
pub struct Ledger {
    /// Latest written state.
    pub durable: DurableState,
    cfg: TrainerConfig,
    crash_at: Option<CrashPoint>,
    batches: u64,
}

/// Ledger that the persistence callback and the steps share.
pub type SharedLedger = Rc<RefCell<Ledger>>;

impl Ledger {
    /// Reads the state of an earlier process of the run, or starts a new one.
    ///
    /// # Errors
    ///
    /// Returns why the file cannot be read.
    pub fn open(cfg: &TrainerConfig) -> Result<SharedLedger, String> {
        let stored = cfg.state.as_deref().map(DurableState::read).transpose()?.flatten();
        // A restarted process must not crash again at the same point.
        let crash_at = cfg.crash_at.filter(|_| stored.is_none());
        let durable = stored.unwrap_or_else(|| DurableState {
            state: State::new(&*cfg.run),
            version: cfg.first_version,
            published: cfg.first_version,
            report: TrainerReport { steps_wanted: cfg.steps, ..TrainerReport::default() },
            ..DurableState::default()
        });
        Ok(Rc::new(RefCell::new(Self { durable, cfg: cfg.clone(), crash_at, batches: 0 })))
    }

    /// Prepares a step and returns the number of samples of the earlier steps.
    pub fn start_step(&mut self, number: u64) -> u64 {
        if self.durable.state.step != number {
            self.durable.samples.clear();
        }
        self.durable.report.findings.samples - self.durable.samples.len() as u64
    }

    /// Records that a step has completed, and increments the weight version.
    ///
    /// # Errors
    ///
    /// Returns why the state cannot be written.
    pub fn finish_step(&mut self, number: u64) -> Result<(), String> {
        self.durable.finished_steps = number;
        self.durable.version += 1;
        self.write(&self.durable)
    }

    /// Records that a version is published.
    ///
    /// # Errors
    ///
    /// Returns why the state cannot be written.
    pub fn record_published(&mut self, version: u64) -> Result<(), String> {
        self.durable.published = version;
        self.write(&self.durable)
    }

    /// Checks new samples, and writes them together with the state of the library.
    fn commit(&mut self, state: &State, new: &[Sample]) -> Result<(), String> {
        let mut next = self.durable.clone();
        let groups = trainer::groups(&self.cfg, state.step);
        let mut checker = Checker::new(&self.cfg, next.version);
        // The checker detects duplicates only if it has seen the earlier samples of the step.
        for sample in &next.samples {
            checker.check(prompt(&groups, sample), sample, &mut Default::default());
        }
        for sample in new {
            let staleness =
                checker.check(prompt(&groups, sample), sample, &mut next.report.findings);
            next.report.staleness.extend(staleness);
            next.report.mixed += u64::from(sample.spans.len() > 1);
            next.report.attempts.push(sample.attempts);
        }
        next.samples.extend_from_slice(new);
        next.state = state.clone();
        self.batches += u64::from(!new.is_empty());
        self.crash_if_ordered(false, new);
        self.write(&next)?;
        self.crash_if_ordered(true, new);
        self.durable = next;
        Ok(())
    }

    fn crash_if_ordered(&self, after: bool, new: &[Sample]) {
        let current = Some(CrashPoint { after, batch: self.batches });
        if !new.is_empty() && self.crash_at == current {
            event!(warn, "crash_ordered", batch = self.batches, written = after);
            std::process::exit(CRASH_EXIT);
        }
    }

    /// Replaces the file atomically and durably.
    fn write(&self, durable: &DurableState) -> Result<(), String> {
        let Some(path) = &self.cfg.state else { return Ok(()) };
        let written = || {
            let new = path.with_extension("new");
            let mut file = File::create(&new)?;
            file.write_all(&serde_json::to_vec(durable)?)?;
            file.sync_all()?;
            fs::rename(&new, path)?;
            match path.parent().filter(|parent| !parent.as_os_str().is_empty()) {
                Some(parent) => File::open(parent)?.sync_all(),
                None => Ok(()),
            }
        };
        written().map_err(|e: io::Error| format!("{}: {e}", path.display()))
    }
}

/// Callback by which the trainer library persists its state and new samples.
pub fn persist(ledger: &SharedLedger) -> Persist {
    let ledger = ledger.clone();
    Box::new(move |state, new| ledger.borrow_mut().commit(state, new))
}

fn prompt<'a>(groups: &'a [Group], sample: &Sample) -> &'a str {
    let group = groups.iter().find(|group| group.group == sample.group);
    group.map_or("", |group| group.prompt.as_str())
}
