//! Load balancing by the better of two random candidates; see `docs/design.md`, section 8.
//!
//! ```
//! use std::time::Duration;
//! use orioleworks_routing::choice::{Candidate, Settings, choose};
//!
//! let idle = Candidate { own_in_flight: 0, reported: 0, report_age: Duration::ZERO, capacity: 4 };
//! let busy = Candidate { own_in_flight: 4, ..idle };
//! let mut rng = rand::rng();
//! assert_eq!(choose(&[busy, idle], Settings::default(), &mut rng), Some(1));
//! ```

use std::time::Duration;

use rand::{Rng, RngExt};

/// Age at which the weight of a load report has halved; reports arrive every 500 ms.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(500);

/// Selection settings.
#[derive(Clone, Copy, Debug, Default)]
pub struct Settings {
    /// Selects a random candidate; used as the baseline.
    pub random: bool,
}

/// Known load of one upstream.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Requests that this entry has in flight on it.
    pub own_in_flight: u32,
    /// Running and queued requests in its last load report.
    pub reported: u32,
    /// Age of the report.
    pub report_age: Duration,
    /// Current concurrency limit; loads are divided by it, so that upstreams of different sizes compare.
    pub capacity: u32,
}

impl Candidate {
    /// Estimated load relative to the limit.
    pub fn score(&self) -> f64 {
        let half_lives = self.report_age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64();
        let reported = f64::from(self.reported) * 0.5_f64.powf(half_lives);
        (f64::from(self.own_in_flight) + reported) / f64::from(self.capacity.max(1))
    }
}

/// Index of the chosen candidate, `None` when there is none.
pub fn choose(candidates: &[Candidate], settings: Settings, rng: &mut impl Rng) -> Option<usize> {
    match candidates.len() {
        0 => None,
        1 => Some(0),
        n => {
            let first = rng.random_range(0..n);
            if settings.random {
                return Some(first);
            }
            let second = (first + rng.random_range(1..n)) % n;
            let better = candidates[second].score() < candidates[first].score();
            Some(if better { second } else { first })
        }
    }
}
