//! Checks that a stream without a record goes on only at the version that began it, and that breaking any rule joins two.

use rstest::rstest;
use spec::{
    explore,
    streams::{Broken, Streams},
};

#[test]
fn the_intact_streams_hold() {
    let report = explore::explore(&Streams { broken: Broken::Intact });
    println!("{report}");
    assert_eq!(report.violated, None);
}

#[rstest]
#[case::guess_from_one(Broken::GuessFromOne)]
#[case::begin_unrecorded(Broken::BeginUnrecorded)]
#[case::begin_unconfirmed(Broken::BeginUnconfirmed)]
#[case::count_late(Broken::CountLate)]
#[case::complete_after_one(Broken::CompleteAfterOne)]
#[case::complete_after_restart(Broken::CompleteAfterRestart)]
#[case::count_incomplete(Broken::CountIncomplete)]
#[case::ask_before_begin(Broken::AskBeforeBegin)]
fn a_broken_rule_is_found(#[case] broken: Broken) {
    let report = explore::explore(&Streams { broken });
    println!("{report}");
    assert_eq!(report.violated, Some("a stream goes on at the version that began it"));
    assert!(!report.trace.is_empty());
}
