//! What a replica knows of a time without a leader, for logs and status replies; see `docs/OPERATIONS.md`.

use std::time::{Duration, Instant};

use compio::time;
use orioleworks_daemon::event;
use orioleworks_proto::inner;

use crate::{node::Log, state::State};

/// Time without a leader that is logged first, longer than most elections. Each further line comes after twice the time.
const FIRST_REPORT: Duration = Duration::from_secs(1);
/// Interval at which the time is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Requests of this replica to the other voters for their votes.
#[derive(Clone, Debug, Default)]
pub struct VoteRound {
    /// Term of the votes.
    pub term: u64,
    /// Whether it asks only if votes would be granted.
    pub pre_vote: bool,
    /// Voters that granted it, this replica included.
    pub granted: Vec<u64>,
    /// Voters that refused it.
    pub refused: Vec<u64>,
}

/// How long the own vote takes to be synced.
#[derive(Clone, Copy, Debug, Default)]
pub struct VoteSync {
    /// Start of the sync in progress.
    pub started: Option<Instant>,
    /// Duration of the latest sync that ended.
    pub latest: Duration,
}

impl VoteSync {
    /// Duration of the sync in progress so far, or else of the latest one.
    pub fn duration(&self) -> Duration {
        self.started.map_or(self.latest, |started| started.elapsed())
    }
}

impl State {
    /// The latest round since a leader was known, with the names of the voters.
    pub(crate) fn vote_round_message(&self) -> Option<inner::VoteRound> {
        let round = self.vote_round.as_ref()?;
        let voters = self.membership.members.iter().filter(|m| !m.learner);
        let names = |holds: &dyn Fn(u64) -> bool| {
            voters.clone().filter(|m| holds(m.member_id)).map(|m| m.name.clone()).collect()
        };
        let has_granted = |id| round.granted.contains(&id);
        let has_refused = |id| round.refused.contains(&id);
        Some(inner::VoteRound {
            term: round.term,
            pre_vote: round.pre_vote,
            granted: names(&has_granted),
            refused: names(&has_refused),
            silent: names(&|id| !has_granted(id) && !has_refused(id)),
            vote_sync_ms: milliseconds(self.vote_sync.duration()),
        })
    }
}

impl Log {
    /// Time since this replica heard of a leader, led itself, or started.
    pub fn time_without_leader(&self) -> Duration {
        let state = self.inner.state.borrow();
        if state.is_leader() {
            return Duration::ZERO;
        }
        state.leader_known_at.unwrap_or(self.inner.opened_at).elapsed()
    }

    /// Logs a time without a leader while it lasts, and its end.
    pub(crate) async fn report_leaderless_loop(&self) {
        let (mut next_report, mut longest) = (FIRST_REPORT, Duration::ZERO);
        while !self.inner.token.is_cancelled() {
            time::sleep(CHECK_INTERVAL).await;
            let silence = self.time_without_leader();
            if silence < FIRST_REPORT {
                if longest >= FIRST_REPORT {
                    event!(info, "leader_regained", leaderless_ms = longest.as_millis());
                }
                (next_report, longest) = (FIRST_REPORT, Duration::ZERO);
                continue;
            }
            let bound = self.inner.settings.recovery;
            if longest < bound && silence >= bound {
                event!(
                    error,
                    "leader_overdue",
                    leaderless_ms = silence.as_millis(),
                    bound_ms = bound.as_millis(),
                );
            }
            longest = silence;
            if silence >= next_report {
                next_report = silence * 2;
                self.log_leaderless(silence);
            }
        }
    }

    fn log_leaderless(&self, silence: Duration) {
        let state = self.inner.state.borrow();
        let round = state.vote_round_message().unwrap_or_default();
        event!(
            warn,
            "leaderless",
            leaderless_ms = silence.as_millis(),
            term = state.term(),
            votes = state.is_voter(),
            voters = state.voters().len(),
            round_term = round.term,
            pre_vote = round.pre_vote,
            granted = round.granted.join(","),
            refused = round.refused.join(","),
            silent = round.silent.join(","),
            vote_sync_ms = round.vote_sync_ms,
        );
    }
}

/// Whole milliseconds for a status reply.
pub(crate) fn milliseconds(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
