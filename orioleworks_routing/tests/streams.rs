//! Tests of what is remembered of callers' streams.

use std::{rc::Rc, time::Duration};

use orioleworks_routing::{
    fleet::{Fleet, Served, Upstream},
    streams::{Origin, Streams},
};
use orioleworks_rules::streams::{self as rules, VoterReply};

fn origin(software: &str) -> Origin {
    Origin { service: "engines".into(), software: software.into() }
}

fn at(s: u64) -> Duration {
    Duration::from_secs(s)
}

/// Guards against a stream whose origin changes with a later report, and against memory that grows with all streams.
#[test]
fn the_first_record_of_an_attempt_holds_until_it_expires() {
    let mut streams = Streams::default();
    streams.record("a", origin("v1"), at(1));
    let cursor = streams.cursor();
    streams.record("a", origin("v2"), at(2));
    assert_eq!(streams.get("a"), Some(&origin("v1")));
    assert_eq!(streams.since(cursor).count(), 0);
    streams.record("", origin("v1"), at(2));
    assert_eq!(streams.len(), 1, "an attempt without an ID is not recorded");
    streams.expire(at(301));
    assert!(streams.is_empty());
    for n in 0..40_000 {
        streams.record(&n.to_string(), origin("v1"), at(400));
    }
    assert_eq!(streams.len(), 32_768);
    assert!(streams.get("0").is_none() && streams.get("39999").is_some());
}

fn upstream(id: &str, incarnation: u64, software: &str) -> Upstream {
    Upstream {
        id: id.into(),
        incarnation,
        address: format!("10.0.0.1:{id}").into(),
        service: "engines".into(),
        software: software.into(),
        ..Default::default()
    }
}

/// Version that began the streams of a service, as told by the only voter.
fn only_software(fleet: &Fleet, service: &str, now: Duration) -> Option<Rc<str>> {
    let versions = fleet.software_versions(service).cloned().collect();
    rules::only_version(&[VoterReply { complete: fleet.has_history(now), versions }], 1)
}

/// Guards against a guess while upstreams of a second version are known, even if they have left.
#[test]
fn the_only_software_version_of_a_service_is_known_from_all_upstreams() {
    let mut fleet = Fleet::default();
    fleet.complete_history();
    assert_eq!(only_software(&fleet, "engines", at(1)), None);
    fleet.announce(at(1), upstream("1", 1, "v1"), true);
    fleet.announce(at(1), upstream("2", 1, "v1"), true);
    assert_eq!(only_software(&fleet, "engines", at(1)).as_deref(), Some("v1"));
    fleet.announce(at(2), upstream("3", 1, "v2"), true);
    assert_eq!(only_software(&fleet, "engines", at(2)), None);
    fleet.leave(at(3), "3", 1);
    assert_eq!(only_software(&fleet, "engines", at(3)), None);
    assert_eq!(only_software(&fleet, "others", at(3)), None);
}

/// Guards against forgetting a version with its upstreams: they start again under their IDs, or their addresses are used again.
#[test]
fn a_version_is_known_for_as_long_as_its_streams_can_be_taken_up() {
    let mut fleet = Fleet::default();
    fleet.complete_history();
    fleet.announce(at(1), upstream("1", 1, "v1"), true);
    fleet.announce(at(2), upstream("1", 2, "v2"), true);
    let successor = Upstream { id: "2".into(), ..upstream("1", 3, "v2") };
    fleet.announce(at(10), successor.clone(), true);
    for s in (10..300).step_by(10) {
        fleet.announce(at(s), Upstream { sequence: s, ..successor.clone() }, true);
        fleet.remove_expired(at(s));
        assert_eq!(only_software(&fleet, "engines", at(s)), None, "after {s} s");
    }
    fleet.remove_expired(at(302));
    assert_eq!(only_software(&fleet, "engines", at(302)).as_deref(), Some("v2"));
}

/// Guards against a guess by a process that may not have heard of all versions.
#[test]
fn a_process_guesses_only_with_the_whole_history() {
    let mut fleet = Fleet::default();
    fleet.begin(at(100));
    fleet.announce(at(101), upstream("1", 1, "v2"), true);
    assert_eq!(only_software(&fleet, "engines", at(101)), None);
    fleet.announce(at(390), Upstream { sequence: 1, ..upstream("1", 1, "v2") }, true);
    assert_eq!(only_software(&fleet, "engines", at(399)), None);
    assert_eq!(only_software(&fleet, "engines", at(400)).as_deref(), Some("v2"));
    let mut other = Fleet::default();
    other.begin(at(100));
    other.announce(at(101), upstream("1", 1, "v2"), true);
    let cursor = other.cursor();
    other.note_served(Served {
        service: "engines".into(),
        software: "v1".into(),
        last_seen: at(50),
    });
    assert_eq!(other.served_since(cursor).count(), 1);
    other.complete_history();
    assert_eq!(only_software(&other, "engines", at(102)), None);
}
