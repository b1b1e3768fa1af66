//! The replicated state of items whose texts are scored by a reward call before they are listed.

use bytes::Bytes;
use orioleworks_proto::{
    codes::ResultCode,
    inner::{self, command::Kind},
};
use orioleworks_store::{
    records::{self, Records},
    snapshot,
    state::State,
    texts::Texts,
};
use prost::Message;
use rstest::rstest;

const NOW_MS: u64 = 1_000_000;

fn apply(state: &mut State, kind: Kind) -> ResultCode {
    let command = inner::Command { expected_revision: None, kind: Some(kind) };
    let entry = inner::LogEntry { now_ms: NOW_MS, command: Some(command), ..Default::default() };
    ResultCode::from_number(state.apply(&entry).code).unwrap()
}

fn call(id: &str) -> inner::RewardCall {
    let body = Bytes::from(format!("score {id}"));
    inner::RewardCall { id: id.into(), host: "h".into(), path: format!("/score/{id}"), body }
}

/// A batch of items with the IDs of their reward calls; an empty one stands for none.
fn batch(id: &str, items: &[(&str, &str)], min_version: u64) -> Kind {
    let item = |(id, reward_call): &(&str, &str)| inner::BatchItem {
        id: (*id).into(),
        body: Bytes::from(format!("body of {id}")),
        reward_call: Some(call(reward_call)).filter(|_| !reward_call.is_empty()),
        ..Default::default()
    };
    Kind::PutBatch(inner::Batch {
        id: id.into(),
        route: "r".into(),
        model: "m".into(),
        min_version,
        items: items.iter().map(item).collect(),
        status_retention_ms: 120_000,
        ..Default::default()
    })
}

fn text(id: &str, text: &str, version: u64) -> inner::ItemResult {
    let text = Bytes::copy_from_slice(text.as_bytes());
    let versions = vec![version];
    inner::ItemResult { id: id.into(), completed: true, text, versions, ..Default::default() }
}

fn unscored(batch_id: &str, text: inner::ItemResult) -> Kind {
    let (batch_id, unscored) = (batch_id.into(), vec![text]);
    Kind::RecordResults(inner::RecordResults { batch_id, unscored, ..Default::default() })
}

fn score(batch_id: &str, id: &str, score: &str, call: &str) -> Kind {
    let (id, score) = (id.into(), score.into());
    let scores = vec![inner::ItemScore { id, score, reward_call_id: call.into() }];
    let batch_id = batch_id.into();
    Kind::RecordResults(inner::RecordResults { batch_id, scores, ..Default::default() })
}

fn listed(state: &State, id: &str) -> Vec<(String, String, String)> {
    let results = state.results(id, 0, usize::MAX).unwrap().read().unwrap().results;
    let text = |r: &inner::ItemResult| String::from_utf8(r.text.to_vec()).unwrap();
    results.iter().map(|r| (r.id.clone(), text(r), r.score.clone())).collect()
}

fn owed(state: &State, id: &str) -> Vec<String> {
    state.batch(id).unwrap().unscored.keys().map(ToString::to_string).collect()
}

fn entry(id: &str, text: &str, score: &str) -> (String, String, String) {
    (id.into(), text.into(), score.into())
}

fn restored(state: &State) -> State {
    let mut bytes = Vec::new();
    state.snapshot().for_each(|part| part(&mut bytes).unwrap());
    let texts = Texts::default();
    State::restore(snapshot::read(&mut &*bytes, &texts).unwrap(), texts).unwrap()
}

/// Guards against results without a score, scores of another text, and results that change.
#[test]
fn a_text_is_listed_with_the_first_score_of_the_first_text() {
    let mut state = State::default();
    apply(&mut state, batch("b", &[("x", "call-x"), ("y", "")], 1));
    let completed = inner::RecordResults {
        batch_id: "b".into(),
        results: vec![text("x", "without score", 1), text("y", "plain", 1)],
        ..Default::default()
    };
    apply(&mut state, Kind::RecordResults(completed));
    assert_eq!(listed(&state, "b"), [entry("y", "plain", "")]);
    apply(&mut state, score("b", "x", "too early", "call-x"));
    apply(&mut state, unscored("b", text("x", "first", 1)));
    apply(&mut state, unscored("b", text("x", "second", 1)));
    assert_eq!(owed(&state, "b"), ["x"]);
    assert!(!state.batch("b").unwrap().is_done());
    apply(&mut state, score("b", "x", "3e1b", "call-x"));
    apply(&mut state, score("b", "x", "later", "call-x"));
    assert_eq!(listed(&state, "b"), [entry("y", "plain", ""), entry("x", "first", "3e1b")]);
    assert!(state.batch("b").unwrap().is_done());
    assert!(owed(&state, "b").is_empty());
}

/// Guards against texts of weights that the batch does not allow.
#[test]
fn a_text_of_older_weights_owes_no_call() {
    let mut state = State::default();
    apply(&mut state, batch("b", &[("x", "call-x")], 5));
    apply(&mut state, unscored("b", text("x", "old", 4)));
    assert!(owed(&state, "b").is_empty());
}

/// Guards against an item whose call fails for ever: it is listed as given up, although its text exists.
#[test]
fn an_item_whose_call_is_given_up_is_listed_without_its_text() {
    let mut state = State::default();
    apply(&mut state, batch("b", &[("x", "call-x")], 1));
    apply(&mut state, unscored("b", text("x", "text", 1)));
    let mut records = Records::default();
    records::add_result(&mut records, &("b".into(), "x".into()), None);
    apply(&mut state, Kind::RecordResults(records.into_values().next().unwrap()));
    assert_eq!(listed(&state, "b"), [entry("x", "", "")]);
    assert!(owed(&state, "b").is_empty());
}

/// Guards against texts, debts and counted failures that a snapshot loses.
#[test]
fn a_snapshot_keeps_owed_calls() {
    let mut state = State::default();
    apply(&mut state, batch("b", &[("x", "call-x"), ("y", "call-y")], 1));
    apply(&mut state, unscored("b", text("x", "text of x", 1)));
    apply(&mut state, unscored("b", text("y", "text of y", 1)));
    apply(&mut state, score("b", "y", "3e1b", "call-y"));
    let failed = inner::RecordResults {
        batch_id: "b".into(),
        failed_reward_calls: vec![inner::FailedAttempts { id: "x".into(), count: 2 }],
        ..Default::default()
    };
    apply(&mut state, Kind::RecordResults(failed));
    let mut state = restored(&restored(&state));
    let item = &state.batch("b").unwrap().items["x"];
    assert_eq!(item.failed_reward_calls, 2);
    assert_eq!(item.spec.reward_call, Some(call("call-x")));
    assert_eq!(item.spec.body, "body of x", "a caller may still read it");
    assert_eq!(owed(&state, "b"), ["x"]);
    apply(&mut state, score("b", "x", "77aa", "call-x"));
    assert_eq!(
        listed(&state, "b"),
        [entry("y", "text of y", "3e1b"), entry("x", "text of x", "77aa")]
    );
}

/// Guards against texts that are generated again for a later batch, and against scores of another call.
#[rstest]
#[case::same_call("call-x", Some("3e1b"), &[])]
#[case::another_call("call-z", None, &["x"])]
#[case::no_call("", Some(""), &[])]
fn a_later_batch_takes_over_a_scored_text(
    #[case] later_call: &str,
    #[case] score_listed: Option<&str>,
    #[case] still_owed: &[&str],
) {
    let mut state = State::default();
    apply(&mut state, batch("b", &[("x", "call-x")], 1));
    apply(&mut state, unscored("b", text("x", "text", 1)));
    apply(&mut state, score("b", "x", "3e1b", "call-x"));
    let mut state = restored(&state);
    apply(&mut state, batch("later", &[("x", later_call)], 1));
    let expected: Vec<_> =
        score_listed.map(|score| entry("x", "text", score)).into_iter().collect();
    assert_eq!(listed(&state, "later"), expected);
    assert_eq!(owed(&state, "later"), still_owed);
}

/// Guards against texts of an ended batch that are generated again, or used where their weights are too old.
#[rstest]
#[case::allowed(1, &["x"])]
#[case::too_old(2, &[])]
fn a_later_batch_takes_over_a_text_whose_call_was_owed(
    #[case] min_version: u64,
    #[case] still_owed: &[&str],
) {
    let mut state = State::default();
    apply(&mut state, batch("b", &[("x", "call-x"), ("y", "call-y")], 1));
    apply(&mut state, unscored("b", text("x", "text", 1)));
    apply(&mut state, Kind::EndBatch("b".into()));
    let mut state = restored(&state);
    assert!(state.batch("b").unwrap().is_done());
    apply(&mut state, batch("later", &[("x", "call-x"), ("y", "call-y")], min_version));
    assert_eq!(owed(&state, "later"), still_owed);
    assert!(listed(&state, "later").is_empty());
}

/// Guards against records that lose texts or scores where they are split or wait for a quorum.
#[test]
fn split_and_repeated_records_keep_texts_before_scores() {
    let key = |id: &str| ("b".into(), id.into());
    let mut records = Records::default();
    for id in ["x", "y"] {
        records::add_unscored(&mut records, &key(id), Bytes::from(vec![b'x'; 2000]), vec![1]);
        let score = inner::ItemScore {
            id: id.into(),
            score: "s".into(),
            reward_call_id: format!("call-{id}"),
        };
        records::record_for(&mut records, &"b".into()).scores.push(score);
    }
    let record = records.shift_remove("b").unwrap();
    let parts = records::split(record, 40);
    assert!(parts.len() > 2 && parts.iter().all(|part| part.encoded_len() > 0));
    for part in parts.into_iter().rev() {
        records::put_back(&mut records, part);
    }
    let mut state = State::default();
    apply(&mut state, batch("b", &[("x", "call-x"), ("y", "call-y")], 1));
    apply(&mut state, Kind::RecordResults(records.shift_remove("b").unwrap()));
    let results = state.results("b", 0, usize::MAX).unwrap().reply.results;
    let results: Vec<_> = results.iter().map(|r| (&*r.id, r.text_len, &*r.score)).collect();
    assert_eq!(results, [("x", 2000, "s"), ("y", 2000, "s")]);
}
