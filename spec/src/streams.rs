//! Specification of a stream of which no record is found: where it may go on while software versions change and stores lose
//! their memory.
//!
//! The first version serves from the start and is known to all voters. A second one joins, is recorded by a gateway and may
//! begin the stream. Voters restart with empty memory and learn from each other. Another gateway takes the stream up with what
//! the voters reply, one at a time. A record of the stream names its version by itself and is left out.

use orioleworks_rules::streams::{self as rules, VoterReply};

use crate::explore::Model;

const VOTERS: usize = 3;
/// Most restarts of voters.
const MAX_RESTARTS: u8 = 3;

/// The one rule that is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// No rule is broken.
    Intact,
    /// A gateway takes what one voter tells for all that there is.
    GuessFromOne,
    /// A version begins streams before a majority has recorded it.
    BeginUnrecorded,
    /// A version begins streams although a voter that recorded it may have been restarted before the last one did.
    BeginUnconfirmed,
    /// A voter that records a version while others already confirm it counts.
    CountLate,
    /// A restarted voter counts as complete once one other voter has told it what it knows.
    CompleteAfterOne,
    /// A restarted voter counts as complete at once.
    CompleteAfterRestart,
    /// The replies of voters that may have lost their memory count.
    CountIncomplete,
    /// A gateway decides by replies that it got before the stream began.
    AskBeforeBegin,
}

/// The specification.
#[derive(Clone, Copy, Debug)]
pub struct Streams {
    /// Rule that is broken.
    pub broken: Broken,
}

/// Software versions that are known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Known {
    first: bool,
    second: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Voter {
    known: Known,
    complete: bool,
    /// Voters that have told what they know since the last restart.
    told_by: [bool; VOTERS],
}

/// Software version of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[allow(missing_docs)]
pub enum Version {
    First,
    Second,
}

/// State of the voters and the two gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct State {
    voters: [Voter; VOTERS],
    restarts: u8,
    /// Voters that have acknowledged the second version to the gateway that begins the stream.
    recorded: [bool; VOTERS],
    /// Voters that have acknowledged it a second time, after a majority had the first time, and were not restarted between.
    confirmed: [bool; VOTERS],
    /// Voters that were restarted after they acknowledged it first.
    restarted: [bool; VOTERS],
    begun: Option<Version>,
    /// Replies to the gateway that takes the stream up.
    replies: [Option<(bool, Known)>; VOTERS],
    resumed: Option<Version>,
}

/// Step of a trace; the number is the voter.
#[derive(Clone, Copy, Debug)]
#[allow(missing_docs)]
pub enum Step {
    Announce(Version, usize),
    Record(usize),
    Confirm(usize),
    Begin(Version),
    Restart(usize),
    Tell { from: usize, to: usize },
    Reply(usize),
    Resume,
}

fn count(voters: &[bool; VOTERS]) -> usize {
    voters.iter().filter(|voter| **voter).count()
}

impl Known {
    fn add(&mut self, version: Version) {
        match version {
            Version::First => self.first = true,
            Version::Second => self.second = true,
        }
    }

    fn merge(&mut self, other: Known) {
        self.first |= other.first;
        self.second |= other.second;
    }

    fn versions(self) -> Vec<Version> {
        let versions = [(self.first, Version::First), (self.second, Version::Second)];
        versions.into_iter().filter_map(|(known, version)| known.then_some(version)).collect()
    }
}

impl Streams {
    fn is_variant(&self, broken: Broken) -> bool {
        self.broken == broken
    }

    fn voter_steps(&self, s: &State, i: usize, out: &mut Vec<(Step, State)>) {
        for version in [Version::First, Version::Second] {
            let mut n = *s;
            n.voters[i].known.add(version);
            out.push((Step::Announce(version, i), n));
        }
        let mut n = *s;
        n.voters[i].known.add(Version::Second);
        // An acknowledgement that comes while others are confirmed does not count.
        let counts = count(&s.confirmed) == 0 || self.is_variant(Broken::CountLate);
        n.recorded[i] |= counts && s.begun.is_none();
        out.push((Step::Record(i), n));
        let confirming = s.begun.is_none() && rules::may_begin(count(&s.recorded), VOTERS);
        if confirming && s.recorded[i] && !s.restarted[i] {
            let mut n = *s;
            n.confirmed[i] = true;
            out.push((Step::Confirm(i), n));
        }
        if s.restarts < MAX_RESTARTS {
            let mut n = *s;
            let complete = self.is_variant(Broken::CompleteAfterRestart);
            n.voters[i] = Voter { complete, ..Voter::default() };
            n.restarts += 1;
            n.restarted[i] |= s.recorded[i];
            out.push((Step::Restart(i), n));
        }
        for to in (0..VOTERS).filter(|to| *to != i) {
            let mut n = *s;
            n.voters[to].known.merge(s.voters[i].known);
            n.voters[to].told_by[i] |= s.voters[i].complete;
            let told_by = count(&n.voters[to].told_by);
            let one_is_enough = self.is_variant(Broken::CompleteAfterOne) && told_by > 0;
            n.voters[to].complete |= rules::is_complete_again(told_by, VOTERS) || one_is_enough;
            if n.voters[to].complete {
                n.voters[to].told_by = Default::default();
            }
            out.push((Step::Tell { from: i, to }, n));
        }
        let may_ask = s.begun.is_some() || self.is_variant(Broken::AskBeforeBegin);
        if may_ask && s.replies[i].is_none() {
            let mut n = *s;
            n.replies[i] = Some((s.voters[i].complete, s.voters[i].known));
            out.push((Step::Reply(i), n));
        }
    }

    fn begin_steps(&self, s: &State, out: &mut Vec<(Step, State)>) {
        if s.begun.is_some() {
            return;
        }
        let unconfirmed = self.is_variant(Broken::BeginUnconfirmed);
        let confirmed = if unconfirmed { &s.recorded } else { &s.confirmed };
        let known = s.voters.iter().any(|voter| voter.known.second);
        let early = self.is_variant(Broken::BeginUnrecorded) && known;
        let begin = |version| {
            // What the gateway has heard matters no more.
            let (recorded, confirmed, restarted) = Default::default();
            let begun = Some(version);
            (Step::Begin(version), State { begun, recorded, confirmed, restarted, ..*s })
        };
        if rules::may_begin(count(confirmed), VOTERS) || early {
            out.push(begin(Version::Second));
        }
        out.push(begin(Version::First));
    }

    fn resume_step(&self, s: &State) -> Option<State> {
        s.begun?;
        let replies = s.replies.iter().flatten().map(|(complete, known)| VoterReply {
            complete: *complete || self.is_variant(Broken::CountIncomplete),
            versions: known.versions(),
        });
        let replies: Vec<VoterReply<Version>> = replies.collect();
        let voters = if self.is_variant(Broken::GuessFromOne) { 1 } else { VOTERS };
        let resumed = Some(rules::only_version(&replies, voters)?);
        Some(State { resumed, ..*s })
    }
}

impl Model for Streams {
    type State = State;
    type Step = Step;

    fn name(&self) -> String {
        format!("streams/{:?}", self.broken)
    }

    fn bound(&self) -> String {
        format!("1 stream, 2 versions, {VOTERS} voters, {MAX_RESTARTS} restarts")
    }

    fn start(&self) -> State {
        let known = Known { first: true, second: false };
        let voter = Voter { known, complete: true, told_by: [false; VOTERS] };
        State { voters: [voter; VOTERS], ..State::default() }
    }

    fn steps(&self, s: &State) -> Vec<(Step, State)> {
        if s.resumed.is_some() {
            return Vec::new();
        }
        let mut out = Vec::new();
        for i in 0..VOTERS {
            self.voter_steps(s, i, &mut out);
        }
        self.begin_steps(s, &mut out);
        out.extend(self.resume_step(s).map(|n| (Step::Resume, n)));
        out.retain(|(_, n)| n != s);
        out
    }

    fn violation(&self, s: &State) -> Option<&'static str> {
        let joined = s.resumed.is_some() && s.resumed != s.begun;
        joined.then_some("a stream goes on at the version that began it")
    }

    fn is_complete(&self, s: &State) -> bool {
        s.resumed.is_some()
    }

    fn must_stay_completable(&self) -> bool {
        false
    }
}
