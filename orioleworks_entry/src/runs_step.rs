//! State of an open step and its slots.

use std::{
    cell::RefCell,
    collections::{HashMap, HashSet, VecDeque},
    rc::Rc,
    time::{Duration, Instant},
};

use orioleworks_daemon::clock;
use orioleworks_proto::{codes::ResultCode, inner};
use orioleworks_rules::delivery;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3;

use crate::{
    runs_hedge::{Budget, Durations},
    runs_messages::{OpenStep, RunError, Sample},
    signal::Signal,
};

/// Maximum number of groups of one step.
pub const MAX_GROUPS: usize = 16_384;
/// Maximum number of samples of one step; the design size is 8,192.
pub const MAX_SAMPLES: usize = 32_768;
/// Limit on the bytes of finished samples that one step holds; at the limit no further slot is started.
pub const MAX_HELD_BYTES: usize = 64 * 1024 * 1024;
/// Longest name of a group in bytes.
const MAX_NAME_BYTES: usize = 128;

/// State of a slot.
#[derive(Clone, Debug)]
pub enum Slot {
    /// Waiting to be run.
    Missing,
    /// Being run.
    Running,
    /// Finished, not yet in a batch.
    Ready(Sample),
    /// In the open batch.
    Sent(Sample),
    /// Acknowledged by the trainer.
    Taken,
}

/// One group of a step.
#[derive(Debug)]
pub struct GroupState {
    /// Name of the group.
    pub name: Rc<str>,
    /// Prompt of the group.
    pub prompt: Rc<str>,
    /// Hash of the prompt, for affinity.
    pub prompt_hash: u64,
    /// Index of the group's first slot in [`State::slots`].
    pub first_slot: usize,
    /// Number of its slots.
    pub slot_count: usize,
    /// Number of finished slots.
    pub finished: usize,
    /// Wakes the running attempts of the group when a slot finishes.
    pub signal: Rc<Signal>,
}

/// Position of a slot in its step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SlotId {
    /// Index of the slot in [`State::slots`].
    pub slot: usize,
    /// Index of its group in [`State::groups`].
    pub group: usize,
    /// Index of the slot in its group.
    pub index: u32,
}

/// Mutable state of an open step.
#[derive(Debug)]
pub struct State {
    /// Cursor of the open batch, or of the next batch if none is open.
    pub cursor: u64,
    /// Slots of the open batch in order; `None` when no batch is open.
    pub open_batch: Option<Vec<usize>>,
    /// Highest weight version that the trainer has reported.
    pub trainer_version: u64,
    /// All slots, group after group.
    pub slots: Vec<Slot>,
    /// Number of attempts of each slot.
    pub attempts: Vec<u32>,
    /// All groups, in the order of the request.
    pub groups: Vec<GroupState>,
    /// Slots waiting to be run.
    pub missing: VecDeque<SlotId>,
    /// Finished slots that are in no batch, in the order of completion.
    pub ready: VecDeque<usize>,
    /// Bytes of finished samples that are not acknowledged.
    pub held_bytes: usize,
    /// Budget of extra tokens for second attempts.
    pub budget: Budget,
    /// Running times of finished samples.
    pub durations: Durations,
    /// Time since boot, including suspension, of the trainer's last request.
    pub last_request: Duration,
    /// Whether every slot is acknowledged.
    pub closed: bool,
}

/// One open step.
#[derive(Debug)]
pub struct Step {
    /// Run of the step.
    pub run: Rc<str>,
    /// Number of the step.
    pub step: u64,
    /// Epoch that control assigned when the step was opened.
    pub epoch: u64,
    /// Model that the trainer trains.
    pub model: Rc<str>,
    /// Profile in force when the step was opened.
    pub profile: Rc<inner::Profile>,
    /// Maximum length of a sample in tokens.
    pub max_tokens: u32,
    /// Time at which the step was opened.
    pub opened: Instant,
    /// Cancelled when the step is closed or replaced.
    pub token: CancellationToken,
    /// Cancelled when the entry drains; no further slot starts, and running slots finish.
    pub drain: CancellationToken,
    /// Wakes waiting batch requests when a sample is ready, and the dispatch when slots are missing.
    pub signal: Signal,
    /// Mutable state; no borrow is held across an await.
    pub state: RefCell<State>,
}

/// Checks a request to open a step against the limits.
pub fn validate(req: &OpenStep) -> Result<(), RunError> {
    let bad = |detail: String| Err(RunError::new(ResultCode::BadRequest, detail));
    if req.groups.len() > MAX_GROUPS {
        return bad(format!("{} groups; at most {MAX_GROUPS} are allowed", req.groups.len()));
    }
    if req.max_tokens == 0 {
        return bad("max_tokens must be at least 1".into());
    }
    let samples: usize = req.groups.iter().map(|group| group.samples as usize).sum();
    if samples == 0 || samples > MAX_SAMPLES {
        return bad(format!("{samples} samples; 1 to {MAX_SAMPLES} are allowed"));
    }
    let mut names = HashSet::new();
    for group in &req.groups {
        let name = &group.group;
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.is_ascii() {
            return bad(format!("group name {name:?} must be 1 to {MAX_NAME_BYTES} ASCII bytes"));
        }
        if !names.insert(name.as_str()) {
            return bad(format!("group {name:?} is listed twice"));
        }
    }
    Ok(())
}

impl Step {
    /// Creates a step from a request that passed [`validate`]; `budget` is the run's budget for second attempts,
    /// without the tokens that earlier steps have spent.
    pub fn new(
        run: Rc<str>,
        epoch: u64,
        profile: Rc<inner::Profile>,
        req: &OpenStep,
        budget: Budget,
        drain: CancellationToken,
    ) -> Self {
        let taken: HashSet<(&str, u32)> = req.taken.iter().map(|(g, i)| (g.as_str(), *i)).collect();
        let (mut slots, mut groups, mut missing) = (Vec::new(), Vec::new(), VecDeque::new());
        for (number, group) in req.groups.iter().enumerate() {
            let first = slots.len();
            let mut finished = 0;
            for index in 0..group.samples {
                if taken.contains(&(group.group.as_str(), index)) {
                    slots.push(Slot::Taken);
                    finished += 1;
                } else {
                    missing.push_back(SlotId { slot: slots.len(), group: number, index });
                    slots.push(Slot::Missing);
                }
            }
            groups.push(GroupState {
                name: group.group.as_str().into(),
                prompt: group.prompt.as_str().into(),
                prompt_hash: xxh3::xxh3_64(group.prompt.as_bytes()),
                first_slot: first,
                slot_count: group.samples as usize,
                finished,
                signal: Rc::default(),
            });
        }
        let state = State {
            cursor: 0,
            open_batch: None,
            trainer_version: req.trainer_version,
            attempts: vec![0; slots.len()],
            slots,
            groups,
            missing,
            ready: VecDeque::new(),
            held_bytes: 0,
            budget,
            durations: Durations::default(),
            last_request: clock::since_boot(),
            closed: false,
        };
        Self {
            run,
            step: req.step,
            epoch,
            model: req.model.as_str().into(),
            profile,
            max_tokens: req.max_tokens,
            opened: Instant::now(),
            token: CancellationToken::new(),
            drain,
            signal: Signal::default(),
            state: RefCell::new(state),
        }
    }

    /// Takes the next slot to run; `None` if there is none, the step holds too many bytes or the entry drains.
    pub fn next_missing(&self) -> Option<SlotId> {
        let mut state = self.state.borrow_mut();
        if state.held_bytes >= MAX_HELD_BYTES || self.drain.is_cancelled() {
            return None;
        }
        let id = state.missing.pop_front()?;
        state.slots[id.slot] = Slot::Running;
        Some(id)
    }

    /// Lowest weight version that is within the trainer's staleness bound.
    pub fn lowest_version(&self) -> u64 {
        let bound = u64::from(self.profile.max_staleness);
        self.state.borrow().trainer_version.saturating_sub(bound)
    }

    /// Stores a finished sample and wakes the tasks that wait for it.
    pub fn finish(&self, id: SlotId, mut sample: Sample, ran: Duration) {
        let group_signal = {
            let mut state = self.state.borrow_mut();
            sample.attempts = state.attempts[id.slot];
            state.held_bytes += sample.bytes();
            state.durations.add(ran);
            state.budget.earn(sample.tokens, self.profile.second_attempt_permille);
            state.slots[id.slot] = Slot::Ready(sample);
            state.ready.push_back(id.slot);
            let group = &mut state.groups[id.group];
            group.finished += 1;
            group.signal.clone()
        };
        group_signal.notify();
        self.signal.notify();
    }

    /// Returns an unfinished slot to the missing slots.
    pub fn return_slot(&self, id: SlotId) {
        let mut state = self.state.borrow_mut();
        state.slots[id.slot] = Slot::Missing;
        state.missing.push_front(id);
        drop(state);
        self.signal.notify();
    }

    /// Whether the entry drains and no slot of the step is running.
    pub fn has_drained(&self) -> bool {
        let running = |slot: &Slot| matches!(slot, Slot::Running);
        self.drain.is_cancelled() && !self.state.borrow().slots.iter().any(running)
    }

    /// Copies the finished samples of `old`, which this entry opened earlier, if it is the same step.
    ///
    /// The new request lists the samples that the trainer has taken, so all others may be delivered, also those that
    /// were in a batch of `old`.
    pub fn copy_finished(&self, old: &Self) {
        let same_step = self.step == old.step
            && self.profile == old.profile
            && self.model == old.model
            && self.max_tokens == old.max_tokens;
        if !same_step {
            return;
        }
        let (mut state, old_state) = (self.state.borrow_mut(), old.state.borrow());
        let old_groups: HashMap<&str, &GroupState> =
            old_state.groups.iter().map(|group| (&*group.name, group)).collect();
        for id in std::mem::take(&mut state.missing) {
            let group = &state.groups[id.group];
            let old_slot = old_groups
                .get(&*group.name)
                .filter(|prev| prev.prompt == group.prompt && id.index < prev.slot_count as u32)
                .map(|prev| &old_state.slots[prev.first_slot + id.index as usize]);
            if let Some(Slot::Ready(sample) | Slot::Sent(sample)) = old_slot {
                state.held_bytes += sample.bytes();
                state.attempts[id.slot] = sample.attempts;
                state.slots[id.slot] = Slot::Ready(sample.clone());
                state.ready.push_back(id.slot);
                state.groups[id.group].finished += 1;
            } else {
                state.missing.push_back(id);
            }
        }
    }

    /// Number of slots in no batch; 0 means that every slot is in the open batch or an acknowledged one.
    pub fn undelivered_slots(&self) -> usize {
        let state = self.state.borrow();
        let not_in_batch = |slot: &&Slot| !matches!(slot, Slot::Sent(_) | Slot::Taken);
        state.slots.iter().filter(not_in_batch).count()
    }
}

impl State {
    /// Whether a sample is within the trainer's staleness bound.
    pub fn is_fresh(&self, sample: &Sample, max_staleness: u32) -> bool {
        delivery::is_fresh(sample.lowest_version(), self.trainer_version, max_staleness.into())
    }

    /// Discards the sample of a slot, so that the slot is run again.
    pub fn discard(&mut self, slot: usize) {
        let old = std::mem::replace(&mut self.slots[slot], Slot::Missing);
        if let Slot::Ready(sample) | Slot::Sent(sample) = old {
            self.held_bytes -= sample.bytes();
        }
        let group =
            self.groups.partition_point(|group| group.first_slot + group.slot_count <= slot);
        self.groups[group].finished -= 1;
        let index = u32::try_from(slot - self.groups[group].first_slot).unwrap_or(u32::MAX);
        // A discarded slot was started before the missing ones, so it is run first.
        self.missing.push_front(SlotId { slot, group, index });
    }
}

/// The open step of each run, by the name of the run.
pub type Steps = HashMap<Rc<str>, Rc<Step>>;
