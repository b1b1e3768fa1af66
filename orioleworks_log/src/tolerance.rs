//! How many further losses of voters the cluster survives, and for how long these have been fewer than promised; see
//! `docs/OPERATIONS.md`.

use std::time::{Duration, Instant};

use orioleworks_daemon::event;
use orioleworks_rules::log as rules;

use crate::{
    node::Log,
    state::{Progress, State},
};

/// Time for which fewer losses than promised are survived.
#[derive(Clone, Copy, Debug)]
pub struct Reduced {
    /// When the leader noticed it.
    pub since: Instant,
    /// Whether it was reported that this takes longer than promised.
    pub overdue: bool,
}

impl State {
    /// Number of voters that may be lost, with their disks, so that the others are still a quorum. Voters that have been silent
    /// for longer than `longest_silence` count as lost, and so do those that a new leader has not heard of yet.
    ///
    /// What is committed survives as many losses: of the voters that synced an entry, at least one remains in each quorum of the
    /// remaining ones.
    pub fn tolerated_losses(&self, longest_silence: Duration) -> usize {
        let is_live = move |progress: &Progress| {
            progress.confirmed_at.is_some_and(|at| at.elapsed() <= longest_silence)
        };
        let live = self.voters_where(is_live).count();
        rules::tolerated_losses(self.voters().len(), live).unwrap_or(0)
    }
}

impl Log {
    /// Number of further losses that this replica knows to be tolerated; 0 unless it leads.
    pub fn tolerated_losses(&self) -> usize {
        let state = self.inner.state.borrow();
        match state.is_leader() {
            true => state.tolerated_losses(self.inner.settings.election_max),
            false => 0,
        }
    }

    /// Publishes how many losses are tolerated, and logs when these become fewer or as many again as the settings promise.
    pub(crate) fn report_tolerance(&self) {
        let settings = &self.inner.settings;
        let promised = settings.tolerated_losses;
        let mut state = self.inner.state.borrow_mut();
        let tolerated = state.tolerated_losses(settings.election_max);
        // A new leader has not heard of the others yet.
        let is_new = state.leader_since.is_some_and(|at| at.elapsed() < settings.election_max);
        let reduced = (tolerated < promised && !is_new).then(|| {
            let new = Reduced { since: Instant::now(), overdue: false };
            state.reduced_tolerance.unwrap_or(new)
        });
        let previous = std::mem::replace(&mut state.reduced_tolerance, reduced);
        let since = reduced.map_or(Duration::ZERO, |reduced| reduced.since.elapsed());
        metrics::gauge!("orioleworks_log_tolerated_losses").set(tolerated as f64);
        metrics::gauge!("orioleworks_log_reduced_tolerance_seconds").set(since.as_secs_f64());
        let voters = state.voters().len();
        match (previous, &mut state.reduced_tolerance) {
            (None, Some(_)) => {
                event!(
                    warn,
                    "tolerance_reduced",
                    tolerated = tolerated,
                    promised = promised,
                    voters = voters,
                );
            }
            (Some(previous), None) => {
                let reduced_ms = previous.since.elapsed().as_millis();
                event!(
                    info,
                    "tolerance_restored",
                    tolerated = tolerated,
                    voters = voters,
                    reduced_ms = reduced_ms,
                );
            }
            (_, Some(reduced)) if since > settings.catch_up && !reduced.overdue => {
                reduced.overdue = true;
                let bound_ms = settings.catch_up.as_millis();
                event!(
                    error,
                    "tolerance_overdue",
                    tolerated = tolerated,
                    promised = promised,
                    voters = voters,
                    bound_ms = bound_ms,
                );
            }
            _ => {}
        }
    }

    /// Publishes the figures of a replica that does not lead: it adds nothing to those of a leader, and without a leader no loss is
    /// tolerated.
    pub(crate) fn publish_without_leadership(&self) {
        if self.is_leader() {
            return;
        }
        let silence = self.time_without_leader();
        let without_leader = match silence > self.inner.settings.election_max {
            true => silence,
            false => Duration::ZERO,
        };
        metrics::gauge!("orioleworks_log_lost_voters").set(0.0);
        metrics::gauge!("orioleworks_log_tolerated_losses").set(0.0);
        metrics::gauge!("orioleworks_log_reduced_tolerance_seconds")
            .set(without_leader.as_secs_f64());
    }
}
