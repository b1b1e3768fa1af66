//! Rates that upstreams name as their limit, and the instances that share them.
//!
//! Handles upstreams in need, which take a number of requests a second from all instances together. What one instance
//! learns of a limit is passed on to the others ([`NamedRates`]). The share of an instance that is cut off is held back
//! for it ([`Senders`]). See `docs/platform.md`, "Limits that upstreams name".

use std::{rc::Rc, time::Duration};

use indexmap::IndexMap;

use crate::{helpers::Helper, outlier::Key};

/// Time without a sign of an instance after which its share is held back for it. Signs arrive every 0.5 s and are passed
/// on within another 0.5 s.
pub const ABSENT_AFTER: Duration = Duration::from_secs(2);
/// Time without a sign of an instance after which it is forgotten; a partition may last for a minute.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(90);

/// What a response says of the limit of its upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Notice {
    /// The upstream takes this number of requests a second from all instances together.
    Limit(f64),
    /// It has no limit.
    NoLimit,
    /// It names a limit that cannot be read.
    Unreadable,
    /// The response does not tell.
    Silent,
}

/// What is known of the limit of an upstream's incarnation.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The upstream.
    pub upstream: Key,
    /// Requests a second that it takes from all instances together; `None` once its responses name no limit any more.
    pub per_second: Option<f64>,
    /// Time of the response that said so first.
    pub since: Duration,
}

#[derive(Clone, Debug)]
struct Known {
    per_second: Option<f64>,
    since: Duration,
    /// Whether it was observed by this process, or reported to it by the process that observed it.
    direct: bool,
    changed: u64,
}

/// Limits that upstreams have named.
#[derive(Clone, Debug, Default)]
pub struct NamedRates {
    known: IndexMap<Key, Known>,
    changes: u64,
}

impl NamedRates {
    /// Records the limit that a response names; `sent_at` is the time at which its request was sent. Returns whether that
    /// changes the limit.
    ///
    /// A response without a limit ends a limit only if its request was sent after the limit was named: others may have
    /// been made before.
    pub fn observe(
        &mut self,
        up: &Key,
        sent_at: Duration,
        now: Duration,
        per_second: Option<f64>,
    ) -> bool {
        let known = self.known.get(up);
        let current = known.and_then(|known| known.per_second);
        if current == per_second {
            return false;
        }
        if per_second.is_none() && known.is_some_and(|known| sent_at <= known.since) {
            return false;
        }
        self.store(Report { upstream: up.clone(), per_second, since: now }, true);
        true
    }

    /// Merges what another process knows; returns whether that changes anything. A rate that no upstream can name, from another
    /// version of the program, changes nothing.
    pub fn merge(&mut self, report: Report, direct: bool) -> bool {
        if report.per_second.is_some_and(|rate| !rate.is_finite() || rate < 0.0) {
            return false;
        }
        if let Some(known) = self.known.get_mut(&report.upstream) {
            if known.per_second == report.per_second {
                known.direct |= direct;
                return false;
            }
            if report.since <= known.since {
                return false;
            }
        }
        self.store(report, direct);
        true
    }

    fn store(&mut self, report: Report, direct: bool) {
        self.changes += 1;
        let Report { upstream, per_second, since } = report;
        let known = Known { per_second, since, direct, changed: self.changes };
        self.known.insert(upstream, known);
    }

    /// Limit of an upstream in requests a second; `None` if it has none.
    pub fn limit(&self, up: &Key) -> Option<f64> {
        self.known.get(up).and_then(|known| known.per_second)
    }

    /// What is known of the limit of an upstream.
    pub fn report(&self, up: &Key) -> Option<Report> {
        let Known { per_second, since, .. } = *self.known.get(up)?;
        Some(Report { upstream: up.clone(), per_second, since })
    }

    /// Cursor of the newest change.
    pub fn cursor(&self) -> u64 {
        self.changes
    }

    /// Whether [`Self::since`] returns anything.
    pub fn changed_since(&self, cursor: u64, direct_only: bool) -> bool {
        self.since(cursor, direct_only).next().is_some()
    }

    /// Limits that changed after a cursor; with `direct_only`, without what other processes only passed on.
    pub fn since(&self, cursor: u64, direct_only: bool) -> impl Iterator<Item = Report> {
        let changed = move |known: &Known| known.changed > cursor && (known.direct || !direct_only);
        self.known.iter().filter(move |(_, known)| changed(known)).map(|(up, known)| Report {
            upstream: up.clone(),
            per_second: known.per_second,
            since: known.since,
        })
    }

    /// Removes upstreams for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&Key) -> bool) {
        self.known.retain(|up, _| keep(up));
    }

    /// Number of upstreams with a limit.
    pub fn limited(&self) -> usize {
        self.known.values().filter(|known| known.per_second.is_some()).count()
    }
}

/// Instances that send requests to upstreams, with the time of the last sign of each.
#[derive(Clone, Debug, Default)]
pub struct Senders {
    seen: IndexMap<Rc<str>, Sign>,
}

#[derive(Clone, Debug)]
struct Sign {
    at: Duration,
    /// Where the instance takes requests of others, if it says so.
    helper: Option<Helper>,
    /// Time of the last sign that reached this process without another one between.
    direct_at: Option<Duration>,
}

impl Senders {
    /// Records a sign of an instance; `direct` if no other process passed it on.
    pub fn note(&mut self, name: &str, at: Duration, direct: bool) {
        let new = Sign { at, helper: None, direct_at: None };
        let sign = self.seen.entry(name.into()).or_insert(new);
        sign.at = sign.at.max(at);
        if direct {
            sign.direct_at = sign.direct_at.max(Some(at));
        }
    }

    /// Records where an instance takes requests of others.
    pub fn note_helper(&mut self, helper: Helper) {
        if let Some(sign) = self.seen.get_mut(&helper.name) {
            sign.helper = Some(helper);
        }
    }

    /// Where an instance takes requests of others.
    pub fn helper(&self, name: &str) -> Option<&Helper> {
        self.seen.get(name).and_then(|sign| sign.helper.as_ref())
    }

    /// Instances that take requests of others and gave a sign lately. Longer than a store takes to find its peers again after a
    /// partition, so that the list does not change with each one.
    pub fn helpers(&self, now: Duration) -> impl Iterator<Item = &Helper> {
        const LATELY: Duration = Duration::from_secs(10);
        let lately = self.seen.values().filter(move |sign| now.saturating_sub(sign.at) < LATELY);
        lately.filter_map(|sign| sign.helper.as_ref())
    }

    /// Instances that this process has direct signs of, with the time of the last one.
    pub fn direct(&self) -> impl Iterator<Item = (&Rc<str>, Duration)> {
        self.seen.iter().filter_map(|(name, sign)| Some((name, sign.direct_at?)))
    }

    /// Position of an instance in the order of names.
    pub fn rank(&self, name: &str) -> usize {
        self.seen.keys().filter(|other| ***other < *name).count()
    }

    /// Number of instances.
    pub fn count(&self) -> usize {
        self.seen.len()
    }

    /// Part of a rate that the instances in contact may use together; the rest are the shares of the others.
    pub fn rate_in_contact(&self, rate: f64, now: Duration) -> f64 {
        if self.seen.is_empty() {
            return rate;
        }
        let present = |sign: &&Sign| now.saturating_sub(sign.at) < ABSENT_AFTER;
        let present = self.seen.values().filter(present).count();
        rate * present as f64 / self.count() as f64
    }

    /// Forgets instances without a sign for a long time.
    pub fn expire(&mut self, now: Duration) {
        self.seen.retain(|_, sign| now.saturating_sub(sign.at) < FORGOTTEN_AFTER);
    }
}
