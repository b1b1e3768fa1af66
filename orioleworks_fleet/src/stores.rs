//! Calls to the leader of the stores.
//!
//! The leader is discovered by asking the known stores in turn. A call that certainly had no effect is repeated at
//! another store.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    rc::Rc,
    time::{Duration, Instant},
};

use compio::runtime;
use indexmap::IndexSet;
use orioleworks_daemon::rpc::{self, RpcError};
use orioleworks_proto::{
    codes::ResultCode,
    inner::{self, frame::Body},
};
use orioleworks_rules::batches::{self as rules, SubmissionOutcome};

use crate::leader_search::{LeaderSearch, REPORT_INTERVAL, REPORTED_SEARCH};

/// Pause before the stores are asked again while they elect a leader; an election takes about a second.
const ELECTION_PAUSE: Duration = Duration::from_millis(60);

#[derive(Debug, Default)]
struct Inner {
    seeds: RefCell<Vec<String>>,
    members: RefCell<Vec<String>>,
    leader: RefCell<String>,
    /// Time of the latest report of a search without a leader.
    reported_at: Cell<Option<Instant>>,
    clients: RefCell<HashMap<String, rpc::Client>>,
}

/// Addresses of the stores and connections to them; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Stores {
    inner: Rc<Inner>,
}

/// Result of a call to the leader.
#[derive(Debug)]
pub enum CallOutcome {
    /// The leader replied.
    Replied(Box<Body>),
    /// No leader accepted the call; it had no effect.
    NoLeader,
    /// The call may have had an effect.
    Unconfirmed,
}

impl Stores {
    /// Replaces the addresses from the settings.
    pub fn set_seeds(&self, seeds: impl IntoIterator<Item = String>) {
        *self.inner.seeds.borrow_mut() = seeds.into_iter().collect();
    }

    /// Replaces the addresses of the members; an empty list changes nothing.
    pub fn set_members(&self, members: Vec<String>) {
        if !members.is_empty() {
            *self.inner.members.borrow_mut() = members;
        }
    }

    /// Sets the leader's address; an empty one changes nothing.
    pub fn set_leader(&self, leader: &str) {
        if !leader.is_empty() && *self.inner.leader.borrow() != leader {
            leader.clone_into(&mut self.inner.leader.borrow_mut());
        }
    }

    /// Address of the last known leader; empty for none.
    pub fn leader(&self) -> String {
        self.inner.leader.borrow().clone()
    }

    /// Addresses of the stores that vote; empty before a store has told them.
    pub fn voters(&self) -> Vec<String> {
        self.inner.members.borrow().clone()
    }

    /// All known addresses, members first.
    pub fn addresses(&self) -> IndexSet<String> {
        let members = self.inner.members.borrow();
        let seeds = self.inner.seeds.borrow();
        members.iter().chain(seeds.iter()).cloned().collect()
    }

    /// All known addresses in the order in which an instance tries them: members first, each part in an order of its own
    /// for each instance, which spreads the load and does not depend on the order in which members were told.
    pub fn order_for(&self, instance: &str) -> Vec<String> {
        let rank = |address: &String| {
            let mut hasher = DefaultHasher::new();
            (instance, address).hash(&mut hasher);
            hasher.finish()
        };
        let members = self.inner.members.borrow();
        let mut addresses: Vec<String> = self.addresses().into_iter().collect();
        addresses.sort_by_cached_key(|a| (!members.contains(a), rank(a)));
        addresses
    }

    /// Client of one store.
    pub fn client(&self, address: &str) -> rpc::Client {
        let mut clients = self.inner.clients.borrow_mut();
        clients.entry(address.to_owned()).or_insert_with(|| rpc::Client::new(address)).clone()
    }

    /// Calls the leader until it replies or `timeout` has elapsed.
    ///
    /// `message` is built for each attempt and must be idempotent, because it may arrive more than once.
    /// `reply_timeout` bounds one attempt.
    pub async fn call_leader(
        &self,
        message: impl Fn() -> Body,
        timeout: Duration,
        reply_timeout: Duration,
    ) -> CallOutcome {
        let deadline = Instant::now() + timeout;
        let mut unconfirmed = false;
        let mut search = LeaderSearch::default();
        loop {
            search.passes += 1;
            let leader = self.leader();
            let mut tried: IndexSet<String> = IndexSet::new();
            let mut next = if leader.is_empty() { None } else { Some(leader) };
            loop {
                let untried = || self.addresses().into_iter().find(|a| !tried.contains(a));
                let Some(address) = next.take().filter(|a| !tried.contains(a)).or_else(untried)
                else {
                    break;
                };
                tried.insert(address.clone());
                let remaining = deadline.saturating_duration_since(Instant::now());
                if remaining.is_zero() {
                    break;
                }
                match self.client(&address).call(message(), reply_timeout.min(remaining)).await {
                    Ok(body) => {
                        let code = result_code(&body);
                        match code {
                            ResultCode::NotLeader => {
                                next = leader_of(&body).filter(|a| !a.is_empty());
                            }
                            ResultCode::NoQuorum | ResultCode::NotReady => {}
                            ResultCode::OrderUnconfirmed => unconfirmed = true,
                            // An earlier copy may still arrive where there is memory for it.
                            ResultCode::MemoryShort if unconfirmed => {
                                return CallOutcome::Unconfirmed;
                            }
                            _ => {
                                self.set_leader(&address);
                                return CallOutcome::Replied(Box::new(body));
                            }
                        }
                        search.add_reply(&address, code, next.as_deref());
                    }
                    Err(e) => {
                        unconfirmed |= !matches!(e, RpcError::Unreachable(_));
                        search.add_error(&address, &e);
                    }
                }
            }
            if Instant::now() + ELECTION_PAUSE >= deadline {
                if timeout >= REPORTED_SEARCH {
                    self.report(search);
                }
                return match rules::submission_outcome(unconfirmed) {
                    SubmissionOutcome::NotRun => CallOutcome::NoLeader,
                    SubmissionOutcome::Unknown => CallOutcome::Unconfirmed,
                };
            }
            compio::time::sleep(ELECTION_PAUSE).await;
        }
    }

    /// Reports a search in which no store took the call, unless there was a report a short time ago.
    fn report(&self, search: LeaderSearch) {
        let is_recent = |at: Instant| at.elapsed() < REPORT_INTERVAL;
        if self.inner.reported_at.get().is_some_and(is_recent) {
            return;
        }
        self.inner.reported_at.set(Some(Instant::now()));
        let clients: Vec<_> =
            self.addresses().into_iter().map(|a| (a.clone(), self.client(&a))).collect();
        runtime::spawn(search.report(clients)).detach();
    }

    /// Proposes a command that may arrive more than once.
    pub async fn propose(&self, kind: inner::command::Kind, timeout: Duration) -> CallOutcome {
        /// A leader replies within 1.5 s, even without a quorum.
        const REPLY_TIMEOUT: Duration = Duration::from_millis(1600);
        let message = || {
            let command = inner::Command { expected_revision: None, kind: Some(kind.clone()) };
            Body::Propose(inner::Propose { order_id: String::new(), command: Some(command) })
        };
        self.call_leader(message, timeout, REPLY_TIMEOUT).await
    }
}

fn raw_code(body: &Body) -> u32 {
    match body {
        Body::ProposeReply(reply) => reply.code,
        Body::ReadBatchReply(reply) => reply.code,
        Body::ReadItemReply(reply) => reply.code,
        Body::ReadDocumentReply(reply) => reply.code,
        Body::AcquirePermitReply(reply) => reply.code,
        Body::ConfirmDocumentReply(reply) => reply.code,
        Body::ReportUsageReply(reply) => reply.code,
        _ => ResultCode::Ok.number(),
    }
}

/// Result code of a leader's reply. A code that this version does not know counts as unconfirmed.
pub fn result_code(body: &Body) -> ResultCode {
    ResultCode::from_number(raw_code(body)).unwrap_or(ResultCode::OrderUnconfirmed)
}

fn leader_of(body: &Body) -> Option<String> {
    match body {
        Body::ProposeReply(reply) => Some(reply.leader_address.clone()),
        Body::ReadBatchReply(reply) => Some(reply.leader_address.clone()),
        Body::ReadItemReply(reply) => Some(reply.leader_address.clone()),
        Body::ReadDocumentReply(reply) => Some(reply.leader_address.clone()),
        Body::AcquirePermitReply(reply) => Some(reply.leader_address.clone()),
        Body::ConfirmDocumentReply(reply) => Some(reply.leader_address.clone()),
        _ => None,
    }
}
