//! Whether this store may act for all stores now, and under which number.
//!
//! The leader of the log holds every duty, with its term as the fencing token, so that the token rises with each holder. A
//! new leader waits for a lease first. See `docs/design/tenants-usage-and-bounds.md`, section 2.3.

use std::{cell::Cell, time::Duration};

use compio::time;
use orioleworks_daemon::clock;
use orioleworks_log::Log;
use orioleworks_rules::duty as rules;

/// Number of confirmations that are tried for one call.
const MAX_CONFIRMATIONS: usize = 5;
/// Pause before a confirmation is tried again, so that the tries do not fall into step with the heartbeats of the log.
const RETRY_PAUSE: Duration = Duration::from_millis(30);

/// A duty of the leader.
#[derive(Debug)]
pub struct Duty {
    log: Log,
    lease: Duration,
    /// Term in which a call was refused because of a newer holder; no more calls are made in it.
    fenced_term: Cell<u64>,
}

impl Duty {
    /// Creates a duty that a new leader takes after a lease.
    pub fn new(log: Log, lease: Duration) -> Self {
        Self { log, lease, fenced_term: Cell::new(0) }
    }

    /// Term in which this store holds the duty now.
    pub fn term(&self) -> Option<u64> {
        let term = self.log.leading_term()?;
        let leading_for = self.log.leading_for();
        let lease_over = leading_for.is_some_and(|time| rules::is_lease_over(time, self.lease));
        (lease_over && self.fenced_term.get() != term).then_some(term)
    }

    /// Records that a newer holder has made a call.
    pub fn record_fenced(&self, term: u64) {
        self.fenced_term.set(term);
    }

    /// Confirms with a quorum that this store still holds the duty in a term. The call must be sent without a wait after
    /// this, because a confirmation that took long, or was followed by a pause, says nothing of the time of the call.
    pub async fn confirm(&self, term: u64) -> bool {
        for attempt in 0..MAX_CONFIRMATIONS {
            if attempt > 0 {
                time::sleep(RETRY_PAUSE).await;
            }
            let started = clock::since_boot();
            let confirmed = self.log.confirm_leadership().await.is_ok();
            if !confirmed || self.term() != Some(term) {
                return false;
            }
            let age = clock::since_boot().saturating_sub(started);
            if rules::is_confirmed(Some(age)) {
                return true;
            }
        }
        false
    }
}
