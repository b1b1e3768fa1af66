//! Specification of the replicated log with membership changes, a lost disk and a paused leader.
//!
//! A lost message is one that is never delivered, so a partition is a set of deliveries that do not happen. A paused
//! leader takes no step for a while and later resumes with its old state. One append can be held back and delivered
//! late and repeatedly.

use crate::{
    explore::Model,
    log_state::{self, ID_COUNT, NO_VOTE, Replica, Role, State, TERM_COUNT},
};

/// The one rule that is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// No rule is broken.
    Intact,
    /// A replica whose disk was wiped votes and acknowledges under its old identity.
    WipedKeepsIdentity,
    /// Like `WipedKeepsIdentity`, but its term and vote are restored, and only its entries are lost.
    WipedKeepsVote,
    /// A vote is granted without comparing the logs.
    VoteIgnoresLog,
    /// A second vote is granted in a term.
    VoteTwice,
    /// An entry of an older term is committed by counting its replicas.
    CommitOlderTerm,
    /// A learner is promoted before it has what was committed when the leader last reached it.
    EarlyPromotion,
    /// A second membership change starts while one is in flight.
    TwoChanges,
    /// A new leader changes the membership before it has committed an entry of its own term.
    ChangeBeforeOwnCommit,
    /// Entries are acknowledged before they are synced.
    ReplyBeforeSync,
    /// A late append truncates entries that it does not contain.
    LateAppendTruncates,
}

/// Bound of one exploration.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    /// Initial voters.
    pub voters: u8,
    /// Highest term.
    pub terms: u8,
    /// Most entries of a log.
    pub entries: u8,
    /// Crashes that lose unsynced entries.
    pub crashes: u8,
    /// Replicas that lose their disk.
    pub wipes: u8,
    /// Appends that are held back.
    pub delayed_appends: u8,
    /// Whether the membership changes.
    pub membership: bool,
    /// Whether several candidates may run in the same term, and replies may be lost separately from their requests.
    pub concurrent_candidates: bool,
}

/// Elections: enough terms for an entry of an older term to reach a quorum and then be replaced.
pub const ELECTIONS: Bound = Bound {
    voters: 3,
    terms: 4,
    entries: 1,
    crashes: 1,
    wipes: 0,
    delayed_appends: 0,
    membership: false,
    concurrent_candidates: true,
};
/// Late appends of a paused leader and crashes that lose unsynced entries.
pub const PAUSE: Bound = Bound {
    voters: 3,
    terms: 3,
    entries: 2,
    crashes: 1,
    wipes: 0,
    delayed_appends: 1,
    membership: false,
    concurrent_candidates: true,
};
/// Lost disk and replacement of its replica.
pub const REPAIR: Bound = Bound {
    voters: 3,
    terms: 2,
    entries: 3,
    crashes: 1,
    wipes: 1,
    delayed_appends: 0,
    membership: true,
    concurrent_candidates: true,
};
/// Membership changes by two leaders; their faults show only with an even number of voters.
pub const CHANGES: Bound = Bound {
    voters: 4,
    terms: 3,
    entries: 2,
    crashes: 0,
    wipes: 0,
    delayed_appends: 0,
    membership: true,
    concurrent_candidates: false,
};

/// The specification.
#[derive(Clone, Copy, Debug)]
pub struct Log {
    /// Rule that is broken.
    pub broken: Broken,
    /// Bound of the exploration.
    pub bound: Bound,
}

/// Step of a trace; the numbers are the positions of the identities in canonical order.
#[derive(Clone, Copy, Debug)]
#[allow(missing_docs)]
pub enum Step {
    StartElection(usize),
    Vote { voter: usize, candidate: usize, reply_lost: bool },
    BecomeLeader(usize),
    Write(usize),
    ChangeVoters { leader: usize, voters: u8 },
    Append { leader: usize, to: usize, reply_lost: bool },
    HoldAppend(usize),
    LateAppend(usize),
    Sync(usize),
    Commit(usize),
    Crash(usize),
    Wipe(usize),
}

impl Model for Log {
    type State = State;
    type Step = Step;

    fn name(&self) -> String {
        format!("log/{:?}", self.broken)
    }

    fn bound(&self) -> String {
        let b = self.bound;
        let change = if b.membership { "changes" } else { "fixed" };
        format!(
            "{} voters {change}, {} terms{}, {} entries, {} crashes, {} wipes, {} held appends",
            b.voters,
            b.terms,
            if b.concurrent_candidates {
                ""
            } else {
                " with one candidate each, no separate loss of replies"
            },
            b.entries,
            b.crashes,
            b.wipes,
            b.delayed_appends
        )
    }

    fn start(&self) -> State {
        let mut replicas = [Replica::default(); ID_COUNT];
        for r in &mut replicas[..self.bound.voters as usize] {
            (r.role, r.voted_for) = (Role::Follower, NO_VOTE);
        }
        if self.bound.membership && self.bound.wipes == 0 {
            // A learner that can be promoted without a lost disk.
            let learner = &mut replicas[self.bound.voters as usize];
            (learner.role, learner.voted_for) = (Role::Follower, NO_VOTE);
        }
        State {
            replicas,
            delayed_append: None,
            crashes: 0,
            wipes: 0,
            held_count: 0,
            acknowledged: Default::default(),
            acknowledged_len: 0,
            leaders: [false; TERM_COUNT],
            fault: None,
        }
    }

    fn steps(&self, s: &State) -> Vec<(Step, State)> {
        let mut out = Vec::new();
        self.election_steps(s, &mut out);
        for i in (0..ID_COUNT).filter(|i| s.replicas[*i].role == Role::Leader) {
            self.leader_steps(s, i, &mut out);
        }
        self.fault_steps(s, &mut out);
        out.into_iter()
            .map(|(step, n)| (step, log_state::canonical(&n, self.bound.voters)))
            .collect()
    }

    fn violation(&self, s: &State) -> Option<&'static str> {
        let lost = s.replicas.iter().filter(|r| r.role == Role::Leader).any(|r| {
            let acknowledged = &s.acknowledged[..s.acknowledged_len as usize];
            acknowledged.iter().zip(&r.log).any(|((e, term), own)| r.term > *term && own != e)
        });
        s.fault.or(lost.then_some("no acknowledged entry is lost or replaced"))
    }

    fn is_complete(&self, s: &State) -> bool {
        let repaired = s.acknowledged.iter().any(|(e, _)| e.promoted > 0);
        s.acknowledged_len == self.bound.entries && (repaired || !self.bound.membership)
    }

    fn must_stay_completable(&self) -> bool {
        false
    }
}
