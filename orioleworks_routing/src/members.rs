//! Upstream membership: announcements renew leases; see `docs/design.md`, section 6.
//!
//! ```
//! use std::time::Duration;
//! use orioleworks_routing::members::{Announcement, Members};
//!
//! let mut members = Members::default();
//! let a = Announcement { name: "sheet-1".into(), incarnation: 1, kind: "sheet-app".into(), ..Default::default() };
//! members.announce(Duration::ZERO, a);
//! assert_eq!(members.live("sheet-app").count(), 1);
//! members.expire(Duration::from_secs(3));
//! assert_eq!(members.live("sheet-app").count(), 0);
//! ```

use std::{
    collections::{HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

use indexmap::IndexMap;

/// Lease of an announcement: four missed announcements.
pub const LEASE: Duration = Duration::from_secs(2);
/// Time after a failed connection during which announcements of the same incarnation are ignored; covers announcements
/// that were in flight when the upstream crashed.
pub const FAILURE_HOLD: Duration = Duration::from_millis(500);
/// Time for which the incarnation of a lost upstream is kept, to reject delayed announcements.
pub const LOST_RETENTION: Duration = Duration::from_secs(600);
/// Largest number of prefixes kept for each upstream; the oldest are evicted first.
const MAX_PREFIXES: usize = 4096;

/// Change in an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether it was stored; otherwise it was evicted.
    pub stored: bool,
}

/// Consecutive cache events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheReport {
    /// Sequence number of the first event.
    pub first_sequence: u64,
    /// Events in order.
    pub events: Vec<CacheEvent>,
}

/// Announcement of an upstream.
#[derive(Clone, Debug, Default)]
pub struct Announcement {
    /// Name of the upstream.
    pub name: Rc<str>,
    /// Increases with each start of the upstream.
    pub incarnation: u64,
    /// Kind of upstream.
    pub kind: Rc<str>,
    /// Model that an engine serves, otherwise empty.
    pub model: Rc<str>,
    /// IP and port.
    pub address: Rc<str>,
    /// Weight version in use.
    pub weight_version: u64,
    /// Weight version that is about to be activated, 0 for none.
    pub pending_version: u64,
    /// Whether the engine rejects orders with an old fencing token.
    pub checks_fencing: bool,
    /// Whether it is an engine.
    pub engine: bool,
    /// Concurrency limit that it announces.
    pub capacity: u32,
    /// Requests that it runs.
    pub running: u32,
    /// Requests in its own queue.
    pub queued: u32,
    /// Age of the load measurement when the announcement was sent.
    pub measured_ago: Duration,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Cache events since the previous announcement.
    pub cache: CacheReport,
}

/// A known upstream.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its newest announcement.
    pub last: Announcement,
    /// End of the lease.
    pub lease_until: Duration,
    /// Time of the load measurement.
    pub measured_at: Duration,
    /// Whether it is shutting down; never reset for an incarnation.
    pub leaving: bool,
    lost: bool,
    revive_after: Duration,
    next_sequence: Option<u64>,
    prefixes: IndexMap<u64, ()>,
}

impl Member {
    /// Whether the lease has expired or a connection has failed.
    pub fn is_lost(&self) -> bool {
        self.lost
    }

    /// Whether new requests may be sent to it.
    pub fn takes_requests(&self) -> bool {
        !self.lost && !self.leaving
    }

    /// Whether its cache is believed to contain the prefix.
    pub fn holds_prefix(&self, prefix: u64) -> bool {
        self.prefixes.contains_key(&prefix)
    }
}

/// Live engine, as used by the order and run modules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Name of the engine.
    pub name: Rc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// Model that it serves.
    pub model: Rc<str>,
    /// IP and port.
    pub address: Rc<str>,
    /// Weight version in use.
    pub weight_version: u64,
    /// Weight version that is about to be activated, 0 for none.
    pub pending_version: u64,
    /// Whether it rejects orders with an old fencing token.
    pub checks_fencing: bool,
}

/// Upstream whose lease has expired.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expired {
    /// Its name.
    pub name: Rc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// Time of its last announcement.
    pub last_seen: Duration,
}

/// Result of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announced {
    /// The lease is renewed.
    Renewed,
    /// A new upstream, one whose lease had expired, or a new incarnation of one that was lost or leaving.
    Joined,
    /// A new incarnation replaced a live one, which therefore terminated unexpectedly.
    Restarted,
    /// A delayed announcement, which renews nothing.
    Outdated,
}

/// All known upstreams of a failure domain.
#[derive(Clone, Debug, Default)]
pub struct Members {
    members: HashMap<Rc<str>, Member>,
    stopped: HashSet<Rc<str>>,
}

impl Members {
    /// Applies an announcement.
    pub fn announce(&mut self, now: Duration, a: Announcement) -> Announced {
        let stopped = self.stopped.contains(&a.name);
        let Some(member) = self.members.get_mut(&a.name) else {
            self.members.insert(a.name.clone(), new_member(now, a, stopped));
            return Announced::Joined;
        };
        if a.incarnation < member.last.incarnation {
            return Announced::Outdated;
        }
        if a.incarnation > member.last.incarnation {
            // A leaving upstream is expected to terminate.
            let expected = member.lost || member.leaving;
            *member = new_member(now, a, stopped);
            return if expected { Announced::Joined } else { Announced::Restarted };
        }
        if member.lost && now < member.revive_after {
            member.leaving |= a.leaving;
            return Announced::Outdated;
        }
        member.leaving |= a.leaving || stopped;
        member.lease_until = now + LEASE;
        member.measured_at = now.saturating_sub(a.measured_ago);
        apply_cache(member, &a.cache);
        member.last = a;
        if std::mem::replace(&mut member.lost, false) {
            Announced::Joined
        } else {
            Announced::Renewed
        }
    }

    /// Expires leases that were not renewed; returns the upstreams lost by this call.
    pub fn expire(&mut self, now: Duration) -> Vec<Expired> {
        let mut lost = Vec::new();
        for (name, member) in &mut self.members {
            if !member.lost && member.lease_until <= now {
                member.lost = true;
                lost.push(Expired {
                    name: name.clone(),
                    incarnation: member.last.incarnation,
                    last_seen: member.lease_until.saturating_sub(LEASE),
                });
            }
        }
        self.members.retain(|_, member| !member.lost || member.lease_until + LOST_RETENTION > now);
        lost
    }

    /// Records a failed connection; returns whether this incarnation was live until now.
    pub fn fail(&mut self, now: Duration, name: &str, incarnation: u64) -> bool {
        let Some(member) = self.members.get_mut(name) else { return false };
        if member.last.incarnation != incarnation || member.lost {
            return false;
        }
        member.lost = true;
        member.revive_after = now + FAILURE_HOLD;
        true
    }

    /// Stops an upstream by name; its current incarnation stays leaving even after a later start order.
    pub fn stop(&mut self, name: &str) {
        self.stopped.insert(name.into());
        if let Some(member) = self.members.get_mut(name) {
            member.leaving = true;
        }
    }

    /// Cancels a stop order; the next incarnation may join.
    pub fn start(&mut self, name: &str) {
        self.stopped.remove(name);
    }

    /// Whether a stop order for this name is in force.
    pub fn is_stopped(&self, name: &str) -> bool {
        self.stopped.contains(name)
    }

    /// A known upstream.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Every known upstream, including lost ones that are still kept.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Upstreams of a kind that take new requests.
    pub fn live(&self, kind: &str) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |m| m.takes_requests() && *m.last.kind == *kind)
    }

    /// Number of upstreams that are not lost, of all kinds.
    pub fn live_count(&self) -> usize {
        self.members.values().filter(|m| !m.lost).count()
    }

    /// Engines that are not lost; leaving ones still finish streams and are included.
    pub fn engines(&self) -> Vec<Engine> {
        let mut engines: Vec<Engine> = self
            .members
            .values()
            .filter(|m| !m.lost && m.last.engine)
            .map(|m| Engine {
                name: m.last.name.clone(),
                incarnation: m.last.incarnation,
                model: m.last.model.clone(),
                address: m.last.address.clone(),
                weight_version: m.last.weight_version,
                pending_version: m.last.pending_version,
                checks_fencing: m.last.checks_fencing,
            })
            .collect();
        engines.sort_by(|a, b| a.name.cmp(&b.name));
        engines
    }
}

fn new_member(now: Duration, a: Announcement, stopped: bool) -> Member {
    let mut member = Member {
        lease_until: now + LEASE,
        measured_at: now.saturating_sub(a.measured_ago),
        leaving: a.leaving || stopped,
        lost: false,
        revive_after: Duration::ZERO,
        next_sequence: None,
        prefixes: IndexMap::new(),
        last: a,
    };
    let cache = std::mem::take(&mut member.last.cache);
    apply_cache(&mut member, &cache);
    member
}

/// Applies cache events; after a gap the old view may contain evicted prefixes, so it is cleared.
fn apply_cache(member: &mut Member, report: &CacheReport) {
    let end = report.first_sequence.saturating_add(report.events.len() as u64);
    let Some(expected) = member.next_sequence else {
        member.next_sequence = Some(end);
        store_events(member, &report.events);
        return;
    };
    if report.events.is_empty() {
        return;
    }
    if report.first_sequence > expected {
        member.prefixes.clear();
        store_events(member, &report.events);
    } else if end > expected {
        let known = usize::try_from(expected - report.first_sequence).unwrap_or(usize::MAX);
        store_events(member, &report.events[known.min(report.events.len())..]);
    } else {
        return;
    }
    member.next_sequence = Some(end);
}

fn store_events(member: &mut Member, events: &[CacheEvent]) {
    for event in events {
        member.prefixes.shift_remove(&event.prefix);
        if event.stored {
            member.prefixes.insert(event.prefix, ());
        }
    }
    let excess = member.prefixes.len().saturating_sub(MAX_PREFIXES);
    drop(member.prefixes.drain(..excess));
}
