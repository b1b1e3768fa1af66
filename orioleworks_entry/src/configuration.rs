//! Configuration in force at this entry; its revision never decreases.
//!
//! See `docs/design.md`, section 5.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use indexmap::IndexMap;
use orioleworks_daemon::{clock, event};
use orioleworks_proto::inner;

/// Time without a response from control after which the configuration counts as stale.
pub const STALE_AFTER: Duration = Duration::from_secs(9);

/// Interval at which a running process records that it runs.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A longer gap between two ticks counts as a pause of the process. Control may delay the response to a watch by 1 s,
/// so after a shorter pause the configuration is no older than without one.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Configuration at one revision.
#[derive(Debug, Default)]
struct State {
    revision: u64,
    profiles: IndexMap<Rc<str>, (u64, Rc<inner::Profile>)>,
    stopped: IndexMap<Rc<str>, u64>,
    versions: IndexMap<Rc<str>, u64>,
    quarantined: IndexMap<Rc<str>, inner::Quarantined>,
}

/// Configuration in force and its freshness; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    state: Rc<RefCell<State>>,
    ready: Rc<Cell<bool>>,
    last_response: Rc<Cell<Duration>>,
    last_tick: Rc<Cell<Duration>>,
    resumed_at: Rc<Cell<Option<Duration>>>,
}

impl Configuration {
    /// Revision in force.
    pub fn revision(&self) -> u64 {
        self.state.borrow().revision
    }

    /// Whether any configuration is in force.
    pub fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// Marks the configuration as in force.
    pub fn set_ready(&self) {
        self.ready.set(true);
    }

    /// Records that control responded to a watch that was sent at the given time since boot.
    pub fn record_response(&self, sent: Duration) {
        self.last_response.set(clock::since_boot());
        // The response to a watch that was sent before a pause may predate changes made during the pause.
        if self.resumed_at.get().is_some_and(|resumed_at| sent >= resumed_at) {
            self.resumed_at.set(None);
        }
    }

    /// Records that the process runs, and detects whether it was paused.
    pub fn tick(&self) {
        let now = clock::since_boot();
        let last = self.last_tick.replace(now);
        if !last.is_zero() && now.saturating_sub(last) > PAUSE_THRESHOLD {
            event!(warn, "process_was_paused", ms = now.saturating_sub(last).as_millis());
            self.resumed_at.set(Some(now));
        }
    }

    /// Whether the process was paused and control has not responded to a watch that was sent since.
    pub fn is_resuming(&self) -> bool {
        self.tick();
        self.resumed_at.get().is_some()
    }

    /// Whether control has not responded for longer than [`STALE_AFTER`].
    pub fn is_stale(&self) -> bool {
        clock::since_boot().saturating_sub(self.last_response.get()) > STALE_AFTER
    }

    /// Profile in force under a name.
    pub fn profile(&self, name: &str) -> Option<Rc<inner::Profile>> {
        self.state.borrow().profiles.get(name).map(|(_, profile)| profile.clone())
    }

    /// Every profile in force.
    pub fn profiles(&self) -> Vec<Rc<inner::Profile>> {
        self.state.borrow().profiles.values().map(|(_, profile)| profile.clone()).collect()
    }

    /// Whether an operator has stopped the upstream.
    pub fn is_stopped(&self, upstream: &str) -> bool {
        self.state.borrow().stopped.contains_key(upstream)
    }

    /// Desired weight version of a model.
    pub fn version(&self, model: &str) -> Option<u64> {
        self.state.borrow().versions.get(model).copied()
    }

    /// Unexpired quarantine record of a fingerprint.
    pub fn quarantined(&self, fingerprint: &str) -> Option<inner::Quarantined> {
        let state = self.state.borrow();
        let record = state.quarantined.get(fingerprint)?;
        (record.until_ms > clock::unix_ms()).then(|| record.clone())
    }

    /// Applies changes in order; a change that is not the next revision is ignored and comes again with a later watch.
    pub fn apply_changes(&self, changes: impl IntoIterator<Item = inner::Change>) {
        let mut state = self.state.borrow_mut();
        for change in changes {
            if change.revision == state.revision + 1 {
                state.revision = change.revision;
                if let Some(kind) = change.kind {
                    event!(info, "configuration_changed", revision = change.revision);
                    apply(&mut state, change.revision, kind);
                }
            }
        }
    }

    /// Replaces the configuration by a full one if that is newer.
    pub fn apply_full(&self, config: inner::Config) {
        if config.revision <= self.revision() {
            return;
        }
        event!(info, "configuration_replaced", revision = config.revision);
        *self.state.borrow_mut() = from_message(config);
    }

    /// The full configuration as a message.
    pub fn to_message(&self) -> inner::Config {
        let state = self.state.borrow();
        inner::Config {
            revision: state.revision,
            profiles: state
                .profiles
                .values()
                .map(|(revision, profile)| inner::VersionedProfile {
                    revision: *revision,
                    profile: Some(profile.as_ref().clone()),
                })
                .collect(),
            stopped_upstreams: state
                .stopped
                .iter()
                .map(|(name, revision)| inner::StoppedUpstream {
                    revision: *revision,
                    name: name.to_string(),
                })
                .collect(),
            versions: state
                .versions
                .iter()
                .map(|(model, version)| inner::ModelVersion {
                    model: model.to_string(),
                    version: *version,
                })
                .collect(),
            quarantined: state.quarantined.values().cloned().collect(),
        }
    }
}

fn from_message(config: inner::Config) -> State {
    let mut state = State { revision: config.revision, ..State::default() };
    for versioned in config.profiles {
        if let Some(profile) = versioned.profile {
            let name = profile.name.as_str().into();
            state.profiles.insert(name, (versioned.revision, Rc::new(profile)));
        }
    }
    for stopped in config.stopped_upstreams {
        state.stopped.insert(stopped.name.into(), stopped.revision);
    }
    for version in config.versions {
        state.versions.insert(version.model.into(), version.version);
    }
    for record in config.quarantined {
        state.quarantined.insert(record.fingerprint.as_str().into(), record);
    }
    state
}

fn apply(state: &mut State, revision: u64, kind: inner::change::Kind) {
    use inner::change::Kind;
    match kind {
        Kind::Profile(versioned) => {
            if let Some(profile) = versioned.profile {
                let name = profile.name.as_str().into();
                state.profiles.insert(name, (revision, Rc::new(profile)));
            }
        }
        Kind::RetiredProfile(name) => {
            state.profiles.shift_remove(name.as_str());
        }
        Kind::StoppedUpstream(name) => {
            state.stopped.insert(name.into(), revision);
        }
        Kind::StartedUpstream(name) => {
            state.stopped.shift_remove(name.as_str());
        }
        Kind::Version(version) => {
            state.versions.insert(version.model.into(), version.version);
        }
        Kind::Quarantined(record) => {
            state.quarantined.insert(record.fingerprint.as_str().into(), record);
        }
        Kind::QuarantineReleased(fingerprint) => {
            state.quarantined.shift_remove(fingerprint.as_str());
        }
    }
}
