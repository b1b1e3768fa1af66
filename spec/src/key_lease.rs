//! Specification of the lease on keys: a key that is revoked, a store that confirms documents, and a gateway that uses them.
//!
//! The log is assumed to have the properties that [`crate::log`] checks: a leader that a quorum has confirmed knows every
//! document that was acknowledged before. Every message may be held up. A request is sent at the time of its check; a later
//! check of an earlier request allows no more.

use std::time::Duration;

use orioleworks_routing::key_lease::{Confirmation, KeyLease};

use crate::explore::Model;

/// Length of a tick; any will do.
const TICK: Duration = Duration::from_secs(1);
/// Ticks after which a revocation must have taken effect.
const BOUND: u8 = 4;
/// Last tick.
const MAX_TIME: u8 = 6;
/// Version of the document with the key.
const WITH_KEY: u64 = 1;
/// Version of the document that revokes it.
const REVOKED: u64 = 2;

/// The one rule that is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// No rule is broken.
    Intact,
    /// The lease counts from the arrival of the store's reply.
    CountFromArrival,
    /// The age of the confirmation is ignored.
    AgeIgnored,
    /// The store counts its confirmation from the arrival of the leader's reply.
    ConfirmedAtReply,
    /// A leader that was replaced confirms its document without asking a quorum.
    NoQuorum,
    /// A confirmation of a newer document extends the lease on an older one.
    VersionNotCompared,
    /// The gateway reads its clock before it is paused and takes a request after that.
    ClockBeforeRequest,
}

/// The specification.
#[derive(Clone, Copy, Debug)]
pub struct Keys {
    /// Rule that is broken.
    pub broken: Broken,
}

/// State of the document, the store and the gateway; all times are in ticks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct State {
    now: u8,
    /// Time at which the revocation was acknowledged.
    revoked_at: Option<u8>,
    /// Time of the store's question to the leader.
    asked_leader: Option<u8>,
    /// Version in the leader's reply, which is on its way.
    leader_reply: Option<u64>,
    /// Newest confirmation of the store: version and time of the question.
    confirmed: Option<(u64, u8)>,
    /// Time of the gateway's question to the store.
    asked_store: Option<u8>,
    /// Confirmation in the store's reply, which is on its way: version and age.
    store_reply: Option<(u64, u8)>,
    /// Version of the gateway's document.
    held: u64,
    lease: KeyLease,
    /// Time that the gateway read before a pause.
    clock: Option<u8>,
}

/// Step of a trace.
#[derive(Clone, Copy, Debug)]
#[allow(missing_docs)]
pub enum Step {
    Tick,
    Revoke,
    AskLeader,
    Confirm(u64),
    LeaderReplyArrives,
    AskStore,
    StoreReplies,
    StoreReplyArrives,
    DocumentArrives,
    PauseAfterClock,
}

impl State {
    fn newest(&self) -> u64 {
        if self.revoked_at.is_some() { REVOKED } else { WITH_KEY }
    }
}

impl Keys {
    fn is_variant(&self, broken: Broken) -> bool {
        self.broken == broken
    }

    /// Whether the gateway runs a request with the key now.
    fn allows(&self, s: &State) -> bool {
        let version = if self.is_variant(Broken::VersionNotCompared) { REVOKED } else { s.held };
        s.held == WITH_KEY && s.lease.allows(version, TICK * s.clock.unwrap_or(s.now).into())
    }

    fn store_steps(&self, s: &State, out: &mut Vec<(Step, State)>) {
        // A new question makes the reply to the one before count no more.
        let asked = State { asked_leader: Some(s.now), leader_reply: None, ..*s };
        out.push((Step::AskLeader, asked));
        let Some(asked_at) = s.asked_leader else { return };
        if let Some(version) = s.leader_reply {
            let counts_from =
                if self.is_variant(Broken::ConfirmedAtReply) { s.now } else { asked_at };
            let confirmed = Some((version, counts_from));
            let n = State { confirmed, asked_leader: None, leader_reply: None, ..*s };
            out.push((Step::LeaderReplyArrives, n));
            return;
        }
        out.push((Step::Confirm(s.newest()), State { leader_reply: Some(s.newest()), ..*s }));
        if self.is_variant(Broken::NoQuorum) {
            out.push((Step::Confirm(WITH_KEY), State { leader_reply: Some(WITH_KEY), ..*s }));
        }
    }

    fn gateway_steps(&self, s: &State, out: &mut Vec<(Step, State)>) {
        out.push((Step::AskStore, State { asked_store: Some(s.now), store_reply: None, ..*s }));
        if s.held < s.newest() {
            out.push((Step::DocumentArrives, State { held: s.newest(), ..*s }));
        }
        if self.is_variant(Broken::ClockBeforeRequest) {
            out.push((Step::PauseAfterClock, State { clock: Some(s.now), ..*s }));
        }
        let Some(asked_at) = s.asked_store else { return };
        if let Some((version, age)) = s.store_reply {
            let asked_at = if self.is_variant(Broken::CountFromArrival) { s.now } else { asked_at };
            let age = if self.is_variant(Broken::AgeIgnored) { 0 } else { age };
            let mut n = State { asked_store: None, store_reply: None, ..*s };
            n.lease.renew(TICK * asked_at.into(), Confirmation { version, age: TICK * age.into() });
            out.push((Step::StoreReplyArrives, n));
        } else if let Some((version, confirmed_at)) = s.confirmed {
            let store_reply = Some((version, s.now - confirmed_at));
            out.push((Step::StoreReplies, State { store_reply, ..*s }));
        }
    }
}

impl Model for Keys {
    type State = State;
    type Step = Step;

    fn name(&self) -> String {
        format!("key_lease/{:?}", self.broken)
    }

    fn bound(&self) -> String {
        format!("1 key, 1 store, 1 gateway, bound of {BOUND} ticks, {MAX_TIME} ticks")
    }

    fn start(&self) -> State {
        State {
            now: 0,
            revoked_at: None,
            asked_leader: None,
            leader_reply: None,
            confirmed: None,
            asked_store: None,
            store_reply: None,
            held: WITH_KEY,
            lease: KeyLease::new(TICK * BOUND.into()),
            clock: None,
        }
    }

    fn steps(&self, s: &State) -> Vec<(Step, State)> {
        let mut out = Vec::new();
        if s.now < MAX_TIME {
            out.push((Step::Tick, State { now: s.now + 1, ..*s }));
        }
        if s.revoked_at.is_none() {
            out.push((Step::Revoke, State { revoked_at: Some(s.now), ..*s }));
        }
        self.store_steps(s, &mut out);
        self.gateway_steps(s, &mut out);
        out.retain(|(_, n)| n != s);
        out
    }

    fn violation(&self, s: &State) -> Option<&'static str> {
        let is_over = s.revoked_at.is_some_and(|at| s.now > at + BOUND);
        (is_over && self.allows(s)).then_some("no request with a revoked key runs after the bound")
    }

    fn is_complete(&self, s: &State) -> bool {
        s.now == MAX_TIME && s.revoked_at.is_none() && self.allows(s)
    }

    fn must_stay_completable(&self) -> bool {
        false
    }
}
