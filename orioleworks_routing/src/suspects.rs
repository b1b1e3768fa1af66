//! Requests that crash upstreams; see `docs/design.md`, section 7.
//!
//! ```
//! use std::time::Duration;
//! use orioleworks_routing::suspects::{Admission, Suspects};
//!
//! let mut suspects = Suspects::default();
//! suspects.record_upstream_loss(Duration::ZERO, "engine-1#1".into(), [("f".into(), "p".into())], 12);
//! assert_eq!(suspects.admission("f", Duration::ZERO), Admission::NotBefore(Duration::from_millis(2500)));
//! assert_eq!(suspects.admission("f", Duration::from_secs(3)), Admission::Isolated);
//! ```

use std::{rc::Rc, time::Duration};

use indexmap::{IndexMap, IndexSet};

/// Upstream losses within this time of each other may be correlated.
pub const CORRELATION_WINDOW: Duration = Duration::from_secs(2);
/// Fewest losses that may be correlated.
const MIN_CORRELATED_LOSSES: usize = 2;
/// One in this many upstreams of the domain must be lost for the losses to be correlated: a rack holds at least as many,
/// while independent crashes seldom reach it.
const CORRELATED_LOSS_RATIO: usize = 4;
/// Delay after a crash before a suspect may run again. Within this delay, correlated losses are detected, and then
/// reports of crashes in other failure domains arrive, so that a second upstream is not lost before both are known.
pub const RETRY_DELAY: Duration = Duration::from_millis(2500);
/// Delay between the retries of two entries of a domain, so that the report of a crash arrives in between.
const RETRY_STAGGER: Duration = Duration::from_secs(1);
/// Number of crashes after which a request is quarantined.
pub const QUARANTINE_CRASHES: usize = 2;
/// Time for which a suspect is kept.
pub const RETENTION: Duration = Duration::from_secs(600);
/// Largest number of remembered fingerprints of contents that have finished; the oldest are evicted first.
const MAX_COMPLETED: usize = 65_536;
/// Largest number of dismissed crashes in one digest to the other entries of a domain.
const MAX_DISMISSED_REPORTS: usize = 1000;
/// Time for which an upstream loss is kept; an expired lease is detected one lease duration after the loss.
const LOSS_RETENTION: Duration = Duration::from_secs(8);

/// Whether and how a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Without restriction.
    Unrestricted,
    /// Not before this time. Until then the crash may turn out to be one of several correlated losses.
    NotBefore(Duration),
    /// Only on an upstream that runs no other request.
    Isolated,
    /// Not at all.
    Quarantined,
}

/// Report of a crash, as exchanged between entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Fingerprint of profile and content.
    pub fingerprint: Rc<str>,
    /// Profile.
    pub profile: Rc<str>,
    /// Upstream incarnation that was lost, as `name#incarnation`.
    pub upstream: Rc<str>,
    /// Total number of known crashes of the request.
    pub crashes: usize,
    /// Whether the crash can no longer turn out to be one of several correlated losses.
    pub settled: bool,
    /// Whether the sender dismissed the crash as one of several correlated losses.
    pub dismissed: bool,
}

#[derive(Clone, Debug)]
struct Record {
    profile: Rc<str>,
    crashes: IndexSet<Rc<str>>,
    last_crash: Duration,
    /// Time from which crashes count as evidence although the losses look correlated, because this request was in
    /// flight on all of the lost upstreams.
    decide_at: Option<Duration>,
    /// Whether other failure domains were notified.
    notified: bool,
}

impl Record {
    fn is_settled(&self, now: Duration) -> bool {
        self.decide_at.is_none()
            && (self.warrants_quarantine() || now >= self.last_crash + CORRELATION_WINDOW)
    }

    fn warrants_quarantine(&self) -> bool {
        self.crashes.len() >= QUARANTINE_CRASHES && self.decide_at.is_none()
    }
}

#[derive(Clone, Debug)]
struct DismissedCrashes {
    at: Duration,
    profile: Rc<str>,
    upstreams: IndexSet<Rc<str>>,
}

#[derive(Clone, Debug)]
struct Loss {
    at: Duration,
    upstream: Rc<str>,
}

/// Suspects of a failure domain. Upstream incarnations have the form `name#incarnation`.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    records: IndexMap<Rc<str>, Record>,
    losses: Vec<Loss>,
    /// Upstream losses that do not count as evidence.
    dismissed_upstreams: IndexMap<Rc<str>, Duration>,
    /// Crashes on dismissed upstreams, by fingerprint; they count again for a request that was in flight on all
    /// upstreams lost around that time.
    dismissed_crashes: IndexMap<Rc<str>, DismissedCrashes>,
    /// Number of live upstreams at the last loss.
    live: usize,
    /// Additional delay of this entry, so that the entries of a domain do not retry a suspect at the same time.
    retry_stagger: Duration,
    /// Evidence that a later run without a crash refuted, by fingerprint and upstream.
    refuted: IndexMap<(Rc<str>, Rc<str>), Duration>,
    /// Fingerprints of contents that have finished without a crash.
    completed: IndexSet<Rc<str>>,
}

impl Suspects {
    /// Records the loss of an upstream with these requests, as (fingerprint, profile), in flight on it.
    ///
    /// `live` is the number of upstreams of the domain that are still live. Returns the fingerprints to quarantine
    /// because of the loss.
    pub fn record_upstream_loss(
        &mut self,
        at: Duration,
        upstream: Rc<str>,
        in_flight: impl IntoIterator<Item = (Rc<str>, Rc<str>)>,
        live: usize,
    ) -> Vec<Rc<str>> {
        self.expire(at);
        self.live = live;
        let at = self.add_loss(at, &upstream);
        let mut quarantine = Vec::new();
        for (fingerprint, profile) in in_flight {
            if self.add_crash(at, &fingerprint, &profile, &upstream)
                && !quarantine.contains(&fingerprint)
            {
                quarantine.push(fingerprint);
            }
        }
        if self.is_correlated(at) {
            self.dismiss_correlated(at);
        }
        // The dismissal may have withdrawn evidence.
        quarantine.retain(|f| self.records.get(f).is_some_and(Record::warrants_quarantine));
        quarantine
    }

    /// Takes the requests whose crashes have become evidence by this time, as (fingerprint, profile).
    pub fn take_decided(&mut self, now: Duration) -> Vec<(Rc<str>, Rc<str>)> {
        let due = self.records.iter_mut().filter(|(_, r)| r.decide_at.is_some_and(|at| at <= now));
        due.map(|(fingerprint, record)| {
            record.decide_at = None;
            (fingerprint.clone(), record.profile.clone())
        })
        .collect()
    }

    /// Sets the position of this entry among the live ones of its domain, from 0.
    ///
    /// The position determines the delay of its retries. Two entries that retry a suspect at the same time could lose
    /// two more upstreams.
    pub fn set_retry_position(&mut self, position: u32) {
        self.retry_stagger = RETRY_STAGGER * position;
    }

    /// Whether and how a request may run now.
    pub fn admission(&self, fingerprint: &str, now: Duration) -> Admission {
        match self.records.get(fingerprint) {
            None => Admission::Unrestricted,
            Some(r) if r.last_crash + RETENTION <= now => Admission::Unrestricted,
            Some(r) if r.decide_at.is_some_and(|at| now < at) => {
                Admission::NotBefore(r.last_crash + RETRY_DELAY)
            }
            Some(r) if r.crashes.len() >= QUARANTINE_CRASHES => Admission::Quarantined,
            Some(r) if now < r.last_crash + RETRY_DELAY + self.retry_stagger => {
                Admission::NotBefore(r.last_crash + RETRY_DELAY + self.retry_stagger)
            }
            Some(_) => Admission::Isolated,
        }
    }

    /// How a request may run whose result is owed to a trainer. Where another one is quarantined, it runs isolated after
    /// the delay, so that it costs one upstream at a time.
    pub fn owed_admission(&self, fingerprint: &str, now: Duration) -> Admission {
        match (self.admission(fingerprint, now), self.records.get(fingerprint)) {
            (Admission::Quarantined, Some(r)) => {
                let retry_at = r.last_crash + RETRY_DELAY + self.retry_stagger;
                if now < retry_at { Admission::NotBefore(retry_at) } else { Admission::Isolated }
            }
            (admission, _) => admission,
        }
    }

    /// Clears a suspect that finished without a crash, or that an operator released.
    pub fn clear(&mut self, fingerprint: &str, now: Duration) {
        if let Some((fingerprint, record)) = self.records.shift_remove_entry(fingerprint) {
            for upstream in record.crashes {
                self.refuted.insert((fingerprint.clone(), upstream), now);
            }
        }
    }

    /// Reports of all suspects, one for each crash.
    pub fn reports(&self, now: Duration) -> Vec<Report> {
        let reports = self.records.iter().flat_map(|(fingerprint, record)| {
            record.crashes.iter().map(|upstream| Report {
                fingerprint: fingerprint.clone(),
                profile: record.profile.clone(),
                upstream: upstream.clone(),
                crashes: record.crashes.len(),
                settled: record.is_settled(now),
                dismissed: false,
            })
        });
        reports.collect()
    }

    /// Reports of dismissed crashes, newest first. An entry alone may not see that the losses had a request in common.
    pub fn dismissed_reports(&self) -> Vec<Report> {
        let reports = self.dismissed_crashes.iter().rev().flat_map(|(fingerprint, dismissed)| {
            dismissed.upstreams.iter().map(|upstream| Report {
                fingerprint: fingerprint.clone(),
                profile: dismissed.profile.clone(),
                upstream: upstream.clone(),
                crashes: 1,
                settled: false,
                dismissed: true,
            })
        });
        reports.take(MAX_DISMISSED_REPORTS).collect()
    }

    /// Merges a report of another entry of the domain; returns whether to quarantine the request now.
    pub fn merge_report(&mut self, now: Duration, report: &Report) -> bool {
        let crash = (report.fingerprint.clone(), report.upstream.clone());
        if self.refuted.contains_key(&crash) {
            return false;
        }
        let suspected = self.records.contains_key(&report.fingerprint);
        if self.dismissed_upstreams.contains_key(&report.upstream)
            || (report.dismissed && !suspected)
        {
            self.add_loss(now, &report.upstream);
            self.add_dismissed_crash(now, &report.fingerprint, &report.profile, &report.upstream);
            self.restore_dismissed(now, report);
            return false;
        }
        let known = self
            .records
            .get(&report.fingerprint)
            .is_some_and(|r| r.crashes.contains(&report.upstream));
        if !known {
            // Another entry detected the loss before the lease expires here. Only the first report of a crash adds a
            // loss.
            self.add_loss(now, &report.upstream);
        }
        self.add_crash(now, &report.fingerprint, &report.profile, &report.upstream) && !known
    }

    /// Merges a report of a settled crash in another failure domain; returns whether to quarantine the request now.
    ///
    /// The loss is not in this domain, so it is not correlated with losses here. Crashes that are not settled are
    /// ignored, because otherwise the loss of a whole domain would make all of its requests suspects in the others.
    pub fn merge_remote_report(&mut self, now: Duration, report: &Report) -> bool {
        let crash = (report.fingerprint.clone(), report.upstream.clone());
        if !report.settled || self.refuted.contains_key(&crash) {
            return false;
        }
        let record = self.records.get(&report.fingerprint);
        let known = record.is_some_and(|r| r.crashes.contains(&report.upstream));
        !known && self.add_crash(now, &report.fingerprint, &report.profile, &report.upstream)
    }

    /// Whether a suspect has settled since the last call, so that other failure domains must be notified.
    pub fn take_newly_settled(&mut self, now: Duration) -> bool {
        let mut settled = false;
        for record in self.records.values_mut().filter(|r| !r.notified && r.is_settled(now)) {
            record.notified = true;
            settled = true;
        }
        settled
    }

    /// Adds a crash; returns whether to quarantine the request now.
    fn add_crash(
        &mut self,
        now: Duration,
        fingerprint: &Rc<str>,
        profile: &Rc<str>,
        upstream: &Rc<str>,
    ) -> bool {
        self.completed.shift_remove(fingerprint);
        let correlated = self.is_correlated(now);
        let record = self.records.entry(fingerprint.clone()).or_insert_with(|| Record {
            profile: profile.clone(),
            crashes: IndexSet::new(),
            last_crash: now,
            decide_at: None,
            notified: false,
        });
        if record.crashes.insert(upstream.clone()) {
            (record.last_crash, record.notified) = (now, false);
            if correlated && record.crashes.len() >= QUARANTINE_CRASHES {
                // Further losses within this time may show that the request did not cause them.
                record.decide_at = Some(now + CORRELATION_WINDOW);
            }
        }
        record.warrants_quarantine()
    }

    /// Whether so many upstreams were lost around a time that the losses are not evidence against their requests.
    fn is_correlated(&self, at: Duration) -> bool {
        let lost = self.losses.iter().filter(|l| l.at.abs_diff(at) <= CORRELATION_WINDOW).count();
        lost >= MIN_CORRELATED_LOSSES && lost * CORRELATED_LOSS_RATIO >= self.live + lost
    }

    fn add_dismissed_crash(
        &mut self,
        now: Duration,
        fingerprint: &Rc<str>,
        profile: &Rc<str>,
        upstream: &Rc<str>,
    ) {
        let dismissed = self.dismissed_crashes.entry(fingerprint.clone()).or_insert_with(|| {
            DismissedCrashes { at: now, profile: profile.clone(), upstreams: IndexSet::new() }
        });
        if dismissed.upstreams.insert(upstream.clone()) {
            dismissed.at = now;
        }
    }

    /// Counts dismissed crashes of a request again if it was in flight on every upstream lost around this time.
    fn restore_dismissed(&mut self, now: Duration, report: &Report) {
        let Some(dismissed) = self.dismissed_crashes.get(&report.fingerprint) else {
            return;
        };
        let upstreams = &dismissed.upstreams;
        let Some(loss) = self.losses.iter().find(|l| l.upstream == report.upstream) else {
            return;
        };
        let mut around =
            self.losses.iter().filter(|l| l.at.abs_diff(loss.at) <= CORRELATION_WINDOW);
        if upstreams.len() < QUARANTINE_CRASHES || !around.all(|l| upstreams.contains(&l.upstream))
        {
            return;
        }
        let crashes = upstreams.clone();
        self.dismissed_crashes.shift_remove(&report.fingerprint);
        let decide_at = Some(now + CORRELATION_WINDOW);
        let (profile, notified) = (report.profile.clone(), false);
        let record = Record { profile, crashes, last_crash: now, decide_at, notified };
        self.records.insert(report.fingerprint.clone(), record);
    }

    /// Adds an upstream loss; returns the earliest time that is known for it.
    fn add_loss(&mut self, at: Duration, upstream: &Rc<str>) -> Duration {
        if let Some(loss) = self.losses.iter_mut().find(|l| l.upstream == *upstream) {
            loss.at = loss.at.min(at);
            return loss.at;
        }
        self.losses.push(Loss { at, upstream: upstream.clone() });
        at
    }

    /// Records that a request has finished without a crash.
    pub fn mark_completed(&mut self, fingerprint: &Rc<str>) {
        if self.completed.len() >= MAX_COMPLETED && !self.completed.contains(fingerprint) {
            // Evicts half at a time, because removal from the front moves every later element.
            drop(self.completed.drain(..MAX_COMPLETED / 2));
        }
        self.completed.insert(fingerprint.clone());
    }

    /// Largest number of upstreams that may run requests of this content concurrently; `None` for no limit.
    ///
    /// Content that has never finished runs on one upstream. Otherwise concurrent copies of a request that crashes
    /// upstreams could crash several at once, which would look like correlated losses.
    pub fn max_upstreams(&self, fingerprint: &str) -> Option<usize> {
        if self.completed.contains(fingerprint) { None } else { Some(1) }
    }

    /// Withdraws the evidence of all losses that are correlated with one at this time, except for requests that were in
    /// flight on every one of the lost upstreams, because these may be the common cause.
    fn dismiss_correlated(&mut self, at: Duration) {
        let around = self.losses.iter().filter(|l| l.at.abs_diff(at) <= CORRELATION_WINDOW);
        let lost: Vec<Rc<str>> = around.map(|l| l.upstream.clone()).collect();
        for upstream in &lost {
            self.dismissed_upstreams.insert(upstream.clone(), at);
        }
        let mut withdrawn = Vec::new();
        self.records.retain(|fingerprint, record| {
            if lost.iter().all(|upstream| record.crashes.contains(upstream)) {
                return true;
            }
            for upstream in &lost {
                if record.crashes.shift_remove(upstream) {
                    let profile = record.profile.clone();
                    withdrawn.push((fingerprint.clone(), profile, upstream.clone()));
                }
            }
            if record.crashes.len() < QUARANTINE_CRASHES {
                record.decide_at = None;
            }
            !record.crashes.is_empty()
        });
        for (fingerprint, profile, upstream) in withdrawn {
            self.add_dismissed_crash(at, &fingerprint, &profile, &upstream);
        }
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: Duration) {
        self.losses.retain(|l| l.at + LOSS_RETENTION > now);
        self.records.retain(|_, r| r.last_crash + RETENTION > now);
        self.dismissed_upstreams.retain(|_, at| *at + RETENTION > now);
        self.refuted.retain(|_, at| *at + RETENTION > now);
        self.dismissed_crashes.retain(|_, dismissed| dismissed.at + LOSS_RETENTION > now);
    }
}
