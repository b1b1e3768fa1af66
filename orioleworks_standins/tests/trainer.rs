//! The trainer takes each sample once, also from entries that deliver twice, late or under an old epoch.

mod common;

use std::{cell::RefCell, rc::Rc, time::Duration};

use orioleworks_daemon::{
    http::{self, Response},
    shutdown::Shutdown,
};
use orioleworks_proto::codes::ResultCode;
use orioleworks_standins::{
    provenance::{nonce, sample_tokens, token},
    trainer::{Checker, Findings, TrainerConfig, groups, run},
    trainer_ledger::{CrashPoint, DurableState},
};
use orioleworks_trainer::messages::{Sample, Span};
use rstest::rstest;
use serde_json::{Value, json};

const MAX_TOKENS: u64 = 16;

fn config() -> TrainerConfig {
    TrainerConfig {
        entries: Vec::new(),
        weights: None,
        run: "run".into(),
        profile: "scorer".into(),
        model: "scorer".into(),
        steps: 1,
        groups: 1,
        samples: 3,
        max_tokens: MAX_TOKENS,
        first_version: 5,
        max_staleness: 2,
        seed: 1,
        prompts: 0,
        train_time: Duration::ZERO,
        step_deadline: Duration::from_secs(3),
        wait_ms: 1000,
        state: None,
        crash_at: None,
    }
}

fn sample(index: u32, version: u64) -> Sample {
    let (prompt, request_nonce) =
        (groups(&config(), 1)[0].prompt.clone(), nonce(&index.to_string()));
    let tokens = sample_tokens(&prompt, 1, request_nonce, MAX_TOKENS);
    let text = (0..tokens).map(|i| token(&prompt, 1, request_nonce, i, version)).collect();
    let spans = vec![Span { version, tokens: u32::try_from(tokens).expect("small") }];
    Sample { group: "0".into(), index, text, tokens, spans, score: None, attempts: 1 }
}

/// Starts an entry that sends prepared responses in order and records the requests.
async fn start_entry(responses: Vec<(u16, Value)>) -> (String, Rc<RefCell<Vec<Value>>>) {
    let listener = http::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    let (requests, responses) =
        (Rc::new(RefCell::new(Vec::new())), Rc::new(RefCell::new(responses)));
    let recorded = requests.clone();
    let handler = move |req: http::Request| {
        let (responses, recorded) = (responses.clone(), recorded.clone());
        async move {
            let body = http::read_body(req.into_body(), &http::Limits::default()).await;
            let body: Value = serde_json::from_slice(&body.expect("body")).expect("JSON");
            if body.get("order_id").is_some() {
                return http::json(200, &json!({"revision": 1}));
            }
            recorded.borrow_mut().push(body);
            next_response(&mut responses.borrow_mut())
        }
    };
    let limits = http::Limits::default();
    compio::runtime::spawn(http::serve(listener, limits, Shutdown::default(), handler)).detach();
    (address, requests)
}

fn next_response(responses: &mut Vec<(u16, Value)>) -> Response {
    if responses.is_empty() {
        return http::error(ResultCode::UnknownStep, "", 0);
    }
    let (status, body) = responses.remove(0);
    http::json(status, &body)
}

/// Refusal of an entry for an epoch that is no longer valid.
fn stale_epoch() -> (u16, Value) {
    let code = ResultCode::StaleEpoch;
    (code.http_status(), json!({"code": code.number(), "message": ""}))
}

fn opened(epoch: u64) -> (u16, Value) {
    (200, json!({"epoch": epoch, "owner": "", "missing": 3}))
}

fn batch(epoch: u64, cursor: u64, indexes: &[u32], complete: bool) -> (u16, Value) {
    let samples: Vec<Sample> = indexes.iter().map(|index| sample(*index, 5)).collect();
    let next_cursor = cursor + u64::from(!samples.is_empty());
    let body = json!({
        "epoch": epoch, "step": 1, "cursor": cursor, "next_cursor": next_cursor,
        "samples": samples, "missing": 0, "complete": complete,
    });
    (200, body)
}

/// Guards against samples taken twice, from an old epoch or from another cursor, and against a reopened step that
/// runs taken slots again.
#[rstest]
#[case::in_order(vec![opened(1), batch(1, 0, &[0, 1], false), batch(1, 1, &[2], true)], 0, 0)]
#[case::slot_twice(vec![opened(1), batch(1, 0, &[0, 1], false), batch(1, 1, &[1, 2], true)], 0, 1)]
#[case::old_epoch(vec![opened(2), batch(1, 0, &[0], false), batch(2, 0, &[0, 1, 2], true)], 1, 0)]
#[case::old_cursor(
    vec![opened(1), batch(1, 0, &[0, 1], false), batch(1, 0, &[2], false), batch(1, 1, &[2], true)], 1, 0)]
#[case::reopened(
    vec![opened(1), batch(1, 0, &[0, 1], false), stale_epoch(), opened(2), batch(2, 0, &[2], true)], 0, 0)]
fn each_slot_is_taken_once(
    #[case] responses: Vec<(u16, Value)>,
    #[case] refused_batches: u64,
    #[case] refused_samples: u64,
) {
    common::run(async {
        let (entry, requests) = start_entry(responses).await;
        let directory = tempfile::tempdir().expect("directory");
        let state = Some(directory.path().join("state.json"));
        let cfg = TrainerConfig { entries: vec![entry], state, ..config() };
        let report = run(&cfg).await.expect("report");
        let durable = DurableState::read(cfg.state.as_deref().expect("path")).expect("state");
        let samples = durable.expect("state").samples;
        let taken: Vec<u32> = samples.iter().map(|sample| sample.index).collect();
        assert_eq!(taken, [0, 1, 2]);
        assert_eq!(report.steps, 1);
        assert_eq!(report.findings, Findings { samples: 3, ..Findings::default() });
        assert_eq!(report.delivery.ignored_batches, refused_batches);
        assert_eq!(report.delivery.ignored_samples, refused_samples);
        let requests = requests.borrow();
        let opens: Vec<&Value> =
            requests.iter().filter(|body| body.get("taken").is_some()).collect();
        assert_eq!(opens[0]["last_epoch"], 0);
        if let Some(second) = opens.get(1) {
            assert_eq!(second["last_epoch"], 1);
            assert_eq!(second["taken"].as_array().map(Vec::len), Some(2));
        }
        let mut fetches = requests.iter().filter(|body| body.get("cursor").is_some());
        let last = fetches.next_back().expect("acknowledgement");
        assert!(last["cursor"].as_u64() >= Some(1));
    });
}

/// Guards against a trainer that accepts a step as complete without all of its samples.
#[test]
fn a_lost_sample_fails_the_step() {
    common::run(async {
        let responses = vec![opened(1), batch(1, 0, &[0, 1], true)];
        let (entry, _) = start_entry(responses).await;
        let report =
            run(&TrainerConfig { entries: vec![entry], ..config() }).await.expect("report");
        assert_eq!((report.steps, report.findings.lost), (0, 1));
        assert!(!report.failures.is_empty());
    });
}

/// Guards against a crash order that is parsed wrongly, so that a fault test runs without its fault.
#[rstest]
#[case("before:2", Some(CrashPoint { after: false, batch: 2 }))]
#[case("after:1", Some(CrashPoint { after: true, batch: 1 }))]
#[case("during:1", None)]
#[case("after:", None)]
fn crash_orders_are_read(#[case] text: &str, #[case] expected: Option<CrashPoint>) {
    assert_eq!(text.parse().ok(), expected);
}

/// Guards against a check that accepts samples with wrong labels or scores, of old weights or other prompts, cut
/// samples or duplicates.
#[test]
fn faulty_samples_are_counted() {
    let prompt = groups(&config(), 1)[0].prompt.clone();
    let mut checker = Checker::new(&config(), 5);
    let mut findings = Findings::default();
    assert_eq!(checker.check(&prompt, &sample(0, 4), &mut findings), Some(1));
    assert_eq!(findings, Findings { samples: 1, ..Findings::default() });
    checker.check(&prompt, &sample(0, 4), &mut findings);
    assert_eq!(checker.check(&prompt, &sample(1, 2), &mut findings), Some(3));
    let mut mislabelled = sample(2, 4);
    mislabelled.spans[0].version = 5;
    checker.check(&prompt, &mislabelled, &mut findings);
    checker.check("another", &sample(3, 5), &mut findings);
    let mut cut = sample(4, 5);
    cut.text.truncate(cut.text.len() - 24);
    checker.check(&prompt, &cut, &mut findings);
    let misjudged = Sample { score: Some(2.0), ..sample(5, 5) };
    checker.check(&prompt, &misjudged, &mut findings);
    let expected = Findings {
        samples: 7,
        doubled: 1,
        over_bound: 1,
        mislabelled: 1,
        crossed: 1,
        broken: 1,
        misjudged: 1,
        lost: 0,
    };
    assert_eq!(findings, expected);
}
