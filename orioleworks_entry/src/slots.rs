//! Slots of the upstreams: queues of waiting requests, concurrency limits, and requests in flight.
//!
//! See `docs/design.md`, sections 7 and 8.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use indexmap::IndexMap;
use orioleworks_daemon::{clock, event};
use orioleworks_proto::inner;
use orioleworks_routing::{
    affinity::Affinity,
    limit::Limit,
    members::Member,
    queue::{self, Queue},
};
use rand::{SeedableRng, rngs::StdRng};
use tokio_util::sync::CancellationToken;

use crate::{
    attempt::{self, Target},
    configuration::Configuration,
    members::{Expired, Members},
    placement::{PlacementView, Running, Upstream, Waiter},
    policies::Policies,
    suspects::Suspects,
};

pub(crate) struct State {
    queues: IndexMap<Rc<str>, Queue<Waiter>>,
    pub(crate) upstreams: HashMap<Rc<str>, Upstream>,
    pub(crate) affinity: Affinity,
    rng: StdRng,
    next_id: u64,
}

/// Slots of all upstreams; clones share the state.
#[derive(Clone)]
pub struct Slots {
    pub(crate) state: Rc<RefCell<State>>,
    policies: Rc<Policies>,
    configuration: Configuration,
    pub(crate) members: Members,
    pub(crate) suspects: Suspects,
    live_entries: Rc<Cell<u32>>,
    wake_tx: mpsc::UnboundedSender<()>,
    wake_rx: Rc<RefCell<Option<mpsc::UnboundedReceiver<()>>>>,
}

/// Reason why a request gets no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoSlot {
    /// No live upstream may run the request.
    NoUpstream,
    /// The queue is full.
    Full,
}

/// A queued request; dropping it removes the request from the queue.
pub struct QueuedRequest {
    /// Receives the slot.
    pub rx: oneshot::Receiver<Grant>,
    kind: Rc<str>,
    ticket: queue::Ticket,
    slots: Slots,
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        let cancelled = {
            let mut state = self.slots.state.borrow_mut();
            state.queues.get_mut(&self.kind).and_then(|queue| queue.cancel(self.ticket))
        };
        // The sender may hold a `Grant`, whose drop borrows the state.
        drop(cancelled);
    }
}

/// A slot on an upstream; dropping it frees the slot.
pub struct Grant {
    /// The upstream.
    pub target: Target,
    /// Client of the upstream.
    pub client: cyper::Client,
    /// Cancelled when the upstream is lost.
    pub lost: CancellationToken,
    /// Whether the request runs isolated there.
    pub isolated: bool,
    pub(crate) id: u64,
    saturation: u32,
    slots: Slots,
}

impl Slots {
    /// Creates slots without upstreams; `seed` makes selections reproducible.
    pub fn new(
        configuration: Configuration,
        members: Members,
        suspects: Suspects,
        policies: Policies,
        seed: u64,
    ) -> Self {
        let (wake_tx, wake_rx) = mpsc::unbounded();
        let state = State {
            queues: IndexMap::new(),
            upstreams: HashMap::new(),
            affinity: Affinity::new(policies.affinity),
            rng: StdRng::seed_from_u64(seed),
            next_id: 0,
        };
        Self {
            state: Rc::new(RefCell::new(state)),
            policies: Rc::new(policies),
            configuration,
            members,
            suspects,
            live_entries: Rc::new(Cell::new(1)),
            wake_tx,
            wake_rx: Rc::new(RefCell::new(Some(wake_rx))),
        }
    }

    /// Sets the number of live entries of the failure domain, this one included.
    pub fn set_live_entries(&self, count: u32) {
        self.live_entries.set(count.max(1));
    }

    /// Grants slots to waiting requests after every change, until the token is cancelled.
    pub async fn run(self, token: CancellationToken) {
        const MAX_INTERVAL: Duration = Duration::from_millis(50);
        let Some(mut wake_rx) = self.wake_rx.borrow_mut().take() else { return };
        while !token.is_cancelled() {
            // One pass handles all pending wake-ups.
            let _ = compio::time::timeout(MAX_INTERVAL, wake_rx.next()).await;
            while wake_rx.try_recv().is_ok() {}
            self.members.follow_orders(|name| self.configuration.is_stopped(name));
            for Expired { name, incarnation, last_seen } in self.members.expire() {
                event!(warn, "upstream_lease_expired", upstream = name);
                // An expired lease is no proof of a crash: the upstream may be paused or partitioned.
                let live = self.members.live_count();
                self.suspects.record_upstream_loss(last_seen, &name, incarnation, &[], live);
                self.drop_upstream(&name, incarnation);
            }
            self.grant_waiting();
        }
    }

    /// Requests a pass over the queues.
    pub fn wake(&self) {
        drop(self.wake_tx.unbounded_send(()));
    }

    /// Whether a live upstream may run the request.
    pub fn has_upstream(&self, waiter: &Waiter) -> bool {
        let not_stopped = |m: &&Member| !self.configuration.is_stopped(&m.last.name);
        self.members.read(|members| {
            members
                .live(&waiter.profile.upstream_kind)
                .filter(not_stopped)
                .any(|m| !waiter.avoid.contains(&m.last.name))
        })
    }

    /// Whether a kind has an upstream that accepts new requests.
    pub fn has_live(&self, kind: &str) -> bool {
        let not_stopped = |m: &&Member| !self.configuration.is_stopped(&m.last.name);
        self.members.read(|members| members.live(kind).any(|m| not_stopped(&m)))
    }

    /// Queues a request for a slot; the channel closes without a slot when no upstream is live any more.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request cannot be queued.
    pub fn enqueue(&self, waiter: Waiter, deadline: Duration) -> Result<QueuedRequest, NoSlot> {
        if !self.has_upstream(&waiter) {
            return Err(NoSlot::NoUpstream);
        }
        let (tx, rx) = oneshot::channel();
        *waiter.tx.borrow_mut() = Some(tx);
        let kind: Rc<str> = waiter.profile.upstream_kind.as_str().into();
        let class = match waiter.profile.class() {
            inner::Class::Lookup => 0,
            inner::Class::Booking => 1,
            inner::Class::Rollout | inner::Class::Unspecified => 2,
        };
        let item = queue::Item {
            class,
            profile: waiter.profile.name.as_str().into(),
            weight: waiter.profile.share,
            deadline,
            value: waiter,
        };
        let mut state = self.state.borrow_mut();
        let waiting: usize = state.queues.values().map(Queue::len).sum();
        if waiting >= self.policies.queue.bound {
            return Err(NoSlot::Full);
        }
        let settings = self.policies.queue;
        let queue = state.queues.entry(kind.clone()).or_insert_with(|| Queue::new(settings));
        let ticket = queue.push(item).map_err(|_| NoSlot::Full)?;
        drop(state);
        self.wake();
        Ok(QueuedRequest { rx, kind, ticket, slots: self.clone() })
    }

    fn grant_waiting(&self) {
        let kinds: Vec<Rc<str>> = self.state.borrow().queues.keys().cloned().collect();
        for kind in kinds {
            while let Some((waiter, name, isolated)) = self.pop(&kind) {
                let Some(grant) = self.grant(&waiter, &name, isolated) else { continue };
                if let Some(tx) = waiter.tx.borrow_mut().take() {
                    // If the request no longer waits, `send` returns the grant, and dropping it frees the slot.
                    drop(tx.send(grant));
                }
            }
        }
    }

    fn pop(&self, kind: &str) -> Option<(Waiter, Rc<str>, bool)> {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let now = clock::since_boot();
        let queue = state.queues.get_mut(kind)?;
        let stopped_waiting =
            |w: &Waiter| w.tx.borrow().as_ref().is_none_or(oneshot::Sender::is_canceled);
        self.members.read(|members| {
            let not_stopped = |m: &&Member| !self.configuration.is_stopped(&m.last.name);
            let live: Vec<&Member> = members.live(kind).filter(not_stopped).collect();
            if live.is_empty() {
                // Dropping the requests closes their channels, which tells their tasks that there is no upstream.
                while queue.pop(now, &mut Vec::new(), |_| Some(())).is_some() {}
                return None;
            }
            for member in &live {
                self.add_upstream(&mut state.upstreams, member);
            }
            let mut view = PlacementView {
                now,
                live,
                upstreams: &mut state.upstreams,
                affinity: &state.affinity,
                choice: self.policies.choice,
                drain_unless_all: self.policies.drain_unless_all,
                live_entries: self.live_entries.get(),
                rng: &mut state.rng,
            };
            if !view.has_capacity() {
                queue.expire(now, &mut Vec::new());
                return None;
            }
            loop {
                let (waiter, placement) = queue.pop(now, &mut Vec::new(), |waiter| {
                    if stopped_waiting(waiter) {
                        return Some(None);
                    }
                    let admission = if waiter.owed {
                        self.suspects.owed_admission(&waiter.fingerprint)
                    } else {
                        self.suspects.admission(&waiter.fingerprint)
                    };
                    let spread = self.suspects.max_spread(&waiter.fingerprint);
                    view.place(waiter, admission, spread).map(Some)
                })?;
                if let Some((name, isolated)) = placement {
                    return Some((waiter, name, isolated));
                }
            }
        })
    }

    fn add_upstream(&self, upstreams: &mut HashMap<Rc<str>, Upstream>, member: &Member) {
        let a = &member.last;
        if upstreams.get(&a.name).is_some_and(|u| u.incarnation == a.incarnation) {
            return;
        }
        let Ok(client) = attempt::new_client() else { return };
        let upstream = Upstream {
            incarnation: a.incarnation,
            limit: Limit::new(self.policies.limit, a.capacity),
            running: Vec::new(),
            exclusive: false,
            reserved: None,
            lost: CancellationToken::new(),
            broken_connections: Vec::new(),
            client,
        };
        upstreams.insert(a.name.clone(), upstream);
    }

    fn grant(&self, waiter: &Waiter, name: &Rc<str>, isolated: bool) -> Option<Grant> {
        let target = self.members.read(|members| {
            let a = &members.get(name)?.last;
            Some(Target {
                name: name.clone(),
                incarnation: a.incarnation,
                address: a.address.clone(),
                model: a.model.clone(),
            })
        })?;
        let mut state = self.state.borrow_mut();
        let id = state.next_id;
        state.next_id += 1;
        if let Some(prefix) = waiter.prefix {
            state.affinity.assign(prefix, name.clone());
        }
        let live_entries = self.live_entries.get();
        let upstream = state.upstreams.get_mut(name)?;
        upstream.exclusive = isolated;
        upstream.running.push(Running {
            id,
            fingerprint: waiter.fingerprint.clone(),
            profile: waiter.profile.name.as_str().into(),
        });
        let saturation = upstream.in_flight() * 100 / upstream.limit.share(live_entries);
        let (client, lost) = (upstream.client.clone(), upstream.lost.clone());
        Some(Grant { target, client, lost, isolated, id, saturation, slots: self.clone() })
    }

    /// Load of each kind in the failure domain, as this entry knows it.
    pub fn loads(&self) -> Vec<inner::KindLoad> {
        let state = self.state.borrow();
        let mut loads: IndexMap<Rc<str>, inner::KindLoad> = IndexMap::new();
        self.members.read(|members| {
            for member in members.all().filter(|m| m.takes_requests()) {
                let a = &member.last;
                if self.configuration.is_stopped(&a.name) {
                    continue;
                }
                let load = loads.entry(a.kind.clone()).or_insert_with(|| inner::KindLoad {
                    kind: a.kind.to_string(),
                    lowest_version: u64::MAX,
                    ..inner::KindLoad::default()
                });
                let upstream = state.upstreams.get(&a.name);
                load.upstreams += 1;
                load.capacity += upstream.map_or(a.capacity.max(1), |u| u.limit.current());
                load.in_flight += upstream.map_or(0, Upstream::in_flight);
                load.lowest_version = load.lowest_version.min(a.weight_version);
                load.highest_version = load.highest_version.max(a.weight_version);
            }
        });
        loads.into_values().collect()
    }

    /// Number of requests of a kind that this entry may have in flight.
    pub fn own_share(&self, kind: &str) -> u32 {
        let (state, live_entries) = (self.state.borrow(), self.live_entries.get());
        self.members.read(|members| {
            let live = members.live(kind).filter(|m| !self.configuration.is_stopped(&m.last.name));
            let share = |m: &Member| match state.upstreams.get(&m.last.name) {
                Some(upstream) => upstream.limit.share(live_entries),
                None => (m.last.capacity / live_entries).max(1),
            };
            live.map(share).sum()
        })
    }
}

impl Grant {
    /// Records a finished attempt in the adaptive limit.
    pub fn finished(&self, latency: Duration, units: u32) {
        self.with_limit(|limit| {
            limit.finished(clock::since_boot(), latency, units, self.saturation)
        });
    }

    /// Records a failure that indicates overload.
    pub fn record_overload(&self) {
        self.with_limit(Limit::failed);
    }

    fn with_limit(&self, f: impl FnOnce(&mut Limit)) {
        let mut state = self.slots.state.borrow_mut();
        if let Some(upstream) = state.upstreams.get_mut(&self.target.name)
            && upstream.incarnation == self.target.incarnation
        {
            f(&mut upstream.limit);
        }
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        let mut state = self.slots.state.borrow_mut();
        if let Some(upstream) = state.upstreams.get_mut(&self.target.name) {
            let before = upstream.running.len();
            upstream.running.retain(|r| r.id != self.id);
            if self.isolated && upstream.running.len() < before {
                upstream.exclusive = false;
            }
        }
        drop(state);
        self.slots.wake();
    }
}
