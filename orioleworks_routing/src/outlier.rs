//! Passive health checks: the health of upstreams, derived from the requests of this process.
//!
//! Handles upstreams that crash, hang or turn slow. After a failure an upstream is paused, for twice as long after each
//! further failure. It then gets one request at a time until one succeeds. See `docs/platform.md`.

use std::{rc::Rc, time::Duration};

use indexmap::IndexMap;

/// First pause after a failure; about the response time of a replica, so that a single lost response costs little.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause; a restarted upstream announces itself within two seconds.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Weight of the newest latency in the moving average.
const EWMA_WEIGHT: f64 = 0.2;
/// Score factor of an upstream without a recent announcement.
const STALE_FACTOR: f64 = 4.0;
/// Score factor of an upstream in another failure domain; the one-way latency there is about a millisecond.
const REMOTE_FACTOR: f64 = 1.15;
/// Latency assumed before the first response, in milliseconds.
const ASSUMED_MS: f64 = 20.0;

/// Health of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Health {
    in_flight: u32,
    mean_ms: f64,
    failures: u32,
    retry_at: Duration,
}

/// Upstream that a request may be sent to.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Key of the upstream: ID and incarnation.
    pub key: Key,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether its newest announcement is recent.
    pub fresh: bool,
    /// Whether it is in the failure domain of this process.
    pub local: bool,
}

/// ID and incarnation of an upstream.
pub type Key = (Rc<str>, u64);

/// Health of all upstreams that requests were sent to.
#[derive(Clone, Debug, Default)]
pub struct Outliers {
    known: IndexMap<Key, Health>,
}

impl Outliers {
    /// Records that a request is sent.
    pub fn record_sent(&mut self, key: &Key) {
        self.known.entry(key.clone()).or_default().in_flight += 1;
    }

    /// Records a response that arrived after `latency`.
    pub fn record_response(&mut self, key: &Key, latency: Duration) {
        let health = self.known.entry(key.clone()).or_default();
        health.in_flight = health.in_flight.saturating_sub(1);
        health.failures = 0;
        health.retry_at = Duration::ZERO;
        let ms = latency.as_secs_f64() * 1000.0;
        let first = health.mean_ms == 0.0;
        health.mean_ms =
            if first { ms } else { health.mean_ms * (1.0 - EWMA_WEIGHT) + ms * EWMA_WEIGHT };
    }

    /// Records a request that was cancelled or rejected because of overload; it does not affect the health.
    pub fn record_dropped(&mut self, key: &Key) {
        let health = self.known.entry(key.clone()).or_default();
        health.in_flight = health.in_flight.saturating_sub(1);
    }

    /// Records a request that failed.
    pub fn record_failure(&mut self, key: &Key, now: Duration) {
        let health = self.known.entry(key.clone()).or_default();
        health.in_flight = health.in_flight.saturating_sub(1);
        health.failures += 1;
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(health.failures.min(8) - 1);
        health.retry_at = now + pause.min(LONGEST_PAUSE);
    }

    /// Forgets all failures, because they were the fault of this process.
    pub fn forgive_all(&mut self) {
        for health in self.known.values_mut() {
            health.failures = 0;
            health.retry_at = Duration::ZERO;
        }
    }

    /// Whether an upstream gets no requests because of recent failures.
    pub fn is_paused(&self, key: &Key, now: Duration) -> bool {
        self.known.get(key).is_some_and(|health| {
            health.failures > 0 && (now < health.retry_at || health.in_flight > 0)
        })
    }

    /// Requests that this process has in flight on an upstream.
    pub fn in_flight(&self, key: &Key) -> u32 {
        self.known.get(key).map_or(0, |health| health.in_flight)
    }

    /// Removes upstreams for which `keep` returns false, except those with requests in flight.
    pub fn retain(&mut self, keep: impl Fn(&Key) -> bool) {
        self.known.retain(|key, health| health.in_flight > 0 || keep(key));
    }

    /// Mean latency of the fastest candidate; `None` before the first response of any.
    pub fn fastest(&self, candidates: &[Candidate]) -> Option<Duration> {
        let known = candidates.iter().filter_map(|c| self.mean_ms(&c.key));
        let fastest = known.min_by(f64::total_cmp)?;
        Duration::try_from_secs_f64(fastest / 1000.0).ok()
    }

    fn mean_ms(&self, key: &Key) -> Option<f64> {
        self.known.get(key).map(|health| health.mean_ms).filter(|ms| *ms > 0.0)
    }

    /// Expected time of one more request; `assumed_ms` is the latency of an upstream without a response yet.
    fn score(&self, c: &Candidate, assumed_ms: f64) -> f64 {
        let in_flight = self.in_flight(&c.key);
        let ms = self.mean_ms(&c.key).unwrap_or(assumed_ms);
        let mut score = ms * f64::from(in_flight + c.slots.max(1)) / f64::from(c.slots.max(1));
        if !c.fresh {
            score *= STALE_FACTOR;
        }
        if !c.local {
            score *= REMOTE_FACTOR;
        }
        score
    }

    /// Candidate with the lowest score; paused ones are used only if there is no other.
    ///
    /// An upstream without a response yet is assumed to be as fast as the fastest one and wins ties, so that it is
    /// tried at all.
    pub fn choose<'a>(&self, candidates: &'a [Candidate], now: Duration) -> Option<&'a Candidate> {
        let known = candidates.iter().filter_map(|c| self.mean_ms(&c.key));
        let assumed = known.min_by(f64::total_cmp).unwrap_or(ASSUMED_MS);
        let score = |c: &Candidate| self.score(c, assumed);
        let known = |c: &Candidate| self.mean_ms(&c.key).is_some();
        let by_score = |a: &&Candidate, b: &&Candidate| {
            score(a).total_cmp(&score(b)).then_with(|| known(a).cmp(&known(b)))
        };
        let healthy = candidates.iter().filter(|c| !self.is_paused(&c.key, now));
        healthy.min_by(by_score).or_else(|| candidates.iter().min_by(by_score))
    }
}
