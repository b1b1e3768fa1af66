//! Gateway daemon: accepts callers' requests and trainers' batches on a platform with routes.
//!
//! See `docs/platform.md`.

#![warn(clippy::disallowed_methods)]

pub mod app;
pub mod attempt;
pub mod batches;
pub mod buffers;
pub mod callers;
pub mod carrier;
pub mod cli;
pub mod config;
pub mod crashes;
pub mod forward;
pub mod keys;
pub mod path;
pub mod permits;
pub mod relay;
pub mod reports;
pub mod responses;
pub mod streams;
pub mod telemetry;
pub mod usage;
pub mod view;
pub mod watch;
