//! Requests that crash upstreams.

use std::{rc::Rc, time::Duration};

use orioleworks_routing::suspects::{Report, Standing, Suspects};
use rstest::rstest;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn requests(names: &[&str]) -> Vec<(Rc<str>, Rc<str>)> {
    names.iter().map(|name| ((*name).into(), "p".into())).collect()
}

/// Guards against a third lost upstream: the second crash of a suspect must count, in small domains too.
#[rstest]
#[case::three_upstreams(3)]
#[case::twelve_upstreams(12)]
fn second_crash_quarantines(#[case] upstreams: usize) {
    let mut suspects = Suspects::default();
    let first = suspects.record_death(ms(0), "a#1".into(), requests(&["f", "g"]), upstreams - 1);
    assert!(first.is_empty());
    let Standing::Wait(until) = suspects.standing("f", ms(1)) else { panic!("no wait") };
    assert_eq!(suspects.standing("f", until), Standing::Alone);
    let at = until + ms(1);
    let second = suspects.record_death(at, "b#1".into(), requests(&["f"]), upstreams - 2);
    assert_eq!(second, ["f".into()]);
    assert_eq!(suspects.standing("f", at), Standing::Quarantined);
    assert_eq!(suspects.standing("g", at), Standing::Alone);
}

/// Guards against suspecting requests for a lost rack; at least 2 upstreams and a quarter must die within 2 s.
#[rstest]
#[case::quarter(8, &[0, 1000], true)]
#[case::less_than_a_quarter(12, &[0, 1000], false)]
#[case::quarter_of_twelve(12, &[0, 1000, 2000], true)]
#[case::too_far_apart(8, &[0, 2001], false)]
fn correlated_deaths(#[case] upstreams: usize, #[case] deaths: &[u64], #[case] dismissed: bool) {
    let mut suspects = Suspects::default();
    for (i, at) in deaths.iter().enumerate() {
        let name = format!("u{i}#1").into();
        let request = format!("f{i}");
        suspects.record_death(ms(*at), name, requests(&[&request]), upstreams - i - 1);
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
    suspects.absorb(ms(3000), &report);
    let free = suspects.standing("f", ms(6000)) == Standing::Free;
    assert_eq!(free, dismissed, "a report of another entry brings back dismissed evidence");
}

/// Guards against an innocent request that stays a suspect, also through a late digest of another entry.
#[rstest]
fn clean_run_clears() {
    let mut suspects = Suspects::default();
    suspects.record_death(ms(0), "a#1".into(), requests(&["f"]), 11);
    let reports = suspects.reports(ms(3000));
    suspects.clear("f", ms(3000));
    assert!(!suspects.absorb(ms(3500), &reports[0]));
    assert_eq!(suspects.standing("f", ms(3500)), Standing::Free);
}

/// Guards against counting one crash twice when entries tell each other, and against missing different ones.
#[rstest]
#[case::same_crash("a#1", false)]
#[case::other_upstream("b#1", true)]
#[case::same_upstream_again("a#2", true)]
fn digests_merge(#[case] upstream: &str, #[case] quarantined: bool) {
    let mut suspects = Suspects::default();
    suspects.record_death(ms(0), "a#1".into(), requests(&["f"]), 11);
    let report = Report {
        fingerprint: "f".into(),
        profile: "p".into(),
        upstream: upstream.into(),
        crashes: 1,
        settled: false,
        dismissed: false,
    };
    assert_eq!(suspects.absorb(ms(100), &report), quarantined);
    assert!(!suspects.absorb(ms(200), &report), "reported twice");
}

/// Guards against suspects that are kept for ever.
#[rstest]
fn suspects_expire() {
    let mut suspects = Suspects::default();
    suspects.record_death(ms(0), "a#1".into(), requests(&["f"]), 11);
    assert_eq!(suspects.standing("f", ms(600_000)), Standing::Free);
}

/// Guards against evidence that is dismissed because another entry's upstream losses are noticed late: the lease of the
/// first victim ends at about the time at which the suspect crashes the second one.
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
        suspects.absorb(ms(1010), &report);
    }
    // The upstream announced itself at 900 for the last time and died at 1000; its lease ended at 2900.
    suspects.record_death(ms(900), "a#1".into(), [], 4);
    let quarantined = suspects.record_death(ms(3020), "b#1".into(), requests(&["f"]), 3);
    assert_eq!(quarantined.len(), usize::from(digest));
    assert_eq!(suspects.reports(ms(3000)).len(), 1 + usize::from(digest));
}

/// Guards against concurrent copies of untried content on several upstreams, and against slowing down proven content.
#[rstest]
fn untried_content_keeps_to_one_upstream() {
    let mut suspects = Suspects::default();
    assert_eq!(suspects.max_spread("f"), Some(1));
    suspects.prove(&"f".into());
    assert_eq!(suspects.max_spread("f"), None);
    suspects.record_death(ms(0), "a#1".into(), requests(&["f"]), 11);
    assert_eq!(suspects.max_spread("f"), Some(1));
}

/// Guards against digests that repeat an old crash and thereby make a new one look correlated.
#[rstest]
fn repeated_reports_are_no_deaths() {
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
        suspects.absorb(ms(s * 1000), &report);
        suspects.expire(ms(s * 1000));
    }
    assert_eq!(suspects.record_death(ms(19_500), "b#1".into(), requests(&["f"]), 3), ["f".into()]);
}

/// Guards against a crash in another failure domain that is learnt only after the request has crashed two upstreams here
/// too, and against suspects that spread over all domains when one of them is lost.
#[rstest]
#[case::quarantined_there(2, true, Standing::Quarantined, Standing::Quarantined)]
#[case::settled_there(1, true, Standing::Wait(ms(2500)), Standing::Quarantined)]
#[case::open_there(1, false, Standing::Free, Standing::Wait(ms(2600)))]
fn only_settled_crashes_cross_domains(
    #[case] crashes: usize,
    #[case] settled: bool,
    #[case] before: Standing,
    #[case] after_own_crash: Standing,
) {
    let mut suspects = Suspects::default();
    for upstream in ["a1#1", "a2#1"].into_iter().take(crashes) {
        let (fingerprint, profile, upstream) = ("f".into(), "p".into(), upstream.into());
        let report = Report { fingerprint, profile, upstream, crashes, settled, dismissed: false };
        suspects.absorb_foreign(ms(0), &report);
    }
    assert_eq!(suspects.standing("f", ms(50)), before);
    suspects.record_death(ms(100), "b1#1".into(), requests(&["f", "g"]), 3);
    assert_eq!(suspects.standing("f", ms(100)), after_own_crash);
    // The deaths there are none of this domain, so one death here is still evidence.
    assert_eq!(suspects.standing("g", ms(3000)), Standing::Alone);
}

/// Guards against a crash that other failure domains learn of before it is known not to be one of many, or never.
#[rstest]
fn a_crash_settles_once_its_window_has_passed() {
    let mut suspects = Suspects::default();
    suspects.record_death(ms(0), "a#1".into(), requests(&["f"]), 11);
    assert!(!suspects.take_settled(ms(1999)) && !suspects.reports(ms(1999))[0].settled);
    assert!(suspects.take_settled(ms(2000)) && suspects.reports(ms(2000))[0].settled);
    assert!(!suspects.take_settled(ms(2001)), "told twice");
}

/// Guards against a request that crashes several upstreams at once through several entries and passes for the loss of
/// a rack, whatever order the news come in.
#[rstest]
#[case::own_death_last(&["report", "death"])]
#[case::report_last(&["death", "report"])]
#[case::death_without_the_request_first(&["silent", "report"])]
fn common_request_of_correlated_deaths_is_evidence(#[case] order: &[&str]) {
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
        suspects.absorb(ms(10), &report);
        suspects.record_death(ms(20), "a#1".into(), requests(&["f", "g"]), 2);
    } else {
        suspects.record_death(ms(10), "a#1".into(), requests(&["f", "g"]), 3);
        if order[0] == "silent" {
            suspects.record_death(ms(20), "b#1".into(), requests(&["h"]), 2);
        }
        suspects.absorb(ms(30), &report);
    }
    assert!(matches!(suspects.standing("f", ms(40)), Standing::Wait(_)), "no third upstream");
    assert!(suspects.take_decided(ms(1000)).is_empty(), "further deaths may follow");
    assert_eq!(suspects.take_decided(ms(2100)), [("f".into(), "p".into())]);
    assert_eq!(suspects.standing("f", ms(2100)), Standing::Quarantined);
    assert_ne!(suspects.standing("g", ms(2100)), Standing::Quarantined);
}

/// Guards against a duplicate innocent request that is condemned because its two upstreams died first in a lost rack.
#[rstest]
fn further_correlated_deaths_acquit() {
    let mut suspects = Suspects::default();
    suspects.record_death(ms(0), "a#1".into(), requests(&["f"]), 3);
    suspects.record_death(ms(10), "b#1".into(), requests(&["f"]), 2);
    suspects.record_death(ms(900), "c#1".into(), requests(&["g"]), 1);
    assert!(suspects.take_decided(ms(5000)).is_empty());
    assert_eq!(suspects.standing("f", ms(5000)), Standing::Free);
}

/// Guards against two entries that both dismiss the deaths and never see that their requests were the same.
#[rstest]
fn entries_that_both_dismissed_find_the_common_request() {
    let (mut one, mut two) = (Suspects::default(), Suspects::default());
    one.record_death(ms(0), "b#1".into(), requests(&["h"]), 3);
    one.record_death(ms(10), "a#1".into(), requests(&["f"]), 2);
    two.record_death(ms(0), "a#1".into(), requests(&["i"]), 3);
    two.record_death(ms(10), "b#1".into(), requests(&["f"]), 2);
    for report in one.dismissed_reports() {
        two.absorb(ms(20), &report);
    }
    assert!(matches!(two.standing("f", ms(30)), Standing::Wait(_)), "no third upstream");
    assert_eq!(two.take_decided(ms(2100)), [("f".into(), "p".into())]);
    assert_eq!(two.standing("h", ms(2100)), Standing::Free);
}

/// Guards against two entries of a domain that try a suspect at the same time and lose two further upstreams.
#[rstest]
fn entries_try_a_suspect_one_after_the_other() {
    let mut second = Suspects::default();
    second.set_turn(1);
    second.record_death(ms(0), "a#1".into(), requests(&["f"]), 11);
    assert_eq!(second.standing("f", ms(2500)), Standing::Wait(ms(3500)));
    assert_eq!(second.standing("f", ms(3500)), Standing::Alone);
}
