//! Chooses the next single membership change from what the leader knows of the members.
//!
//! No step is taken after which the live voters could not commit. If both orders are possible, a lost voter is removed
//! before the learner that replaces it is promoted. Promoting first would raise the quorum of three replicas to three
//! of four, so that the loss of the new voter during the repair would stop the cluster permanently. A retired voter still
//! holds everything, so that it stays until its successor votes if fewer losses than promised would be tolerated without it:
//! removing it first would leave two of three replicas, of which none may be lost.

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    time::Duration,
};

use indexmap::IndexMap;
use orioleworks_rules::log as rules;

/// Learners that are kept warm beside those that are needed now: two, because one may be in a domain that already has its
/// maximum of voters.
const SPARE_LEARNERS: usize = 2;

/// Status of a member as the leader knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberStatus {
    /// Member ID.
    pub id: u64,
    /// Name of the replica.
    pub name: String,
    /// Failure domain of the replica.
    pub domain: String,
    /// Whether it is a learner.
    pub learner: bool,
    /// Whether it is the leader itself.
    pub leads: bool,
    /// Whether a later identity of the same replica is a member, so that its own disk is known to be lost.
    pub gone: bool,
    /// Whether it acknowledged a recent heartbeat.
    pub live: bool,
    /// Whether it has not replied for so long that another replica may replace it.
    pub lost: bool,
    /// Last entry that it is known to have synced.
    pub synced: u64,
    /// Time since it had synced everything that was committed; `None` if it never had.
    pub lag: Option<Duration>,
    /// Whether it has synced everything that is committed, or had a short time ago.
    pub caught_up: bool,
    /// Whether its name is in use by a voter that replied recently, so that no other identity may take it.
    pub name_in_use: bool,
    /// Whether it is to be removed permanently.
    pub retired: bool,
}

/// Bounds on the voters.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Largest number of voters.
    pub voters: usize,
    /// Whether voters are spread so that the loss of a failure domain leaves a quorum.
    pub spread: bool,
    /// Losses at the same time that are to be tolerated.
    pub losses: usize,
}

/// Voters that a cluster has once every replica that may vote has caught up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Number of voters.
    pub voters: usize,
    /// Largest number of them in one failure domain.
    pub per_domain: usize,
    /// Whether the loss of any failure domain leaves a quorum of them.
    pub spread: bool,
}

/// Most voters that the members allow: as many as the bounds, or fewer, so that the loss of a failure domain leaves a quorum. Four
/// voters of which two are in one domain tolerate less than three in three domains.
pub fn target(members: &[MemberStatus], bounds: Bounds) -> Target {
    if !bounds.spread {
        return Target { voters: bounds.voters, per_domain: usize::MAX, spread: false };
    }
    // A voter that lost its disk and its next identity have the same name.
    let mut names: IndexMap<&str, HashSet<&str>> = IndexMap::new();
    for m in members.iter().filter(|m| !m.retired) {
        names.entry(&*m.domain).or_default().insert(&*m.name);
    }
    let largest_minority = |voters: usize| voters - rules::quorum(voters);
    let can_be_spread = |voters: usize| {
        let per_domain = largest_minority(voters);
        names.values().map(|names| names.len().min(per_domain)).sum::<usize>() >= voters
    };
    // With less than three domains, none may be lost.
    let most = (1..=bounds.voters).rev().find(|voters| can_be_spread(*voters));
    let voters = most.unwrap_or(bounds.voters);
    Target { voters, per_domain: largest_minority(voters), spread: most.is_some() }
}

/// A change of the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Removes a member, with the name of the step for the event.
    Remove(u64, &'static str),
    /// Makes a learner a voter.
    Promote(u64),
}

/// Next step, if one is due and safe. With `retired_removed`, a retired voter has already been removed, and a replica
/// of any failure domain may replace it.
pub fn next_step(members: &[MemberStatus], bounds: Bounds, retired_removed: bool) -> Option<Step> {
    if let Some(learner) = members.iter().find(|m| m.learner && m.retired) {
        return Some(Step::Remove(learner.id, "retired_learner_removed"));
    }
    if let Some(gone) = members.iter().find(|m| !m.learner && m.gone && !m.name_in_use) {
        return Some(Step::Remove(gone.id, "lost_identity_removed"));
    }
    let voters = || members.iter().filter(|m| !m.learner);
    let target = target(members, bounds);
    let mut ready: Vec<&MemberStatus> =
        members.iter().filter(|m| m.learner && m.live && m.caught_up).collect();
    // The domain with the fewest voters that stay comes first.
    ready.sort_by_key(|m| voters().filter(|v| v.domain == m.domain && !v.retired).count());
    // One that is not live is removed first, because the others tolerate no loss less without it.
    let retired = voters().filter(|m| m.retired).min_by_key(|m| m.live);
    for ready in ready {
        let same_name = voters().find(|m| m.name == ready.name);
        if same_name.is_some_and(|m| m.name_in_use) {
            continue;
        }
        let count = voters().count();
        let in_domain = voters().filter(|m| m.domain == ready.domain).count();
        let full = in_domain >= target.per_domain;
        // Without a retired voter the rest may be too few domains to spread over.
        let has_room = !full || (retired_removed && !target.spread);
        let has_vacancy = count < target.voters && has_room;
        let lost = voters().find(|m| m.lost && (!full || m.domain == ready.domain));
        let successor = Step::Promote(ready.id);
        let mut steps = Vec::new();
        if let Some(old) = same_name {
            steps.push(Step::Remove(old.id, "lost_identity_removed"));
        } else if let Some(old) = retired {
            let removal = Step::Remove(old.id, "retired_voter_removed");
            let is_spare = can_be_spared(members, old, bounds);
            steps.push(if is_spare { removal } else { successor });
        } else if has_vacancy {
            steps.push(successor);
        } else if let Some(old) = lost {
            steps.push(Step::Remove(old.id, "silent_voter_removed"));
        }
        if let Some(step) = steps.into_iter().find(|step| keeps_quorum(members, *step)) {
            return Some(step);
        }
    }
    let is_spare = |m: &&MemberStatus| can_be_spared(members, m, bounds);
    if let Some(retired) = retired {
        return is_spare(&retired).then_some(Step::Remove(retired.id, "retired_voter_removed"));
    }
    if let Some(surplus) = surplus_voter(members, target).filter(is_spare) {
        return Some(Step::Remove(surplus.id, "surplus_voter_removed"));
    }
    // Without any margin, lost voters leave the quorum although no successor is ready, if that gives a margin.
    let with_lost = tolerated_losses(voters())?;
    let without_lost = tolerated_losses(voters().filter(|m| !m.lost))?;
    let lost = voters().find(|m| m.lost && !m.live && with_lost == 0 && without_lost > 0)?;
    Some(Step::Remove(lost.id, "silent_voter_removed"))
}

/// Whether as many losses as promised are tolerated without a voter, or as many as with it.
fn can_be_spared(members: &[MemberStatus], voter: &MemberStatus, bounds: Bounds) -> bool {
    let voters = || members.iter().filter(|m| !m.learner);
    let needed = tolerated_losses(voters()).map(|now| now.min(bounds.losses));
    needed.is_some() && tolerated_losses(voters().filter(|m| m.id != voter.id)) >= needed
}

/// Voter to remove if there are more than can be spread over the failure domains, as after a retirement: one of the domain with the
/// most voters, one that is not live before one that is, and the leader last.
fn surplus_voter(members: &[MemberStatus], target: Target) -> Option<&MemberStatus> {
    let voters = || members.iter().filter(|m| !m.learner);
    let in_domain = |m: &MemberStatus| voters().filter(|v| v.domain == m.domain).count();
    let is_surplus = voters().count() > target.voters;
    voters().filter(|_| is_surplus).max_by_key(|m| (in_domain(m), !m.live, !m.leads))
}

/// Learners that receive every entry because they may soon have to replace a voter; the others use no memory, disk or
/// network until then.
pub fn warm_learners(members: &[MemberStatus], bounds: Bounds) -> HashSet<u64> {
    let voters = || members.iter().filter(|m| !m.learner);
    let healthy = voters().filter(|m| !m.lost && !m.retired).count();
    let target = target(members, bounds).voters;
    let missing = target.saturating_sub(healthy);
    // Then there is time to bring a cold learner up to date, and each warm one costs as much as a voter.
    let is_ample = target > 4 * bounds.losses && tolerated_losses(voters()) >= Some(bounds.losses);
    let mut in_domain: HashMap<&str, usize> = HashMap::new();
    for voter in voters() {
        *in_domain.entry(&voter.domain).or_default() += 1;
    }
    let mut learners: Vec<&MemberStatus> =
        members.iter().filter(|m| m.learner && m.live && !m.retired).collect();
    let voters_in_domain = |m: &MemberStatus| in_domain.get(&*m.domain).copied().unwrap_or(0);
    learners.sort_by_key(|m| (voters_in_domain(m), Reverse(m.synced), m.id));
    let has_voter_name = |m: &MemberStatus| voters().any(|v| v.name == m.name);
    let mut warm: HashSet<u64> =
        learners.iter().filter(|m| has_voter_name(m)).map(|m| m.id).collect();
    // One learner of each domain comes first, so that a vacancy in any domain can be filled.
    let mut domains = HashSet::new();
    let (first, rest): (Vec<&MemberStatus>, Vec<&MemberStatus>) =
        learners.into_iter().partition(|m| domains.insert(&*m.domain));
    let wanted = match missing {
        _ if is_ample => missing,
        0 => SPARE_LEARNERS,
        _ => missing.max(first.len()).saturating_add(SPARE_LEARNERS),
    };
    warm.extend(first.into_iter().chain(rest).take(wanted).map(|m| m.id));
    warm
}

/// Whether the live voters are a quorum after a step.
fn keeps_quorum(members: &[MemberStatus], step: Step) -> bool {
    let votes = |m: &&MemberStatus| match step {
        Step::Remove(id, _) => !m.learner && m.id != id,
        Step::Promote(id) => !m.learner || m.id == id,
    };
    tolerated_losses(members.iter().filter(votes)).is_some()
}

/// Losses of live voters that are tolerated; `None` if the live voters are no quorum.
fn tolerated_losses<'a>(voters: impl Iterator<Item = &'a MemberStatus>) -> Option<usize> {
    let (count, live) = voters.fold((0, 0), |(n, live), m| (n + 1, live + usize::from(m.live)));
    rules::tolerated_losses(count, live)
}
