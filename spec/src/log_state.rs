//! States of the log specification and their canonical order.

use orioleworks_rules::log::LogPosition;

/// Identities: the initial voters, and those that are added or replace one with a lost disk.
pub(crate) const ID_COUNT: usize = 5;
/// Most entries of a log.
pub(crate) const MAX_LOG_LEN: usize = 3;
/// Number of terms, with term 0.
pub(crate) const TERM_COUNT: usize = 5;
pub(crate) const NO_VOTE: u8 = u8::MAX;

/// Log entry; a membership change lists the new voters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Entry {
    pub(crate) term: u8,
    /// Bit set of the voters from this entry on; 0 for other entries.
    pub(crate) voters: u8,
    /// Identity that the entry promotes, plus 1; 0 for none. Only the invariants use it.
    pub(crate) promoted: u8,
    /// What the promoted identity holds according to its leader. Only the invariants use it.
    pub(crate) committed_before: u8,
}

/// Role of an identity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Does not exist yet, or has lost its disk.
    #[default]
    Absent,
    /// Follower or learner.
    Follower,
    /// Candidate.
    Candidate,
    /// Leader; a newer term may already have another one.
    Leader,
}

/// Replica with one identity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Replica {
    pub(crate) role: Role,
    pub(crate) term: u8,
    pub(crate) voted_for: u8,
    pub(crate) log: [Entry; MAX_LOG_LEN],
    pub(crate) len: u8,
    pub(crate) synced: u8,
    pub(crate) commit: u8,
    pub(crate) votes: u8,
    pub(crate) matched: [u8; ID_COUNT],
    /// Own commit index, plus 1, at the latest append that each replica acknowledged; 0 for none.
    pub(crate) committed_when_sent: [u8; ID_COUNT],
}

/// State of all replicas, the held append and the acknowledged entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct State {
    pub(crate) replicas: [Replica; ID_COUNT],
    pub(crate) delayed_append: Option<(u8, u8, [Entry; MAX_LOG_LEN], u8)>,
    pub(crate) crashes: u8,
    pub(crate) wipes: u8,
    pub(crate) held_count: u8,
    pub(crate) acknowledged: [(Entry, u8); MAX_LOG_LEN],
    pub(crate) acknowledged_len: u8,
    pub(crate) leaders: [bool; TERM_COUNT],
    pub(crate) fault: Option<&'static str>,
}

impl Replica {
    pub(crate) fn entries(&self) -> &[Entry] {
        &self.log[..self.len as usize]
    }

    pub(crate) fn position(&self) -> LogPosition {
        let term = self.entries().last().map_or(0, |e| u64::from(e.term));
        LogPosition { term, index: u64::from(self.len) }
    }

    pub(crate) fn step_down(&mut self, term: u8) {
        if term > self.term {
            (self.term, self.voted_for) = (term, NO_VOTE);
        }
        (self.role, self.votes, self.commit) = (Role::Follower, 0, 0);
        (self.matched, self.committed_when_sent) = ([0; ID_COUNT], [0; ID_COUNT]);
    }

    pub(crate) fn push(&mut self, entry: Entry, sync: bool) {
        self.log[self.len as usize] = entry;
        self.len += 1;
        if sync {
            self.synced = self.len;
        }
    }

    pub(crate) fn truncate(&mut self, len: u8) {
        self.log[len as usize..].fill(Entry::default());
        (self.len, self.synced) = (len, self.synced.min(len));
    }
}

/// Smallest of the states that differ only by the names of the initial voters.
///
/// Voters are sorted by a key that does not depend on names; only voters with equal keys are permuted.
pub(crate) fn canonical(s: &State, voters: u8) -> State {
    let key = |i: &usize| {
        let r = &s.replicas[*i];
        (r.role, r.term, r.len, r.synced, r.commit, r.log.map(|e| e.term), r.votes.count_ones())
    };
    let mut sorted: Vec<usize> = (0..voters as usize).collect();
    sorted.sort_by_key(key);
    let mut best: Option<State> = None;
    let equal = |a: usize, b: usize| key(&a) == key(&b);
    permute(&mut sorted, 0, &equal, &mut |order| {
        let renamed = rename_identities(s, order);
        if best.as_ref().is_none_or(|b| renamed < *b) {
            best = Some(renamed);
        }
    });
    best.unwrap_or(*s)
}

fn permute(
    order: &mut [usize],
    at: usize,
    equal: &impl Fn(usize, usize) -> bool,
    f: &mut impl FnMut(&[usize]),
) {
    if at == order.len() {
        return f(order);
    }
    for i in at..order.len() {
        if equal(order[at], order[i]) {
            order.swap(at, i);
            permute(order, at + 1, equal, f);
            order.swap(at, i);
        }
    }
}

/// Renames identity `order[i]` to `i`.
fn rename_identities(s: &State, order: &[usize]) -> State {
    let mut names: [usize; ID_COUNT] = std::array::from_fn(|i| i);
    order.iter().enumerate().for_each(|(position, i)| names[*i] = position);
    let new_id = |i: usize| names[i];
    let map_set = |bits: u8| {
        (0..ID_COUNT).filter(|i| bits & (1 << i) != 0).fold(0, |b, i| b | 1 << new_id(i))
    };
    let map_id = |id: u8| if id == NO_VOTE { NO_VOTE } else { new_id(id as usize) as u8 };
    let entry = |e: Entry| {
        let promoted = if e.promoted == 0 { 0 } else { map_id(e.promoted - 1) + 1 };
        Entry { voters: map_set(e.voters), promoted, ..e }
    };
    let mut n = *s;
    for (i, r) in s.replicas.iter().enumerate() {
        let mut m = Replica { voted_for: map_id(r.voted_for), votes: map_set(r.votes), ..*r };
        m.log = r.log.map(entry);
        for j in 0..ID_COUNT {
            m.matched[new_id(j)] = r.matched[j];
            m.committed_when_sent[new_id(j)] = r.committed_when_sent[j];
        }
        n.replicas[new_id(i)] = m;
    }
    n.delayed_append = s
        .delayed_append
        .map(|(term, leader, log, len)| (term, map_id(leader), log.map(entry), len));
    n.acknowledged = s.acknowledged.map(|(e, term)| (entry(e), term));
    n
}
