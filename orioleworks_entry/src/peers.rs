//! Exchange of digests between entries: which entries are live, and what each can run.
//!
//! See `docs/design.md`, sections 3, 6 and 8.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

use compio::{runtime, time};
use futures_util::{FutureExt, select};
use orioleworks_daemon::{clock, event, rpc};
use orioleworks_proto::inner::{self, frame::Body};
use orioleworks_routing::spread::PeerCapacity;
use tokio_util::sync::CancellationToken;

use crate::signal::Signal;

/// Shortest interval of digests to one peer.
pub const INTERVAL: Duration = Duration::from_secs(1);
/// Intervals without a digest after which a peer counts as not live.
const MISSED_INTERVALS: u32 = 3;
/// Digests per second to all peers of the own failure domain together. They are only needed for suspects, and new
/// suspects are pushed at once; one digest per second to each of 55 peers would alone exceed the 3 KB/s of a node.
const DOMAIN_DIGESTS_PER_S: u32 = 8;
/// Number of entries of a failure domain that send digests to the same entry of another domain. A full mesh of 390
/// entries takes 72 KB/s per entry.
const SENDERS_PER_DOMAIN: usize = 2;
/// Longest time between two full digests, which bounds how long an undetected difference lasts.
const FULL_DIGEST_INTERVAL: Duration = Duration::from_secs(30);
/// Change of a kind's load, in thousandths of its capacity, at which a full digest is sent.
const LOAD_STEP_PERMILLE: u64 = 100;
/// Longest wait for the response to a digest.
const DIGEST_TIMEOUT: Duration = Duration::from_millis(900);
/// Interval between two checks for peers that have stopped sending digests.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Entry named in the settings.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Name of the entry.
    pub name: Rc<str>,
    /// Its failure domain.
    pub failure_domain: Rc<str>,
    /// Address at which it serves the inner protocol.
    pub address: Rc<str>,
}

type OnSuspects = Rc<dyn Fn(Vec<inner::Suspect>)>;

struct KnownPeer {
    peer: Peer,
    /// Connection for forwards; digests use a separate one, which is closed when a digest gets no response.
    forward_client: rpc::Client,
    last: RefCell<Option<(Duration, inner::Digest)>>,
    disconnected: Cell<bool>,
}

/// Peers of this entry; clones share them.
#[derive(Clone)]
pub struct Peers {
    shared: Rc<Shared>,
}

struct Shared {
    failure_domain: Rc<str>,
    known: HashMap<Rc<str>, KnownPeer>,
    on_suspects: Box<dyn Fn(Vec<inner::Suspect>)>,
    on_remote_suspects: RefCell<Option<OnSuspects>>,
    push: Signal,
}

impl Peers {
    /// Creates the peers named in the settings; `on_suspects` receives the suspects of peers of the own failure domain.
    pub fn new(
        failure_domain: impl Into<Rc<str>>,
        peers: impl IntoIterator<Item = Peer>,
        on_suspects: impl Fn(Vec<inner::Suspect>) + 'static,
    ) -> Self {
        let known = peers.into_iter().map(|peer| {
            let forward_client = rpc::Client::new(peer.address.clone());
            (
                peer.name.clone(),
                KnownPeer {
                    peer,
                    forward_client,
                    last: RefCell::default(),
                    disconnected: Cell::default(),
                },
            )
        });
        let shared = Shared {
            failure_domain: failure_domain.into(),
            known: known.collect(),
            on_suspects: Box::new(on_suspects),
            on_remote_suspects: RefCell::default(),
            push: Signal::default(),
        };
        Self { shared: Rc::new(shared) }
    }

    /// Sets the function that receives the suspects of peers of other failure domains.
    pub fn set_on_remote_suspects(&self, f: impl Fn(Vec<inner::Suspect>) + 'static) {
        *self.shared.on_remote_suspects.borrow_mut() = Some(Rc::new(f));
    }

    /// Starts one task for each receiver of digests; the tasks end when the token is cancelled.
    pub fn start(&self, digest: Rc<dyn Fn() -> inner::Digest>, token: &CancellationToken) {
        let own = digest().entry.map(|entry| entry.name).unwrap_or_default();
        for peer in self.receivers(&own) {
            let (digest, token) = (digest.clone(), token.clone());
            let sender = Sender { shared: self.shared.clone(), peer: peer.clone(), sent: None };
            runtime::spawn(sender.run(digest, token)).detach();
        }
        runtime::spawn(disconnect_silent_peers(self.shared.clone(), token.clone())).detach();
    }

    /// Peers that get digests from this entry: all of its own failure domain, and some of every other domain.
    ///
    /// Entries are ordered by name. The entry at position `j` of another domain receives digests from the entries at
    /// positions `j` and `j + 1`, modulo the size of this domain. So every entry receives digests from two entries of
    /// each other domain, or from all of them if the domain has no more.
    pub fn receivers(&self, own: &str) -> Vec<&Peer> {
        let peers = || self.shared.known.values().map(|known| &known.peer);
        let mut domains: BTreeMap<&str, Vec<&Peer>> = BTreeMap::new();
        peers().for_each(|peer| domains.entry(&peer.failure_domain).or_default().push(peer));
        let is_own = |peer: &&Peer| peer.failure_domain == self.shared.failure_domain;
        let position = peers().filter(is_own).filter(|peer| *peer.name < *own).count();
        let size = 1 + peers().filter(is_own).count();
        let mut receivers = Vec::new();
        for (domain, mut peers) in domains {
            peers.sort_by(|a, b| a.name.cmp(&b.name));
            let receives = |at: usize| {
                (0..SENDERS_PER_DOMAIN.min(size)).any(|offset| (at + offset) % size == position)
            };
            let all = domain == &*self.shared.failure_domain;
            let peers = peers.into_iter().enumerate().filter(|(at, _)| all || receives(*at));
            receivers.extend(peers.map(|(_, peer)| peer));
        }
        receivers
    }

    /// Sends the digest to every receiver immediately: a suspect that is resent through a peer cannot wait for the next
    /// interval.
    pub fn push(&self) {
        self.shared.push.notify();
    }

    /// Stores a peer's digest; a late digest of an older incarnation is ignored. Returns whether the last full digest
    /// of the incarnation is held, so that the peer need not send it again.
    pub fn receive(&self, digest: inner::Digest) -> bool {
        let entry = digest.entry.clone().unwrap_or_default();
        let Some(known) = self.shared.known.get(entry.name.as_str()) else {
            event!(warn, "digest_of_unknown_entry", entry = entry.name);
            return false;
        };
        let incarnation = |digest: &inner::Digest| digest.entry.as_ref().map(|e| e.incarnation);
        let newest = known.last.borrow().as_ref().and_then(|(_, last)| incarnation(last));
        if newest > Some(entry.incarnation) {
            return false;
        }
        if digest.unchanged {
            let mut last = known.last.borrow_mut();
            let held = last.as_mut().filter(|_| newest == Some(entry.incarnation));
            return held.map(|(last_seen, _)| *last_seen = clock::since_boot()).is_some();
        }
        let suspects = digest.suspects.clone();
        *known.last.borrow_mut() = Some((clock::since_boot(), digest));
        if suspects.is_empty() {
            return true;
        }
        if self.shared.is_own(&known.peer) {
            (self.shared.on_suspects)(suspects);
        } else if let Some(f) = self.shared.on_remote_suspects.borrow().clone() {
            f(suspects);
        }
        true
    }

    /// Number of live entries of the own failure domain, including this one; they share the limits of the upstreams.
    pub fn live_in_domain(&self) -> usize {
        let own = &self.shared.failure_domain;
        1 + self.live().filter(|known| known.peer.failure_domain == *own).count()
    }

    /// Connections to live peers of other domains that can run a kind, least loaded first.
    pub fn candidates(&self, kind: &str, lowest_version: u64) -> Vec<rpc::Client> {
        let own = &self.shared.failure_domain;
        let mut candidates_by_load: Vec<(u64, &KnownPeer)> = self
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
        candidates_by_load.sort_by_key(|(load, _)| *load);
        candidates_by_load.into_iter().map(|(_, known)| known.forward_client.clone()).collect()
    }

    /// Returns the connection for forwards to a peer.
    pub fn forward_client(&self, name: &str) -> Option<rpc::Client> {
        self.shared.known.get(name).map(|known| known.forward_client.clone())
    }

    /// Capacities and loads of the live peers of other domains that can run a kind, including peers without free
    /// capacity; `own` returns the number of requests that this entry has in flight at a peer.
    ///
    /// The live entries of a domain share the limits of its upstreams.
    pub fn capacities(
        &self,
        kind: &str,
        lowest_version: u64,
        own: impl Fn(&Rc<str>) -> u32,
    ) -> Vec<PeerCapacity> {
        let mut entries: HashMap<&str, u32> = HashMap::new();
        for known in self.live() {
            *entries.entry(&*known.peer.failure_domain).or_default() += 1;
        }
        let mut capacities = Vec::new();
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
            capacities.push(PeerCapacity { name, share, in_flight_for_others: others });
        }
        // Sorts, because the order of a hash map differs between runs.
        capacities.sort_by(|a, b| a.name.cmp(&b.name));
        capacities
    }

    fn live(&self) -> impl Iterator<Item = &KnownPeer> {
        self.shared.known.values().filter(|known| self.shared.is_live(known))
    }
}

impl Shared {
    fn is_live(&self, known: &KnownPeer) -> bool {
        let within = self.interval(&known.peer) * MISSED_INTERVALS;
        let last = known.last.borrow();
        last.as_ref()
            .is_some_and(|(last_seen, _)| clock::since_boot().saturating_sub(*last_seen) <= within)
    }

    fn is_own(&self, peer: &Peer) -> bool {
        peer.failure_domain == self.failure_domain
    }

    /// Interval of digests to and from a peer.
    fn interval(&self, peer: &Peer) -> Duration {
        if !self.is_own(peer) {
            return INTERVAL;
        }
        let own = self.known.values().filter(|known| self.is_own(&known.peer)).count();
        let own = u32::try_from(own).unwrap_or(u32::MAX);
        INTERVAL.max(INTERVAL * own / DOMAIN_DIGESTS_PER_S)
    }
}

fn load_permille(load: &inner::KindLoad) -> u64 {
    u64::from(load.in_flight) * 1000 / u64::from(load.capacity.max(1))
}

/// Whether two digests are equal for every kind, except for small changes of the load.
fn same_kinds(a: &inner::Digest, b: &inner::Digest) -> bool {
    let same_kind = |a: &inner::KindLoad, b: &inner::KindLoad| {
        let facts = |load: &inner::KindLoad| {
            (load.upstreams, load.lowest_version, load.highest_version, load.kind.clone())
        };
        facts(a) == facts(b) && load_permille(a).abs_diff(load_permille(b)) < LOAD_STEP_PERMILLE
    };
    a.kinds.len() == b.kinds.len() && a.kinds.iter().zip(&b.kinds).all(|(a, b)| same_kind(a, b))
}

/// Sends digests to one peer.
struct Sender {
    shared: Rc<Shared>,
    peer: Peer,
    /// The last full digest and its time; `None` when the peer has not confirmed that it holds it.
    sent: Option<(Duration, inner::Digest)>,
}

impl Sender {
    async fn run(mut self, digest: Rc<dyn Fn() -> inner::Digest>, token: CancellationToken) {
        let client = rpc::Client::new(self.peer.address.clone());
        let regular = self.shared.interval(&self.peer);
        let mut reachable = true;
        loop {
            let shared = self.shared.clone();
            let pushed = shared.push.wait();
            let held = self.send(&client, digest()).await;
            if held.is_some() != reachable {
                reachable = held.is_some();
                event!(
                    info,
                    "peer_reachable_changed",
                    peer = self.peer.name,
                    reachable = reachable
                );
            }
            if held.is_none() {
                // A connection that was cut without a reset would stay open without responses.
                client.disconnect();
            }
            let interval = if reachable { regular } else { INTERVAL };
            let mut pause = std::pin::pin!(pushed.up_to(interval).fuse());
            let mut cancelled = std::pin::pin!(token.cancelled().fuse());
            select! { () = pause => (), () = cancelled => return }
        }
    }

    /// Sends a full digest, or a short one if the peer holds the current state; `None` if it cannot be reached.
    async fn send(&mut self, client: &rpc::Client, digest: inner::Digest) -> Option<()> {
        let own = self.shared.is_own(&self.peer);
        let now = clock::since_boot();
        let held = self.sent.take().filter(|(at, sent)| {
            // Only peers of other domains use the kinds, to forward requests.
            let same = sent.suspects == digest.suspects && (own || same_kinds(sent, &digest));
            same && now.saturating_sub(*at) < FULL_DIGEST_INTERVAL
        });
        if let Some(held) = held
            && send_digest(client, unchanged_digest(&digest)).await?
        {
            self.sent = Some(held);
            return Some(());
        }
        if send_digest(client, digest.clone()).await? {
            self.sent = Some((now, digest));
        }
        Some(())
    }
}

/// Closes the connections for forwards to peers that have stopped sending digests, until the token is cancelled.
///
/// A network partition closes no connection, so without this the callers of forwarded requests would wait until the
/// deadline.
async fn disconnect_silent_peers(shared: Rc<Shared>, token: CancellationToken) {
    while !token.is_cancelled() {
        for known in shared.known.values() {
            let silent = known.last.borrow().is_some() && !shared.is_live(known);
            if silent && !known.disconnected.get() {
                event!(info, "peer_silent", peer = known.peer.name);
                known.forward_client.disconnect();
            }
            known.disconnected.set(silent);
        }
        time::sleep(SILENCE_CHECK_INTERVAL).await;
    }
}

/// Short digest, which confirms that the last full digest is still valid.
fn unchanged_digest(digest: &inner::Digest) -> inner::Digest {
    let entry = digest.entry.as_ref().map(|entry| inner::EntryIdentity {
        name: entry.name.clone(),
        incarnation: entry.incarnation,
        ..Default::default()
    });
    inner::Digest { entry, revision: digest.revision, unchanged: true, ..Default::default() }
}

/// Sends a digest; returns whether the peer holds the last full digest, or `None` without a response.
async fn send_digest(client: &rpc::Client, digest: inner::Digest) -> Option<bool> {
    match client.call(Body::Digest(digest), DIGEST_TIMEOUT).await {
        Ok(Body::DigestReply(reply)) => Some(reply.holds),
        _ => None,
    }
}
