//! Follower side of replication: appends entries and installs snapshots.

use std::time::Instant;

use bytes::Bytes;
use orioleworks_daemon::event;
use orioleworks_proto::{PROTOCOL, inner};
use orioleworks_rules::log::{self as rules, LogPosition};

use crate::{
    durable,
    election::Campaign,
    error::LogError,
    files::{self, SNAPSHOT_RECEIVED_FILE, SnapshotWriter},
    node::{Log, Restoration, Sharing},
    state::{IncomingSnapshot, Role},
};

enum AppendOutcome {
    /// The entries up to this index match the leader's.
    MatchedThrough(u64),
    /// The leader must retry from this index.
    RetryFrom(u64),
}

impl Log {
    /// Appends entries of the leader; replies after they are synced.
    pub(crate) async fn on_append(&self, mut append: inner::Append) -> inner::AppendReply {
        if !self.accept_leader(append.term, append.leader_id, append.target_id).await {
            return self.append_reply(false, 0, 0);
        }
        let is_heartbeat = append.entries.is_empty();
        if !append.seen.is_empty() {
            (self.inner.machine.merge_sightings)(
                std::mem::take(&mut append.seen),
                Sharing::LocalOnly,
            );
        }
        if append.hand_over && self.inner.state.borrow().is_voter() {
            let this = self.clone();
            compio::runtime::spawn(async move {
                this.campaign(Campaign::LeadershipTransfer).await;
            })
            .detach();
        }
        let through = match self.append_entries(&mut append) {
            AppendOutcome::RetryFrom(index) => return self.append_reply(false, 0, index),
            AppendOutcome::MatchedThrough(index) => index,
        };
        if !is_heartbeat {
            self.inner.changed.notify();
        }
        if !self.synced_through(through, append.term).await {
            return self.append_reply(false, 0, through);
        }
        fail::fail_point!("log.before_append_reply");
        self.commit_through(append.commit_index.min(through));
        self.track_leader_commit(append.leader_commit);
        let mut reply = self.append_reply(true, through, 0);
        if is_heartbeat {
            let (seen, version) =
                (self.inner.machine.sightings)(self.inner.reported_sightings.get());
            self.inner.reported_sightings.set(version);
            reply.seen = seen;
        }
        reply
    }

    /// Follows the sender as leader unless its term is old; returns false if the message is rejected. A message that is
    /// addressed to another identity is rejected and changes nothing.
    async fn accept_leader(&self, term: u64, leader_id: u64, target_id: u64) -> bool {
        if target_id != self.inner.state.borrow().id() {
            return false;
        }
        self.adopt_term(term).await;
        let mut state = self.inner.state.borrow_mut();
        // The term may have risen further while this one was being stored; then this leader was replaced as well.
        if !rules::accepts_append(state.term(), term) || state.is_leader() {
            return false;
        }
        state.role = Role::Follower;
        let leader_changed = state.leader_id != Some(leader_id);
        state.leader_id = Some(leader_id);
        let now = Instant::now();
        (state.last_seen, state.leader_known_at) = (Some(now), Some(now));
        state.vote_round = None;
        drop(state);
        if leader_changed {
            // A new leader may have none of the sightings that the old one received.
            self.inner.reported_sightings.set(0);
            event!(info, "leader_followed", name = self.inner.settings.name, term = term);
            self.inner.changed.notify();
        }
        true
    }

    fn append_reply(&self, success: bool, match_index: u64, retry: u64) -> inner::AppendReply {
        let state = self.inner.state.borrow();
        inner::AppendReply {
            term: state.term(),
            member_id: state.id(),
            success,
            match_index,
            retry_index: retry,
            seen: Vec::new(),
            protocol: PROTOCOL,
            last_index: state.last().index,
        }
    }

    fn append_entries(&self, append: &mut inner::Append) -> AppendOutcome {
        let mut state = self.inner.state.borrow_mut();
        let last = state.last().index;
        if append.prev_index > last {
            return AppendOutcome::RetryFrom(last + 1);
        }
        // Committed entries match by definition, even if only a snapshot of them remains.
        if append.prev_index > state.commit
            && state.term_at(append.prev_index) != Some(append.prev_term)
        {
            let conflict = state.term_at(append.prev_index);
            let mut index = append.prev_index;
            while index > state.commit + 1 && state.term_at(index - 1) == conflict {
                index -= 1;
            }
            return AppendOutcome::RetryFrom(index);
        }
        let mut through = append.prev_index;
        for entry in std::mem::take(&mut append.entries) {
            through = entry.index;
            if entry.index <= state.commit || state.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            if entry.index <= state.last().index {
                event!(info, "log_conflict_cut", index = entry.index);
                state.truncate_from(entry.index);
            }
            state.push(entry);
        }
        AppendOutcome::MatchedThrough(through)
    }

    /// Waits until entries are synced; returns false if the term changes, the entries are removed or the replica
    /// stops.
    async fn synced_through(&self, index: u64, term: u64) -> bool {
        loop {
            let version = self.inner.changed.version();
            {
                let state = self.inner.state.borrow();
                if state.term() != term || state.last().index < index {
                    return false;
                }
                if state.synced >= index {
                    return true;
                }
            }
            if self.inner.token.is_cancelled() {
                return false;
            }
            self.inner.changed.changed(version).await;
        }
    }

    fn track_leader_commit(&self, leader_commit: u64) {
        let mut state = self.inner.state.borrow_mut();
        if leader_commit > 0 {
            // Under constant load the follower has never applied the newest commit index when the leader announces it,
            // so an announced index is kept until it is applied.
            let (announced, announced_at) =
                *state.announced_commit.get_or_insert((leader_commit, Instant::now()));
            if state.applied >= announced {
                (state.current_as_of, state.announced_commit) = (Some(announced_at), None);
            }
        }
    }

    fn commit_through(&self, index: u64) {
        {
            let mut state = self.inner.state.borrow_mut();
            if index <= state.commit {
                return;
            }
            fail::fail_point!("log.before_commit");
            state.commit = index;
        }
        self.apply_committed();
    }

    /// Receives one part of a snapshot; the last part replaces state and log.
    pub(crate) async fn on_install(&self, install: inner::Install) -> inner::InstallReply {
        let Some(snapshot) = install.snapshot else { return self.install_reply(0, 0) };
        if !self.accept_leader(install.term, install.leader_id, install.target_id).await {
            return self.install_reply(0, 0);
        }
        let _lock = self.inner.install_lock.lock().await;
        let position = LogPosition { term: snapshot.last_term, index: snapshot.last_index };
        let writer = {
            let mut state = self.inner.state.borrow_mut();
            if position.index <= state.commit {
                drop(state);
                return self.install_reply(position.index, 0);
            }
            let incoming = &mut state.incoming;
            if incoming.position != position || incoming.leader_term != install.term {
                *incoming = IncomingSnapshot {
                    position,
                    leader_term: install.term,
                    received: 0,
                    writer: None,
                };
            }
            if install.offset != incoming.received {
                let received = incoming.received;
                drop(state);
                return self.install_reply(0, received);
            }
            incoming.writer.take()
        };
        let received = install.offset + snapshot.state.len() as u64;
        let writer = match self.write_part(writer, snapshot).await {
            Ok(writer) => writer,
            Err(e) => {
                self.inner.state.borrow_mut().incoming = IncomingSnapshot::default();
                self.fail_or_log(e);
                return self.install_reply(0, 0);
            }
        };
        if received < install.total {
            let incoming = &mut self.inner.state.borrow_mut().incoming;
            (incoming.received, incoming.writer) = (received, Some(writer));
        } else {
            self.inner.state.borrow_mut().incoming = IncomingSnapshot::default();
            return self.install(writer, position).await;
        }
        self.install_reply(0, received)
    }

    /// Writes a part to a temporary file, so that the snapshot and the state that it replaces are not both in memory.
    async fn write_part(
        &self,
        writer: Option<SnapshotWriter>,
        part: inner::Snapshot,
    ) -> Result<SnapshotWriter, LogError> {
        let directory = self.inner.settings.directory.clone();
        durable::blocking(move || {
            let head = inner::Snapshot { state: Bytes::new(), ..part };
            let writer = match writer {
                Some(writer) => writer,
                None => SnapshotWriter::create(&directory, SNAPSHOT_RECEIVED_FILE, &head)?,
            };
            writer.push(&part.state)
        })
        .await
    }

    async fn install(&self, writer: SnapshotWriter, position: LogPosition) -> inner::InstallReply {
        let _lock = self.inner.snapshot_lock.lock().await;
        if position.index <= self.inner.state.borrow().commit {
            return self.install_reply(position.index, 0);
        }
        if !self.finish_snapshot(writer).await {
            return self.install_reply(0, 0);
        }
        let directory = self.inner.settings.directory.clone();
        let Restoration { decode, finish } = (self.inner.machine.restore)();
        let loaded = durable::blocking(move || files::load_snapshot(&directory, decode)).await;
        let snapshot = match loaded {
            Ok(Some(snapshot)) => snapshot,
            Ok(None) => return self.install_reply(0, 0),
            Err(e) => {
                self.fail(e);
                return self.install_reply(0, 0);
            }
        };
        // A newer leader may have advanced the commit index meanwhile.
        if position.index <= self.inner.state.borrow().commit {
            return self.install_reply(position.index, 0);
        }
        if let Err(reason) = finish() {
            self.fail(LogError::Restore(reason));
            return self.install_reply(0, 0);
        }
        {
            let mut state = self.inner.state.borrow_mut();
            let log_matches = state.term_at(position.index) == Some(position.term);
            state.last_timestamp_ms = state.last_timestamp_ms.max(snapshot.now_ms);
            state.snapshot = snapshot;
            if log_matches {
                state.synced = state.synced.max(position.index);
                state.compact_through(position.index);
            } else {
                state.entries.clear();
                state.bytes = 0;
                state.base = position;
                state.synced = position.index;
                state.generation += 1;
                state.rewrite = true;
            }
            state.tail_bytes = 0;
            state.commit = position.index;
            state.applied = position.index;
            state.reload_membership();
        }
        event!(info, "snapshot_installed", index = position.index, term = position.term);
        self.inner.changed.notify();
        fail::fail_point!("log.before_install_reply");
        self.install_reply(position.index, 0)
    }

    fn install_reply(&self, match_index: u64, received: u64) -> inner::InstallReply {
        let state = self.inner.state.borrow();
        inner::InstallReply { term: state.term(), member_id: state.id(), match_index, received }
    }
}
