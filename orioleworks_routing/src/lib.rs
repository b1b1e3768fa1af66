//! Routing policies of orioleworks: membership, limits, queues, retry budgets, load balancing, affinity and suspects.
//!
//! The package does no I/O and reads no clock: callers pass the time as a [`std::time::Duration`] since any fixed
//! origin. Each policy has a setting that selects a simple baseline for comparison. See `docs/design.md`, sections 6 to
//! 8.

#![warn(clippy::disallowed_methods)]

pub mod affinity;
pub mod budget;
pub mod choice;
pub mod crashes;
pub mod fleet;
pub mod helpers;
pub mod items;
pub mod key_lease;
pub mod limit;
pub mod members;
pub mod outlier;
pub mod path;
pub mod permits;
pub mod queue;
pub mod rates;
pub mod rewards;
pub mod routes;
pub mod spread;
pub mod streams;
pub mod suspects;
pub mod tenants;
pub mod usage;
pub mod versions;
