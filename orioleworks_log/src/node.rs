//! One replica of the log: opening, proposals, linearizable reads and status.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet, VecDeque},
    fs::File,
    io,
    rc::Rc,
    sync::mpsc,
    time::{Duration, Instant},
};

use compio::runtime;
use displaydoc::Display;
use futures_channel::oneshot;
use futures_util::lock::Mutex;
use indexmap::IndexSet;
use orioleworks_daemon::{clock, rpc};
use orioleworks_proto::{
    PROTOCOL,
    codes::ResultCode,
    inner::{self, frame::Body},
};
use orioleworks_rules::log::LogPosition;
use prost::Message;
use tokio_util::sync::CancellationToken;

use crate::{
    error::LogError,
    files,
    journal::Journal,
    leaderless::{self, VoteSync},
    notify::Notify,
    settings::{Replica, Settings},
    state::{IncomingSnapshot, Outcome, Role, State},
};

/// Longest wait for a quorum to commit a proposal.
const PROPOSE_TIMEOUT: Duration = Duration::from_millis(1400);
/// Longest wait for a quorum before a linearizable read or a proposal.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1000);
/// Lag behind the leader from which a replica serves no new readers: longer than several heartbeats and a slow sync,
/// and shorter than the time within which a configuration must take effect.
const MAX_READ_LAG: Duration = Duration::from_millis(1000);
/// Largest encoded command in bytes; it must fit into a frame with the entry around it.
pub const MAX_COMMAND_BYTES: usize = 4 * 1024 * 1024;

/// Reads an encoded state off the event loop, or returns why it is not a valid one.
type Decode = Box<dyn FnOnce(&mut dyn io::Read) -> Result<(), String> + Send>;

/// Replacement of the whole state in two steps, so that neither files nor decoding delay a heartbeat.
pub struct Restoration {
    pub(crate) decode: Decode,
    /// Puts the decoded state in force.
    pub(crate) finish: Box<dyn FnOnce() -> Result<(), String>>,
}

impl Restoration {
    /// Creates a restoration: `decode` reads a state off the event loop, `finish` puts it in force there.
    pub fn new<T: Send + 'static>(
        decode: impl FnOnce(&mut dyn io::Read) -> Result<T, String> + Send + 'static,
        finish: impl FnOnce(T) -> Result<(), String> + 'static,
    ) -> Self {
        let (tx, rx) = mpsc::channel();
        Self {
            decode: Box::new(move |r| tx.send(decode(r)?).map_err(|e| e.to_string())),
            finish: Box::new(move || finish(rx.try_recv().map_err(|e| e.to_string())?)),
        }
    }
}

impl std::fmt::Debug for Restoration {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Restoration").finish_non_exhaustive()
    }
}

/// Begins to replace the whole state of the state machine.
pub type Restore = Box<dyn Fn() -> Restoration>;

/// Part of an encoded state, which writes itself off the event loop.
pub type Part = Box<dyn FnOnce(&mut dyn io::Write) -> io::Result<()> + Send>;

/// Encodes the whole state in parts, which are produced on demand; [`Restore`] gets their concatenation. The parts
/// represent the state at the time of the call, even if entries are applied meanwhile.
pub type Encode = Box<dyn Fn() -> Box<dyn Iterator<Item = Part>>>;

/// Whether sightings from another replica are forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sharing {
    /// A follower reported them, so the other replicas lack them.
    Forward,
    /// The leader sent them and has them already.
    LocalOnly,
}

/// The replicated state machine, as closures.
pub struct StateMachine {
    /// Applies a committed entry and returns the reply to its proposer.
    pub apply: Box<dyn Fn(&inner::LogEntry) -> inner::ProposeReply>,
    /// Encodes the whole state.
    pub snapshot: Encode,
    /// Replaces the whole state.
    pub restore: Restore,
    /// Returns the sightings of entries that are newer than a version, and the version to pass to the next call.
    pub sightings: Box<dyn Fn(u64) -> (Vec<inner::EntryStatus>, u64)>,
    /// Merges sightings from another replica; the second argument says whether the other replicas still lack them.
    pub merge_sightings: Box<dyn Fn(Vec<inner::EntryStatus>, Sharing)>,
}

impl std::fmt::Debug for StateMachine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Machine").finish_non_exhaustive()
    }
}

/// Why a proposal has no result.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ProposeError {
    /// this replica is not the leader
    NotLeader,
    /// no quorum confirmed the order in time; it may still be accepted
    Unconfirmed,
    /// the leader has not yet committed an entry of its term; nothing was proposed
    NoQuorum,
}

impl std::error::Error for ProposeError {}

impl ProposeError {
    /// Result code for the proposer.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::NotLeader => ResultCode::NotLeader,
            Self::Unconfirmed => ResultCode::OrderUnconfirmed,
            Self::NoQuorum => ResultCode::NoQuorum,
        }
    }
}

pub(crate) struct Inner {
    pub(crate) settings: Settings,
    pub(crate) machine: StateMachine,
    pub(crate) state: RefCell<State>,
    /// Notified when anything in the state changes that a task may wait for.
    pub(crate) changed: Notify,
    pub(crate) vote_lock: Mutex<()>,
    pub(crate) snapshot_lock: Mutex<()>,
    /// Held while a part of a snapshot is processed.
    pub(crate) install_lock: Mutex<()>,
    /// Held while a snapshot is sent to a learner.
    pub(crate) learner_snapshot: Mutex<()>,
    pub(crate) journal: RefCell<Option<Journal>>,
    pub(crate) clients: RefCell<HashMap<String, rpc::Client>>,
    pub(crate) token: CancellationToken,
    pub(crate) failure: RefCell<Option<LogError>>,
    pub(crate) shutting_down: Cell<bool>,
    /// Replicas to bootstrap with or to join.
    pub(crate) replicas: RefCell<Vec<Replica>>,
    /// Names of replicas to remove permanently.
    pub(crate) retired_names: RefCell<IndexSet<String>>,
    pub(crate) opened_at: Instant,
    /// Version of the sightings that were last sent to the leader.
    pub(crate) reported_sightings: Cell<u64>,
    _lock: File,
}

/// One replica; clones share it.
#[derive(Clone)]
pub struct Log {
    pub(crate) inner: Rc<Inner>,
}

impl std::fmt::Debug for Log {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Log").field("name", &self.inner.settings.name).finish_non_exhaustive()
    }
}

impl Log {
    /// Opens the data directory and restores the state machine from its snapshot.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the directory; see [`LogError`].
    pub fn open(
        settings: Settings,
        machine: StateMachine,
        token: CancellationToken,
    ) -> Result<Self, LogError> {
        let lock = files::lock_directory(&settings.directory)?;
        let identity = files::load_identity(&settings.directory)?;
        let Restoration { decode, finish } = (machine.restore)();
        let snapshot = files::load_snapshot(&settings.directory, decode)?.unwrap_or_default();
        let (mut journal, mut loaded) = Journal::open(&settings.directory)?;
        if snapshot.last_index > 0 {
            finish().map_err(LogError::Restore)?;
        }
        let last = loaded.base.index + loaded.entries.len() as u64;
        let at_snapshot = LogPosition { term: snapshot.last_term, index: snapshot.last_index };
        let snapshot_entry = loaded.entries.iter().find(|e| e.index == at_snapshot.index);
        let continues = loaded.base == at_snapshot
            || (at_snapshot.index <= last
                && snapshot_entry.is_some_and(|e| e.term == at_snapshot.term));
        if loaded.base.index > at_snapshot.index {
            let path = settings.directory.join(files::SNAPSHOT_FILE);
            return Err(LogError::damaged(
                &path,
                0,
                "the snapshot that precedes the log is missing",
            ));
        }
        if !continues {
            // The process ended between the rename of an installed snapshot and the replacement of the log.
            loaded.base = at_snapshot;
            loaded.entries.clear();
            journal = Journal::create(&settings.directory, at_snapshot, &[])?;
        }
        let mut state = new_state(identity, snapshot, loaded.base, loaded.entries.into());
        state.reload_membership();
        let inner = Inner {
            replicas: RefCell::new(settings.replicas.clone()),
            retired_names: RefCell::default(),
            opened_at: Instant::now(),
            settings,
            machine,
            state: RefCell::new(state),
            changed: Notify::default(),
            vote_lock: Mutex::new(()),
            snapshot_lock: Mutex::new(()),
            install_lock: Mutex::new(()),
            learner_snapshot: Mutex::new(()),
            journal: RefCell::new(Some(journal)),
            clients: RefCell::default(),
            token,
            failure: RefCell::default(),
            shutting_down: Cell::new(false),
            reported_sightings: Cell::new(0),
            _lock: lock,
        };
        Ok(Self { inner: Rc::new(inner) })
    }

    /// Starts the tasks of the replica; they end with the token.
    pub fn start(&self) {
        let this = self.clone();
        runtime::spawn(async move { this.write_loop().await }).detach();
        let this = self.clone();
        runtime::spawn(async move { this.snapshot_loop().await }).detach();
        let this = self.clone();
        runtime::spawn(async move { this.election_loop().await }).detach();
        let this = self.clone();
        runtime::spawn(async move { this.join_loop().await }).detach();
        let this = self.clone();
        runtime::spawn(async move { this.report_leaderless_loop().await }).detach();
    }

    /// Handles a message of another replica and returns the reply; `None` for any other message.
    pub async fn handle(&self, body: Body) -> Option<Body> {
        match body {
            Body::Vote(vote) => Some(Body::VoteReply(self.on_vote(vote).await)),
            Body::Append(append) => Some(Body::AppendReply(self.on_append(append).await)),
            Body::Install(install) => Some(Body::InstallReply(self.on_install(install).await)),
            Body::Join(join) => Some(Body::JoinReply(self.on_join(join))),
            _ => None,
        }
    }

    /// Replicates a command and returns the state machine's reply.
    ///
    /// # Errors
    ///
    /// [`ProposeError::NotLeader`] and [`ProposeError::NoQuorum`] guarantee that nothing was proposed.
    pub async fn propose(&self, order_id: &str, command: inner::Command) -> Outcome {
        self.ready_to_propose().await?;
        let rx = self.append_own(order_id, command);
        match compio::time::timeout(PROPOSE_TIMEOUT, rx).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => Err(ProposeError::Unconfirmed),
        }
    }

    /// As [`Self::propose`], but waits for the outcome as long as this replica leads.
    ///
    /// For proposers that would propose the same again. The entry stays in the log of the leader, so that each further
    /// copy would only delay the commit, and the copies of all proposers can keep a slow quorum from ever catching up.
    ///
    /// # Errors
    ///
    /// As [`Self::propose`]; [`ProposeError::Unconfirmed`] means that this replica leads no longer.
    pub async fn propose_until_decided(&self, order_id: &str, command: inner::Command) -> Outcome {
        self.ready_to_propose().await?;
        self.append_own(order_id, command).await.unwrap_or(Err(ProposeError::Unconfirmed))
    }

    /// Waits until this replica leads and has applied every entry of older terms.
    ///
    /// # Errors
    ///
    /// Returns why nothing can be proposed here.
    pub async fn ready_to_propose(&self) -> Result<(), ProposeError> {
        let deadline = Instant::now() + CONFIRM_TIMEOUT;
        loop {
            let seen = self.inner.changed.version();
            {
                let state = self.inner.state.borrow();
                if !state.is_leader() || self.inner.shutting_down.get() {
                    return Err(ProposeError::NotLeader);
                }
                if state.committed_own_term() {
                    return Ok(());
                }
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ProposeError::NoQuorum);
            }
            self.inner.changed.changed_within(seen, left).await;
        }
    }

    /// Appends an entry of the own term; only for the leader.
    pub(crate) fn append_own(
        &self,
        order_id: &str,
        command: inner::Command,
    ) -> oneshot::Receiver<Outcome> {
        let (tx, rx) = oneshot::channel();
        let mut state = self.inner.state.borrow_mut();
        let (term, index) = (state.term(), state.last().index + 1);
        let now_ms = clock::unix_ms().max(state.last_timestamp_ms);
        let order_id = order_id.to_owned();
        state.push(inner::LogEntry { index, term, now_ms, order_id, command: Some(command) });
        state.pending_proposals.insert(index, (term, tx));
        drop(state);
        self.inner.changed.notify();
        rx
    }

    /// Confirms with a quorum that this replica leads and has applied everything committed before the call.
    ///
    /// # Errors
    ///
    /// Returns why the state of this replica may be stale.
    pub async fn confirm_leadership(&self) -> Result<(), ProposeError> {
        let start = Instant::now();
        let (term, index) = {
            let state = self.inner.state.borrow();
            if !state.is_leader() {
                return Err(ProposeError::NotLeader);
            }
            (state.term(), state.commit.max(state.term_start))
        };
        while start.elapsed() < CONFIRM_TIMEOUT {
            let seen = self.inner.changed.version();
            {
                let state = self.inner.state.borrow();
                if !state.leads(term) {
                    return Err(ProposeError::NotLeader);
                }
                if state.applied >= index && state.quorum_confirmed_since(start) {
                    return Ok(());
                }
            }
            self.inner.changed.changed_within(seen, self.inner.settings.heartbeat).await;
        }
        Err(ProposeError::NoQuorum)
    }

    /// Whether this replica leads or got a message from a leader within the longest election timeout.
    pub fn has_leader(&self) -> bool {
        self.inner.state.borrow().has_live_leader(self.inner.settings.election_max)
    }

    /// Whether new readers may use the state of this replica: it leads with an entry of its term committed, or it has
    /// applied a commit index that a leader announced recently.
    pub fn is_current(&self) -> bool {
        let state = self.inner.state.borrow();
        let applied = state.current_as_of.is_some_and(|at| at.elapsed() < MAX_READ_LAG);
        state.committed_own_term()
            || applied && state.has_live_leader(self.inner.settings.election_max)
    }

    /// Addresses of the voters, without this replica.
    pub fn voter_addresses(&self) -> Vec<String> {
        let state = self.inner.state.borrow();
        let members = state.membership.members.iter();
        let others = members.filter(|m| !m.learner && m.member_id != state.id());
        others.map(|m| m.address.clone()).collect()
    }

    /// Whether this replica is a voter.
    pub fn is_voter(&self) -> bool {
        self.inner.state.borrow().is_voter()
    }

    /// Time for which this replica has led its term.
    pub fn leading_for(&self) -> Option<Duration> {
        let state = self.inner.state.borrow();
        state.leader_since.filter(|_| state.is_leader()).map(|since| since.elapsed())
    }

    /// Facts of the log for a status reply.
    pub fn status(&self) -> inner::StatusReply {
        let leaderless_ms = leaderless::milliseconds(self.time_without_leader());
        let state = self.inner.state.borrow();
        inner::StatusReply {
            member_id: state.id(),
            leader_address: state.leader_address(),
            term: state.term(),
            commit_index: state.commit,
            last_index: state.last().index,
            membership: Some(state.membership.clone()),
            is_leader: state.is_leader(),
            name: self.inner.settings.name.clone(),
            bootstrap: self.inner.settings.bootstrap,
            domain: self.inner.settings.domain.clone(),
            protocol: PROTOCOL,
            leaderless_ms,
            vote_round: state.vote_round_message(),
            ..inner::StatusReply::default()
        }
    }

    /// Whether every voter is known to understand a protocol version, so that an entry that needs it is lost at none.
    pub fn voters_understand(&self, protocol: u32) -> bool {
        let state = self.inner.state.borrow();
        let replied = |id: u64| state.progress.get(&id).map_or(0, |progress| progress.protocol);
        let understood = |m: &inner::Member| match m.member_id == state.id() {
            true => PROTOCOL,
            false => m.protocol.max(replied(m.member_id)),
        };
        let mut voters = state.membership.members.iter().filter(|m| !m.learner);
        voters.all(|m| understood(m) >= protocol)
    }

    /// Publishes the gauges of the log; last index minus commit index is the number of entries that wait for a quorum.
    pub fn publish_metrics(&self) {
        let status = self.status();
        metrics::gauge!("orioleworks_log_term").set(status.term as f64);
        metrics::gauge!("orioleworks_log_leader").set(if status.is_leader { 1.0 } else { 0.0 });
        metrics::gauge!("orioleworks_log_commit_index").set(status.commit_index as f64);
        metrics::gauge!("orioleworks_log_last_index").set(status.last_index as f64);
        let voters =
            status.membership.map_or(0, |m| m.members.iter().filter(|m| !m.learner).count());
        metrics::gauge!("orioleworks_log_voters").set(voters as f64);
        self.publish_without_leadership();
    }

    /// Encoded size of the log entries in memory, in bytes.
    pub fn entry_bytes(&self) -> usize {
        self.inner.state.borrow().bytes
    }

    /// Whether an entry that is not applied yet has a command for which a condition holds.
    pub fn has_pending(&self, holds: impl Fn(&inner::Command) -> bool) -> bool {
        let state = self.inner.state.borrow();
        let pending = state.entries.iter().rev().take_while(|entry| entry.index > state.applied);
        pending.filter_map(|entry| entry.command.as_ref()).any(holds)
    }

    /// Whether this replica leads.
    pub fn is_leader(&self) -> bool {
        self.inner.state.borrow().is_leader()
    }

    /// Address of the leader, empty when unknown.
    pub fn leader_address(&self) -> String {
        self.inner.state.borrow().leader_address()
    }

    /// Error that stopped the replica.
    pub fn failure(&self) -> Option<String> {
        self.inner.failure.borrow().as_ref().map(ToString::to_string)
    }

    /// Client of a member; a configured address takes precedence over the one in the membership.
    pub(crate) fn member_client(&self, member: &inner::Member) -> rpc::Client {
        let replicas = self.inner.replicas.borrow();
        let configured = replicas.iter().find(|r| r.name == member.name);
        self.client(configured.map_or(&member.address, |replica| &replica.address))
    }

    pub(crate) fn client(&self, address: &str) -> rpc::Client {
        let mut clients = self.inner.clients.borrow_mut();
        clients.entry(address.to_owned()).or_insert_with(|| rpc::Client::new(address)).clone()
    }

    /// Whether a quorum replied to this leader within the shortest election timeout, so that no other replica
    /// can have been elected.
    pub fn holds_lease(&self) -> bool {
        let state = self.inner.state.borrow();
        state.committed_own_term() && state.quorum_contacted(self.inner.settings.election_min)
    }

    /// Term that this replica leads, once it has applied everything of older terms.
    pub fn leading_term(&self) -> Option<u64> {
        let state = self.inner.state.borrow();
        (state.committed_own_term() && state.applied >= state.term_start).then(|| state.term())
    }

    /// Current term; the fencing token of orders that this replica issues while it leads.
    pub fn term(&self) -> u64 {
        self.inner.state.borrow().term()
    }

    /// Waits until the state of the log may have changed, at most the given time.
    pub async fn changed_within(&self, time: Duration) {
        let seen = self.inner.changed.version();
        self.inner.changed.changed_within(seen, time).await;
    }

    /// Stops the replica because its state machine lost something that a restart restores from snapshot and log.
    pub fn stop(&self, reason: String) {
        self.fail(LogError::StateMachine(reason));
    }

    /// Stops the replica permanently; a replica whose disk fails must not acknowledge anything more.
    pub(crate) fn fail(&self, e: LogError) {
        orioleworks_daemon::event!(error, "log_failed", reason = e);
        self.inner.failure.borrow_mut().get_or_insert(e);
        self.inner.token.cancel();
        self.inner.changed.notify();
    }

    /// Waits until the token is cancelled.
    pub async fn stopped(&self) {
        self.inner.token.cancelled().await;
    }
}

fn new_state(
    identity: files::Identity,
    snapshot: inner::Snapshot,
    base: LogPosition,
    entries: VecDeque<inner::LogEntry>,
) -> State {
    let synced = base.index + entries.len() as u64;
    let covered = entries.iter().filter(|entry| entry.index <= snapshot.last_index);
    let tail_bytes = covered.map(Message::encoded_len).sum();
    let bytes = entries.iter().map(Message::encoded_len).sum();
    State {
        identity,
        role: Role::Follower,
        leader_id: None,
        last_seen: None,
        base,
        last_timestamp_ms: entries.back().map_or(0, |entry| entry.now_ms).max(snapshot.now_ms),
        entries,
        synced,
        generation: 0,
        rewrite: false,
        commit: snapshot.last_index,
        applied: snapshot.last_index,
        snapshot,
        bytes,
        tail_bytes,
        membership: inner::Membership::default(),
        membership_index: 0,
        progress: HashMap::new(),
        term_start: 0,
        pending_proposals: HashMap::new(),
        leader_since: None,
        leader_known_at: None,
        reservation: None,
        vote_round: None,
        vote_sync: VoteSync::default(),
        announced_commit: None,
        current_as_of: None,
        warm_learners: HashSet::new(),
        unreplaced_logged_at: None,
        reduced_tolerance: None,
        incoming: IncomingSnapshot::default(),
    }
}
