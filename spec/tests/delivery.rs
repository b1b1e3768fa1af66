//! Checks that the delivery rules do not lose, repeat or delay a sample.
//!
//! Also checks that breaking any one rule violates an invariant, so that the specification covers each of them.

use rstest::rstest;
use spec::{
    delivery::{Broken, Delivery},
    explore,
};

#[test]
fn the_intact_delivery_holds() {
    let report = explore::explore(&Delivery { broken: Broken::Intact });
    println!("{report}");
    assert_eq!(report.violated, None);
}

#[rstest]
#[case::epoch_not_compared(Broken::EpochNotCompared, "no delivered sample older than the bound")]
#[case::cursor_not_compared(
    Broken::CursorNotCompared,
    "no slot is acknowledged that was not taken"
)]
#[case::taken_slots_ignored(Broken::TakenSlotsIgnored, "each slot taken at most once")]
#[case::slots_not_recorded(Broken::SlotsNotRecorded, "each slot taken at most once")]
#[case::same_epoch(Broken::SameEpoch, "no delivered sample older than the bound")]
#[case::repeat_makes_new_batch(
    Broken::RepeatMakesNewBatch,
    "no slot is acknowledged that was not taken"
)]
#[case::staleness_at_dispatch_only(
    Broken::StalenessAtDispatchOnly,
    "no delivered sample older than the bound"
)]
#[case::version_raised_in_batch(
    Broken::VersionRaisedInBatch,
    "no delivered sample older than the bound"
)]
fn a_broken_rule_is_found(#[case] broken: Broken, #[case] invariant: &str) {
    let report = explore::explore(&Delivery { broken });
    println!("{report}");
    assert_eq!(report.violated, Some(invariant));
    assert!(!report.trace.is_empty());
}
