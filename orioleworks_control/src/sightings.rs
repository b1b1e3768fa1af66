//! When each entry was last seen by any replica, and the revision that it has in force.

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

/// Time for which an entry counts as live after it was seen.
pub const LIVE_FOR: Duration = Duration::from_secs(3);
/// Time after which an entry is forgotten; status replies show it until then.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Progress that is worth sharing again; the delay of messages alone makes the same sighting look a little newer.
const SHARE_STEP: Duration = Duration::from_millis(200);

#[derive(Clone, Debug)]
struct Seen {
    entry: inner::EntryIdentity,
    applied_revision: u64,
    at: Duration,
    /// Version of the last change worth sharing.
    version: u64,
}

/// Sightings that all replicas share with each other; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Sightings {
    seen: Rc<RefCell<HashMap<String, Seen>>>,
    version: Rc<Cell<u64>>,
}

impl Sightings {
    /// Notes that an entry was seen now.
    pub fn note(&self, entry: inner::EntryIdentity, applied_revision: u64) {
        let seen = Seen { entry, applied_revision, at: clock::since_boot(), version: 0 };
        self.merge_one(seen, Sharing::Forward);
    }

    /// Takes sightings of another replica.
    ///
    /// What the leader says is not shared again: its echo from each follower doubled the bytes between the replicas.
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
        if (restarted || newer) && sharing == Sharing::Forward {
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

    /// Every entry that is not forgotten.
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

    /// Whether an entry is known to be gone; `collecting_for` is the time for which all replicas' sightings arrived.
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

/// Hash of a list of entries that changes with every name and every start of an entry; the same on all replicas.
pub fn hash(entries: &[inner::EntryIdentity]) -> u64 {
    let mut hash = Xxh3::new();
    for entry in entries {
        hash.update(entry.name.as_bytes());
        // Names contain no NUL, so that neighbours cannot run into each other.
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
