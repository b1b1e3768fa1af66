//! Digests between entries: who is live, and what each can run.
//!
//! See `docs/design.md`, sections 3, 6 and 8.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use compio::runtime;
use futures_util::{FutureExt, select};
use orioleworks_daemon::{clock, event, rpc};
use orioleworks_proto::inner::{self, frame::Body};
use orioleworks_routing::spread::PeerRoom;
use tokio_util::sync::CancellationToken;

use crate::signal::Signal;

/// Interval of digests.
pub const INTERVAL: Duration = Duration::from_secs(1);
/// Time without a digest after which a peer counts as lost.
pub const LIVE_WITHIN: Duration = Duration::from_secs(3);
/// Longest wait for the answer to a digest.
const DIGEST_TIMEOUT: Duration = Duration::from_millis(900);
/// Digests without an answer in a row after which the requests at the peer are given up.
const LOST_AFTER: u32 = 2;

/// Entry named in the settings.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Name of the entry.
    pub name: Rc<str>,
    /// Its failure domain.
    pub failure_domain: Rc<str>,
    /// Address of its inner protocol.
    pub address: Rc<str>,
}

type OnSuspects = Rc<dyn Fn(Vec<inner::Suspect>)>;

struct Known {
    peer: Peer,
    /// Connection for forwards; digests have their own, because a lost digest closes its connection.
    forwards: rpc::Client,
    last: RefCell<Option<(Duration, inner::Digest)>>,
}

/// Peers of this entry; clones share them.
#[derive(Clone)]
pub struct Peers {
    shared: Rc<Shared>,
}

struct Shared {
    failure_domain: Rc<str>,
    known: HashMap<Rc<str>, Known>,
    on_suspects: Box<dyn Fn(Vec<inner::Suspect>)>,
    on_foreign: RefCell<Option<OnSuspects>>,
    push: Signal,
}

impl Peers {
    /// Peers of the settings; `on_suspects` gets the suspects of peers of the own failure domain.
    pub fn new(
        failure_domain: impl Into<Rc<str>>,
        peers: impl IntoIterator<Item = Peer>,
        on_suspects: impl Fn(Vec<inner::Suspect>) + 'static,
    ) -> Self {
        let known = peers.into_iter().map(|peer| {
            let forwards = rpc::Client::new(peer.address.clone());
            (peer.name.clone(), Known { peer, forwards, last: RefCell::default() })
        });
        let shared = Shared {
            failure_domain: failure_domain.into(),
            known: known.collect(),
            on_suspects: Box::new(on_suspects),
            on_foreign: RefCell::default(),
            push: Signal::default(),
        };
        Self { shared: Rc::new(shared) }
    }

    /// Sets what gets the suspects of peers of other failure domains.
    pub fn set_on_foreign_suspects(&self, f: impl Fn(Vec<inner::Suspect>) + 'static) {
        *self.shared.on_foreign.borrow_mut() = Some(Rc::new(f));
    }

    /// Starts one task per peer that sends the digest each second until the token is cancelled.
    pub fn start(&self, digest: Rc<dyn Fn() -> inner::Digest>, token: &CancellationToken) {
        for known in self.shared.known.values() {
            let client = rpc::Client::new(known.peer.address.clone());
            let (peer, digest, token) = (known.peer.name.clone(), digest.clone(), token.clone());
            let shared = self.shared.clone();
            runtime::spawn(send_digests(shared, peer, client, digest, token)).detach();
        }
    }

    /// Sends the digest to every peer at once, since a suspect resent through a peer must not wait for the interval.
    pub fn push(&self) {
        self.shared.push.notify();
    }

    /// Takes a peer's digest; one of an older incarnation is late and ignored.
    pub fn receive(&self, digest: inner::Digest) {
        let entry = digest.entry.clone().unwrap_or_default();
        let Some(known) = self.shared.known.get(entry.name.as_str()) else {
            event!(warn, "digest_of_unknown_entry", entry = entry.name);
            return;
        };
        let incarnation = |digest: &inner::Digest| digest.entry.as_ref().map(|e| e.incarnation);
        let newest = known.last.borrow().as_ref().and_then(|(_, last)| incarnation(last));
        if newest > Some(entry.incarnation) {
            return;
        }
        let suspects = digest.suspects.clone();
        *known.last.borrow_mut() = Some((clock::since_boot(), digest));
        if suspects.is_empty() {
            return;
        }
        if known.peer.failure_domain == self.shared.failure_domain {
            (self.shared.on_suspects)(suspects);
        } else if let Some(f) = self.shared.on_foreign.borrow().clone() {
            f(suspects);
        }
    }

    /// Live entries of the own failure domain, including this one; the share of a limit is divided by them.
    pub fn live_in_domain(&self) -> usize {
        let own = &self.shared.failure_domain;
        1 + self.live().filter(|known| known.peer.failure_domain == *own).count()
    }

    /// Connections to live peers of other domains that can run a kind, the least loaded first.
    pub fn candidates(&self, kind: &str, lowest_version: u64) -> Vec<rpc::Client> {
        let own = &self.shared.failure_domain;
        let mut found: Vec<(u64, &Known)> = self
            .live()
            .filter(|known| known.peer.failure_domain != *own)
            .filter_map(|known| {
                let last = known.last.borrow();
                let (_, digest) = last.as_ref()?;
                let load = digest.kinds.iter().find(|load| {
                    load.kind == kind
                        && load.upstreams > 0
                        && load.highest_version >= lowest_version
                })?;
                Some((load_permille(load), known))
            })
            .collect();
        found.sort_by_key(|(load, _)| *load);
        found.into_iter().map(|(_, known)| known.forwards.clone()).collect()
    }

    /// Connection for forwards to a peer.
    pub fn forwards(&self, name: &str) -> Option<rpc::Client> {
        self.shared.known.get(name).map(|known| known.forwards.clone())
    }

    /// Room at the live peers of other domains that can run a kind; `own` is what this entry has in flight at each.
    ///
    /// The limits of a domain's upstreams are shared by its live entries.
    pub fn rooms(
        &self,
        kind: &str,
        lowest_version: u64,
        own: impl Fn(&Rc<str>) -> u32,
    ) -> Vec<PeerRoom> {
        let mut entries: HashMap<&str, u32> = HashMap::new();
        for known in self.live() {
            *entries.entry(&*known.peer.failure_domain).or_default() += 1;
        }
        let mut rooms = Vec::new();
        for known in self.live() {
            let domain = &known.peer.failure_domain;
            let last = known.last.borrow();
            let load = last.as_ref().and_then(|(_, digest)| {
                digest.kinds.iter().find(|load| {
                    load.kind == kind
                        && load.upstreams > 0
                        && load.highest_version >= lowest_version
                })
            });
            let Some(load) = load.filter(|_| *domain != self.shared.failure_domain) else {
                continue;
            };
            let name = known.peer.name.clone();
            let share = load.capacity / entries.get(&**domain).copied().unwrap_or(1).max(1);
            let others = load.in_flight.saturating_sub(own(&name));
            rooms.push(PeerRoom { name, share, others });
        }
        // The order of a hash map differs from run to run.
        rooms.sort_by(|a, b| a.name.cmp(&b.name));
        rooms
    }

    fn live(&self) -> impl Iterator<Item = &Known> {
        let now = clock::since_boot();
        self.shared.known.values().filter(move |known| {
            let last = known.last.borrow();
            last.as_ref().is_some_and(|(heard, _)| now.saturating_sub(*heard) <= LIVE_WITHIN)
        })
    }
}

fn load_permille(load: &inner::KindLoad) -> u64 {
    u64::from(load.in_flight) * 1000 / u64::from(load.capacity.max(1))
}

async fn send_digests(
    shared: Rc<Shared>,
    peer: Rc<str>,
    client: rpc::Client,
    digest: Rc<dyn Fn() -> inner::Digest>,
    token: CancellationToken,
) {
    let mut failures = 0;
    loop {
        let pushed = shared.push.wait();
        let sent = client.call(Body::Digest(digest()), DIGEST_TIMEOUT).await;
        if sent.is_ok() {
            if failures > 0 {
                event!(info, "peer_reachable", peer = peer);
            }
            failures = 0;
        } else {
            failures += 1;
            event!(info, "peer_unreachable", peer = peer, failures = failures);
            // A connection that was cut without notice would stay silent.
            client.disconnect();
        }
        if failures == LOST_AFTER
            && let Some(known) = shared.known.get(&peer)
        {
            // Requests at a peer behind a partition would otherwise hold their callers until the deadline.
            known.forwards.disconnect();
        }
        let mut pause = std::pin::pin!(pushed.up_to(INTERVAL).fuse());
        let mut cancelled = std::pin::pin!(token.cancelled().fuse());
        select! { () = pause => (), () = cancelled => return }
    }
}
