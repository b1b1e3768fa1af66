//! Rules of sample delivery; see `docs/design.md`, sections 9 and 10.

/// Whether a sample may be delivered: its oldest weights are within the profile's bound.
pub fn is_fresh(lowest_version: u64, trainer_version: u64, max_staleness: u64) -> bool {
    trainer_version.saturating_sub(lowest_version) <= max_staleness
}

/// What an owner does with a request for a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BatchDecision {
    /// Makes a new batch at the requested cursor; everything before it is acknowledged.
    Next,
    /// Sends the open batch again, unchanged.
    Repeat,
    /// Refuses, because the epoch is not the owner's.
    StaleEpoch,
    /// Refuses, because the cursor is neither the open batch's nor the one after it.
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
    /// Cursor that the trainer asked for.
    pub cursor: u64,
}

/// Whether a trainer may take a batch; each slot must also not be taken yet.
pub fn may_take_batch(trainer: TrainerCursor, batch_epoch: u64, batch_cursor: u64) -> bool {
    batch_epoch == trainer.epoch && batch_cursor == trainer.cursor
}

/// Whether an order to an engine may go out: the lease must still hold when the order could arrive.
///
/// Times are milliseconds of the clock that counts while suspended.
pub fn may_order(now_ms: u64, lease_until_ms: u64, longest_delivery_ms: u64) -> bool {
    now_ms.saturating_add(longest_delivery_ms) <= lease_until_ms
}

/// Time from which a new lease holder may order an engine that does not check fencing tokens.
pub fn first_unfenced_order_ms(
    acquired_ms: u64,
    took_over: bool,
    lease_ms: u64,
    longest_delivery_ms: u64,
) -> u64 {
    if took_over { acquired_ms.saturating_add(lease_ms + longest_delivery_ms) } else { acquired_ms }
}

/// Whether a trainer may raise the version that it names in requests for batches.
///
/// A batch is checked for staleness against the version of the request that made it, and a repeat sends it unchanged.
/// A trainer that raised its version between the two would take samples older than the bound.
pub fn may_raise_version(asked_at_cursor: bool) -> bool {
    !asked_at_cursor
}

/// Epoch of an open, also when the owner stays the same: its cursors start again, and late batches must not match.
pub fn epoch_of_open(current_epoch: u64) -> u64 {
    current_epoch + 1
}
