//! Founding, joining, promotion and removal; one step at a time.

use std::time::Duration;

use compio::time;
use orioleworks_daemon::event;
use orioleworks_proto::{
    codes::ResultCode,
    inner::{self, command::Kind, frame::Body},
};
use orioleworks_rules::log::{self as rules, VoteRecord};

use crate::{
    node::Log,
    settings::Replica,
    state::{State, voters},
};

/// Pause between two attempts to found or join.
const JOIN_PAUSE: Duration = Duration::from_millis(200);
/// Longest wait for another replica's answer.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1000);

/// Longest silence of a learner that is promoted, in heartbeats.
const LEARNER_LIVE_HEARTBEATS: u32 = 3;
/// Silence of a voter, in heartbeats, after which another identity may take its name; guards against two replicas of
/// one name.
const NAME_FREE_HEARTBEATS: u32 = 6;

impl State {
    fn is_name_in_use(&self, name: &str, heartbeat: Duration) -> bool {
        let free_after = heartbeat * NAME_FREE_HEARTBEATS;
        let voters = self.membership.members.iter().filter(|m| !m.learner && m.name == name);
        voters.into_iter().any(|m| {
            let progress = self.progress.get(&m.member_id);
            let confirmed = progress.map(|p| p.confirmed.unwrap_or(p.added));
            m.member_id == self.id() || confirmed.is_some_and(|at| at.elapsed() < free_after)
        })
    }
}

impl Log {
    /// Founds a cluster or joins one, until this replica is a voter.
    pub(crate) async fn join_loop(&self) {
        while !self.inner.token.is_cancelled() {
            let (empty, member) = {
                let state = self.inner.state.borrow();
                (state.membership.members.is_empty(), state.member(state.id()).is_some())
            };
            if empty && self.inner.settings.bootstrap && self.found_if_first().await {
                continue;
            }
            if !member {
                self.ask_to_join().await;
            }
            time::sleep(JOIN_PAUSE).await;
        }
    }

    /// Founds the cluster with every replica that may, if this is the first of them by name.
    ///
    /// All configured replicas must answer and none may have a membership: a founder that lost its disk must join the
    /// cluster that exists instead of founding a second one.
    async fn found_if_first(&self) -> bool {
        let own = self.status();
        let mut founders = vec![self.own_member(false)];
        for replica in self.others() {
            let body = Body::Status(inner::Status { current: false });
            let client = self.client(&replica.address);
            let Ok(Body::StatusReply(reply)) = client.call(body, JOIN_TIMEOUT).await else {
                return false;
            };
            if reply.membership.as_ref().is_some_and(|m| !m.members.is_empty()) {
                return false;
            }
            if reply.bootstrap {
                if reply.name <= own.name {
                    return false;
                }
                founders.push(inner::Member {
                    member_id: reply.member_id,
                    name: reply.name,
                    address: replica.address.clone(),
                    domain: reply.domain,
                    learner: false,
                });
            }
        }
        self.found(inner::Membership { members: founders }).await
    }

    async fn found(&self, membership: inner::Membership) -> bool {
        let id = self.inner.state.borrow().id();
        if !self.record_vote(VoteRecord { term: 1, voted_for: Some(id) }).await {
            return false;
        }
        let mut state = self.inner.state.borrow_mut();
        if !state.membership.members.is_empty() || state.last().index > 0 || state.term() != 1 {
            return false;
        }
        let names: Vec<String> = membership.members.iter().map(describe).collect();
        event!(info, "cluster_founded", members = names.join(","));
        let command =
            inner::Command { expected_revision: None, kind: Some(Kind::Membership(membership)) };
        state.push(inner::LogEntry {
            index: 1,
            term: 1,
            now_ms: orioleworks_daemon::clock::unix_ms(),
            order_id: String::new(),
            command: Some(command),
        });
        drop(state);
        self.inner.changed.notify();
        true
    }

    async fn ask_to_join(&self) {
        for replica in self.others() {
            let join = inner::Join { member: Some(self.own_member(true)) };
            let reply = self.client(&replica.address).call(Body::Join(join), JOIN_TIMEOUT).await;
            if let Ok(Body::JoinReply(reply)) = reply
                && reply.code == ResultCode::Ok.number()
            {
                event!(
                    info,
                    "join_accepted",
                    name = self.inner.settings.name,
                    leader = replica.name
                );
                return;
            }
        }
    }

    fn others(&self) -> impl Iterator<Item = &Replica> {
        self.inner.settings.replicas.iter().filter(|r| r.name != self.inner.settings.name)
    }

    fn own_member(&self, learner: bool) -> inner::Member {
        inner::Member {
            member_id: self.inner.state.borrow().id(),
            name: self.inner.settings.name.clone(),
            address: self.inner.settings.address.clone(),
            learner,
            domain: self.inner.settings.domain.clone(),
        }
    }

    /// Takes a new identity in as a learner.
    pub(crate) fn on_join(&self, join: inner::Join) -> inner::JoinReply {
        let reply = |code: ResultCode| inner::JoinReply {
            code: code.number(),
            leader_address: self.leader_address(),
        };
        let Some(mut member) = join.member.filter(|m| m.member_id != 0) else {
            return reply(ResultCode::BadRequest);
        };
        let heartbeat = self.inner.settings.heartbeat;
        let membership = {
            let state = self.inner.state.borrow();
            if !state.is_leader() {
                return reply(ResultCode::NotLeader);
            }
            if state.member(member.member_id).is_some() {
                return reply(ResultCode::Ok);
            }
            if !may_change(&state) || state.is_name_in_use(&member.name, heartbeat) {
                return reply(ResultCode::MembershipBusy);
            }
            let mut membership = state.membership.clone();
            member.learner = true;
            // A learner of the same name that never became a voter is an older lost identity.
            membership.members.retain(|m| !(m.learner && m.name == member.name));
            membership.members.push(member);
            membership
        };
        match self.change_membership(membership, "learner_added") {
            true => reply(ResultCode::Ok),
            false => reply(ResultCode::MembershipBusy),
        }
    }

    /// Removes the lost identity that a caught-up learner replaces, then promotes the learner.
    pub(crate) fn change_membership_if_due(&self) {
        let heartbeat = self.inner.settings.heartbeat;
        let due = {
            let state = self.inner.state.borrow();
            if may_change(&state) { next_step(&state, heartbeat) } else { None }
        };
        if let Some((membership, event)) = due {
            fail::fail_point!("log.before_promote");
            self.change_membership(membership, event);
        }
    }

    fn change_membership(&self, membership: inner::Membership, event: &str) -> bool {
        {
            let state = self.inner.state.borrow();
            if !may_change(&state) || !rules::is_single_step(&state.voters(), &voters(&membership))
            {
                return false;
            }
        }
        let names: Vec<String> = membership.members.iter().map(describe).collect();
        event!(info, "membership_changed", step = event, members = names.join(","));
        let command =
            inner::Command { expected_revision: None, kind: Some(Kind::Membership(membership)) };
        // The change is in force when appended; nobody waits for its commit.
        drop(self.append_own("", command));
        true
    }
}

fn describe(member: &inner::Member) -> String {
    let role = if member.learner { "learner" } else { "voter" };
    format!("{}/{:016x}/{role}", member.name, member.member_id)
}

fn may_change(state: &State) -> bool {
    let in_flight = state.membership_index > state.commit;
    rules::may_change_membership(state.committed_own_term(), in_flight)
}

/// Next single step for a learner that could be promoted.
///
/// A lost identity of its name goes first: a promotion beside it would raise the quorum of three replicas to three of
/// four, so that the loss of the repaired replica during its repair would stop the cluster for good.
fn next_step(state: &State, heartbeat: Duration) -> Option<(inner::Membership, &'static str)> {
    let longest_silence = heartbeat * LEARNER_LIVE_HEARTBEATS;
    let ready = state.membership.members.iter().find(|m| {
        let Some(progress) = state.progress.get(&m.member_id) else { return false };
        let synced = progress.matched;
        // A learner that is lost just now would only raise the quorum.
        let live = progress.confirmed.is_some_and(|at| at.elapsed() < longest_silence);
        m.learner && live && synced > 0 && rules::may_promote(synced, state.commit)
    })?;
    if state.is_name_in_use(&ready.name, heartbeat) {
        return None;
    }
    let (id, name) = (ready.member_id, ready.name.clone());
    let mut membership = state.membership.clone();
    let lost = membership.members.iter().position(|m| !m.learner && m.name == name);
    if let Some(lost) = lost {
        membership.members.remove(lost);
        return Some((membership, "lost_identity_removed"));
    }
    for member in membership.members.iter_mut().filter(|m| m.member_id == id) {
        member.learner = false;
    }
    Some((membership, "learner_promoted"))
}
