//! Tests of what is remembered of callers' streams.

use std::time::Duration;

use orioleworks_routing::{
    fleet::{Fleet, Upstream},
    streams::{Origin, Streams},
};

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

/// Guards against a guess while upstreams of a second version are known, even if they have left.
#[test]
fn the_only_software_version_of_a_service_is_known_from_all_upstreams() {
    let mut fleet = Fleet::default();
    let up = |id: &str, software: &str| Upstream {
        id: id.into(),
        incarnation: 1,
        address: format!("10.0.0.1:{id}").into(),
        service: "engines".into(),
        software: software.into(),
        ..Default::default()
    };
    assert_eq!(fleet.only_software("engines"), None);
    fleet.announce(at(1), up("1", "v1"), true);
    fleet.announce(at(1), up("2", "v1"), true);
    assert_eq!(fleet.only_software("engines").as_deref(), Some("v1"));
    fleet.announce(at(2), up("3", "v2"), true);
    assert_eq!(fleet.only_software("engines"), None);
    fleet.leave(at(3), "3", 1);
    assert_eq!(fleet.only_software("engines"), None);
    assert_eq!(fleet.only_software("others"), None);
}
