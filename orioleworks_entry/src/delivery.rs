//! Delivers samples to trainers in batches; a cursor numbers the batches of a step.
//!
//! See `docs/design.md`, section 10. The cursor rules are `orioleworks_rules::delivery::decide_batch`.
//!
//! A request with a repeated cursor gets the open batch again. Samples that have meanwhile become too old for the
//! trainer are removed from the open batch, and their slots are run again. This keeps the delivery rules:
//!
//! - R2: every response holds only samples that are fresh for the trainer version of its own request.
//! - R3: a trainer advances its cursor in the same write that records the slots, and never takes the response to a
//!   request that it has abandoned. A request for cursor `c` therefore proves that the trainer had not taken batch `c`
//!   when it sent the request. Only a delayed request can arrive after the batch was taken; its trainer version is no
//!   higher than that of the request whose response was taken, so every sample is fresh for it and it changes nothing.
//! - No slot is added to an open batch. A trainer that took the earlier, larger response loses nothing when it
//!   acknowledges the cursor: the removed slots are run again and the trainer ignores them as taken.
//!
//! When the last sample is removed, the batch is closed, and the next batch gets the same cursor.

use std::time::{Duration, Instant};

use fail::fail_point;
use orioleworks_daemon::clock;
use orioleworks_proto::codes::ResultCode;
use orioleworks_rules::delivery::{BatchDecision, OwnerCursor, decide_batch};

use crate::{
    runs_messages::{Batch, FetchBatch, RunError, Sample},
    runs_step::{Slot, State, Step},
};

/// Longest wait for samples.
pub const MAX_WAIT: Duration = Duration::from_secs(30);
/// Interval at which a waiting request checks whether the entry drains; new samples wake it earlier.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Largest batch in bytes; a larger sample is sent in a batch of its own.
pub const MAX_BATCH_BYTES: usize = 4 * 1024 * 1024;

/// Handles a request for a batch; waits for samples if none are ready.
///
/// # Errors
///
/// Returns why the request does not fit the step.
pub async fn fetch(step: &Step, req: &FetchBatch) -> Result<Batch, RunError> {
    if req.max_samples == 0 {
        return Err(RunError::new(ResultCode::BadRequest, "max_samples must be at least 1"));
    }
    let deadline = Instant::now() + Duration::from_millis(req.wait_ms).min(MAX_WAIT);
    loop {
        let changed = step.signal.wait();
        let batch = decide(step, req)?;
        let remaining = deadline.saturating_duration_since(Instant::now());
        // A draining owner delivers its finished samples before it directs the trainer to another entry.
        let has_samples = !batch.samples.is_empty() || batch.complete;
        if !has_samples && step.has_drained() {
            let detail = "the entry shuts down; open the step at another entry";
            return Err(RunError::new(ResultCode::ShuttingDown, detail));
        }
        if has_samples || remaining.is_zero() {
            fail_point!("delivery.before_send");
            return Ok(batch);
        }
        if step.token.is_cancelled() {
            return Err(RunError::new(ResultCode::UnknownStep, "the step was closed or reopened"));
        }
        changed.up_to(remaining.min(DRAIN_CHECK_INTERVAL)).await;
    }
}

/// Builds the batch for a request without waiting; it is empty if no sample is ready.
fn decide(step: &Step, req: &FetchBatch) -> Result<Batch, RunError> {
    let mut requeued = false;
    fail_point!("delivery.before_next");
    {
        let mut state = step.state.borrow_mut();
        state.last_request = clock::since_boot();
        let owner = OwnerCursor {
            epoch: step.epoch,
            cursor: state.cursor,
            batch_open: state.open_batch.is_some(),
        };
        let decision = decide_batch(owner, req.epoch, req.cursor);
        match decision {
            BatchDecision::StaleEpoch => {
                let detail = format!("the epoch of the run at this entry is {}", step.epoch);
                return Err(RunError::new(ResultCode::StaleEpoch, detail));
            }
            BatchDecision::BadCursor => {
                let detail = format!("the cursor of the step is {}", state.cursor);
                return Err(RunError::new(ResultCode::BadCursor, detail));
            }
            BatchDecision::Repeat | BatchDecision::Next => {}
        }
        // A closed step only repeats the response to the last acknowledgement, which may have been lost.
        if !state.closed {
            state.trainer_version = state.trainer_version.max(req.trainer_version);
            if decision == BatchDecision::Next {
                acknowledge(&mut state);
            }
            requeued = discard_stale(step, &mut state);
            if decision == BatchDecision::Next || state.open_batch.is_none() {
                open_batch(&mut state, req.max_samples);
            }
        }
    }
    if requeued {
        step.signal.notify();
    }
    Ok(build_batch(step))
}

/// Marks the samples of the open batch as taken and advances the cursor.
fn acknowledge(state: &mut State) {
    let Some(open) = state.open_batch.take() else { return };
    state.cursor += 1;
    for slot in open {
        if let Slot::Sent(sample) = std::mem::replace(&mut state.slots[slot], Slot::Taken) {
            state.held_bytes -= sample.bytes();
        }
    }
}

/// Discards every finished sample that is too old for the trainer; returns whether any slot must run again.
fn discard_stale(step: &Step, state: &mut State) -> bool {
    let bound = step.profile.max_staleness;
    let is_stale = |state: &State, slot: usize| match &state.slots[slot] {
        Slot::Ready(sample) | Slot::Sent(sample) => !state.is_fresh(sample, bound),
        _ => false,
    };
    let held_slots = state.ready.iter().chain(state.open_batch.iter().flatten()).copied();
    let stale_slots: Vec<usize> = held_slots.filter(|slot| is_stale(state, *slot)).collect();
    if stale_slots.is_empty() {
        return false;
    }
    for slot in &stale_slots {
        state.discard(*slot);
    }
    let is_missing = |slots: &[Slot], slot: usize| matches!(slots[slot], Slot::Missing);
    let State { slots, ready, open_batch, .. } = state;
    ready.retain(|slot| !is_missing(slots, *slot));
    if let Some(batch) = open_batch {
        batch.retain(|slot| !is_missing(slots, *slot));
        if batch.is_empty() {
            *open_batch = None;
        }
    }
    metrics::counter!("orioleworks_samples_discarded_total", "reason" => "stale")
        .increment(stale_slots.len() as u64);
    true
}

/// Moves ready samples into a new batch, if there are any.
fn open_batch(state: &mut State, max_samples: usize) {
    let (mut batch, mut bytes) = (Vec::new(), 0);
    while batch.len() < max_samples
        && let Some(slot) = state.ready.front().copied()
    {
        let Slot::Ready(sample) = &state.slots[slot] else { break };
        bytes += sample.bytes();
        if !batch.is_empty() && bytes > MAX_BATCH_BYTES {
            break;
        }
        if let Slot::Ready(sample) = std::mem::replace(&mut state.slots[slot], Slot::Missing) {
            state.slots[slot] = Slot::Sent(sample);
        }
        state.ready.pop_front();
        batch.push(slot);
    }
    if !batch.is_empty() {
        state.open_batch = Some(batch);
    }
}

fn build_batch(step: &Step) -> Batch {
    let missing = step.undelivered_slots();
    let state = step.state.borrow();
    let open = state.open_batch.iter().flatten();
    let samples: Vec<Sample> = open
        .filter_map(|slot| match &state.slots[*slot] {
            Slot::Sent(sample) => Some(sample.clone()),
            _ => None,
        })
        .collect();
    Batch {
        epoch: step.epoch,
        step: step.step,
        cursor: state.cursor,
        next_cursor: state.cursor + u64::from(!samples.is_empty()),
        samples,
        missing,
        complete: missing == 0,
    }
}
