//! Guard conditions shared by the daemons and the specifications, so that the two cannot diverge.
//!
//! Every rule is a plain function without I/O; `docs/models.md` lists the specification that checks it.

pub mod batches;
pub mod claims;
pub mod delivery;
pub mod duty;
pub mod log;
pub mod streams;
