//! Specification of sample delivery with owner changes, trainer restarts and lost responses.
//!
//! Every open creates an owner with its own state, and earlier owners continue to respond. A lost request is one that is
//! never delivered. Responses stay in flight until they are lost, so they also arrive late and repeatedly.

use orioleworks_rules::delivery::{self as rules, BatchDecision, OwnerCursor, TrainerCursor};

use crate::explore::Model;

/// Slots of the step.
const SLOTS: usize = 2;
/// Most opens of the step.
const MAX_OPENS: usize = 3;
/// Highest weight version.
const MAX_VERSION: u8 = 2;
/// Staleness bound in versions.
const MAX_STALENESS: u64 = 1;
/// Most responses in flight.
const MAX_RESPONSES: usize = 2;

/// The one rule that is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// No rule is broken.
    Intact,
    /// The trainer does not compare the epoch of a batch.
    EpochNotCompared,
    /// The trainer does not compare the cursor of a batch.
    CursorNotCompared,
    /// The trainer sends no taken slots when it opens, and does not check them when it takes a batch.
    ///
    /// Either check alone still prevents the violation, so both are removed together.
    TakenSlotsIgnored,
    /// The taken slots are recorded after the samples instead of together with them.
    SlotsNotRecorded,
    /// An open gets the epoch of the previous open.
    SameEpoch,
    /// A repeated cursor gets a new batch of the samples that are ready now.
    RepeatMakesNewBatch,
    /// Staleness is checked only when the sample is dispatched.
    StalenessAtDispatchOnly,
    /// The trainer raises its version between a request and its repeat.
    VersionRaisedInBatch,
}

/// The specification.
#[derive(Clone, Copy, Debug)]
pub struct Delivery {
    /// Rule that is broken.
    pub broken: Broken,
}

/// Samples by slot: the weight version plus 1, or 0 for no sample.
type Samples = [u8; SLOTS];

/// Owner of one open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Owner {
    alive: bool,
    epoch: u8,
    cursor: u8,
    batch_open: bool,
    batch: Samples,
    ready: Samples,
    /// Slots that the trainer has acknowledged to this owner.
    acknowledged: u8,
    /// Slots that the trainer listed as taken when it opened.
    taken: u8,
}

/// Response with a batch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Response {
    epoch: u8,
    cursor: u8,
    samples: Samples,
}

/// The trainer; `taken` is in memory, and `recorded` survives a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Trainer {
    /// Number of the open that the trainer uses; 0 for none.
    open: u8,
    epoch: u8,
    cursor: u8,
    request_pending: bool,
    taken: u8,
    recorded: u8,
    version: u8,
    /// How many times each slot was used for training.
    trained: [u8; SLOTS],
}

/// State of trainer, owners, engine and network.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct State {
    trainer: Trainer,
    owners: [Owner; MAX_OPENS],
    opens: u8,
    engine_version: u8,
    responses: [Option<Response>; MAX_RESPONSES],
    /// A request that is delivered late: number of the open, cursor and version.
    late_request: Option<(u8, u8, u8)>,
    fault: Option<&'static str>,
}

/// Step of a trace; owners are numbered by open.
#[derive(Clone, Copy, Debug)]
#[allow(missing_docs)]
pub enum Step {
    Open { reply_lost: bool },
    Run { owner: usize, slot: usize },
    RequestBatch,
    HoldRequest,
    DeliverHeldRequest,
    Take(Response),
    LoseResponse(Response),
    RaiseTrainerVersion,
    RaiseEngineVersion,
    RecordSlots,
    CrashOwner(usize),
    RestartTrainer,
}

fn slots(samples: Samples) -> u8 {
    (0..SLOTS).filter(|slot| samples[*slot] > 0).fold(0, |set, slot| set | 1 << slot)
}

impl Delivery {
    fn is_variant(&self, broken: Broken) -> bool {
        self.broken == broken
    }

    fn is_fresh(sample: u8, version: u8) -> bool {
        rules::is_fresh(u64::from(sample) - 1, version.into(), MAX_STALENESS)
    }

    /// Handles a request for a batch at its owner.
    fn handle_request(&self, n: &mut State, owner: usize, cursor: u8, version: u8) {
        let o = &mut n.owners[owner];
        let own = OwnerCursor {
            epoch: o.epoch.into(),
            cursor: o.cursor.into(),
            batch_open: o.batch_open,
        };
        let mut decision = rules::decide_batch(own, o.epoch.into(), cursor.into());
        if decision == BatchDecision::Repeat && self.is_variant(Broken::RepeatMakesNewBatch) {
            decision = BatchDecision::Next;
            (0..SLOTS).filter(|i| o.batch[*i] > 0).for_each(|i| o.ready[i] = o.batch[i]);
            (o.batch, o.batch_open) = (Samples::default(), false);
        }
        if decision == BatchDecision::Next {
            if o.batch_open {
                o.acknowledged |= slots(o.batch);
                (o.cursor, o.batch_open, o.batch) = (cursor, false, Samples::default());
            }
            for sample in &mut o.ready {
                let fresh = *sample == 0 || Self::is_fresh(*sample, version);
                if !fresh && !self.is_variant(Broken::StalenessAtDispatchOnly) {
                    *sample = 0;
                }
            }
            (o.batch, o.ready) = (o.ready, Samples::default());
            o.batch_open = slots(o.batch) != 0;
        }
        if matches!(decision, BatchDecision::Next | BatchDecision::Repeat) && o.batch_open {
            let response = Response { epoch: o.epoch, cursor: o.cursor, samples: o.batch };
            if !n.responses.contains(&Some(response))
                && let Some(free) = n.responses.iter_mut().find(|r| r.is_none())
            {
                *free = Some(response);
                n.responses.sort_unstable();
            }
        }
    }

    fn take_batch(&self, s: &State, response: Response) -> Option<State> {
        let t = &s.trainer;
        let epoch =
            if self.is_variant(Broken::EpochNotCompared) { t.epoch } else { response.epoch };
        let cursor =
            if self.is_variant(Broken::CursorNotCompared) { t.cursor } else { response.cursor };
        let own = TrainerCursor { epoch: t.epoch.into(), cursor: t.cursor.into() };
        if t.open == 0
            || !t.request_pending
            || !rules::may_take_batch(own, epoch.into(), cursor.into())
        {
            return None;
        }
        let mut n = *s;
        let t = &mut n.trainer;
        for (slot, sample) in response.samples.iter().enumerate().filter(|(_, v)| **v > 0) {
            if t.taken & (1 << slot) != 0 && !self.is_variant(Broken::TakenSlotsIgnored) {
                continue;
            }
            t.trained[slot] += 1;
            t.taken |= 1 << slot;
            if !Self::is_fresh(*sample, t.version) {
                n.fault = Some("no delivered sample older than the bound");
            }
        }
        (t.cursor, t.request_pending) = (t.cursor + 1, false);
        if !self.is_variant(Broken::SlotsNotRecorded) {
            t.recorded = t.taken;
        }
        Some(n)
    }

    fn trainer_steps(&self, s: &State, out: &mut Vec<(Step, State)>) {
        let t = &s.trainer;
        if (s.opens as usize) < MAX_OPENS {
            let last = s.opens as usize + 1 == MAX_OPENS;
            for reply_lost in [false, true].into_iter().take(if last { 1 } else { 2 }) {
                out.push((Step::Open { reply_lost }, self.open(s, reply_lost)));
            }
            if t.open > 0 {
                let mut n = *s;
                n.trainer = Trainer { taken: t.recorded, version: t.version, ..Trainer::default() };
                (n.trainer.recorded, n.trainer.trained) = (t.recorded, t.trained);
                out.push((Step::RestartTrainer, n));
            }
        }
        if t.open > 0 {
            let mut n = *s;
            n.trainer.request_pending = true;
            let owner = t.open as usize - 1;
            if s.owners[owner].alive {
                self.handle_request(&mut n, owner, t.cursor, t.version);
            }
            out.push((Step::RequestBatch, n));
            if s.late_request.is_none() {
                let mut n = *s;
                n.trainer.request_pending = true;
                n.late_request = Some((t.open, t.cursor, t.version));
                out.push((Step::HoldRequest, n));
            }
        }
        let may_raise = rules::may_raise_version(t.request_pending)
            || self.is_variant(Broken::VersionRaisedInBatch);
        if may_raise && t.version < MAX_VERSION {
            let mut n = *s;
            n.trainer.version += 1;
            out.push((Step::RaiseTrainerVersion, n));
        }
        if t.recorded != t.taken {
            let mut n = *s;
            n.trainer.recorded = t.taken;
            out.push((Step::RecordSlots, n));
        }
    }

    fn open(&self, s: &State, reply_lost: bool) -> State {
        let mut n = *s;
        let before = s.opens.checked_sub(1).map_or(0, |last| s.owners[last as usize].epoch);
        let next = rules::epoch_of_open(before.into()) as u8;
        let epoch = if self.is_variant(Broken::SameEpoch) { 1 } else { next };
        let taken = if self.is_variant(Broken::TakenSlotsIgnored) { 0 } else { s.trainer.taken };
        n.owners[s.opens as usize] = Owner { alive: true, epoch, taken, ..Owner::default() };
        n.opens += 1;
        if !reply_lost {
            let t = &mut n.trainer;
            (t.open, t.epoch, t.cursor, t.request_pending) = (n.opens, epoch, 0, false);
        }
        n
    }

    fn owner_and_network_steps(&self, s: &State, out: &mut Vec<(Step, State)>) {
        for (i, o) in s.owners.iter().enumerate().filter(|(_, o)| o.alive) {
            let done = o.taken | o.acknowledged | slots(o.batch) | slots(o.ready);
            let dispatched_fresh = Self::is_fresh(s.engine_version + 1, s.trainer.version);
            let may_run = dispatched_fresh || !self.is_variant(Broken::StalenessAtDispatchOnly);
            for slot in (0..SLOTS).filter(|slot| may_run && done & (1 << slot) == 0) {
                let mut n = *s;
                n.owners[i].ready[slot] = s.engine_version + 1;
                out.push((Step::Run { owner: i, slot }, n));
            }
            if (s.opens as usize) < MAX_OPENS {
                let mut n = *s;
                n.owners[i] = Owner { epoch: o.epoch, ..Owner::default() };
                out.push((Step::CrashOwner(i), n));
            }
        }
        if s.engine_version < s.trainer.version {
            let n = State { engine_version: s.engine_version + 1, ..*s };
            out.push((Step::RaiseEngineVersion, n));
        }
        if let Some((open, cursor, version)) = s.late_request {
            let mut n = *s;
            let owner = open as usize - 1;
            if s.owners[owner].alive {
                self.handle_request(&mut n, owner, cursor, version);
            }
            n.late_request = None;
            out.push((Step::DeliverHeldRequest, n));
        }
        for (i, response) in s.responses.iter().enumerate() {
            let Some(response) = *response else { continue };
            if let Some(n) = self.take_batch(s, response) {
                out.push((Step::Take(response), n));
            }
            let mut n = *s;
            n.responses[i] = None;
            n.responses.sort_unstable();
            out.push((Step::LoseResponse(response), n));
        }
    }
}

/// The smaller of the two states that differ only by the order of the slots.
fn canonical(s: &State) -> State {
    let set = |bits: u8| (bits & 1) << 1 | bits >> 1;
    let swap = |samples: Samples| [samples[1], samples[0]];
    let mut n = *s;
    let t = &mut n.trainer;
    (t.taken, t.recorded, t.trained) = (set(t.taken), set(t.recorded), swap(t.trained));
    for o in &mut n.owners {
        (o.batch, o.ready) = (swap(o.batch), swap(o.ready));
        (o.acknowledged, o.taken) = (set(o.acknowledged), set(o.taken));
    }
    for r in n.responses.iter_mut().flatten() {
        r.samples = swap(r.samples);
    }
    n.responses.sort_unstable();
    n.min(*s)
}

impl Model for Delivery {
    type State = State;
    type Step = Step;

    fn name(&self) -> String {
        format!("delivery/{:?}", self.broken)
    }

    fn bound(&self) -> String {
        format!(
            "{SLOTS} slots, {MAX_OPENS} opens, versions 0 to {MAX_VERSION}, staleness {MAX_STALENESS}, \
             {MAX_RESPONSES} responses and 1 late request in flight"
        )
    }

    fn start(&self) -> State {
        State::default()
    }

    fn steps(&self, s: &State) -> Vec<(Step, State)> {
        let mut out = Vec::new();
        self.trainer_steps(s, &mut out);
        self.owner_and_network_steps(s, &mut out);
        out.retain(|(_, n)| n != s);
        out.into_iter().map(|(step, n)| (step, canonical(&n))).collect()
    }

    fn violation(&self, s: &State) -> Option<&'static str> {
        if s.trainer.trained.iter().any(|count| *count > 1) {
            return Some("each slot taken at most once");
        }
        let trained = slots(s.trainer.trained);
        let lost = s.owners.iter().any(|o| o.acknowledged & !trained != 0);
        s.fault.or(lost.then_some("no slot is acknowledged that was not taken"))
    }

    fn is_complete(&self, s: &State) -> bool {
        usize::from(slots(s.trainer.trained).count_ones() as u8) == SLOTS
    }

    fn must_stay_completable(&self) -> bool {
        true
    }
}
