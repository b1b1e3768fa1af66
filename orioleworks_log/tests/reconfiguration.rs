//! Membership changes while members are lost or retired.

use orioleworks_log::reconfiguration::{
    Bounds, MemberStatus, Step, Target, next_step, target, warm_learners,
};
use rstest::rstest;

const THREE: Bounds = Bounds { voters: 3, spread: true, losses: 1 };

fn voter(id: u64, domain: &str) -> MemberStatus {
    MemberStatus {
        id,
        name: format!("store-{id}"),
        domain: domain.into(),
        live: true,
        caught_up: true,
        ..Default::default()
    }
}

fn learner(id: u64, domain: &str) -> MemberStatus {
    MemberStatus { learner: true, ..voter(id, domain) }
}

fn offline(m: MemberStatus) -> MemberStatus {
    MemberStatus { live: false, ..m }
}

fn retired(m: MemberStatus) -> MemberStatus {
    MemberStatus { retired: true, ..m }
}

/// Guards against an outage: a store was retired and removed while another one was frozen, and the two remaining voters
/// could not commit until the frozen one resumed.
#[test]
fn a_successor_votes_first_when_another_voter_is_away() {
    let members = [offline(voter(1, "a")), voter(2, "b"), retired(voter(3, "c")), learner(4, "a")];
    assert_eq!(next_step(&members, THREE, false), Some(Step::Promote(4)));
    let promoted = [offline(voter(1, "a")), voter(2, "b"), retired(voter(3, "c")), voter(4, "a")];
    assert_eq!(next_step(&promoted, THREE, false), Some(Step::Remove(3, "retired_voter_removed")));
}

/// Guards against a retired store that stays a voter because the only learner is in a domain that is full, and against the loss
/// of accepted work: with the retired store removed first, two voters were left, and one of them lost its disk.
#[test]
fn the_successor_of_a_retired_voter_votes_first_whatever_its_domain() {
    let members = [voter(1, "a"), voter(2, "b"), retired(voter(3, "c")), learner(4, "a")];
    assert_eq!(next_step(&members, THREE, false), Some(Step::Promote(4)));
    let promoted = [voter(1, "a"), voter(2, "b"), retired(voter(3, "c")), voter(4, "a")];
    let removal = Some(Step::Remove(3, "retired_voter_removed"));
    assert_eq!(next_step(&promoted, THREE, false), removal);
    let with_spare = [&promoted[..], &[learner(5, "b")]].concat();
    assert_eq!(next_step(&with_spare, THREE, false), removal, "one successor is enough");
    let rest = [voter(1, "a"), voter(2, "b"), learner(4, "a")];
    assert_eq!(next_step(&rest, THREE, true), Some(Step::Promote(4)));
}

/// Guards against a step during a retirement after which fewer lost voters stop the cluster than before.
#[test]
fn a_retirement_never_lowers_the_number_of_losses_that_are_tolerated() {
    let mut members = vec![
        voter(1, "a"),
        voter(2, "a"),
        voter(3, "b"),
        retired(voter(4, "b")),
        voter(5, "c"),
        learner(6, "a"),
        learner(7, "c"),
        learner(8, "d"),
    ];
    let tolerated = |members: &[MemberStatus]| {
        let voters = members.iter().filter(|m| !m.learner).count();
        voters - (voters / 2 + 1)
    };
    let mut steps = Vec::new();
    while let Some(step) = next_step(&members, FIVE, false) {
        match step {
            Step::Remove(id, _) => members.retain(|m| m.id != id),
            Step::Promote(id) => {
                members.iter_mut().filter(|m| m.id == id).for_each(|m| m.learner = false);
            }
        }
        steps.push(step);
        assert!(tolerated(&members) >= 2, "{steps:?}");
    }
    assert_eq!(steps, [Step::Promote(8), Step::Remove(4, "retired_voter_removed")]);
}

/// Guards against a lost machine that stays a voter forever while a standby machine is available.
#[test]
fn a_learner_takes_the_place_of_a_voter_that_is_lost() {
    let lost = MemberStatus { lost: true, ..offline(voter(1, "a")) };
    let members = [lost, voter(2, "b"), voter(3, "c"), learner(4, "a")];
    assert_eq!(next_step(&members, THREE, false), Some(Step::Remove(1, "silent_voter_removed")));
}

/// Guards against two voters in one failure domain of three, whose loss would stop the cluster.
#[rstest]
#[case::full_cluster(&[1, 2, 3])]
#[case::domain_is_full(&[1, 2])]
fn a_learner_waits_where_its_domain_has_a_voter(#[case] voters: &[u64]) {
    let domains = ["a", "b", "c"];
    let mut members: Vec<MemberStatus> =
        voters.iter().map(|id| voter(*id, domains[*id as usize - 1])).collect();
    members.push(learner(9, "a"));
    assert_eq!(next_step(&members, THREE, false), None);
}

/// Guards against a promotion or removal after which the live voters could not commit.
#[test]
fn no_step_is_taken_that_would_stop_the_cluster() {
    let members =
        [offline(voter(1, "a")), retired(voter(2, "b")), offline(voter(3, "c")), learner(4, "a")];
    assert_eq!(next_step(&members, THREE, false), None);
}

/// Guards against a wiped store that never votes again, and against one that replaces its identity while it is live.
#[rstest]
#[case::silent(false, Some(Step::Remove(1, "lost_identity_removed")))]
#[case::still_replying(true, None)]
fn a_new_identity_replaces_the_lost_one_of_its_name(
    #[case] name_in_use: bool,
    #[case] expected: Option<Step>,
) {
    let old = MemberStatus { name_in_use, live: name_in_use, ..voter(1, "a") };
    let new = MemberStatus { id: 9, ..learner(1, "a") };
    assert_eq!(next_step(&[old, voter(2, "b"), voter(3, "c"), new], THREE, false), expected);
}

const FIVE: Bounds = Bounds { voters: 5, spread: true, losses: 2 };

fn ids(members: &[MemberStatus], bounds: Bounds) -> Vec<u64> {
    let mut ids: Vec<u64> = warm_learners(members, bounds).into_iter().collect();
    ids.sort_unstable();
    ids
}

/// Guards against every standby machine of a large deployment holding a copy of the log, and against spares that are
/// all in a domain that has its maximum of voters.
#[test]
fn two_spares_of_different_domains_are_kept_ready() {
    let voters = [voter(1, "a"), voter(2, "a"), voter(3, "b"), voter(4, "b"), voter(5, "c")];
    let learners = [learner(6, "a"), learner(7, "b"), learner(8, "c"), learner(9, "c")];
    let members = [&voters[..], &learners].concat();
    assert_eq!(ids(&members, FIVE), [6, 8]);
    let ahead = MemberStatus { synced: 10, ..learner(9, "c") };
    let members = [&voters[..], &learners[..3], &[ahead]].concat();
    assert_eq!(ids(&members, FIVE), [6, 9], "the learner with the longer synced log comes first");
}

/// Guards against a lost or missing voter for which no learner of an eligible domain is warm.
#[test]
fn learners_of_all_domains_are_ready_while_a_voter_is_missing() {
    let lost = MemberStatus { lost: true, ..offline(voter(3, "b")) };
    let voters = [voter(1, "a"), voter(2, "a"), lost, voter(4, "b"), voter(5, "c")];
    let learners = [learner(6, "a"), learner(7, "b"), learner(8, "c"), learner(9, "c")];
    assert_eq!(ids(&[&voters[..], &learners].concat(), FIVE), [6, 7, 8, 9]);
    let new_cluster =
        [voter(1, "a"), voter(2, "b"), voter(3, "c"), learner(4, "a"), learner(5, "b")];
    assert_eq!(ids(&new_cluster, FIVE), [4, 5]);
    let returned = MemberStatus { name: "store-5".into(), ..learner(10, "c") };
    let all = [voter(1, "a"), voter(2, "a"), voter(3, "b"), voter(4, "b"), voter(5, "c")];
    let members = [&all[..], &learners, &[returned]].concat();
    assert!(ids(&members, FIVE).contains(&10), "the next identity of a voter that lost its disk");
}

const NINE: Bounds = Bounds { voters: 9, spread: true, losses: 2 };

/// One replica for each character, in the failure domain of that name.
fn in_domains(domains: &str, replica: fn(u64, &str) -> MemberStatus) -> Vec<MemberStatus> {
    domains.chars().zip(1..).map(|(domain, id)| replica(id, &domain.to_string())).collect()
}

/// Guards against a second loss of disks that leaves no quorum although other replicas have the log, and against a number of voters
/// at which the loss of a failure domain leaves none.
#[rstest]
#[case::four_domains("aaabbbccdd", NINE, 9, 4)]
#[case::three_domains("aaaabbbbccc", NINE, 9, 4)]
#[case::few_replicas("aabbc", NINE, 5, 2)]
#[case::a_replica_is_left_over("aabc", NINE, 3, 1)]
#[case::one_in_each("abcd", NINE, 4, 1)]
#[case::one_domain_has_most("aaaaaabc", NINE, 3, 1)]
#[case::two_domains("aabb", NINE, 9, 4)]
#[case::least("abc", THREE, 3, 1)]
fn as_many_replicas_vote_as_can_be_spread_over_the_domains(
    #[case] domains: &str,
    #[case] bounds: Bounds,
    #[case] voters: usize,
    #[case] per_domain: usize,
) {
    let members = in_domains(domains, learner);
    let spread = domains != "aabb";
    assert_eq!(target(&members, bounds), Target { voters, per_domain, spread });
}

/// Guards against a voter without a disk that is counted as a further replica beside its next identity.
#[test]
fn a_lost_voter_and_its_next_identity_count_once() {
    let mut members = in_domains("abbc", voter);
    members.push(MemberStatus { id: 9, ..learner(1, "a") });
    assert_eq!(target(&members, NINE).voters, 3, "five if the first replica counted twice");
}

/// Guards against a retirement that never ends because every other replica votes already, so that there is no successor.
#[test]
fn a_retired_voter_needs_no_successor_if_enough_losses_are_tolerated_without_it() {
    let mut members = in_domains("aaabbbccd", voter);
    members[0].retired = true;
    let removal = Some(Step::Remove(1, "retired_voter_removed"));
    assert_eq!(next_step(&members, NINE, false), removal);
    for m in &mut members[4..7] {
        m.live = false;
    }
    assert_eq!(next_step(&members, NINE, false), None, "fewer would be tolerated than promised");
}

/// Guards against four voters of which two are in one failure domain, after a retirement: the loss of that domain leaves no quorum.
#[test]
fn a_voter_that_cannot_be_spread_is_removed() {
    let five = Bounds { voters: 5, spread: true, losses: 1 };
    let members = in_domains("abbc", voter);
    let away = MemberStatus { live: false, ..voter(2, "b") };
    let removed = |members: &[MemberStatus]| match next_step(members, five, false) {
        Some(Step::Remove(id, "surplus_voter_removed")) => Some(id),
        _ => None,
    };
    assert!(removed(&members).is_some_and(|id| [2, 3].contains(&id)));
    let with_away = [&members[..1], &[away], &members[2..]].concat();
    assert_eq!(removed(&with_away), Some(2));
    assert_eq!(removed(&in_domains("aabbc", voter)), None);
}

/// Guards against a lost voter that raises the quorum although another identity answers at its address, and against the removal of one
/// that replied a moment ago.
#[test]
fn a_voter_whose_disk_is_known_to_be_lost_needs_no_successor() {
    let gone = MemberStatus { gone: true, ..offline(voter(1, "a")) };
    let new = MemberStatus { id: 9, caught_up: false, ..learner(1, "a") };
    let members = |gone| [gone, voter(2, "b"), voter(3, "c"), new.clone()];
    let removal = Some(Step::Remove(1, "lost_identity_removed"));
    assert_eq!(next_step(&members(gone.clone()), THREE, false), removal);
    let in_use = MemberStatus { name_in_use: true, ..gone };
    assert_eq!(next_step(&members(in_use), THREE, false), None);
}

/// Guards against a retirement that waits for ever because another retired voter, which is gone, comes later in the list.
#[test]
fn a_retired_voter_that_is_not_live_is_removed_first() {
    let mut members = in_domains("aabbccd", voter);
    members[0].retired = true;
    members[1] = offline(retired(members[1].clone()));
    let removal = Some(Step::Remove(2, "retired_voter_removed"));
    assert_eq!(next_step(&members, NINE, false), removal);
}

/// Guards against a domain limit that a past retirement has lifted for good: the place of a voter that lost its disk went to a replica
/// of a domain that has its share.
#[test]
fn the_place_of_a_lost_voter_is_kept_for_its_domain_after_a_retirement() {
    let catching_up = MemberStatus { caught_up: false, ..learner(4, "b") };
    let members = [voter(1, "a"), learner(2, "a"), voter(3, "c"), catching_up];
    assert_eq!(next_step(&members, THREE, true), None);
}

/// Guards against lost voters without a successor because of which no further loss is tolerated.
#[test]
fn lost_voters_are_removed_if_only_that_gives_a_margin() {
    let lost = |m: MemberStatus| MemberStatus { lost: true, ..offline(m) };
    let four = Bounds { voters: 5, spread: true, losses: 1 };
    let mut members = in_domains("abcd", voter);
    members[1] = lost(members[1].clone());
    let removal = Some(Step::Remove(2, "silent_voter_removed"));
    assert_eq!(next_step(&members, four, false), removal);
    members.remove(3);
    assert_eq!(next_step(&members, four, false), None, "two voters tolerate no loss either");
}

/// Guards against copies of the log beside those of nine voters, of which each costs as much as a voter, and against a new leader under
/// load that brings seven learners up to date to replace one voter.
#[test]
fn no_more_learners_are_warm_than_are_missing_while_enough_losses_are_tolerated() {
    let learners: Vec<MemberStatus> =
        "abcd".chars().zip(21..).map(|(domain, id)| learner(id, &domain.to_string())).collect();
    let with_learners = |voters: &[MemberStatus]| [voters, &learners].concat();
    let mut voters = in_domains("aaabbbccd", voter);
    assert!(warm_learners(&with_learners(&voters), NINE).is_empty());
    voters[0] = MemberStatus { lost: true, ..offline(voters[0].clone()) };
    assert_eq!(warm_learners(&with_learners(&voters), NINE).len(), 1);
    for m in &mut voters[1..4] {
        *m = MemberStatus { lost: true, ..offline(m.clone()) };
    }
    assert_eq!(warm_learners(&with_learners(&voters), NINE).len(), 4, "one loss is tolerated");
}
