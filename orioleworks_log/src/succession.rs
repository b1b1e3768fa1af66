//! Next single step towards the wanted voters; a plain decision over what the leader knows of the members.
//!
//! No step is taken after which the voters that answer now could not commit. Where that leaves a choice, a lost voter
//! goes before the learner that takes its place: a promotion beside it would raise the quorum of three replicas to
//! three of four, so that the loss of the repaired replica during its repair would stop the cluster for good.

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
};

use orioleworks_rules::log as rules;

/// Learners that are kept ready while all voters are in place: two, because one may be in a domain that has its share
/// of voters already.
const SPARES: usize = 2;

/// What the leader knows of a member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// Member ID.
    pub id: u64,
    /// Name of the replica.
    pub name: String,
    /// Failure domain of the replica.
    pub domain: String,
    /// Whether it is a learner.
    pub learner: bool,
    /// Whether it answers now.
    pub live: bool,
    /// Whether it has been silent for so long that another replica may take its place.
    pub lost: bool,
    /// Last entry that it is known to have synced.
    pub synced: u64,
    /// Whether it has synced everything that is committed.
    pub caught_up: bool,
    /// Whether another identity may take over its name now.
    pub name_in_use: bool,
    /// Whether it is to be removed for good.
    pub retired: bool,
}

/// Bounds on the voters.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Largest number of voters.
    pub voters: usize,
    /// Largest number of voters in one failure domain.
    pub per_domain: usize,
}

/// A change of the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Removes a member.
    Remove(u64, &'static str),
    /// Makes a learner a voter.
    Promote(u64),
}

/// Next step, if one is due and safe. `retired_gone` says that a voter was removed for good, so that its place may be
/// taken by a replica of any failure domain.
pub fn next_step(members: &[Standing], bounds: Bounds, retired_gone: bool) -> Option<Step> {
    if let Some(learner) = members.iter().find(|m| m.learner && m.retired) {
        return Some(Step::Remove(learner.id, "retired_learner_removed"));
    }
    let voters = || members.iter().filter(|m| !m.learner);
    let ready = members.iter().filter(|m| m.learner && m.live && m.caught_up);
    for ready in ready {
        let same_name = voters().find(|m| m.name == ready.name);
        if same_name.is_some_and(|m| m.name_in_use) {
            continue;
        }
        let count = voters().count();
        let in_domain = voters().filter(|m| m.domain == ready.domain).count();
        let room = count < bounds.voters && (in_domain < bounds.per_domain || retired_gone);
        let full = in_domain >= bounds.per_domain;
        let retired = voters().find(|m| m.retired);
        let lost = voters().find(|m| m.lost && (!full || m.domain == ready.domain));
        let successor = Step::Promote(ready.id);
        let mut steps = Vec::new();
        if let Some(old) = same_name {
            steps.push(Step::Remove(old.id, "lost_identity_removed"));
        } else if let Some(old) = retired {
            steps.push(Step::Remove(old.id, "retired_voter_removed"));
            // With another voter away, the successor has to vote before the retired one may go.
            steps.push(successor);
        } else if room {
            steps.push(successor);
        } else if let Some(old) = lost {
            steps.push(Step::Remove(old.id, "silent_voter_removed"));
        }
        if let Some(step) = steps.into_iter().find(|step| survives(members, *step)) {
            return Some(step);
        }
    }
    // The successor may have been promoted first.
    let surplus = voters().count() > bounds.voters;
    let retired = voters().find(|m| m.retired && surplus)?;
    let step = Step::Remove(retired.id, "retired_voter_removed");
    survives(members, step).then_some(step)
}

/// Learners that get every entry, because they may have to take a voter's place soon; the others cost no memory, disk or
/// network until then.
pub fn warm_learners(members: &[Standing], bounds: Bounds) -> HashSet<u64> {
    let voters = || members.iter().filter(|m| !m.learner);
    let sound = voters().filter(|m| !m.lost && !m.retired).count();
    let missing = bounds.voters.saturating_sub(sound);
    let mut in_domain: HashMap<&str, usize> = HashMap::new();
    for voter in voters() {
        *in_domain.entry(&voter.domain).or_default() += 1;
    }
    let mut learners: Vec<&Standing> =
        members.iter().filter(|m| m.learner && m.live && !m.retired).collect();
    let share = |m: &Standing| in_domain.get(&*m.domain).copied().unwrap_or(0);
    learners.sort_by_key(|m| (share(m), Reverse(m.synced), m.id));
    let returned = |m: &Standing| voters().any(|v| v.name == m.name);
    let mut warm: HashSet<u64> = learners.iter().filter(|m| returned(m)).map(|m| m.id).collect();
    // One of each domain first, so that no place is out of reach.
    let mut domains = HashSet::new();
    let (first, rest): (Vec<&Standing>, Vec<&Standing>) =
        learners.into_iter().partition(|m| domains.insert(&*m.domain));
    let at_once = if missing > 0 { missing.max(first.len()) } else { 0 };
    let wanted = at_once.saturating_add(SPARES);
    warm.extend(first.into_iter().chain(rest).take(wanted).map(|m| m.id));
    warm
}

/// Whether the voters that answer now are a quorum after a step.
fn survives(members: &[Standing], step: Step) -> bool {
    let after = members.iter().filter(|m| match step {
        Step::Remove(id, _) => !m.learner && m.id != id,
        Step::Promote(id) => !m.learner || m.id == id,
    });
    let (count, live) = after.fold((0, 0), |(n, live), m| (n + 1, live + usize::from(m.live)));
    count > 0 && live >= rules::quorum(count)
}
