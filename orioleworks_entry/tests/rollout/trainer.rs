//! The trainer library with entries over HTTP.

use std::{cell::RefCell, rc::Rc, time::Duration};

use orioleworks_trainer::{
    Trainer,
    client::Options,
    messages::{Group, Sample, StepRequest},
    state::State,
};
use rstest::rstest;

use crate::fakes::{FakeControl, TestEntry, block_on, completed, profile};

type Taken = Rc<RefCell<Vec<(String, u32)>>>;

fn trainer(entries: &[&TestEntry], taken: &Taken) -> Trainer {
    let taken = taken.clone();
    let options = Options { max_samples: 3, wait_ms: 300, retry_timeout: Duration::from_secs(10) };
    let persist = move |_: &State, samples: &[Sample]| {
        taken.borrow_mut().extend(samples.iter().map(|s| (s.group.clone(), s.index)));
        Ok(())
    };
    let addresses = entries.iter().map(|entry| entry.address.clone());
    Trainer::new(addresses, State::new("run"), options, Box::new(persist)).unwrap()
}

fn step(number: u64, groups: u32, samples: u32) -> StepRequest {
    let group = |i| Group { group: format!("g{i}"), prompt: format!("prompt {i}"), samples };
    StepRequest {
        step: number,
        profile: "scorer".into(),
        model: "m".into(),
        max_tokens: 10,
        groups: (0..groups).map(group).collect(),
    }
}

fn assert_each_once(taken: &Taken, groups: u32, samples: u32) {
    let mut seen = taken.borrow().clone();
    seen.sort();
    let mut expected: Vec<(String, u32)> =
        (0..groups).flat_map(|g| (0..samples).map(move |i| (format!("g{g}"), i))).collect();
    expected.sort();
    assert_eq!(seen, expected);
}

/// Guards against slots that are delivered twice or never, with and without lost responses.
#[rstest]
#[case::no_loss(0)]
#[case::one_lost_answer(1)]
#[case::reopen_after_two_lost_answers(2)]
#[case::several_lost_answers(5)]
fn step_is_delivered_exactly_once(#[case] lost_responses: u32) {
    block_on(async {
        let control = FakeControl::start().await;
        let entry = TestEntry::start("a", &control, profile(), |job| async move {
            compio::time::sleep(Duration::from_millis(5)).await;
            Ok(completed(&*job.request_id, 1, 4))
        })
        .await;
        let taken = Taken::default();
        let mut trainer = trainer(&[&entry], &taken);
        for number in 1..=2 {
            taken.borrow_mut().clear();
            trainer.open(&step(number, 4, 4), 1).await.unwrap();
            entry.responses_to_drop.set(lost_responses);
            trainer.run_step(&step(number, 4, 4), 1, |_| ()).await.unwrap();
            assert_each_once(&taken, 4, 4);
            assert_eq!(entry.runs.open_steps(), 0, "the acknowledgement closes the step");
        }
    });
}

/// Guards against running samples that are lost in a planned stop, and against a drain that does not end.
#[rstest]
fn draining_owner_delivers_running_slots_and_the_next_step_moves() {
    block_on(async {
        let control = FakeControl::start().await;
        let engine = |job: orioleworks_entry::dispatch::Job| async move {
            let pause = if job.request_id.contains("-g2-") { 400 } else { 20 };
            compio::time::sleep(Duration::from_millis(pause)).await;
            Ok(completed(&*job.request_id, 1, 4))
        };
        let first = TestEntry::start("a", &control, profile(), engine).await;
        let second = TestEntry::start("b", &control, profile(), engine).await;
        let taken = Taken::default();
        let mut trainer = trainer(&[&first, &second], &taken);
        trainer.open(&step(1, 3, 4), 1).await.unwrap();
        compio::time::sleep(Duration::from_millis(100)).await;
        // The server of the fake keeps accepting requests, as the entry's does until its runs are idle.
        first.runs_drain.cancel();
        trainer.run_step(&step(1, 3, 4), 1, |_| ()).await.unwrap();
        assert_each_once(&taken, 3, 4);
        assert_eq!(
            trainer.owner(),
            Some(first.address.as_str()),
            "running slots finish at the draining owner"
        );
        trainer.run_step(&step(2, 1, 2), 1, |_| ()).await.unwrap();
        assert_eq!(trainer.owner(), Some(second.address.as_str()));
        first.runs.wait_until_idle().await;
    });
}

/// Guards against slots that are lost or delivered twice when the owner crashes during a step.
#[rstest]
fn lost_owner_is_replaced_and_each_slot_is_taken_once() {
    block_on(async {
        let control = FakeControl::start().await;
        let engine = |job: orioleworks_entry::dispatch::Job| async move {
            compio::time::sleep(Duration::from_millis(20)).await;
            Ok(completed(&*job.request_id, 1, 4))
        };
        let first = TestEntry::start("a", &control, profile(), engine).await;
        let second = TestEntry::start("b", &control, profile(), engine).await;
        let taken = Taken::default();
        let mut trainer = trainer(&[&first, &second], &taken);
        let step = step(1, 3, 4);
        let (samples, _) = trainer.next_batch(&step, 1).await.unwrap();
        assert!(!samples.is_empty() && samples.len() < 12);
        let epoch = trainer.state().epoch;
        first.kill();
        trainer.run_step(&step, 1, |_| ()).await.unwrap();
        assert!(trainer.state().epoch > epoch);
        assert_eq!(trainer.owner(), Some(second.address.as_str()));
        assert_each_once(&taken, 3, 4);
    });
}
