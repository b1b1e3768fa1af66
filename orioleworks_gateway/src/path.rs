//! Path from this gateway to the upstreams: evidence of its own connections, and probes.
//!
//! A probe is a plain connection to one upstream; it carries no request. See `docs/platform.md`, "Partitioned from the
//! upstreams".

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use futures_util::{FutureExt, StreamExt, select, stream::FuturesUnordered};
use orioleworks_daemon::{clock, event};
use orioleworks_fleet::pool::{Connection, SendError};
use orioleworks_routing::{fleet::Upstream, outlier::Key, path::Path};
use rand::seq::SliceRandom;
use tokio_util::sync::CancellationToken;

use crate::{reports::Wake, view::View};

/// Longest time for a probe to connect; far longer than a round trip, and short compared with a latency objective.
const PROBE_TIMEOUT: Duration = Duration::from_millis(40);
/// Upstreams that a probe connects to at the same time: all of a few may have crashed under one request.
const PROBED_UPSTREAMS: usize = 3;
/// Interval between two checks whether a probe is due or has ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which an attempt checks whether a probe has ended.
const VERDICT_INTERVAL: Duration = Duration::from_millis(2);

/// State of the path; clones share it.
#[derive(Clone, Debug, Default)]
pub struct UpstreamPath {
    state: Rc<RefCell<Path>>,
    probing: Rc<Cell<bool>>,
    /// Wakes the task that probes.
    wake: Wake,
}

impl UpstreamPath {
    /// Whether the path is believed lost.
    pub fn is_lost(&self) -> bool {
        self.state.borrow().is_lost()
    }

    /// Whether the path was lost at some time since `since`.
    pub fn was_lost_since(&self, since: Duration) -> bool {
        self.state.borrow().was_lost_since(since)
    }

    /// Whether a connection was opened just before.
    pub fn is_proven(&self) -> bool {
        self.state.borrow().is_proven(clock::since_boot())
    }

    /// Whether a failure to connect is a fault of the upstream.
    pub fn blames(&self, up: &Key) -> bool {
        self.state.borrow().blames(up, clock::since_boot())
    }

    /// Whether a response or a new connection arrived since `since`.
    pub fn heard_since(&self, since: Duration) -> bool {
        self.state.borrow().heard_since(since)
    }

    /// Records a response of an upstream to this gateway.
    pub fn record_response(&self) {
        self.state.borrow_mut().record_response(clock::since_boot());
    }
}

/// Records a new connection to an upstream.
pub fn record_connected(view: &View) {
    if view.path.state.borrow_mut().record_connected(clock::since_boot()) {
        regained(view, "connected");
    }
}

/// Records a failure to connect to an upstream. It is the upstream's fault if another connection was opened just before;
/// otherwise a probe tells, because several upstreams may crash under one request.
pub fn record_unconnected(view: &View, up: &Key) {
    if !view.path.is_proven() {
        record_silence(view, up);
    }
}

fn add_evidence(view: &View, up: &Key) {
    if view.helpers.borrow().is_empty() {
        return;
    }
    let now = clock::since_boot();
    let known = view.knowledge.fleet.borrow().all().filter(|k| k.takes_requests(now)).count();
    let lost = view.path.state.borrow_mut().record_unconnected(up, known, now);
    if lost {
        event!(warn, "path_lost", upstream = up.0, upstreams = known);
        metrics::gauge!("orioleworks_path_lost").set(1.0);
        // What these connections would carry may be lost, too, and could not be told from a request that has run.
        view.pool.close_all();
        view.outliers.borrow_mut().forgive_all();
    }
    view.path.wake.notify();
}

/// Records that an open connection to an upstream stays without a response or broke.
pub fn record_silence(view: &View, up: &Key) {
    if view.helpers.borrow().is_empty() {
        return;
    }
    view.path.state.borrow_mut().record_silence(up, clock::since_boot());
    view.path.wake.notify();
}

/// Records that another gateway does not reach an upstream either.
pub fn excuse(view: &View, up: &Key) {
    let now = clock::since_boot();
    let known = view.knowledge.fleet.borrow().all().filter(|k| k.takes_requests(now)).count();
    if view.path.state.borrow_mut().excuse(up, known, now) {
        regained(view, "others do not reach the upstreams either");
    }
}

fn regained(view: &View, reason: &str) {
    event!(info, "path_regained", reason = reason);
    metrics::gauge!("orioleworks_path_lost").set(0.0);
    view.outliers.borrow_mut().forgive_all();
}

/// Waits until a probe tells whether the path is lost, if there is doubt.
pub async fn verdict(view: &View) -> bool {
    let until = clock::since_boot() + PROBE_TIMEOUT * 2;
    let undecided = || {
        let path = view.path.state.borrow();
        let now = clock::since_boot();
        path.is_in_doubt() && !path.is_lost() && (view.path.probing.get() || path.probe_due(now))
    };
    while undecided() && clock::since_boot() < until {
        compio::time::sleep(VERDICT_INTERVAL).await;
    }
    view.path.is_lost()
}

/// Probes the path while there is doubt, until the token is cancelled.
pub async fn run(view: View, token: CancellationToken) {
    let Some(mut woken) = view.path.wake.take_receiver() else { return };
    while !token.is_cancelled() {
        {
            let mut check = std::pin::pin!(compio::time::sleep(CHECK_INTERVAL).fuse());
            select! { _ = woken.next() => (), () = check => () }
        }
        let due = view.path.state.borrow().probe_due(clock::since_boot());
        if due {
            probe(&view).await;
        }
    }
}

/// Connects to upstreams until one connection is open. The path is lost if none can be opened.
async fn probe(view: &View) {
    // One connection shows that a lost path is in order again.
    let count = if view.path.is_lost() { 1 } else { PROBED_UPSTREAMS };
    let chosen = choose(view, count);
    if chosen.is_empty() {
        return;
    }
    view.path.state.borrow_mut().record_probe(clock::since_boot());
    view.path.probing.set(true);
    let mut probes: FuturesUnordered<_> =
        chosen.iter().map(|up| async move { (up, connect(view, up).await) }).collect();
    let mut unconnected = Vec::new();
    while let Some((up, connected)) = probes.next().await {
        let key: Key = (up.id.clone(), up.incarnation);
        if let Some(connection) = connected {
            view.path.probing.set(false);
            record_connected(view);
            view.pool.keep(&key, connection);
            return;
        }
        unconnected.push(key);
    }
    view.path.probing.set(false);
    for key in unconnected {
        add_evidence(view, &key);
    }
}

async fn connect(view: &View, up: &Upstream) -> Option<Connection> {
    let connected = view.pool.connect(&up.address, PROBE_TIMEOUT).await;
    let outcome = match &connected {
        Ok(_) => "connected",
        Err(SendError::Refused(_)) => "refused",
        Err(_) => "timeout",
    };
    metrics::counter!("orioleworks_path_probes_total", "result" => outcome).increment(1);
    event!(debug, "path_probed", upstream = up.id, result = outcome);
    connected.ok()
}

/// Upstreams at random, those that are not part of the evidence first.
fn choose(view: &View, count: usize) -> Vec<Rc<Upstream>> {
    let now = clock::since_boot();
    let fleet = view.knowledge.fleet.borrow();
    let path = view.path.state.borrow();
    let mut known: Vec<Rc<Upstream>> = fleet
        .all()
        .filter(|known| known.takes_requests(now))
        .map(|known| known.upstream.clone())
        .collect();
    known.shuffle(&mut rand::rng());
    known.sort_by_key(|up| path.suspects(&(up.id.clone(), up.incarnation)));
    known.truncate(count);
    known
}
