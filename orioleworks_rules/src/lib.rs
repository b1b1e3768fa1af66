//! Guards that the daemons and the specifications share, so that the two cannot drift apart.
//!
//! Every rule is a plain function without I/O; `docs/models.md` names the specification that explores it.

pub mod batches;
pub mod claims;
pub mod delivery;
pub mod log;
