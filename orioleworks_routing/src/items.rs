//! Order and placement of batch items on engines.
//!
//! Several trainers send their batches to shared engines at the same time. The batch that is due first goes first, and
//! within a batch the longest items, because a step waits for its last group. Engines get no more items than they have
//! slots, so that other items wait in this process, where urgent ones can overtake them. See `docs/platform.md`.

use std::{cmp::Reverse, time::Duration};

/// Time per event in milliseconds that is assumed while no engine has been measured.
pub const ASSUMED_EVENT_MS: f64 = 40.0;
/// Time in seconds in which the weight of an event in an engine's average falls to a third.
const AVERAGE_TIME_S: f64 = 2.0;
/// Events of an average that counts as a measurement.
const MIN_MEASURED_EVENTS: f64 = 8.0;
/// Cost factor of an engine that has cached the shared prompt of the item's group.
const AFFINITY_FACTOR: f64 = 0.9;
/// Relative slowdown of an engine whose slots are all in use, compared to an idle one.
const FULL_SLOWDOWN: f64 = 0.3;
/// Ratio of event time to the median above which an engine counts as slow.
const SLOW_RATIO: f64 = 2.0;
/// Time that a move must save: several times what the next engine takes to read the prompt and the output again.
const MIN_MOVE_GAIN_MS: f64 = 250.0;
/// Ratio of event times below which a difference may be noise of the averages.
const MIN_SPEEDUP: f64 = 1.2;
/// Events of a run before it may move, so that the averages describe the load that it meets.
const MIN_EVENTS_BEFORE_MOVE: usize = 8;

/// Remaining events from which a slow engine costs an item more time than a move or a wait; they take about a second at
/// the usual event rate.
const LONG_ITEM_EVENTS: usize = 25;

/// Dispatch order of a waiting item; the lowest rank goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    priority: u32,
    due: Duration,
    longest_first: Reverse<u32>,
    sequence: u64,
}

impl Rank {
    /// Creates a rank; `sequence` is unique and breaks ties in arrival order.
    pub fn new(priority: u32, due: Duration, expected_tokens: u32, sequence: u64) -> Self {
        Self { priority, due, longest_first: Reverse(expected_tokens), sequence }
    }

    /// Order among steps, whatever the length and the arrival of an item.
    pub fn of_step(&self) -> (u32, Duration) {
        (self.priority, self.due)
    }
}

/// Average of the time that an engine takes for one event, over the streams of the last seconds.
///
/// Events lose weight with time, not with the number of events after them: events that were held up arrive together, as one
/// long gap and several of zero, and only all of them together tell the time for an event.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventTime {
    /// Weighted sum of the gaps in milliseconds.
    gaps_ms: f64,
    /// Weighted number of the gaps.
    events: f64,
    /// Time of the newest event.
    at: Duration,
}

impl EventTime {
    /// Records the gap between two events of a stream.
    pub fn note(&mut self, gap: Duration, now: Duration) {
        let weight = self.weight(now);
        self.gaps_ms = self.gaps_ms * weight + gap.as_secs_f64() * 1000.0;
        self.events = self.events * weight + 1.0;
        self.at = now;
    }

    /// Average in milliseconds; `None` without enough events of the last seconds.
    pub fn measured_ms(&self, now: Duration) -> Option<f64> {
        let enough = self.events * self.weight(now) >= MIN_MEASURED_EVENTS;
        enough.then(|| self.gaps_ms / self.events)
    }

    /// Expected time for an event in milliseconds: the average, or more and more the time of a typical engine as its events
    /// get few and old.
    pub fn expected_ms(&self, typical_ms: f64, now: Duration) -> f64 {
        let weight = self.weight(now);
        let known = self.gaps_ms * weight + typical_ms * MIN_MEASURED_EVENTS;
        known / (self.events * weight + MIN_MEASURED_EVENTS)
    }

    fn weight(&self, now: Duration) -> f64 {
        (-now.saturating_sub(self.at).as_secs_f64() / AVERAGE_TIME_S).exp()
    }
}

/// Memory that an item uses on an engine, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Tokens that it has read and generated.
    pub now: u64,
    /// Tokens that it is expected to generate until it ends.
    pub left: u64,
}

impl Usage {
    /// Usage of an item with a prompt of `prompt` tokens; `most` bounds its tokens in all, unless it is 0.
    ///
    /// The caller's bound on the output covers the longest of all items, and reserving it for each would leave most of an
    /// engine's memory unused. It is reserved only for items without a known prompt or an estimate of what is left.
    pub fn new(prompt: u32, generated: u64, left: Option<u64>, most: u32) -> Self {
        let most = u64::from(most);
        let Some(left) = left.filter(|_| prompt > 0) else { return Self { now: most, left: 0 } };
        let most = if most == 0 { u64::MAX } else { most };
        let now = u64::from(prompt).saturating_add(generated).min(most);
        Self { now, left: left.min(most - now) }
    }
}

/// Largest memory that items use at the same time until the last one ends, if all of them generate at the same rate.
///
/// Short items end, and free their memory, long before the long ones beside them have grown. The sum of the final sizes
/// would therefore keep slots empty for memory that is needed seconds later. An item that exceeds its estimate costs the
/// engine a preemption and a second prompt read.
pub fn peak_usage(items: &[Usage]) -> u64 {
    let mut by_end = items.to_vec();
    by_end.sort_unstable_by_key(|item| item.left);
    // Estimates follow from numbers that callers and documents state, and saturate.
    let mut used = by_end.iter().fold(0_u64, |used, item| used.saturating_add(item.now));
    let (mut peak, mut generated) = (used, 0);
    for (ended, item) in by_end.iter().enumerate() {
        let running = (by_end.len() - ended) as u64;
        used = used.saturating_add((item.left - generated).saturating_mul(running));
        generated = item.left;
        peak = peak.max(used);
        used = used.saturating_sub(item.now.saturating_add(item.left));
    }
    peak
}

/// Load of an engine, as input to placement.
#[derive(Clone, Copy, Debug)]
pub struct EngineLoad {
    /// Items that run on it.
    pub running: u32,
    /// Items that it can run concurrently.
    pub slots: u32,
    /// Largest memory in tokens that its items and the placed one use at the same time; see [`peak_usage`].
    pub peak_tokens: u64,
    /// Tokens that fit into its memory; 0 if that is unknown.
    pub memory_tokens: u64,
    /// Average time for one event in milliseconds.
    pub event_ms: f64,
    /// Whether it ran another item of the same group, so that it has the prompt cached.
    pub holds_prompt: bool,
}

impl EngineLoad {
    fn has_room(&self) -> bool {
        let memory = self.memory_tokens == 0 || self.peak_tokens <= self.memory_tokens;
        self.running < self.slots && (memory || self.running == 0)
    }

    fn cost(&self) -> f64 {
        let load = f64::from(self.running) / f64::from(self.slots.max(1));
        let affinity = if self.holds_prompt { AFFINITY_FACTOR } else { 1.0 };
        self.event_ms * (1.0 + FULL_SLOWDOWN * load) * affinity
    }
}

/// Index of the engine on which an item is expected to finish first; `None` if no engine has capacity.
pub fn place(engines: &[EngineLoad]) -> Option<usize> {
    let fitting = engines.iter().enumerate().filter(|(_, e)| e.has_room());
    fitting.min_by(|(_, a), (_, b)| a.cost().total_cmp(&b.cost())).map(|(i, _)| i)
}

/// Expected number of remaining events of an item.
///
/// An item that has exceeded its estimate is assumed to be half done: lengths vary widely, so the expected remaining
/// time grows with the time that an item has run.
pub fn events_left(expected_tokens: u32, event_tokens: u32, events: usize) -> usize {
    let expected = (expected_tokens / event_tokens.max(1)) as usize;
    if expected > events { expected - events } else { events }
}

/// Largest number of events that an item may still generate: its tokens, unless they are 0, bound prompt and output together.
pub fn most_events_left(
    tokens: u32,
    prompt_tokens: u32,
    event_tokens: u32,
    events: usize,
) -> usize {
    if tokens == 0 {
        return usize::MAX;
    }
    let most = tokens.saturating_sub(prompt_tokens).div_ceil(event_tokens.max(1));
    (most as usize).saturating_sub(events)
}

/// Whether an item ends so much sooner on an engine with another event time that moving there pays.
///
/// A trainer waits for the longest items of its step, and engines differ by a third in speed. Estimates of lengths are often
/// far off, so that an item which turns out to be long may have started on a slower engine while faster ones were full.
pub fn move_pays(events_left: usize, own_ms: f64, other_ms: f64) -> bool {
    own_ms >= other_ms * MIN_SPEEDUP && events_left as f64 * (own_ms - other_ms) >= MIN_MOVE_GAIN_MS
}

/// Whether a run has generated enough events to be compared with other engines.
pub fn may_move(events_of_run: usize) -> bool {
    events_of_run >= MIN_EVENTS_BEFORE_MOVE
}

/// Whether an item is long enough to wait for a fast engine or to be moved away from a slow one.
pub fn needs_fast_engine(events_left: usize) -> bool {
    events_left >= LONG_ITEM_EVENTS
}

/// Median of times in milliseconds; [`ASSUMED_EVENT_MS`] if there are none.
pub fn median(times: &[f64]) -> f64 {
    let mut sorted = times.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(ASSUMED_EVENT_MS)
}

/// Whether an engine is so much slower than the others that an item finishes earlier if it resumes on another one.
pub fn is_slow(event_ms: f64, all: &[f64]) -> bool {
    is_slower_than(event_ms, median(all))
}

/// As [`is_slow`], with the median of all engines.
pub fn is_slower_than(event_ms: f64, median_ms: f64) -> bool {
    event_ms > median_ms * SLOW_RATIO
}
