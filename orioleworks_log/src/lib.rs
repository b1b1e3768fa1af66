//! Replicated log: storage, election, replication, snapshots and membership.
//!
//! See `docs/design.md`, section 4. Every decision that safety depends on is a guard in [`orioleworks_rules::log`].

pub mod commit;
pub mod durable;
pub mod election;
pub mod error;
pub mod files;
pub mod follower;
pub mod journal;
pub mod leader;
pub mod leaderless;
pub mod membership;
pub mod node;
pub mod notify;
pub mod reconfiguration;
pub mod replication;
pub mod settings;
pub mod state;
pub mod tolerance;

pub use error::LogError;
pub use node::{Log, Part, ProposeError, Restoration, Sharing, StateMachine};
pub use settings::{Replica, Settings};
