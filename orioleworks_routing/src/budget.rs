//! Retry budget: limits retries to a share of recent successes; see `docs/design.md`, section 7.
//!
//! ```
//! use std::time::Duration;
//! use orioleworks_routing::budget::{Budget, Settings};
//!
//! let mut budget = Budget::new(Settings { floor: 1, ..Settings::default() });
//! assert!(budget.try_retry(Duration::ZERO));
//! assert!(!budget.try_retry(Duration::ZERO));
//! ```

use std::{collections::VecDeque, time::Duration};

/// Length of one counting interval.
const INTERVAL: Duration = Duration::from_secs(1);
/// Number of recent intervals that are counted.
const INTERVALS: u64 = 10;

/// Retry budget settings.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Retries allowed in percent of recent successes.
    pub percent: u32,
    /// Retries that are always allowed over the recent intervals, even without any success.
    pub floor: u32,
    /// Allows every retry; used as the baseline.
    pub unlimited: bool,
}

impl Default for Settings {
    fn default() -> Self {
        // The floor covers the requests in flight on one lost upstream of a domain with little traffic.
        Self { percent: 10, floor: 10, unlimited: false }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    interval: u64,
    successes: u64,
    retries: u64,
}

/// Retry budget of one profile.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    counts: VecDeque<Counts>,
}

impl Budget {
    /// Creates an unused budget.
    pub fn new(settings: Settings) -> Self {
        Self { settings, counts: VecDeque::new() }
    }

    /// Records a success.
    pub fn success(&mut self, now: Duration) {
        self.current(now).successes += 1;
    }

    /// Takes one retry from the budget; returns whether the retry is allowed.
    pub fn try_retry(&mut self, now: Duration) -> bool {
        self.current(now);
        let successes: u64 = self.counts.iter().map(|c| c.successes).sum();
        let retries: u64 = self.counts.iter().map(|c| c.retries).sum();
        let allowed = successes * u64::from(self.settings.percent) / 100;
        let allowed = allowed.max(u64::from(self.settings.floor));
        let granted = self.settings.unlimited || retries < allowed;
        if granted {
            self.current(now).retries += 1;
        }
        granted
    }

    fn current(&mut self, now: Duration) -> &mut Counts {
        let interval = now.as_secs() / INTERVAL.as_secs();
        while self.counts.front().is_some_and(|c| c.interval + INTERVALS <= interval) {
            self.counts.pop_front();
        }
        if self.counts.back().is_none_or(|c| c.interval < interval) {
            self.counts.push_back(Counts { interval, ..Counts::default() });
        }
        let last = self.counts.len() - 1;
        &mut self.counts[last]
    }
}
