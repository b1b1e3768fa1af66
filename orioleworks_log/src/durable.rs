//! Disk writes off the event loop: group commit of entries, vote records and snapshots.

use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::runtime;
use futures_channel::oneshot;
use futures_util::future;
use orioleworks_daemon::event;
use orioleworks_proto::inner;
use orioleworks_rules::log::{LogPosition, VoteRecord};

use crate::{
    error::LogError,
    files::{self, Identity, SNAPSHOT_TMP_FILE, SnapshotReader, SnapshotWriter},
    journal::{Journal, JournalWriter},
    leaderless::VoteSync,
    node::{Log, Part, ProposeError},
    state::Role,
};

/// Delay before a failed write is retried; the usual cause is a disk that is full for a few seconds.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Largest encoded size of the entries that are copied for the disk at a time, in bytes; a larger entry is alone.
const MAX_WRITE_BYTES: usize = 1024 * 1024;

/// Longest silence of a member for which entries are kept that it still needs: longer than a restart.
const LONGEST_SILENCE: Duration = Duration::from_secs(5);

enum Write {
    Append(Journal, Vec<inner::LogEntry>),
    /// Replaces the log file by one with the entries after `base`, up to the index `through` at least.
    Replace {
        base: LogPosition,
        through: u64,
    },
}

impl Log {
    /// Writes new entries; those that arrive during a sync are written in the next batch.
    pub(crate) async fn write_loop(&self) {
        self.mark_opened_journal().await;
        while !self.inner.token.is_cancelled() {
            let seen = self.inner.changed.version();
            match self.next_write() {
                Some((write, generation)) => self.write(write, generation).await,
                None => self.inner.changed.changed(seen).await,
            }
        }
    }

    /// Marks the entries that were read at the start as synced, which no election has to wait for.
    async fn mark_opened_journal(&self) {
        let opened = self.inner.journal.borrow_mut().take_if(|journal| journal.needs_mark());
        let Some(mut journal) = opened else { return };
        let marked = blocking(move || {
            journal.mark_synced()?;
            Ok(journal)
        });
        match marked.await {
            Ok(journal) => *self.inner.journal.borrow_mut() = Some(journal),
            Err(e) if self.inner.settings.retry_writes => self.retry_write(e).await,
            Err(e) => self.fail(e),
        }
    }

    fn next_write(&self) -> Option<(Write, u64)> {
        let mut state = self.inner.state.borrow_mut();
        let (last, generation) = (state.last().index, state.generation);
        if state.rewrite {
            state.rewrite = false;
            return Some((Write::Replace { base: state.base, through: last }, generation));
        }
        if last <= state.synced {
            return None;
        }
        let entries = state.entries_after(state.synced.max(state.base.index), MAX_WRITE_BYTES);
        let journal = self.inner.journal.borrow_mut().take()?;
        Some((Write::Append(journal, entries), generation))
    }

    async fn write(&self, write: Write, generation: u64) {
        let started = Instant::now();
        let written = match write {
            Write::Append(journal, entries) => self.append(journal, entries, generation).await,
            Write::Replace { base, through } => {
                let replaced = self.replace(base, through, generation).await;
                if let Ok(Some((_, through))) = &replaced {
                    self.note_synced(*through, generation, started);
                }
                replaced
            }
        };
        let journal = match written {
            Ok(Some((journal, _))) => journal,
            Ok(None) => {
                self.inner.state.borrow_mut().rewrite = true;
                return;
            }
            Err(e) if self.inner.settings.retry_writes => return self.retry_write(e).await,
            Err(e) => return self.fail(e),
        };
        *self.inner.journal.borrow_mut() = Some(journal);
    }

    /// Appends entries to the log file. They count as synced before the mark is synced.
    async fn append(
        &self,
        mut journal: Journal,
        entries: Vec<inner::LogEntry>,
        generation: u64,
    ) -> Result<Option<(Journal, u64)>, LogError> {
        let started = Instant::now();
        let Some(through) = entries.last().map(|last| last.index) else { return Ok(None) };
        let (tx, rx) = oneshot::channel();
        let written = blocking(move || {
            // The receiver is gone if the replica stops.
            journal.append_then(&entries, || tx.send(()).unwrap_or_default())?;
            Ok(Some((journal, through)))
        });
        let durable = async {
            if rx.await.is_ok() {
                self.note_synced(through, generation, started);
            }
        };
        future::join(written, durable).await.0
    }

    /// Counts entries as synced.
    fn note_synced(&self, through: u64, generation: u64, started: Instant) {
        {
            let mut state = self.inner.state.borrow_mut();
            // If entries were removed meanwhile, the replacement that follows makes the new ones durable.
            if state.generation == generation {
                state.synced = state.synced.max(through);
            }
        }
        metrics::histogram!("orioleworks_log_fsync_seconds").record(started.elapsed());
        self.inner.changed.notify();
        self.advance_commit();
    }

    /// Replaces the log file, with a part of the entries at a time, so that the log is not in memory twice. Returns the
    /// index of the last entry in it, or `None` if entries were removed meanwhile and the replacement must start again.
    async fn replace(
        &self,
        base: LogPosition,
        through: u64,
        generation: u64,
    ) -> Result<Option<(Journal, u64)>, LogError> {
        let directory = self.inner.settings.directory.clone();
        let mut writer = blocking(move || JournalWriter::create(&directory, base)).await?;
        let mut written = base.index;
        while written < through {
            let entries = {
                let state = self.inner.state.borrow();
                if state.generation != generation {
                    return Ok(None);
                }
                state.entries_after(written, MAX_WRITE_BYTES)
            };
            let Some(last) = entries.last() else { return Ok(None) };
            written = last.index;
            writer = blocking(move || writer.push(&entries)).await?;
        }
        let journal = blocking(move || writer.finish()).await?;
        Ok(Some((journal, written)))
    }

    /// Gives up leadership and schedules a rewrite of the log file, because a failed sync leaves its contents unknown.
    async fn retry_write(&self, e: LogError) {
        event!(error, "log_write_failed", reason = e, retry_ms = WRITE_RETRY_DELAY.as_millis());
        self.inner.state.borrow_mut().rewrite = true;
        if self.inner.state.borrow().is_leader() {
            self.become_follower("write_failed");
        }
        compio::time::sleep(WRITE_RETRY_DELAY).await;
    }

    /// Stores a term and vote durably and adopts them. Returns false if the term is old, another vote of the term is
    /// recorded or the write fails.
    pub(crate) async fn record_vote(&self, vote: VoteRecord) -> bool {
        let _lock = self.inner.vote_lock.lock().await;
        self.record_vote_locked(vote).await
    }

    pub(crate) async fn record_vote_locked(&self, vote: VoteRecord) -> bool {
        let old = self.inner.state.borrow().identity;
        if vote.term < old.vote.term {
            return false;
        }
        if vote == old.vote {
            return true;
        }
        // A recorded vote is final for its term.
        if vote.term == old.vote.term && old.vote.voted_for.is_some() {
            return vote.voted_for.is_none();
        }
        let directory = self.inner.settings.directory.clone();
        let identity = Identity { vote, ..old };
        let started = Instant::now();
        self.inner.state.borrow_mut().vote_sync.started = Some(started);
        let stored = blocking(move || files::store_identity(&directory, identity)).await;
        self.inner.state.borrow_mut().vote_sync =
            VoteSync { started: None, latest: started.elapsed() };
        if let Err(e) = stored {
            self.fail_or_log(e);
            return false;
        }
        self.inner.state.borrow_mut().identity.vote = vote;
        if vote.term > old.vote.term {
            self.become_follower("new_term");
        }
        true
    }

    /// Records a higher term before any message of that term is processed.
    pub(crate) async fn adopt_term(&self, term: u64) {
        if term > self.inner.state.borrow().term() {
            self.record_vote(VoteRecord { term, voted_for: None }).await;
        }
    }

    /// Becomes a follower. Pending proposals end as unconfirmed, because another leader may still commit them.
    pub(crate) fn become_follower(&self, reason: &str) {
        let waiting = {
            let mut state = self.inner.state.borrow_mut();
            if state.is_leader() {
                event!(warn, "leader_stepped_down", term = state.term(), reason = reason);
                state.leader_known_at = Some(Instant::now());
            }
            state.role = Role::Follower;
            state.leader_id = None;
            state.term_start = 0;
            state.reduced_tolerance = None;
            state.progress.clear();
            std::mem::take(&mut state.pending_proposals)
        };
        self.publish_without_leadership();
        for (_, tx) in waiting.into_values() {
            drop(tx.send(Err(ProposeError::Unconfirmed)));
        }
        self.inner.changed.notify();
    }

    /// Takes snapshots as they become due.
    pub(crate) async fn snapshot_loop(&self) {
        while !self.inner.token.is_cancelled() {
            let seen = self.inner.changed.version();
            self.snapshot_if_due().await;
            self.inner.changed.changed(seen).await;
        }
    }

    /// Takes a snapshot when enough entries were applied since the last one.
    async fn snapshot_if_due(&self) {
        let _lock = self.inner.snapshot_lock.lock().await;
        let (snapshot, parts) = {
            let state = self.inner.state.borrow();
            let since = state.applied.saturating_sub(state.snapshot.last_index);
            let settings = &self.inner.settings;
            if since < settings.snapshot_entries
                && (since == 0 || !state.has_applied_bytes(settings.snapshot_bytes))
            {
                return;
            }
            let (_, membership) = state.membership_at(state.applied);
            let Some(last_term) = state.term_at(state.applied) else { return };
            let snapshot = inner::Snapshot {
                last_index: state.applied,
                last_term,
                membership: Some(membership),
                now_ms: state.entry(state.applied).map_or(state.snapshot.now_ms, |e| e.now_ms),
                state: Bytes::new(),
            };
            (snapshot, (self.inner.machine.snapshot)())
        };
        if !self.store_snapshot(snapshot.clone(), parts).await {
            return;
        }
        let mut state = self.inner.state.borrow_mut();
        let settings = &self.inner.settings;
        // A member that is behind would need this snapshot too, and the next one when it has received it.
        let needed_after = state.acknowledged_by_all(LONGEST_SILENCE);
        let (keep_from, tail_bytes) = state.tail(snapshot.last_index, needed_after, settings);
        state.snapshot = snapshot;
        state.tail_bytes = tail_bytes;
        if keep_from > state.base.index {
            state.compact_through(keep_from);
        }
        drop(state);
        self.inner.changed.notify();
    }

    /// Writes a snapshot part by part and makes it durable; returns false after a failure.
    async fn store_snapshot(
        &self,
        head: inner::Snapshot,
        parts: impl Iterator<Item = Part>,
    ) -> bool {
        let directory = self.inner.settings.directory.clone();
        let written = async {
            let mut writer =
                blocking(move || SnapshotWriter::create(&directory, SNAPSHOT_TMP_FILE, &head))
                    .await?;
            for part in parts {
                writer = blocking(move || writer.push_with(part)).await?;
            }
            Ok(writer)
        };
        match written.await {
            Ok(writer) => self.finish_snapshot(writer).await,
            Err(e) => {
                self.fail_or_log(e);
                false
            }
        }
    }

    /// Syncs a written snapshot and renames it to its final name; returns false after a failure.
    pub(crate) async fn finish_snapshot(&self, writer: SnapshotWriter) -> bool {
        let index = writer.last_index();
        match blocking(move || writer.finish()).await {
            Ok(bytes) => {
                metrics::gauge!("orioleworks_log_snapshot_bytes").set(bytes as f64);
                event!(info, "snapshot_stored", index = index, bytes = bytes);
                true
            }
            Err(e) => {
                self.fail_or_log(e);
                false
            }
        }
    }

    pub(crate) fn fail_or_log(&self, e: LogError) {
        if self.inner.settings.retry_writes {
            event!(error, "log_write_failed", reason = e);
        } else {
            self.fail(e);
        }
    }

    /// Opens the durable snapshot for sending it.
    pub(crate) async fn open_snapshot(&self) -> Option<SnapshotReader> {
        let directory = self.inner.settings.directory.clone();
        match blocking(move || SnapshotReader::open(&directory)).await {
            Ok(reader) => reader,
            Err(e) => {
                self.fail(e);
                None
            }
        }
    }

    /// Reads the next part of a snapshot that is sent.
    pub(crate) async fn read_part(
        &self,
        reader: SnapshotReader,
        max_len: u64,
    ) -> Option<(SnapshotReader, Bytes)> {
        match blocking(move || reader.next(max_len)).await {
            Ok(next) => Some(next),
            Err(e) => {
                self.fail(e);
                None
            }
        }
    }
}

/// Runs file work off the event loop, so that a slow sync delays no heartbeat.
pub(crate) async fn blocking<T: Send + 'static>(
    work: impl FnOnce() -> Result<T, LogError> + Send + 'static,
) -> Result<T, LogError> {
    match runtime::spawn_blocking(work).await {
        Ok(result) => result,
        Err(e) => {
            Err(LogError::Io { file: String::new(), action: "file work", reason: format!("{e:?}") })
        }
    }
}
