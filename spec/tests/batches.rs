//! Checks that the batch rules do not lose, refuse or mix what a trainer submitted.
//!
//! Also checks that breaking any one rule violates an invariant, so that the specification covers each of them.

use rstest::rstest;
use spec::{
    batches::{Batches, Broken},
    explore,
};

#[test]
fn the_intact_batches_hold() {
    let report = explore::explore(&Batches { broken: Broken::Intact });
    println!("{report}");
    assert_eq!(report.violated, None);
}

#[rstest]
#[case::accept_before_commit(Broken::AcceptBeforeCommit, "an accepted batch is kept")]
#[case::refuse_unanswered(Broken::RefuseUnanswered, "\"not run\" never for a batch that runs")]
#[case::stale_leader_commits(Broken::StaleLeaderCommits, "\"not run\" never for a batch that runs")]
#[case::gap_ignored(Broken::GapIgnored, "a text is of runs that continue each other")]
#[case::repeat_lists_twice(Broken::RepeatListsTwice, "an item has one position")]
#[case::start_after_end(Broken::StartAfterEnd, "no item starts after its batch was ended")]
fn a_broken_rule_is_found(#[case] broken: Broken, #[case] invariant: &str) {
    let report = explore::explore(&Batches { broken });
    println!("{report}");
    assert_eq!(report.violated, Some(invariant));
    assert!(!report.trace.is_empty());
}
