//! Long polling of a store for the changes since the last reply; the store replies at once to urgent ones.

use std::{cell::RefCell, rc::Rc, time::Duration};

use orioleworks_daemon::{
    clock,
    rpc::{self, RpcError},
};
use orioleworks_proto::inner::{self, frame::Body};
use orioleworks_routing::{
    crashes::Crashes,
    fleet::{AnnounceOutcome, Fleet},
};

use crate::convert;

/// Longest time for which a store holds a watch request. It bounds how late an unresponsive store is detected.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// Time after the end of the wait within which the reply must arrive.
const REPLY_SLACK: Duration = Duration::from_millis(400);

/// Position of a watcher in the sequence of changes of one store process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Position {
    boot: u64,
    cursor: u64,
    crash_cursor: u64,
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
}

/// What a watcher knows of upstreams; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Knowledge {
    /// Known upstreams.
    pub fleet: Rc<RefCell<Fleet>>,
    /// Contents that may have crashed upstreams.
    pub crashes: Rc<RefCell<Crashes>>,
}

/// Sends one watch request and merges the reply into `knowledge`. The flag tells whether that changed anything.
///
/// # Errors
///
/// Returns why there is no reply.
pub async fn poll(
    client: &rpc::Client,
    position: &mut Position,
    state: WatcherState,
    knowledge: &Knowledge,
) -> Result<(inner::FleetReply, bool), RpcError> {
    let watch = inner::FleetWatch {
        document_version: state.document_version,
        store_boot: position.boot,
        cursor: position.cursor,
        wait_ms: u32::try_from(MAX_WAIT.as_millis()).unwrap_or(u32::MAX),
        direct_only: state.direct_only,
        leader_address: state.leader_address,
        crash_cursor: Some(position.crash_cursor),
    };
    let Body::FleetReply(mut reply) =
        client.call(Body::FleetWatch(watch), MAX_WAIT + REPLY_SLACK).await?
    else {
        return Err(RpcError::Unexpected);
    };
    *position =
        Position { boot: reply.store_boot, cursor: reply.cursor, crash_cursor: reply.crash_cursor };
    let now = clock::since_boot();
    let mut changed = false;
    for message in std::mem::take(&mut reply.upstreams) {
        let (up, last_seen) = convert::from_message(message, now);
        let outcome = knowledge.fleet.borrow_mut().announce(last_seen, up, false);
        changed |= outcome == AnnounceOutcome::Changed;
    }
    for message in std::mem::take(&mut reply.crashes) {
        let report = convert::from_crash_message(message, now);
        changed |= knowledge.crashes.borrow_mut().merge(report, now, false);
    }
    Ok((reply, changed))
}
