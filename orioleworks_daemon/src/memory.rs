//! Memory that peers make a process hold: bodies of requests that have arrived in part or whole, and responses that are not
//! written yet. See `docs/design/tenants-usage-and-bounds.md`, 2.4.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use tokio_util::sync::CancellationToken;

use crate::event;

/// Largest share that may use the reserve, in bytes: ordinary requests are far smaller.
pub const SMALL_BYTES: usize = 256 * 1024;
/// Time without progress after which a share may be ended for another one. A body makes progress with each part that
/// [`Share::progress`] is told of; a part of a response makes none until it is written.
pub const STALL_TIME: Duration = Duration::from_secs(1);

/// Step in which large bodies are charged, in bytes.
pub const STEP_BYTES: usize = 64 * 1024;

/// What becomes of a share that wants to grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The bytes are charged.
    Granted,
    /// The share of this number must be ended first; nothing is charged.
    Close(u64),
    /// Shares that were told to end still hold memory; nothing is charged.
    Wait,
    /// There is no room; nothing is charged.
    Refused,
}

/// Decides who may hold how much; without I/O and clocks.
#[derive(Debug)]
pub struct Ledger {
    limit: usize,
    reserve: usize,
    used: usize,
    next: u64,
    holders: BTreeMap<u64, Holder>,
}

#[derive(Debug)]
struct Holder {
    bytes: usize,
    progress: Instant,
    /// False once the request is complete and may be passed on.
    closable: bool,
    closing: bool,
    /// Whether it holds a part of a response.
    is_response: bool,
}

impl Ledger {
    /// Creates a ledger of `limit` bytes, of which `reserve` bytes are for shares of at most [`SMALL_BYTES`].
    pub fn new(limit: usize, reserve: usize) -> Self {
        Self { limit, reserve: reserve.min(limit), used: 0, next: 0, holders: BTreeMap::new() }
    }

    /// Opens an empty share and returns its number.
    pub fn open(&mut self, now: Instant) -> u64 {
        self.next += 1;
        let (bytes, progress, closable) = (0, now, true);
        let holder = Holder { bytes, progress, closable, closing: false, is_response: false };
        self.holders.insert(self.next, holder);
        self.next
    }

    /// Charges bytes to a share if there is room.
    pub fn grow(&mut self, id: u64, bytes: usize, now: Instant) -> Decision {
        let held = self.holders.get(&id).map_or(0, |holder| holder.bytes);
        let is_small = held.saturating_add(bytes) <= SMALL_BYTES;
        let limit = if is_small { self.limit } else { self.limit - self.reserve };
        if self.used.saturating_add(bytes) <= limit {
            self.charge(id, bytes, now);
            return Decision::Granted;
        }
        match self.stalled(id, now) {
            Some(stalled) => Decision::Close(stalled),
            None if self.holders.values().any(|holder| holder.closing) => Decision::Wait,
            None => Decision::Refused,
        }
    }

    /// Charges bytes for copies of a complete body of `len` bytes, which is charged already. Small shares of others, up to the
    /// reserve in all, reduce what is charged instead of refusing a body that would get its copies without them.
    pub fn grow_for_copies(&mut self, id: u64, len: usize, now: Instant) -> Decision {
        let largest = self.limit - self.reserve;
        let body = len.next_multiple_of(STEP_BYTES);
        let wanted = len.min(largest.saturating_sub(body));
        let is_calm = self.used.saturating_sub(body) <= self.reserve;
        let free = largest.saturating_sub(self.used);
        self.grow(id, if is_calm { wanted.min(free) } else { wanted }, now)
    }

    /// Charges bytes of a response that exist already. Returns a share that must be ended if there is no room.
    pub fn overdraw(&mut self, id: u64, bytes: usize, now: Instant) -> Option<u64> {
        self.charge(id, bytes, now);
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_response = true;
        }
        self.next_excess(id, now)
    }

    /// Another share that must be ended for `id`, if more than the limit is held without those that were told to end.
    pub fn next_excess(&mut self, id: u64, now: Instant) -> Option<u64> {
        let ending = self.holders.values().filter(|holder| holder.closing);
        let ending: usize = ending.map(|holder| holder.bytes).sum();
        if self.used - ending > self.limit { self.stalled(id, now) } else { None }
    }

    /// Notes that a body makes progress.
    pub fn progress(&mut self, id: u64, now: Instant) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.progress = now;
        }
    }

    /// Marks the unfinished body that has gone longest without progress as one that must end; one at a time.
    pub fn longest_stalled(&mut self, now: Instant) -> Option<u64> {
        let mut oldest: Option<(u64, &mut Holder)> = None;
        for (id, holder) in &mut self.holders {
            if !holder.closable || holder.is_response {
                continue;
            }
            if holder.closing {
                return None;
            }
            if oldest.as_ref().is_none_or(|(_, oldest)| holder.progress < oldest.progress) {
                oldest = Some((*id, holder));
            }
        }
        let (id, holder) = oldest?;
        if now.saturating_duration_since(holder.progress) < STALL_TIME {
            return None;
        }
        holder.closing = true;
        Some(id)
    }

    /// The request of a share is complete; the share is not ended any more for another one.
    pub fn keep(&mut self, id: u64) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.closable = false;
            holder.closing = false;
        }
    }

    /// Releases a share.
    pub fn close(&mut self, id: u64) {
        if let Some(holder) = self.holders.remove(&id) {
            self.used -= holder.bytes;
        }
    }

    /// Bytes that are charged.
    pub fn used(&self) -> usize {
        self.used
    }

    fn charge(&mut self, id: u64, bytes: usize, now: Instant) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.bytes += bytes;
            holder.progress = now;
            self.used += bytes;
        }
    }

    /// Marks the largest share without progress, other than `id`, as one that must end.
    fn stalled(&mut self, id: u64, now: Instant) -> Option<u64> {
        let may_end = |holder: &Holder| {
            holder.closable
                && !holder.closing
                && holder.bytes > 0
                && now.saturating_duration_since(holder.progress) >= STALL_TIME
        };
        let others = self.holders.iter_mut().filter(|(other, h)| **other != id && may_end(h));
        let (id, holder) = others.max_by_key(|(_, holder)| holder.bytes)?;
        holder.closing = true;
        Some(*id)
    }
}

/// Bytes that peers make this process hold, against one limit; clones share it.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Mutex<Inner>>);

#[derive(Debug)]
struct Inner {
    ledger: Ledger,
    tokens: BTreeMap<u64, CancellationToken>,
    last_logged: Option<Instant>,
    /// Whether the metrics show this budget; a process has one with a limit.
    is_measured: bool,
}

/// What one request or response holds; released when dropped.
#[derive(Debug)]
pub struct Share {
    budget: Budget,
    id: u64,
    closed: CancellationToken,
}

impl Budget {
    /// Creates a budget of `limit` bytes, of which `reserve` bytes are for small shares.
    pub fn new(limit: usize, reserve: usize) -> Self {
        metrics::gauge!("orioleworks_held_bytes_limit").set(limit as f64);
        Self::with(Ledger::new(limit, reserve), true)
    }

    /// Budget of processes whose memory is bounded otherwise.
    pub fn unlimited() -> Self {
        Self::with(Ledger::new(usize::MAX, 0), false)
    }

    fn with(ledger: Ledger, is_measured: bool) -> Self {
        let (tokens, last_logged) = (BTreeMap::new(), None);
        Self(Arc::new(Mutex::new(Inner { ledger, tokens, last_logged, is_measured })))
    }

    /// Opens an empty share; `closed` is cancelled when it must end for another one.
    pub fn open(&self, closed: CancellationToken) -> Share {
        let mut inner = self.lock();
        let id = inner.ledger.open(Instant::now());
        inner.tokens.insert(id, closed.clone());
        Share { budget: self.clone(), id, closed }
    }

    /// Charges a part of a response until it is dropped, which is when it is written or its connection ends.
    pub fn hold(&self, part: Bytes, closed: &CancellationToken) -> Bytes {
        let share = self.open(closed.clone());
        let mut inner = self.lock();
        let now = Instant::now();
        let mut stalled = inner.ledger.overdraw(share.id, part.len(), now);
        while let Some(id) = stalled {
            inner.end(id);
            stalled = inner.ledger.next_excess(share.id, now);
        }
        inner.report();
        drop(inner);
        Bytes::from_owner(Held { bytes: part, _share: share })
    }

    /// Ends the unfinished body that has gone longest without progress, because no connection is free.
    pub fn end_longest_stalled(&self) {
        let mut inner = self.lock();
        if let Some(id) = inner.ledger.longest_stalled(Instant::now()) {
            inner.end(id);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // No code panics while it holds the lock.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn end(&mut self, id: u64) {
        metrics::counter!("orioleworks_held_shares_ended_total").increment(1);
        if let Some(token) = self.tokens.get(&id) {
            token.cancel();
        }
        self.log("closed");
    }

    fn report(&self) {
        if self.is_measured {
            metrics::gauge!("orioleworks_held_bytes").set(self.ledger.used() as f64);
        }
    }

    /// Logs that the limit takes effect, at most once a second.
    fn log(&mut self, action: &str) {
        const INTERVAL: Duration = Duration::from_secs(1);
        let now = Instant::now();
        if self.last_logged.is_some_and(|last| now.duration_since(last) < INTERVAL) {
            return;
        }
        self.last_logged = Some(now);
        let used = self.ledger.used();
        event!(warn, "memory_limit_reached", action = action, held_bytes = used);
    }
}

impl Share {
    /// Charges more bytes; waits for shares that must end first.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room, or if this share must end.
    pub async fn grow(&self, bytes: usize) -> Result<(), NoRoom> {
        self.charge(|ledger, now| ledger.grow(self.id, bytes, now)).await
    }

    async fn charge(&self, grow: impl Fn(&mut Ledger, Instant) -> Decision) -> Result<(), NoRoom> {
        /// Longer than the few steps of the executor until a share that must end is dropped.
        const POLL_INTERVAL: Duration = Duration::from_millis(2);
        loop {
            if self.closed.is_cancelled() {
                return Err(NoRoom);
            }
            {
                let mut inner = self.budget.lock();
                match grow(&mut inner.ledger, Instant::now()) {
                    Decision::Granted => {
                        inner.report();
                        return Ok(());
                    }
                    Decision::Close(id) => inner.end(id),
                    Decision::Wait => (),
                    Decision::Refused => {
                        metrics::counter!("orioleworks_held_refusals_total").increment(1);
                        inner.log("refused");
                        return Err(NoRoom);
                    }
                }
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Opens a share for copies of a body of `len` bytes that are made while it is decoded. A body of the largest legal size
    /// gets one when others hold no more than the reserve.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room.
    pub async fn for_copies(budget: &Budget, len: usize) -> Result<Self, NoRoom> {
        let share = budget.open(CancellationToken::new());
        share.keep();
        share.charge(|ledger, now| ledger.grow_for_copies(share.id, len, now)).await?;
        Ok(share)
    }

    /// Notes that a body makes progress.
    pub fn progress(&self) {
        self.budget.lock().ledger.progress(self.id, Instant::now());
    }

    /// Cancelled when this share must end.
    pub fn closed(&self) -> &CancellationToken {
        &self.closed
    }

    /// The request is complete: from now on it is not ended for another one.
    pub fn keep(&self) {
        self.budget.lock().ledger.keep(self.id);
    }

    /// Bytes whose memory and share are released together.
    pub fn into_bytes(self, body: Vec<u8>) -> Bytes {
        Bytes::from_owner(Held { bytes: body, _share: self })
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let mut inner = self.budget.lock();
        inner.ledger.close(self.id);
        inner.tokens.remove(&self.id);
        inner.report();
    }
}

/// there is no memory for the request
#[derive(Clone, Copy, Debug, displaydoc::Display, PartialEq, Eq)]
pub struct NoRoom;

impl std::error::Error for NoRoom {}

/// Fields are dropped in order: the memory before its share.
struct Held<B> {
    bytes: B,
    _share: Share,
}

impl<B: AsRef<[u8]>> AsRef<[u8]> for Held<B> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}
