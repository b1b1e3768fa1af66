//! Whether this process has lost its path to all upstreams, as far as its own connections show.
//!
//! Handles an instance that is partitioned from the upstreams, while other instances still reach them. A failure of one
//! upstream is no evidence; several without a success between are. A response on a connection that was open before proves
//! nothing about new connections, so that it does not cancel out failures to connect. What other instances fail to reach as
//! well is excused: that is a fault of the upstream. See `docs/platform.md`, "Partitioned from the upstreams".

use std::time::Duration;

use indexmap::IndexMap;

use crate::outlier::Key;

/// Number of upstreams that must have failed, unless fewer are known.
const LOST_UPSTREAMS: usize = 2;
/// Time for which a failure is evidence while the path is not lost. An instance with little load sees a request in 3 s.
const EVIDENCE_TIME: Duration = Duration::from_secs(5);
/// Time for which an upstream that other instances do not reach either gives no evidence.
const EXCUSED_TIME: Duration = Duration::from_secs(5);
/// Time after a new connection for which a failure to connect is taken as a fault of the upstream.
const PROVEN_TIME: Duration = Duration::from_secs(1);
/// Interval between two probes.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// What is known of the path from this process to all upstreams.
#[derive(Clone, Debug, Default)]
pub struct Path {
    /// Upstreams that could not be connected to since the last new connection.
    unconnected: IndexMap<Key, Duration>,
    /// Upstreams that were silent or broke a connection since the last response.
    silent: IndexMap<Key, Duration>,
    excused: IndexMap<Key, Duration>,
    connected_at: Option<Duration>,
    heard_at: Option<Duration>,
    lost: bool,
    /// Newest time at which the path was lost.
    last_lost: Option<Duration>,
    probed_at: Option<Duration>,
}

impl Path {
    /// Records that no connection to an upstream could be opened; `known` is the number of upstreams. Returns whether the
    /// path is lost now and was not before.
    pub fn record_unconnected(&mut self, up: &Key, known: usize, now: Duration) -> bool {
        if self.is_excused(up, now) {
            return false;
        }
        self.unconnected.insert(up.clone(), now);
        self.expire(now);
        let silent = self.silent.keys().filter(|up| !self.unconnected.contains_key(*up));
        let failed = self.unconnected.len() + silent.count();
        if self.lost || failed < LOST_UPSTREAMS.min(known) {
            return false;
        }
        self.lost = true;
        self.last_lost = Some(now);
        true
    }

    /// Records that a connection that was open stays without a response or broke. This alone does not show that the path is
    /// lost, because upstreams may be slow or crash; a probe tells.
    pub fn record_silence(&mut self, up: &Key, now: Duration) {
        if !self.is_excused(up, now) {
            self.silent.insert(up.clone(), now);
        }
    }

    /// Records a new connection; returns whether the path was lost until now.
    pub fn record_connected(&mut self, now: Duration) -> bool {
        self.connected_at = Some(now);
        self.unconnected.clear();
        self.silent.clear();
        self.regain(now)
    }

    /// Records a response. On an open connection it proves nothing about new ones.
    pub fn record_response(&mut self, now: Duration) {
        self.heard_at = Some(now);
        self.silent.clear();
    }

    /// Records that another instance, whose path is in order, does not reach an upstream either. Returns whether the path
    /// was lost until now.
    pub fn excuse(&mut self, up: &Key, known: usize, now: Duration) -> bool {
        self.excused.insert(up.clone(), now);
        self.unconnected.shift_remove(up);
        self.silent.shift_remove(up);
        self.unconnected.len() < LOST_UPSTREAMS.min(known) && self.regain(now)
    }

    fn regain(&mut self, now: Duration) -> bool {
        if self.lost {
            self.last_lost = Some(now);
        }
        std::mem::take(&mut self.lost)
    }

    fn is_excused(&self, up: &Key, now: Duration) -> bool {
        self.excused.get(up).is_some_and(|at| now.saturating_sub(*at) < EXCUSED_TIME)
    }

    fn expire(&mut self, now: Duration) {
        self.excused.retain(|_, at| now.saturating_sub(*at) < EXCUSED_TIME);
        if !self.lost {
            self.unconnected.retain(|_, at| now.saturating_sub(*at) < EVIDENCE_TIME);
            self.silent.retain(|_, at| now.saturating_sub(*at) < EVIDENCE_TIME);
        }
    }

    /// Whether the path is believed lost.
    pub fn is_lost(&self) -> bool {
        self.lost
    }

    /// Whether the path was lost at some time since `since`.
    pub fn was_lost_since(&self, since: Duration) -> bool {
        self.lost || self.last_lost.is_some_and(|at| at >= since)
    }

    /// Whether something failed without a success since.
    pub fn is_in_doubt(&self) -> bool {
        self.lost || !self.unconnected.is_empty() || !self.silent.is_empty()
    }

    /// Whether a failure to connect to an upstream is a fault of that upstream: a connection to another one was opened just
    /// before, or other instances do not reach it either.
    pub fn blames(&self, up: &Key, now: Duration) -> bool {
        self.is_excused(up, now) || self.is_proven(now)
    }

    /// Whether a connection was opened within the last second, and the path is not lost.
    pub fn is_proven(&self, now: Duration) -> bool {
        !self.lost && self.connected_at.is_some_and(|at| now.saturating_sub(at) < PROVEN_TIME)
    }

    /// Whether a response or a new connection arrived since `since`.
    pub fn heard_since(&self, since: Duration) -> bool {
        self.heard_at.max(self.connected_at).is_some_and(|at| at >= since)
    }

    /// Whether a probe is due: at once when there is doubt, then at intervals.
    pub fn probe_due(&self, now: Duration) -> bool {
        let paused = self.probed_at.is_some_and(|at| now.saturating_sub(at) < PROBE_INTERVAL);
        self.is_in_doubt() && !paused
    }

    /// Records the start of a probe.
    pub fn record_probe(&mut self, now: Duration) {
        self.probed_at = Some(now);
    }

    /// Whether a failure of an upstream is part of the evidence; a probe goes to another one.
    pub fn suspects(&self, up: &Key) -> bool {
        self.unconnected.contains_key(up) || self.silent.contains_key(up)
    }
}
