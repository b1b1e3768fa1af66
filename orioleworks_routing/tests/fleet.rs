//! Tests of announcements that are delayed, reordered or from an earlier incarnation.

use std::{collections::HashSet, time::Duration};

use orioleworks_routing::fleet::{
    AnnounceOutcome, Fleet, Left, STALE_AFTER, UNUSED_AFTER, Upstream,
};

fn up(incarnation: u64, sequence: u64) -> Upstream {
    Upstream {
        id: "i-1".into(),
        incarnation,
        sequence,
        service: "sheets".into(),
        address: "10.0.0.1:80".into(),
        slots: 4,
        ..Default::default()
    }
}

fn upstream(id: &str, incarnation: u64, sequence: u64) -> Upstream {
    let address = format!("10.0.0.1:{id}").into();
    Upstream { id: id.into(), address, ..up(incarnation, sequence) }
}

fn at(s: u64) -> Duration {
    Duration::from_secs(s)
}

/// Guards against a delayed announcement that makes a leaving upstream serve again.
#[test]
fn leaving_is_final_for_an_incarnation() {
    let mut fleet = Fleet::default();
    fleet.announce(at(1), up(1, 1), true);
    fleet.announce(at(2), Upstream { leaving: true, ..up(1, 3) }, true);
    assert_eq!(fleet.announce(at(3), up(1, 2), true), AnnounceOutcome::Unchanged);
    assert_eq!(fleet.announce(at(4), up(1, 4), true), AnnounceOutcome::Renewed);
    assert_eq!(fleet.serving("sheets", at(4)).count(), 0);
    assert_eq!(fleet.announce(at(5), up(2, 1), true), AnnounceOutcome::Changed);
    assert_eq!(fleet.serving("sheets", at(5)).count(), 1, "the next incarnation serves");
}

/// Guards against a lost leaving announcement because a newer announcement arrived before it.
#[test]
fn leaving_counts_even_after_a_newer_announcement() {
    let mut fleet = Fleet::default();
    fleet.announce(at(1), up(1, 5), true);
    let outdated = Upstream { leaving: true, ..up(1, 4) };
    assert_eq!(fleet.announce(at(2), outdated, false), AnnounceOutcome::Changed);
    assert_eq!(fleet.serving("sheets", at(2)).count(), 0);
}

/// Guards against requests to the previous upstream at an address, and against its return by a delayed announcement.
#[test]
fn an_address_belongs_to_its_latest_start() {
    let mut fleet = Fleet::default();
    fleet.announce(at(1), up(1, 9), true);
    fleet.announce(at(2), Upstream { id: "i-2".into(), ..up(2, 1) }, true);
    let serving: Vec<_> = fleet.serving("sheets", at(2)).map(|k| k.upstream.id.clone()).collect();
    assert_eq!(serving, ["i-2".into()]);
    assert_eq!(
        fleet.announce(at(3), up(0, 10), true),
        AnnounceOutcome::Changed,
        "the ID is no longer known"
    );
    fleet.announce(at(4), Upstream { id: "i-2".into(), ..up(3, 1) }, true);
    assert_eq!(
        fleet.announce(at(5), Upstream { id: "i-2".into(), ..up(2, 50) }, true),
        AnnounceOutcome::Unchanged
    );
}

/// Guards against removing upstreams that are partitioned from the stores but still reachable.
#[test]
fn missing_announcements_first_lower_the_rank_and_later_stop_requests() {
    let mut fleet = Fleet::default();
    fleet.announce(at(0), up(1, 1), true);
    let after = STALE_AFTER + at(1);
    assert!(fleet.serving("sheets", after).all(|k| !k.is_fresh(after)));
    assert_eq!(fleet.serving("sheets", after).count(), 1);
    assert_eq!(fleet.serving("sheets", UNUSED_AFTER + at(1)).count(), 0);
}

/// Guards against waking watchers on every renewal, and against watchers that miss changes.
#[test]
fn watchers_are_woken_by_changes_only_and_get_renewals_later() {
    let mut fleet = Fleet::default();
    fleet.announce(at(1), up(1, 1), true);
    let cursor = fleet.cursor();
    fleet.announce(at(2), up(1, 2), true);
    assert!(!fleet.urgent_since(cursor));
    assert_eq!(fleet.since(cursor, true).count(), 1);
    let cursor = fleet.cursor();
    fleet.leave(at(3), "i-1", 0);
    assert!(fleet.urgent_since(cursor));
    assert_eq!(fleet.leave(at(4), "i-1", 7), AnnounceOutcome::Unchanged, "another incarnation");
}

fn left(s: u64) -> Left {
    Left { upstream: ("i-1".into(), 1), since: at(s) }
}

/// Guards against an upstream that serves again because it went on to announce itself as ready after it was learnt otherwise
/// that it leaves, and against the next incarnation that does not serve.
#[test]
fn what_was_learnt_of_leaving_outlasts_announcements() {
    let mut fleet = Fleet::default();
    fleet.announce(at(1), up(1, 5), true);
    let cursor = fleet.cursor();
    assert!(fleet.note_left(at(2), left(2), true));
    assert!(fleet.urgent_since(cursor), "watchers learn of it at once");
    assert!(!fleet.note_left(at(2), left(2), true));
    fleet.announce(at(3), up(1, 4), true);
    fleet.announce(at(3), up(1, 6), true);
    fleet.announce(at(3), Upstream { address: "10.0.0.9:80".into(), ..up(1, 7) }, false);
    assert_eq!(fleet.serving("sheets", at(3)).count(), 0);
    fleet.announce(at(4), up(2, 1), true);
    assert!(!fleet.note_left(at(5), left(5), true), "the earlier incarnation has left before");
    assert_eq!(fleet.serving("sheets", at(5)).count(), 1);
}

/// Guards against an upstream that is learnt to leave before anything else is known of it, and then serves.
#[test]
fn an_unknown_upstream_that_leaves_does_not_serve_once_it_is_known() {
    let mut fleet = Fleet::default();
    assert!(fleet.note_left(at(1), left(1), false));
    assert_eq!(fleet.leave(at(1), "i-3", 1), AnnounceOutcome::Unchanged);
    fleet.announce(at(2), up(1, 1), true);
    fleet.announce(at(2), Upstream { id: "i-3".into(), address: "a:1".into(), ..up(1, 1) }, true);
    assert_eq!(fleet.serving("sheets", at(2)).count(), 0);
}

/// Guards against a leaving upstream that is forgotten, because it was silent or because another start had its address, and
/// serves after a delayed announcement.
#[test]
fn leaving_is_not_forgotten_with_the_upstream() {
    let mut fleet = Fleet::default();
    fleet.announce(at(1), Upstream { leaving: true, ..up(1, 1) }, true);
    fleet.announce(at(2), Upstream { id: "i-2".into(), ..up(2, 1) }, true);
    assert!(fleet.get("i-1").is_none(), "superseded");
    fleet.announce(at(3), up(1, 2), true);
    assert_eq!(
        fleet.serving("sheets", at(3)).map(|k| &*k.upstream.id).collect::<Vec<_>>(),
        ["i-2"]
    );
    fleet.remove_expired(at(1000));
    assert!(fleet.get("i-1").is_none(), "expired");
    fleet.announce(at(1001), up(1, 3), false);
    assert_eq!(fleet.serving("sheets", at(1001)).count(), 0);
}

/// Guards against a store that keeps from the others what was reported to it after another store had passed it on.
#[test]
fn what_is_reported_directly_is_passed_on_to_stores() {
    let mut fleet = Fleet::default();
    fleet.note_left(at(1), left(1), false);
    assert_eq!(fleet.left_since(0, true).count(), 0);
    assert_eq!(fleet.left_since(0, false).collect::<Vec<_>>(), [left(1)]);
    let cursor = fleet.cursor();
    fleet.note_left(at(2), left(2), true);
    assert_eq!(fleet.left_since(cursor, true).collect::<Vec<_>>(), [left(1)]);
}

/// Guards against a watcher that never learns of some upstreams because it gets them in several replies, while others renew
/// themselves.
#[test]
fn a_watcher_learns_of_all_upstreams_in_several_replies() {
    let mut fleet = Fleet::default();
    for i in 0..10 {
        fleet.announce(at(0), upstream(&format!("u{i}"), 1, 1), true);
    }
    let (mut cursor, mut learnt, mut round) = (0, HashSet::new(), 1);
    while fleet.urgent_routing_since(cursor) {
        let (some, next) = fleet.routing_since(cursor, |_| false, 3);
        assert!(some.len() <= 3);
        learnt.extend(some.iter().map(|known| known.upstream.id.clone()));
        cursor = next;
        round += 1;
        for i in 0..10 {
            fleet.announce(at(round), upstream(&format!("u{i}"), 1, round), true);
        }
        assert!(round < 10, "{learnt:?}");
    }
    assert_eq!(learnt.len(), 10);
    assert_eq!(fleet.routing_since(cursor, |_| false, 3).0.len(), 0, "renewals are no news");
    assert_eq!(fleet.routing_since(cursor, |up| *up.id == *"u7", 3).0.len(), 1, "a suspect");
}

/// Guards against upstreams that a gateway keeps in use after they fell silent, or drops although they are alive, because it
/// gets no renewals.
#[test]
fn silence_is_told_once_and_ends_with_an_announcement() {
    let (mut store, mut gateway) = (Fleet::default(), Fleet::default());
    for fleet in [&mut store, &mut gateway] {
        fleet.announce(at(0), upstream("a", 1, 1), true);
    }
    let mut cursor = store.cursor();
    gateway.set_vouched("a", 1);
    for round in 1..10 {
        store.announce(at(round), upstream("a", 1, 1 + round), true);
        store.find_silent(at(round));
        assert_eq!(store.silent_since(cursor).count(), 0);
        gateway.vouch(at(round));
        assert!(gateway.get("a").unwrap().is_fresh(at(round)));
    }
    store.find_silent(at(14));
    assert_eq!(store.silent_since(cursor).count(), 1);
    cursor = store.cursor();
    gateway.end_vouching("a", 1, at(14));
    gateway.vouch(at(14));
    assert!(!gateway.get("a").unwrap().is_fresh(at(14)));
    store.find_silent(at(15));
    assert_eq!(store.silent_since(cursor).count(), 0, "told once");
    store.announce(at(16), upstream("a", 1, 20), true);
    assert!(store.urgent_routing_since(cursor));
    assert_eq!(store.routing_since(cursor, |_| false, 10).0.len(), 1);
}
