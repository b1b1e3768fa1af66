//! Upstreams that announce that they leave, and the other stores; see `docs/platform.md`, "Upstreams that leave".

use std::{
    cell::Cell,
    collections::HashSet,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::runtime;
use orioleworks_daemon::{clock, event};
use orioleworks_fleet::{convert, stores::Stores};
use orioleworks_log::notify::Notify;
use orioleworks_proto::inner::{self, frame::Body};
use orioleworks_routing::{fleet::Left, outlier::Key};

use crate::shared::Shared;

/// Longest time to pass on that an upstream leaves. The sender of an announcement waits for a second.
const SPREAD_TIMEOUT: Duration = Duration::from_millis(600);

/// Passes on to the other stores that an upstream leaves. Returns whether a majority of the voters know it.
///
/// What only this store knows is lost if it ends, or its replies to those that watch it do not arrive. Each store passes
/// it on to those that watch it, so that the paths between stores need not all be whole.
pub async fn spread(shared: &Shared, stores: &Stores, id: &str, incarnation: u64) -> bool {
    let known = shared.knowledge.fleet.borrow().get(id).map(|k| k.upstream.incarnation);
    let incarnation = if incarnation == 0 { known.unwrap_or(0) } else { incarnation };
    let up: Key = (id.into(), incarnation);
    if shared.spread.borrow().contains(&up) {
        return true;
    }
    let voters: HashSet<String> = shared.log.voter_addresses().into_iter().collect();
    let own = usize::from(shared.log.is_voter());
    let needed = (voters.len() + own) / 2 + 1;
    let mut others = shared.log.peer_addresses();
    if others.is_empty() && own == 0 {
        // A store that has not joined knows only the addresses of its settings.
        others = stores.addresses().into_iter().collect();
    }
    let left = Left { upstream: up.clone(), since: clock::since_boot() };
    let message = convert::to_leaving_message(&left, clock::since_boot());
    let report = inner::ReportObservations { leaving: vec![message], ..Default::default() };
    let (knowing, answered) = (Rc::new(Cell::new(own)), Notify::default());
    for address in others {
        let (client, report) = (stores.client(&address), report.clone());
        let (knowing, answered) = (knowing.clone(), answered.clone());
        let counts = voters.is_empty() || voters.contains(&address);
        // Goes on after the acknowledgement, so that all stores learn of it.
        runtime::spawn(async move {
            let told = client.call(Body::ReportObservations(report), SPREAD_TIMEOUT).await.is_ok();
            knowing.set(knowing.get() + usize::from(told && counts));
            answered.notify();
        })
        .detach();
    }
    let deadline = Instant::now() + SPREAD_TIMEOUT;
    let done = loop {
        let (seen, left) = (answered.version(), deadline.saturating_duration_since(Instant::now()));
        if knowing.get() >= needed || left.is_zero() {
            break knowing.get() >= needed;
        }
        answered.changed_within(seen, left).await;
    };
    if done {
        shared.spread.borrow_mut().insert(up);
    } else {
        event!(warn, "leaving_unconfirmed", upstream = id, incarnation = incarnation);
    }
    done
}
