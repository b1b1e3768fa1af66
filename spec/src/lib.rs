//! Specifications of the core protocols and their exhaustive exploration; see `docs/models.md`.
//!
//! The guards are the functions of `orioleworks_rules`, and the lease of `orioleworks_routing::key_lease`, that the daemons call.

pub mod batches;
pub mod claims;
pub mod delivery;
pub mod duty;
pub mod explore;
pub mod key_lease;
pub mod log;
pub mod log_state;
mod log_steps;
pub mod rewards;
pub mod streams;
