//! Harness of the fault matrix: runs real processes with fail points and injects faults at single protocol steps.
//!
//! See `docs/MATRIX.md`.

pub mod cell;
pub mod claims;
pub mod cluster;
pub mod configuration;
pub mod http_relay;
pub mod log;
pub mod orders;
pub mod poison;
pub mod samples;
pub mod stops;
pub mod swaps;
pub mod traffic;
pub mod verdicts;
