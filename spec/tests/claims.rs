//! Checks that the claim rules never let a non-idempotent request run twice.
//!
//! Also checks that breaking any one rule violates an invariant, so that the specification covers each of them.

use rstest::rstest;
use spec::{
    claims::{Broken, Claims},
    explore,
};

#[test]
fn the_intact_claims_hold() {
    let report = explore::explore(&Claims { broken: Broken::Intact });
    println!("{report}");
    assert_eq!(report.violated, None);
}

#[rstest]
#[case::dispatch_before_commit(Broken::DispatchBeforeCommit, "a request runs at most once")]
#[case::dispatch_twice(Broken::DispatchTwice, "a request runs at most once")]
#[case::gone_holder_grants_again(Broken::GoneHolderGrantsAgain, "a request runs at most once")]
#[case::release_while_sending(
    Broken::ReleaseWhileSending,
    "\"not run\" never for a request that ran"
)]
#[case::report_ends_other_claim(Broken::ReportEndsOtherClaim, "a request runs at most once")]
#[case::silence_is_not_run(Broken::SilenceIsNotRun, "\"not run\" never for a request that ran")]
#[case::finished_grants_again(Broken::FinishedGrantsAgain, "a request runs at most once")]
#[case::forget_at_expiry(Broken::ForgetAtExpiry, "a request runs at most once")]
#[case::expiry_ignored(Broken::ExpiryIgnored, "a request runs at most once")]
fn a_broken_rule_is_found(#[case] broken: Broken, #[case] invariant: &str) {
    let report = explore::explore(&Claims { broken });
    println!("{report}");
    assert_eq!(report.violated, Some(invariant));
    assert!(!report.trace.is_empty());
}
