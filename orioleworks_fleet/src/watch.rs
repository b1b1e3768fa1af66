//! Long polling of a store for the changes since the last reply; the store replies at once to urgent ones.

use std::{cell::RefCell, rc::Rc, time::Duration};

use orioleworks_daemon::{
    clock, event,
    rpc::{self, RpcError},
};
use orioleworks_proto::inner::{self, frame::Body};
use orioleworks_routing::{
    crashes::Crashes,
    fleet::{AnnounceOutcome, Fleet, LeavingNotice, Left},
    outlier::Key,
    rates::{NamedRates, Notice, Senders},
};

use crate::{convert, unusable};

/// Longest time for which a store holds a watch request. It bounds how late an unresponsive store is detected.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// Time after the end of the wait within which the reply must arrive.
const REPLY_SLACK: Duration = Duration::from_millis(400);

/// Largest number of upstreams in a reply to a watcher; the next reply has more. A reply takes about a millisecond then.
pub const MAX_UPSTREAMS: usize = 256;

/// Position of a watcher in the sequence of changes of one store process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Position {
    boot: u64,
    cursor: u64,
    crash_cursor: u64,
    limit_cursor: u64,
}

/// What a watcher already knows, and what it wants.
#[derive(Clone, Debug, Default)]
pub struct WatcherState {
    /// Version of the route document.
    pub document_version: u64,
    /// Address of the leader.
    pub leader_address: String,
    /// Whether only upstreams that announced themselves to this store are wanted.
    pub direct_only: bool,
    /// Name of the gateway that watches; empty for a store.
    pub gateway: String,
    /// Address at which the gateway takes requests of other gateways; empty if it does not.
    pub relay_address: String,
    /// Failure domain of the gateway.
    pub domain: String,
    /// Digest of the gateways that it knows as helpers.
    pub helpers_digest: u64,
    /// Whether the reply should tell which version of the route document is confirmed.
    pub wants_confirmation: bool,
    /// Whether upstreams are taken for alive until their silence is told.
    pub accepts_silence: bool,
}

/// What a watcher knows of upstreams and gateways; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Knowledge {
    /// Known upstreams.
    pub fleet: Rc<RefCell<Fleet>>,
    /// Contents that may have crashed upstreams.
    pub crashes: Rc<RefCell<Crashes>>,
    /// Limits that upstreams have named.
    pub rates: Rc<RefCell<NamedRates>>,
    /// Gateways, as far as stores know them.
    pub gateways: Rc<RefCell<Senders>>,
}

impl Knowledge {
    /// Records what a response says of the limit of its upstream; returns whether that changes the limit.
    pub fn observe_rate(&self, up: &Key, sent_at: Duration, notice: Notice) -> bool {
        let named = match notice {
            Notice::Limit(rate) => Some(rate),
            Notice::NoLimit => None,
            Notice::Unreadable => {
                unusable::count("limit");
                event!(warn, "limit_unreadable", upstream = up.0, incarnation = up.1);
                return false;
            }
            Notice::Silent => return false,
        };
        if !self.rates.borrow_mut().observe(up, sent_at, clock::since_boot(), named) {
            return false;
        }
        match named {
            Some(rate) => {
                event!(info, "limit_named", upstream = up.0, incarnation = up.1, per_second = rate)
            }
            None => event!(info, "limit_ended", upstream = up.0, incarnation = up.1),
        }
        true
    }

    /// Records what a response says of whether its upstream leaves; returns whether that is news.
    pub fn observe_leaving(&self, up: &Key, notice: LeavingNotice) -> bool {
        match notice {
            LeavingNotice::Leaves => {}
            LeavingNotice::Unreadable => {
                unusable::count("leaving");
                event!(warn, "leaving_unreadable", upstream = up.0, incarnation = up.1);
                return false;
            }
            LeavingNotice::Silent => return false,
        }
        let left = Left { upstream: up.clone(), since: clock::since_boot() };
        self.note_left(left, true, "response")
    }

    /// Records that an upstream leaves, as told by `source`; returns whether that is news.
    pub fn note_left(&self, left: Left, direct: bool, source: &str) -> bool {
        let now = clock::since_boot();
        let ((id, incarnation), age) = (left.upstream.clone(), now.saturating_sub(left.since));
        let news = self.fleet.borrow_mut().note_left(now, left, direct);
        if news {
            event!(
                info,
                "upstream_leaving",
                upstream = id,
                incarnation = incarnation,
                source = source,
                age_ms = age.as_millis(),
            );
        }
        news
    }

    /// Removes limits of upstreams that are gone.
    pub fn expire_rates(&self) {
        let fleet = self.fleet.borrow();
        self.rates.borrow_mut().retain(|(id, incarnation)| {
            fleet.get(id).is_some_and(|known| known.upstream.incarnation == *incarnation)
        });
    }
}

/// What a reply changed.
#[derive(Clone, Copy, Debug)]
pub struct Merged {
    /// Whether anything that affects routing changed.
    pub changed: bool,
    /// Whether the reply had as many upstreams as fit, so that more follow.
    pub was_full: bool,
}

/// Sends one watch request and merges the reply into `knowledge`.
///
/// # Errors
///
/// Returns why there is no reply.
pub async fn poll(
    client: &rpc::Client,
    position: &mut Position,
    state: WatcherState,
    knowledge: &Knowledge,
) -> Result<(inner::FleetReply, Merged), RpcError> {
    // A store replies at once to a watcher that knows nothing of its process.
    let max_wait = if position.boot == 0 { Duration::ZERO } else { MAX_WAIT };
    let watch = inner::FleetWatch {
        document_version: state.document_version,
        store_boot: position.boot,
        cursor: position.cursor,
        wait_ms: convert::millis(max_wait),
        direct_only: state.direct_only,
        leader_address: state.leader_address,
        crash_cursor: Some(position.crash_cursor),
        limit_cursor: Some(position.limit_cursor),
        gateway: state.gateway,
        relay_address: state.relay_address,
        domain: state.domain,
        helpers_digest: state.helpers_digest,
        wants_confirmation: state.wants_confirmation,
        accepts_silence: state.accepts_silence,
    };
    let (asked_at, earlier_boot) = (clock::since_boot(), position.boot);
    let Body::FleetReply(mut reply) =
        client.call(Body::FleetWatch(watch), max_wait + REPLY_SLACK).await?
    else {
        return Err(RpcError::Unexpected);
    };
    *position = Position {
        boot: reply.store_boot,
        cursor: reply.cursor,
        crash_cursor: reply.crash_cursor,
        limit_cursor: reply.limit_cursor,
    };
    if reply.store_boot != earlier_boot || !reply.tells_silence {
        knowledge.fleet.borrow_mut().begin_vouching();
    }
    let now = clock::since_boot();
    let mut changed = false;
    for message in std::mem::take(&mut reply.leaving) {
        let left = convert::from_leaving_message(message, now);
        changed |= knowledge.note_left(left, false, &client.address());
    }
    for message in std::mem::take(&mut reply.served) {
        let served = convert::from_served_message(message, now);
        knowledge.fleet.borrow_mut().note_served(served);
    }
    let was_full = reply.upstreams.len() >= MAX_UPSTREAMS;
    for message in std::mem::take(&mut reply.upstreams) {
        let (up, last_seen) = convert::from_message(message, now);
        let (id, incarnation) = (up.id.clone(), up.incarnation);
        let outcome = knowledge.fleet.borrow_mut().announce(last_seen, up, false);
        changed |= outcome == AnnounceOutcome::Changed;
        if reply.tells_silence {
            knowledge.fleet.borrow_mut().set_vouched(&id, incarnation);
        }
    }
    if reply.tells_silence {
        let mut fleet = knowledge.fleet.borrow_mut();
        for silent in std::mem::take(&mut reply.silent) {
            fleet.end_vouching(&silent.upstream, silent.incarnation, asked_at);
        }
        fleet.vouch(asked_at);
    }
    for message in std::mem::take(&mut reply.crashes) {
        let report = convert::from_crash_message(message, now);
        changed |= knowledge.crashes.borrow_mut().merge(report, now, false);
    }
    for message in std::mem::take(&mut reply.limits) {
        let report = convert::from_limit_message(message, now);
        changed |= knowledge.rates.borrow_mut().merge(report, false);
    }
    for gateway in std::mem::take(&mut reply.gateways) {
        let seen = now.saturating_sub(Duration::from_millis(gateway.age_ms.into()));
        let mut gateways = knowledge.gateways.borrow_mut();
        gateways.note(&gateway.name, seen, false);
        if let Some(helper) = convert::from_gateway_message(gateway) {
            gateways.note_helper(helper);
        }
    }
    Ok((reply, Merged { changed, was_full }))
}
