//! Entry daemon: the caller, trainer and upstream traffic of a failure domain.
//!
//! See `docs/design.md`, sections 5 to 12. The parts are a library, so that others can embed them.

pub mod app;
pub mod cli;
pub mod config;
pub mod configuration;
pub mod dispatch;
pub mod watch;
