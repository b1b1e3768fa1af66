//! Specification of one batch with one item: acceptance, runs under two leaders, saved progress and recorded result.
//!
//! The log is assumed to have the properties that [`crate::log`] checks: commands commit in order, and only under the
//! leader of the newest term. A leader that was replaced may continue for a while without knowing it. Each event has a
//! number of its own, and the state records which event it follows. This detects a text that mixes the events of two
//! runs of which neither resumed the other.

use orioleworks_rules::batches::{self as rules, SubmissionOutcome};

use crate::explore::Model;

/// Events of the item's complete text.
const EVENTS: usize = 3;
/// Most events that all runs together generate.
const MAX_EVENTS: usize = 5;
/// Most copies of the submission that the caller sends.
const MAX_OFFERS: u8 = 2;
/// Most pending (uncommitted) commands at one leader.
const MAX_PENDING: usize = 2;
/// Most commands that are proposed by all leaders together.
const MAX_COMMANDS: u8 = 6;
const LEADERS: usize = 2;

/// The one rule that is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// No rule is broken.
    Intact,
    /// A batch is accepted before it is committed.
    AcceptBeforeCommit,
    /// A submission without a response is reported as not run.
    RefuseUnanswered,
    /// A leader that was replaced still commits.
    StaleLeaderCommits,
    /// Saved events are appended although earlier events are missing.
    GapIgnored,
    /// A result that is recorded again gets a second position.
    RepeatListsTwice,
    /// An item is started although its batch was ended.
    StartAfterEnd,
}

/// The specification.
#[derive(Clone, Copy, Debug)]
pub struct Batches {
    /// Rule that is broken.
    pub broken: Broken,
}

/// Text as the numbers of its events; 0 means no event.
type Text = [u8; EVENTS];

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Command {
    Put,
    Save { from: u8, text: Text },
    Record(Text),
    End,
}

/// Replicated state of the batch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Applied {
    accepted: bool,
    ended: bool,
    progress: Text,
    positions: [Text; 2],
}

/// A leader: its run of the item and its pending commands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Leader {
    leads: bool,
    running: bool,
    text: Text,
    saved: u8,
    pending: [Option<Command>; MAX_PENDING],
}

/// State of the caller, the log and the leaders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct State {
    applied: Applied,
    /// State that the replaced leader had applied when it was replaced.
    stale: Applied,
    current: u8,
    leaders: [Leader; LEADERS],
    /// Event that each event follows; 0 for the first of a text.
    follows: [u8; MAX_EVENTS],
    events_generated: u8,
    commands: u8,
    offers: u8,
    unanswered: bool,
    caller_outcome: Option<CallerOutcome>,
    end_requested: bool,
    started_after_end: bool,
    started: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum CallerOutcome {
    Accepted,
    NotRun,
    Unknown,
}

/// Step of a trace; the number is the leader.
#[derive(Clone, Copy, Debug)]
#[allow(missing_docs)]
pub enum Step {
    Offer,
    OfferUnanswered,
    Accept,
    GiveUp,
    Start(usize),
    Event(usize),
    InterruptRun(usize),
    Save(usize),
    Record(usize),
    Commit(usize),
    RepeatProposal(usize),
    Replace { committed: usize },
    StopStale,
    End,
}

fn len(text: &Text) -> usize {
    text.iter().take_while(|event| **event != 0).count()
}

impl Leader {
    fn propose(&mut self, command: Command) -> bool {
        let free = self.pending.iter_mut().find(|slot| slot.is_none());
        free.map(|slot| *slot = Some(command)).is_some()
    }

    fn take_first(&mut self) -> Option<Command> {
        let first = self.pending[0].take();
        self.pending.rotate_left(1);
        first
    }
}

impl Batches {
    fn is_variant(&self, broken: Broken) -> bool {
        self.broken == broken
    }

    fn apply(&self, a: &mut Applied, command: Command) {
        match command {
            Command::Put => a.accepted = true,
            Command::End => a.ended = true,
            Command::Save { from, text } => {
                let known = len(&a.progress);
                if rules::continues(known, from.into()) || self.is_variant(Broken::GapIgnored) {
                    let at = usize::from(from).min(known);
                    let mut merged = Text::default();
                    merged[..at].copy_from_slice(&a.progress[..at]);
                    for (i, event) in text[from.into()..len(&text)].iter().enumerate() {
                        merged[at + i] = *event;
                    }
                    a.progress = merged;
                }
            }
            Command::Record(text) => {
                let listed = len(&a.positions[0]) > 0;
                if rules::accepts_result(listed, true, false) {
                    a.positions[0] = text;
                } else if self.is_variant(Broken::RepeatListsTwice) {
                    a.positions[1] = text;
                }
            }
        }
    }

    /// State that a leader has applied; outdated at the replaced leader.
    fn applied_by(s: &State, i: usize) -> Applied {
        if i == s.current as usize { s.applied } else { s.stale }
    }

    fn run_steps(&self, s: &State, i: usize, out: &mut Vec<(Step, State)>) {
        let l = &s.leaders[i];
        let applied = Self::applied_by(s, i);
        let listed = len(&applied.positions[0]) > 0;
        let may_start = rules::may_start(
            applied.ended && !self.is_variant(Broken::StartAfterEnd),
            listed,
            false,
        );
        if applied.accepted && may_start && !l.running {
            let mut n = *s;
            let text = if len(&l.text) > 0 { l.text } else { applied.progress };
            (n.leaders[i].running, n.leaders[i].text) = (true, text);
            n.leaders[i].saved = n.leaders[i].saved.max(len(&applied.progress) as u8);
            n.started = true;
            n.started_after_end |= applied.ended;
            out.push((Step::Start(i), n));
        }
        if !l.running {
            return;
        }
        let at = len(&l.text);
        if at < EVENTS && (s.events_generated as usize) < MAX_EVENTS {
            let mut n = *s;
            n.follows[s.events_generated as usize] = if at == 0 { 0 } else { l.text[at - 1] };
            n.events_generated += 1;
            n.leaders[i].text[at] = n.events_generated;
            out.push((Step::Event(i), n));
        }
        let mut n = *s;
        n.leaders[i].running = false;
        out.push((Step::InterruptRun(i), n));
        if (l.saved as usize) < at && at < EVENTS && s.commands < MAX_COMMANDS {
            let mut n = *s;
            n.commands += 1;
            let save = Command::Save { from: l.saved, text: l.text };
            if n.leaders[i].propose(save) {
                n.leaders[i].saved = at as u8;
                out.push((Step::Save(i), n));
            }
        }
        if at == EVENTS && s.commands < MAX_COMMANDS {
            let mut n = *s;
            n.commands += 1;
            // The run ends only after its result is confirmed, so an unconfirmed result is recorded again.
            if n.leaders[i].propose(Command::Record(l.text)) {
                out.push((Step::Record(i), n));
            }
        }
    }

    fn log_steps(&self, s: &State, i: usize, out: &mut Vec<(Step, State)>) {
        if s.leaders[i].pending[0].is_some() {
            let current = i == s.current as usize;
            if current || self.is_variant(Broken::StaleLeaderCommits) {
                let mut n = *s;
                if let Some(command) = n.leaders[i].take_first() {
                    self.apply(&mut n.applied, command);
                    if command == Command::End {
                        n.leaders.iter_mut().for_each(|l| l.running = false);
                    }
                }
                out.push((Step::Commit(i), n));
            }
        }
        if s.leaders[i].pending[1].is_some() {
            // An unanswered proposal is repeated, and then follows the commands proposed in the meantime.
            let mut n = *s;
            n.leaders[i].pending.swap(0, 1);
            out.push((Step::RepeatProposal(i), n));
        }
    }

    fn caller_steps(&self, s: &State, out: &mut Vec<(Step, State)>) {
        let current = s.current as usize;
        if s.caller_outcome.is_none() {
            if s.offers < MAX_OFFERS && s.commands < MAX_COMMANDS {
                let mut n = *s;
                (n.offers, n.commands) = (n.offers + 1, n.commands + 1);
                if n.leaders[current].propose(Command::Put) {
                    out.push((Step::Offer, n));
                    n.unanswered = true;
                    out.push((Step::OfferUnanswered, n));
                }
            }
            let offered = s.offers > 0;
            if s.applied.accepted || (offered && self.is_variant(Broken::AcceptBeforeCommit)) {
                let mut n = *s;
                n.caller_outcome = Some(CallerOutcome::Accepted);
                out.push((Step::Accept, n));
            }
            // The caller waits for the response unless it is lost; a replaced leader responds that it is not the leader.
            let pending = s.leaders[current].pending.contains(&Some(Command::Put));
            if !pending || s.unanswered {
                let outcome = rules::submission_outcome(
                    s.unanswered && !self.is_variant(Broken::RefuseUnanswered),
                );
                let mut n = *s;
                n.caller_outcome = Some(match outcome {
                    SubmissionOutcome::NotRun if !s.applied.accepted || s.unanswered => {
                        CallerOutcome::NotRun
                    }
                    _ => CallerOutcome::Unknown,
                });
                out.push((Step::GiveUp, n));
            }
        }
        if s.caller_outcome == Some(CallerOutcome::Accepted)
            && !s.end_requested
            && s.commands < MAX_COMMANDS
        {
            let mut n = *s;
            (n.end_requested, n.commands) = (true, n.commands + 1);
            if n.leaders[current].propose(Command::End) {
                out.push((Step::End, n));
            }
        }
    }

    /// The second leader replaces the first; a quorum may already hold some of the first leader's pending commands.
    fn replace_steps(&self, s: &State, out: &mut Vec<(Step, State)>) {
        if s.current == 1 {
            if s.leaders[0].leads {
                let mut n = *s;
                n.leaders[0] = Leader::default();
                out.push((Step::StopStale, n));
            }
            return;
        }
        let pending = s.leaders[0].pending.iter().flatten().count();
        for committed in 0..=pending {
            let mut n = *s;
            n.stale = s.applied;
            for _ in 0..committed {
                if let Some(command) = n.leaders[0].take_first() {
                    self.apply(&mut n.applied, command);
                }
            }
            if !self.is_variant(Broken::StaleLeaderCommits) {
                n.leaders[0].pending = Default::default();
            }
            n.current = 1;
            n.leaders[1] = Leader { leads: true, ..Leader::default() };
            out.push((Step::Replace { committed }, n));
        }
    }

    fn is_one_text(s: &State, text: &Text) -> bool {
        let events = &text[..len(text)];
        let before = std::iter::once(&0).chain(events);
        before.zip(events).all(|(before, event)| s.follows[*event as usize - 1] == *before)
    }
}

impl Model for Batches {
    type State = State;
    type Step = Step;

    fn name(&self) -> String {
        format!("batches/{:?}", self.broken)
    }

    fn bound(&self) -> String {
        format!(
            "1 item of {EVENTS} events, {MAX_EVENTS} events made, {MAX_OFFERS} offers, {MAX_COMMANDS} commands, {LEADERS} leaders"
        )
    }

    fn start(&self) -> State {
        let mut s = State::default();
        s.leaders[0].leads = true;
        s
    }

    fn steps(&self, s: &State) -> Vec<(Step, State)> {
        let mut out = Vec::new();
        self.caller_steps(s, &mut out);
        for i in (0..LEADERS).filter(|i| s.leaders[*i].leads) {
            self.run_steps(s, i, &mut out);
            self.log_steps(s, i, &mut out);
        }
        self.replace_steps(s, &mut out);
        out
    }

    fn violation(&self, s: &State) -> Option<&'static str> {
        let a = &s.applied;
        let texts = [&a.progress, &a.positions[0]];
        let in_flight = s.leaders.iter().any(|l| l.pending.contains(&Some(Command::Put)));
        if s.caller_outcome == Some(CallerOutcome::Accepted) && !a.accepted && !in_flight {
            Some("an accepted batch is kept")
        } else if s.caller_outcome == Some(CallerOutcome::NotRun) && (s.started || a.accepted) {
            Some("\"not run\" never for a batch that runs")
        } else if len(&a.positions[1]) > 0 {
            Some("an item has one position")
        } else if !texts.into_iter().all(|text| Self::is_one_text(s, text)) {
            Some("a text is of runs that continue each other")
        } else if s.started_after_end {
            Some("no item starts after its batch was ended")
        } else {
            None
        }
    }

    fn is_complete(&self, s: &State) -> bool {
        len(&s.applied.positions[0]) == EVENTS
    }

    fn must_stay_completable(&self) -> bool {
        false
    }
}
