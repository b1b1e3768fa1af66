//! Checks that a duty has one holder at a time and that no window has two reports, and that breaking any rule is detected.

use rstest::rstest;
use spec::{
    duty::{Broken, Duty},
    explore,
};

#[test]
fn the_intact_duty_holds() {
    let report = explore::explore(&Duty { broken: Broken::Intact });
    println!("{report}");
    assert_eq!(report.violated, None);
}

#[rstest]
#[case::counts_at_sending(
    Broken::CountsAtSending,
    "no two different reports of a window are accepted"
)]
#[case::report_open_window(
    Broken::ReportOpenWindow,
    "no two different reports of a window are accepted"
)]
#[case::no_lease_wait(Broken::NoLeaseWait, "no lower token is sent after a higher one")]
#[case::short_lease_wait(Broken::ShortLeaseWait, "no holder returns within the lease")]
#[case::no_confirmation(Broken::NoConfirmation, "no lower token is sent after a higher one")]
#[case::old_confirmation(Broken::OldConfirmation, "no lower token is sent after a higher one")]
#[case::same_token(Broken::SameToken, "one holder under a token")]
fn a_broken_rule_is_found(#[case] broken: Broken, #[case] invariant: &str) {
    let report = explore::explore(&Duty { broken });
    println!("{report}");
    assert_eq!(report.violated, Some(invariant));
    assert!(!report.trace.is_empty());
}
