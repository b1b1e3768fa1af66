//! Durable state of a trainer, and the rule for taking a batch.

use std::collections::BTreeSet;

use orioleworks_rules::delivery::{TrainerCursor, may_take_batch};
use serde::{Deserialize, Serialize};

use crate::messages::{Batch, Sample};

/// Slot of a step: group and index.
pub type SlotKey = (String, u32);

/// Durable state of a trainer for one run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Name of the run.
    pub run: String,
    /// Epoch of the step that was opened last, 0 before the first.
    pub epoch: u64,
    /// Number of the step.
    pub step: u64,
    /// Cursor of the next batch.
    pub cursor: u64,
    /// Slots of the step that were taken.
    pub taken: BTreeSet<SlotKey>,
}

impl State {
    /// State of a run without any step.
    pub fn new(run: impl Into<String>) -> Self {
        Self { run: run.into(), ..Self::default() }
    }

    /// State after opening a step; taken slots are kept when it is the same step.
    #[must_use]
    pub fn after_open(&self, step: u64, epoch: u64) -> Self {
        let taken = if step == self.step { self.taken.clone() } else { BTreeSet::new() };
        Self { run: self.run.clone(), epoch, step, cursor: 0, taken }
    }

    /// State after taking a batch, with the samples that are new; `None` for a batch that must be ignored.
    pub fn after_batch(&self, batch: &Batch) -> Option<(Self, Vec<Sample>)> {
        let own = TrainerCursor { epoch: self.epoch, cursor: self.cursor };
        if batch.step != self.step || !may_take_batch(own, batch.epoch, batch.cursor) {
            return None;
        }
        let mut next = self.clone();
        next.cursor = batch.next_cursor;
        let new = batch
            .samples
            .iter()
            .filter(|sample| next.taken.insert((sample.group.clone(), sample.index)))
            .cloned()
            .collect();
        Some((next, new))
    }
}
