//! Checks that the rules of the replicated log do not lose an acknowledged entry.
//!
//! Also checks that breaking any one rule violates an invariant, so that the specification covers each of them.

use rstest::rstest;
use spec::{
    explore,
    log::{Bound, Broken, CHANGES, ELECTIONS, Log, PAUSE, REPAIR},
};

#[rstest]
#[case::elections(ELECTIONS)]
#[case::pause(PAUSE)]
#[case::repair(REPAIR)]
#[case::changes(CHANGES)]
fn the_intact_log_holds(#[case] bound: Bound) {
    let report = explore::explore(&Log { broken: Broken::Intact, bound });
    println!("{report}");
    assert_eq!(report.violated, None);
}

#[rstest]
#[case::wiped_votes(Broken::WipedKeepsIdentity, REPAIR, "one leader per term")]
#[case::wiped_keeps_vote(
    Broken::WipedKeepsVote,
    REPAIR,
    "no acknowledged entry is lost or replaced"
)]
#[case::vote_ignores_log(
    Broken::VoteIgnoresLog,
    ELECTIONS,
    "no acknowledged entry is lost or replaced"
)]
#[case::vote_twice(Broken::VoteTwice, ELECTIONS, "one leader per term")]
#[case::commit_older_term(
    Broken::CommitOlderTerm,
    ELECTIONS,
    "no acknowledged entry is lost or replaced"
)]
#[case::early_promotion(Broken::EarlyPromotion, REPAIR, "a promoted voter holds the committed log")]
#[case::two_changes(Broken::TwoChanges, REPAIR, "no acknowledged entry is lost or replaced")]
#[case::change_before_own_commit(
    Broken::ChangeBeforeOwnCommit,
    CHANGES,
    "no acknowledged entry is lost or replaced"
)]
#[case::reply_before_sync(
    Broken::ReplyBeforeSync,
    PAUSE,
    "no acknowledged entry is lost or replaced"
)]
#[case::late_append_truncates(
    Broken::LateAppendTruncates,
    PAUSE,
    "no acknowledged entry is lost or replaced"
)]
fn a_broken_rule_is_found(#[case] broken: Broken, #[case] bound: Bound, #[case] invariant: &str) {
    let report = explore::explore(&Log { broken, bound });
    println!("{report}");
    assert_eq!(report.violated, Some(invariant));
    assert!(!report.trace.is_empty());
}
