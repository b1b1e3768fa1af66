//! Report of what each step waited for, one log line a step.
//!
//! A trainer waits for a number of whole groups. The last of them decides when the step is complete, and within it the
//! item that ends last. Its time is split into parts, so that the line tells a late start from slow generation, from
//! moves and from pauses of engines. See `docs/OPERATIONS.md`.

use std::{rc::Rc, time::Duration};

use indexmap::IndexMap;
use orioleworks_daemon::event;
use orioleworks_proto::inner;

/// Gap between two events of an engine that is a pause: several times the time that any engine takes for an event.
const MIN_PAUSE: Duration = Duration::from_millis(250);

/// How an item has spent its time since it was queued.
#[derive(Clone, Copy, Debug, Default)]
pub struct ItemTimes {
    /// Wait before the first run.
    pub first_wait: Duration,
    /// Waits between runs.
    pub later_waits: Duration,
    /// From the start of each run to its first event: the connection, the engine's queue, the prompt.
    pub to_first_event: Duration,
    /// From the first event of each run to its end.
    pub generating: Duration,
    /// Part of `generating` in gaps that are pauses: a load, a preemption, a stalled engine.
    pub paused: Duration,
    /// Part of `paused` while the engine loaded weights.
    pub paused_by_loads: Duration,
    /// Runs, the last one included.
    pub runs: u32,
    /// Runs that ended with a move to a faster engine.
    pub moves: u32,
}

impl ItemTimes {
    /// Records the end of a wait.
    pub fn run_started(&mut self, waited: Duration) {
        if self.runs == 0 {
            self.first_wait = waited;
        } else {
            self.later_waits += waited;
        }
        self.runs += 1;
    }

    /// Records an event; `gap` is the time since the one before in the same run, `started` the age of the run.
    pub fn event(&mut self, gap: Option<Duration>, started: Duration, loading: bool) {
        let Some(gap) = gap else {
            self.to_first_event += started;
            return;
        };
        self.generating += gap;
        if gap >= MIN_PAUSE {
            self.paused += gap;
            if loading {
                self.paused_by_loads += gap;
            }
        }
    }
}

/// What is known of an item when it is complete.
#[derive(Clone, Copy, Debug)]
pub struct Completed<'a> {
    /// ID of the item.
    pub item: &'a str,
    /// Its group.
    pub group: &'a str,
    /// Engine of its last run.
    pub upstream: &'a str,
    /// How it spent its time.
    pub times: &'a ItemTimes,
    /// Number of its events.
    pub events: usize,
    /// Events that its caller expected.
    pub expected_events: u32,
}

/// Progress of a step towards the groups that its trainer waits for.
#[derive(Debug)]
pub struct Step {
    /// Age of the batch when this store queued its items.
    age: Duration,
    queued_at: Duration,
    /// Items of each group that are not complete.
    missing: IndexMap<Rc<str>, usize>,
    /// Groups that the trainer still waits for.
    wanted: usize,
}

impl Step {
    /// Starts the report of a batch whose `items` are queued; its trainer waits for `wanted` more groups.
    pub fn new<'a>(
        items: impl Iterator<Item = &'a inner::BatchItem>,
        wanted: usize,
        age: Duration,
        now: Duration,
    ) -> Self {
        let mut missing: IndexMap<Rc<str>, usize> = IndexMap::new();
        for item in items {
            *missing.entry(item.group.as_str().into()).or_default() += 1;
        }
        Self { age, queued_at: now, missing, wanted }
    }

    /// Records a completed item. Logs the step and returns true if it completes the last group that the trainer waits for.
    pub fn complete(
        &mut self,
        id: &str,
        batch: &inner::Batch,
        item: &Completed<'_>,
        now: Duration,
    ) -> bool {
        let Some(missing) = self.missing.get_mut(item.group) else { return false };
        *missing = missing.saturating_sub(1);
        if *missing > 0 || self.wanted == 0 {
            return false;
        }
        self.wanted -= 1;
        if self.wanted > 0 {
            return false;
        }
        let times = item.times;
        let ms = (self.age + now.saturating_sub(self.queued_at)).as_millis();
        event!(
            info,
            "step_complete",
            batch = id,
            model = batch.model,
            step = batch.step,
            ms = ms,
            due_ms = batch.completion_ms,
            queued_ms = self.age.as_millis(),
            last_item = item.item,
            upstream = item.upstream,
            events = item.events,
            expected_events = item.expected_events,
            first_wait_ms = times.first_wait.as_millis(),
            later_waits_ms = times.later_waits.as_millis(),
            to_first_event_ms = times.to_first_event.as_millis(),
            generating_ms = times.generating.as_millis(),
            paused_ms = times.paused.as_millis(),
            paused_by_loads_ms = times.paused_by_loads.as_millis(),
            runs = times.runs,
            moves = times.moves,
        );
        true
    }
}
