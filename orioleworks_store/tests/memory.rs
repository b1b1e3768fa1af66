//! When a store has no memory for another batch.

use orioleworks_store::memory::{Monitor, OPEN_PERCENT, RESIDENT_PERCENT, Short, Usage};

const LIMIT: usize = 140 << 20;

fn monitor(samples: &[usize]) -> Monitor {
    let monitor = Monitor::new(LIMIT);
    for percent in samples {
        monitor.note(LIMIT * percent / 100);
    }
    monitor
}

/// Guards against batches that are accepted although the platform is about to kill the store for its memory.
#[test]
fn a_leader_that_is_full_accepts_no_other_batch() {
    let full = RESIDENT_PERCENT + 2;
    let short = monitor(&[full, full, full]).is_short(Usage::default(), 1, 10);
    let resident = LIMIT * full / 100;
    assert_eq!(short, Some(Short { resident, held: 10, limit: LIMIT }));
}

/// Guards against batches that are refused although they fit: after a peak, after a start, and where most of the memory is free
/// memory of the allocator.
#[test]
fn a_batch_that_fits_is_not_refused() {
    let full = RESIDENT_PERCENT + 5;
    let fits = |samples: &[usize], open| monitor(samples).is_short(Usage::default(), open, 10);
    assert_eq!(fits(&[RESIDENT_PERCENT, RESIDENT_PERCENT, RESIDENT_PERCENT], 5), None);
    assert_eq!(fits(&[full, full], 5), None, "after a start");
    assert_eq!(fits(&[50, full, full], 5), None, "a peak");
    assert_eq!(fits(&[full, full, full, 50], 5), None, "below again");
    assert_eq!(fits(&[full, full, full, full], 0), None, "nothing is open that could make room");
}

/// Guards against open batches that outgrow the memory before it is resident.
#[test]
fn open_batches_hold_a_share_of_the_memory_at_most() {
    let part = LIMIT * OPEN_PERCENT / 100 / 4;
    let texts = LIMIT;
    let usage = Usage { bodies: part, progress: part, running: part, texts, ..Usage::default() };
    let monitor = monitor(&[50, 50, 50]);
    assert_eq!(monitor.is_short(usage, 1, part), None);
    let short = monitor.is_short(usage, 1, part + 10).unwrap();
    assert_eq!(short.held, 4 * part + 10);
    assert_eq!(monitor.is_short(usage, 0, part + 10), None, "the first one");
}
