//! Election with pre-vote.

use std::time::{Duration, Instant};

use compio::time;
use futures_util::{StreamExt, stream::FuturesUnordered};
use orioleworks_daemon::event;
use orioleworks_proto::inner::{self, frame::Body};
use orioleworks_rules::log::{self as rules, LogPosition, VoteRecord};

use crate::{node::Log, state::Role};

/// Why a replica stands for election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Campaign {
    /// No message from a leader arrived in time.
    Timeout,
    /// The leader shuts down and asked this replica to follow it.
    LeadershipTransfer,
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
            if eligible {
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
        if !leadership_transfer && !self.collect_votes(term + 1, true, false).await {
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
        if !self.record_vote(vote).await {
            return;
        }
        self.inner.state.borrow_mut().role = Role::Candidate;
        event!(info, "election_started", term = term + 1);
        if self.collect_votes(term + 1, false, leadership_transfer).await {
            let state = self.inner.state.borrow();
            let still_candidate = state.identity.vote == vote && state.role == Role::Candidate;
            drop(state);
            if still_candidate {
                self.become_leader();
            }
        }
    }

    /// Whether a quorum grants its votes within the shortest election timeout.
    async fn collect_votes(&self, term: u64, pre_vote: bool, leadership_transfer: bool) -> bool {
        let (voters, id, last, members) = {
            let state = self.inner.state.borrow();
            (state.voters(), state.id(), state.last(), state.membership.members.clone())
        };
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
                    hand_over: leadership_transfer,
                };
                let client = self.member_client(m);
                async move { client.call(Body::Vote(vote), self.inner.settings.election_min).await }
            })
            .collect();
        let deadline = Instant::now() + self.inner.settings.election_min;
        while !rules::is_elected(&voters, &granted) {
            let wait = deadline.saturating_duration_since(Instant::now());
            let Ok(Some(reply)) = time::timeout(wait, replies.next()).await else { return false };
            let Ok(Body::VoteReply(reply)) = reply else { continue };
            if reply.term > term {
                self.adopt_term(reply.term).await;
                return false;
            }
            if reply.granted {
                granted.push(reply.member_id);
            }
        }
        true
    }

    /// Handles a vote request; a granted vote is synced before the reply.
    pub(crate) async fn on_vote(&self, vote: inner::Vote) -> inner::VoteReply {
        let is_target = vote.target_id == 0 || vote.target_id == self.inner.state.borrow().id();
        let live = self.inner.state.borrow().has_live_leader(self.inner.settings.election_min);
        // A replica with a live leader refuses, so that a replica that reconnects does not depose the leader.
        let granted = if !is_target || (live && !vote.hand_over) {
            false
        } else if vote.pre_vote {
            self.would_grant(&vote)
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

    async fn grant(&self, vote: &inner::Vote) -> bool {
        self.adopt_term(vote.term).await;
        let _lock = self.inner.vote_lock.lock().await;
        // Checked under the lock, so that no other candidate gets the vote of this term meanwhile.
        if !self.would_grant(vote) {
            return false;
        }
        let record = VoteRecord { term: vote.term, voted_for: Some(vote.candidate_id) };
        let granted = self.record_vote_locked(record).await;
        if granted {
            self.inner.state.borrow_mut().last_seen = Some(Instant::now());
        }
        granted && self.inner.state.borrow().identity.vote == record
    }
}
