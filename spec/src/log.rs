//! Specification of the replicated log with membership change, a lost disk and a paused leader.
//!
//! Messages are lost by not being delivered, so a partition is a set of deliveries that do not happen, and a paused
//! leader is one that takes no step and later goes on with its old state. One append can be held back and delivered
//! late and repeatedly.

use crate::{
    explore::Model,
    log_state::{self, IDS, NONE, Replica, Role, State, TERMS},
};

/// Rule that is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// Nothing.
    Intact,
    /// A replica whose disk was wiped votes and acknowledges under its old identity.
    WipedKeepsIdentity,
    /// The same, but its term and vote are restored, and only its entries are lost.
    WipedKeepsVote,
    /// A vote is granted without comparing the logs.
    VoteIgnoresLog,
    /// A second vote is granted in a term.
    VoteTwice,
    /// An entry of an older term is committed by counting.
    CommitOlderTerm,
    /// A learner is promoted before it has the committed log.
    EarlyPromotion,
    /// A second membership change starts while one is in flight.
    TwoChanges,
    /// A new leader changes the membership before it has committed an entry of its own term.
    ChangeBeforeOwnCommit,
    /// Entries are acknowledged before they are synced.
    ReplyBeforeSync,
    /// A late append cuts off entries that it does not carry.
    LateAppendTruncates,
}

/// Bound of one exploration.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    /// First voters.
    pub voters: u8,
    /// Highest term.
    pub terms: u8,
    /// Longest log.
    pub entries: u8,
    /// Crashes that lose what is not synced.
    pub crashes: u8,
    /// Lost disks.
    pub wipes: u8,
    /// Appends that are held back.
    pub held: u8,
    /// Whether the membership changes.
    pub membership: bool,
    /// Whether candidates stand in the same term, and replies are lost separately from their requests.
    pub rivals: bool,
}

/// Elections: enough terms for an entry of an older term to be counted and replaced.
pub const ELECTIONS: Bound = Bound {
    voters: 3,
    terms: 4,
    entries: 1,
    crashes: 1,
    wipes: 0,
    held: 0,
    membership: false,
    rivals: true,
};
/// Late appends of a paused leader and crashes that lose what is not synced.
pub const PAUSE: Bound = Bound {
    voters: 3,
    terms: 3,
    entries: 2,
    crashes: 1,
    wipes: 0,
    held: 1,
    membership: false,
    rivals: true,
};
/// Lost disk and its repair.
pub const REPAIR: Bound = Bound {
    voters: 3,
    terms: 2,
    entries: 3,
    crashes: 1,
    wipes: 1,
    held: 0,
    membership: true,
    rivals: true,
};
/// Membership changes of two leaders, which need an even number of voters to be unsafe.
pub const CHANGES: Bound = Bound {
    voters: 4,
    terms: 3,
    entries: 2,
    crashes: 0,
    wipes: 0,
    held: 0,
    membership: true,
    rivals: false,
};

/// The specification.
#[derive(Clone, Copy, Debug)]
pub struct Log {
    /// Rule that is broken.
    pub broken: Broken,
    /// Bound of the exploration.
    pub bound: Bound,
}

/// Step of a trace; the numbers are places of identities after sorting.
#[derive(Clone, Copy, Debug)]
#[allow(missing_docs)]
pub enum Step {
    Stand(usize),
    Vote { voter: usize, candidate: usize, reply_lost: bool },
    Lead(usize),
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
            if b.rivals { "" } else { " with one candidate each, no separate loss of replies" },
            b.entries,
            b.crashes,
            b.wipes,
            b.held
        )
    }

    fn start(&self) -> State {
        let mut replicas = [Replica::default(); IDS];
        for r in &mut replicas[..self.bound.voters as usize] {
            (r.role, r.voted_for) = (Role::Follower, NONE);
        }
        if self.bound.membership && self.bound.wipes == 0 {
            // A learner that can be added without a lost disk.
            let learner = &mut replicas[self.bound.voters as usize];
            (learner.role, learner.voted_for) = (Role::Follower, NONE);
        }
        State {
            replicas,
            held: None,
            crashes: 0,
            wipes: 0,
            helds: 0,
            acknowledged: Default::default(),
            acknowledged_len: 0,
            leaders: [false; TERMS],
            fault: None,
        }
    }

    fn steps(&self, s: &State) -> Vec<(Step, State)> {
        let mut out = Vec::new();
        self.election_steps(s, &mut out);
        for i in (0..IDS).filter(|i| s.replicas[*i].role == Role::Leader) {
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
