//! Tasks of a leader for one other member: sending heartbeats, and sending entries or a snapshot.
//!
//! Heartbeats have a separate task, so that a follower's slow sync does not look like a lost leader.

use std::time::{Duration, Instant};

use compio::time;
use futures_util::lock::MutexGuard;
use orioleworks_daemon::rpc::RpcError;
use orioleworks_proto::inner::{self, frame::Body};
use orioleworks_rules::log as rules;

use crate::{
    node::{Log, Sharing},
    state::State,
};

/// Longest wait for a follower's sync.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest encoded size of the entries in one message, in bytes; a larger entry is sent in a message of its own. With 256 KB,
/// learners with round trips of 50 ms fell behind at 5 MB of entries a second.
const MAX_BATCH_BYTES: usize = 512 * 1024;
/// As [`MAX_BATCH_BYTES`], for a warm learner. It takes one message at a time and has to gain on the voters, whatever its round trips
/// take: with 512 KB, a learner on a busy machine fell behind at 6 MB of entries a second. Few learners are warm at a time, so that
/// the memory of larger messages is bounded.
const MAX_LEARNER_BATCH_BYTES: usize = 2 * 1024 * 1024;
/// Least size to which messages shrink.
const MIN_BATCH_BYTES: usize = 64 * 1024;
/// Growth of the size with each message with entries that arrives.
const BATCH_GROWTH_BYTES: usize = 16 * 1024;
/// Size of a snapshot part in one message, in bytes.
const SNAPSHOT_PART_BYTES: usize = 512 * 1024;
/// Heartbeat intervals between two heartbeats to a learner that will not vote soon; fewer than those for which it counts as
/// live.
const COLD_HEARTBEAT_FACTOR: u32 = 2;
/// Consecutive heartbeats without a reply after which the connection is replaced.
const MAX_UNANSWERED_HEARTBEATS: u32 = 5;

/// Size of the messages with entries or parts of a snapshot to a member, in bytes.
///
/// A heartbeat that is not answered in time closes the connection, because it may be silent for good. On a slow path it waits behind a
/// large message, which is sent anew on the next connection and never arrives, unless it shrinks.
#[derive(Clone, Copy, Debug)]
pub struct BatchSize(usize);

impl Default for BatchSize {
    fn default() -> Self {
        Self(MAX_LEARNER_BATCH_BYTES)
    }
}

impl BatchSize {
    fn grown(self) -> Self {
        Self((self.0 + BATCH_GROWTH_BYTES).min(MAX_LEARNER_BATCH_BYTES))
    }

    fn shrunk(self) -> Self {
        Self((self.0.min(MAX_BATCH_BYTES) / 2).max(MIN_BATCH_BYTES))
    }
}

enum NextMessage {
    Stop,
    Wait,
    Append(inner::Append),
    Snapshot,
}

impl State {
    /// Heartbeat for a member; its previous position is the last entry known to match there.
    pub(crate) fn heartbeat(&self, id: u64) -> inner::Append {
        let matched = self.progress.get(&id).map_or(0, |progress| progress.match_index);
        inner::Append {
            term: self.term(),
            leader_id: self.id(),
            prev_index: matched,
            prev_term: self.term_at(matched).unwrap_or(0),
            // Entries after the matching part may still differ there.
            commit_index: self.commit.min(matched),
            leader_commit: if self.committed_own_term() { self.commit } else { 0 },
            target_id: id,
            ..inner::Append::default()
        }
    }
}

impl Log {
    /// Sends heartbeats to a member while this replica leads the term.
    pub(crate) async fn heartbeat_loop(&self, term: u64, member: inner::Member) {
        let client = self.member_client(&member);
        let heartbeat = self.inner.settings.heartbeat;
        let (mut sent_version, mut unanswered) = (0_u64, 0_u32);
        while self.replicates_to(term, member.member_id) {
            let sent = Instant::now();
            let mut append = self.inner.state.borrow().heartbeat(member.member_id);
            let (seen, version) = (self.inner.machine.sightings)(sent_version);
            append.seen = seen;
            let call = client.call(Body::Append(append), heartbeat * 4);
            match time::timeout(heartbeat * 12, call).await {
                Ok(Ok(Body::AppendReply(reply))) => {
                    (sent_version, unanswered) = (version, 0);
                    self.on_heartbeat_reply(term, member.member_id, sent, reply).await;
                }
                _ => unanswered += 1,
            }
            if unanswered >= MAX_UNANSWERED_HEARTBEATS {
                // Frames queued for a stopped peer would be stale when it resumes.
                client.disconnect();
                unanswered = 0;
            }
            let interval = heartbeat * self.heartbeat_factor(member.member_id);
            time::sleep(interval.saturating_sub(sent.elapsed())).await;
        }
    }

    /// Multiple of the heartbeat interval for a member. A leader may have a hundred learners that will not vote soon.
    fn heartbeat_factor(&self, id: u64) -> u32 {
        let needs_every_entry = self.inner.state.borrow().needs_every_entry(id);
        if needs_every_entry { 1 } else { COLD_HEARTBEAT_FACTOR }
    }

    async fn on_heartbeat_reply(
        &self,
        term: u64,
        id: u64,
        sent: Instant,
        reply: inner::AppendReply,
    ) {
        self.adopt_term(reply.term).await;
        let mut state = self.inner.state.borrow_mut();
        if !state.leads(term) {
            return;
        }
        if reply.member_id != id {
            if let Some(progress) = state.progress.get_mut(&id) {
                progress.replaced_by = Some(reply.member_id);
            }
            return;
        }
        if reply.term != term {
            return;
        }
        if let Some(progress) = state.progress.get_mut(&id) {
            progress.replaced_by = None;
            progress.confirmed_at = progress.confirmed_at.max(Some(sent));
            progress.last_index = reply.last_index;
            progress.protocol = reply.protocol;
        }
        drop(state);
        if !reply.seen.is_empty() {
            (self.inner.machine.merge_sightings)(reply.seen, Sharing::Forward);
        }
        self.inner.changed.notify();
    }

    /// Sends entries to a member as they arrive, one batch at a time.
    pub(crate) async fn replicate_loop(&self, term: u64, member: inner::Member) {
        let client = self.member_client(&member);
        let id = member.member_id;
        loop {
            let seen = self.inner.changed.version();
            match self.next_message(term, id) {
                NextMessage::Stop => return,
                NextMessage::Wait => {
                    self.inner.changed.changed_within(seen, self.inner.settings.election_min).await;
                }
                NextMessage::Append(append) => {
                    let (commit, sent) = (append.commit_index, Instant::now());
                    let has_entries = !append.entries.is_empty();
                    let call = client.call(Body::Append(append), APPEND_TIMEOUT);
                    match time::timeout(APPEND_TIMEOUT, call).await {
                        Ok(Ok(Body::AppendReply(reply))) => {
                            if has_entries {
                                self.resize_batches(id, BatchSize::grown);
                            }
                            self.on_append_reply(term, id, (commit, sent), reply).await;
                        }
                        failed => {
                            let nothing_sent = matches!(failed, Ok(Err(RpcError::Unreachable(_))));
                            if !nothing_sent {
                                self.resize_batches(id, BatchSize::shrunk);
                            }
                            time::sleep(self.inner.settings.heartbeat).await;
                        }
                    }
                }
                NextMessage::Snapshot => {
                    let sending = self.learner_snapshot_lock(id).await;
                    // Its turn may come seconds later, when the member has been removed.
                    let is_due = matches!(self.next_message(term, id), NextMessage::Snapshot);
                    if is_due && !self.send_snapshot(term, &member).await {
                        drop(sending);
                        time::sleep(self.inner.settings.heartbeat).await;
                    }
                }
            }
        }
    }

    fn resize_batches(&self, id: u64, resize: impl FnOnce(BatchSize) -> BatchSize) {
        if let Some(progress) = self.inner.state.borrow_mut().progress.get_mut(&id) {
            progress.batch_size = resize(progress.batch_size);
        }
    }

    fn replicates_to(&self, term: u64, id: u64) -> bool {
        let state = self.inner.state.borrow();
        state.leads(term) && state.member(id).is_some() && !self.inner.token.is_cancelled()
    }

    fn next_message(&self, term: u64, id: u64) -> NextMessage {
        if !self.replicates_to(term, id) {
            return NextMessage::Stop;
        }
        let state = self.inner.state.borrow();
        let Some(progress) = state.progress.get(&id) else { return NextMessage::Stop };
        if !state.receives_entries(id) {
            return NextMessage::Wait;
        }
        if progress.next_index <= state.base.index {
            return NextMessage::Snapshot;
        }
        let probed = progress.match_index + 1 == progress.next_index;
        // A new commit index is sent at once, because the next heartbeat would delay its application.
        let notified = progress.sent_commit >= state.commit.min(progress.match_index);
        if progress.next_index > state.last().index && probed && notified {
            return NextMessage::Wait;
        }
        let prev_index = progress.next_index - 1;
        let is_warm = state.warm_learners.contains(&id);
        let max_bytes = if is_warm { MAX_LEARNER_BATCH_BYTES } else { MAX_BATCH_BYTES };
        let max_bytes = max_bytes.min(progress.batch_size.0);
        let entries = state.entries_after(prev_index, max_bytes);
        NextMessage::Append(inner::Append {
            term,
            leader_id: state.id(),
            prev_index,
            prev_term: state.term_at(prev_index).unwrap_or(0),
            entries,
            commit_index: state.commit,
            target_id: id,
            ..inner::Append::default()
        })
    }

    /// Handles the reply to an append; the leader had committed `commit` when it sent it.
    async fn on_append_reply(
        &self,
        term: u64,
        id: u64,
        (commit, sent): (u64, Instant),
        reply: inner::AppendReply,
    ) {
        self.adopt_term(reply.term).await;
        if reply.member_id != id || reply.term != term {
            // Another identity replies at this address; a membership change removes the old one.
            time::sleep(self.inner.settings.election_min).await;
            return;
        }
        {
            let mut state = self.inner.state.borrow_mut();
            if !state.leads(term) {
                return;
            }
            let last = state.last().index;
            let Some(progress) = state.progress.get_mut(&id) else { return };
            progress.protocol = reply.protocol;
            if reply.success {
                progress.match_index = progress.match_index.max(reply.match_index.min(last));
                progress.next_index = progress.match_index + 1;
                if rules::may_promote(progress.match_index, commit) {
                    progress.caught_up_at = Some(sent);
                }
                // The follower commits no further than its match index.
                progress.sent_commit = progress.sent_commit.max(commit.min(reply.match_index));
            } else {
                let retry = reply.retry_index.clamp(1, last + 1);
                progress.next_index = retry.min(progress.next_index.saturating_sub(1).max(1));
            }
        }
        if !reply.seen.is_empty() {
            (self.inner.machine.merge_sightings)(reply.seen, Sharing::Forward);
        }
        self.inner.changed.notify();
        self.advance_commit();
    }

    /// Learners get their snapshots one after the other: all at once would share what a leader under load can send, and none would
    /// have the snapshot before the log has gone on without what follows it. A voter does not wait, because the quorum may
    /// need it.
    async fn learner_snapshot_lock(&self, id: u64) -> Option<MutexGuard<'_, ()>> {
        let is_learner = self.inner.state.borrow().member(id).is_some_and(|m| m.learner);
        if is_learner { Some(self.inner.learner_snapshot.lock().await) } else { None }
    }

    /// Sends the durable snapshot in parts; returns false if it must be retried later.
    async fn send_snapshot(&self, term: u64, member: &inner::Member) -> bool {
        let Some(mut reader) = self.open_snapshot().await else { return false };
        let client = self.member_client(member);
        let (head, total) = (reader.head.clone(), reader.total);
        let mut offset = 0;
        loop {
            if !self.replicates_to(term, member.member_id) {
                return false;
            }
            let batch_size =
                self.inner.state.borrow().progress.get(&member.member_id).map(|p| p.batch_size.0);
            let part_bytes = batch_size.unwrap_or(SNAPSHOT_PART_BYTES).min(SNAPSHOT_PART_BYTES);
            let Some((rest, state)) = self.read_part(reader, part_bytes as u64).await else {
                return false;
            };
            reader = rest;
            let end = offset + state.len() as u64;
            let install = inner::Install {
                term,
                leader_id: self.inner.state.borrow().id(),
                snapshot: Some(inner::Snapshot { state, ..head.clone() }),
                target_id: member.member_id,
                offset,
                total,
            };
            let call = client.call(Body::Install(install), APPEND_TIMEOUT);
            let Ok(Ok(Body::InstallReply(reply))) = time::timeout(APPEND_TIMEOUT, call).await
            else {
                self.resize_batches(member.member_id, BatchSize::shrunk);
                return false;
            };
            self.adopt_term(reply.term).await;
            if reply.member_id != member.member_id || reply.term != term {
                return false;
            }
            if reply.match_index >= head.last_index {
                let mut state = self.inner.state.borrow_mut();
                if let Some(progress) = state.progress.get_mut(&member.member_id) {
                    progress.match_index = progress.match_index.max(head.last_index);
                    progress.next_index = progress.match_index + 1;
                }
                return true;
            }
            // After a rejected part the snapshot is sent again from the start, because the file is read in order.
            if reply.received < end || offset == end {
                return false;
            }
            offset = end;
        }
    }
}
