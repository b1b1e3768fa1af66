//! Tests of upstream membership.

use std::time::Duration;

use orioleworks_routing::members::{Announced, Announcement, CacheEvent, CacheReport, Members};
use rstest::rstest;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn announcement(incarnation: u64, leaving: bool) -> Announcement {
    Announcement {
        name: "e".into(),
        kind: "k".into(),
        incarnation,
        leaving,
        engine: true,
        ..Default::default()
    }
}

fn live(members: &Members) -> bool {
    members.live("k").next().is_some()
}

/// Guards against a delayed or repeated announcement that makes a leaving or replaced upstream live again.
#[rstest]
#[case::same_incarnation(1, false)]
#[case::older_incarnation(0, false)]
#[case::higher_incarnation(2, true)]
fn only_a_higher_incarnation_rejoins(#[case] incarnation: u64, #[case] rejoins: bool) {
    let mut members = Members::default();
    members.announce(ms(0), announcement(1, false));
    members.announce(ms(500), announcement(1, true));
    assert!(!live(&members));
    members.announce(ms(900), announcement(incarnation, false));
    assert_eq!(live(&members), rejoins);
}

/// Guards against a leaving state that is reset when the lease expires.
#[rstest]
fn leaving_outlives_the_lease() {
    let mut members = Members::default();
    members.announce(ms(0), announcement(1, true));
    assert_eq!(members.expire(ms(2500)).len(), 1);
    members.announce(ms(3000), announcement(1, false));
    assert!(!live(&members));
}

/// Guards against a lease that expires early, late or more than once.
#[rstest]
fn lease_ends_once_after_two_seconds() {
    let mut members = Members::default();
    members.announce(ms(0), announcement(1, false));
    members.announce(ms(500), announcement(1, false));
    assert!(members.expire(ms(2499)).is_empty());
    let expired = members.expire(ms(2500));
    assert_eq!((expired.len(), expired[0].last_seen), (1, ms(500)));
    assert!(members.expire(ms(2600)).is_empty());
    assert!(members.engines().is_empty());
    assert_eq!(members.announce(ms(2700), announcement(1, false)), Announced::Joined);
}

/// Guards against an announcement in flight that makes an upstream live again right after a failed connection.
#[rstest]
#[case::at_once(1, 100, false)]
#[case::later(1, 600, true)]
#[case::restarted(2, 100, true)]
fn failed_upstream_is_held(#[case] incarnation: u64, #[case] after: u64, #[case] revived: bool) {
    let mut members = Members::default();
    members.announce(ms(0), announcement(1, false));
    assert!(members.fail(ms(0), "e", 1));
    assert!(!members.fail(ms(0), "e", 1));
    members.announce(ms(after), announcement(incarnation, false));
    assert_eq!(live(&members), revived);
}

/// Guards against a start order that makes an already leaving incarnation live again.
#[rstest]
fn stop_is_sticky_for_the_incarnation() {
    let mut members = Members::default();
    members.announce(ms(0), announcement(1, false));
    members.stop("e");
    members.announce(ms(10), announcement(2, false));
    assert!(!live(&members), "the stop order applies to every incarnation");
    members.start("e");
    members.announce(ms(20), announcement(2, false));
    assert!(!live(&members));
    members.announce(ms(30), announcement(3, false));
    assert!(live(&members));
}

/// Guards against treating a planned termination of an upstream as a crash, and against missing an unplanned one.
#[rstest]
#[case::unplanned(false, Announced::Restarted)]
#[case::planned(true, Announced::Joined)]
fn restart_of_a_live_upstream_is_reported(#[case] leaving: bool, #[case] expected: Announced) {
    let mut members = Members::default();
    members.announce(ms(0), announcement(1, leaving));
    assert_eq!(members.announce(ms(100), announcement(2, false)), expected);
}

fn report(first_sequence: u64, events: &[(u64, bool)]) -> CacheReport {
    let events =
        events.iter().map(|(prefix, stored)| CacheEvent { prefix: *prefix, stored: *stored });
    CacheReport { first_sequence, events: events.collect() }
}

/// Guards against using a cache view after lost events, and against applying repeated events twice.
#[rstest]
#[case::consecutive(report(2, &[(30, true)]), &[10, 20, 30])]
#[case::evicted(report(2, &[(10, false)]), &[20])]
#[case::gap(report(3, &[(30, true)]), &[30])]
#[case::repeated(report(0, &[(10, true), (20, true)]), &[10, 20])]
#[case::overlapping(report(1, &[(20, true), (10, false)]), &[20])]
#[case::empty(report(0, &[]), &[10, 20])]
fn cache_view_follows_the_sequence(#[case] second: CacheReport, #[case] held: &[u64]) {
    let mut members = Members::default();
    let with = |cache| Announcement { cache, ..announcement(1, false) };
    members.announce(ms(0), with(report(0, &[(10, true), (20, true)])));
    members.announce(ms(500), with(second));
    let member = members.get("e").unwrap();
    let found: Vec<u64> = [10, 20, 30].into_iter().filter(|p| member.holds_prefix(*p)).collect();
    assert_eq!(found, held);
}

/// Guards against a process that ends at the highest number of a cache event, or takes the events after it for older ones.
#[rstest]
#[case::first(report(u64::MAX, &[(10, true)]), report(u64::MAX, &[(20, true)]))]
#[case::later(report(0, &[(10, true)]), report(u64::MAX, &[(20, true), (30, true)]))]
fn the_highest_cache_sequence_overflows_nothing(
    #[case] first: CacheReport,
    #[case] second: CacheReport,
) {
    let mut members = Members::default();
    let with = |cache| Announcement { cache, ..announcement(1, false) };
    members.announce(ms(0), with(first));
    members.announce(ms(500), with(second));
    assert!(members.get("e").is_some());
}
