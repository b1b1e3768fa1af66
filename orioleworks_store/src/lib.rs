//! Store daemon: replicates batches, routes and weight versions, runs batch items and orders weight loads.
//!
//! See `docs/platform.md`.

#![warn(clippy::disallowed_methods)]

pub mod app;
pub mod cli;
pub mod config;
pub mod confirmation;
pub mod control;
pub mod crashes;
pub mod dispatch;
pub mod duty;
pub mod engines;
pub mod leaving;
pub mod memory;
pub mod orders;
pub mod pace;
pub mod peers;
pub mod permits;
pub mod recorder;
pub mod records;
pub mod reward_call;
pub mod rewards;
pub mod runner;
pub mod service;
pub mod shared;
pub mod snapshot;
pub mod state;
pub mod steps;
pub mod telemetry;
pub mod texts;
pub mod usage;
