//! Checks that a revoked key stops working within the bound, and that breaking any rule lets it work longer.

use rstest::rstest;
use spec::{
    explore,
    key_lease::{Broken, Keys},
};

#[test]
fn the_intact_lease_holds() {
    let report = explore::explore(&Keys { broken: Broken::Intact });
    println!("{report}");
    assert_eq!(report.violated, None);
}

#[rstest]
#[case::count_from_arrival(Broken::CountFromArrival)]
#[case::age_ignored(Broken::AgeIgnored)]
#[case::confirmed_at_reply(Broken::ConfirmedAtReply)]
#[case::no_quorum(Broken::NoQuorum)]
#[case::version_not_compared(Broken::VersionNotCompared)]
#[case::clock_before_request(Broken::ClockBeforeRequest)]
fn a_broken_rule_is_found(#[case] broken: Broken) {
    let report = explore::explore(&Keys { broken });
    println!("{report}");
    assert_eq!(report.violated, Some("no request with a revoked key runs after the bound"));
    assert!(!report.trace.is_empty());
}
