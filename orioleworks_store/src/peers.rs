//! Watches the other stores for the upstreams that announced themselves there, and for the crashes reported there.

use std::{cell::RefCell, collections::HashSet, rc::Rc, time::Duration};

use compio::{runtime, time};
use orioleworks_daemon::event;
use orioleworks_fleet::{
    stores::Stores,
    watch::{self, Knowledge, Position, WatcherState},
};
use orioleworks_log::{Log, notify::Notify};
use orioleworks_rules::streams;
use tokio_util::sync::CancellationToken;

/// Pause after a watch that failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time between two checks of the membership.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(300);

/// Watches every other store in a task of its own until the token is cancelled.
pub async fn watch_all(
    log: Log,
    stores: Stores,
    knowledge: Knowledge,
    wake: Notify,
    token: CancellationToken,
) {
    let watched: Rc<RefCell<HashSet<String>>> = Rc::default();
    // Voters that have told all software versions since this process began.
    let told: Rc<RefCell<HashSet<String>>> = Rc::default();
    while !token.is_cancelled() {
        // A learner serves no gateway and needs no upstreams.
        let peers = log.peer_addresses();
        stores.set_members(peers.clone());
        let peers = if log.is_voter() { peers } else { Vec::new() };
        for address in &peers {
            if !watched.borrow_mut().insert(address.clone()) {
                continue;
            }
            let (log, stores, knowledge) = (log.clone(), stores.clone(), knowledge.clone());
            let (wake, token) = (wake.clone(), token.clone());
            let (address, watched) = (address.clone(), watched.clone());
            let told = told.clone();
            runtime::spawn(async move {
                watch_one(&log, &stores, &address, &knowledge, &told, &wake, &token).await;
                watched.borrow_mut().remove(&address);
            })
            .detach();
        }
        time::sleep(MEMBERS_INTERVAL).await;
    }
}

async fn watch_one(
    log: &Log,
    stores: &Stores,
    address: &str,
    knowledge: &Knowledge,
    told: &RefCell<HashSet<String>>,
    wake: &Notify,
    token: &CancellationToken,
) {
    let client = stores.client(address);
    let mut position = Position::default();
    let mut reached = true;
    while !token.is_cancelled()
        && log.is_voter()
        && log.peer_addresses().iter().any(|a| a == address)
    {
        // The document and the leader are known from the log.
        let state = WatcherState {
            document_version: u64::MAX,
            direct_only: true,
            ..WatcherState::default()
        };
        match watch::poll(&client, &mut position, state, knowledge).await {
            Ok((reply, merged)) => {
                if reply.complete_history {
                    note_history(log, address, knowledge, told);
                }
                if !reached {
                    event!(info, "store_regained", peer = address);
                }
                reached = true;
                if merged.changed {
                    wake.notify();
                }
            }
            Err(e) => {
                if reached {
                    event!(warn, "store_lost", peer = address, reason = e);
                }
                reached = false;
                time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Records that a voter has told all software versions that it knows. This store may have lost some when it was restarted; a
/// majority of the voters has told them all.
fn note_history(log: &Log, address: &str, knowledge: &Knowledge, told: &RefCell<HashSet<String>>) {
    if !told.borrow_mut().insert(address.to_owned()) {
        return;
    }
    let voters = log.voter_addresses();
    let told_by = voters.iter().filter(|voter| told.borrow().contains(*voter)).count();
    // The addresses leave out this store.
    if streams::is_complete_again(told_by, voters.len() + usize::from(log.is_voter())) {
        knowledge.fleet.borrow_mut().complete_history();
    }
}
