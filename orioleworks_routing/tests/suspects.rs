//! Requests that crash upstreams.

use std::{rc::Rc, time::Duration};

use orioleworks_routing::suspects::{Admission, Report, Suspects};
use rstest::rstest;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn requests(names: &[&str]) -> Vec<(Rc<str>, Rc<str>)> {
    names.iter().map(|name| ((*name).into(), "p".into())).collect()
}

/// Guards against the loss of a third upstream: the second crash of a suspect must quarantine it in small domains too.
#[rstest]
#[case::three_upstreams(3)]
#[case::twelve_upstreams(12)]
fn second_crash_quarantines(#[case] upstreams: usize) {
    let mut suspects = Suspects::default();
    let first =
        suspects.record_upstream_loss(ms(0), "a#1".into(), requests(&["f", "g"]), upstreams - 1);
    assert!(first.is_empty());
    let Admission::NotBefore(until) = suspects.admission("f", ms(1)) else { panic!("not delayed") };
    assert_eq!(suspects.admission("f", until), Admission::Isolated);
    let at = until + ms(1);
    let second = suspects.record_upstream_loss(at, "b#1".into(), requests(&["f"]), upstreams - 2);
    assert_eq!(second, ["f".into()]);
    assert_eq!(suspects.admission("f", at), Admission::Quarantined);
    assert_eq!(suspects.admission("g", at), Admission::Isolated);
}

/// Guards against an owed sample that is quarantined, and against one that runs again without delay or beside others.
#[rstest]
fn an_owed_request_runs_isolated_where_another_is_quarantined() {
    let mut suspects = Suspects::default();
    assert_eq!(suspects.owed_admission("f", ms(0)), Admission::Unrestricted);
    for n in 0..6 {
        let at = ms(3000 * n);
        suspects.record_upstream_loss(at, format!("{n}#1").into(), requests(&["f"]), 11);
        assert_eq!(suspects.owed_admission("f", at), Admission::NotBefore(at + ms(2500)));
        assert_eq!(suspects.owed_admission("f", at + ms(2500)), Admission::Isolated);
    }
    assert_eq!(suspects.admission("f", ms(20_000)), Admission::Quarantined);
}

/// Guards against treating the requests of a lost rack as suspects. Losses are correlated if at least 2 upstreams, and
/// at least a quarter of all, are lost within 2 s.
#[rstest]
#[case::quarter(8, &[0, 1000], true)]
#[case::less_than_a_quarter(12, &[0, 1000], false)]
#[case::quarter_of_twelve(12, &[0, 1000, 2000], true)]
#[case::too_far_apart(8, &[0, 2001], false)]
fn correlated_losses(#[case] upstreams: usize, #[case] losses: &[u64], #[case] dismissed: bool) {
    let mut suspects = Suspects::default();
    for (i, at) in losses.iter().enumerate() {
        let name = format!("u{i}#1").into();
        let request = format!("f{i}");
        suspects.record_upstream_loss(ms(*at), name, requests(&[&request]), upstreams - i - 1);
    }
    assert_eq!(suspects.reports(ms(3000)).is_empty(), dismissed);
    let report = Report {
        fingerprint: "f".into(),
        profile: "p".into(),
        upstream: "u0#1".into(),
        crashes: 1,
        settled: false,
        dismissed: false,
    };
    suspects.merge_report(ms(3000), &report);
    let unrestricted = suspects.admission("f", ms(6000)) == Admission::Unrestricted;
    assert_eq!(unrestricted, dismissed, "a report of another entry restores dismissed evidence");
}

/// Guards against a request that stays a suspect after it finished without a crash, and against a delayed digest of
/// another entry that makes it a suspect again.
#[rstest]
fn clean_run_clears() {
    let mut suspects = Suspects::default();
    suspects.record_upstream_loss(ms(0), "a#1".into(), requests(&["f"]), 11);
    let reports = suspects.reports(ms(3000));
    suspects.clear("f", ms(3000));
    assert!(!suspects.merge_report(ms(3500), &reports[0]));
    assert_eq!(suspects.admission("f", ms(3500)), Admission::Unrestricted);
}

/// Guards against counting one crash twice when entries exchange digests, and against merging different crashes.
#[rstest]
#[case::same_crash("a#1", false)]
#[case::other_upstream("b#1", true)]
#[case::same_upstream_again("a#2", true)]
fn digests_merge(#[case] upstream: &str, #[case] quarantined: bool) {
    let mut suspects = Suspects::default();
    suspects.record_upstream_loss(ms(0), "a#1".into(), requests(&["f"]), 11);
    let report = Report {
        fingerprint: "f".into(),
        profile: "p".into(),
        upstream: upstream.into(),
        crashes: 1,
        settled: false,
        dismissed: false,
    };
    assert_eq!(suspects.merge_report(ms(100), &report), quarantined);
    assert!(!suspects.merge_report(ms(200), &report), "reported twice");
}

/// Guards against suspects that never expire.
#[rstest]
fn suspects_expire() {
    let mut suspects = Suspects::default();
    suspects.record_upstream_loss(ms(0), "a#1".into(), requests(&["f"]), 11);
    assert_eq!(suspects.admission("f", ms(600_000)), Admission::Unrestricted);
}

/// Guards against dismissing evidence because an earlier upstream loss is detected late: the lease of the first lost
/// upstream expires at about the time at which the suspect crashes the second one.
#[rstest]
#[case::without_digest(false)]
#[case::after_digest(true)]
fn late_lease_end_is_not_correlated(#[case] digest: bool) {
    let mut suspects = Suspects::default();
    let report = Report {
        fingerprint: "f".into(),
        profile: "p".into(),
        upstream: "a#1".into(),
        crashes: 1,
        settled: false,
        dismissed: false,
    };
    if digest {
        suspects.merge_report(ms(1010), &report);
    }
    // The upstream sent its last announcement at 900 and crashed at 1000; its lease expired at 2900.
    suspects.record_upstream_loss(ms(900), "a#1".into(), [], 4);
    let quarantined = suspects.record_upstream_loss(ms(3020), "b#1".into(), requests(&["f"]), 3);
    assert_eq!(quarantined.len(), usize::from(digest));
    assert_eq!(suspects.reports(ms(3000)).len(), 1 + usize::from(digest));
}

/// Guards against concurrent copies of content that has never finished on several upstreams, and against limiting
/// content that has finished.
#[rstest]
fn untried_content_keeps_to_one_upstream() {
    let mut suspects = Suspects::default();
    assert_eq!(suspects.max_upstreams("f"), Some(1));
    suspects.mark_completed(&"f".into());
    assert_eq!(suspects.max_upstreams("f"), None);
    suspects.record_upstream_loss(ms(0), "a#1".into(), requests(&["f"]), 11);
    assert_eq!(suspects.max_upstreams("f"), Some(1));
}

/// Guards against repeated digests of an old crash that make a new loss look correlated.
#[rstest]
fn repeated_reports_add_no_losses() {
    let mut suspects = Suspects::default();
    let report = Report {
        fingerprint: "f".into(),
        profile: "p".into(),
        upstream: "a#1".into(),
        crashes: 1,
        settled: false,
        dismissed: false,
    };
    for s in 0..20 {
        suspects.merge_report(ms(s * 1000), &report);
        suspects.expire(ms(s * 1000));
    }
    assert_eq!(
        suspects.record_upstream_loss(ms(19_500), "b#1".into(), requests(&["f"]), 3),
        ["f".into()]
    );
}

/// Guards against ignoring crashes in another failure domain until the request has crashed two upstreams here too, and
/// against suspects in all domains when one of them is lost.
#[rstest]
#[case::quarantined_there(2, true, Admission::Quarantined, Admission::Quarantined)]
#[case::settled_there(1, true, Admission::NotBefore(ms(2500)), Admission::Quarantined)]
#[case::open_there(1, false, Admission::Unrestricted, Admission::NotBefore(ms(2600)))]
fn only_settled_crashes_cross_domains(
    #[case] crashes: usize,
    #[case] settled: bool,
    #[case] before: Admission,
    #[case] after_own_crash: Admission,
) {
    let mut suspects = Suspects::default();
    for upstream in ["a1#1", "a2#1"].into_iter().take(crashes) {
        let (fingerprint, profile, upstream) = ("f".into(), "p".into(), upstream.into());
        let report = Report { fingerprint, profile, upstream, crashes, settled, dismissed: false };
        suspects.merge_remote_report(ms(0), &report);
    }
    assert_eq!(suspects.admission("f", ms(50)), before);
    suspects.record_upstream_loss(ms(100), "b1#1".into(), requests(&["f", "g"]), 3);
    assert_eq!(suspects.admission("f", ms(100)), after_own_crash);
    // The remote losses are not in this domain, so one loss here is still evidence.
    assert_eq!(suspects.admission("g", ms(3000)), Admission::Isolated);
}

/// Guards against notifying other failure domains of a crash never, twice, or before further losses can no longer show
/// that it was one of several correlated losses.
#[rstest]
fn a_crash_settles_once_its_window_has_passed() {
    let mut suspects = Suspects::default();
    suspects.record_upstream_loss(ms(0), "a#1".into(), requests(&["f"]), 11);
    assert!(!suspects.take_newly_settled(ms(1999)) && !suspects.reports(ms(1999))[0].settled);
    assert!(suspects.take_newly_settled(ms(2000)) && suspects.reports(ms(2000))[0].settled);
    assert!(!suspects.take_newly_settled(ms(2001)), "notified twice");
}

/// Guards against a request that crashes several upstreams at once through several entries and looks like the loss of a
/// rack, in any order in which the reports arrive.
#[rstest]
#[case::own_loss_last(&["report", "loss"])]
#[case::report_last(&["loss", "report"])]
#[case::loss_without_the_request_first(&["silent", "report"])]
fn common_request_of_correlated_losses_is_evidence(#[case] order: &[&str]) {
    let mut suspects = Suspects::default();
    let report = Report {
        fingerprint: "f".into(),
        profile: "p".into(),
        upstream: "b#1".into(),
        crashes: 1,
        settled: false,
        dismissed: false,
    };
    if order[0] == "report" {
        suspects.merge_report(ms(10), &report);
        suspects.record_upstream_loss(ms(20), "a#1".into(), requests(&["f", "g"]), 2);
    } else {
        suspects.record_upstream_loss(ms(10), "a#1".into(), requests(&["f", "g"]), 3);
        if order[0] == "silent" {
            suspects.record_upstream_loss(ms(20), "b#1".into(), requests(&["h"]), 2);
        }
        suspects.merge_report(ms(30), &report);
    }
    assert!(
        matches!(suspects.admission("f", ms(40)), Admission::NotBefore(_)),
        "must not crash a third upstream"
    );
    assert!(suspects.take_decided(ms(1000)).is_empty(), "further losses may follow");
    assert_eq!(suspects.take_decided(ms(2100)), [("f".into(), "p".into())]);
    assert_eq!(suspects.admission("f", ms(2100)), Admission::Quarantined);
    assert_ne!(suspects.admission("g", ms(2100)), Admission::Quarantined);
}

/// Guards against quarantining a duplicated request because its two upstreams were the first ones lost with a rack.
#[rstest]
fn further_correlated_losses_clear_a_suspect() {
    let mut suspects = Suspects::default();
    suspects.record_upstream_loss(ms(0), "a#1".into(), requests(&["f"]), 3);
    suspects.record_upstream_loss(ms(10), "b#1".into(), requests(&["f"]), 2);
    suspects.record_upstream_loss(ms(900), "c#1".into(), requests(&["g"]), 1);
    assert!(suspects.take_decided(ms(5000)).is_empty());
    assert_eq!(suspects.admission("f", ms(5000)), Admission::Unrestricted);
}

/// Guards against two entries that both dismiss the losses and do not detect that they had a request in common.
#[rstest]
fn entries_that_both_dismissed_find_the_common_request() {
    let (mut one, mut two) = (Suspects::default(), Suspects::default());
    one.record_upstream_loss(ms(0), "b#1".into(), requests(&["h"]), 3);
    one.record_upstream_loss(ms(10), "a#1".into(), requests(&["f"]), 2);
    two.record_upstream_loss(ms(0), "a#1".into(), requests(&["i"]), 3);
    two.record_upstream_loss(ms(10), "b#1".into(), requests(&["f"]), 2);
    for report in one.dismissed_reports() {
        two.merge_report(ms(20), &report);
    }
    assert!(
        matches!(two.admission("f", ms(30)), Admission::NotBefore(_)),
        "must not crash a third upstream"
    );
    assert_eq!(two.take_decided(ms(2100)), [("f".into(), "p".into())]);
    assert_eq!(two.admission("h", ms(2100)), Admission::Unrestricted);
}

/// Guards against two entries of a domain that retry a suspect at the same time and lose two more upstreams.
#[rstest]
fn entries_retry_a_suspect_one_after_the_other() {
    let mut second = Suspects::default();
    second.set_retry_position(1);
    second.record_upstream_loss(ms(0), "a#1".into(), requests(&["f"]), 11);
    assert_eq!(second.admission("f", ms(2500)), Admission::NotBefore(ms(3500)));
    assert_eq!(second.admission("f", ms(3500)), Admission::Isolated);
}
