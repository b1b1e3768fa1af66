//! Specification of one item with a reward call: its text, the call and the score, under two leaders.
//!
//! The log is assumed to have the properties that [`crate::log`] checks. Each text and each score has a number of its own, and
//! the state records which text a call was made for. This detects a score that is listed with another text. A leader may
//! forget what it was doing at any time, as after a loss of leadership, while its proposals are still decided and the response
//! to its call still arrives.

use orioleworks_rules::batches as rules;

use crate::explore::Model;

/// Most texts that all leaders together generate.
const MAX_TEXTS: u8 = 3;
/// Most calls that all leaders together make.
const MAX_CALLS: usize = 3;
/// Most pending (uncommitted) commands at one leader.
const MAX_PENDING: usize = 2;
const LEADERS: usize = 2;

/// The one rule that is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// No rule is broken.
    Intact,
    /// A text is listed although its score is missing.
    ListWithoutScore,
    /// The call is sent while its text is only in the leader's memory.
    CallBeforeCommit,
    /// A text that is committed later replaces the first one.
    LaterTextReplaces,
    /// The text is generated again because its call failed.
    GenerateAgain,
    /// The call is sent although its batch was ended.
    CallAfterEnd,
    /// A score that is recorded again is listed again.
    RepeatChangesScore,
}

/// The specification.
#[derive(Clone, Copy, Debug)]
pub struct Rewards {
    /// Rule that is broken.
    pub broken: Broken,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Command {
    Text(u8),
    Score(u8),
    End,
}

/// Replicated state of the item; 0 stands for no text and no score.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Applied {
    text: u8,
    listed: bool,
    score: u8,
    ended: bool,
}

/// A leader: the text in its memory, its call and its pending commands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Leader {
    leads: bool,
    text: u8,
    /// Text for which the call in flight was made.
    call: u8,
    pending: [Option<Command>; MAX_PENDING],
}

/// State of the log and the leaders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct State {
    applied: Applied,
    /// State that the replaced leader had applied when it was replaced.
    stale: Applied,
    current: u8,
    leaders: [Leader; LEADERS],
    texts: u8,
    /// Text that each score belongs to.
    scored: [u8; MAX_CALLS],
    calls: u8,
    ends: u8,
    generated_again: bool,
    called_after_end: bool,
    /// Result as it was listed first.
    first_listed: Option<(u8, u8)>,
}

/// Step of a trace; the number is the leader.
#[derive(Clone, Copy, Debug)]
#[allow(missing_docs)]
pub enum Step {
    Generate(usize),
    Call(usize),
    Respond(usize),
    CallFails(usize),
    Forget(usize),
    Commit(usize),
    RepeatProposal(usize),
    Replace { committed: usize },
    StopStale,
    End,
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

impl Rewards {
    fn is_variant(&self, broken: Broken) -> bool {
        self.broken == broken
    }

    fn apply(&self, s: &mut State, command: Command) {
        let a = &mut s.applied;
        match command {
            Command::End => a.ended = true,
            Command::Text(text) => {
                let has_text = a.text > 0 && !self.is_variant(Broken::LaterTextReplaces);
                if rules::accepts_text(a.listed, has_text, true) {
                    a.text = text;
                }
                let score_missing = !self.is_variant(Broken::ListWithoutScore);
                a.listed |= rules::accepts_result(a.listed, true, score_missing);
            }
            Command::Score(score) => {
                let listed = a.listed && !self.is_variant(Broken::RepeatChangesScore);
                if a.text > 0 && rules::accepts_result(listed, true, false) {
                    (a.listed, a.score) = (true, score);
                }
            }
        }
        if s.applied.listed && s.first_listed.is_none() {
            s.first_listed = Some((s.applied.text, s.applied.score));
        }
    }

    /// State that a leader has applied; outdated at the replaced leader.
    fn applied_by(s: &State, i: usize) -> Applied {
        if i == s.current as usize { s.applied } else { s.stale }
    }

    fn item_steps(&self, s: &State, i: usize, out: &mut Vec<(Step, State)>) {
        let (l, a) = (&s.leaders[i], Self::applied_by(s, i));
        let has_text = a.text > 0 && !self.is_variant(Broken::GenerateAgain);
        if rules::may_start(a.ended, a.listed, has_text) && l.text == 0 && s.texts < MAX_TEXTS {
            let mut n = *s;
            n.texts += 1;
            n.generated_again |= a.text > 0;
            n.leaders[i].text = n.texts;
            if n.leaders[i].propose(Command::Text(n.texts)) {
                out.push((Step::Generate(i), n));
            }
        }
        let early = self.is_variant(Broken::CallBeforeCommit) && l.text > 0;
        let text = if early { l.text } else { a.text };
        let ended = a.ended && !self.is_variant(Broken::CallAfterEnd);
        if rules::may_call(ended, a.listed, text > 0) && l.call == 0 {
            let mut n = *s;
            n.leaders[i].call = text;
            n.called_after_end |= a.ended;
            out.push((Step::Call(i), n));
        }
        if l.call > 0 {
            let mut n = *s;
            n.leaders[i].call = 0;
            out.push((Step::CallFails(i), n));
            if (s.calls as usize) < MAX_CALLS {
                n.scored[s.calls as usize] = l.call;
                n.calls += 1;
                if n.leaders[i].propose(Command::Score(n.calls)) {
                    out.push((Step::Respond(i), n));
                }
            }
        }
        if l.text > 0 {
            let mut n = *s;
            n.leaders[i].text = 0;
            out.push((Step::Forget(i), n));
        }
    }

    fn log_steps(&self, s: &State, i: usize, out: &mut Vec<(Step, State)>) {
        if s.leaders[i].pending[0].is_some() && i == s.current as usize {
            let mut n = *s;
            if let Some(command) = n.leaders[i].take_first() {
                self.apply(&mut n, command);
            }
            out.push((Step::Commit(i), n));
        }
        if s.leaders[i].pending[1].is_some() {
            // An unanswered proposal is repeated, and then follows the commands proposed in the meantime.
            let mut n = *s;
            n.leaders[i].pending.swap(0, 1);
            out.push((Step::RepeatProposal(i), n));
        }
        if i == s.current as usize && s.ends == 0 {
            let mut n = *s;
            n.ends += 1;
            if n.leaders[i].propose(Command::End) {
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
                    self.apply(&mut n, command);
                }
            }
            n.leaders[0].pending = Default::default();
            n.current = 1;
            n.leaders[1] = Leader { leads: true, ..Leader::default() };
            out.push((Step::Replace { committed }, n));
        }
    }
}

impl Model for Rewards {
    type State = State;
    type Step = Step;

    fn name(&self) -> String {
        format!("rewards/{:?}", self.broken)
    }

    fn bound(&self) -> String {
        format!("1 item, {MAX_TEXTS} texts, {MAX_CALLS} calls answered, {LEADERS} leaders")
    }

    fn start(&self) -> State {
        let mut s = State::default();
        s.leaders[0].leads = true;
        s
    }

    fn steps(&self, s: &State) -> Vec<(Step, State)> {
        let mut out = Vec::new();
        for i in (0..LEADERS).filter(|i| s.leaders[*i].leads) {
            self.item_steps(s, i, &mut out);
            self.log_steps(s, i, &mut out);
        }
        self.replace_steps(s, &mut out);
        out
    }

    fn violation(&self, s: &State) -> Option<&'static str> {
        let a = &s.applied;
        let scored = |score: u8| s.scored[usize::from(score) - 1];
        if a.listed && a.score == 0 {
            Some("no result is listed without its score")
        } else if a.listed && scored(a.score) != a.text {
            Some("a score is listed with the text that it was made for")
        } else if s.first_listed.is_some_and(|first| first != (a.text, a.score)) {
            Some("a listed result never changes")
        } else if s.generated_again {
            Some("a committed text is not generated again")
        } else if s.called_after_end {
            Some("no call starts after its batch was ended")
        } else {
            None
        }
    }

    fn is_complete(&self, s: &State) -> bool {
        s.applied.listed
    }

    fn must_stay_completable(&self) -> bool {
        false
    }
}
