//! Upstreams that announce themselves to any store. Announcements may be delayed, reordered or duplicated.
//!
//! An upstream is identified by its ID and incarnation, which is its start time. A delayed announcement of an earlier
//! incarnation changes nothing, and leaving is final for an incarnation. An upstream without recent announcements first
//! only ranks behind fresh ones, because an upstream that is partitioned from the stores may still be reachable from
//! gateways. See `docs/platform.md`.

use std::{rc::Rc, time::Duration};

use indexmap::{IndexMap, map::Entry};

use crate::{
    outlier::Key,
    streams::{self, Origin},
};

/// Time without an announcement after which an upstream ranks behind fresh ones: three intervals of 1.2 s.
pub const STALE_AFTER: Duration = Duration::from_millis(3600);
/// Time without an announcement after which an upstream gets no new requests. Network partitions between domains last
/// for minutes, but a limit that covers them would keep a crashed upstream in rotation for too long.
pub const UNUSED_AFTER: Duration = Duration::from_secs(30);
/// Time without an announcement after which an upstream is removed; delayed announcements arrive within seconds.
const REMOVED_AFTER: Duration = Duration::from_secs(300);
/// Interval at which silent upstreams are searched for; a small part of [`STALE_AFTER`].
const SILENCE_SEARCH_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a sign of a leaving incarnation after which it is forgotten that it left; no upstream takes as long to leave.
const LEFT_KEPT: Duration = Duration::from_secs(24 * 3600);

/// What a response says of whether its upstream leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeavingNotice {
    /// The upstream leaves.
    Leaves,
    /// It says something that cannot be read.
    Unreadable,
    /// The response does not tell.
    Silent,
}

/// An incarnation that leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Left {
    /// The upstream.
    pub upstream: Key,
    /// Time at which the first instance learnt of it.
    pub since: Duration,
}

#[derive(Clone, Copy, Debug)]
struct KnownLeft {
    since: Duration,
    last_sign: Duration,
    /// Whether it was observed by this process or reported to it directly.
    direct: bool,
    changed: u64,
}

/// A software version that serves or has served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Served {
    /// Service of its upstreams.
    pub service: Rc<str>,
    /// Version of their software.
    pub software: Rc<str>,
    /// Time of their newest announcement.
    pub last_seen: Duration,
}

impl Served {
    /// What began a stream serves at that time.
    pub fn by(origin: &Origin, now: Duration) -> Self {
        let Origin { service, software } = origin.clone();
        Self { service, software, last_seen: now }
    }
}

#[derive(Clone, Copy, Debug)]
struct KnownServed {
    last_seen: Duration,
    changed: u64,
}

/// Announced state of an upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Upstream {
    /// ID, which a later start may reuse.
    pub id: Rc<str>,
    /// Start time in Unix milliseconds.
    pub incarnation: u64,
    /// Sequence number of the announcement; increases within an incarnation.
    pub sequence: u64,
    /// Service that it belongs to.
    pub service: Rc<str>,
    /// IP and port.
    pub address: Rc<str>,
    /// Failure domain.
    pub domain: Rc<str>,
    /// Version of its software; empty if it does not tell. Streams of two versions do not fit together.
    pub software: Rc<str>,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Warm-up time after its start, during which it is slow.
    pub cold: Duration,
    /// Loaded models and their weight versions.
    pub models: Vec<(Rc<str>, u64)>,
}

impl Upstream {
    /// Weight version of a model, if the upstream has loaded it.
    pub fn version_of(&self, model: &str) -> Option<u64> {
        self.models.iter().find(|(name, _)| **name == *model).map(|(_, version)| *version)
    }
}

/// Effect of an announcement on the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// The announcement was outdated or a duplicate.
    Unchanged,
    /// The upstream is still alive; nothing else changed.
    Renewed,
    /// Something that affects routing changed.
    Changed,
}

/// A known upstream.
#[derive(Clone, Debug)]
pub struct Known {
    /// Its newest announcement.
    pub upstream: Rc<Upstream>,
    /// Time of the newest announcement.
    pub last_seen: Duration,
    /// Whether it announced itself directly to this process.
    direct: bool,
    changed: u64,
    /// Newest change that matters to gateways: renewals and weight versions do not.
    routing_changed: u64,
    /// Change with which it fell silent; `None` while it is not.
    silent: Option<u64>,
    /// Time of the newest reply of a store that would have told of its silence.
    vouched_at: Duration,
    /// Whether the store that this process follows tells of its silence.
    vouched: bool,
}

impl Known {
    /// Whether it is known to have been alive recently.
    pub fn is_fresh(&self, now: Duration) -> bool {
        now.saturating_sub(self.alive_at()) < STALE_AFTER
    }

    /// Whether it may get new requests.
    pub fn takes_requests(&self, now: Duration) -> bool {
        !self.upstream.leaving && now.saturating_sub(self.alive_at()) < UNUSED_AFTER
    }

    /// Newest time at which it is known to have been alive.
    fn alive_at(&self) -> Duration {
        self.last_seen.max(self.vouched_at)
    }
}

/// How an announcement differs from the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Difference {
    /// Only its time.
    Renewal,
    /// Weight versions, which matter to stores only.
    Weights,
    /// Anything that gateways choose by.
    Routing,
}

/// All known upstreams.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    known: IndexMap<Rc<str>, Known>,
    /// Incarnations that leave. They outlast what is known of the upstream, which may be superseded, expire, and announce
    /// itself again.
    left: IndexMap<Key, KnownLeft>,
    /// Software versions by service. They outlast their upstreams, because a stream may outlast the one that began it.
    served: IndexMap<(Rc<str>, Rc<str>), KnownServed>,
    /// Start of this process.
    began: Option<Duration>,
    /// Whether no version is missing that served before then.
    complete: bool,
    changes: u64,
    urgent: u64,
    /// Newest urgent change that matters to gateways.
    urgent_routing: u64,
    /// Time of the last search for silent upstreams, and the newest urgent change before it.
    searched_at: Duration,
    searched_change: u64,
}

impl Fleet {
    /// Applies an announcement that arrived at `received_at`.
    pub fn announce(
        &mut self,
        received_at: Duration,
        up: Upstream,
        direct: bool,
    ) -> AnnounceOutcome {
        let mut up = up;
        let key = (up.id.clone(), up.incarnation);
        let (service, software) = (up.service.clone(), up.software.clone());
        self.note_served(Served { service, software, last_seen: received_at });
        let mut news = false;
        if up.leaving {
            let left = Left { upstream: key, since: received_at };
            news = self.note_left(received_at, left, direct);
        } else if let Some(left) = self.left.get_mut(&key) {
            left.last_sign = left.last_sign.max(received_at);
            up.leaving = true;
        }
        let Some(old) = self.known.get(&up.id) else {
            self.supersede(&up);
            return self.store(received_at, up, direct, Difference::Routing);
        };
        let known = &old.upstream;
        if up.incarnation < known.incarnation {
            return AnnounceOutcome::Unchanged;
        }
        if up.incarnation > known.incarnation {
            self.supersede(&up);
            return self.store(received_at, up, direct, Difference::Routing);
        }
        if up.sequence <= known.sequence {
            // Leaving is final, even if a newer announcement arrived first; that was recorded above.
            return if news { AnnounceOutcome::Changed } else { AnnounceOutcome::Unchanged };
        }
        let moved = up.address != known.address || up.service != known.service;
        let difference = match up.models == known.models {
            _ if news || moved => Difference::Routing,
            false => Difference::Weights,
            true => Difference::Renewal,
        };
        let last_seen = received_at.max(old.last_seen);
        let direct = direct || old.direct;
        self.store(last_seen, up, direct, difference)
    }

    /// Marks an upstream as leaving; an incarnation of 0 matches any. Another incarnation than the known one is only
    /// recorded.
    pub fn leave(&mut self, now: Duration, id: &str, incarnation: u64) -> AnnounceOutcome {
        let current = self.known.get(id).map(|known| known.upstream.incarnation);
        let Some(incarnation) = Some(incarnation).filter(|i| *i != 0).or(current) else {
            return AnnounceOutcome::Unchanged;
        };
        let left = Left { upstream: (id.into(), incarnation), since: now };
        if self.note_left(now, left, true) && current == Some(incarnation) {
            AnnounceOutcome::Changed
        } else {
            AnnounceOutcome::Unchanged
        }
    }

    /// Records that an incarnation leaves, which is final, also if the upstream is not known yet. Returns whether that is
    /// news.
    pub fn note_left(&mut self, now: Duration, left: Left, direct: bool) -> bool {
        let Left { upstream, since } = left;
        if let Some(known) = self.left.get_mut(&upstream) {
            known.last_sign = known.last_sign.max(now);
            // Other stores ask only for what was reported directly, and may not reach the one that passed it on.
            if direct && !known.direct {
                self.changes += 1;
                (known.direct, known.changed) = (true, self.changes);
            }
            return false;
        }
        self.changes += 1;
        (self.urgent, self.urgent_routing) = (self.changes, self.changes);
        let left = KnownLeft { since, last_sign: now, direct, changed: self.changes };
        let (id, incarnation) = (upstream.0.clone(), upstream.1);
        self.left.insert(upstream, left);
        let known = self.known.get(&id).filter(|k| k.upstream.incarnation == incarnation);
        if let Some(known) = known.filter(|k| !k.upstream.leaving) {
            let up = Upstream { leaving: true, ..(*known.upstream).clone() };
            let (last_seen, direct) = (known.last_seen, direct || known.direct);
            self.store(last_seen, up, direct, Difference::Routing);
        }
        true
    }

    /// Whether an incarnation is known to leave.
    pub fn has_left(&self, up: &Key) -> bool {
        self.left.contains_key(up)
    }

    /// Incarnations that were learnt to leave after a cursor; with `direct_only`, without what other processes passed on.
    pub fn left_since(&self, cursor: u64, direct_only: bool) -> impl Iterator<Item = Left> {
        let changed =
            move |left: &KnownLeft| left.changed > cursor && (left.direct || !direct_only);
        self.left
            .iter()
            .filter(move |(_, left)| changed(left))
            .map(|(up, left)| Left { upstream: up.clone(), since: left.since })
    }

    /// Removes older upstreams at the same address: only the latest start can own it.
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

    fn store(
        &mut self,
        last_seen: Duration,
        up: Upstream,
        direct: bool,
        difference: Difference,
    ) -> AnnounceOutcome {
        self.changes += 1;
        let changed = self.changes;
        let same = |k: &&Known| k.upstream.incarnation == up.incarnation;
        let old = self.known.get(&up.id).filter(same);
        let speaks_again = old.is_some_and(|k| k.silent.is_some());
        let (vouched_at, vouched) =
            old.map_or((Duration::ZERO, false), |k| (k.vouched_at, k.vouched));
        let routing = difference == Difference::Routing || speaks_again;
        let routing_changed =
            if routing { changed } else { old.map_or(changed, |k| k.routing_changed) };
        if routing {
            self.urgent_routing = changed;
        }
        if difference != Difference::Renewal {
            self.urgent = changed;
        }
        let (id, upstream, silent) = (up.id.clone(), Rc::new(up), None);
        let known = Known {
            upstream,
            last_seen,
            direct,
            changed,
            routing_changed,
            silent,
            vouched_at,
            vouched,
        };
        self.known.insert(id, known);
        match difference {
            Difference::Renewal => AnnounceOutcome::Renewed,
            Difference::Weights | Difference::Routing => AnnounceOutcome::Changed,
        }
    }

    /// Finds upstreams that have fallen silent, so that watchers without renewals can be told.
    pub fn find_silent(&mut self, now: Duration) {
        let recent = now.saturating_sub(self.searched_at) < SILENCE_SEARCH_INTERVAL;
        // What was learnt since then may be old already.
        if recent && self.urgent_routing <= self.searched_change {
            return;
        }
        (self.searched_at, self.searched_change) = (now, self.urgent_routing);
        for known in self.known.values_mut() {
            if known.silent.is_none() && !known.is_fresh(now) {
                self.changes += 1;
                known.silent = Some(self.changes);
            }
        }
    }

    /// Upstreams that have fallen silent after a cursor.
    pub fn silent_since(&self, cursor: u64) -> impl Iterator<Item = &Known> {
        self.known.values().filter(move |k| k.silent.is_some_and(|changed| changed > cursor))
    }

    /// Upstreams of which a gateway has to learn after a cursor, at most `limit`, and the next cursor: those that changed for
    /// it, and renewals of those that `wanted` selects.
    pub fn routing_since(
        &self,
        cursor: u64,
        wanted: impl Fn(&Upstream) -> bool,
        limit: usize,
    ) -> (Vec<&Known>, u64) {
        let change = |known: &Known| {
            let routing = Some(known.routing_changed).filter(|change| *change > cursor);
            let renewal = || known.changed > cursor && wanted(&known.upstream);
            routing.or_else(|| renewal().then_some(known.changed))
        };
        let changes = self.known.values().filter_map(|known| Some((change(known)?, known)));
        self.first_changes(changes, limit)
    }

    /// Upstreams that changed after a cursor, at most `limit`, and the next cursor; see [`Self::since`].
    pub fn first_since(&self, cursor: u64, direct_only: bool, limit: usize) -> (Vec<&Known>, u64) {
        let changes = self.since(cursor, direct_only).map(|known| (known.changed, known));
        self.first_changes(changes, limit)
    }

    /// At most `limit` upstreams for a watcher, the earliest changes first, and the cursor up to which it knows all changes
    /// then. A watcher that knows nothing gets thousands of upstreams in many short replies: one long reply for each watcher
    /// would keep a store that has just started from taking part in an election.
    fn first_changes<'a>(
        &self,
        changes: impl Iterator<Item = (u64, &'a Known)>,
        limit: usize,
    ) -> (Vec<&'a Known>, u64) {
        let mut changes: Vec<(u64, &Known)> = changes.collect();
        let mut cursor = self.cursor();
        if changes.len() > limit {
            changes.select_nth_unstable_by_key(limit - 1, |(change, _)| *change);
            changes.truncate(limit);
            cursor = changes.iter().map(|(change, _)| *change).max().unwrap_or_default();
        }
        (changes.into_iter().map(|(_, known)| known).collect(), cursor)
    }

    /// Records that another process of a store vouches from now on: only for what it tells.
    pub fn begin_vouching(&mut self) {
        self.known.values_mut().for_each(|known| known.vouched = false);
    }

    /// Records that the followed store vouches for an incarnation.
    pub fn set_vouched(&mut self, id: &str, incarnation: u64) {
        let known = self.known.get_mut(id).filter(|k| k.upstream.incarnation == incarnation);
        if let Some(known) = known {
            known.vouched = true;
        }
    }

    /// Records that the followed store has told of the silence of an incarnation, which is stale from then on.
    pub fn end_vouching(&mut self, id: &str, incarnation: u64, asked_at: Duration) {
        let known = self.known.get_mut(id).filter(|k| k.upstream.incarnation == incarnation);
        if let Some(known) = known {
            known.vouched = false;
            known.vouched_at = known.vouched_at.min(asked_at.saturating_sub(STALE_AFTER));
        }
    }

    /// Records that the followed store has replied to a question sent at a time, and told of all that were silent.
    pub fn vouch(&mut self, asked_at: Duration) {
        for known in self.known.values_mut().filter(|known| known.vouched) {
            known.vouched_at = known.vouched_at.max(asked_at);
        }
    }

    /// Records the start of this process; it may miss what served before.
    pub fn begin(&mut self, now: Duration) {
        self.began = Some(now);
    }

    /// Records that a software version serves or has served.
    pub fn note_served(&mut self, served: Served) {
        let Served { service, software, last_seen } = served;
        match self.served.entry((service, software)) {
            Entry::Occupied(mut known) => {
                known.get_mut().last_seen = known.get().last_seen.max(last_seen);
            }
            Entry::Vacant(unknown) => {
                self.changes += 1;
                unknown.insert(KnownServed { last_seen, changed: self.changes });
            }
        }
    }

    /// Software versions that were learnt of after a cursor.
    pub fn served_since(&self, cursor: u64) -> impl Iterator<Item = Served> {
        let newer = self.served.iter().filter(move |(_, known)| known.changed > cursor);
        newer.map(|((service, software), known)| Served {
            service: service.clone(),
            software: software.clone(),
            last_seen: known.last_seen,
        })
    }

    /// Records that no software version is missing that was recorded here before this process began: none was, or a majority
    /// of the voters has passed on all.
    pub fn complete_history(&mut self) {
        self.complete = true;
    }

    /// Whether no software version is missing that was recorded here and may have begun a stream that can still be taken up.
    pub fn has_history(&self, now: Duration) -> bool {
        let old = |began: Duration| now.saturating_sub(began) >= streams::RETENTION;
        self.complete || self.began.is_some_and(old)
    }

    /// Removes upstreams that have not announced themselves for `REMOVED_AFTER`, and software versions whose streams cannot
    /// be taken up any more.
    pub fn remove_expired(&mut self, now: Duration) {
        self.served.retain(|_, s| now.saturating_sub(s.last_seen) < streams::RETENTION);
        self.known.retain(|_, k| now.saturating_sub(k.alive_at()) < REMOVED_AFTER);
        // A start without a time cannot be told from the next one.
        self.left.retain(|(_, incarnation), left| match incarnation {
            0 => now.saturating_sub(left.since) < REMOVED_AFTER,
            _ => now.saturating_sub(left.last_sign) < LEFT_KEPT,
        });
    }

    /// Cursor of the newest change, for [`Self::since`] and [`Self::urgent_since`].
    pub fn cursor(&self) -> u64 {
        self.changes
    }

    /// Whether a change that affects routing happened after a cursor.
    pub fn urgent_since(&self, cursor: u64) -> bool {
        self.urgent > cursor
    }

    /// Whether a change that affects the choice of gateways happened after a cursor.
    pub fn urgent_routing_since(&self, cursor: u64) -> bool {
        self.urgent_routing > cursor
    }

    /// Upstreams that changed after a cursor; with `direct_only`, only those that announced themselves to this process.
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

    /// Software versions of a service that are known to have served.
    pub fn software_versions(&self, service: &str) -> impl Iterator<Item = &Rc<str>> {
        let of_service = self.served.keys().filter(move |(of, _)| **of == *service);
        of_service.map(|(_, software)| software)
    }

    /// Number of fresh and of stale upstreams that take new requests.
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
