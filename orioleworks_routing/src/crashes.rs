//! Contents that crash upstreams, on a platform where callers repeat a request through any gateway.
//!
//! Handles a request under which each upstream ends that begins to run it, and whose caller sends it again with a new
//! ID. Crashes are counted by the fingerprint of the content. Gateways and stores exchange them as reports, which can
//! be merged in any order and any number of times, so that all of them agree soon.
//!
//! [`crate::suspects`] solves the same problem for `orioleworks-entry`, whose failure domains own their upstreams: a
//! suspect waits there for seconds before it runs again. Callers here allow less than a second. Therefore the first
//! repeat runs at once, and what looked like a crash is withdrawn if the upstream announces itself again. See
//! `docs/platform.md`.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use indexmap::IndexMap;

use crate::{
    fleet::Fleet,
    outlier::Key,
    suspects::{CORRELATION_WINDOW, RETENTION},
};

/// Evidence from which a content is quarantined: two crashes that nothing else explains, or four that may be
/// coincidental.
const QUARANTINE_EVIDENCE: u32 = 4;
/// Evidence of a crash before the first output.
const STRONG_EVIDENCE: u32 = 2;
/// Evidence of a crash that may be coincidental.
const WEAK_EVIDENCE: u32 = 1;
/// First quarantine of a content; twice as long after each further crash, up to [`RETENTION`]. Content that was
/// quarantined by coincidence is refused no longer than this.
const FIRST_QUARANTINE: Duration = Duration::from_secs(60);
/// Time after a crash in which announcements arrive that the upstream sent before it.
const ANNOUNCEMENT_TRANSIT: Duration = Duration::from_millis(500);
/// Time from a broken connection to an announcement that shows that the upstream is still alive: the interval of
/// announcements, and the time to pass one on.
const REFUTATION_TIME: Duration = Duration::from_secs(2);
/// Time after a crash before a content is quarantined. Reports of other losses that explain the crash arrive by then.
const DECISION_TIME: Duration = Duration::from_millis(200);
/// Pause of an item whose content has as much evidence as a quarantined request, after its last crash.
const FIRST_ITEM_PAUSE: Duration = Duration::from_secs(1);
/// Pause of an item after each further crash. Longer than an engine takes to start again, so that the item costs one engine
/// at a time, and short compared with the time that a trainer waits for a step.
const FURTHER_ITEM_PAUSE: Duration = Duration::from_secs(2);
/// Key of the losses that were not observed by a run.
const NO_CONTENT: &str = "";
/// Largest number of contents; the oldest are evicted first.
const MAX_CONTENTS: usize = 4096;
/// Largest number of crashes of one content; the oldest are evicted first. At this number the quarantine has long had its
/// longest duration, also if each upstream has one crash of each kind.
const MAX_CRASHES: usize = 32;

/// How a run ended without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Observation {
    /// Nothing came back in time. This counts only if the upstream is known to have ended.
    Silence,
    /// The connection broke after some output.
    BrokenMidway,
    /// The connection broke before any output.
    BrokenAtStart,
    /// The upstream refused a connection, so that its process has ended. This says nothing of the content.
    Refused,
}

/// Whether and how a content may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Without restriction.
    Unrestricted,
    /// On one upstream at a time, because it may have crashed one.
    Suspect,
    /// Not while a run of this content, which may have crashed an upstream, is in progress; it ends at this time at the
    /// latest.
    AfterRun(Duration),
    /// Not before this time, at which it is known whether other losses explain its crashes.
    NotBefore(Duration),
    /// Not now; a repeat may be admitted at this time.
    Quarantined(Duration),
}

/// When and how an item of a batch may start. The store owes it to its trainer, so that it may always start within
/// seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemStart {
    /// Without restriction.
    Unrestricted,
    /// While no other suspect starts on the same upstream, because it may have crashed one.
    Suspect,
    /// Not before this time, because upstreams were lost under it one after another.
    NotBefore(Duration),
}

/// A possible crash of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Time at which the run ended.
    pub at: Duration,
    /// How the run ended.
    pub observation: Observation,
}

/// A run of a suspect. Only one at a time is started, so that a content does not crash a third upstream before the second
/// crash is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectRun {
    /// Start of the run.
    pub at: Duration,
    /// Time at which it ends at the latest.
    pub until: Duration,
}

/// Newest time of each kind of crash, by upstream. The newer time wins in any order of reports, also if a completed run lies
/// between the two.
pub type CrashTimes = BTreeMap<(Key, Observation), Duration>;

/// What is known of one content, as exchanged between gateways and stores.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Fingerprint of the content.
    pub fingerprint: Rc<str>,
    /// Possible crashes.
    pub crashes: CrashTimes,
    /// Newest time at which a run completed; earlier crashes say nothing of the content.
    pub completed_at: Option<Duration>,
    /// Newest run that was started as a suspect.
    pub run: Option<SuspectRun>,
}

#[derive(Clone, Debug, Default)]
struct Record {
    /// Includes crashes before the last completed run: they are still signs that an upstream was lost.
    crashes: CrashTimes,
    completed_at: Option<Duration>,
    run: Option<SuspectRun>,
    last_change: Duration,
    /// Position of the newest change.
    changed: u64,
    /// Position of the newest change that this process observed or that was reported to it directly.
    changed_directly: u64,
}

/// Possible crashes of upstreams, by the content that was in flight on them.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    records: IndexMap<Rc<str>, Record>,
    /// Number of contents with a possible crash.
    suspects: usize,
    changes: u64,
    /// Position of the newest change that no other store passed on.
    direct_changes: u64,
}

impl Crashes {
    /// Number of contents with a possible crash.
    pub fn len(&self) -> usize {
        self.suspects
    }

    /// Upstreams that may have crashed.
    pub fn upstreams(&self) -> impl Iterator<Item = &Key> {
        self.records.values().flat_map(|r| r.crashes.keys()).map(|(upstream, _)| upstream)
    }

    /// Whether no content has a possible crash.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records how a run ended; returns whether that is new.
    pub fn record(
        &mut self,
        fingerprint: &Rc<str>,
        upstream: &Key,
        at: Duration,
        observation: Observation,
    ) -> bool {
        let crashes = CrashTimes::from([((upstream.clone(), observation), at)]);
        let fingerprint = fingerprint.clone();
        self.merge(Report { fingerprint, crashes, completed_at: None, run: None }, at, true)
    }

    /// Records that a run of a suspect starts, or with `until` = `now` that it has ended without a crash; returns whether
    /// the content is a suspect.
    pub fn record_run(&mut self, fingerprint: &Rc<str>, now: Duration, until: Duration) -> bool {
        if !self.records.get(fingerprint).is_some_and(Record::is_suspect) {
            return false;
        }
        let run = Some(SuspectRun { at: now, until });
        let (fingerprint, crashes) = (fingerprint.clone(), CrashTimes::new());
        self.merge(Report { fingerprint, crashes, completed_at: None, run }, now, true)
    }

    /// Records that an upstream refused a connection; returns whether that is new. It may explain crashes around then.
    pub fn record_refusal(&mut self, upstream: &Key, at: Duration) -> bool {
        self.record(&NO_CONTENT.into(), upstream, at, Observation::Refused)
    }

    /// Records that a run has completed, which shows that earlier losses were coincidental; returns whether there were
    /// any.
    pub fn record_completion(&mut self, fingerprint: &str, now: Duration) -> bool {
        let Some((fingerprint, record)) = self.records.get_key_value(fingerprint) else {
            return false;
        };
        if !record.is_suspect() {
            return false;
        }
        let (fingerprint, completed_at) = (fingerprint.clone(), Some(now));
        let crashes = CrashTimes::new();
        self.merge(Report { fingerprint, crashes, completed_at, run: None }, now, true)
    }

    /// Merges a report; returns whether it changed anything. `direct` tells that it does not come from another store.
    pub fn merge(&mut self, report: Report, now: Duration, direct: bool) -> bool {
        if !self.records.contains_key(&report.fingerprint) {
            if report.crashes.is_empty() {
                return false;
            }
            if self.records.len() >= MAX_CONTENTS
                && let Some((_, oldest)) = self.records.shift_remove_index(0)
            {
                self.suspects -= usize::from(oldest.is_suspect());
            }
        }
        let record = self.records.entry(report.fingerprint).or_default();
        let was_suspect = record.is_suspect();
        let changed = record.merge(report.crashes, report.completed_at, report.run);
        self.suspects += usize::from(record.is_suspect());
        self.suspects -= usize::from(was_suspect);
        if changed {
            self.changes += 1;
            record.changed = self.changes;
            record.last_change = now;
            if direct {
                record.changed_directly = self.changes;
                self.direct_changes = self.changes;
            }
        }
        changed
    }

    /// Whether and how a caller's request may run now.
    pub fn admission(&self, fingerprint: &str, fleet: &Fleet, now: Duration) -> Admission {
        let Some(record) = self.records.get(fingerprint) else { return Admission::Unrestricted };
        let evidence = self.evidence(record, fleet);
        if evidence == 0 {
            return Admission::Unrestricted;
        }
        if evidence < QUARANTINE_EVIDENCE {
            return record.suspect_admission(now);
        }
        let last = record.last_crash(fleet);
        if now < last + DECISION_TIME {
            return Admission::NotBefore(last + DECISION_TIME);
        }
        let ended = |upstream: &Key, _: &Crash| !is_known(upstream, fleet);
        let explained = |crash: &Crash| self.explained_weight(record, crash, fleet);
        if record.evidence(ended, explained) < QUARANTINE_EVIDENCE {
            return Admission::Quarantined(now + REFUTATION_TIME);
        }
        let further = (evidence - QUARANTINE_EVIDENCE) / STRONG_EVIDENCE;
        let time = FIRST_QUARANTINE.saturating_mul(2_u32.saturating_pow(further)).min(RETENTION);
        if now < last + time {
            Admission::Quarantined(last + time)
        } else {
            record.suspect_admission(now)
        }
    }

    /// When and how an item with this content may start. Evidence that quarantines a request pauses an item.
    pub fn item_start(&self, fingerprint: &str, fleet: &Fleet, now: Duration) -> ItemStart {
        let Some(record) = self.records.get(fingerprint) else { return ItemStart::Unrestricted };
        let evidence = self.evidence(record, fleet);
        if evidence == 0 {
            return ItemStart::Unrestricted;
        }
        let pause = if evidence < QUARANTINE_EVIDENCE {
            Duration::ZERO
        } else if evidence < QUARANTINE_EVIDENCE + STRONG_EVIDENCE {
            FIRST_ITEM_PAUSE
        } else {
            FURTHER_ITEM_PAUSE
        };
        let at = record.last_crash(fleet) + pause;
        if now < at { ItemStart::NotBefore(at) } else { ItemStart::Suspect }
    }

    /// Evidence of the crashes of a content that stand.
    fn evidence(&self, record: &Record, fleet: &Fleet) -> u32 {
        let standing = |upstream: &Key, crash: &Crash| is_standing(upstream, crash, fleet);
        match record.evidence(standing, weight) {
            // The search for an explanation is needed only if it decides.
            evidence if evidence < QUARANTINE_EVIDENCE => evidence,
            _ => record.evidence(standing, |crash| self.explained_weight(record, crash, fleet)),
        }
    }

    fn explained_weight(&self, record: &Record, crash: &Crash, fleet: &Fleet) -> u32 {
        if self.has_explanation(record, crash, fleet) { WEAK_EVIDENCE } else { weight(crash) }
    }

    /// Whether another upstream, on which the content was not in flight, was lost around the time of a crash. Then both
    /// may have a common cause outside the content.
    fn has_explanation(&self, record: &Record, crash: &Crash, fleet: &Fleet) -> bool {
        let losses = self.records.values().flat_map(Record::crashes);
        let mut around = losses.filter(|(_, loss)| {
            loss.observation != Observation::Silence
                && loss.at.abs_diff(crash.at) <= CORRELATION_WINDOW
        });
        around.any(|(other, loss)| {
            !record.counting().any(|(upstream, _)| upstream == other)
                && is_standing(other, &loss, fleet)
        })
    }

    /// Position of the newest change, for [`Self::since`].
    pub fn cursor(&self) -> u64 {
        self.changes
    }

    /// Whether [`Self::since`] returns anything.
    pub fn changed_since(&self, cursor: u64, direct_only: bool) -> bool {
        if direct_only { self.direct_changes > cursor } else { self.changes > cursor }
    }

    /// Contents that changed after a position; with `direct_only`, only by what was not learnt from another store.
    pub fn since(&self, cursor: u64, direct_only: bool) -> impl Iterator<Item = Report> {
        let changed = move |record: &Record| {
            if direct_only { record.changed_directly } else { record.changed }
        };
        let newer = self.records.iter().filter(move |(_, record)| changed(record) > cursor);
        newer.map(|(fingerprint, record)| Report {
            fingerprint: fingerprint.clone(),
            crashes: record.crashes.clone(),
            completed_at: record.completed_at,
            run: record.run,
        })
    }

    /// Removes records that no quarantine needs any more.
    pub fn expire(&mut self, now: Duration) {
        // The next quarantine after the longest one is as long again, if a crash follows it closely.
        self.records.retain(|_, record| record.last_change + RETENTION * 2 > now);
        self.suspects = self.records.values().filter(|record| record.is_suspect()).count();
    }
}

impl Record {
    /// Merges what another process knows; returns whether it changed anything.
    fn merge(
        &mut self,
        crashes: CrashTimes,
        completed_at: Option<Duration>,
        run: Option<SuspectRun>,
    ) -> bool {
        let mut changed = completed_at > self.completed_at;
        if run.map(|run| run.at) > self.run.map(|run| run.at) {
            self.run = run;
            changed = true;
        }
        self.completed_at = self.completed_at.max(completed_at);
        for (crash, at) in crashes {
            if self.crashes.get(&crash).is_none_or(|known| *known < at) {
                self.crashes.insert(crash, at);
                changed = true;
            }
        }
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, at)| **at).map(|(key, _)| key.clone());
            oldest.and_then(|key| self.crashes.remove(&key));
        }
        changed
    }

    /// All crashes with their upstreams.
    fn crashes(&self) -> impl Iterator<Item = (&Key, Crash)> {
        let crashes = self.crashes.iter();
        crashes.map(|((upstream, observation), at)| {
            (upstream, Crash { at: *at, observation: *observation })
        })
    }

    /// Crashes since the last completed run.
    fn counting(&self) -> impl Iterator<Item = (&Key, Crash)> {
        let completed_at = self.completed_at;
        self.crashes().filter(move |(_, crash)| completed_at.is_none_or(|at| crash.at > at))
    }

    /// How a suspect may run now: not beside another run of it.
    fn suspect_admission(&self, now: Duration) -> Admission {
        let crashed = |run: &SuspectRun| self.crashes.values().any(|at| *at > run.at);
        let in_progress = self.run.filter(|run| now < run.until && !crashed(run));
        in_progress.map_or(Admission::Suspect, |run| Admission::AfterRun(run.until))
    }

    /// Whether a crash counts against the content; a refused connection never does.
    fn is_suspect(&self) -> bool {
        self.counting().any(|(_, crash)| weight(&crash) > 0)
    }

    /// Evidence of those crashes that `counts` selects: for each upstream that of the strongest.
    fn evidence(
        &self,
        counts: impl Fn(&Key, &Crash) -> bool,
        weight: impl Fn(&Crash) -> u32,
    ) -> u32 {
        let mut strongest: BTreeMap<&Key, u32> = BTreeMap::new();
        for (upstream, crash) in self.counting().filter(|(upstream, crash)| counts(upstream, crash))
        {
            let evidence = strongest.entry(upstream).or_default();
            *evidence = weight(&crash).max(*evidence);
        }
        strongest.values().sum()
    }

    /// Time of the last crash that stands.
    fn last_crash(&self, fleet: &Fleet) -> Duration {
        let standing = self.counting().filter(|(up, crash)| is_standing(up, crash, fleet));
        standing.map(|(_, crash)| crash.at).max().unwrap_or_default()
    }
}

fn weight(crash: &Crash) -> u32 {
    match crash.observation {
        Observation::BrokenAtStart => STRONG_EVIDENCE,
        Observation::BrokenMidway | Observation::Silence => WEAK_EVIDENCE,
        Observation::Refused => 0,
    }
}

/// Whether this start of an upstream has not been replaced or removed.
fn is_known(upstream: &Key, fleet: &Fleet) -> bool {
    fleet.get(&upstream.0).is_some_and(|known| known.upstream.incarnation == upstream.1)
}

/// Whether the upstream has ended as far as known: for a broken connection until it announces itself again, after
/// silence once another start has taken its place.
fn is_standing(upstream: &Key, crash: &Crash, fleet: &Fleet) -> bool {
    if !is_known(upstream, fleet) {
        return true;
    }
    let announced = fleet.get(&upstream.0).map(|known| known.last_seen);
    crash.observation != Observation::Silence
        && announced.is_none_or(|at| at <= crash.at + ANNOUNCEMENT_TRANSIT)
}
