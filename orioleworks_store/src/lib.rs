//! Store daemon: replicated batches, routes and weight versions, and the work that follows from them.
//!
//! See `docs/platform.md`.

pub mod app;
pub mod cli;
pub mod config;
pub mod control;
pub mod dispatch;
pub mod engines;
pub mod orders;
pub mod peers;
pub mod runner;
pub mod service;
pub mod shared;
pub mod state;
pub mod telemetry;
