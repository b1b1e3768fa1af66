//! Guards against sightings that replicas send each other needlessly, and against missing ones.

use orioleworks_control::sightings::Sightings;
use orioleworks_log::Sharing;
use orioleworks_proto::inner;
use rstest::rstest;

fn seen(incarnation: u64, applied_revision: u64) -> inner::EntryStatus {
    let name = "entry-a1".into();
    let entry = inner::EntryIdentity { name, incarnation, ..Default::default() };
    inner::EntryStatus { entry: Some(entry), applied_revision, last_seen_ms: 0 }
}

/// Guards against followers that send the leader's sightings back, and against a leader that does not share those of
/// its followers.
#[rstest]
#[case::of_a_follower(Sharing::Forward, 1)]
#[case::of_the_leader(Sharing::LocalOnly, 0)]
fn only_changes_from_followers_are_shared_again(#[case] sharing: Sharing, #[case] shared: usize) {
    let sightings = Sightings::default();
    sightings.merge(vec![seen(7, 1)], sharing);
    let (first, version) = sightings.newer_than(0);
    assert_eq!(first.len(), 1, "a new leader gets everything");
    sightings.merge(vec![seen(7, 2)], sharing);
    let (newer, version) = sightings.newer_than(version);
    assert_eq!(newer.len(), shared);
    sightings.merge(vec![seen(8, 2)], sharing);
    assert_eq!(sightings.newer_than(version).0.len(), shared);
    let statuses = sightings.statuses();
    let [status] = &statuses[..] else { panic!("{statuses:?}") };
    assert_eq!(status.entry.as_ref().unwrap().incarnation, 8, "the restart is known either way");
    assert_eq!(status.applied_revision, 2);
    assert_eq!(sightings.newer_than(0).0.len(), 1, "a new leader gets everything");
}
