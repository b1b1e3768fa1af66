//! Control daemon: the replicated state machine and its RPC service for entries and operators.
//!
//! See `docs/design.md`, sections 3 to 5, and `docs/control.md`.

pub mod app;
pub mod claims;
pub mod cli;
pub mod config;
pub mod machine;
mod results;
pub mod service;
pub mod sightings;
pub mod snapshot;
pub mod telemetry;
pub mod validation;
