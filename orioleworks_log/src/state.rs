//! In-memory state of a replica: log entries, role and replication progress of the other members.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::{Duration, Instant},
};

use futures_channel::oneshot;
use orioleworks_proto::inner::{self, command::Kind};
use orioleworks_rules::log::{self as rules, LogPosition};
use prost::Message;

use crate::{
    election::Reservation,
    files::{Identity, SnapshotWriter},
    leaderless::{VoteRound, VoteSync},
    node::ProposeError,
    replication::BatchSize,
    settings::Settings,
    tolerance::Reduced,
};

/// Role of a replica in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Leads the term.
    Leader,
}

/// Replication progress of another member, as its leader knows it.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Next index to send.
    pub next_index: u64,
    /// Highest index known to be synced there and to match the leader's log.
    pub match_index: u64,
    /// Highest commit index that the member is known to have received.
    pub sent_commit: u64,
    /// Send time of the latest heartbeat that the member acknowledged in the leader's term.
    pub confirmed_at: Option<Instant>,
    /// Send time of the latest append with whose acknowledgement the member held all that was committed at that time.
    pub caught_up_at: Option<Instant>,
    /// Time at which the leader started to replicate to it.
    pub added_at: Instant,
    /// Another identity that replied at its address, which means that its process is gone.
    pub replaced_by: Option<u64>,
    /// Last index of its log by its newest reply, whether it matches or not; 0 if it has nothing, or before the first reply.
    pub last_index: u64,
    /// Size of the messages with entries or parts of a snapshot.
    pub batch_size: BatchSize,
    /// What it understands, by its newest reply; 0 before the first one.
    pub protocol: u32,
}

/// Result of a proposal, sent to the task that waits for it.
pub type Outcome = Result<inner::ProposeReply, ProposeError>;

/// Partially received snapshot.
#[derive(Debug, Default)]
pub struct IncomingSnapshot {
    /// Position of the snapshot.
    pub position: LogPosition,
    /// Term of the leader that sends it.
    pub leader_term: u64,
    /// Bytes of the state received so far.
    pub received: u64,
    /// Writer of the file that holds them; `None` while a part is being written.
    pub(crate) writer: Option<SnapshotWriter>,
}

/// State of one replica.
#[derive(Debug)]
pub struct State {
    /// Durable identity, term and vote.
    pub identity: Identity,
    /// Role in the term.
    pub role: Role,
    /// Leader of the term, if known.
    pub leader_id: Option<u64>,
    /// Time of the last message from the leader or of the last granted vote.
    pub last_seen: Option<Instant>,
    /// Position before the first entry in memory.
    pub base: LogPosition,
    /// Entries after `base`.
    pub entries: VecDeque<inner::LogEntry>,
    /// Highest timestamp of the log in Unix milliseconds; timestamps never decrease, because leases and retention times
    /// are computed from them.
    pub last_timestamp_ms: u64,
    /// Encoded size of `entries` in bytes.
    pub bytes: usize,
    /// Encoded size of the entries that are kept behind the newest snapshot.
    pub tail_bytes: usize,
    /// Last synced index.
    pub synced: u64,
    /// Incremented whenever entries are removed, so that a write in progress does not mark the new entries as synced.
    pub generation: u64,
    /// Whether the log file must be replaced because entries were removed or a write failed.
    pub rewrite: bool,
    /// Last committed index.
    pub commit: u64,
    /// Last applied index.
    pub applied: u64,
    /// Newest durable snapshot, with its membership but without its state.
    pub snapshot: inner::Snapshot,
    /// Membership in force: the last one in the log, committed or not.
    pub membership: inner::Membership,
    /// Index of the membership in force.
    pub membership_index: u64,
    /// Replication progress of the other members while leading.
    pub progress: HashMap<u64, Progress>,
    /// Index of the first entry of the own term while leading.
    pub term_start: u64,
    /// Proposals that wait for their entry to be applied, by index and term.
    pub pending_proposals: HashMap<u64, (u64, oneshot::Sender<Outcome>)>,
    /// Time at which this replica became leader.
    pub leader_since: Option<Instant>,
    /// Latest time at which this replica heard from a leader or stopped leading. Unlike `last_seen`, a vote does not count.
    pub leader_known_at: Option<Instant>,
    /// Candidate for which this replica holds back.
    pub reservation: Option<Reservation>,
    /// Latest requests of this replica for votes since it heard from a leader.
    pub vote_round: Option<VoteRound>,
    /// Syncs of the own vote.
    pub vote_sync: VoteSync,
    /// Commit index that a leader announced and the time of the announcement, until this replica has applied it.
    pub announced_commit: Option<(u64, Instant)>,
    /// Time at which a leader announced the latest commit index that is known to be applied here.
    pub current_as_of: Option<Instant>,
    /// Warm learners: the leader keeps sending them entries.
    pub warm_learners: HashSet<u64>,
    /// Time of the latest log line about voters that are not replaced.
    pub unreplaced_logged_at: Option<Instant>,
    /// While leading, the time for which fewer losses than promised are tolerated.
    pub reduced_tolerance: Option<Reduced>,
    /// Snapshot that is being received.
    pub incoming: IncomingSnapshot,
}

impl State {
    /// Own member ID.
    pub fn id(&self) -> u64 {
        self.identity.member_id
    }

    /// Current term.
    pub fn term(&self) -> u64 {
        self.identity.vote.term
    }

    /// Whether this replica leads the current term.
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// Whether this replica leads exactly this term.
    pub fn leads(&self, term: u64) -> bool {
        self.is_leader() && self.term() == term
    }

    /// Position of the last entry.
    pub fn last(&self) -> LogPosition {
        match self.entries.back() {
            Some(entry) => LogPosition { term: entry.term, index: entry.index },
            None => self.base,
        }
    }

    /// Entry at an index, if it is in memory.
    pub fn entry(&self, index: u64) -> Option<&inner::LogEntry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Copies the entries after an index up to an encoded size in bytes; the first one whatever its size.
    pub fn entries_after(&self, index: u64, max_bytes: usize) -> Vec<inner::LogEntry> {
        let from = index.saturating_sub(self.base.index);
        let from = usize::try_from(from).unwrap_or(usize::MAX).min(self.entries.len());
        let mut bytes = 0;
        let part = self.entries.range(from..).take_while(|entry| {
            let first = bytes == 0;
            bytes += entry.encoded_len();
            first || bytes <= max_bytes
        });
        part.cloned().collect()
    }

    /// Term of the entry at an index; `None` when it is not known.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        if index == self.snapshot.last_index {
            return Some(self.snapshot.last_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Member IDs of the voters in force.
    pub fn voters(&self) -> Vec<u64> {
        voters(&self.membership)
    }

    /// Whether this replica is a voter.
    pub fn is_voter(&self) -> bool {
        self.voters().contains(&self.id())
    }

    /// Whether a member is an earlier identity of a replica: the address of the member is known to be in use by the later one, under
    /// the same name, so that the disk of the earlier one is lost.
    pub fn is_earlier_identity(&self, member: &inner::Member, later: &inner::Member) -> bool {
        member.name == later.name && self.replaced_by(member) == Some(later.member_id)
    }

    /// Whether a later identity of the same replica is a member, too.
    pub fn has_later_identity(&self, member: &inner::Member) -> bool {
        let later = self.replaced_by(member).and_then(|id| self.member(id));
        later.is_some_and(|later| self.is_earlier_identity(member, later))
    }

    fn replaced_by(&self, member: &inner::Member) -> Option<u64> {
        self.progress.get(&member.member_id).and_then(|progress| progress.replaced_by)
    }

    /// Member with an ID.
    pub fn member(&self, id: u64) -> Option<&inner::Member> {
        self.membership.members.iter().find(|m| m.member_id == id)
    }

    /// Address of the known leader, empty without one.
    pub fn leader_address(&self) -> String {
        self.leader_id.and_then(|id| self.member(id)).map(|m| m.address.clone()).unwrap_or_default()
    }

    /// Appends an entry; a membership takes effect immediately, before it is committed.
    pub fn push(&mut self, entry: inner::LogEntry) {
        if let Some(membership) = membership_of(&entry) {
            self.membership = membership.clone();
            self.membership_index = entry.index;
        }
        self.last_timestamp_ms = self.last_timestamp_ms.max(entry.now_ms);
        self.bytes += entry.encoded_len();
        self.entries.push_back(entry);
    }

    /// Removes the entries from an index on.
    pub fn truncate_from(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base.index + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(0));
        self.bytes = self.entries.iter().map(Message::encoded_len).sum();
        self.synced = self.synced.min(index - 1);
        self.generation += 1;
        self.rewrite = true;
        self.reload_membership();
    }

    /// Drops entries up to an index that a snapshot covers.
    pub fn compact_through(&mut self, index: u64) {
        let Some(term) = self.term_at(index) else { return };
        while self.entries.front().is_some_and(|entry| entry.index <= index) {
            let dropped = self.entries.pop_front();
            let bytes = dropped.map_or(0, |entry| entry.encoded_len());
            self.bytes = self.bytes.saturating_sub(bytes);
        }
        self.base = LogPosition { term, index };
        self.generation += 1;
        self.rewrite = true;
    }

    /// Whether the applied entries that the newest snapshot does not cover have reached a size in bytes. Entries that wait
    /// for a quorum do not count, because the next snapshot would not cover them either.
    pub fn has_applied_bytes(&self, bytes: usize) -> bool {
        let uncovered = self.bytes.saturating_sub(self.tail_bytes);
        if uncovered < bytes {
            return false;
        }
        let waiting = self.entries.iter().rev().take_while(|entry| entry.index > self.applied);
        uncovered.saturating_sub(waiting.map(Message::encoded_len).sum()) >= bytes
    }

    /// Entries to keep behind a snapshot that covers those up to `last`: the newest ones and those after `needed_after`, within the
    /// bounds of the settings. Returns the index through which the others are dropped, and the size of the kept ones.
    pub fn tail(&self, last: u64, needed_after: u64, settings: &Settings) -> (u64, usize) {
        let covered = self.entries.iter().rev().filter(|entry| entry.index <= last);
        let (mut base, mut total) = (last, 0);
        for entry in covered {
            let size = total + entry.encoded_len();
            let is_new = last - entry.index < settings.tail_entries && size <= settings.tail_bytes;
            let is_needed = entry.index > needed_after && size <= settings.catch_up_bytes;
            if !is_new && !is_needed {
                break;
            }
            (base, total) = (entry.index - 1, size);
        }
        (base, total)
    }

    /// Whether entries are sent to a member. A learner receives entries or a snapshot once, and later only while it may soon have to
    /// replace a voter. A new leader asks first: it would otherwise send them to every learner again.
    pub fn receives_entries(&self, id: u64) -> bool {
        let has_none = |progress: &Progress| {
            progress.confirmed_at.is_some() && progress.match_index.max(progress.last_index) == 0
        };
        self.needs_every_entry(id) || self.progress.get(&id).is_some_and(has_none)
    }

    /// Whether a member votes, or may soon have to replace a voter.
    pub fn needs_every_entry(&self, id: u64) -> bool {
        let is_learner = self.member(id).is_some_and(|m| m.learner);
        !is_learner || self.warm_learners.contains(&id)
    }

    /// Last index that all members have to which this replica sends every entry as a leader. Those that have been silent for longer
    /// than this do not count.
    pub fn acknowledged_by_all(&self, longest_silence: Duration) -> u64 {
        if !self.is_leader() {
            return u64::MAX;
        }
        let is_live = |progress: &Progress| {
            progress.confirmed_at.unwrap_or(progress.added_at).elapsed() <= longest_silence
        };
        let receiving =
            self.progress.iter().filter(|(id, p)| self.needs_every_entry(**id) && is_live(p));
        receiving.map(|(_, progress)| progress.match_index).min().unwrap_or(u64::MAX)
    }

    /// Sets the membership to the last one of the log, or the snapshot's.
    pub fn reload_membership(&mut self) {
        (self.membership_index, self.membership) = self.membership_at(u64::MAX);
    }

    /// Membership in force at an index.
    pub fn membership_at(&self, index: u64) -> (u64, inner::Membership) {
        let memberships = self.entries.iter().rev().filter(|entry| entry.index <= index);
        let memberships = memberships.filter(|entry| entry.index > self.snapshot.last_index);
        let mut memberships =
            memberships.filter_map(|entry| membership_of(entry).map(|m| (entry.index, m.clone())));
        memberships.next().unwrap_or_else(|| {
            (self.snapshot.last_index, self.snapshot.membership.clone().unwrap_or_default())
        })
    }

    /// Whether an entry of the own term is committed while leading.
    pub fn committed_own_term(&self) -> bool {
        self.is_leader() && self.term_start > 0 && self.commit >= self.term_start
    }

    /// Whether a quorum of voters acknowledged a heartbeat that was sent at or after an instant.
    pub fn quorum_confirmed_since(&self, since: Instant) -> bool {
        self.has_quorum(|p| p.confirmed_at.is_some_and(|confirmed_at| confirmed_at >= since))
    }

    /// Whether a quorum of voters acknowledged a heartbeat within a time. For a new member the time starts when it is
    /// added.
    pub fn quorum_contacted(&self, within: Duration) -> bool {
        self.has_quorum(|p| p.confirmed_at.unwrap_or(p.added_at).elapsed() <= within)
    }

    fn has_quorum(&self, holds: impl Fn(&Progress) -> bool) -> bool {
        let holding: Vec<u64> = self.voters_where(holds).collect();
        rules::is_elected(&self.voters(), &holding)
    }

    /// Voters of which a condition holds, and this replica if it votes.
    pub(crate) fn voters_where(
        &self,
        holds: impl Fn(&Progress) -> bool,
    ) -> impl Iterator<Item = u64> {
        let own = self.id();
        let voters = self.voters().into_iter();
        voters.filter(move |id| *id == own || self.progress.get(id).is_some_and(&holds))
    }

    /// Whether this replica leads or got a message from the leader within a time.
    pub fn has_live_leader(&self, within: Duration) -> bool {
        self.is_leader() || self.last_seen.is_some_and(|last_seen| last_seen.elapsed() < within)
    }
}

/// Membership that an entry contains.
pub fn membership_of(entry: &inner::LogEntry) -> Option<&inner::Membership> {
    match entry.command.as_ref()?.kind.as_ref()? {
        Kind::Membership(membership) => Some(membership),
        _ => None,
    }
}

/// Member IDs of the voters of a membership.
pub fn voters(membership: &inner::Membership) -> Vec<u64> {
    membership.members.iter().filter(|m| !m.learner).map(|m| m.member_id).collect()
}
