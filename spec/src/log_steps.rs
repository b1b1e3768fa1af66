//! Steps of the log specification.

use orioleworks_rules::log::{self as rules, LogPosition, VoteRecord};

use crate::{
    log::{Broken, Log, Step},
    log_state::{Entry, ID_COUNT, NO_VOTE, Replica, Role, State},
};

fn ids(set: u8) -> Vec<u64> {
    (0..ID_COUNT as u64).filter(|id| set & (1 << id) != 0).collect()
}

impl Log {
    fn is_variant(&self, broken: Broken) -> bool {
        self.broken == broken
    }

    fn initial_voters(&self) -> u8 {
        (1 << self.bound.voters) - 1
    }

    /// Voters of the newest membership entry; it applies as soon as it is in the log, committed or not.
    fn voters(&self, r: &Replica) -> u8 {
        let newest = r.entries().iter().rev().find(|e| e.voters != 0);
        newest.map_or(self.initial_voters(), |e| e.voters)
    }

    /// Returns the acknowledged index, or `None` if the append is refused because of its term.
    fn handle_append(&self, r: &mut Replica, term: u8, sent: &[Entry]) -> Option<u8> {
        if !rules::accepts_append(r.term.into(), term.into()) {
            return None;
        }
        r.step_down(term);
        let matching = sent.iter().zip(r.entries()).take_while(|(a, b)| a == b).count();
        let conflict = matching < sent.len() && matching < r.len as usize;
        if conflict || self.is_variant(Broken::LateAppendTruncates) {
            r.truncate(matching as u8);
        }
        for entry in &sent[matching..] {
            r.push(*entry, !self.is_variant(Broken::ReplyBeforeSync));
        }
        Some(sent.len() as u8)
    }

    pub(crate) fn election_steps(&self, s: &State, out: &mut Vec<(Step, State)>) {
        for (i, r) in s.replicas.iter().enumerate() {
            let is_voter = self.voters(r) & (1 << i) != 0;
            let may_start_election = matches!(r.role, Role::Follower | Role::Candidate) && is_voter;
            let highest_term = s.replicas.iter().map(|r| r.term).max().unwrap_or(0);
            let term = if self.bound.concurrent_candidates { r.term } else { highest_term } + 1;
            if may_start_election && term <= self.bound.terms {
                let mut n = *s;
                let c = &mut n.replicas[i];
                c.step_down(term);
                (c.role, c.voted_for, c.votes) = (Role::Candidate, i as u8, 1 << i);
                out.push((Step::StartElection(i), n));
            }
            if r.role != Role::Candidate {
                continue;
            }
            for (j, v) in s.replicas.iter().enumerate().filter(|(j, _)| *j != i) {
                if v.role == Role::Absent || r.votes & (1 << j) != 0 {
                    continue;
                }
                self.vote_steps(s, i, j, out);
            }
            if rules::is_elected(&ids(self.voters(r)), &ids(r.votes)) {
                let mut n = *s;
                let c = &mut n.replicas[i];
                (c.role, c.votes, c.matched[i]) = (Role::Leader, 0, c.synced);
                if std::mem::replace(&mut n.leaders[r.term as usize], true) {
                    n.fault = Some("one leader per term");
                }
                out.push((Step::BecomeLeader(i), n));
            }
        }
    }

    fn vote_steps(&self, s: &State, i: usize, j: usize, out: &mut Vec<(Step, State)>) {
        let (c, v) = (&s.replicas[i], &s.replicas[j]);
        let vote =
            Some(v.voted_for).filter(|id| *id != NO_VOTE && !self.is_variant(Broken::VoteTwice));
        let record = VoteRecord { term: v.term.into(), voted_for: vote.map(u64::from) };
        let voter_position = if self.is_variant(Broken::VoteIgnoresLog) {
            LogPosition::default()
        } else {
            v.position()
        };
        let granted =
            rules::may_grant_vote(record, voter_position, c.term.into(), i as u64, c.position());
        for reply_lost in
            [false, true].into_iter().filter(|lost| !lost || self.bound.concurrent_candidates)
        {
            let mut n = *s;
            if c.term > v.term || granted {
                n.replicas[j].step_down(c.term);
            }
            if granted {
                n.replicas[j].voted_for = i as u8;
                n.replicas[i].votes |= if reply_lost { 0 } else { 1 << j };
            }
            if n != *s {
                out.push((Step::Vote { voter: j, candidate: i, reply_lost }, n));
            }
        }
    }

    pub(crate) fn leader_steps(&self, s: &State, i: usize, out: &mut Vec<(Step, State)>) {
        let l = &s.replicas[i];
        let sync = !self.is_variant(Broken::ReplyBeforeSync);
        if l.len < self.bound.entries {
            let mut write = |step, entry| {
                let mut n = *s;
                n.replicas[i].push(entry, sync);
                n.replicas[i].matched[i] = n.replicas[i].len;
                out.push((step, n));
            };
            write(Step::Write(i), Entry { term: l.term, ..Entry::default() });
            if self.bound.membership {
                for entry in self.membership_changes(s, l) {
                    write(Step::ChangeVoters { leader: i, voters: entry.voters }, entry);
                }
            }
        }
        for (j, r) in s.replicas.iter().enumerate().filter(|(j, _)| *j != i) {
            if r.role == Role::Absent {
                continue;
            }
            for reply_lost in
                [false, true].into_iter().filter(|lost| !lost || self.bound.concurrent_candidates)
            {
                let mut n = *s;
                let acknowledged_index =
                    self.handle_append(&mut n.replicas[j], l.term, l.entries());
                if let Some(index) = acknowledged_index.filter(|_| !reply_lost) {
                    let leader = &mut n.replicas[i];
                    leader.matched[j] = index.max(leader.matched[j]);
                    leader.committed_when_sent[j] = l.commit + 1;
                }
                if n != *s {
                    out.push((Step::Append { leader: i, to: j, reply_lost }, n));
                }
            }
        }
        if s.held_count < self.bound.delayed_appends && l.len > 0 {
            let mut n = *s;
            (n.delayed_append, n.held_count) =
                (Some((l.term, i as u8, l.log, l.len)), n.held_count + 1);
            out.push((Step::HoldAppend(i), n));
        }
        self.commit_step(s, i, out);
    }

    /// Membership changes that the leader may propose.
    fn membership_changes(&self, s: &State, l: &Replica) -> Vec<Entry> {
        let newest = l.entries().iter().rposition(|e| e.voters != 0);
        let in_flight = newest.is_some_and(|at| at >= l.commit as usize);
        let own_term_committed = l.commit > 0 && l.log[l.commit as usize - 1].term == l.term;
        let own_term_committed =
            own_term_committed || self.is_variant(Broken::ChangeBeforeOwnCommit);
        if !rules::may_change_membership(
            own_term_committed,
            in_flight && !self.is_variant(Broken::TwoChanges),
        ) {
            return Vec::new();
        }
        let old = self.voters(l);
        let mut changes = Vec::new();
        for (j, r) in s.replicas.iter().enumerate() {
            let voters = old ^ (1 << j);
            let adds = old & (1 << j) == 0;
            let absent = r.role == Role::Absent;
            let committed = l.committed_when_sent[j].checked_sub(1);
            let caught_up = |commit: u8| rules::may_promote(l.matched[j].into(), commit.into());
            let ready = self.is_variant(Broken::EarlyPromotion) || committed.is_some_and(caught_up);
            // Removing a live voter is explored only without wipes, which bounds the number of states.
            let allowed = if adds { !absent && ready } else { absent || self.bound.wipes == 0 };
            if allowed && rules::is_single_step(&ids(old), &ids(voters)) {
                let promoted = if adds { j as u8 + 1 } else { 0 };
                let committed_before = committed.unwrap_or(l.commit);
                changes.push(Entry { term: l.term, voters, promoted, committed_before });
            }
        }
        changes
    }

    fn commit_step(&self, s: &State, i: usize, out: &mut Vec<(Step, State)>) {
        let l = &s.replicas[i];
        let voters = ids(self.voters(l));
        let matched: Vec<u64> = voters.iter().map(|id| l.matched[*id as usize].into()).collect();
        let index = rules::quorum_index(&matched).min(l.len.into()) as usize;
        if index <= l.commit as usize {
            return;
        }
        let entry_term = l.log[index - 1].term;
        if !rules::may_commit(entry_term.into(), l.term.into())
            && !self.is_variant(Broken::CommitOlderTerm)
        {
            return;
        }
        let mut n = *s;
        n.replicas[i].commit = index as u8;
        for at in 0..index {
            if at >= n.acknowledged_len as usize {
                n.acknowledged[at] = (l.log[at], l.term);
            } else if n.acknowledged[at].0 != l.log[at] {
                n.fault = Some("no acknowledged entry is lost or replaced");
            }
            let entry = l.log[at];
            if entry.promoted > 0 {
                let p = &s.replicas[entry.promoted as usize - 1];
                let committed_before = entry.committed_before as usize;
                if p.role != Role::Absent && p.log[..committed_before] != l.log[..committed_before]
                {
                    n.fault = Some("a promoted voter holds the committed log");
                }
            }
        }
        n.acknowledged_len = n.acknowledged_len.max(index as u8);
        out.push((Step::Commit(i), n));
    }

    pub(crate) fn fault_steps(&self, s: &State, out: &mut Vec<(Step, State)>) {
        for (i, r) in s.replicas.iter().enumerate().filter(|(_, r)| r.role != Role::Absent) {
            if r.synced < r.len {
                let mut n = *s;
                n.replicas[i].synced = r.len;
                out.push((Step::Sync(i), n));
            }
            if s.crashes < self.bound.crashes {
                let mut n = *s;
                n.replicas[i].step_down(r.term);
                n.replicas[i].truncate(r.synced);
                n.crashes += 1;
                out.push((Step::Crash(i), n));
            }
            if s.wipes < self.bound.wipes && i < self.bound.voters as usize {
                let mut n = *s;
                let fresh =
                    Replica { role: Role::Follower, voted_for: NO_VOTE, ..Replica::default() };
                n.wipes += 1;
                if self.is_variant(Broken::WipedKeepsIdentity) {
                    n.replicas[i] = fresh;
                } else if self.is_variant(Broken::WipedKeepsVote) {
                    let (term, voted_for) = (r.term, r.voted_for);
                    n.replicas[i] = Replica { term, voted_for, ..fresh };
                } else {
                    // A replica that lost its disk joins again under a new ID, as a learner.
                    n.replicas[i] = Replica::default();
                    n.replicas[self.bound.voters as usize + s.wipes as usize] = fresh;
                }
                out.push((Step::Wipe(i), n));
            }
            if let Some((term, _, log, len)) = s.delayed_append {
                let mut n = *s;
                self.handle_append(&mut n.replicas[i], term, &log[..len as usize]);
                if n != *s {
                    out.push((Step::LateAppend(i), n));
                }
            }
        }
    }
}
