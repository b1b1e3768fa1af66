//! Code shared by stores and gateways: the view of upstreams and stores, and connections to upstreams.
//!
//! See `docs/platform.md`.

#![warn(clippy::disallowed_methods)]

pub mod convert;
pub mod leader_search;
pub mod pool;
pub mod stores;
pub mod texts;
pub mod unusable;
pub mod watch;
