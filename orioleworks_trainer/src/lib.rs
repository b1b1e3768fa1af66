//! Trainer client of orioleworks: what a trainer must do for exactly-once delivery.
//!
//! See `docs/design.md`, section 10. The contract of a trainer, which [`Trainer`] implements:
//!
//! 1. Keep [`state::State`] (run, step, epoch, cursor, taken slots) durably, in the same atomic write as whatever the
//!    trainer derives from the samples. `persist` gets the new state and the samples and must return only after both
//!    are durable. When it fails, restart from the durable state, because the write may have happened.
//! 2. Open the step before requesting batches, after each restart, when the owner is lost, and whenever an entry
//!    refuses the epoch, the cursor or the step. Send the taken slots and the last epoch. Persist the new epoch with
//!    cursor 0 before the first request for a batch.
//! 3. Have at most one request for a batch in flight. Never use the response to an abandoned request.
//! 4. Take a batch only if its epoch is the one opened last and its cursor is the requested one
//!    (`orioleworks_rules::delivery::may_take_batch`), and of its samples only those whose slot is not taken. Record
//!    slots and next cursor in one write.
//! 5. Send the trainer's weight version in every request; it never decreases within a step.
//! 6. Send one more request with the cursor after a complete batch, which acknowledges the batch and closes the step.
//! 7. Publish a version under one order ID and resend it under the same ID until a response arrives.

pub mod client;
pub mod error;
pub mod messages;
pub mod publish;
pub mod state;

pub use client::Trainer;
pub use error::TrainerError;
