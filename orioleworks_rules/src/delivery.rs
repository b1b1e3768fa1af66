//! Rules of sample delivery; see `docs/design.md`, sections 9 and 10.

/// Whether a sample may be delivered: its lowest weight version is within the profile's staleness bound.
pub fn is_fresh(lowest_version: u64, trainer_version: u64, max_staleness: u64) -> bool {
    trainer_version.saturating_sub(lowest_version) <= max_staleness
}

/// Response of an owner to a request for a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BatchDecision {
    /// Creates a new batch at the requested cursor; everything before it is acknowledged.
    Next,
    /// Sends the open batch again, unmodified.
    Repeat,
    /// Rejects the request, because its epoch is not the owner's.
    StaleEpoch,
    /// Rejects the request, because its cursor is neither that of the open batch nor the next one.
    BadCursor,
}

/// Delivery state of an owner for one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OwnerCursor {
    /// Epoch under which the owner opened the step.
    pub epoch: u64,
    /// Cursor of the open batch, or of the next batch when none is open.
    pub cursor: u64,
    /// Whether a batch at `cursor` was sent and is not yet acknowledged.
    pub batch_open: bool,
}

/// Decides a request for a batch.
pub fn decide_batch(owner: OwnerCursor, epoch: u64, cursor: u64) -> BatchDecision {
    if epoch != owner.epoch {
        BatchDecision::StaleEpoch
    } else if cursor == owner.cursor {
        if owner.batch_open { BatchDecision::Repeat } else { BatchDecision::Next }
    } else if owner.batch_open && cursor == owner.cursor + 1 {
        BatchDecision::Next
    } else {
        BatchDecision::BadCursor
    }
}

/// Delivery state of a trainer for one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TrainerCursor {
    /// Epoch of the last open that the trainer made.
    pub epoch: u64,
    /// Cursor that the trainer requested.
    pub cursor: u64,
}

/// Whether a trainer may accept a batch; the caller also checks that none of its slots is filled yet.
pub fn may_take_batch(trainer: TrainerCursor, batch_epoch: u64, batch_cursor: u64) -> bool {
    batch_epoch == trainer.epoch && batch_cursor == trainer.cursor
}

/// Whether an order may be sent to an engine: the lease must still be valid at the latest time of its arrival.
///
/// Times are in milliseconds, from a clock that keeps running while the system is suspended.
pub fn may_order(now_ms: u64, lease_until_ms: u64, longest_delivery_ms: u64) -> bool {
    now_ms.saturating_add(longest_delivery_ms) <= lease_until_ms
}

/// Time from which a new lease holder may send orders to an engine that does not check fencing tokens.
pub fn first_unfenced_order_ms(
    acquired_ms: u64,
    took_over: bool,
    lease_ms: u64,
    longest_delivery_ms: u64,
) -> u64 {
    if took_over { acquired_ms.saturating_add(lease_ms + longest_delivery_ms) } else { acquired_ms }
}

/// Whether a trainer may raise the version in its requests for batches.
///
/// The owner checks the staleness of a batch against the version in the first request, and repeats it unmodified. A
/// trainer that raised its version in between would accept samples older than the bound.
pub fn may_raise_version(asked_at_cursor: bool) -> bool {
    !asked_at_cursor
}

/// Epoch of a new open. It increases even if the owner stays the same: cursors restart, and delayed batches of the
/// previous open must not match.
pub fn epoch_of_open(current_epoch: u64) -> u64 {
    current_epoch + 1
}
