//! Checks that the rules of reward calls list no text without its own score, and that breaking any one of them does.

use rstest::rstest;
use spec::{
    explore,
    rewards::{Broken, Rewards},
};

#[test]
fn the_intact_reward_calls_hold() {
    let report = explore::explore(&Rewards { broken: Broken::Intact });
    println!("{report}");
    assert_eq!(report.violated, None);
}

#[rstest]
#[case::list_without_score(Broken::ListWithoutScore, "no result is listed without its score")]
#[case::call_before_commit(
    Broken::CallBeforeCommit,
    "a score is listed with the text that it was made for"
)]
#[case::later_text_replaces(
    Broken::LaterTextReplaces,
    "a score is listed with the text that it was made for"
)]
#[case::generate_again(Broken::GenerateAgain, "a committed text is not generated again")]
#[case::call_after_end(Broken::CallAfterEnd, "no call starts after its batch was ended")]
#[case::repeat_changes_score(Broken::RepeatChangesScore, "a listed result never changes")]
fn a_broken_rule_is_found(#[case] broken: Broken, #[case] invariant: &str) {
    let report = explore::explore(&Rewards { broken });
    println!("{report}");
    assert_eq!(report.violated, Some(invariant));
    assert!(!report.trace.is_empty());
}
