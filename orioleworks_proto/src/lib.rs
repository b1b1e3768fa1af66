//! Inner protocol of orioleworks: the messages between its processes, their framing and the result codes.
//!
//! The messages are described in `docs/design.md`, section 3.

pub mod codes;
pub mod frames;
pub mod socket;

/// Messages generated from `proto/inner.proto`.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/inner.rs"]
pub mod inner;
