//! Rules of a duty that one store at a time performs for an outside service, and of the usage reports that it sends; see
//! `docs/design/tenants-usage-and-bounds.md`, section 2.3.

use std::time::Duration;

/// Longest time from the question to the quorum until the call is sent. It must stay far below the lease, which is the time
/// that the next holder waits.
pub const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(100);

/// Fencing token of a holder: its term, which rises with each leader.
pub fn token(term: u64) -> u64 {
    term
}

/// Whether a new leader has waited long enough for its predecessor to send nothing any more.
pub fn is_lease_over(since_election: Duration, lease: Duration) -> bool {
    since_election >= lease
}

/// Whether a quorum has confirmed the leadership a short time ago. The age is that of the question, on a clock that runs on
/// while the process is paused.
pub fn is_confirmed(age: Option<Duration>) -> bool {
    age.is_some_and(|age| age <= MAX_CONFIRMATION_AGE)
}

/// Whether a leader may send a call now. `refused` says that the service has refused its term for a higher token.
pub fn may_call(lease_over: bool, confirmed: bool, refused: bool) -> bool {
    lease_over && confirmed && !refused
}

/// Whether counts are added to a window: not after it was closed, because its report may have been sent.
pub fn accepts_counts(closed: bool) -> bool {
    !closed
}

/// Whether a window may be closed. Windows are closed in order, each some time after its end (`due`).
pub fn may_close(closed: bool, previous_closed: bool, due: bool) -> bool {
    !closed && previous_closed && due
}

/// Whether the report of a window may be sent: its counts are fixed by a committed entry, and no reply is committed yet.
pub fn may_report(closed: bool, reported: bool) -> bool {
    closed && !reported
}
