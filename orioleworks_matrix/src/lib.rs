//! Harness for the fault matrix: starts real processes with fail points and stops them by ID.
//!
//! See `docs/MATRIX.md`.

pub mod cell;
pub mod claims;
pub mod configuration;
pub mod http_relay;
pub mod log;
pub mod orders;
pub mod poison;
pub mod samples;
pub mod site;
pub mod stops;
pub mod swaps;
pub mod traffic;
pub mod verdicts;
