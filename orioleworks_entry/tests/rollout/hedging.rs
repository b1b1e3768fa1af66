//! Second attempts for slow samples, and scores from the judge.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use orioleworks_entry::{
    dispatch::Job,
    runs_messages::{FetchBatch, Sample},
};
use orioleworks_proto::{codes::ResultCode, inner};
use rstest::rstest;

use crate::fakes::{FakeControl, TestEntry, block_on, completed, open_step, profile, refused};

async fn run_step(entry: &TestEntry, groups: u32, samples: u32) -> Vec<Sample> {
    let step = open_step(1, groups, samples);
    let epoch = entry.runs.open("run", step).await.unwrap().epoch;
    let (mut cursor, mut taken) = (0, Vec::new());
    loop {
        let fetch = FetchBatch {
            epoch,
            step: 1,
            cursor,
            trainer_version: 1,
            max_samples: 100,
            wait_ms: 1000,
        };
        let batch = entry.runs.fetch("run", fetch).await.unwrap();
        cursor = batch.next_cursor;
        let done = batch.complete && batch.samples.is_empty();
        taken.extend(batch.samples);
        if done {
            return taken;
        }
    }
}

/// Guards against second attempts beyond the budget, a slot that is delivered twice, and a slower attempt that is not
/// cancelled.
#[rstest]
#[case::budget_for_one(100, 1)]
#[case::budget_for_all(1000, 4)]
#[case::no_budget(0, 0)]
fn second_attempts_stay_in_their_budget(#[case] permille: u32, #[case] expected: usize) {
    block_on(async {
        let control = FakeControl::start().await;
        let second_attempts = Rc::new(RefCell::new(Vec::new()));
        let cancelled = Rc::new(Cell::new(0));
        let (recorded, counter) = (second_attempts.clone(), cancelled.clone());
        let profile = inner::Profile { second_attempt_permille: permille, ..profile() };
        let entry = TestEntry::start("a", &control, profile, move |job: Job| {
            let (recorded, counter) = (recorded.clone(), counter.clone());
            async move {
                if job.request_id.ends_with("-3-1") {
                    let wait = Duration::from_millis(1500);
                    if compio::time::timeout(wait, job.cancel.cancelled()).await.is_ok() {
                        counter.set(counter.get() + 1);
                        return Err(refused(ResultCode::OutcomeUnknown));
                    }
                } else if !job.avoid.is_empty() {
                    recorded.borrow_mut().push((job.request_id.clone(), job.avoid.clone()));
                }
                Ok(completed(&*job.request_id, 1, 10))
            }
        })
        .await;
        let mut samples = run_step(&entry, 4, 4).await;
        assert_eq!(samples.len(), 16, "no slot is delivered twice");
        samples.sort_by_key(|sample| (sample.group.clone(), sample.index));
        samples.dedup_by_key(|sample| (sample.group.clone(), sample.index));
        assert_eq!(samples.len(), 16);
        assert_eq!(second_attempts.borrow().len(), expected);
        assert!(second_attempts.borrow().iter().all(|(_, avoid)| **avoid == ["first".into()]));
        let second_attempts_used =
            samples.iter().filter(|sample| sample.text.ends_with("-3-2")).count();
        assert_eq!(second_attempts_used, expected, "the first complete response is used");
        compio::time::sleep(Duration::from_millis(20)).await;
        assert_eq!(cancelled.get(), expected);
    });
}

/// Guards against samples without a score, and against losing a sample to a failed judge call.
#[rstest]
fn judge_scores_each_sample_and_is_asked_again_after_a_failure() {
    block_on(async {
        let control = FakeControl::start().await;
        let failures = Rc::new(Cell::new(2));
        let profile = inner::Profile { judge_kind: "judge".into(), ..profile() };
        let entry = TestEntry::start("a", &control, profile, move |job: Job| {
            let failures = failures.clone();
            async move {
                if job.profile.upstream_kind != "judge" {
                    return Ok(completed("text", 1, 4));
                }
                if failures.get() > 0 {
                    failures.set(failures.get() - 1);
                    return Err(refused(ResultCode::NoUpstream));
                }
                let question: serde_json::Value = serde_json::from_slice(&job.body).unwrap();
                assert_eq!(question["text"], "text");
                let mut done = completed(r#"{"score": 0.5}"#, 1, 0);
                done.spans.clear();
                Ok(done)
            }
        })
        .await;
        let samples = run_step(&entry, 1, 3).await;
        assert_eq!(samples.len(), 3);
        assert!(samples.iter().all(|sample| sample.score == Some(0.5) && sample.attempts == 1));
    });
}
