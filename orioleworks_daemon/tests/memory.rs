//! Who is closed and who is refused when the memory for bodies and responses is used up.

use std::time::{Duration, Instant};

use orioleworks_daemon::memory::{Decision, Ledger, SMALL_BYTES, STALL_TIME};

const MB: usize = 1024 * 1024;
/// Largest legal body, in bytes.
const LARGEST_BODY: usize = 32 * MB;

fn ledger() -> Ledger {
    Ledger::new(64 * MB, 4 * MB)
}

/// Guards against the end of a client that is only slower than others, and of the smaller of two that have stopped.
#[test]
fn the_largest_stalled_share_ends_first() {
    let (mut ledger, start) = (ledger(), Instant::now());
    let (small, large, active) = (ledger.open(start), ledger.open(start), ledger.open(start));
    let late = start + STALL_TIME;
    assert_eq!(ledger.grow(small, 10 * MB, start), Decision::Granted);
    assert_eq!(ledger.grow(large, 20 * MB, start), Decision::Granted);
    assert_eq!(ledger.grow(active, 30 * MB, late), Decision::Granted);
    let new = ledger.open(late);
    assert_eq!(ledger.grow(new, 15 * MB, late), Decision::Close(large));
    assert_eq!(ledger.grow(new, 15 * MB, late), Decision::Close(small));
    assert_eq!(ledger.grow(new, 15 * MB, late), Decision::Wait);
    ledger.close(large);
    assert_eq!(ledger.grow(new, 15 * MB, late), Decision::Granted);
    assert_eq!(ledger.used(), 55 * MB);
}

/// Guards against the end of a request that may have been passed on, and of one that still arrives.
#[test]
fn complete_and_active_shares_are_not_ended() {
    let (mut ledger, start) = (ledger(), Instant::now());
    let (complete, active) = (ledger.open(start), ledger.open(start));
    let late = start + 10 * STALL_TIME;
    assert_eq!(ledger.grow(complete, LARGEST_BODY, start), Decision::Granted);
    ledger.keep(complete);
    assert_eq!(ledger.grow(active, 28 * MB, late - Duration::from_millis(1)), Decision::Granted);
    let new = ledger.open(late);
    assert_eq!(ledger.grow(new, MB, late), Decision::Refused);
    // Small requests use the reserve.
    assert_eq!(ledger.grow(new, SMALL_BYTES, late), Decision::Granted);
}

/// Guards against responses that are refused although their requests have run, and readers that hold memory for ever.
#[test]
fn a_response_is_always_charged_and_ends_the_slowest_reader() {
    let (mut ledger, start) = (ledger(), Instant::now());
    let (reader, response) = (ledger.open(start), ledger.open(start));
    assert_eq!(ledger.overdraw(reader, 64 * MB, start), None);
    assert_eq!(ledger.overdraw(response, MB, start), None);
    let late = start + STALL_TIME;
    assert_eq!(ledger.overdraw(response, MB, late), Some(reader));
    ledger.close(reader);
    ledger.close(response);
    assert_eq!(ledger.used(), 0);
}

/// Guards against a largest batch that is refused in calm because of one small request, and against copies that are charged to
/// nobody beside another large body.
#[test]
fn copies_of_the_largest_body_fit_beside_small_shares_only() {
    let (mut ledger, now) = (ledger(), Instant::now());
    let (small, body, copies) = (ledger.open(now), ledger.open(now), ledger.open(now));
    for (id, bytes) in [(small, SMALL_BYTES), (body, LARGEST_BODY)] {
        assert_eq!(ledger.grow(id, bytes, now), Decision::Granted);
        ledger.keep(id);
    }
    assert_eq!(ledger.grow_for_copies(copies, LARGEST_BODY, now), Decision::Granted);
    assert_eq!(ledger.used(), 60 * MB);
    ledger.close(copies);
    let (other, copies) = (ledger.open(now), ledger.open(now));
    assert_eq!(ledger.grow(other, 5 * MB, now), Decision::Granted);
    assert_eq!(ledger.grow_for_copies(copies, LARGEST_BODY, now), Decision::Refused);
}

/// Guards against a response that is held beyond the limit because only one of several stalled shares ends for it.
#[test]
fn a_response_ends_stalled_shares_until_it_fits() {
    let (mut ledger, start) = (ledger(), Instant::now());
    let (first, second, response) = (ledger.open(start), ledger.open(start), ledger.open(start));
    assert_eq!(ledger.overdraw(first, 10 * MB, start), None);
    assert_eq!(ledger.overdraw(second, 30 * MB, start), None);
    let late = start + STALL_TIME;
    assert_eq!(ledger.overdraw(response, 60 * MB, late), Some(second));
    assert_eq!(ledger.next_excess(response, late), Some(first));
    assert_eq!(ledger.next_excess(response, late), None);
}

/// Guards against bodies that never end and take all connections, and against the end of one that is still sent.
#[test]
fn the_body_without_progress_for_longest_ends_for_a_connection() {
    let (mut ledger, start) = (ledger(), Instant::now());
    let (steady, stopped, reader) = (ledger.open(start), ledger.open(start), ledger.open(start));
    assert_eq!(ledger.overdraw(reader, MB, start), None);
    let late = start + STALL_TIME;
    ledger.progress(steady, late);
    assert_eq!(ledger.longest_stalled(late - Duration::from_millis(1)), None);
    assert_eq!(ledger.longest_stalled(late), Some(stopped));
    assert_eq!(ledger.longest_stalled(late + STALL_TIME), None, "one ends at a time");
    ledger.close(stopped);
    assert_eq!(ledger.longest_stalled(late), None, "neither the steady one nor the response");
}
