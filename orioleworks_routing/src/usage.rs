//! Counts of the requests of tenants by window of time, and their reports.
//!
//! A gateway counts with [`RequestUsage`] and [`Counter`]; the stores replicate [`Windows`]; the store that reports paces its
//! calls with [`Pacing`]. Times are Unix milliseconds unless stated otherwise. See
//! `docs/design/tenants-usage-and-bounds.md`, section 2.3.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use indexmap::IndexMap;

/// Time for which windows are kept that cannot be delivered or reported, in milliseconds.
pub const BACKLOG_MS: u64 = 600_000;
/// Time after which a request without a response counts as one that may have run, in milliseconds. A window is closed soon
/// after its end, so that a slow request cannot wait for its response; refusals arrive within a few round trips.
const ASSUMED_RUN_MS: u64 = 500;
/// Bytes of counts after which a part takes no more. It bounds the entries of the log after a long outage.
const MAX_PART_BYTES: usize = 256 * 1024;
/// Open or closed windows that the stores keep: those of [`BACKLOG_MS`] with the shortest window of 1 s. It bounds the state
/// if no store closes windows, or if the clock of a gateway is far ahead.
const MAX_WINDOWS: usize = 600;
/// Processes of gateways whose last part is remembered; those of ten restarts of the largest deployment.
const MAX_PROCESSES: usize = 4096;
/// First pause after a call without a valid response.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause after a call without a valid response.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Number of requests by tenant; ordered, so that every report of a window has the same bytes.
pub type Counts = BTreeMap<Rc<str>, u64>;

/// Attempts of one request that ran or may have run.
#[derive(Clone, Debug, Default)]
pub struct RequestUsage {
    /// Number of the attempt, and the time at which it was sent. Attempts that did not run are removed.
    sent: Vec<(usize, u64)>,
    counted: bool,
}

impl RequestUsage {
    /// Records that an attempt is about to be written to its connection. An attempt that is sent a second time, because it
    /// was not sent before after all, gets the later time.
    pub fn record_sent(&mut self, attempt: usize, now_ms: u64) {
        self.sent.retain(|(sent, _)| *sent != attempt);
        self.sent.push((attempt, now_ms));
    }

    /// Records the end of an attempt. Returns the time at which the request counts, once.
    pub fn record_end(&mut self, attempt: usize, may_have_run: bool) -> Option<u64> {
        if !may_have_run {
            self.sent.retain(|(sent, _)| *sent != attempt);
            return None;
        }
        self.sent.iter().any(|(sent, _)| *sent == attempt).then(|| self.count()).flatten()
    }

    /// Returns the time at which the request counts, once, if an attempt has had no response for too long.
    pub fn count_overdue(&mut self, now_ms: u64) -> Option<u64> {
        let overdue = |(_, at): &(usize, u64)| at + ASSUMED_RUN_MS <= now_ms;
        self.sent.iter().any(overdue).then(|| self.count()).flatten()
    }

    fn count(&mut self) -> Option<u64> {
        let first = self.sent.iter().map(|(_, at)| *at).min()?;
        (!std::mem::replace(&mut self.counted, true)).then_some(first)
    }
}

/// Counts that a gateway sends again unchanged until they are acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Rises by one with each part of a process, from 1 on.
    pub sequence: u64,
    /// Window, tenant and number of requests.
    pub counts: Vec<(u64, Rc<str>, u64)>,
}

/// Counts of a gateway that no store has acknowledged.
#[derive(Clone, Debug)]
pub struct Counter {
    window_ms: u64,
    pending: BTreeMap<(u64, Rc<str>), u64>,
    /// The part that was sent and not acknowledged.
    unacknowledged: Option<Part>,
    last_sequence: u64,
}

impl Counter {
    /// Creates a counter for windows of this length.
    pub fn new(window_ms: u64) -> Self {
        let (pending, unacknowledged, last_sequence) = (BTreeMap::new(), None, 0);
        Self { window_ms: window_ms.max(1), pending, unacknowledged, last_sequence }
    }

    /// Counts a request that was sent at a time.
    pub fn count(&mut self, tenant: &Rc<str>, sent_ms: u64) {
        *self.pending.entry((sent_ms / self.window_ms, tenant.clone())).or_default() += 1;
    }

    /// The part to send now: the one that is not acknowledged, or a new one.
    pub fn next_part(&mut self) -> Option<Part> {
        if self.unacknowledged.is_none() && !self.pending.is_empty() {
            let mut bytes = 0;
            let mut counts = Vec::new();
            while let Some(entry) = self.pending.first_entry().filter(|_| bytes < MAX_PART_BYTES) {
                let ((window, tenant), count) = entry.remove_entry();
                bytes += tenant.len() + 24;
                counts.push((window, tenant, count));
            }
            self.last_sequence += 1;
            self.unacknowledged = Some(Part { sequence: self.last_sequence, counts });
        }
        self.unacknowledged.clone()
    }

    /// Records that a store has the part for good.
    pub fn acknowledge(&mut self, sequence: u64) {
        self.unacknowledged = self.unacknowledged.take().filter(|part| part.sequence != sequence);
    }

    /// Drops windows that are too old to be reported. Returns the number of their requests.
    pub fn drop_expired(&mut self, now_ms: u64) -> u64 {
        let oldest = now_ms.saturating_sub(BACKLOG_MS) / self.window_ms;
        let mut dropped = 0;
        // A part is never sent with fewer counts, so it is dropped as a whole, after its newest window has expired.
        let expired = |part: &Part| part.counts.iter().all(|(window, ..)| *window < oldest);
        if let Some(part) = self.unacknowledged.take_if(|part| expired(part)) {
            dropped += part.counts.iter().map(|(.., count)| count).sum::<u64>();
        }
        while let Some(entry) = self.pending.first_entry().filter(|e| e.key().0 < oldest) {
            dropped += entry.remove();
        }
        dropped
    }

    /// Number of requests that no store has acknowledged.
    pub fn unacknowledged(&self) -> u64 {
        let sent = self.unacknowledged.iter().flat_map(|part| &part.counts);
        self.pending.values().chain(sent.map(|(.., count)| count)).sum()
    }
}

/// When windows are closed and dropped.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    /// Length of a window in milliseconds.
    pub window_ms: u64,
    /// Time from the end of a window until it is closed, in milliseconds.
    pub close_after_ms: u64,
}

impl Schedule {
    /// Newest window that may be closed, if any.
    fn newest_due(&self, now_ms: u64) -> Option<u64> {
        (now_ms.saturating_sub(self.close_after_ms) / self.window_ms).checked_sub(1)
    }

    /// Oldest window that is still reported.
    fn oldest_kept(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(BACKLOG_MS).div_ceil(self.window_ms)
    }
}

/// What became of a part.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recorded {
    /// Counts of closed windows, which are left out.
    pub late: Vec<(u64, Rc<str>, u64)>,
    /// Number of requests of windows that were dropped because there were too many.
    pub dropped: u64,
}

/// Replicated counts of all gateways.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Windows {
    /// The next window to close; 0 before the first document with tenants.
    pub next: u64,
    /// Counts of windows that are not closed.
    pub open: BTreeMap<u64, Counts>,
    /// Counts of windows that are closed and not reported; they never change.
    pub closed: BTreeMap<u64, Counts>,
    /// Sequence of the last part by gateway and boot, in the order in which they sent parts last.
    pub last_parts: IndexMap<(Rc<str>, u64), u64>,
}

impl Windows {
    /// Begins with a window, unless they have begun. Earlier counts are dropped.
    pub fn begin(&mut self, window: u64) {
        if self.next == 0 {
            self.next = window;
            self.open = self.open.split_off(&window);
        }
    }

    /// Adds a part of a process of a gateway, unless it was added before.
    pub fn record(
        &mut self,
        gateway: &str,
        boot: u64,
        sequence: u64,
        counts: impl IntoIterator<Item = (u64, Rc<str>, u64)>,
    ) -> Recorded {
        let mut recorded = Recorded::default();
        let process = (gateway.into(), boot);
        let last = self.last_parts.shift_remove(&process).unwrap_or_default();
        // The process that has been silent for longest is forgotten first, because a part of another one may be sent again.
        self.last_parts.insert(process, last.max(sequence));
        if self.last_parts.len() > MAX_PROCESSES {
            self.last_parts.shift_remove_index(0);
        }
        if sequence <= last {
            return recorded;
        }
        for (window, tenant, count) in counts {
            if window < self.next {
                recorded.late.push((window, tenant, count));
                continue;
            }
            let counts = self.open.entry(window).or_default();
            let total = counts.entry(tenant).or_default();
            *total = total.saturating_add(count);
            if self.open.len() > MAX_WINDOWS {
                recorded.dropped += total_requests(self.open.pop_last());
            }
        }
        recorded
    }

    /// Fixes the counts of a window. Windows between the last closed one and this one are dropped. Returns the number of
    /// requests of a closed window that was dropped because there were too many, or `None` for a window that is closed already.
    pub fn close(&mut self, window: u64) -> Option<u64> {
        if window < self.next {
            return None;
        }
        let later = self.open.split_off(&(window + 1));
        let counts = std::mem::replace(&mut self.open, later).remove(&window).unwrap_or_default();
        self.closed.insert(window, counts);
        self.next = window + 1;
        let surplus = self.closed.len() > MAX_WINDOWS;
        Some(total_requests(surplus.then(|| self.closed.pop_first()).flatten()))
    }

    /// Discards a window that was reported or is too old.
    pub fn discard(&mut self, window: u64) {
        self.closed.remove(&window);
    }

    /// Next window to close, and the number of older ones that are dropped because they are too old.
    pub fn due_to_close(&self, schedule: Schedule, now_ms: u64) -> Option<(u64, u64)> {
        let newest = schedule.newest_due(now_ms)?;
        if self.next == 0 {
            return Some((newest, 0));
        }
        let window = self.next.max(schedule.oldest_kept(now_ms).min(newest));
        (self.next <= newest).then(|| (window, window - self.next))
    }

    /// Oldest closed window, unless it is too old; then the error has its number.
    ///
    /// # Errors
    ///
    /// Returns the number of a window that must be discarded first.
    pub fn due_to_report(
        &self,
        schedule: Schedule,
        now_ms: u64,
    ) -> Result<Option<(u64, &Counts)>, u64> {
        match self.closed.first_key_value() {
            Some((window, _)) if *window < schedule.oldest_kept(now_ms) => Err(*window),
            first => Ok(first.map(|(window, counts)| (*window, counts))),
        }
    }

    /// Time since the end of the oldest window that is not reported, in milliseconds.
    pub fn lag_ms(&self, window_ms: u64, now_ms: u64) -> u64 {
        let oldest = self.closed.keys().next().copied().unwrap_or(self.next);
        if oldest == 0 { 0 } else { now_ms.saturating_sub((oldest + 1) * window_ms) }
    }
}

fn total_requests(window: Option<(u64, Counts)>) -> u64 {
    window.map_or(0, |(_, counts)| counts.values().fold(0, |sum, n| sum.saturating_add(*n)))
}

/// Pauses between the calls of one instance; times are since any fixed origin.
#[derive(Clone, Debug)]
pub struct Pacing {
    interval: Duration,
    failures: u32,
    not_before: Duration,
}

impl Pacing {
    /// Creates the pacing for an API that takes this many calls a second. One duty uses half of them, because other duties and
    /// calls of an earlier holder that arrive late need some too.
    pub fn new(calls_per_s: f64) -> Self {
        let interval = 2.0 / calls_per_s.max(0.1);
        let interval = Duration::try_from_secs_f64(interval).unwrap_or(LONGEST_PAUSE);
        Self { interval, failures: 0, not_before: Duration::ZERO }
    }

    /// Time until the next call may be made.
    pub fn wait(&self, now: Duration) -> Duration {
        self.not_before.saturating_sub(now)
    }

    /// Records a response that settles a call.
    pub fn record_success(&mut self, now: Duration) {
        self.failures = 0;
        self.not_before = now + self.interval;
    }

    /// Records a call that must be repeated.
    pub fn record_failure(&mut self, now: Duration) {
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        self.not_before = now + pause.min(LONGEST_PAUSE).max(self.interval);
    }
}
