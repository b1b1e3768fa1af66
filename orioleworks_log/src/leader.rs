//! Tasks of a leader: first entry of the term, quorum check, tasks for each member, leadership transfer.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use compio::{runtime, time};
use orioleworks_daemon::event;
use orioleworks_proto::inner::{self, command::Kind, frame::Body};

use crate::{
    node::Log,
    replication::BatchSize,
    state::{Progress, Role},
};

/// Longest wait for the successor's election when a leader shuts down.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1000);

impl Log {
    /// Becomes the leader of the term in which a quorum granted its votes.
    pub(crate) fn become_leader(&self) {
        let term = {
            let mut state = self.inner.state.borrow_mut();
            state.role = Role::Leader;
            state.leader_id = Some(state.id());
            state.term_start = state.last().index + 1;
            state.progress.clear();
            state.leader_since = Some(Instant::now());
            state.vote_round = None;
            state.term()
        };
        event!(info, "leader_elected", name = self.inner.settings.name, term = term);
        let command =
            inner::Command { expected_revision: None, kind: Some(Kind::Noop(inner::Noop {})) };
        // No proposer waits for the first entry of a term.
        drop(self.append_own("", command));
        let this = self.clone();
        runtime::spawn(async move { this.leader_loop(term).await }).detach();
    }

    async fn leader_loop(&self, term: u64) {
        let mut served = HashSet::new();
        while self.inner.state.borrow().leads(term) && !self.inner.token.is_cancelled() {
            self.start_member_tasks(term, &mut served);
            if !self.inner.state.borrow().quorum_contacted(self.inner.settings.election_max) {
                return self.become_follower("no_quorum");
            }
            if self.removal_committed() {
                return self.become_follower("removed");
            }
            self.change_membership_if_due();
            time::sleep(self.inner.settings.heartbeat).await;
        }
    }

    /// Starts the tasks of members that have none yet; the tasks end when the member is removed or this replica
    /// stops leading the term.
    fn start_member_tasks(&self, term: u64, served: &mut HashSet<u64>) {
        let mut state = self.inner.state.borrow_mut();
        let own = state.id();
        let next_index = state.last().index + 1;
        let members = state.membership.members.clone();
        served.retain(|id| members.iter().any(|m| m.member_id == *id));
        state.progress.retain(|id, _| members.iter().any(|m| m.member_id == *id));
        for member in members.into_iter().filter(|m| m.member_id != own) {
            if !served.insert(member.member_id) {
                continue;
            }
            let progress = Progress {
                next_index,
                match_index: 0,
                sent_commit: 0,
                confirmed_at: None,
                caught_up_at: None,
                added_at: Instant::now(),
                replaced_by: None,
                last_index: 0,
                batch_size: BatchSize::default(),
                protocol: 0,
            };
            state.progress.insert(member.member_id, progress);
            let (this, m) = (self.clone(), member.clone());
            runtime::spawn(async move { this.heartbeat_loop(term, m).await }).detach();
            let this = self.clone();
            runtime::spawn(async move { this.replicate_loop(term, member).await }).detach();
        }
    }

    fn removal_committed(&self) -> bool {
        let state = self.inner.state.borrow();
        !state.is_voter() && state.commit >= state.membership_index
    }

    /// Transfers leadership to the voter with the longest synced log; used on a graceful shutdown.
    pub async fn transfer_leadership(&self) {
        self.inner.shutting_down.set(true);
        let (term, successor) = {
            let state = self.inner.state.borrow();
            if !state.is_leader() {
                return;
            }
            let voters = state.voters();
            let best = state.progress.iter().filter(|(id, _)| voters.contains(id));
            let best = best.max_by_key(|(_, progress)| progress.match_index).map(|(id, _)| *id);
            (state.term(), best.and_then(|id| state.member(id).cloned()))
        };
        let Some(successor) = successor else { return };
        let deadline = Instant::now() + TRANSFER_TIMEOUT;
        // The successor can win the election only with every entry of this leader.
        while Instant::now() < deadline && !self.has_all_entries(term, successor.member_id) {
            time::sleep(Duration::from_millis(5)).await;
        }
        let append = {
            let state = self.inner.state.borrow();
            inner::Append { hand_over: true, ..state.heartbeat(successor.member_id) }
        };
        let client = self.member_client(&successor);
        drop(client.call(Body::Append(append), TRANSFER_TIMEOUT).await);
        while Instant::now() < deadline && self.inner.state.borrow().leads(term) {
            time::sleep(Duration::from_millis(5)).await;
        }
        let transferred = !self.inner.state.borrow().leads(term);
        event!(info, "leadership_handed_over", successor = successor.name, done = transferred);
    }

    fn has_all_entries(&self, term: u64, id: u64) -> bool {
        let state = self.inner.state.borrow();
        let last = state.last().index;
        !state.leads(term) || state.progress.get(&id).is_some_and(|p| p.match_index >= last)
    }
}
