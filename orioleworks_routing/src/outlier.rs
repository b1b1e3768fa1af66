//! Health of upstreams as one process sees it from its own requests; no probes are sent.
//!
//! Answers the load patterns of a crashed, silent or slow upstream: after a failure the upstream is left out for a
//! pause that doubles, and then gets one request at a time until one succeeds. See `docs/platform.md`.

use std::{rc::Rc, time::Duration};

use indexmap::IndexMap;

/// First pause after a failure; about a replica's answer time, so that a single lost answer costs little.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause; a returning upstream announces itself within two seconds anyway.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Weight of the newest latency in the mean.
const NEWEST: f64 = 0.2;
/// Rank of an upstream that was not heard lately, against a fresh one.
const STALE_FACTOR: f64 = 4.0;
/// Rank of an upstream in another failure domain; one way costs about a millisecond there.
const REMOTE_FACTOR: f64 = 1.15;
/// Latency assumed before the first answer, in milliseconds.
const ASSUMED_MS: f64 = 20.0;

/// What is known of one upstream's answers.
#[derive(Clone, Debug, Default)]
pub struct Health {
    in_flight: u32,
    mean_ms: f64,
    failures: u32,
    retry_at: Duration,
}

/// What the choice needs to know of a candidate.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Key of the upstream: ID and incarnation.
    pub key: Key,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it was heard lately.
    pub fresh: bool,
    /// Whether it is in the own failure domain.
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
    /// Notes a request that is sent.
    pub fn sent(&mut self, key: &Key) {
        self.known.entry(key.clone()).or_default().in_flight += 1;
    }

    /// Notes an answer that came after `took`.
    pub fn answered(&mut self, key: &Key, took: Duration) {
        let health = self.known.entry(key.clone()).or_default();
        health.in_flight = health.in_flight.saturating_sub(1);
        health.failures = 0;
        health.retry_at = Duration::ZERO;
        let ms = took.as_secs_f64() * 1000.0;
        let first = health.mean_ms == 0.0;
        health.mean_ms = if first { ms } else { health.mean_ms * (1.0 - NEWEST) + ms * NEWEST };
    }

    /// Notes a request that was refused for load or abandoned; it says nothing of the upstream's health.
    pub fn dropped(&mut self, key: &Key) {
        let health = self.known.entry(key.clone()).or_default();
        health.in_flight = health.in_flight.saturating_sub(1);
    }

    /// Notes a request that failed.
    pub fn failed(&mut self, key: &Key, now: Duration) {
        let health = self.known.entry(key.clone()).or_default();
        health.in_flight = health.in_flight.saturating_sub(1);
        health.failures += 1;
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(health.failures.min(8) - 1);
        health.retry_at = now + pause.min(LONGEST_PAUSE);
    }

    /// Whether an upstream is left out because of failures.
    pub fn is_paused(&self, key: &Key, now: Duration) -> bool {
        self.known.get(key).is_some_and(|health| {
            health.failures > 0 && (now < health.retry_at || health.in_flight > 0)
        })
    }

    /// Own requests in flight on an upstream.
    pub fn in_flight(&self, key: &Key) -> u32 {
        self.known.get(key).map_or(0, |health| health.in_flight)
    }

    /// Forgets upstreams that are not among the given ones.
    pub fn retain(&mut self, keep: impl Fn(&Key) -> bool) {
        self.known.retain(|key, health| health.in_flight > 0 || keep(key));
    }

    fn mean_ms(&self, key: &Key) -> Option<f64> {
        self.known.get(key).map(|health| health.mean_ms).filter(|ms| *ms > 0.0)
    }

    /// Expected time of one more request; `assumed_ms` stands for the latency of an upstream without an answer yet.
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

    /// Best candidate; paused ones are taken only when there is no other.
    ///
    /// An upstream without an answer yet is taken to be as fast as the fastest one and goes before it, so that it is
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
