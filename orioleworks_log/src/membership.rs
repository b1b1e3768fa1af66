//! Bootstrap, join, promotion and removal, one membership change at a time.

use std::time::{Duration, Instant};

use compio::time;
use indexmap::IndexSet;
use orioleworks_daemon::event;
use orioleworks_proto::{
    PROTOCOL,
    codes::ResultCode,
    inner::{self, command::Kind, frame::Body},
};
use orioleworks_rules::log::{self as rules, VoteRecord};

use crate::{
    node::Log,
    reconfiguration::{self, MemberStatus, Step},
    settings::{Replica, Settings},
    state::{State, voters},
};

/// Time between two attempts to bootstrap or join.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait for another replica's reply.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time since the last acknowledgement below which a member counts as live, in heartbeats; only a live learner is
/// promoted.
const LIVE_HEARTBEATS: u32 = 3;
/// Longest time since a learner that is promoted had everything that was committed. If the quorum needs it at once, a commit takes
/// as much longer; proposers wait for more than that.
const MAX_PROMOTION_LAG: Duration = Duration::from_secs(1);
/// Time without a message from a leader, in longest election timeouts, after which a replica asks to join again,
/// because it may have been removed.
const LEADERLESS_TIMEOUTS: u32 = 3;
/// Time without a reply from a voter, in heartbeats, after which another identity may take its name; guards against two
/// replicas of one name.
const NAME_FREE_HEARTBEATS: u32 = 6;

impl State {
    fn is_name_in_use(&self, name: &str, heartbeat: Duration) -> bool {
        let free_after = heartbeat * NAME_FREE_HEARTBEATS;
        let voters = self.membership.members.iter().filter(|m| !m.learner && m.name == name);
        voters.into_iter().any(|m| {
            let progress = self.progress.get(&m.member_id);
            let confirmed = progress.map(|p| p.confirmed_at.unwrap_or(p.added_at));
            m.member_id == self.id() || confirmed.is_some_and(|at| at.elapsed() < free_after)
        })
    }
}

impl Log {
    /// Bootstraps or joins a cluster, and joins again after this replica was removed.
    pub(crate) async fn join_loop(&self) {
        while !self.inner.token.is_cancelled() {
            let (empty, member) = {
                let state = self.inner.state.borrow();
                (state.membership.members.is_empty(), state.member(state.id()).is_some())
            };
            if empty && self.inner.settings.bootstrap && self.bootstrap_if_first().await {
                continue;
            }
            // A member that was removed while it was down gets no message from a leader, and joins again as a learner.
            // A learner that is not warm may lack the entry that made it a member, but gets the leader's heartbeats.
            let has_leader = self.has_leader();
            if (!member && !has_leader) || self.is_leaderless() {
                self.ask_to_join().await;
            }
            time::sleep(JOIN_RETRY_INTERVAL).await;
        }
    }

    /// Bootstraps the cluster with every replica that is configured to, if this is the first of them by name.
    ///
    /// All configured replicas must reply and none may have a membership: a replica that lost its disk must join the
    /// existing cluster instead of bootstrapping a second one.
    async fn bootstrap_if_first(&self) -> bool {
        let own = self.status();
        let mut initial_members = vec![self.own_member(false)];
        for replica in self.other_replicas() {
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
                initial_members.push(inner::Member {
                    member_id: reply.member_id,
                    name: reply.name,
                    address: replica.address.clone(),
                    domain: reply.domain,
                    learner: false,
                    protocol: reply.protocol,
                });
            }
        }
        self.bootstrap(inner::Membership { members: initial_members }).await
    }

    async fn bootstrap(&self, membership: inner::Membership) -> bool {
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

    fn is_leaderless(&self) -> bool {
        let silence = self.inner.settings.election_max * LEADERLESS_TIMEOUTS;
        let is_only_replica = self.inner.settings.replicas.len() <= 1;
        !is_only_replica
            && self.inner.opened_at.elapsed() > silence
            && !self.inner.state.borrow().has_live_leader(silence)
    }

    async fn ask_to_join(&self) {
        let mut asked = IndexSet::new();
        let mut queue: Vec<String> = self.other_replicas().into_iter().map(|r| r.address).collect();
        queue.extend(self.peer_addresses());
        while let Some(address) = queue.pop() {
            if address.is_empty() || !asked.insert(address.clone()) {
                continue;
            }
            let join = inner::Join { member: Some(self.own_member(true)) };
            let reply = self.client(&address).call(Body::Join(join), JOIN_TIMEOUT).await;
            let Ok(Body::JoinReply(reply)) = reply else { continue };
            if reply.code == ResultCode::Ok.number() {
                event!(info, "join_accepted", name = self.inner.settings.name, leader = address);
                return;
            }
            queue.push(reply.leader_address);
        }
    }

    /// Replicas of the settings, or those set since by [`Log::set_replicas`], without this one.
    fn other_replicas(&self) -> Vec<Replica> {
        let own = &self.inner.settings;
        let known = self.inner.replicas.borrow();
        let others = known.iter().filter(|r| r.name != own.name && r.address != own.address);
        others.cloned().collect()
    }

    /// Addresses of the other members.
    pub fn peer_addresses(&self) -> Vec<String> {
        let state = self.inner.state.borrow();
        let others = state.membership.members.iter().filter(|m| m.member_id != state.id());
        others.map(|m| m.address.clone()).collect()
    }

    /// Replaces the known replicas of the settings, which may be outdated; this replica asks them to let it join.
    pub fn set_replicas(&self, replicas: Vec<Replica>) {
        *self.inner.replicas.borrow_mut() = replicas;
    }

    /// Sets the names of replicas to remove permanently; a voter is removed only when a learner is ready to replace it.
    pub fn set_retired(&self, names: impl IntoIterator<Item = String>) {
        *self.inner.retired_names.borrow_mut() = names.into_iter().collect();
    }

    /// Membership in force, committed or not.
    pub fn membership(&self) -> inner::Membership {
        self.inner.state.borrow().membership.clone()
    }

    /// Whether the membership in force is committed.
    pub fn membership_committed(&self) -> bool {
        let state = self.inner.state.borrow();
        state.membership_index <= state.commit
    }

    fn own_member(&self, learner: bool) -> inner::Member {
        inner::Member {
            member_id: self.inner.state.borrow().id(),
            name: self.inner.settings.name.clone(),
            address: self.inner.settings.address.clone(),
            learner,
            domain: self.inner.settings.domain.clone(),
            protocol: PROTOCOL,
        }
    }

    /// Adds a new identity as a learner. An earlier identity of the replica whose disk is known to be lost is removed in the same
    /// change, because no successor has to be ready for that, and every lost voter that stays raises the quorum for the next
    /// losses.
    pub(crate) fn on_join(&self, join: inner::Join) -> inner::JoinReply {
        let reply = |code: ResultCode| inner::JoinReply {
            code: code.number(),
            leader_address: self.leader_address(),
        };
        let Some(mut member) = join.member.filter(|m| m.member_id != 0) else {
            return reply(ResultCode::BadRequest);
        };
        let heartbeat = self.inner.settings.heartbeat;
        let (membership, step) = {
            let state = self.inner.state.borrow();
            if !state.is_leader() {
                return reply(ResultCode::NotLeader);
            }
            if state.member(member.member_id).is_some() {
                return reply(ResultCode::Ok);
            }
            if self.inner.retired_names.borrow().contains(&member.name) {
                return reply(ResultCode::InvalidOrder);
            }
            if !may_change(&state) || state.is_name_in_use(&member.name, heartbeat) {
                return reply(ResultCode::MembershipBusy);
            }
            let mut membership = state.membership.clone();
            member.learner = true;
            // A learner of the same name that never became a voter is an older identity whose disk was lost.
            membership.members.retain(|m| !(m.learner && m.name == member.name));
            let before = membership.members.len();
            membership.members.retain(|m| !state.is_earlier_identity(m, &member));
            let step = match membership.members.len() < before {
                true => "lost_identity_removed",
                false => "learner_added",
            };
            membership.members.push(member);
            (membership, step)
        };
        match self.change_membership(membership, step) {
            true => reply(ResultCode::Ok),
            false => reply(ResultCode::MembershipBusy),
        }
    }

    /// Makes the next membership change if one is due and allowed, and updates the warm learners.
    pub(crate) fn change_membership_if_due(&self) {
        let due = {
            let state = self.inner.state.borrow();
            let retired = self.inner.retired_names.borrow();
            let members = member_statuses(&state, &self.inner.settings, &retired);
            let due = match may_change(&state) {
                true => next_step(&state, &members, self.bounds(), &retired),
                false => None,
            };
            drop(state);
            self.update_warm_learners(&members);
            self.report_lost_voters(&members);
            self.report_tolerance();
            due
        };
        if let Some((membership, event)) = due {
            fail::fail_point!("log.before_promote");
            self.change_membership(membership, event);
        }
    }

    fn bounds(&self) -> reconfiguration::Bounds {
        let settings = &self.inner.settings;
        reconfiguration::Bounds {
            voters: settings.max_voters,
            spread: settings.spread_voters,
            losses: settings.tolerated_losses,
        }
    }

    fn update_warm_learners(&self, members: &[MemberStatus]) {
        let warm = reconfiguration::warm_learners(members, self.bounds());
        let mut state = self.inner.state.borrow_mut();
        if state.warm_learners != warm {
            state.warm_learners = warm;
            drop(state);
            self.inner.changed.notify();
        }
    }

    /// Tells why lost voters are not replaced yet.
    fn report_lost_voters(&self, members: &[MemberStatus]) {
        const LOG_INTERVAL: Duration = Duration::from_secs(2);
        let lost: Vec<&MemberStatus> = members.iter().filter(|m| !m.learner && m.lost).collect();
        metrics::gauge!("orioleworks_log_lost_voters").set(lost.len() as f64);
        let mut state = self.inner.state.borrow_mut();
        let is_quiet = state.unreplaced_logged_at.is_some_and(|at| at.elapsed() < LOG_INTERVAL);
        if lost.is_empty() || is_quiet {
            return;
        }
        state.unreplaced_logged_at = Some(Instant::now());
        let names: Vec<&str> = lost.iter().map(|m| &*m.name).collect();
        let describe = |m: &MemberStatus| {
            let lag_ms = m.lag.map_or_else(|| "unknown".into(), |lag| lag.as_millis().to_string());
            let warm = state.warm_learners.contains(&m.id);
            format!("{}/warm:{warm}/synced:{}/lag_ms:{lag_ms}", m.name, m.synced)
        };
        let learners: Vec<String> =
            members.iter().filter(|m| m.learner && m.live).map(describe).collect();
        event!(
            warn,
            "voters_lost",
            voters = names.join(","),
            commit = state.commit,
            learners = learners.join(","),
        );
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
        // The change takes effect when it is appended; no proposer waits for its commit.
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

/// Status of each member as this leader knows it.
fn member_statuses(
    state: &State,
    settings: &Settings,
    retired: &IndexSet<String>,
) -> Vec<MemberStatus> {
    let longest_silence = settings.heartbeat * LIVE_HEARTBEATS;
    let status = |m: &inner::Member| {
        let progress = state.progress.get(&m.member_id);
        let own = m.member_id == state.id();
        let silence = progress.map(|p| p.confirmed_at.unwrap_or(p.added_at).elapsed());
        let confirmed_ago = progress.and_then(|p| p.confirmed_at).map(|at| at.elapsed());
        let synced = progress.map_or(0, |p| p.match_index);
        let lag = match rules::may_promote(synced, state.commit) {
            true => Some(Duration::ZERO),
            false => progress.and_then(|p| p.caught_up_at).map(|at| at.elapsed()),
        };
        MemberStatus {
            id: m.member_id,
            name: m.name.clone(),
            domain: m.domain.clone(),
            learner: m.learner,
            leads: own,
            gone: state.has_later_identity(m),
            live: own || confirmed_ago.is_some_and(|silence| silence < longest_silence),
            lost: silence
                .zip(settings.replace_after)
                .is_some_and(|(silence, after)| silence > after),
            synced,
            lag,
            caught_up: synced > 0 && lag.is_some_and(|lag| lag <= MAX_PROMOTION_LAG),
            name_in_use: state.is_name_in_use(&m.name, settings.heartbeat),
            retired: retired.contains(&m.name),
        }
    };
    state.membership.members.iter().map(status).collect()
}

/// Membership after the next step, and the name of the step.
fn next_step(
    state: &State,
    members: &[MemberStatus],
    bounds: reconfiguration::Bounds,
    retired: &IndexSet<String>,
) -> Option<(inner::Membership, &'static str)> {
    let is_removed = |name: &String| !members.iter().any(|m| m.name == *name);
    match reconfiguration::next_step(members, bounds, retired.iter().any(is_removed))? {
        Step::Remove(id, reason) => Some((without_member(&state.membership, id), reason)),
        Step::Promote(id) => Some((with_promoted(&state.membership, id), "learner_promoted")),
    }
}

fn with_promoted(membership: &inner::Membership, id: u64) -> inner::Membership {
    let mut membership = membership.clone();
    for member in membership.members.iter_mut().filter(|m| m.member_id == id) {
        member.learner = false;
    }
    membership
}

fn without_member(membership: &inner::Membership, id: u64) -> inner::Membership {
    let mut membership = membership.clone();
    membership.members.retain(|m| m.member_id != id);
    membership
}
