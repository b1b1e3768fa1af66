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
pub const LIVE_FOR: Duration = Duration::from_secs(3);
/// Time after which the record of an entry is removed; status replies show it until then.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Smallest increase of a time that is shared again; message delays alone make the same sighting look slightly newer.
const SHARE_STEP: Duration = Duration::from_millis(200);

#[derive(Clone, Debug)]
struct Seen {
    entry: inner::EntryIdentity,
    applied_revision: u64,
    at: Duration,
    /// Version of the last change to share with other replicas.
    version: u64,
}

/// Sightings of entries, which the replicas exchange; clones share the same data.
#[derive(Clone, Debug, Default)]
pub struct Sightings {
    seen: Rc<RefCell<HashMap<String, Seen>>>,
    version: Rc<Cell<u64>>,
}

impl Sightings {
    /// Records that an entry was seen now.
    pub fn note(&self, entry: inner::EntryIdentity, applied_revision: u64) {
        let seen = Seen { entry, applied_revision, at: clock::since_boot(), version: 0 };
        self.merge_one(seen, Sharing::PassOn);
    }

    /// Merges the sightings of another replica.
    ///
    /// Sightings from the leader are not shared again: echoes from followers double the traffic between replicas.
    pub fn merge(&self, statuses: Vec<inner::EntryStatus>, sharing: Sharing) {
        let now = clock::since_boot();
        for status in statuses {
            let Some(entry) = status.entry else { continue };
            let at = now.saturating_sub(Duration::from_millis(status.last_seen_ms.into()));
            let applied_revision = status.applied_revision;
            self.merge_one(Seen { entry, applied_revision, at, version: 0 }, sharing);
        }
    }

    fn merge_one(&self, mut new: Seen, sharing: Sharing) {
        let mut seen = self.seen.borrow_mut();
        new.version = self.version.get() + 1;
        let Some(old) = seen.get_mut(&new.entry.name) else {
            self.version.set(new.version);
            seen.insert(new.entry.name.clone(), new);
            return;
        };
        if new.entry.incarnation < old.entry.incarnation {
            return;
        }
        let restarted = new.entry.incarnation > old.entry.incarnation;
        let newer = new.at > old.at + SHARE_STEP || new.applied_revision > old.applied_revision;
        if (restarted || newer) && sharing == Sharing::PassOn {
            self.version.set(new.version);
            old.version = new.version;
        }
        if restarted {
            *old = Seen { version: old.version, ..new };
        } else {
            old.at = old.at.max(new.at);
            old.applied_revision = old.applied_revision.max(new.applied_revision);
        }
    }

    /// Sightings that changed after a version, and the current version.
    pub fn newer_than(&self, version: u64) -> (Vec<inner::EntryStatus>, u64) {
        let now = clock::since_boot();
        let seen = self.seen.borrow();
        let newer = seen.values().filter(|seen| seen.version > version);
        (newer.map(|seen| status(seen, now)).collect(), self.version.get())
    }

    /// Every entry whose record is still kept.
    pub fn statuses(&self) -> Vec<inner::EntryStatus> {
        let now = clock::since_boot();
        let mut seen = self.seen.borrow_mut();
        seen.retain(|_, seen| now.saturating_sub(seen.at) < FORGET_AFTER);
        let mut statuses: Vec<_> = seen.values().map(|seen| status(seen, now)).collect();
        statuses.sort_by(|a, b| name(a).cmp(name(b)));
        statuses
    }

    /// Entries seen within [`LIVE_FOR`].
    pub fn live(&self) -> Vec<inner::EntryIdentity> {
        let live = self.statuses().into_iter();
        let live = live.filter(|status| u128::from(status.last_seen_ms) < LIVE_FOR.as_millis());
        live.filter_map(|status| status.entry).collect()
    }

    /// Entries of a failure domain seen within [`LIVE_FOR`], in the order of their names.
    pub fn live_in(&self, domain: &str) -> Vec<inner::EntryIdentity> {
        let now = clock::since_boot();
        let seen = self.seen.borrow();
        let live = seen
            .values()
            .filter(|seen| seen.entry.domain == domain && now.saturating_sub(seen.at) < LIVE_FOR);
        let mut live: Vec<inner::EntryIdentity> = live.map(|seen| seen.entry.clone()).collect();
        live.sort_by(|a, b| a.name.cmp(&b.name));
        live
    }

    /// Whether this incarnation of an entry is known to have terminated.
    ///
    /// `collecting_for` is the time for which the sightings of all replicas have arrived here.
    pub fn is_gone(&self, name: &str, incarnation: u64, collecting_for: Duration) -> bool {
        let seen = self.seen.borrow();
        let Some(seen) = seen.get(name) else { return collecting_for >= LIVE_FOR };
        if seen.entry.incarnation > incarnation {
            return true;
        }
        let silent = clock::since_boot().saturating_sub(seen.at) >= LIVE_FOR;
        collecting_for >= LIVE_FOR && (silent || seen.entry.incarnation < incarnation)
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

fn status(seen: &Seen, now: Duration) -> inner::EntryStatus {
    let silent = now.saturating_sub(seen.at).as_millis();
    inner::EntryStatus {
        entry: Some(seen.entry.clone()),
        applied_revision: seen.applied_revision,
        last_seen_ms: u32::try_from(silent).unwrap_or(u32::MAX),
    }
}

fn name(status: &inner::EntryStatus) -> &str {
    status.entry.as_ref().map_or("", |entry| &entry.name)
}
