//! Order and placement of batch items on engines.
//!
//! Answers the load pattern of several trainers whose batches arrive at once on shared engines: the batch that is due
//! first goes first, and inside a batch the longest items, because a step waits for its last group. Engines take no
//! more than their slots, so that waiting work stays here, where urgent work can overtake it. See `docs/platform.md`.

use std::{cmp::Reverse, time::Duration};

/// Milliseconds for one event that are assumed of an engine before its first stream.
pub const ASSUMED_EVENT_MS: f64 = 40.0;
/// Weight of the newest event gap in the mean of an engine.
const NEWEST: f64 = 0.1;
/// Advantage of an engine that holds the shared prompt of the item's group.
const AFFINITY_FACTOR: f64 = 0.9;
/// Slowdown of an engine whose slots are all taken, against an idle one.
const FULL_SLOWDOWN: f64 = 0.3;
/// Event time against the median at which an engine counts as slow.
const SLOW_RATIO: f64 = 2.0;

/// Events left from which an item loses more on a slow engine than it loses by a move or a wait: about a second at the
/// usual pace.
const LONG_EVENTS: usize = 25;

/// Rank of a waiting item; lower goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    priority: u32,
    due: Duration,
    longest_first: Reverse<u32>,
    sequence: u64,
}

impl Rank {
    /// Rank of an item; `sequence` tells items apart and keeps their order.
    pub fn new(priority: u32, due: Duration, expected_tokens: u32, sequence: u64) -> Self {
        Self { priority, due, longest_first: Reverse(expected_tokens), sequence }
    }
}

/// Moving mean of the time that an engine takes for one event.
#[derive(Clone, Copy, Debug)]
pub struct EventTime {
    ms: f64,
}

impl Default for EventTime {
    fn default() -> Self {
        Self { ms: ASSUMED_EVENT_MS }
    }
}

impl EventTime {
    /// Takes the gap between two events.
    pub fn note(&mut self, gap: Duration) {
        self.ms = self.ms * (1.0 - NEWEST) + gap.as_secs_f64() * 1000.0 * NEWEST;
    }

    /// Mean in milliseconds.
    pub fn ms(&self) -> f64 {
        self.ms
    }
}

/// Memory that an item is expected to take at its end, in tokens.
///
/// Callers bound the output by the longest of all items, which would leave most of an engine's memory unused. An item
/// that grows beyond the estimate costs the engine a preemption and a second read of its prompt.
pub fn expected_memory(prompt: u32, expected_output: u32, most: u32) -> u64 {
    if prompt == 0 || expected_output == 0 {
        return most.into();
    }
    (u64::from(prompt) + u64::from(expected_output)).min(most.into())
}

/// What placement needs to know of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineLoad {
    /// Items that run on it.
    pub running: u32,
    /// Items that it runs at a time.
    pub slots: u32,
    /// Tokens of the items that run on it.
    pub tokens: u64,
    /// Tokens that fit into its memory.
    pub memory_tokens: u64,
    /// Mean time for one event in milliseconds.
    pub event_ms: f64,
    /// Whether it ran another item of the same group.
    pub holds_prompt: bool,
}

impl EngineLoad {
    fn fits(&self, tokens: u64) -> bool {
        let memory = self.memory_tokens == 0 || self.tokens + tokens <= self.memory_tokens;
        self.running < self.slots && (memory || self.running == 0)
    }

    fn cost(&self) -> f64 {
        let load = f64::from(self.running) / f64::from(self.slots.max(1));
        let affinity = if self.holds_prompt { AFFINITY_FACTOR } else { 1.0 };
        self.event_ms * (1.0 + FULL_SLOWDOWN * load) * affinity
    }
}

/// Index of the engine on which an item would end first; `None` when none has room.
pub fn place(engines: &[EngineLoad], tokens: u64) -> Option<usize> {
    let fitting = engines.iter().enumerate().filter(|(_, e)| e.fits(tokens));
    fitting.min_by(|(_, a), (_, b)| a.cost().total_cmp(&b.cost())).map(|(i, _)| i)
}

/// Events that an item is expected to need beyond those that it has.
///
/// An item that has outgrown its estimate is taken to be half done: lengths are spread widely, so that the longer an
/// item runs, the longer it is expected to run on.
pub fn events_left(expected_tokens: u32, event_tokens: u32, events: usize) -> usize {
    let expected = (expected_tokens / event_tokens.max(1)) as usize;
    if expected > events { expected - events } else { events }
}

/// Whether an item is long enough to wait for a fast engine, or to leave a slow one.
pub fn is_worth_a_fast_engine(events_left: usize) -> bool {
    events_left >= LONG_EVENTS
}

/// Median of times in milliseconds; the assumed time when there are none.
pub fn median(times: &[f64]) -> f64 {
    let mut sorted = times.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(ASSUMED_EVENT_MS)
}

/// Whether an engine is so slow against the others that an item gains by going on elsewhere.
pub fn is_slow(event_ms: f64, all: &[f64]) -> bool {
    event_ms > median(all) * SLOW_RATIO
}
