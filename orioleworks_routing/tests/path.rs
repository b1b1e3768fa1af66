//! Tests of the decision that the path to all upstreams is lost.

use std::time::Duration;

use orioleworks_routing::{
    outlier::Key,
    path::{PROBE_INTERVAL, Path},
};

const UPSTREAMS: usize = 6;

fn up(i: usize) -> Key {
    (format!("i-{i}").into(), 1)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against one failing upstream that sends all requests through other instances.
#[test]
fn one_upstream_is_no_evidence() {
    let mut path = Path::default();
    for n in 0..10 {
        assert!(!path.record_unconnected(&up(0), UPSTREAMS, ms(n * 100)));
        path.record_silence(&up(0), ms(n * 100));
    }
    assert!(!path.is_lost());
    assert!(path.record_unconnected(&up(1), UPSTREAMS, ms(1000)), "a second one is");
    assert!(path.is_lost());
}

/// Guards against an instance that knows only one upstream and never finds out.
#[test]
fn the_only_upstream_is_evidence() {
    let mut path = Path::default();
    assert!(path.record_unconnected(&up(0), 1, ms(0)));
}

/// Guards against upstreams that are slow or crash one after another and are taken for a partition.
#[test]
fn silence_alone_is_no_evidence() {
    let mut path = Path::default();
    (0..UPSTREAMS).for_each(|i| path.record_silence(&up(i), ms(i as u64)));
    assert!(!path.is_lost() && path.is_in_doubt());
    assert!(path.record_unconnected(&up(0), UPSTREAMS, ms(10)), "with a failed connection it is");
}

/// Guards against connections that live on and hide that new ones are refused, and against a path that stays lost when a
/// connection is open.
#[test]
fn a_response_proves_nothing_about_new_connections() {
    let mut path = Path::default();
    path.record_unconnected(&up(0), UPSTREAMS, ms(0));
    path.record_response(ms(10));
    assert!(path.record_unconnected(&up(1), UPSTREAMS, ms(20)));
    path.record_response(ms(30));
    assert!(path.is_lost());
    assert!(path.record_connected(ms(40)), "a new connection ends it");
    assert!(!path.is_lost() && !path.is_in_doubt());
    assert!(path.was_lost_since(ms(30)) && !path.was_lost_since(ms(50)));
}

/// Guards against failures minutes apart that are added up.
#[test]
fn old_failures_are_no_evidence() {
    let mut path = Path::default();
    path.record_unconnected(&up(0), UPSTREAMS, ms(0));
    assert!(!path.record_unconnected(&up(1), UPSTREAMS, ms(6000)));
}

/// Guards against a service that is down everywhere and sends its load round the instances.
#[test]
fn what_others_do_not_reach_is_excused() {
    let mut path = Path::default();
    path.record_unconnected(&up(0), UPSTREAMS, ms(0));
    path.record_unconnected(&up(1), UPSTREAMS, ms(0));
    assert!(path.is_lost());
    assert!(path.excuse(&up(0), UPSTREAMS, ms(10)));
    assert!(!path.is_lost());
    assert!(path.blames(&up(0), ms(20)) && !path.blames(&up(1), ms(20)));
    assert!(!path.record_unconnected(&up(0), UPSTREAMS, ms(30)), "it gives no evidence");
    assert!(!path.blames(&up(0), ms(6000)), "for a time");
}

/// Guards against probes that open many connections.
#[test]
fn probes_are_as_rare_as_their_interval() {
    let mut path = Path::default();
    assert!(!path.probe_due(ms(0)), "no doubt");
    path.record_silence(&up(0), ms(10));
    assert!(path.probe_due(ms(10)), "at once");
    path.record_probe(ms(10));
    path.record_unconnected(&up(1), UPSTREAMS, ms(20));
    assert!(!path.probe_due(ms(20)));
    assert!(path.probe_due(ms(10) + PROBE_INTERVAL));
}
