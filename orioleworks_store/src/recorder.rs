//! Commits what the leader's items bring, under the term in which they brought it.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::future;
use orioleworks_daemon::event;
use orioleworks_log::{Log, ProposeError, notify::Notify};
use orioleworks_proto::inner::{self, command::Kind};
use tokio_util::sync::CancellationToken;

use crate::records::{self, MAX_RECORD_BYTES, Records};

/// Longest wait for records; new ones end it at once.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Least time between commits. The items of a step end together and their reward calls too; without it each result costs all
/// stores an entry of its own. A result after a pause is committed at once.
const COMMIT_INTERVAL: Duration = Duration::from_millis(20);

struct Inner {
    log: Log,
    /// Term under which this store leads; 0 while it does not.
    term: Cell<u64>,
    records: RefCell<Records>,
    pending: Notify,
}

/// Records that wait to be committed; clones share them.
#[derive(Clone)]
pub struct Recorder {
    inner: Rc<Inner>,
}

impl std::fmt::Debug for Recorder {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Recorder").field("term", &self.inner.term.get()).finish_non_exhaustive()
    }
}

impl Recorder {
    /// Creates a recorder that proposes to a log.
    pub fn new(log: Log) -> Self {
        let (records, pending) = (RefCell::default(), Notify::default());
        Self { inner: Rc::new(Inner { log, term: Cell::new(0), records, pending }) }
    }

    /// Term under which this store leads; 0 while it does not.
    pub fn term(&self) -> u64 {
        self.inner.term.get()
    }

    /// Drops the records of an earlier term. Returns whether the term is new.
    pub fn begin_term(&self, term: u64) -> bool {
        let is_new = self.inner.term.replace(term) != term;
        if is_new {
            self.inner.records.borrow_mut().clear();
        }
        is_new
    }

    /// Adds to the records of the current term.
    pub fn add(&self, add: impl FnOnce(&mut Records)) {
        add(&mut self.inner.records.borrow_mut());
        self.inner.pending.notify();
    }

    /// Commits records as they arrive; those that arrive during a commit, or soon after its start, are part of the next one.
    pub async fn run(self, token: CancellationToken) {
        let mut next_commit = Instant::now();
        while !token.is_cancelled() {
            let seen = self.inner.pending.version();
            if self.inner.records.borrow().is_empty() {
                self.inner.pending.changed_within(seen, CHECK_INTERVAL).await;
                continue;
            }
            compio::time::sleep_until(next_commit).await;
            next_commit = Instant::now() + COMMIT_INTERVAL;
            let records = std::mem::take(&mut *self.inner.records.borrow_mut());
            let term = self.term();
            future::join_all(records.into_values().map(|record| self.record(record, term))).await;
        }
    }

    /// Commits a record in parts, one after another, because the order of saved output matters.
    async fn record(&self, record: inner::RecordResults, term: u64) {
        let mut parts = VecDeque::from(records::split(record, MAX_RECORD_BYTES));
        while let Some(part) = parts.front() {
            let kind = Some(Kind::RecordResults(part.clone()));
            let command = inner::Command { expected_revision: None, kind };
            // Results belong to the term in which they were generated.
            let decided = if self.term() == term {
                self.inner.log.propose_until_decided("", command).await
            } else {
                Err(ProposeError::NotLeader)
            };
            let Err(reason) = decided else {
                parts.pop_front();
                continue;
            };
            let id = part.batch_id.clone();
            let results = |part: &inner::RecordResults| {
                part.results.len() + part.unscored.len() + part.scores.len()
            };
            let count: usize = parts.iter().map(results).sum();
            if reason == ProposeError::NoQuorum {
                event!(warn, "results_unconfirmed", batch = id, results = count, reason = reason);
                if self.term() == term {
                    let mut records = self.inner.records.borrow_mut();
                    for part in parts.into_iter().rev() {
                        records::put_back(&mut records, part);
                    }
                }
            } else {
                // The next leader runs the items that are not listed, or makes their reward calls.
                event!(info, "results_dropped", batch = id, results = count, reason = reason);
            }
            return;
        }
    }
}
