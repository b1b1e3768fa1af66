//! Shared parts of the orioleworks daemons: logs, metrics, HTTP server, inner RPC, clocks and shutdown.
//!
//! See `docs/design.md`, sections 2, 3 and 11.

pub mod clock;
pub mod control;
#[cfg(feature = "failpoints")]
pub mod failpoints;
pub mod fingerprint;
pub mod http;
pub mod log_writer;
pub mod logging;
pub mod memory;
pub mod metrics;
pub mod reload;
pub mod rpc;
pub mod shutdown;
mod stall;
pub mod start;
pub mod stream;
