//! The trainer's contract, tested against scripted entries.

use std::{cell::RefCell, collections::BTreeSet, future::Future, rc::Rc, time::Duration};

use orioleworks_daemon::{http, shutdown::Shutdown};
use orioleworks_proto::codes::ResultCode;
use orioleworks_trainer::{
    Trainer, TrainerError,
    client::Options,
    messages::{Batch, Group, Sample, Span, StepRequest},
    state::State,
};
use rstest::rstest;
use serde_json::{Value, json};

fn block_on(test: impl Future<Output = ()>) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        compio::time::timeout(Duration::from_secs(20), test).await.expect("the test ends in time")
    });
}

type RequestLog = Rc<RefCell<Vec<(String, Value)>>>;

/// Entry whose response to each request comes from a closure over path and body.
async fn entry(respond: impl Fn(&str, &Value) -> (u16, Value) + 'static) -> (String, RequestLog) {
    let listener = http::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (seen, respond) = (RequestLog::default(), Rc::new(respond));
    let log = seen.clone();
    let limits = http::Limits::default();
    let serve = http::serve(listener, limits, Shutdown::default(), move |req| {
        let (log, respond) = (log.clone(), respond.clone());
        async move {
            let path = req.uri().path().to_owned();
            let body = http::read_body(req.into_body(), &limits).await.unwrap();
            let body: Value = serde_json::from_slice(&body).unwrap();
            let (status, reply) = respond(&path, &body);
            log.borrow_mut().push((path, body));
            http::json(status, &reply)
        }
    });
    compio::runtime::spawn(serve).detach();
    (address, seen)
}

fn refusal(code: ResultCode, owner: Option<&str>) -> (u16, Value) {
    let body = json!({"code": code.number(), "message": code.to_string(), "owner": owner});
    (code.http_status(), body)
}

fn step() -> StepRequest {
    let group = Group { group: "g".into(), prompt: "p".into(), samples: 2 };
    let (profile, model) = ("scorer".into(), "m".into());
    StepRequest { step: 1, profile, model, max_tokens: 8, groups: vec![group] }
}

fn sample(index: u32) -> Sample {
    Sample {
        group: "g".into(),
        index,
        text: String::new(),
        tokens: 1,
        spans: vec![Span { version: 1, tokens: 1 }],
        score: None,
        attempts: 1,
    }
}

fn batch(epoch: u64, cursor: u64, indices: &[u32]) -> Batch {
    let samples: Vec<Sample> = indices.iter().map(|index| sample(*index)).collect();
    let next_cursor = cursor + u64::from(!samples.is_empty());
    Batch { epoch, step: 1, cursor, next_cursor, samples, missing: 0, complete: true }
}

fn options() -> Options {
    Options { max_samples: 10, wait_ms: 100, retry_timeout: Duration::from_secs(5) }
}

/// Guards against a trainer that takes a late or repeated batch, or one of another step or epoch.
#[rstest]
#[case::fits(batch(3, 1, &[0, 1]), Some((2, vec![1])))]
#[case::nothing_ready(batch(3, 1, &[]), Some((1, vec![])))]
#[case::old_epoch(batch(2, 1, &[1]), None)]
#[case::newer_epoch_of_a_late_open(batch(4, 1, &[1]), None)]
#[case::old_cursor(batch(3, 0, &[1]), None)]
#[case::later_cursor(batch(3, 2, &[1]), None)]
#[case::other_step(Batch { step: 2, ..batch(3, 1, &[1]) }, None)]
fn batch_is_taken_by_the_rules(#[case] batch: Batch, #[case] expected: Option<(u64, Vec<u32>)>) {
    let taken = BTreeSet::from([("g".into(), 0)]);
    let state = State { run: "r".into(), epoch: 3, step: 1, cursor: 1, taken };
    let result = state.after_batch(&batch).map(|(next, new)| {
        assert_eq!(next.taken.len(), 1 + new.len());
        (next.cursor, new.iter().map(|sample| sample.index).collect())
    });
    assert_eq!(result, expected);
}

/// Guards against reopening a step without its taken slots, and against slots of an old step in a new one.
#[rstest]
#[case::same_step(1, 1)]
#[case::next_step(2, 0)]
fn open_resets_the_cursor_and_keeps_slots_of_the_same_step(#[case] step: u64, #[case] kept: usize) {
    let taken = BTreeSet::from([("g".into(), 0)]);
    let state = State { run: "r".into(), epoch: 3, step: 1, cursor: 5, taken };
    let next = state.after_open(step, 4);
    assert_eq!((next.epoch, next.step, next.cursor, next.taken.len()), (4, step, 0, kept));
}

/// Guards against samples that count as taken although the trainer could not write them.
#[rstest]
fn failed_write_takes_nothing() {
    block_on(async {
        let (address, _) = entry(|path, _| match path {
            "/v1/runs/r/steps" => (200, json!({"epoch": 1, "owner": "", "missing": 2})),
            _ => (200, serde_json::to_value(batch(1, 0, &[0, 1])).unwrap()),
        })
        .await;
        let fail = move |_: &State, samples: &[Sample]| {
            if samples.is_empty() { Ok(()) } else { Err("disk is full".into()) }
        };
        let state = State::new("r");
        let mut trainer = Trainer::new([address], state, options(), Box::new(fail)).unwrap();
        trainer.open(&step(), 1).await.unwrap();
        let error = trainer.next_batch(&step(), 1).await.unwrap_err();
        assert_eq!(error, TrainerError::Persist("disk is full".into()));
        assert_eq!((trainer.state().cursor, trainer.state().taken.len()), (0, 0));
    });
}

/// Guards against a trainer that stays with an entry that lost the run, or reopens a step without its taken slots.
#[rstest]
fn not_owner_is_followed_with_the_taken_slots() {
    block_on(async {
        let (second, seen) = entry(|path, _| match path {
            "/v1/runs/r/steps" => (200, json!({"epoch": 9, "owner": "", "missing": 1})),
            _ => (500, Value::Null),
        })
        .await;
        let named = second.clone();
        let (first, _) = entry(move |path, _| match path {
            "/v1/runs/r/steps" => (200, json!({"epoch": 5, "owner": "", "missing": 1})),
            _ => refusal(ResultCode::NotOwner, Some(&named)),
        })
        .await;
        let taken = BTreeSet::from([("g".into(), 1)]);
        let state = State { run: "r".into(), epoch: 4, step: 1, cursor: 2, taken };
        let persisted = Rc::new(RefCell::new(Vec::new()));
        let log = persisted.clone();
        let persist = move |state: &State, _: &[Sample]| {
            log.borrow_mut().push((state.epoch, state.cursor));
            Ok(())
        };
        let mut trainer = Trainer::new([first], state, options(), Box::new(persist)).unwrap();
        trainer.open(&step(), 1).await.unwrap();
        let limit = Duration::from_millis(500);
        drop(compio::time::timeout(limit, trainer.next_batch(&step(), 1)).await);
        assert_eq!(*persisted.borrow(), [(5, 0), (9, 0)]);
        let seen = seen.borrow();
        let (path, body) = &seen[0];
        assert_eq!(path, "/v1/runs/r/steps");
        assert_eq!((&body["taken"], &body["last_epoch"]), (&json!([["g", 1]]), &json!(5)));
    });
}

/// Guards against a version that is published twice after a lost response: the order ID stays the same.
#[rstest]
fn publication_is_resent_under_the_same_order_id() {
    block_on(async {
        let (first, seen) = entry(|_, _| refusal(ResultCode::OrderUnconfirmed, None)).await;
        let (second, also_seen) = entry(|_, _| (200, json!({"revision": 7}))).await;
        let persist = Box::new(|_: &State, _: &[Sample]| Ok(()));
        let entries = [first, "127.0.0.1:1".into(), second];
        let mut trainer = Trainer::new(entries, State::new("r"), options(), persist).unwrap();
        assert_eq!(trainer.publish("m", 3, "order-1").await.unwrap(), 7);
        let expected =
            ("/v1/models/m/versions".to_owned(), json!({"version": 3, "order_id": "order-1"}));
        assert_eq!(seen.borrow().as_slice(), std::slice::from_ref(&expected));
        assert_eq!(also_seen.borrow().as_slice(), [expected]);
    });
}
