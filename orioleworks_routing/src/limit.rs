//! Adaptive concurrency limit of one upstream, derived from latency; see `docs/design.md`, section 8.
//!
//! ```
//! use orioleworks_routing::limit::{Limit, Settings};
//!
//! let limit = Limit::new(Settings::default(), 8);
//! assert_eq!(limit.share(2), 4);
//! assert_eq!(limit.share(100), 1);
//! ```

use std::{collections::VecDeque, time::Duration};

/// Latencies per window; the limit changes once a window, because single latencies vary too much.
const WINDOW_SAMPLES: u32 = 8;
/// Time for which a window mean is a candidate for the baseline latency.
const BASELINE_WINDOW: Duration = Duration::from_secs(30);
/// Ratio to the lowest recent latency above which a window counts as congested.
const TOLERANCE_RATIO: f64 = 1.5;
/// Absolute tolerance in seconds, so that scheduling noise on very fast upstreams does not count as congestion.
const TOLERANCE_S: f64 = 0.002;
/// Factor applied to the limit on congestion.
const CONGESTION_DECREASE: f64 = 0.9;
/// Factor applied to the limit after a failed request.
const FAILURE_DECREASE: f64 = 0.7;
/// Largest limit.
const MAX_LIMIT: f64 = 4096.0;

/// Limit settings.
#[derive(Clone, Copy, Debug, Default)]
pub struct Settings {
    /// Fixed limit instead of an adaptive one; used as the baseline.
    pub fixed: Option<u32>,
}

/// Adaptive limit of one upstream.
#[derive(Clone, Debug)]
pub struct Limit {
    settings: Settings,
    limit: f64,
    samples: u32,
    sum_s: f64,
    max_saturation: u32,
    recent_minima: VecDeque<(Duration, f64)>,
}

impl Limit {
    /// Creates a limit that starts at the capacity which the upstream announced.
    pub fn new(settings: Settings, capacity: u32) -> Self {
        Self {
            settings,
            limit: f64::from(capacity.max(1)).min(MAX_LIMIT),
            samples: 0,
            sum_s: 0.0,
            max_saturation: 0,
            recent_minima: VecDeque::new(),
        }
    }

    /// Current limit of the upstream, shared by all entries.
    pub fn current(&self) -> u32 {
        self.settings.fixed.unwrap_or(self.limit as u32).max(1)
    }

    /// Share of the limit for each of `live_entries` entries, at least 1.
    pub fn share(&self, live_entries: u32) -> u32 {
        (self.current() / live_entries.max(1)).max(1)
    }

    /// Records a finished request.
    ///
    /// `units` is the number of tokens of a stream, or 1 for a plain response. `saturation` is the number of requests
    /// that this entry had in flight when it sent the request, in percent of its share.
    pub fn finished(&mut self, now: Duration, latency: Duration, units: u32, saturation: u32) {
        self.samples += 1;
        self.sum_s += latency.as_secs_f64() / f64::from(units.max(1));
        self.max_saturation = self.max_saturation.max(saturation);
        if self.samples < WINDOW_SAMPLES {
            return;
        }
        let mean = self.sum_s / f64::from(self.samples);
        let max_saturation = std::mem::take(&mut self.max_saturation);
        (self.samples, self.sum_s) = (0, 0.0);
        while self.recent_minima.front().is_some_and(|(at, _)| *at + BASELINE_WINDOW < now) {
            self.recent_minima.pop_front();
        }
        // The deque is sorted by latency, so that its front is the lowest recent one.
        while self.recent_minima.back().is_some_and(|(_, s)| *s >= mean) {
            self.recent_minima.pop_back();
        }
        self.recent_minima.push_back((now, mean));
        let lowest = self.recent_minima.front().map_or(mean, |(_, s)| *s);
        if mean > lowest * TOLERANCE_RATIO + TOLERANCE_S {
            self.limit = (self.limit * CONGESTION_DECREASE).max(1.0);
        } else if max_saturation >= 50 {
            // The limit grows only under load: without it, nothing shows that the upstream can handle more.
            self.limit = (self.limit + 1.0).min(MAX_LIMIT);
        }
    }

    /// Records a request that failed or was rejected because of overload.
    pub fn failed(&mut self) {
        self.limit = (self.limit * FAILURE_DECREASE).max(1.0);
    }
}
