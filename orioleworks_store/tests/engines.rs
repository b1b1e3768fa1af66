//! Tests of what the leader believes of the speed of engines.

use std::time::Duration;

use orioleworks_routing::outlier::Key;
use orioleworks_store::engines::Engines;

/// Guards against moves to engines of which nothing is known (SHORT): a start value below the time of any engine made each
/// engine without streams the fastest one.
#[test]
fn an_engine_that_was_not_measured_is_not_the_fastest() {
    let (measured, idle): (Key, Key) = (("e1".into(), 1), ("e2".into(), 1));
    let mut engines = Engines::default();
    engines.update_times(Duration::ZERO);
    assert_eq!(engines.fastest_ms(), None);
    let mut now = Duration::ZERO;
    for _ in 0..100 {
        now += Duration::from_millis(50);
        engines.record_event(&measured, Some(Duration::from_millis(50)), now);
    }
    engines.pause_after_refusal(&idle, now);
    engines.update_times(now);
    assert!(
        engines.fastest_ms().is_some_and(|ms| ms >= 49.0),
        "fastest: {:?}",
        engines.fastest_ms()
    );
    assert_eq!(engines.measured_ms(&idle, now), None);
    assert!(
        (engines.event_ms(&idle, now) - 50.0).abs() < 1.0,
        "it is expected to be as fast as others"
    );
    now += Duration::from_secs(20);
    assert_eq!(engines.measured_ms(&measured, now), None, "an old average is no measurement");
}

/// Guards against moves after a pause of the reader (SHORT): events that were held up arrive together, and the last gaps of
/// zero made every engine look faster than it can be.
#[test]
fn events_that_arrive_together_do_not_make_an_engine_fast() {
    let key: Key = ("e1".into(), 1);
    let mut engines = Engines::default();
    let mut now = Duration::ZERO;
    for _ in 0..20 {
        now += Duration::from_millis(500);
        engines.record_event(&key, Some(Duration::from_millis(500)), now);
        for _ in 0..9 {
            engines.record_event(&key, Some(Duration::ZERO), now);
        }
    }
    let ms = engines.measured_ms(&key, now).unwrap();
    assert!((45.0..=55.0).contains(&ms), "ten events in 500 ms were taken for one in {ms} ms");
}
