//! Permits to send requests to upstreams that name a limit.
//!
//! Handles more demand than limited upstreams take. The leader of the stores gives permits for all instances
//! ([`Permits`]); an instance that cannot reach it uses a fixed share ([`Fallback`]). See `docs/platform.md`, "Limits that
//! upstreams name".

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use indexmap::IndexMap;

use crate::outlier::Key;

/// Time for which unused permits of an upstream add up; it never has less than one.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Lowest rate that is told from zero, in requests a second.
const MIN_RATE: f64 = 0.001;
/// Retry advice for an upstream that takes nothing.
const CLOSED_RETRY: Duration = Duration::from_secs(1);
/// Permits that a more urgent profile may get in a row while a less urgent one waits.
const MAX_URGENT_STREAK: u32 = 3;

/// Answer to a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// The request may be sent after this time.
    After(Duration),
    /// There is no permit in time; the next one may be free after this time.
    Denied(Duration),
}

#[derive(Clone, Debug)]
struct Bucket {
    rate: f64,
    /// Time at which the permits given so far are used up at the named rate.
    used_until: Duration,
    /// Most urgent profile that was denied, and until when permits are kept for it.
    urgent: Option<(u32, Duration)>,
    /// Permits given in a row because of `urgent`.
    streak: u32,
}

/// Permits of all limited upstreams, given by one process at a time.
///
/// Each upstream has a token bucket that starts empty, because requests may be in flight from before.
#[derive(Clone, Debug, Default)]
pub struct Permits {
    term: u64,
    buckets: IndexMap<Key, Bucket>,
}

impl Permits {
    /// Starts anew in a term of leadership: another leader may have given permits in the meantime.
    pub fn begin_term(&mut self, term: u64) {
        if self.term != term {
            self.term = term;
            self.buckets.clear();
        }
    }

    /// Asks for a permit of an upstream that takes `rate` requests a second. `max_wait` is the longest time that the
    /// request may wait, `priority` the one of its profile; 0 is the highest.
    pub fn request(
        &mut self,
        up: &Key,
        rate: f64,
        priority: u32,
        max_wait: Duration,
        now: Duration,
    ) -> Permit {
        if is_closed(rate) {
            return Permit::Denied(CLOSED_RETRY);
        }
        let (interval, bucket) = self.bucket(up, rate, now);
        let wait = bucket.wait(interval, now);
        let yields = bucket.urgent.is_some_and(|(urgent, until)| urgent < priority && now < until)
            && bucket.streak < MAX_URGENT_STREAK;
        if wait > max_wait || yields {
            if bucket.urgent.is_none_or(|(urgent, until)| priority <= urgent || now >= until) {
                // The next permit is free after `wait`; whoever asks for it arrives within an interval of it.
                bucket.urgent = Some((priority, now + wait + interval));
            }
            return Permit::Denied(if yields { wait.max(interval) } else { wait });
        }
        let urgent = bucket.urgent.is_some_and(|(urgent, _)| priority <= urgent);
        bucket.streak = if urgent { bucket.streak + 1 } else { 0 };
        bucket.used_until = bucket.used_until.max(now) + interval;
        Permit::After(wait)
    }

    /// Whether a permit is free now.
    pub fn is_free(&mut self, up: &Key, rate: f64, now: Duration) -> bool {
        if is_closed(rate) {
            return false;
        }
        let (interval, bucket) = self.bucket(up, rate, now);
        bucket.wait(interval, now).is_zero()
    }

    /// Takes a permit that may not be free yet, for a request that cannot wait.
    pub fn take(&mut self, up: &Key, rate: f64, now: Duration) {
        if is_closed(rate) {
            return;
        }
        let (interval, bucket) = self.bucket(up, rate, now);
        bucket.used_until = bucket.used_until.max(now) + interval;
    }

    /// Removes upstreams for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&Key) -> bool) {
        self.buckets.retain(|up, _| keep(up));
    }

    /// Time between two permits, and the bucket of an upstream.
    fn bucket(&mut self, up: &Key, rate: f64, now: Duration) -> (Duration, &mut Bucket) {
        let interval = interval(rate);
        let empty = now + BURST_TIME.max(interval);
        let new = || Bucket { rate, used_until: empty, urgent: None, streak: 0 };
        let bucket = self.buckets.entry(up.clone()).or_insert_with(new);
        if bucket.rate < rate {
            // Permits given at the lower rate must not hold back those at the higher one for long.
            bucket.used_until = bucket.used_until.min(empty);
        }
        bucket.rate = rate;
        (interval, bucket)
    }
}

/// Whether an upstream takes nothing at a rate; neither does one whose rate is no number.
fn is_closed(rate: f64) -> bool {
    rate.is_nan() || rate < MIN_RATE
}

/// Time between two permits at a rate that is not closed; zero at rates that no upstream serves.
fn interval(rate: f64) -> Duration {
    Duration::try_from_secs_f64(1.0 / rate).unwrap_or_default()
}

impl Bucket {
    /// Time until the next permit is free.
    fn wait(&self, interval: Duration, now: Duration) -> Duration {
        let burst = BURST_TIME.max(interval);
        (self.used_until + interval).saturating_sub(now + burst)
    }
}

/// An instance among those that share the limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Its position in the order of names, from 0 on.
    pub rank: u32,
    /// Number of instances.
    pub of: u32,
}

/// Fixed share of an instance that cannot reach the leader: of the intervals at which a limited upstream takes requests,
/// every n-th of n instances. Unused ones are lost, so that instances cannot use saved shares at the same time.
#[derive(Clone, Debug, Default)]
pub struct Fallback {
    /// Last interval in which a request was sent to an upstream.
    used: IndexMap<Key, u64>,
}

impl Fallback {
    /// Asks for a permit of an upstream that takes `rate` requests a second. `unix_time` is the time since the Unix epoch;
    /// the clocks of the instances need to agree only roughly.
    pub fn request(
        &mut self,
        share: Share,
        up: &Key,
        rate: f64,
        max_wait: Duration,
        unix_time: Duration,
    ) -> Permit {
        // Without the number of instances the share is not known.
        if is_closed(rate) || share.of == 0 {
            return Permit::Denied(CLOSED_RETRY);
        }
        let count = u64::from(share.of);
        let mut hasher = DefaultHasher::new();
        up.hash(&mut hasher);
        // The hash spreads the instances' intervals of different upstreams over time.
        let own = (hasher.finish() % count + u64::from(share.rank)) % count;
        let current = (unix_time.as_secs_f64() * rate) as u64;
        // A last interval that is far ahead is from before the clock was set back.
        let latest = current.saturating_add(2 * count);
        let used = self.used.get(up).filter(|used| **used <= latest);
        let first = used.map_or(current, |used| current.max(used.saturating_add(1)));
        let next = first.saturating_add((own + count - first % count) % count);
        let until = Duration::try_from_secs_f64(next as f64 / rate).unwrap_or(Duration::MAX);
        let wait = until.saturating_sub(unix_time);
        if wait > max_wait {
            return Permit::Denied(wait);
        }
        self.used.insert(up.clone(), next);
        Permit::After(wait)
    }

    /// Removes upstreams for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&Key) -> bool) {
        self.used.retain(|up, _| keep(up));
    }
}
