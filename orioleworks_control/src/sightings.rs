//! Liveness of the entries: when any replica last received a watch of each entry, and which revision the entry applies.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use orioleworks_daemon::clock;
use orioleworks_log::Sharing;
use orioleworks_proto::inner;
use xxhash_rust::xxh3::Xxh3;

/// Time for which an entry counts as live after its last watch.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which the record of an entry is removed; status replies show it until then.
const RETENTION: Duration = Duration::from_secs(60);
/// Smallest increase of a time that is shared again; message delays alone make the same sighting look slightly newer.
const MIN_SHARED_INCREASE: Duration = Duration::from_millis(200);

#[derive(Clone, Debug)]
struct Sighting {
    entry: inner::EntryIdentity,
    applied_revision: u64,
    last_seen: Duration,
    /// Version of the last change to share with other replicas.
    version: u64,
}

/// When each entry was last seen by any replica; replicas exchange what they saw. Clones share the same data.
#[derive(Clone, Debug, Default)]
pub struct Sightings {
    by_entry: Rc<RefCell<HashMap<String, Sighting>>>,
    version: Rc<Cell<u64>>,
}

impl Sightings {
    /// Records that an entry was seen now.
    pub fn record(&self, entry: inner::EntryIdentity, applied_revision: u64) {
        let sighting =
            Sighting { entry, applied_revision, last_seen: clock::since_boot(), version: 0 };
        self.merge_one(sighting, Sharing::Forward);
    }

    /// Merges the sightings of another replica.
    ///
    /// Sightings from the leader are not shared again: echoes from followers double the traffic between replicas.
    pub fn merge(&self, statuses: Vec<inner::EntryStatus>, sharing: Sharing) {
        let now = clock::since_boot();
        for status in statuses {
            let Some(entry) = status.entry else { continue };
            let last_seen = now.saturating_sub(Duration::from_millis(status.last_seen_ms.into()));
            let applied_revision = status.applied_revision;
            self.merge_one(Sighting { entry, applied_revision, last_seen, version: 0 }, sharing);
        }
    }

    fn merge_one(&self, mut new: Sighting, sharing: Sharing) {
        let mut sightings = self.by_entry.borrow_mut();
        new.version = self.version.get() + 1;
        let Some(old) = sightings.get_mut(&new.entry.name) else {
            self.version.set(new.version);
            sightings.insert(new.entry.name.clone(), new);
            return;
        };
        if new.entry.incarnation < old.entry.incarnation {
            return;
        }
        let restarted = new.entry.incarnation > old.entry.incarnation;
        let newer = new.last_seen > old.last_seen + MIN_SHARED_INCREASE
            || new.applied_revision > old.applied_revision;
        if (restarted || newer) && sharing == Sharing::Forward {
            self.version.set(new.version);
            old.version = new.version;
        }
        if restarted {
            *old = Sighting { version: old.version, ..new };
        } else {
            old.last_seen = old.last_seen.max(new.last_seen);
            old.applied_revision = old.applied_revision.max(new.applied_revision);
        }
    }

    /// Sightings that changed after a version, and the current version.
    pub fn newer_than(&self, version: u64) -> (Vec<inner::EntryStatus>, u64) {
        let now = clock::since_boot();
        let sightings = self.by_entry.borrow();
        let newer = sightings.values().filter(|sighting| sighting.version > version);
        (newer.map(|sighting| status(sighting, now)).collect(), self.version.get())
    }

    /// Every entry whose record is still kept.
    pub fn statuses(&self) -> Vec<inner::EntryStatus> {
        let now = clock::since_boot();
        let mut sightings = self.by_entry.borrow_mut();
        sightings.retain(|_, sighting| now.saturating_sub(sighting.last_seen) < RETENTION);
        let mut statuses: Vec<_> =
            sightings.values().map(|sighting| status(sighting, now)).collect();
        statuses.sort_by(|a, b| entry_name(a).cmp(entry_name(b)));
        statuses
    }

    /// Entries seen within [`LIVENESS_TIMEOUT`].
    pub fn live(&self) -> Vec<inner::EntryIdentity> {
        let live = self.statuses().into_iter();
        let live =
            live.filter(|status| u128::from(status.last_seen_ms) < LIVENESS_TIMEOUT.as_millis());
        live.filter_map(|status| status.entry).collect()
    }

    /// Entries of a failure domain seen within [`LIVENESS_TIMEOUT`], in the order of their names.
    pub fn live_in(&self, domain: &str) -> Vec<inner::EntryIdentity> {
        let now = clock::since_boot();
        let sightings = self.by_entry.borrow();
        let live = sightings.values().filter(|sighting| {
            sighting.entry.domain == domain
                && now.saturating_sub(sighting.last_seen) < LIVENESS_TIMEOUT
        });
        let mut live: Vec<inner::EntryIdentity> =
            live.map(|sighting| sighting.entry.clone()).collect();
        live.sort_by(|a, b| a.name.cmp(&b.name));
        live
    }

    /// Whether this incarnation of an entry is known to have terminated.
    ///
    /// `observed_for` is the time for which the sightings of all replicas have arrived here.
    pub fn has_terminated(&self, name: &str, incarnation: u64, observed_for: Duration) -> bool {
        let sightings = self.by_entry.borrow();
        let Some(sighting) = sightings.get(name) else { return observed_for >= LIVENESS_TIMEOUT };
        if sighting.entry.incarnation > incarnation {
            return true;
        }
        let timed_out = clock::since_boot().saturating_sub(sighting.last_seen) >= LIVENESS_TIMEOUT;
        observed_for >= LIVENESS_TIMEOUT && (timed_out || sighting.entry.incarnation < incarnation)
    }
}

/// Hash of the names and incarnations in a list of entries; the same on all replicas.
pub fn hash(entries: &[inner::EntryIdentity]) -> u64 {
    let mut hash = Xxh3::new();
    for entry in entries {
        hash.update(entry.name.as_bytes());
        // Names contain no NUL, so that it separates adjacent fields unambiguously.
        hash.update(&[0]);
        hash.update(&entry.incarnation.to_le_bytes());
    }
    hash.digest()
}

fn status(sighting: &Sighting, now: Duration) -> inner::EntryStatus {
    let elapsed_ms = now.saturating_sub(sighting.last_seen).as_millis();
    inner::EntryStatus {
        entry: Some(sighting.entry.clone()),
        applied_revision: sighting.applied_revision,
        last_seen_ms: u32::try_from(elapsed_ms).unwrap_or(u32::MAX),
    }
}

fn entry_name(status: &inner::EntryStatus) -> &str {
    status.entry.as_ref().map_or("", |entry| &entry.name)
}
