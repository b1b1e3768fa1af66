//! Upstreams that announce themselves to any store; announcements may be late, out of order or passed on twice.
//!
//! An identity is the pair of ID and start time: a late announcement of an earlier start never revives it, and leaving
//! is final for a start. Silence alone removes nothing for a while, because an upstream that is cut off from the
//! stores may still be reachable from gateways; it only ranks behind fresh ones. See `docs/platform.md`.

use std::{rc::Rc, time::Duration};

use indexmap::IndexMap;

/// Silence after which an upstream ranks behind fresh ones: three announcements of 1.2 s.
pub const STALE_AFTER: Duration = Duration::from_millis(3600);
/// Silence after which an upstream is no longer used; longer than the cuts between domains that last for minutes would
/// leave a dead one in rotation for too long.
pub const UNUSED_AFTER: Duration = Duration::from_secs(30);
/// Silence after which an upstream is forgotten; late announcements of a start arrive within seconds.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(300);

/// An upstream as it announced itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Upstream {
    /// ID, which may be used again by a later start.
    pub id: Rc<str>,
    /// Start time in Unix milliseconds.
    pub incarnation: u64,
    /// Rises with each announcement of a start.
    pub sequence: u64,
    /// Service that it belongs to.
    pub service: Rc<str>,
    /// IP and port.
    pub address: Rc<str>,
    /// Failure domain.
    pub domain: Rc<str>,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Time for which it stays slow after its start.
    pub cold: Duration,
    /// Weight version of each model that it holds.
    pub models: Vec<(Rc<str>, u64)>,
}

impl Upstream {
    /// Weight version of a model, if the upstream holds it.
    pub fn version_of(&self, model: &str) -> Option<u64> {
        self.models.iter().find(|(name, _)| **name == *model).map(|(_, version)| *version)
    }
}

/// What one change was worth to those that watch the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Noted {
    /// Nothing new.
    Nothing,
    /// The upstream is still there.
    Renewed,
    /// Something that decides where requests go.
    Changed,
}

/// A known upstream.
#[derive(Clone, Debug)]
pub struct Known {
    /// Its newest announcement.
    pub upstream: Rc<Upstream>,
    /// Time of the newest announcement.
    pub heard: Duration,
    /// Whether it announced itself to this process.
    direct: bool,
    changed: u64,
}

impl Known {
    /// Whether it was heard recently.
    pub fn is_fresh(&self, now: Duration) -> bool {
        now.saturating_sub(self.heard) < STALE_AFTER
    }

    /// Whether new requests may go to it.
    pub fn takes_requests(&self, now: Duration) -> bool {
        !self.upstream.leaving && now.saturating_sub(self.heard) < UNUSED_AFTER
    }
}

/// All known upstreams.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    known: IndexMap<Rc<str>, Known>,
    changes: u64,
    urgent: u64,
}

impl Fleet {
    /// Takes in an announcement that arrived at `heard`.
    pub fn announce(&mut self, heard: Duration, up: Upstream, direct: bool) -> Noted {
        let Some(old) = self.known.get(&up.id) else {
            self.supersede(&up);
            return self.store(heard, up, direct, true);
        };
        let known = &old.upstream;
        if up.incarnation < known.incarnation {
            return Noted::Nothing;
        }
        if up.incarnation > known.incarnation {
            self.supersede(&up);
            return self.store(heard, up, direct, true);
        }
        if up.sequence <= known.sequence {
            // Leaving is final, also when the word of it was overtaken.
            return if up.leaving {
                self.leave(heard, &up.id, up.incarnation)
            } else {
                Noted::Nothing
            };
        }
        let mut up = up;
        up.leaving |= known.leaving;
        let changed = up.leaving != known.leaving
            || up.address != known.address
            || up.models != known.models
            || up.service != known.service;
        let heard = heard.max(old.heard);
        let direct = direct || old.direct;
        self.store(heard, up, direct, changed)
    }

    /// Notes that an upstream leaves; an incarnation of 0 stands for the known one.
    pub fn leave(&mut self, now: Duration, id: &str, incarnation: u64) -> Noted {
        let Some(old) = self.known.get(id) else { return Noted::Nothing };
        let other = incarnation != 0 && incarnation != old.upstream.incarnation;
        if other || old.upstream.leaving {
            return Noted::Nothing;
        }
        let up = Upstream { leaving: true, ..(*old.upstream).clone() };
        self.store(now, up, true, true)
    }

    /// An address that a later start announces belongs to that start alone.
    fn supersede(&mut self, up: &Upstream) {
        let older: Vec<Rc<str>> = self
            .known
            .values()
            .filter(|k| k.upstream.address == up.address && k.upstream.incarnation < up.incarnation)
            .map(|k| k.upstream.id.clone())
            .collect();
        for id in older {
            self.known.shift_remove(&id);
        }
    }

    fn store(&mut self, heard: Duration, up: Upstream, direct: bool, urgent: bool) -> Noted {
        self.changes += 1;
        if urgent {
            self.urgent = self.changes;
        }
        let changed = self.changes;
        let id = up.id.clone();
        self.known.insert(id, Known { upstream: Rc::new(up), heard, direct, changed });
        if urgent { Noted::Changed } else { Noted::Renewed }
    }

    /// Forgets upstreams that have been silent for long.
    pub fn forget(&mut self, now: Duration) {
        self.known.retain(|_, k| now.saturating_sub(k.heard) < FORGOTTEN_AFTER);
    }

    /// Cursor of the newest change.
    pub fn cursor(&self) -> u64 {
        self.changes
    }

    /// Whether something urgent changed after a cursor.
    pub fn urgent_since(&self, cursor: u64) -> bool {
        self.urgent > cursor
    }

    /// Upstreams that changed after a cursor.
    pub fn since(&self, cursor: u64, direct_only: bool) -> impl Iterator<Item = &Known> {
        self.known.values().filter(move |k| k.changed > cursor && (k.direct || !direct_only))
    }

    /// An upstream by ID.
    pub fn get(&self, id: &str) -> Option<&Known> {
        self.known.get(id)
    }

    /// Upstreams of a service that take new requests.
    pub fn serving(&self, service: &str, now: Duration) -> impl Iterator<Item = &Known> {
        let of_service = move |k: &&Known| *k.upstream.service == *service;
        self.known.values().filter(of_service).filter(move |k| k.takes_requests(now))
    }

    /// Number of upstreams that take new requests: those heard lately, and the others.
    pub fn count(&self, now: Duration) -> (usize, usize) {
        let serving = || self.known.values().filter(|k| k.takes_requests(now));
        let fresh = serving().filter(|k| k.is_fresh(now)).count();
        (fresh, serving().count() - fresh)
    }

    /// All known upstreams.
    pub fn all(&self) -> impl Iterator<Item = &Known> {
        self.known.values()
    }
}
