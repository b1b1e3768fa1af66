//! Which service and software version began a caller's stream.
//!
//! Handles streams that break off and are taken up through another instance, while upstreams of several software versions
//! serve: what two versions write does not fit together. See `docs/platform.md`, "Streams and software versions".

use std::{collections::VecDeque, rc::Rc, time::Duration};

use indexmap::IndexMap;

/// Time for which a stream can be taken up after it began.
pub const RETENTION: Duration = Duration::from_secs(300);
/// Streams that are remembered, the newest ones; about 100 bytes each.
const MAX_STREAMS: usize = 32_768;

/// Time for which a software version may begin streams after a majority of the stores has recorded it. Stores remember it for
/// [`RETENTION`], so that they still know it when a stream is taken up a minute after it began.
pub const RECORDED_FOR: Duration = Duration::from_secs(240);

/// What began a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Origin {
    /// Service of the upstream.
    pub service: Rc<str>,
    /// Version of its software.
    pub software: Rc<str>,
}

#[derive(Clone, Debug)]
struct Known {
    origin: Origin,
    changed: u64,
}

/// Streams by the attempt that brought their first event.
#[derive(Clone, Debug, Default)]
pub struct Streams {
    known: IndexMap<Rc<str>, Known>,
    /// Attempts in the order in which they were recorded.
    order: VecDeque<(Duration, Rc<str>)>,
    changes: u64,
}

impl Streams {
    /// Records what began a stream; the first record of an attempt holds. Returns whether it is news.
    pub fn record(&mut self, attempt: &str, origin: Origin, now: Duration) -> bool {
        if attempt.is_empty() || self.known.contains_key(attempt) {
            return false;
        }
        self.changes += 1;
        let attempt: Rc<str> = attempt.into();
        self.known.insert(attempt.clone(), Known { origin, changed: self.changes });
        self.order.push_back((now, attempt));
        if self.order.len() > MAX_STREAMS {
            self.forget_oldest();
        }
        true
    }

    /// What began the stream of an attempt.
    pub fn get(&self, attempt: &str) -> Option<&Origin> {
        self.known.get(attempt).map(|known| &known.origin)
    }

    /// Cursor of the newest record.
    pub fn cursor(&self) -> u64 {
        self.changes
    }

    /// Streams that were recorded after a cursor.
    pub fn since(&self, cursor: u64) -> impl Iterator<Item = (&Rc<str>, &Origin)> {
        let newer = self.known.iter().filter(move |(_, known)| known.changed > cursor);
        newer.map(|(attempt, known)| (attempt, &known.origin))
    }

    /// Forgets streams that can no longer be taken up.
    pub fn expire(&mut self, now: Duration) {
        while self.order.front().is_some_and(|(at, _)| now.saturating_sub(*at) >= RETENTION) {
            self.forget_oldest();
        }
    }

    /// Number of streams.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn forget_oldest(&mut self) {
        if let Some((_, attempt)) = self.order.pop_front() {
            self.known.swap_remove(&attempt);
        }
    }
}

/// Services and software versions that may begin streams, because a majority of the stores has recorded them.
#[derive(Clone, Debug, Default)]
pub struct Recorded(IndexMap<Origin, Duration>);

impl Recorded {
    /// Notes that a majority has recorded an origin, as it was told at `told_at`.
    pub fn note(&mut self, origin: Origin, told_at: Duration) {
        let recorded = self.0.entry(origin).or_default();
        *recorded = told_at.max(*recorded);
    }

    /// Whether an origin may begin streams.
    pub fn contains(&self, origin: &Origin, now: Duration) -> bool {
        self.0.get(origin).is_some_and(|told_at| now.saturating_sub(*told_at) < RECORDED_FOR)
    }

    /// Whether an origin should be recorded again, well before it may begin no more streams.
    pub fn is_due(&self, origin: &Origin, now: Duration) -> bool {
        let age = |told_at: &Duration| now.saturating_sub(*told_at);
        self.0.get(origin).is_none_or(|told_at| age(told_at) >= RECORDED_FOR / 2)
    }

    /// Forgets what may begin no more streams.
    pub fn expire(&mut self, now: Duration) {
        self.0.retain(|_, told_at| now.saturating_sub(*told_at) < RECORDED_FOR);
    }
}
