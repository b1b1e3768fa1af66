//! Announcements of an upstream to the entries of its failure domain; see `docs/design.md`, sections 6 and 14.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::runtime;
use orioleworks_daemon::{clock, event};
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

use crate::{client::Client, fault::FaultSwitch};

/// Time between two announcements.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for the response to one announcement.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Body of `POST /v1/announce`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Announcement {
    /// Unique name of the upstream.
    pub name: String,
    /// Number that increases with every start of the upstream.
    pub incarnation: u64,
    /// Kind of upstream.
    pub kind: String,
    /// Model; empty for a plain service.
    pub model: String,
    /// IP and port.
    pub address: String,
    /// Active weight version; 0 for a plain service.
    pub weight_version: u64,
    /// Version that is being fetched or swapped in; 0 for none.
    pub pending_version: u64,
    /// Whether orders with an old fencing token are refused.
    pub checks_fencing: bool,
    /// Whether the upstream streams completions.
    pub engine: bool,
    /// Number of requests that the upstream says it can run concurrently.
    pub capacity: u32,
    /// Requests that are running.
    pub running: u32,
    /// Requests in the queue.
    pub queued: u32,
    /// Age of the load figures in milliseconds.
    pub measured_ms_ago: u64,
    /// Whether the upstream is leaving and accepts no new requests.
    pub leaving: bool,
    /// Changes of the prefix cache.
    pub cache: CacheEvents,
}

/// Consecutive changes of the prefix cache.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Sequence number of the first event.
    pub first_sequence: u64,
    /// Events in order.
    pub events: Vec<CacheEvent>,
}

/// One change of the prefix cache.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CacheEvent {
    /// 64-bit XXH3 of the prompt as 16 hexadecimal digits.
    pub prefix: String,
    /// True when stored, false when evicted.
    pub stored: bool,
}

/// Response to an announcement.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct AnnounceReply {
    /// Whether the upstream is ordered to leave.
    pub stop: bool,
    /// Lease that the entry grants, in milliseconds.
    pub lease_ms: u64,
}

/// Membership state of an upstream; clones share it.
#[derive(Clone, Debug)]
pub struct Membership {
    incarnation: Rc<Cell<u64>>,
    leaving_since: Rc<Cell<Option<Instant>>>,
    cache: Rc<RefCell<CacheQueue>>,
    late_starts: Rc<Cell<u64>>,
}

/// Time after a stop during which a leaving upstream may still receive requests (R7).
const LEAVE_BOUND: Duration = Duration::from_secs(3);

impl Default for Membership {
    fn default() -> Self {
        Self {
            incarnation: Rc::new(Cell::new(clock::unix_ms())),
            leaving_since: Rc::default(),
            cache: Rc::new(RefCell::new(CacheQueue { next_sequence: 1, events: VecDeque::new() })),
            late_starts: Rc::default(),
        }
    }
}

impl Membership {
    /// Current incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.get()
    }

    /// Whether the upstream is leaving and accepts no new requests.
    pub fn leaving(&self) -> bool {
        self.leaving_since.get().is_some()
    }

    /// Marks the upstream as leaving until [`Membership::rejoin`].
    pub fn leave(&self) {
        if !self.leaving() {
            self.leaving_since.set(Some(Instant::now()));
        }
    }

    /// Rejoins under a higher incarnation.
    pub fn rejoin(&self) {
        self.incarnation.set((self.incarnation.get() + 1).max(clock::unix_ms()));
        self.leaving_since.set(None);
    }

    /// Records the start of a request; one that starts more than 3 s after a stop counts as late.
    pub fn record_start(&self) {
        if self.leaving_since.get().is_some_and(|since| since.elapsed() > LEAVE_BOUND) {
            self.late_starts.set(self.late_starts.get() + 1);
        }
    }

    /// Requests that started more than 3 s after a stop.
    pub fn late_starts(&self) -> u64 {
        self.late_starts.get()
    }

    /// Queues a cache event for an announcement.
    pub fn push_cache_event(&self, event: CacheEvent) {
        self.cache.borrow_mut().events.push_back((Instant::now(), event));
    }

    /// Removes and returns the events that are at least `age` old.
    ///
    /// With `discard` they are dropped, which leaves a gap in the sequence numbers.
    fn take_cache_events(&self, age: Duration, discard: bool) -> CacheEvents {
        let mut cache = self.cache.borrow_mut();
        let due = cache.events.iter().take_while(|(at, _)| at.elapsed() >= age).count();
        let events: Vec<CacheEvent> = cache.events.drain(..due).map(|(_, event)| event).collect();
        let first_sequence = cache.next_sequence;
        cache.next_sequence += events.len() as u64;
        if discard {
            return CacheEvents { first_sequence: cache.next_sequence, events: Vec::new() };
        }
        CacheEvents { first_sequence, events }
    }
}

/// Cache events that are not announced yet.
#[derive(Debug)]
struct CacheQueue {
    next_sequence: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

#[derive(Clone, Copy)]
struct Load {
    measured_at: Instant,
    running: u32,
    queued: u32,
}

/// Announces every 500 ms until the token is cancelled; load figures and cache events are delayed by `lag`.
pub async fn run(
    entries: Vec<String>,
    membership: Membership,
    faults: FaultSwitch,
    lag: Duration,
    current: impl Fn() -> Announcement,
    token: CancellationToken,
) {
    let Ok(client) = Client::new() else { return };
    let mut loads: VecDeque<Load> = VecDeque::new();
    let mut round = 0_u32;
    while !token.is_cancelled() && !entries.is_empty() {
        let mut announcement = current();
        let now = Instant::now();
        loads.push_back(Load {
            measured_at: now,
            running: announcement.running,
            queued: announcement.queued,
        });
        while loads.len() > 1 && now.duration_since(loads[1].measured_at) >= lag {
            loads.pop_front();
        }
        let load = loads[0];
        (announcement.running, announcement.queued) = (load.running, load.queued);
        announcement.measured_ms_ago =
            u64::try_from(now.duration_since(load.measured_at).as_millis()).unwrap_or(u64::MAX);
        announcement.incarnation = membership.incarnation();
        announcement.leaving = membership.leaving();
        round = round.wrapping_add(1);
        let gap_every = faults.now().gap_every;
        announcement.cache =
            membership.take_cache_events(lag, gap_every > 0 && round.is_multiple_of(gap_every));
        if !faults.now().mute {
            for entry in &entries {
                send(&client, entry, &announcement, &membership);
            }
        }
        wait(&membership, &token).await;
    }
}

/// Waits for one period; a change of the leaving state ends the wait, so that it is announced at once.
async fn wait(membership: &Membership, token: &CancellationToken) {
    const CHECK_INTERVAL: Duration = Duration::from_millis(20);
    let (until, was_leaving) = (Instant::now() + ANNOUNCE_INTERVAL, membership.leaving());
    while Instant::now() < until && !token.is_cancelled() && membership.leaving() == was_leaving {
        compio::time::sleep(CHECK_INTERVAL).await;
    }
}

fn send(client: &Client, entry: &str, announcement: &Announcement, membership: &Membership) {
    let url = format!("http://{entry}/v1/announce");
    let (client, announcement, membership) =
        (client.clone(), announcement.clone(), membership.clone());
    runtime::spawn(async move {
        let response = client.post(&url, &announcement, TIMEOUT).await;
        match response.and_then(|response| response.json::<AnnounceReply>()) {
            Ok(reply) if reply.stop && announcement.incarnation == membership.incarnation() => {
                membership.leave();
            }
            Ok(_) => (),
            Err(e) => event!(debug, "announce_failed", url = url, reason = e),
        }
    })
    .detach();
}
