//! Chooses an upstream for a waiting request.
//!
//! See `docs/design.md`, section 8.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use futures_channel::oneshot;
use orioleworks_proto::inner;
use orioleworks_routing::{
    affinity::Affinity,
    choice::{self, Candidate},
    limit::Limit,
    members::Member,
    suspects::Admission,
};
use rand::rngs::StdRng;
use tokio_util::sync::CancellationToken;

use crate::slots::Grant;

/// Time for which an upstream is reserved for a suspect; the reservation of a suspect that stopped waiting expires.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(1);

/// A request that waits for an upstream.
pub struct Waiter {
    /// Hash of profile and body.
    pub fingerprint: Rc<str>,
    /// Profile of the request.
    pub profile: Rc<inner::Profile>,
    /// Hash of the prompt prefix.
    pub prefix: Option<u64>,
    /// Lowest acceptable weight version.
    pub lowest_version: u64,
    /// Upstreams that must not be chosen.
    pub avoid: Vec<Rc<str>>,
    /// Whether the result is owed to a trainer.
    pub owed: bool,
    /// Whether the request is a hedged second attempt.
    pub second_attempt: bool,
    /// Sends the granted slot to the waiting task.
    pub tx: RefCell<Option<oneshot::Sender<Grant>>>,
}

/// One request in flight.
#[derive(Clone, Debug)]
pub struct Running {
    /// ID of the slot.
    pub id: u64,
    /// Hash of profile and body.
    pub fingerprint: Rc<str>,
    /// Name of the profile.
    pub profile: Rc<str>,
}

/// State of one upstream incarnation.
pub struct Upstream {
    /// Incarnation to which this state belongs.
    pub incarnation: u64,
    /// Adaptive concurrency limit.
    pub limit: Limit,
    /// Requests in flight.
    pub running: Vec<Running>,
    /// Whether a suspect runs isolated here.
    pub exclusive: bool,
    /// Suspect for which the upstream is reserved, and the end of the reservation.
    pub reserved: Option<(Rc<str>, Duration)>,
    /// Cancelled when the upstream is lost.
    pub lost: CancellationToken,
    /// Requests whose connections broke without proof of a crash, for a restart that is noticed shortly after.
    pub broken_connections: Vec<(Duration, Running)>,
    /// HTTP client of the upstream.
    pub client: cyper::Client,
}

impl Upstream {
    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    fn is_reserved(&self, now: Duration) -> bool {
        self.reserved.as_ref().is_some_and(|(_, until)| *until > now)
    }
}

/// State that a placement depends on, except for the waiting request.
pub struct PlacementView<'a> {
    /// Time since boot.
    pub now: Duration,
    /// Upstreams of the kind that accept requests.
    pub live: Vec<&'a Member>,
    /// State of the upstreams by name.
    pub upstreams: &'a mut HashMap<Rc<str>, Upstream>,
    /// Prefix affinity.
    pub affinity: &'a Affinity,
    /// Settings of the selection.
    pub choice: choice::Settings,
    /// Engines with a pending swap accept samples if all engines of the kind have a pending swap.
    pub drain_unless_all: bool,
    /// Number of live entries of the failure domain.
    pub live_entries: u32,
    /// Random number generator of the selection.
    pub rng: &'a mut StdRng,
}

impl PlacementView<'_> {
    /// Whether any upstream may accept one more request.
    pub fn has_capacity(&self) -> bool {
        self.live.iter().any(|m| self.has_free_slot(m))
    }

    fn has_free_slot(&self, member: &Member) -> bool {
        let Some(upstream) = self.upstreams.get(&member.last.name) else { return false };
        !upstream.exclusive && upstream.in_flight() < upstream.limit.share(self.live_entries)
    }

    /// Name of the upstream that can run the request now, and whether the request runs isolated there.
    pub fn place(
        &mut self,
        waiter: &Waiter,
        admission: Admission,
        spread: Option<usize>,
    ) -> Option<(Rc<str>, bool)> {
        match admission {
            Admission::Unrestricted => {
                self.place_unrestricted(waiter, spread).map(|name| (name, false))
            }
            Admission::Isolated => self.place_isolated(waiter).map(|name| (name, true)),
            // The task of a quarantined request removes it from the queue.
            Admission::NotBefore(_) | Admission::Quarantined => None,
        }
    }

    fn place_unrestricted(&mut self, waiter: &Waiter, spread: Option<usize>) -> Option<Rc<str>> {
        // A hedged second attempt always runs while the first one is in flight on another upstream.
        let spread = spread.map(|n| n + usize::from(waiter.second_attempt));
        let upstreams_running = match spread {
            Some(_) => self.upstreams_running(&waiter.fingerprint),
            None => Vec::new(),
        };
        // All engines fetch weights at the same time, so a delay in the store would otherwise block every sample.
        let ignore_drain =
            self.drain_unless_all && self.live.iter().all(|m| is_draining_for(waiter, m));
        let now = self.now;
        let is_suitable = |m: &&&Member| {
            is_eligible(waiter, m)
                && (ignore_drain || !is_draining_for(waiter, m))
                && self.has_free_slot(m)
                && !self.upstreams.get(&m.last.name).is_some_and(|u| u.is_reserved(now))
                && (spread.is_none_or(|n| upstreams_running.len() < n)
                    || upstreams_running.contains(&m.last.name))
        };
        let suitable: Vec<&Member> = self.live.iter().filter(is_suitable).copied().collect();
        let names: Vec<Rc<str>> = suitable.iter().map(|m| m.last.name.clone()).collect();
        let preferred = waiter.prefix.and_then(|prefix| {
            let loads: Vec<u32> = names.iter().map(|n| self.upstreams[n].in_flight()).collect();
            // The mean load covers all live upstreams. Without the full ones, the load bound of the others would be
            // lower.
            let total = self.live.iter().filter_map(|m| self.upstreams.get(&m.last.name));
            let total: u32 = total.map(Upstream::in_flight).sum();
            let holds = |i: usize| suitable[i].holds_prefix(prefix);
            self.affinity.prefer(prefix, &names, &loads, total, holds)
        });
        let candidates: Vec<Candidate> = suitable.iter().map(|m| self.candidate(m)).collect();
        let at = preferred.or_else(|| choice::choose(&candidates, self.choice, self.rng))?;
        Some(names[at].clone())
    }

    /// Reserves the least loaded upstream and returns it once it is idle.
    fn place_isolated(&mut self, waiter: &Waiter) -> Option<Rc<str>> {
        if !self.upstreams_running(&waiter.fingerprint).is_empty() {
            return None;
        }
        let (now, fingerprint) = (self.now, &waiter.fingerprint);
        let self_reserved =
            |u: &Upstream| u.reserved.as_ref().is_some_and(|(f, _)| f == fingerprint);
        let suitable = self
            .live
            .iter()
            .filter(|m| is_eligible(waiter, m) && !is_draining_for(waiter, m))
            .filter(|m| {
                let upstream = self.upstreams.get(&m.last.name);
                upstream.is_some_and(|u| !u.exclusive && (self_reserved(u) || !u.is_reserved(now)))
            });
        let best = suitable.min_by_key(|m| {
            let upstream = &self.upstreams[&m.last.name];
            (!self_reserved(upstream), upstream.in_flight())
        })?;
        let name = best.last.name.clone();
        let upstream = self.upstreams.get_mut(&name)?;
        if upstream.running.is_empty() {
            upstream.reserved = None;
            return Some(name);
        }
        upstream.reserved = Some((fingerprint.clone(), now + RESERVATION_TIMEOUT));
        None
    }

    fn upstreams_running(&self, fingerprint: &str) -> Vec<Rc<str>> {
        let holds = |u: &Upstream| u.running.iter().any(|r| *r.fingerprint == *fingerprint);
        self.upstreams.iter().filter(|(_, u)| holds(u)).map(|(name, _)| name.clone()).collect()
    }

    fn candidate(&self, member: &Member) -> Candidate {
        let upstream = &self.upstreams[&member.last.name];
        Candidate {
            own_in_flight: upstream.in_flight(),
            reported: member.last.running + member.last.queued,
            report_age: self.now.saturating_sub(member.measured_at),
            capacity: upstream.limit.current(),
        }
    }
}

/// Whether the request does not exclude the upstream by name or weight version.
pub fn is_eligible(waiter: &Waiter, member: &Member) -> bool {
    let a = &member.last;
    !waiter.avoid.contains(&a.name) && a.weight_version >= waiter.lowest_version
}

/// Whether the upstream drains before a weight swap and therefore accepts no requests of this profile.
fn is_draining_for(waiter: &Waiter, member: &Member) -> bool {
    let a = &member.last;
    waiter.profile.objective() == inner::Objective::Staleness
        && a.engine
        && a.pending_version > a.weight_version
}
