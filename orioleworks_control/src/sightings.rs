//! When each entry was last seen by any replica, and the revision that it has in force.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use orioleworks_daemon::clock;
use orioleworks_proto::inner;

/// Time for which an entry counts as live after it was seen.
pub const LIVE_FOR: Duration = Duration::from_secs(3);
/// Time after which an entry is forgotten; status replies show it until then.
const FORGET_AFTER: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
struct Seen {
    entry: inner::EntryIdentity,
    applied_revision: u64,
    at: Duration,
}

/// Sightings that all replicas share with each other; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Sightings {
    seen: Rc<RefCell<HashMap<String, Seen>>>,
}

impl Sightings {
    /// Notes that an entry was seen now.
    pub fn note(&self, entry: inner::EntryIdentity, applied_revision: u64) {
        self.merge_one(Seen { entry, applied_revision, at: clock::since_boot() });
    }

    /// Takes sightings of another replica.
    pub fn merge(&self, statuses: Vec<inner::EntryStatus>) {
        let now = clock::since_boot();
        for status in statuses {
            let Some(entry) = status.entry else { continue };
            let at = now.saturating_sub(Duration::from_millis(status.last_seen_ms.into()));
            self.merge_one(Seen { entry, applied_revision: status.applied_revision, at });
        }
    }

    fn merge_one(&self, new: Seen) {
        let mut seen = self.seen.borrow_mut();
        let Some(old) = seen.get_mut(&new.entry.name) else {
            seen.insert(new.entry.name.clone(), new);
            return;
        };
        if new.entry.incarnation > old.entry.incarnation {
            *old = new;
        } else if new.entry.incarnation == old.entry.incarnation {
            old.at = old.at.max(new.at);
            old.applied_revision = old.applied_revision.max(new.applied_revision);
        }
    }

    /// Every entry that is not forgotten.
    pub fn statuses(&self) -> Vec<inner::EntryStatus> {
        let now = clock::since_boot();
        let mut seen = self.seen.borrow_mut();
        seen.retain(|_, seen| now.saturating_sub(seen.at) < FORGET_AFTER);
        let status = |seen: &Seen| inner::EntryStatus {
            entry: Some(seen.entry.clone()),
            applied_revision: seen.applied_revision,
            last_seen_ms: u32::try_from(now.saturating_sub(seen.at).as_millis())
                .unwrap_or(u32::MAX),
        };
        let mut statuses: Vec<_> = seen.values().map(status).collect();
        statuses.sort_by(|a, b| name(a).cmp(name(b)));
        statuses
    }

    /// Entries seen within [`LIVE_FOR`].
    pub fn live(&self) -> Vec<inner::EntryIdentity> {
        let live = self.statuses().into_iter();
        let live = live.filter(|status| u128::from(status.last_seen_ms) < LIVE_FOR.as_millis());
        live.filter_map(|status| status.entry).collect()
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

fn name(status: &inner::EntryStatus) -> &str {
    status.entry.as_ref().map_or("", |entry| &entry.name)
}
