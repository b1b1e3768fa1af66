//! Tests of contents that crash upstreams.

use std::{rc::Rc, time::Duration};

use orioleworks_routing::{
    crashes::{Admission, CrashTimes, Crashes, ItemStart, Observation, Report},
    fleet::{Fleet, Upstream},
    outlier::Key,
    suspects::RETENTION,
};
use proptest::prelude::*;
use rstest::rstest;

const CONTENT: &str = "poison";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn key(n: u64) -> Key {
    (Rc::from(format!("up-{n}")), 1)
}

/// Fleet of upstreams that announced themselves at time 0.
fn fleet(count: u64) -> Fleet {
    let mut fleet = Fleet::default();
    (0..count).for_each(|n| announce(&mut fleet, n, 1, 1, ms(0)));
    fleet
}

fn announce(fleet: &mut Fleet, n: u64, incarnation: u64, sequence: u64, at: Duration) {
    let address = Rc::from(format!("10.0.0.{n}:80"));
    let id = key(n).0;
    fleet.announce(at, Upstream { id, incarnation, sequence, address, ..Default::default() }, true);
}

fn record(crashes: &mut Crashes, content: &str, upstream: u64, at: Duration) {
    crashes.record(&Rc::from(content), &key(upstream), at, Observation::BrokenAtStart);
}

fn is_quarantined(crashes: &Crashes, content: &str, fleet: &Fleet, now: Duration) -> bool {
    matches!(crashes.admission(content, fleet, now), Admission::Quarantined(_))
}

fn pass_on(from: &Crashes, to: &mut Crashes, now: Duration) {
    for report in from.since(0, true) {
        to.merge(report, now, false);
    }
}

/// Guards against a third upstream that is lost to a content, and against a suspect that runs on two at the same time.
#[test]
fn the_second_crash_quarantines_a_content() {
    let (mut crashes, fleet) = (Crashes::default(), fleet(4));
    assert_eq!(crashes.admission(CONTENT, &fleet, ms(1000)), Admission::Unrestricted);
    record(&mut crashes, CONTENT, 0, ms(1000));
    assert_eq!(crashes.admission(CONTENT, &fleet, ms(1000)), Admission::Suspect);
    record(&mut crashes, CONTENT, 1, ms(1010));
    assert_eq!(crashes.admission(CONTENT, &fleet, ms(1010)), Admission::NotBefore(ms(1210)));
    assert!(is_quarantined(&crashes, CONTENT, &fleet, ms(1210)));
    assert_eq!(crashes.admission("other", &fleet, ms(1210)), Admission::Unrestricted);
}

/// Guards against a third upstream that is lost because a repeat runs beside the second run of a content, and against
/// repeats that wait for a run that has ended.
#[rstest]
#[case::crashes(|crashes: &mut Crashes| record(crashes, CONTENT, 1, ms(1100)), None)]
#[case::completes(|crashes: &mut Crashes| assert!(crashes.record_completion(CONTENT, ms(1100))), Some(Admission::Unrestricted))]
#[case::ends_otherwise(
    |crashes: &mut Crashes| assert!(crashes.record_run(&Rc::from(CONTENT), ms(1100), ms(1100))),
    Some(Admission::Suspect)
)]
#[case::never_ends(|_: &mut Crashes| (), Some(Admission::AfterRun(ms(2000))))]
fn a_suspect_runs_once_at_a_time(
    #[case] end: impl Fn(&mut Crashes),
    #[case] expected: Option<Admission>,
) {
    let (mut crashes, fleet) = (Crashes::default(), fleet(6));
    assert!(!crashes.record_run(&Rc::from(CONTENT), ms(900), ms(2000)), "no suspect yet");
    record(&mut crashes, CONTENT, 0, ms(1000));
    assert!(crashes.record_run(&Rc::from(CONTENT), ms(1000), ms(2000)));
    let mut elsewhere = Crashes::default();
    pass_on(&crashes, &mut elsewhere, ms(1002));
    for known in [&crashes, &elsewhere] {
        let admission = known.admission(CONTENT, &fleet, ms(1050));
        assert_eq!(admission, Admission::AfterRun(ms(2000)));
    }
    end(&mut crashes);
    pass_on(&crashes, &mut elsewhere, ms(1102));
    for known in [&crashes, &elsewhere] {
        match expected {
            Some(expected) => assert_eq!(known.admission(CONTENT, &fleet, ms(1300)), expected),
            None => assert!(is_quarantined(known, CONTENT, &fleet, ms(1300))),
        }
        assert_ne!(known.admission(CONTENT, &fleet, ms(2000)), Admission::AfterRun(ms(2000)));
    }
}

/// Guards against two broken connections to one upstream that count as two crashes.
#[test]
fn an_upstream_counts_once() {
    let (mut crashes, fleet) = (Crashes::default(), fleet(4));
    (0..5).for_each(|n| record(&mut crashes, CONTENT, 0, ms(1000 + n)));
    assert_eq!(crashes.admission(CONTENT, &fleet, ms(1100)), Admission::Suspect);
}

/// Guards against the quarantine of a request whose responses were lost on the way while its upstreams went on.
#[test]
fn an_upstream_that_announces_itself_again_has_not_crashed() {
    let (mut crashes, mut fleet) = (Crashes::default(), fleet(4));
    record(&mut crashes, CONTENT, 0, ms(1000));
    record(&mut crashes, CONTENT, 1, ms(1010));
    // Sent before the crash and still on its way.
    announce(&mut fleet, 0, 1, 2, ms(1100));
    assert!(is_quarantined(&crashes, CONTENT, &fleet, ms(1300)));
    announce(&mut fleet, 0, 1, 3, ms(2200));
    assert_eq!(crashes.admission(CONTENT, &fleet, ms(2200)), Admission::Suspect);
    announce(&mut fleet, 1, 1, 2, ms(2300));
    assert_eq!(crashes.admission(CONTENT, &fleet, ms(2300)), Admission::Unrestricted);
}

/// Guards against a crash that no longer counts because a delayed announcement of the same start arrived after it.
#[test]
fn another_start_of_the_upstream_proves_the_crash() {
    let (mut crashes, mut fleet) = (Crashes::default(), fleet(4));
    record(&mut crashes, CONTENT, 0, ms(1000));
    record(&mut crashes, CONTENT, 1, ms(1010));
    announce(&mut fleet, 0, 1, 2, ms(3000));
    assert!(!is_quarantined(&crashes, CONTENT, &fleet, ms(3000)));
    announce(&mut fleet, 0, 2, 1, ms(4000));
    assert!(is_quarantined(&crashes, CONTENT, &fleet, ms(4000)));
}

/// Guards against a caller that is sent away for a minute although the evidence may be withdrawn within seconds, and
/// against one that is told to come back in seconds for nothing.
#[test]
fn the_time_of_the_next_try_depends_on_what_is_proved() {
    let (mut crashes, mut fleet) = (Crashes::default(), fleet(4));
    record(&mut crashes, CONTENT, 0, ms(1000));
    record(&mut crashes, CONTENT, 1, ms(1000));
    assert_eq!(crashes.admission(CONTENT, &fleet, ms(1500)), Admission::Quarantined(ms(3500)));
    announce(&mut fleet, 0, 2, 1, ms(4000));
    announce(&mut fleet, 1, 2, 1, ms(4000));
    assert_eq!(crashes.admission(CONTENT, &fleet, ms(4000)), Admission::Quarantined(ms(61_000)));
}

/// Guards against the quarantine of requests that were in flight when a failure domain was lost: they were tried on two
/// of its upstreams, but not on all.
#[test]
fn upstreams_lost_together_are_weak_evidence() {
    let (mut crashes, fleet) = (Crashes::default(), fleet(6));
    record(&mut crashes, "innocent-a", 0, ms(1000));
    record(&mut crashes, "innocent-b", 2, ms(1000));
    record(&mut crashes, "innocent-a", 1, ms(1005));
    assert_eq!(crashes.admission("innocent-a", &fleet, ms(1005)), Admission::Suspect);
    assert_eq!(crashes.admission("innocent-b", &fleet, ms(1005)), Admission::Suspect);
}

/// Guards against the quarantine of a request whose upstreams were lost together with others, once what ran on the others
/// has completed elsewhere.
#[test]
fn a_loss_explains_others_also_after_its_own_content_completed() {
    let (mut crashes, fleet) = (Crashes::default(), fleet(6));
    record(&mut crashes, "innocent-a", 0, ms(1000));
    record(&mut crashes, "innocent-b", 2, ms(1000));
    assert!(crashes.record_completion("innocent-b", ms(1050)));
    assert_eq!(crashes.admission("innocent-b", &fleet, ms(1050)), Admission::Unrestricted);
    record(&mut crashes, "innocent-a", 1, ms(1060));
    assert_eq!(crashes.admission("innocent-a", &fleet, ms(1300)), Admission::Suspect);
}

/// Guards against requests that are all fingerprinted for minutes because of a crash that no longer counts.
#[test]
fn a_content_that_completed_is_no_suspect() {
    let mut crashes = Crashes::default();
    record(&mut crashes, CONTENT, 0, ms(1000));
    record(&mut crashes, "other", 0, ms(1000));
    assert_eq!(crashes.len(), 2);
    crashes.record_completion(CONTENT, ms(2000));
    assert_eq!(crashes.len(), 1);
    crashes.record_completion("other", ms(2000));
    assert!(crashes.is_empty());
    record(&mut crashes, CONTENT, 1, ms(3000));
    assert_eq!(crashes.len(), 1);
    crashes.expire(ms(3000) + RETENTION * 2);
    assert!(crashes.is_empty());
}

/// Guards against content that is never quarantined because other losses always explain its crashes.
#[test]
fn four_crashes_quarantine_a_content_in_any_case() {
    let (mut crashes, fleet) = (Crashes::default(), fleet(8));
    for n in 0..4 {
        assert!(!is_quarantined(&crashes, CONTENT, &fleet, ms(1000 * n + 1)), "after {n} crashes");
        record(&mut crashes, CONTENT, n, ms(1000 * n));
        record(&mut crashes, "innocent", 4 + n, ms(1000 * n));
    }
    assert!(is_quarantined(&crashes, CONTENT, &fleet, ms(3300)));
}

/// Guards against the quarantine of a request that was tried on two lost upstreams before anything else was known of the
/// loss: the first sign of the others may be a refused connection, or a report that arrives later.
#[test]
fn a_content_is_quarantined_only_after_other_losses_had_time_to_become_known() {
    let (mut crashes, fleet) = (Crashes::default(), fleet(6));
    record(&mut crashes, "innocent", 0, ms(1000));
    record(&mut crashes, "innocent", 1, ms(1005));
    assert_eq!(crashes.admission("innocent", &fleet, ms(1005)), Admission::NotBefore(ms(1205)));
    // Refused by an upstream that the content may have crashed.
    assert!(crashes.record_refusal(&key(1), ms(1010)));
    assert!(is_quarantined(&crashes, "innocent", &fleet, ms(1205)));
    assert!(crashes.record_refusal(&key(2), ms(1100)));
    assert_eq!(crashes.admission("innocent", &fleet, ms(1205)), Admission::Suspect);
    assert_eq!(crashes.len(), 1);
}

/// Guards against the quarantine of an innocent request that many callers send: it runs again and again between two
/// unrelated crashes.
#[test]
fn a_completed_run_withdraws_earlier_crashes() {
    let (mut crashes, fleet) = (Crashes::default(), fleet(4));
    record(&mut crashes, CONTENT, 0, ms(1000));
    assert!(crashes.record_completion(CONTENT, ms(2000)));
    assert_eq!(crashes.admission(CONTENT, &fleet, ms(2000)), Admission::Unrestricted);
    record(&mut crashes, CONTENT, 1, ms(9000));
    assert_eq!(crashes.admission(CONTENT, &fleet, ms(9000)), Admission::Suspect);
    // A report of the earlier crash that took a detour does not count any more.
    record(&mut crashes, CONTENT, 0, ms(1000));
    assert_eq!(crashes.admission(CONTENT, &fleet, ms(9000)), Admission::Suspect);
}

/// Guards against a silent upstream that counts as crashed while it is merely slow, and against a request that makes one
/// upstream after another fall silent.
#[test]
fn silence_counts_once_the_upstream_has_been_replaced() {
    let (mut crashes, mut fleet) = (Crashes::default(), fleet(4));
    for n in 0..4 {
        crashes.record(&Rc::from(CONTENT), &key(n), ms(1000), Observation::Silence);
    }
    assert_eq!(crashes.admission(CONTENT, &fleet, ms(1000)), Admission::Unrestricted);
    (0..3).for_each(|n| announce(&mut fleet, n, 2, 1, ms(5000)));
    assert_eq!(crashes.admission(CONTENT, &fleet, ms(5000)), Admission::Suspect);
    announce(&mut fleet, 3, 2, 1, ms(5000));
    assert!(is_quarantined(&crashes, CONTENT, &fleet, ms(5000)), "{crashes:?}");
}

/// Guards against a quarantine that never ends for innocent content, and against content that crashes an upstream every
/// minute.
#[test]
fn each_further_crash_doubles_the_quarantine() {
    let mut crashes = Crashes::default();
    // No upstream is known any more, so all crashes are proved.
    let fleet = Fleet::default();
    let mut at = ms(1000);
    record(&mut crashes, CONTENT, 0, at);
    record(&mut crashes, CONTENT, 1, at);
    for (n, seconds) in [(2, 60), (3, 120), (4, 240), (5, 480), (6, 600), (7, 600)] {
        let end = at + Duration::from_secs(seconds);
        assert!(is_quarantined(&crashes, CONTENT, &fleet, end - ms(1)), "crash {n}");
        assert_eq!(crashes.admission(CONTENT, &fleet, end), Admission::Suspect, "crash {n}");
        crashes.expire(end);
        at = end;
        record(&mut crashes, CONTENT, n, at);
    }
    crashes.expire(at + RETENTION * 2);
    assert!(crashes.is_empty());
}

/// Guards against an item that is held back for long because upstreams were lost under it, and against one that takes them
/// one after another without a pause.
#[test]
fn an_item_starts_within_two_seconds_of_its_last_crash() {
    let (mut crashes, fleet) = (Crashes::default(), fleet(20));
    assert_eq!(crashes.item_start(CONTENT, &fleet, ms(0)), ItemStart::Unrestricted);
    for (n, pause) in [0, 1000, 2000, 2000, 2000].into_iter().chain([2000; 15]).enumerate() {
        let at = ms(60_000 * (n as u64 + 1));
        record(&mut crashes, CONTENT, n as u64, at);
        let end = at + ms(pause);
        if pause > 0 {
            let before = crashes.item_start(CONTENT, &fleet, end - ms(1));
            assert_eq!(before, ItemStart::NotBefore(end), "crash {n}");
        }
        assert_eq!(crashes.item_start(CONTENT, &fleet, end), ItemStart::Suspect, "crash {n}");
    }
    assert!(crashes.record_completion(CONTENT, ms(2_000_000)));
    assert_eq!(crashes.item_start(CONTENT, &fleet, ms(2_000_000)), ItemStart::Unrestricted);
}

/// Guards against a pause of the items that ran on upstreams lost together: the cause is outside them.
#[test]
fn an_item_does_not_pause_after_losses_that_others_explain() {
    let (mut crashes, fleet) = (Crashes::default(), fleet(8));
    for n in 0..3 {
        record(&mut crashes, "item", n, ms(1000 + 400 * n));
        record(&mut crashes, "other", 4 + n, ms(1000 + 400 * n));
        let start = crashes.item_start("item", &fleet, ms(1000 + 400 * n));
        assert_eq!(start, ItemStart::Suspect, "after {} losses", n + 1);
    }
    record(&mut crashes, "item", 3, ms(2200));
    record(&mut crashes, "other", 7, ms(2200));
    assert_eq!(crashes.item_start("item", &fleet, ms(2200)), ItemStart::NotBefore(ms(3200)));
}

/// Guards against unbounded memory, and against a new crash that is forgotten instead of an old one.
#[test]
fn the_oldest_contents_are_evicted() {
    let (mut crashes, fleet) = (Crashes::default(), fleet(4));
    for n in 0..5000 {
        record(&mut crashes, &format!("content-{n}"), 0, ms(n));
    }
    assert_eq!(crashes.len(), 4096);
    assert_eq!(crashes.admission("content-4999", &fleet, ms(5000)), Admission::Suspect);
}

/// Guards against reports that a store sends back and forth, or does not pass on.
#[rstest]
#[case::observed_here(true)]
#[case::from_another_store(false)]
fn reports_of_other_stores_are_not_passed_to_stores(#[case] direct: bool) {
    let mut origin = Crashes::default();
    record(&mut origin, CONTENT, 0, ms(1000));
    let report = origin.since(0, true).next().unwrap();
    let mut store = Crashes::default();
    assert!(store.merge(report.clone(), ms(1001), direct));
    assert_eq!(store.since(0, false).next().as_ref(), Some(&report));
    assert_eq!(store.since(0, true).count(), usize::from(direct));
    assert_eq!(store.changed_since(0, true), direct);
    let cursor = store.cursor();
    assert!(!store.merge(report, ms(1002), direct), "the same report changes nothing");
    assert!(!store.changed_since(cursor, false));
}

/// Guards against processes that disagree on a content because they learnt of a completed run after two crashes of one
/// upstream instead of between them.
#[rstest]
#[case::in_order([0, 1, 2])]
#[case::completion_last([0, 2, 1])]
#[case::newest_first([2, 1, 0])]
#[case::completion_first_after_newest([2, 0, 1])]
fn the_newer_crash_of_an_upstream_counts_in_any_order(#[case] order: [usize; 3]) {
    let crash = |at, observation| Report {
        fingerprint: Rc::from(CONTENT),
        crashes: CrashTimes::from([((key(0), observation), at)]),
        completed_at: None,
        run: None,
    };
    let completed = Report { completed_at: Some(ms(2000)), ..crash(ms(500), Observation::Silence) };
    let reports = [
        crash(ms(1000), Observation::BrokenAtStart),
        completed,
        crash(ms(3000), Observation::BrokenMidway),
    ];
    let mut crashes = Crashes::default();
    for at in order {
        crashes.merge(reports[at].clone(), ms(4000), false);
    }
    let fleet = fleet(1);
    assert_eq!(crashes.admission(CONTENT, &fleet, ms(4000)), Admission::Suspect, "{crashes:?}");
    record(&mut crashes, CONTENT, 1, ms(4000));
    let after_weak_and_strong = crashes.admission(CONTENT, &fleet, ms(4000));
    assert_eq!(
        after_weak_and_strong,
        Admission::Suspect,
        "the crash before the completed run counts"
    );
}

proptest! {
    /// Guards against gateways that disagree because reports reached them in another order or more than once.
    #[test]
    fn the_order_of_reports_does_not_matter(
        events in prop::collection::vec((0..3_u64, 0..6_u64, 0..20_u64, prop::bool::ANY), 1..20),
        order in prop::collection::vec(0..40_usize, 0..60),
    ) {
        let mut origin = Crashes::default();
        let mut reports = Vec::new();
        for (content, upstream, at, completes) in events {
            let (content, at) = (format!("content-{content}"), ms(at * 500));
            if completes {
                origin.record_completion(&content, at);
            } else {
                record(&mut origin, &content, upstream, at);
            }
            reports.extend(origin.since(0, false));
        }
        let fleet = fleet(6);
        let mut copy = Crashes::default();
        for at in order {
            if let Some(report) = reports.get(at % reports.len().max(1)) {
                copy.merge(report.clone(), ms(10_000), false);
            }
        }
        for report in origin.since(0, false) {
            copy.merge(report, ms(10_000), false);
        }
        for content in 0..3 {
            let content = format!("content-{content}");
            prop_assert_eq!(
                origin.admission(&content, &fleet, ms(10_000)),
                copy.admission(&content, &fleet, ms(10_000))
            );
        }
    }
}
