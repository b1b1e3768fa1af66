//! Memory of a store by use; see `docs/platform.md`, "State and bounds".
//!
//! The platform kills a process that exceeds its limit, and the next leader takes over the same state. The figures tell
//! what holds the memory before that happens, and a leader refuses batches for which there is none.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    fs,
};

use orioleworks_daemon::event;

use crate::{dispatch::Dispatch, shared::Shared};

/// Size of a page of memory in bytes.
const PAGE_BYTES: usize = 4096;
/// Growth of the resident memory, in percent of the limit, after which the uses are logged again.
const LOGGED_STEP_PERCENT: usize = 10;
/// Resident memory, in percent of the limit, above which a leader with open batches accepts no other one.
pub const RESIDENT_PERCENT: usize = 90;
/// Most that open batches may hold, in percent of the limit; the rest is for texts, log, connections and free memory.
pub const OPEN_PERCENT: usize = 50;
/// Figures of the resident memory whose lowest one counts, so that a peak of a few seconds refuses nothing.
const SAMPLES: usize = 3;

/// Bytes held by each use. What is resident beyond their sum are buffers, connections and free memory of the allocator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Texts of listed results in memory.
    pub texts: usize,
    /// Files of texts of listed results; they are not part of the memory.
    pub texts_on_disk: usize,
    /// Requests of unlisted items.
    pub bodies: usize,
    /// Saved output of unfinished items.
    pub progress: usize,
    /// Output of running items.
    pub running: usize,
    /// Log entries.
    pub log: usize,
}

impl Usage {
    /// Current usage of a store.
    pub fn of(shared: &Shared, dispatch: &Dispatch) -> Self {
        let state = shared.state.borrow().usage();
        Self { running: dispatch.output_bytes(), log: shared.log.entry_bytes(), ..state }
    }
}

/// A batch for which there is no memory, with the figures that say so, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Short {
    /// Resident memory.
    pub resident: usize,
    /// What the open batches and the new one hold.
    pub held: usize,
    /// Memory limit.
    pub limit: usize,
}

/// Resident memory of this process in bytes; `None` where `/proc` does not tell.
#[expect(clippy::disallowed_methods, reason = "the number is the kernel's")]
pub fn resident() -> Option<usize> {
    let statm = fs::read_to_string("/proc/self/statm").ok()?;
    let pages: usize = statm.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}

/// Publishes the memory by use, and logs it each time the resident memory has reached another tenth of the limit.
#[derive(Debug)]
pub struct Monitor {
    limit: usize,
    /// Resident memory that is logged next.
    next_logged: Cell<usize>,
    /// Latest figures of the resident memory.
    samples: RefCell<VecDeque<usize>>,
}

impl Monitor {
    /// Creates a monitor for a limit in bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, next_logged: Cell::new(0), samples: RefCell::default() }
    }

    /// Notes a figure of the resident memory.
    pub fn note(&self, resident: usize) {
        let mut samples = self.samples.borrow_mut();
        samples.truncate(SAMPLES - 1);
        samples.push_front(resident);
    }

    /// Whether there is no memory for a batch with bodies of a size. Without an open batch there always is: what is resident
    /// then is mostly free memory that the allocator keeps, and nothing would ever make room.
    pub fn is_short(&self, usage: Usage, open_batches: usize, bodies: usize) -> Option<Short> {
        let samples = self.samples.borrow();
        let lowest = samples.iter().copied().min().filter(|_| samples.len() == SAMPLES);
        let resident = lowest.unwrap_or(0);
        let held = usage.bodies + usage.progress + usage.running + bodies;
        let over = |bytes: usize, percent: usize| bytes > self.limit * percent / 100;
        let short = over(resident, RESIDENT_PERCENT) || over(held, OPEN_PERCENT);
        (open_batches > 0 && short).then_some(Short { resident, held, limit: self.limit })
    }

    /// Publishes the gauges.
    pub fn publish(&self, usage: Usage) {
        let Some(resident) = resident() else { return };
        self.note(resident);
        let uses = [
            ("texts", usage.texts),
            ("texts_on_disk", usage.texts_on_disk),
            ("bodies", usage.bodies),
            ("progress", usage.progress),
            ("running", usage.running),
            ("log", usage.log),
            ("resident", resident),
            ("limit", self.limit),
        ];
        for (name, bytes) in uses {
            metrics::gauge!("orioleworks_memory_bytes", "use" => name).set(bytes as f64);
        }
        if resident < self.next_logged.get() {
            return;
        }
        let step = (self.limit * LOGGED_STEP_PERCENT / 100).max(1);
        self.next_logged.set((resident / step + 1) * step);
        let kb = |bytes: usize| bytes / 1024;
        event!(
            info,
            "memory_grown",
            resident_kb = kb(resident),
            limit_kb = kb(self.limit),
            texts_kb = kb(usage.texts),
            texts_on_disk_kb = kb(usage.texts_on_disk),
            bodies_kb = kb(usage.bodies),
            progress_kb = kb(usage.progress),
            running_kb = kb(usage.running),
            log_kb = kb(usage.log),
        );
    }
}
