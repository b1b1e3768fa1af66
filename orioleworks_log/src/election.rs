//! Election with pre-vote.

use std::time::{Duration, Instant};

use compio::time;
use futures_util::{StreamExt, stream::FuturesUnordered};
use orioleworks_daemon::event;
use orioleworks_proto::inner::{self, frame::Body};
use orioleworks_rules::log::{self as rules, LogPosition, VoteRecord};

use crate::{leaderless::VoteRound, node::Log, state::Role};

/// Longest wait for votes: a voter syncs its vote before it replies, and a disk in trouble takes seconds for that. The
/// candidate of a later term would make these voters sync again.
const VOTE_TIMEOUT: Duration = Duration::from_secs(4);

/// Wait for votes after a refusal, as a multiple of the time that this replica took to sync its own.
const REFUSED_WAIT_SYNCS: u32 = 4;
/// Interval at which a candidate that waits for votes checks whether another replica leads by now.
const CANDIDATE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Why a replica stands for election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Campaign {
    /// No message from a leader arrived in time.
    Timeout,
    /// The leader shuts down and asked this replica to follow it.
    LeadershipTransfer,
}

/// A round of requests to the voters.
#[derive(Clone, Copy, Debug)]
enum Round {
    /// Asks whether votes would be granted; nothing is recorded.
    PreVote,
    /// Asks for the votes of the term.
    Vote {
        /// Whether a leader that shuts down asked for the election.
        leadership_transfer: bool,
        /// Wait for the other votes once one was refused: another candidate may hold them.
        refused_wait: Duration,
    },
}

impl Log {
    /// Starts an election when no message from a leader arrives within a random timeout.
    pub(crate) async fn election_loop(&self) {
        while !self.inner.token.is_cancelled() {
            let timeout = self.random_timeout();
            let started = Instant::now();
            loop {
                let (since, leader) = {
                    let state = self.inner.state.borrow();
                    (state.last_seen.unwrap_or(started).max(started), state.is_leader())
                };
                let remaining = timeout.saturating_sub(since.elapsed());
                if remaining.is_zero() && !leader {
                    break;
                }
                time::sleep(if leader { timeout } else { remaining }).await;
                if self.inner.token.is_cancelled() {
                    return;
                }
            }
            let eligible = {
                let state = self.inner.state.borrow();
                state.is_voter() && !state.is_leader() && !self.inner.shutting_down.get()
            };
            if eligible && !self.is_recording_vote() {
                self.campaign(Campaign::Timeout).await;
            }
        }
    }

    fn random_timeout(&self) -> Duration {
        let (min, max) = (self.inner.settings.election_min, self.inner.settings.election_max);
        rand::random_range(min..=max)
    }

    /// Requests pre-votes, then votes; a replica that cannot win the pre-vote does not raise its term. A leadership
    /// transfer skips the pre-vote.
    pub(crate) async fn campaign(&self, campaign: Campaign) {
        let leadership_transfer = campaign == Campaign::LeadershipTransfer;
        let term = self.inner.state.borrow().term();
        if !leadership_transfer && !self.collect_votes(term + 1, Round::PreVote).await {
            return;
        }
        {
            let mut state = self.inner.state.borrow_mut();
            // A leader or a newer term appeared while the pre-votes were collected.
            let live =
                !leadership_transfer && state.has_live_leader(self.inner.settings.election_min);
            if state.term() != term || live {
                return;
            }
            state.role = Role::Candidate;
        }
        let vote = VoteRecord { term: term + 1, voted_for: Some(self.inner.state.borrow().id()) };
        let started = Instant::now();
        if !self.record_vote(vote).await {
            return;
        }
        let refused_wait = started.elapsed() * REFUSED_WAIT_SYNCS;
        self.inner.state.borrow_mut().role = Role::Candidate;
        event!(info, "election_started", term = term + 1);
        let refused_wait = refused_wait.clamp(self.inner.settings.election_min, VOTE_TIMEOUT);
        if self.collect_votes(term + 1, Round::Vote { leadership_transfer, refused_wait }).await {
            let state = self.inner.state.borrow();
            let still_candidate = state.identity.vote == vote && state.role == Role::Candidate;
            drop(state);
            if still_candidate {
                self.become_leader();
            }
        }
    }

    /// Whether this replica is about to grant its vote, or to stand for election: a pre-vote or candidature now would
    /// end the election for which the vote is.
    fn is_recording_vote(&self) -> bool {
        self.inner.vote_lock.try_lock().is_none()
    }

    /// Whether a quorum grants its votes in a round.
    async fn collect_votes(&self, term: u64, round: Round) -> bool {
        let (voters, id, last, members) = {
            let state = self.inner.state.borrow();
            (state.voters(), state.id(), state.last(), state.membership.members.clone())
        };
        let election_min = self.inner.settings.election_min;
        let (pre_vote, hand_over, limit, refused_wait) = match round {
            Round::PreVote => (true, false, election_min, election_min),
            Round::Vote { leadership_transfer, refused_wait } => {
                (false, leadership_transfer, VOTE_TIMEOUT, refused_wait)
            }
        };
        self.inner.state.borrow_mut().vote_round =
            Some(VoteRound { term, pre_vote, granted: vec![id], refused: Vec::new() });
        let mut granted = vec![id];
        let mut replies: FuturesUnordered<_> = members
            .iter()
            .filter(|m| !m.learner && m.member_id != id)
            .map(|m| {
                let vote = inner::Vote {
                    term,
                    candidate_id: id,
                    last_index: last.index,
                    last_term: last.term,
                    pre_vote,
                    target_id: m.member_id,
                    hand_over,
                };
                let client = self.member_client(m);
                async move { client.call(Body::Vote(vote), limit).await }
            })
            .collect();
        let started = Instant::now();
        let mut deadline = started + limit;
        while !rules::is_elected(&voters, &granted) {
            let left = deadline.saturating_duration_since(Instant::now());
            let ended = !pre_vote && !self.is_candidate(term);
            if left.is_zero() || ended {
                return false;
            }
            let wait = left.min(CANDIDATE_CHECK_INTERVAL);
            let reply = match time::timeout(wait, replies.next()).await {
                Ok(Some(reply)) => reply,
                Ok(None) => return false,
                Err(_) => continue,
            };
            let Ok(Body::VoteReply(reply)) = reply else { continue };
            if reply.term > term {
                self.adopt_term(reply.term).await;
                return false;
            }
            if let Some(round) = &mut self.inner.state.borrow_mut().vote_round {
                let voters = if reply.granted { &mut round.granted } else { &mut round.refused };
                voters.push(reply.member_id);
            }
            if reply.granted {
                granted.push(reply.member_id);
            } else {
                deadline = deadline.min(started + refused_wait);
            }
        }
        true
    }

    fn is_candidate(&self, term: u64) -> bool {
        let state = self.inner.state.borrow();
        state.role == Role::Candidate && state.term() == term
    }

    /// Handles a vote request; a granted vote is synced before the reply.
    pub(crate) async fn on_vote(&self, vote: inner::Vote) -> inner::VoteReply {
        let is_target = vote.target_id == 0 || vote.target_id == self.inner.state.borrow().id();
        let live = self.inner.state.borrow().has_live_leader(self.inner.settings.election_min);
        // A replica with a live leader refuses, so that a replica that reconnects does not depose the leader.
        let granted = if !is_target || (live && !vote.hand_over) {
            false
        } else if vote.pre_vote {
            self.would_grant(&vote) && !self.is_recording_vote()
        } else {
            self.grant(&vote).await
        };
        let state = self.inner.state.borrow();
        inner::VoteReply { term: state.term(), member_id: state.id(), granted }
    }

    fn would_grant(&self, vote: &inner::Vote) -> bool {
        let state = self.inner.state.borrow();
        let candidate = LogPosition { term: vote.last_term, index: vote.last_index };
        rules::may_grant_vote(
            state.identity.vote,
            state.last(),
            vote.term,
            vote.candidate_id,
            candidate,
        )
    }

    /// Records term and vote in one sync.
    async fn grant(&self, vote: &inner::Vote) -> bool {
        let lock = self.inner.vote_lock.lock().await;
        // Checked under the lock, so that no other candidate gets the vote of this term meanwhile.
        if !self.would_grant(vote) {
            drop(lock);
            self.adopt_term(vote.term).await;
            return false;
        }
        let record = VoteRecord { term: vote.term, voted_for: Some(vote.candidate_id) };
        let granted = self.record_vote_locked(record).await;
        if granted {
            self.inner.state.borrow_mut().last_seen = Some(Instant::now());
        }
        // While the vote was being recorded, this replica may have acknowledged entries of the old term that the candidate
        // lacks. From here on it acknowledges none.
        granted && self.would_grant(vote) && self.inner.state.borrow().identity.vote == record
    }
}
