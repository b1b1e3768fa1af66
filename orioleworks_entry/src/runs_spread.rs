//! Places samples on the failure domains with free capacity and runs them there; see `docs/design.md`, section 8.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    rc::Rc,
    time::{Duration, Instant},
};

use compio::time;
use futures_channel::oneshot;
use futures_util::{FutureExt, future::LocalBoxFuture, select};
use orioleworks_proto::codes::ResultCode;
use orioleworks_routing::spread::{self, Placement};
use tokio_util::sync::CancellationToken;

use crate::{
    dispatch::{Completed, Job, Refused},
    dispatcher::{Dispatcher, refused},
    forward,
    peers::Peers,
    suspects,
};

/// Interval at which waiting samples are placed again; finished samples trigger it earlier.
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of waiting samples that one pass examines.
const MAX_SCAN: usize = 256;

struct WaitingSample {
    group: Rc<str>,
    kind: Rc<str>,
    lowest_version: u64,
    request_id: Rc<str>,
    tx: oneshot::Sender<PlacementGuard>,
}

#[derive(Default)]
struct State {
    spread: spread::Spread,
    waiting: VecDeque<WaitingSample>,
    /// Peers of forwarded samples by request ID.
    forwarded: HashMap<Rc<str>, Rc<str>>,
}

/// Places samples; clones share the state.
#[derive(Clone)]
pub struct Spread {
    dispatcher: Dispatcher,
    peers: Peers,
    state: Rc<RefCell<State>>,
}

/// Placement of a sample; dropping it releases the capacity.
struct PlacementGuard {
    owner: Spread,
    place: Placement,
    request_id: Rc<str>,
}

impl Drop for PlacementGuard {
    fn drop(&mut self) {
        let mut state = self.owner.state.borrow_mut();
        state.spread.release(&self.place);
        state.forwarded.remove(&self.request_id);
        drop(state);
        self.owner.place_waiting_samples();
    }
}

impl Spread {
    /// Creates a spread over the upstreams of the dispatcher and the peers.
    pub fn new(dispatcher: Dispatcher, peers: Peers) -> Self {
        Self { dispatcher, peers, state: Rc::default() }
    }

    /// Places waiting samples at intervals, because digests change the free capacity, until the token is cancelled.
    pub async fn run_placement_loop(self, token: CancellationToken) {
        while !token.is_cancelled() {
            time::sleep(PLACEMENT_INTERVAL).await;
            self.place_waiting_samples();
        }
    }

    /// Returns where a sample currently runs: an upstream of this domain, or a peer.
    pub fn running_on(&self, request_id: &str) -> Option<Rc<str>> {
        let forwarded = self.state.borrow().forwarded.get(request_id).cloned();
        forwarded.or_else(|| self.dispatcher.running_on(request_id))
    }

    /// Runs a sample in a failure domain with free capacity.
    ///
    /// # Errors
    ///
    /// Returns the final refusal.
    pub async fn run(&self, job: Job) -> Result<Completed, Refused> {
        let group = suspects::fingerprint(&job.profile.name, &job.body);
        let placement = self.wait_for_placement(&job, &group).await?;
        let result = match &placement.place {
            Placement::Local => self.dispatcher.run(job).await,
            Placement::Peer(name) => match self.forward(name, &job).await {
                Err(refused) if may_run_locally(&refused) && !job.cancel.is_cancelled() => {
                    self.state.borrow_mut().spread.refused(&group);
                    self.dispatcher.run(job).await
                }
                result => result,
            },
        };
        if result.is_ok() {
            self.state.borrow_mut().spread.mark_completed(&group);
        }
        drop(placement);
        result
    }

    async fn forward(&self, peer: &Rc<str>, job: &Job) -> Result<Completed, Refused> {
        let client = self.peers.forward_client(peer);
        let client = client.ok_or_else(|| refused(ResultCode::NoUpstream, peer, 0))?;
        self.state.borrow_mut().forwarded.insert(job.request_id.clone(), peer.clone());
        let result = forward::forward_to(&client, job).await;
        result.unwrap_or_else(|| Err(refused(ResultCode::NoUpstream, peer, 0)))
    }

    async fn wait_for_placement(
        &self,
        job: &Job,
        group: &Rc<str>,
    ) -> Result<PlacementGuard, Refused> {
        let (tx, rx) = oneshot::channel();
        let waiting = WaitingSample {
            group: group.clone(),
            kind: job.profile.upstream_kind.as_str().into(),
            lowest_version: job.lowest_version,
            request_id: job.request_id.clone(),
            tx,
        };
        self.state.borrow_mut().waiting.push_back(waiting);
        self.place_waiting_samples();
        let remaining = job.deadline.saturating_duration_since(Instant::now());
        let mut placed = std::pin::pin!(time::timeout(remaining, rx).fuse());
        let mut cancelled = std::pin::pin!(job.cancel.cancelled().fuse());
        let refuse = |detail| Err(refused(ResultCode::DeadlineBeforeDispatch, detail, 0));
        select! {
            placed = placed => match placed {
                Ok(Ok(placement)) => Ok(placement),
                Ok(Err(_)) | Err(_) => refuse("no failure domain had room"),
            },
            () = cancelled => refuse("the sample was cancelled"),
        }
    }

    /// Places waiting samples, in order, while there is free capacity.
    fn place_waiting_samples(&self) {
        for (tx, placement) in self.take_placed_samples() {
            // If the sample no longer waits, `send` returns its placement, and the drop releases it.
            drop(tx.send(placement));
        }
    }

    fn take_placed_samples(&self) -> Vec<(oneshot::Sender<PlacementGuard>, PlacementGuard)> {
        let mut placed = Vec::new();
        let mut state = self.state.borrow_mut();
        let State { spread, waiting, .. } = &mut *state;
        let mut capacities = HashMap::new();
        let (mut at, mut scanned) = (0, 0);
        while scanned < MAX_SCAN
            && let Some(next) = waiting.get(at)
        {
            scanned += 1;
            if next.tx.is_canceled() {
                waiting.remove(at);
                continue;
            }
            let key = (next.kind.clone(), next.lowest_version);
            let (local, peers) = capacities.entry(key).or_insert_with(|| {
                let local = self.dispatcher.own_share(&next.kind);
                let in_flight = |name: &Rc<str>| spread.in_flight(&Placement::Peer(name.clone()));
                (local, self.peers.capacities(&next.kind, next.lowest_version, in_flight))
            });
            match spread.place(&next.group, *local, peers) {
                None => at += 1,
                Some(place) => {
                    let Some(WaitingSample { request_id, tx, .. }) = waiting.remove(at) else {
                        break;
                    };
                    placed.push((tx, PlacementGuard { owner: self.clone(), place, request_id }));
                }
            }
        }
        placed
    }
}

/// Whether a sample that a peer has refused without running it may run in this domain.
///
/// A quarantine known to the peer's domain may not have arrived here yet; the sample would crash a third upstream.
fn may_run_locally(refused: &Refused) -> bool {
    refused.code.not_run() && refused.code != ResultCode::Quarantined
}

/// Returns a function that runs the first attempts of samples through the spread and all other jobs by the dispatcher.
pub fn job_runner(
    spread: Spread,
) -> impl Fn(Job) -> LocalBoxFuture<'static, Result<Completed, Refused>> {
    move |job| {
        let spread = spread.clone();
        // A second attempt has an upstream or a peer to avoid and runs in this domain.
        let is_first_sample = job.profile.engine && job.prefix.is_some() && job.avoid.is_empty();
        Box::pin(async move {
            if is_first_sample { spread.run(job).await } else { spread.dispatcher.run(job).await }
        })
    }
}
