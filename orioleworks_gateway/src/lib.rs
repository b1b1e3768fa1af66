//! Gateway daemon: accepts callers' requests and trainers' batches on a platform with routes.
//!
//! See `docs/platform.md`.

pub mod app;
pub mod batches;
pub mod buffers;
pub mod callers;
pub mod cli;
pub mod config;
pub mod crashes;
pub mod forward;
pub mod permits;
pub mod reports;
pub mod responses;
pub mod streams;
pub mod telemetry;
pub mod view;
pub mod watch;
