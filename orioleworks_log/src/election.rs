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
/// Longest sync of the own vote for which the support of others is renewed: two syncs of a disk that takes seconds. A disk that hangs
/// must not stop the elections of others.
const LONGEST_OWN_SYNC: Duration = Duration::from_secs(6);
/// Time without a leader after which support is no longer reserved, so that candidates that cannot win delay an election by this time
/// at most, within the shortest `recovery_s` of the platform (12 s).
const RESERVATION_PERIOD: Duration = Duration::from_secs(8);
/// Number of times that the range of the election timeouts is doubled after refusals: up to 3.2 s with the default timeouts.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Interval at which a candidate that waits for votes checks whether another replica leads by now.
const CANDIDATE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Why a replica campaigns.
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

/// How a campaign ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CampaignOutcome {
    /// A quorum granted it.
    Won,
    /// No quorum granted it, and some voters refused.
    Refused,
    /// No quorum replied, or a leader or a newer term appeared.
    Ended,
}

/// Support of a replica for a candidate: meanwhile it neither campaigns itself nor grants pre-votes to others.
///
/// Votes are synced, and a sync may take longer than the election timeouts. Without reservations the others would campaign while a
/// candidate syncs its own vote, each with a vote of its own in the same term, and nobody would win.
#[derive(Clone, Copy, Debug)]
pub struct Reservation {
    candidate_id: u64,
    /// Last entry of the candidate. One with a longer log takes the support over, because only it may be able to win.
    last: LogPosition,
    until: Instant,
}

impl State {
    /// Reserves the support of this replica for a candidate; returns false while it is reserved for another one whose log is as long.
    fn reserve(&mut self, candidate_id: u64, last: LogPosition, time: Duration) -> bool {
        let is_taken = self.reservation.is_some_and(|r| {
            r.candidate_id != candidate_id && r.until > Instant::now() && r.last >= last
        });
        if !is_taken {
            self.reservation =
                Some(Reservation { candidate_id, last, until: Instant::now() + time });
        }
        !is_taken
    }

    fn is_reserved_for_other(&self, candidate_id: u64) -> bool {
        let other = self.reservation.filter(|r| r.candidate_id != candidate_id);
        other.is_some_and(|r| r.until > Instant::now())
    }
}

impl Log {
    /// Starts an election when no message from a leader arrives within a random timeout.
    pub(crate) async fn election_loop(&self) {
        // Refused campaigns in a row: several replicas campaign at the same time, so that their timeouts have to differ more.
        let mut refused = 0;
        while !self.inner.token.is_cancelled() {
            let mut timeout = self.random_timeout(refused);
            let started = Instant::now();
            loop {
                let (since, leader) = {
                    let state = self.inner.state.borrow();
                    (state.last_seen.unwrap_or(started).max(started), state.is_leader())
                };
                if refused > 0 && (leader || since > started) {
                    refused = 0;
                    timeout = self.random_timeout(refused);
                }
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
                    CampaignOutcome::Refused => (refused + 1).min(MAX_BACKOFF_DOUBLINGS),
                    CampaignOutcome::Won | CampaignOutcome::Ended => 0,
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
    pub(crate) async fn campaign(&self, campaign: Campaign) -> CampaignOutcome {
        let leadership_transfer = campaign == Campaign::LeadershipTransfer;
        let (id, term, last) = {
            let state = self.inner.state.borrow();
            (state.id(), state.term(), state.last())
        };
        if !leadership_transfer {
            if !self.reserve_support(id, last) {
                return CampaignOutcome::Refused;
            }
            let outcome = self.collect_votes(term + 1, Round::PreVote).await;
            if outcome != CampaignOutcome::Won {
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
                return CampaignOutcome::Ended;
            }
            state.role = Role::Candidate;
        }
        let campaign = self.inner.token.child_token();
        let _campaign = campaign.clone().drop_guard();
        let this = self.clone();
        runtime::spawn(async move { this.renew_support(term + 1, campaign).await }).detach();
        let outcome = self.request_votes(term + 1, leadership_transfer).await;
        self.release_own_support();
        outcome
    }

    /// Records the own vote of a term, and becomes the leader if a quorum grants its votes, too.
    async fn request_votes(&self, term: u64, leadership_transfer: bool) -> CampaignOutcome {
        let vote = VoteRecord { term, voted_for: Some(self.inner.state.borrow().id()) };
        if !self.record_vote(vote).await {
            return CampaignOutcome::Ended;
        }
        self.inner.state.borrow_mut().role = Role::Candidate;
        event!(info, "election_started", term = term);
        let outcome = self.collect_votes(term, Round::Vote { leadership_transfer }).await;
        if outcome == CampaignOutcome::Won {
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

    /// Reserves the support of this replica for a candidate, or only tells whether it is free if there has been no leader for long.
    fn reserve_support(&self, candidate_id: u64, last: LogPosition) -> bool {
        let is_long = self.time_without_leader() > RESERVATION_PERIOD;
        let time = if is_long { Duration::ZERO } else { self.inner.settings.election_min };
        self.inner.state.borrow_mut().reserve(candidate_id, last, time)
    }

    /// Renews the support of the other voters while the own vote and theirs are synced, by repeated pre-votes.
    async fn renew_support(&self, term: u64, campaign: CancellationToken) {
        let heartbeat = self.inner.settings.heartbeat;
        while !campaign.is_cancelled() && !self.inner.shutting_down.get() {
            let (id, last) = {
                let state = self.inner.state.borrow();
                let own_sync = state.vote_sync.started.map(|started| started.elapsed());
                let is_slow = own_sync.is_some_and(|sync| sync > LONGEST_OWN_SYNC);
                if state.term() > term || state.is_leader() || is_slow {
                    return;
                }
                (state.id(), state.last())
            };
            if !self.reserve_support(id, last) {
                return;
            }
            for (client, vote) in self.vote_requests(term, true, false) {
                // A shorter timeout could close the connection on which the vote itself is awaited.
                let call = async move { drop(client.call(Body::Vote(vote), VOTE_TIMEOUT).await) };
                runtime::spawn(call).detach();
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
    async fn collect_votes(&self, term: u64, round: Round) -> CampaignOutcome {
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
        let heartbeat = self.inner.settings.heartbeat;
        let call = async |(client, vote): (rpc::Client, inner::Vote)| loop {
            let reply = client.call(Body::Vote(vote), limit).await;
            // A voter that starts meanwhile, or whose connection is replaced, is asked again; its vote may win.
            if pre_vote || reply.is_ok() {
                return reply;
            }
            time::sleep(heartbeat).await;
        };
        let mut replies: FuturesUnordered<_> = requests.map(call).collect();
        let started = Instant::now();
        while !rules::is_elected(&voters, &granted) {
            let lost = if refused > 0 { CampaignOutcome::Refused } else { CampaignOutcome::Ended };
            let left = limit.saturating_sub(started.elapsed());
            if !pre_vote && !self.is_candidate(term) {
                return CampaignOutcome::Ended;
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
                return CampaignOutcome::Ended;
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
        CampaignOutcome::Won
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
        let candidate = LogPosition { term: vote.last_term, index: vote.last_index };
        // A replica with a live leader refuses, so that a replica that reconnects does not depose the leader.
        let granted = if !is_target {
            false
        } else if vote.pre_vote && is_granted {
            // The candidate still waits for the votes of others.
            self.reserve_support(vote.candidate_id, candidate)
        } else if live && !vote.hand_over {
            false
        } else if vote.pre_vote {
            self.would_grant(&vote)
                && !self.is_recording_vote()
                && self.reserve_support(vote.candidate_id, candidate)
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
