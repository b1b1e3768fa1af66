//! Counts of requests by window: each request and each part counts once, and reports go out in order.

use std::{rc::Rc, time::Duration};

use orioleworks_routing::usage::{
    BACKLOG_MS, Counter, Pacing, Recorded, RequestUsage, Schedule, Windows,
};
use rstest::rstest;

const WINDOW_MS: u64 = 5000;
const SCHEDULE: Schedule = Schedule { window_ms: WINDOW_MS, close_after_ms: 6000 };

fn alpha() -> Rc<str> {
    "alpha".into()
}

/// Guards against requests that count twice, in the window of an attempt that did not run, or not at all.
#[test]
fn a_request_counts_once_when_it_was_first_sent() {
    let mut refused = RequestUsage::default();
    refused.record_sent(1, 100);
    assert_eq!(refused.record_end(1, false), None);
    assert_eq!(refused.count_overdue(10_000), None, "every attempt was refused");
    refused.record_sent(2, 200);
    assert_eq!(refused.record_end(2, true), Some(200), "the first attempt did not run");
    assert_eq!(refused.record_end(3, true), None);

    let mut hedged = RequestUsage::default();
    hedged.record_sent(1, 100);
    hedged.record_sent(2, 300);
    assert_eq!(hedged.record_end(2, true), Some(100), "the first attempt may run");
    assert_eq!(hedged.record_end(1, true), None);

    let mut slow = RequestUsage::default();
    slow.record_sent(1, 100);
    assert_eq!(slow.count_overdue(599), None);
    assert_eq!(slow.count_overdue(600), Some(100));
    assert_eq!(slow.record_end(1, true), None);
    assert_eq!(RequestUsage::default().record_end(1, true), None, "it was never sent");
}

/// Guards against parts that change, or are numbered anew, while they may have been committed.
#[test]
fn a_part_is_sent_unchanged_until_it_is_acknowledged() {
    let mut counter = Counter::new(WINDOW_MS);
    assert_eq!(counter.next_part(), None);
    counter.count(&alpha(), 1);
    let part = counter.next_part().unwrap();
    assert_eq!((part.sequence, part.counts.as_slice()), (1, &[(0, alpha(), 1)][..]));
    counter.count(&alpha(), 2);
    assert_eq!(counter.next_part().as_ref(), Some(&part));
    counter.acknowledge(7);
    assert_eq!(counter.next_part(), Some(part));
    counter.acknowledge(1);
    assert_eq!(counter.next_part().map(|part| part.sequence), Some(2));
}

/// Guards against a gateway whose memory fills while no store takes its counts.
#[test]
fn a_gateway_keeps_the_windows_of_ten_minutes() {
    let mut counter = Counter::new(WINDOW_MS);
    counter.count(&alpha(), 0);
    let part = counter.next_part();
    let windows = BACKLOG_MS / WINDOW_MS + 10;
    for window in 1..windows {
        counter.count(&alpha(), window * WINDOW_MS);
    }
    let now = windows * WINDOW_MS;
    assert_eq!(counter.drop_expired(now), 10);
    assert_ne!(counter.next_part(), part, "the first part has expired");
    assert_eq!(counter.unacknowledged(), BACKLOG_MS / WINDOW_MS);
}

/// Guards against parts that count twice, and counts of closed windows that change.
#[test]
fn parts_count_once_and_closed_windows_are_fixed() {
    let mut windows = Windows::default();
    windows.begin(10);
    let record = |windows: &mut Windows, boot, sequence, window| {
        windows.record("g", boot, sequence, [(window, alpha(), 2)]).late.len()
    };
    assert_eq!(record(&mut windows, 1, 1, 10), 0);
    assert_eq!(record(&mut windows, 1, 1, 10), 0);
    assert_eq!(record(&mut windows, 2, 1, 10), 0, "another process");
    assert_eq!(windows.close(10), Some(0));
    assert_eq!(windows.closed[&10][&alpha()], 4);
    assert_eq!(record(&mut windows, 2, 2, 10), 1, "late");
    assert_eq!(windows.close(10), None);
    assert_eq!(windows.closed[&10][&alpha()], 4);
    windows.discard(10);
    assert_eq!(windows.close(10), None, "a reported window is not reported again");
    assert!(windows.closed.is_empty());
}

/// Guards against windows that are closed early, left out because nothing ran in them, or reported out of order, and against
/// a backlog without a bound.
#[test]
fn windows_close_and_are_reported_in_order() {
    let mut windows = Windows::default();
    windows.begin(1000);
    let end = 1001 * WINDOW_MS;
    assert_eq!(windows.due_to_close(SCHEDULE, end + 5999), None);
    assert_eq!(windows.due_to_close(SCHEDULE, end + 6000), Some((1000, 0)));
    let now = end + 2 * WINDOW_MS + 6000;
    while let Some((window, 0)) = windows.due_to_close(SCHEDULE, now) {
        assert_eq!(windows.close(window), Some(0));
    }
    for window in 1000..=1002 {
        let due = windows.due_to_report(SCHEDULE, now).unwrap();
        assert_eq!(due.map(|(window, counts)| (window, counts.len())), Some((window, 0)));
        windows.discard(window);
    }
    assert_eq!(windows.due_to_report(SCHEDULE, now), Ok(None));

    windows.close(1003);
    let after_outage = now + BACKLOG_MS + 10 * WINDOW_MS;
    assert_eq!(windows.due_to_report(SCHEDULE, after_outage), Err(1003));
    let (window, dropped) = windows.due_to_close(SCHEDULE, after_outage).unwrap();
    assert_eq!(window * WINDOW_MS, (after_outage - BACKLOG_MS).next_multiple_of(WINDOW_MS));
    assert_eq!(dropped, window - 1004);
}

/// Guards against state that grows without a bound if no store closes windows or gateways restart often.
#[test]
fn the_replicated_counts_are_bounded() {
    let mut windows = Windows::default();
    let mut dropped = 0;
    for i in 0..10_000 {
        dropped += windows.record("g", i + 1, 1, [(i, alpha(), 1)]).dropped;
    }
    assert_eq!(dropped, 10_000 - windows.open.len() as u64, "every dropped count is told");
    assert!(windows.open.len() <= 600 && windows.last_parts.len() <= 4096);
    assert_eq!(windows.record("g", 10_000, 1, [(1, alpha(), 1)]), Recorded::default());
    assert_eq!(windows.open[&1][&alpha()], 1, "the newest processes are remembered");

    let closed = (0..1000).filter_map(|window| windows.close(window)).sum::<u64>();
    let kept = windows.closed.values().flat_map(|counts| counts.values()).sum::<u64>();
    assert_eq!((closed, kept), (400, 200), "windows 0 to 599 had a request each");
}

/// Guards against a gateway whose last part is forgotten because others restart often, so that a part that it sends again
/// counts twice.
#[test]
fn a_process_that_sends_parts_is_remembered() {
    let mut windows = Windows::default();
    windows.record("old", 1, 1, [(5, alpha(), 1)]);
    for boot in 0..10_000 {
        windows.record("restarting", boot, 1, []);
        if boot % 4000 == 0 {
            windows.record("old", 1, 2 + boot / 4000, [(5, alpha(), 1)]);
        }
    }
    assert_eq!(windows.open[&5][&alpha()], 4);
    windows.record("old", 1, 4, [(5, alpha(), 1)]);
    assert_eq!(windows.open[&5][&alpha()], 4, "it was added before");
}

/// Guards against calls that cost more than they have to while the infrastructure does not respond.
#[rstest]
#[case(1, 250)]
#[case(2, 500)]
#[case(4, 2000)]
#[case(9, 4000)]
fn pauses_double_with_each_failure(#[case] failures: u32, #[case] pause_ms: u64) {
    let now = Duration::from_secs(1);
    let mut pacing = Pacing::new(50.0);
    assert_eq!(pacing.wait(now), Duration::ZERO);
    (0..failures).for_each(|_| pacing.record_failure(now));
    assert_eq!(pacing.wait(now), Duration::from_millis(pause_ms));
    pacing.record_success(now);
    assert_eq!(pacing.wait(now), Duration::from_millis(40), "half of the calls a second");
}
