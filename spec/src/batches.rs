//! Specification of one batch with one item: acceptance, runs under two leaders, saved progress and the listed result.
//!
//! The log is taken as what [`crate::log`] proves: commands commit in order, and only under the leader of the newest
//! term. A leader that was replaced may go on for a while without knowing it. Each event has its own number and names
//! the event that it follows, so that a text of two runs that were not continued from each other is recognised.

use orioleworks_rules::batches::{self as rules, SubmissionOutcome};

use crate::explore::Model;

/// Events of the item's whole text.
const EVENTS: usize = 3;
/// Events that all runs together make.
const MADE: usize = 5;
/// Copies of the submission that are offered.
const OFFERS: u8 = 2;
/// Commands that wait at one leader.
const WAITING: usize = 2;
/// Commands that are proposed in all.
const COMMANDS: u8 = 6;
const LEADERS: usize = 2;

/// Rule that is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// Nothing.
    Intact,
    /// A batch is accepted before it is committed.
    AcceptBeforeCommit,
    /// A submission whose offer got no answer is called not run.
    RefuseUnanswered,
    /// A leader that was replaced still commits.
    StaleLeaderCommits,
    /// Saved events are added although events are missing before them.
    GapIgnored,
    /// A result that was recorded again gets another position.
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

/// Text as the numbers of its events; 0 stands for none.
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

/// A leader: what it has applied, its run of the item, and what it proposed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Leader {
    leads: bool,
    running: bool,
    text: Text,
    saved: u8,
    waiting: [Option<Command>; WAITING],
}

/// State of the caller, the log and the leaders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct State {
    applied: Applied,
    /// What the replaced leader had applied when it was replaced.
    stale: Applied,
    current: u8,
    leaders: [Leader; LEADERS],
    /// Event that each event follows; 0 for the first of a text.
    follows: [u8; MADE],
    made: u8,
    commands: u8,
    offers: u8,
    unanswered: bool,
    told: Option<Told>,
    end_asked: bool,
    started_after_end: bool,
    started: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Told {
    Accepted,
    NotRun,
    Unknown,
}

/// Step of a trace; the number is the leader.
#[derive(Clone, Copy, Debug)]
#[allow(missing_docs)]
pub enum Step {
    Offer,
    LoseOffer,
    Accept,
    GiveUp,
    Start(usize),
    Event(usize),
    Break(usize),
    Save(usize),
    Record(usize),
    Commit(usize),
    Defer(usize),
    Replace { committed: usize },
    StopStale,
    End,
}

fn len(text: &Text) -> usize {
    text.iter().take_while(|event| **event != 0).count()
}

impl Leader {
    fn propose(&mut self, command: Command) -> bool {
        let free = self.waiting.iter_mut().find(|slot| slot.is_none());
        free.map(|slot| *slot = Some(command)).is_some()
    }

    fn take(&mut self) -> Option<Command> {
        let first = self.waiting[0].take();
        self.waiting.rotate_left(1);
        first
    }
}

impl Batches {
    fn is(&self, broken: Broken) -> bool {
        self.broken == broken
    }

    fn apply(&self, a: &mut Applied, command: Command) {
        match command {
            Command::Put => a.accepted = true,
            Command::End => a.ended = true,
            Command::Save { from, text } => {
                let known = len(&a.progress);
                if rules::continues(known, from.into()) || self.is(Broken::GapIgnored) {
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
                if rules::accepts_result(listed, true) {
                    a.positions[0] = text;
                } else if self.is(Broken::RepeatListsTwice) {
                    a.positions[1] = text;
                }
            }
        }
    }

    /// State that a leader believes to be the newest.
    fn seen(s: &State, i: usize) -> Applied {
        if i == s.current as usize { s.applied } else { s.stale }
    }

    fn run_steps(&self, s: &State, i: usize, out: &mut Vec<(Step, State)>) {
        let l = &s.leaders[i];
        let seen = Self::seen(s, i);
        let listed = len(&seen.positions[0]) > 0;
        let may = rules::may_start(seen.ended && !self.is(Broken::StartAfterEnd), listed);
        if seen.accepted && may && !l.running {
            let mut n = *s;
            let text = if len(&l.text) > 0 { l.text } else { seen.progress };
            (n.leaders[i].running, n.leaders[i].text) = (true, text);
            n.leaders[i].saved = n.leaders[i].saved.max(len(&seen.progress) as u8);
            n.started = true;
            n.started_after_end |= seen.ended;
            out.push((Step::Start(i), n));
        }
        if !l.running {
            return;
        }
        let at = len(&l.text);
        if at < EVENTS && (s.made as usize) < MADE {
            let mut n = *s;
            n.follows[s.made as usize] = if at == 0 { 0 } else { l.text[at - 1] };
            n.made += 1;
            n.leaders[i].text[at] = n.made;
            out.push((Step::Event(i), n));
        }
        let mut n = *s;
        n.leaders[i].running = false;
        out.push((Step::Break(i), n));
        if (l.saved as usize) < at && at < EVENTS && s.commands < COMMANDS {
            let mut n = *s;
            n.commands += 1;
            let save = Command::Save { from: l.saved, text: l.text };
            if n.leaders[i].propose(save) {
                n.leaders[i].saved = at as u8;
                out.push((Step::Save(i), n));
            }
        }
        if at == EVENTS && s.commands < COMMANDS {
            let mut n = *s;
            n.commands += 1;
            // The run ends only once the result is confirmed, so a result without an answer is recorded again.
            if n.leaders[i].propose(Command::Record(l.text)) {
                out.push((Step::Record(i), n));
            }
        }
    }

    fn log_steps(&self, s: &State, i: usize, out: &mut Vec<(Step, State)>) {
        if s.leaders[i].waiting[0].is_some() {
            let current = i == s.current as usize;
            if current || self.is(Broken::StaleLeaderCommits) {
                let mut n = *s;
                if let Some(command) = n.leaders[i].take() {
                    self.apply(&mut n.applied, command);
                    if command == Command::End {
                        n.leaders.iter_mut().for_each(|l| l.running = false);
                    }
                }
                out.push((Step::Commit(i), n));
            }
        }
        if s.leaders[i].waiting[1].is_some() {
            // A proposal without an answer is made again, behind what was proposed since.
            let mut n = *s;
            n.leaders[i].waiting.swap(0, 1);
            out.push((Step::Defer(i), n));
        }
    }

    fn caller_steps(&self, s: &State, out: &mut Vec<(Step, State)>) {
        let current = s.current as usize;
        if s.told.is_none() {
            if s.offers < OFFERS && s.commands < COMMANDS {
                let mut n = *s;
                (n.offers, n.commands) = (n.offers + 1, n.commands + 1);
                if n.leaders[current].propose(Command::Put) {
                    out.push((Step::Offer, n));
                    n.unanswered = true;
                    out.push((Step::LoseOffer, n));
                }
            }
            let offered = s.offers > 0;
            if s.applied.accepted || (offered && self.is(Broken::AcceptBeforeCommit)) {
                let mut n = *s;
                n.told = Some(Told::Accepted);
                out.push((Step::Accept, n));
            }
            // An offer that is not lost is waited for; a leader that is replaced answers that it does not lead.
            let waiting = s.leaders[current].waiting.contains(&Some(Command::Put));
            if !waiting || s.unanswered {
                let honest =
                    rules::submission_outcome(s.unanswered && !self.is(Broken::RefuseUnanswered));
                let mut n = *s;
                n.told = Some(match honest {
                    SubmissionOutcome::NotRun if !s.applied.accepted || s.unanswered => {
                        Told::NotRun
                    }
                    _ => Told::Unknown,
                });
                out.push((Step::GiveUp, n));
            }
        }
        if s.told == Some(Told::Accepted) && !s.end_asked && s.commands < COMMANDS {
            let mut n = *s;
            (n.end_asked, n.commands) = (true, n.commands + 1);
            if n.leaders[current].propose(Command::End) {
                out.push((Step::End, n));
            }
        }
    }

    /// The second leader takes over; of what waits at the first one, some was on a quorum already.
    fn replace_steps(&self, s: &State, out: &mut Vec<(Step, State)>) {
        if s.current == 1 {
            if s.leaders[0].leads {
                let mut n = *s;
                n.leaders[0] = Leader::default();
                out.push((Step::StopStale, n));
            }
            return;
        }
        let waiting = s.leaders[0].waiting.iter().flatten().count();
        for committed in 0..=waiting {
            let mut n = *s;
            n.stale = s.applied;
            for _ in 0..committed {
                if let Some(command) = n.leaders[0].take() {
                    self.apply(&mut n.applied, command);
                }
            }
            if !self.is(Broken::StaleLeaderCommits) {
                n.leaders[0].waiting = Default::default();
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
            "1 item of {EVENTS} events, {MADE} events made, {OFFERS} offers, {COMMANDS} commands, {LEADERS} leaders"
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
        let in_flight = s.leaders.iter().any(|l| l.waiting.contains(&Some(Command::Put)));
        if s.told == Some(Told::Accepted) && !a.accepted && !in_flight {
            Some("an accepted batch is kept")
        } else if s.told == Some(Told::NotRun) && (s.started || a.accepted) {
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
