//! Cursor, staleness and retry rules of the entry that owns a run.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    time::Duration,
};

use orioleworks_entry::{
    dispatch::Job,
    runs_dispatch::MAX_CONCURRENT,
    runs_messages::{Batch, FetchBatch},
};
use orioleworks_proto::{codes::ResultCode, inner};
use orioleworks_trainer::state::State;
use rstest::rstest;

use crate::fakes::{FakeControl, TestEntry, block_on, completed, open_step, profile, refused};

fn fetch(epoch: u64, cursor: u64, trainer_version: u64) -> FetchBatch {
    FetchBatch { epoch, step: 1, cursor, trainer_version, max_samples: 100, wait_ms: 2000 }
}

fn indices(batch: &Batch) -> BTreeSet<u32> {
    batch.samples.iter().map(|sample| sample.index).collect()
}

/// Fetches every batch as a trainer does, at a fixed trainer version.
async fn fetch_all(entry: &TestEntry, epoch: u64, mut cursor: u64, version: u64) -> Vec<Batch> {
    let mut batches = Vec::new();
    loop {
        let batch = entry.runs.fetch("run", fetch(epoch, cursor, version)).await.unwrap();
        cursor = batch.next_cursor;
        let done = batch.complete && batch.samples.is_empty();
        batches.push(batch);
        if done {
            return batches;
        }
    }
}

/// Guards against a repeated cursor that returns other samples, and against stale samples in the repeat.
#[rstest]
fn repeat_is_unchanged_while_fresh_and_omits_stale_samples() {
    block_on(async {
        let control = FakeControl::start().await;
        let executions = Rc::new(Cell::new(0_u64));
        let lowest_versions = Rc::new(RefCell::new(Vec::new()));
        let (count, recorded) = (executions.clone(), lowest_versions.clone());
        let entry = TestEntry::start("a", &control, profile(), move |job: Job| {
            count.set(count.get() + 1);
            recorded.borrow_mut().push(job.lowest_version);
            // The first two attempts run on version 1, all later ones on version 2.
            let version = if count.get() <= 2 { 1 } else { 2 };
            async move { Ok(completed("t", version, 4)) }
        })
        .await;
        let epoch = entry.runs.open("run", open_step(1, 1, 4)).await.unwrap().epoch;
        compio::time::sleep(Duration::from_millis(50)).await;
        let first = entry.runs.fetch("run", fetch(epoch, 0, 2)).await.unwrap();
        assert_eq!(indices(&first).len(), 4);
        let again = entry.runs.fetch("run", fetch(epoch, 0, 2)).await.unwrap();
        assert_eq!(again.samples, first.samples);
        let reduced = entry.runs.fetch("run", fetch(epoch, 0, 3)).await.unwrap();
        assert_eq!(indices(&reduced), BTreeSet::from([2, 3]));
        assert_eq!(reduced.missing, 2);
        let rest = fetch_all(&entry, epoch, reduced.next_cursor, 3).await;
        let rest: Vec<u32> = rest.iter().flat_map(indices).collect();
        assert_eq!(rest.len(), 2);
        assert_eq!(rest.into_iter().collect::<BTreeSet<_>>(), BTreeSet::from([0, 1]));
        assert_eq!(
            lowest_versions.borrow()[4..],
            [2, 2],
            "a repeated slot must not be stale again"
        );
    });
}

/// Guards against delivering a stale sample: it is discarded and its slot is run again.
#[rstest]
fn too_old_sample_is_run_again() {
    block_on(async {
        let control = FakeControl::start().await;
        let entry = TestEntry::start("a", &control, profile(), |job: Job| async move {
            Ok(completed("t", job.lowest_version.max(1), 4))
        })
        .await;
        let epoch = entry.runs.open("run", open_step(1, 2, 2)).await.unwrap().epoch;
        compio::time::sleep(Duration::from_millis(50)).await;
        let batches = fetch_all(&entry, epoch, 0, 5).await;
        let samples: Vec<_> = batches.iter().flat_map(|batch| &batch.samples).collect();
        assert_eq!(samples.len(), 4);
        assert!(samples.iter().all(|sample| sample.lowest_version() == 4 && sample.attempts == 2));
    });
}

/// Guards against samples with unknown weight versions, and against slots that are lost after a failed attempt.
#[rstest]
#[case::no_span(Ok(inner::Span::default()))]
#[case::unknown_outcome(Err(ResultCode::OutcomeUnknown))]
#[case::not_run(Err(ResultCode::NoUpstream))]
fn inconclusive_sample_is_run_again(#[case] first: Result<inner::Span, ResultCode>) {
    block_on(async {
        let control = FakeControl::start().await;
        let entry = TestEntry::start("a", &control, profile(), move |job: Job| async move {
            let mut done = completed("t", 1, 4);
            if job.request_id.ends_with("-1") {
                done.spans.push(first.map_err(refused)?);
            }
            Ok(done)
        })
        .await;
        let epoch = entry.runs.open("run", open_step(1, 2, 2)).await.unwrap().epoch;
        let batches = fetch_all(&entry, epoch, 0, 1).await;
        let samples: Vec<_> = batches.iter().flat_map(|batch| &batch.samples).collect();
        assert_eq!(samples.len(), 4);
        assert!(samples.iter().all(|sample| sample.attempts == 2 && sample.spans.len() == 1));
    });
}

/// Guards against a trainer that accepts a batch from an owner that was paused while the step was reopened elsewhere.
#[rstest]
fn batch_of_a_paused_owner_is_ignored() {
    block_on(async {
        let control = FakeControl::start().await;
        let engine = |_: Job| async { Ok(completed("t", 1, 4)) };
        let old = TestEntry::start("a", &control, profile(), engine).await;
        let new = TestEntry::start("b", &control, profile(), engine).await;
        let old_epoch = old.runs.open("run", open_step(1, 1, 2)).await.unwrap().epoch;
        let late = old.runs.fetch("run", fetch(old_epoch, 0, 1)).await.unwrap();
        let epoch = new.runs.open("run", open_step(1, 1, 2)).await.unwrap().epoch;
        let state = State::new("run").after_open(1, epoch);
        let late = serde_json::from_value(serde_json::to_value(&late).unwrap()).unwrap();
        assert!(state.after_batch(&late).is_none());
        // The old owner refuses the new epoch and returns the address of the new owner.
        let error = old.runs.fetch("run", fetch(epoch, 0, 1)).await.unwrap_err();
        assert_eq!((error.code, error.owner), (ResultCode::NotOwner, Some(new.address.clone())));
        // Its drain ends, because the step was reopened elsewhere.
        old.runs.wait_until_idle().await;
        assert_eq!(old.runs.open_steps(), 0);
    });
}

/// Guards against a batch of an earlier epoch of the same entry whose cursor matches that of the reopened step.
#[rstest]
fn reopening_at_the_same_entry_gives_a_new_epoch_and_runs_only_what_is_missing() {
    block_on(async {
        let control = FakeControl::start().await;
        let engine = |_: Job| async { Ok(completed("t", 1, 4)) };
        let entry = TestEntry::start("a", &control, profile(), engine).await;
        let first = entry.runs.open("run", open_step(1, 1, 4)).await.unwrap();
        let mut again = open_step(1, 1, 4);
        again.taken = vec![("g0".into(), 1), ("g0".into(), 2)];
        again.last_epoch = first.epoch;
        let second = entry.runs.open("run", again).await.unwrap();
        assert!(second.epoch > first.epoch);
        assert_eq!(second.missing, 2);
        let error = entry.runs.fetch("run", fetch(first.epoch, 0, 1)).await.unwrap_err();
        assert_eq!(error.code, ResultCode::StaleEpoch);
        let batches = fetch_all(&entry, second.epoch, 0, 1).await;
        let slots: Vec<u32> = batches.iter().flat_map(indices).collect();
        assert_eq!(slots, [0, 3]);
        // The response to the last acknowledgement may be lost, so a repeat gets the same response.
        let cursor = batches.last().unwrap().next_cursor;
        let repeat = entry.runs.fetch("run", fetch(second.epoch, cursor, 1)).await.unwrap();
        assert!(repeat.complete && repeat.samples.is_empty());
    });
}

/// Guards against finished samples that are run again after a reopen at the same entry.
#[rstest]
fn reopening_at_the_same_entry_keeps_finished_samples() {
    block_on(async {
        let control = FakeControl::start().await;
        let executions = Rc::new(Cell::new(0));
        let count = executions.clone();
        let entry = TestEntry::start("a", &control, profile(), move |job: Job| {
            count.set(count.get() + 1);
            async move {
                if job.request_id.ends_with("-3-1") {
                    job.cancel.cancelled().await;
                }
                Ok(completed("t", 1, 4))
            }
        })
        .await;
        let first = entry.runs.open("run", open_step(1, 1, 4)).await.unwrap();
        compio::time::sleep(Duration::from_millis(50)).await;
        let batch = entry.runs.fetch("run", fetch(first.epoch, 0, 1)).await.unwrap();
        assert_eq!(indices(&batch), BTreeSet::from([0, 1, 2]));
        let mut again = open_step(1, 1, 4);
        again.taken = vec![("g0".into(), 1)];
        let second = entry.runs.open("run", again).await.unwrap();
        assert_eq!(second.missing, 3);
        let batch = entry.runs.fetch("run", fetch(second.epoch, 0, 1)).await.unwrap();
        assert_eq!(indices(&batch), BTreeSet::from([0, 2]));
        assert_eq!((batch.epoch, batch.missing), (second.epoch, 1));
        compio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(executions.get(), 5, "only the unfinished slot runs again");
    });
}

/// Guards against a draining owner that starts new slots, and against a trainer that waits there for the rest of the
/// step.
#[rstest]
fn draining_owner_starts_no_slot_and_refuses_after_its_last_sample() {
    block_on(async {
        let control = FakeControl::start().await;
        let engine = |_: Job| async {
            compio::time::sleep(Duration::from_millis(300)).await;
            Ok(completed("t", 1, 4))
        };
        let entry = TestEntry::start("a", &control, profile(), engine).await;
        let epoch = entry.runs.open("run", open_step(1, 11, 100)).await.unwrap().epoch;
        compio::time::sleep(Duration::from_millis(100)).await;
        entry.runs_drain.cancel();
        let (mut cursor, mut delivered) = (0, 0);
        let code = loop {
            match entry.runs.fetch("run", fetch(epoch, cursor, 1)).await {
                Ok(batch) => {
                    assert!(!batch.complete, "slots that had not started do not run");
                    cursor = batch.next_cursor;
                    delivered += batch.samples.len();
                }
                Err(e) => break e.code,
            }
        };
        assert_eq!((code, delivered), (ResultCode::ShuttingDown, MAX_CONCURRENT));
        let reopened = entry.runs.open("run", open_step(1, 1, 1)).await.unwrap_err();
        assert_eq!(reopened.code, ResultCode::ShuttingDown);
    });
}

/// Guards against steps that are kept for ever, and against opening a step without a quorum or beyond the limits.
#[rstest]
fn steps_expire_and_bad_opens_are_refused() {
    block_on(async {
        let control = FakeControl::start().await;
        let engine = |_: Job| async { Ok(completed("t", 1, 4)) };
        let entry = TestEntry::start("a", &control, profile(), engine).await;
        let epoch = entry.runs.open("run", open_step(1, 1, 2)).await.unwrap().epoch;
        let code = |result: Result<_, orioleworks_entry::runs_messages::RunError>| {
            result.map(|_| ()).unwrap_err().code
        };
        assert_eq!(code(entry.runs.open("run", open_step(1, 0, 1)).await), ResultCode::BadRequest);
        let large = open_step(1, 1, u32::MAX);
        assert_eq!(code(entry.runs.open("run", large).await), ResultCode::BadRequest);
        entry.runs.expire_before(Duration::MAX);
        assert_eq!(entry.runs.open_steps(), 0);
        let late = entry.runs.fetch("run", fetch(epoch, 0, 1)).await;
        assert_eq!(late.map(|_| ()).unwrap_err().code, ResultCode::UnknownStep);
        control.unreachable.set(true);
        let unconfirmed = code(entry.runs.open("run", open_step(1, 1, 2)).await);
        assert_eq!(unconfirmed, ResultCode::OrderUnconfirmed);
    });
}
