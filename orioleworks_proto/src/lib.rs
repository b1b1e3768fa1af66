//! Inner protocol of orioleworks: the messages between its processes, their framing and the result codes.
//!
//! The messages are described in `docs/design.md`, section 3.

pub mod codes;
pub mod frames;
pub mod socket;

/// What this program understands of the messages and commands, where an older program would lose something: 0 until the
/// landing of 2026-12-04, 1 with reward calls, 2 with tenants and usage. See `docs/platform.md`, "Programs of two versions".
pub const PROTOCOL: u32 = 2;
/// The first protocol version with reward calls.
pub const PROTOCOL_WITH_REWARD_CALLS: u32 = 1;
/// The first protocol version with tenants of batches and with counts of requests.
pub const PROTOCOL_WITH_TENANTS: u32 = 2;

/// Messages generated from `proto/inner.proto`.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/inner.rs"]
pub mod inner;
