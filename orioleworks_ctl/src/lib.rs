//! Operators' command line of orioleworks; see `docs/design.md`, sections 4 and 5.

pub mod app;
pub mod cli;
pub mod config;
pub mod explain;
pub mod in_force;
pub mod live;
pub mod order;
pub mod profile;
pub mod table;
pub mod views;
