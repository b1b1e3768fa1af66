//! State of engines as the leader observes it through its own requests and orders.

use std::{rc::Rc, time::Duration};

use indexmap::{IndexMap, IndexSet};
use orioleworks_routing::{
    fleet::{Known, Upstream},
    items::{self, EngineLoad, EventTime},
    outlier::Key,
};

/// First pause after a failure; an engine that refused an item often has room again within a step.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause; a restarted engine announces itself within 2 s.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Pause after bytes without end; an engine that sends them is in trouble for seconds, and looks fast.
const ENDLESS_PAUSE: Duration = Duration::from_secs(5);
/// Groups remembered for each engine; more than run on it at the same time.
const MAX_GROUPS: usize = 64;

/// A weight load that was ordered and is not known to have ended.
#[derive(Clone, Debug)]
pub struct Loading {
    /// Model that is loaded.
    pub model: Rc<str>,
    /// Version that is loaded.
    pub version: u64,
    /// Time of the order.
    pub since: Duration,
}

/// Observed state of one incarnation of an engine.
#[derive(Clone, Debug, Default)]
pub struct Record {
    running: u32,
    event_time: EventTime,
    paused_until: Duration,
    failures: u32,
    versions: IndexMap<Rc<str>, u64>,
    /// Weight load in progress.
    pub loading: Option<Loading>,
    groups: IndexSet<Rc<str>>,
}

/// Observed state of all engines.
#[derive(Clone, Debug)]
pub struct Engines {
    records: IndexMap<Key, Record>,
    /// Median of the measured times for an event in milliseconds, as of [`Engines::update_times`].
    typical_ms: f64,
    /// Smallest measured time for an event in milliseconds, if any engine is measured.
    fastest_ms: Option<f64>,
}

impl Default for Engines {
    fn default() -> Self {
        let records = IndexMap::default();
        Self { records, typical_ms: items::ASSUMED_EVENT_MS, fastest_ms: None }
    }
}

/// Key of an upstream.
pub fn key_of(up: &Upstream) -> Key {
    (up.id.clone(), up.incarnation)
}

impl Engines {
    /// Record of an engine; created if there is none.
    pub fn record(&mut self, key: &Key) -> &mut Record {
        self.records.entry(key.clone()).or_default()
    }

    /// Removes engines that run nothing and that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&Key) -> bool) {
        self.records.retain(|key, record| record.running > 0 || keep(key));
    }

    /// Records the start of an item.
    pub fn item_started(&mut self, key: &Key, group: &str) {
        let record = self.record(key);
        record.running += 1;
        record.groups.insert(group.into());
        if record.groups.len() > MAX_GROUPS {
            record.groups.shift_remove_index(0);
        }
    }

    /// Records the end of an item.
    pub fn item_ended(&mut self, key: &Key) {
        let record = self.record(key);
        record.running = record.running.saturating_sub(1);
    }

    /// Records an event of a stream, and the time since the one before.
    pub fn record_event(&mut self, key: &Key, gap: Option<Duration>, now: Duration) {
        let record = self.record(key);
        record.failures = 0;
        if let Some(gap) = gap {
            record.event_time.note(gap, now);
        }
    }

    /// Updates the times that engines are compared with.
    pub fn update_times(&mut self, now: Duration) {
        let times = self.records.values().filter_map(|r| r.event_time.measured_ms(now));
        let times: Vec<f64> = times.collect();
        self.typical_ms = items::median(&times);
        self.fastest_ms = times.into_iter().min_by(f64::total_cmp);
    }

    /// Excludes an engine after a failure, for a time that doubles with each failure in a row.
    pub fn pause_after_failure(&mut self, key: &Key, now: Duration) {
        let record = self.record(key);
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(record.failures.min(8));
        record.failures += 1;
        record.paused_until = now + pause.min(LONGEST_PAUSE);
    }

    /// Excludes an engine that sent bytes without end. Its events say nothing about its health.
    pub fn pause_after_endless(&mut self, key: &Key, now: Duration) {
        let record = self.record(key);
        record.paused_until = now + ENDLESS_PAUSE;
        record.event_time = EventTime::default();
    }

    /// Excludes an engine for a short time after it refused an item.
    pub fn pause_after_refusal(&mut self, key: &Key, now: Duration) {
        let record = self.record(key);
        record.paused_until = record.paused_until.max(now + FIRST_PAUSE);
    }

    /// Records the weight version that an engine uses.
    pub fn record_version(&mut self, key: &Key, model: &str, version: u64) {
        let record = self.record(key);
        record.versions.insert(model.into(), version);
    }

    /// Weight version of a model that the engine announced or was observed to use, whichever is newer.
    pub fn version(&self, up: &Upstream, model: &str) -> Option<u64> {
        let seen = self.records.get(&key_of(up)).and_then(|r| r.versions.get(model).copied());
        seen.max(up.version_of(model))
    }

    /// Weight load in progress on an engine.
    pub fn loading(&self, key: &Key) -> Option<&Loading> {
        self.records.get(key).and_then(|record| record.loading.as_ref())
    }

    /// Number of engines that load.
    pub fn loading_count(&self) -> usize {
        self.records.values().filter(|record| record.loading.is_some()).count()
    }

    /// Expected time of an engine for one event in milliseconds.
    pub fn event_ms(&self, key: &Key, now: Duration) -> f64 {
        let time = self.records.get(key).map_or(EventTime::default(), |r| r.event_time);
        time.expected_ms(self.typical_ms, now)
    }

    /// Measured time of an engine for one event in milliseconds.
    pub fn measured_ms(&self, key: &Key, now: Duration) -> Option<f64> {
        self.records.get(key)?.event_time.measured_ms(now)
    }

    /// Measured time of the fastest engine for one event in milliseconds.
    pub fn fastest_ms(&self) -> Option<f64> {
        self.fastest_ms
    }

    /// Groups whose prompts each engine has cached.
    pub fn groups(&self) -> impl Iterator<Item = (&Key, &IndexSet<Rc<str>>)> {
        self.records.iter().map(|(key, record)| (key, &record.groups))
    }

    /// Number of items that run on an engine.
    pub fn running(&self, key: &Key) -> u32 {
        self.records.get(key).map_or(0, |record| record.running)
    }

    /// Load of an engine for an item of a group, without its memory; `None` if it must not run the item now.
    pub fn load_for(
        &self,
        known: &Known,
        model: &str,
        min_version: u64,
        group: &str,
        now: Duration,
    ) -> Option<EngineLoad> {
        let up = &known.upstream;
        let record = self.records.get(&key_of(up));
        if record.is_some_and(|r| now < r.paused_until) {
            return None;
        }
        if !model.is_empty() {
            let is_loading =
                record.and_then(|r| r.loading.as_ref()).is_some_and(|l| *l.model == *model);
            if is_loading || self.version(up, model).is_none_or(|version| version < min_version) {
                return None;
            }
        }
        Some(EngineLoad {
            running: record.map_or(0, |r| r.running),
            slots: up.slots,
            peak_tokens: 0,
            memory_tokens: 0,
            event_ms: self.event_ms(&key_of(up), now),
            holds_prompt: record.is_some_and(|r| r.groups.contains(group)),
        })
    }
}
