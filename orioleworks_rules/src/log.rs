//! Rules of the replicated log; see `docs/design.md`, section 4.

/// Position of the last entry of a log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LogPosition {
    /// Term of the last entry; compared before the index.
    pub term: u64,
    /// Index of the last entry, 0 for an empty log.
    pub index: u64,
}

/// Durable vote state of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VoteRecord {
    /// Highest term seen.
    pub term: u64,
    /// Candidate that got the vote of this term.
    pub voted_for: Option<u64>,
}

/// Number of replicas that form a majority of the voters.
pub fn quorum(voters: usize) -> usize {
    voters / 2 + 1
}

/// Losses of live voters after which the others are still a quorum; `None` if the live voters are none.
pub fn tolerated_losses(voters: usize, live: usize) -> Option<usize> {
    live.checked_sub(quorum(voters))
}

/// Whether a replica may grant its vote.
///
/// The term of the request must not be older than the recorded one, the replica must not have voted for another
/// candidate in it, and the candidate's log must contain everything that this replica may have acknowledged.
pub fn may_grant_vote(
    record: VoteRecord,
    own: LogPosition,
    term: u64,
    candidate_id: u64,
    candidate: LogPosition,
) -> bool {
    let vote_available = term > record.term
        || (term == record.term && record.voted_for.is_none_or(|id| id == candidate_id));
    vote_available && candidate >= own
}

/// Whether votes elect a candidate: only voters of the current membership count, each once.
pub fn is_elected(voters: &[u64], granted: &[u64]) -> bool {
    let count = voters.iter().filter(|id| granted.contains(id)).count();
    count >= quorum(voters.len())
}

/// Highest index that a quorum of the voters has synced.
///
/// `synced` contains the index that each voter, including the leader, is known to have synced. The caller commits the
/// result only if the entry at that index is of the leader's own term, see [`may_commit`].
pub fn quorum_index(synced: &[u64]) -> u64 {
    let mut sorted = synced.to_vec();
    sorted.sort_unstable_by(|a, b| b.cmp(a));
    sorted.get(quorum(sorted.len()) - 1).copied().unwrap_or(0)
}

/// Whether a leader may commit up to an entry; entries of older terms are committed only through one of its own.
pub fn may_commit(entry_term: u64, leader_term: u64) -> bool {
    entry_term == leader_term
}

/// Whether a leader may propose a membership change.
///
/// A second change in flight, or a change before an entry of the leader's own term is committed, could result in two
/// disjoint quorums.
pub fn may_change_membership(committed_own_term: bool, change_in_flight: bool) -> bool {
    committed_own_term && !change_in_flight
}

/// Whether a learner may become a voter: it has synced all that was committed when the leader sent the append that it
/// acknowledged last. What has been committed since does not count, because under constant load a learner never has it.
pub fn may_promote(learner_synced: u64, committed_when_sent: u64) -> bool {
    learner_synced >= committed_when_sent
}

/// Whether two sets of voters differ by at most one replica, so that their quorums overlap.
pub fn is_single_step(old: &[u64], new: &[u64]) -> bool {
    let added = new.iter().filter(|id| !old.contains(id)).count();
    let removed = old.iter().filter(|id| !new.contains(id)).count();
    added + removed <= 1 && !new.is_empty()
}

/// Whether a replica may accept entries from a leader; a leader of an older term has been replaced.
pub fn accepts_append(own_term: u64, leader_term: u64) -> bool {
    leader_term >= own_term
}
