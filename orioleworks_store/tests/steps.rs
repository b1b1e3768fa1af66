//! Tests of the report of what a step waited for.

use std::time::Duration;

use orioleworks_proto::inner;
use orioleworks_store::steps::{Completed, ItemTimes, Step};

const MS: fn(u64) -> Duration = Duration::from_millis;

/// Guards against a report that takes the wait of an item for slow generation, or a pause for many slow events.
#[test]
fn the_time_of_an_item_is_split_into_its_parts() {
    let mut times = ItemTimes::default();
    times.run_started(MS(2800));
    times.event(None, MS(90), false);
    times.event(Some(MS(50)), MS(140), false);
    times.event(Some(MS(1100)), MS(1240), true);
    times.run_started(MS(30));
    times.event(None, MS(70), false);
    times.event(Some(MS(50)), MS(120), false);
    assert_eq!((times.first_wait, times.later_waits), (MS(2800), MS(30)));
    assert_eq!((times.to_first_event, times.generating), (MS(160), MS(1200)));
    assert_eq!((times.paused, times.paused_by_loads), (MS(1100), MS(1100)));
    assert_eq!(times.runs, 2);
}

/// Guards against a report at the last group, although the trainer waits for fewer.
#[test]
fn a_step_is_complete_with_the_groups_that_its_trainer_waits_for() {
    let item = |id: &str, group: &str| inner::BatchItem {
        id: id.into(),
        group: group.into(),
        ..Default::default()
    };
    let items = [item("a1", "a"), item("a2", "a"), item("b1", "b"), item("c1", "c")];
    let mut step = Step::new(items.iter(), 2, Duration::ZERO, Duration::ZERO);
    let batch = inner::Batch::default();
    let times = ItemTimes::default();
    let mut complete = |item: &inner::BatchItem| {
        let (item, group) = (&*item.id, &*item.group);
        let item =
            Completed { item, group, upstream: "e", times: &times, events: 3, expected_events: 3 };
        step.complete("batch", &batch, &item, MS(10))
    };
    assert!(!complete(&items[0]));
    assert!(!complete(&items[2]), "one of two groups is complete");
    assert!(complete(&items[1]));
    assert!(!complete(&items[3]), "a step is reported once");
}
