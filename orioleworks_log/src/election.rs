//! Election with pre-vote.

use std::time::{Duration, Instant};

use compio::{runtime, time};
use futures_util::{StreamExt, stream::FuturesUnordered};
use orioleworks_daemon::{event, rpc};
use orioleworks_proto::inner::{self, frame::Body};
use orioleworks_rules::log::{self as rules, LogPosition, VoteRecord};

use tokio_util::sync::CancellationToken;

use crate::{
    leaderless::VoteRound,
    node::Log,
    state::{Role, State},
};

/// Longest wait for votes: a voter syncs its vote before it replies, and several voters may share a disk that takes seconds for that.
/// The candidate of a later term would make these voters sync again.
const VOTE_TIMEOUT: Duration = Duration::from_secs(8);
/// Longest sync of the own vote for which the others hold back; a disk that takes longer may not answer at all.
const LONGEST_OWN_SYNC: Duration = Duration::from_secs(6);

/// Most times that the range of the election timeouts is doubled.
const MAX_BACKOFF: u32 = 3;
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
    },
}

/// How a candidature ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// A quorum granted it.
    Won,
    /// No quorum granted it, and some voters refused.
    Refused,
    /// No quorum replied, or a leader or a newer term appeared.
    Ended,
}

/// Candidate for which a replica holds back: it neither stands for election nor supports another candidate.
///
/// Votes are synced, and a sync may take longer than the election timeouts. Without reservations the others would stand for election
/// while a candidate syncs its own vote, each with a vote of its own in the same term, and nobody would win.
#[derive(Clone, Copy, Debug)]
pub struct Reservation {
    candidate_id: u64,
    until: Instant,
}

impl State {
    /// Reserves the support of this replica for a candidate; returns false while it is reserved for another one.
    fn reserve(&mut self, candidate_id: u64, time: Duration) -> bool {
        let is_free = !self.is_reserved_for_other(candidate_id);
        if is_free {
            self.reservation = Some(Reservation { candidate_id, until: Instant::now() + time });
        }
        is_free
    }

    fn is_reserved_for_other(&self, candidate_id: u64) -> bool {
        let other = self.reservation.filter(|r| r.candidate_id != candidate_id);
        other.is_some_and(|r| r.until > Instant::now())
    }
}

impl Log {
    /// Starts an election when no message from a leader arrives within a random timeout.
    pub(crate) async fn election_loop(&self) {
        // Refused candidatures in a row: several replicas stand at the same time, so that their timeouts have to differ more.
        let mut refused = 0;
        while !self.inner.token.is_cancelled() {
            let timeout = self.random_timeout(refused);
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
                state.is_voter()
                    && !state.is_leader()
                    && !state.is_reserved_for_other(state.id())
                    && !self.inner.shutting_down.get()
            };
            if eligible && !self.is_recording_vote() {
                refused = match self.campaign(Campaign::Timeout).await {
                    Outcome::Refused => (refused + 1).min(MAX_BACKOFF),
                    Outcome::Won | Outcome::Ended => 0,
                };
            }
        }
    }

    fn random_timeout(&self, refused: u32) -> Duration {
        let (min, max) = (self.inner.settings.election_min, self.inner.settings.election_max);
        rand::random_range(min..=min + (max - min) * 2_u32.pow(refused))
    }

    /// Requests pre-votes, then votes; a replica that cannot win the pre-vote does not raise its term. A leadership
    /// transfer skips the pre-vote.
    pub(crate) async fn campaign(&self, campaign: Campaign) -> Outcome {
        let leadership_transfer = campaign == Campaign::LeadershipTransfer;
        let (id, term) = {
            let state = self.inner.state.borrow();
            (state.id(), state.term())
        };
        if !leadership_transfer {
            if !self.inner.state.borrow_mut().reserve(id, self.inner.settings.election_min) {
                return Outcome::Refused;
            }
            let outcome = self.collect_votes(term + 1, Round::PreVote).await;
            if outcome != Outcome::Won {
                self.release_own_support();
                return outcome;
            }
        }
        {
            let mut state = self.inner.state.borrow_mut();
            // A leader or a newer term appeared while the pre-votes were collected.
            let live =
                !leadership_transfer && state.has_live_leader(self.inner.settings.election_min);
            if state.term() != term || live {
                return Outcome::Ended;
            }
            state.role = Role::Candidate;
        }
        let standing = self.inner.token.child_token();
        let _standing = standing.clone().drop_guard();
        let this = self.clone();
        runtime::spawn(async move { this.keep_support(term + 1, standing).await }).detach();
        let outcome = self.stand(term + 1, leadership_transfer).await;
        self.release_own_support();
        outcome
    }

    /// Records the own vote of a term, and becomes the leader if a quorum grants its votes, too.
    async fn stand(&self, term: u64, leadership_transfer: bool) -> Outcome {
        let vote = VoteRecord { term, voted_for: Some(self.inner.state.borrow().id()) };
        if !self.record_vote(vote).await {
            return Outcome::Ended;
        }
        self.inner.state.borrow_mut().role = Role::Candidate;
        event!(info, "election_started", term = term);
        let outcome = self.collect_votes(term, Round::Vote { leadership_transfer }).await;
        if outcome == Outcome::Won {
            let state = self.inner.state.borrow();
            let still_candidate = state.identity.vote == vote && state.role == Role::Candidate;
            drop(state);
            if still_candidate {
                self.become_leader();
            }
        }
        outcome
    }

    fn release_own_support(&self) {
        let mut state = self.inner.state.borrow_mut();
        if !state.is_reserved_for_other(state.id()) {
            state.reservation = None;
        }
    }

    /// Keeps the support of the others while the own vote and theirs are synced; each repeated pre-vote renews it.
    async fn keep_support(&self, term: u64, standing: CancellationToken) {
        let (heartbeat, time) = (self.inner.settings.heartbeat, self.inner.settings.election_min);
        while !standing.is_cancelled() {
            {
                let mut state = self.inner.state.borrow_mut();
                let own_sync = state.vote_sync.started.map(|started| started.elapsed());
                let is_slow = own_sync.is_some_and(|sync| sync > LONGEST_OWN_SYNC);
                if state.term() > term || state.role == Role::Leader || is_slow {
                    return;
                }
                let id = state.id();
                state.reserve(id, time);
            }
            for (client, vote) in self.vote_requests(term, true, false) {
                runtime::spawn(async move { drop(client.call(Body::Vote(vote), time).await) })
                    .detach();
            }
            time::sleep(heartbeat).await;
        }
    }

    /// Whether this replica is about to grant its vote, or to stand for election: a pre-vote or candidature now would
    /// end the election for which the vote is.
    fn is_recording_vote(&self) -> bool {
        self.inner.vote_lock.try_lock().is_none()
    }

    /// Requests of this replica to the other voters.
    fn vote_requests(
        &self,
        term: u64,
        pre_vote: bool,
        hand_over: bool,
    ) -> Vec<(rpc::Client, inner::Vote)> {
        let state = self.inner.state.borrow();
        let (id, last) = (state.id(), state.last());
        let others = state.membership.members.iter().filter(|m| !m.learner && m.member_id != id);
        let request = |m: &inner::Member| {
            let vote = inner::Vote {
                term,
                candidate_id: id,
                last_index: last.index,
                last_term: last.term,
                pre_vote,
                target_id: m.member_id,
                hand_over,
            };
            (self.member_client(m), vote)
        };
        others.map(request).collect()
    }

    /// Asks the other voters for their votes of a round until a quorum grants them or none can any more.
    async fn collect_votes(&self, term: u64, round: Round) -> Outcome {
        let (voters, id) = {
            let state = self.inner.state.borrow();
            (state.voters(), state.id())
        };
        let (pre_vote, hand_over, limit) = match round {
            Round::PreVote => (true, false, self.inner.settings.election_min),
            Round::Vote { leadership_transfer } => (false, leadership_transfer, VOTE_TIMEOUT),
        };
        self.inner.state.borrow_mut().vote_round =
            Some(VoteRound { term, pre_vote, granted: vec![id], refused: Vec::new() });
        let (mut granted, mut refused) = (vec![id], 0);
        let requests = self.vote_requests(term, pre_vote, hand_over).into_iter();
        let call = async |(client, vote): (rpc::Client, inner::Vote)| {
            client.call(Body::Vote(vote), limit).await
        };
        let mut replies: FuturesUnordered<_> = requests.map(call).collect();
        let started = Instant::now();
        while !rules::is_elected(&voters, &granted) {
            let lost = if refused > 0 { Outcome::Refused } else { Outcome::Ended };
            let left = limit.saturating_sub(started.elapsed());
            if !pre_vote && !self.is_candidate(term) {
                return Outcome::Ended;
            }
            // Votes that are still being synced may win the election although others were refused.
            if left.is_zero() || voters.len().saturating_sub(refused) < rules::quorum(voters.len())
            {
                return lost;
            }
            let wait = left.min(CANDIDATE_CHECK_INTERVAL);
            let reply = match time::timeout(wait, replies.next()).await {
                Ok(Some(reply)) => reply,
                Ok(None) => return lost,
                Err(_) => continue,
            };
            let Ok(Body::VoteReply(reply)) = reply else { continue };
            if reply.term > term {
                self.adopt_term(reply.term).await;
                return Outcome::Ended;
            }
            if let Some(round) = &mut self.inner.state.borrow_mut().vote_round {
                let voters = if reply.granted { &mut round.granted } else { &mut round.refused };
                voters.push(reply.member_id);
            }
            if reply.granted {
                granted.push(reply.member_id);
            } else {
                refused += 1;
            }
        }
        Outcome::Won
    }

    fn is_candidate(&self, term: u64) -> bool {
        let state = self.inner.state.borrow();
        state.role == Role::Candidate && state.term() == term
    }

    /// Handles a vote request; a granted vote is synced before the reply.
    pub(crate) async fn on_vote(&self, vote: inner::Vote) -> inner::VoteReply {
        let is_target = vote.target_id == 0 || vote.target_id == self.inner.state.borrow().id();
        let live = self.inner.state.borrow().has_live_leader(self.inner.settings.election_min);
        let record = VoteRecord { term: vote.term, voted_for: Some(vote.candidate_id) };
        let is_granted = self.inner.state.borrow().identity.vote == record;
        // A replica with a live leader refuses, so that a replica that reconnects does not depose the leader.
        let granted = if !is_target {
            false
        } else if vote.pre_vote && is_granted {
            // The candidate still waits for the votes of others.
            self.inner.state.borrow_mut().last_seen = Some(Instant::now());
            true
        } else if live && !vote.hand_over {
            false
        } else if vote.pre_vote {
            let time = self.inner.settings.election_min;
            self.would_grant(&vote)
                && !self.is_recording_vote()
                && self.inner.state.borrow_mut().reserve(vote.candidate_id, time)
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
