//! Time for which a gateway may use the keys that it knows.
//!
//! Handles gateways that are paused or partitioned while a key is revoked: a request that is sent later than a bound after the
//! acknowledgement of the revocation must not run. All times are on one clock of the gateway that runs on while it is
//! paused. See `docs/design/tenants-usage-and-bounds.md`.

use std::time::Duration;

/// Share of the bound for which a confirmation may be used, in percent; the rest covers the drift of two clocks.
const USABLE_PERCENT: u32 = 90;

/// What a store replied about the newest route document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Version that a quorum has confirmed as the newest.
    pub version: u64,
    /// Time from the question to the quorum until the reply.
    pub age: Duration,
}

/// Lease on the keys of a route document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyLease {
    bound: Duration,
    version: u64,
    until: Duration,
}

impl KeyLease {
    /// Creates a lease that has expired. A revocation takes effect within `bound`.
    pub fn new(bound: Duration) -> Self {
        Self { bound, version: 0, until: Duration::ZERO }
    }

    /// Renews the lease by a reply to a question that was sent at `asked_at`. The quorum was asked no earlier than the age of its
    /// answer before that, however long the reply took.
    pub fn renew(&mut self, asked_at: Duration, confirmation: Confirmation) {
        let usable = self.bound * USABLE_PERCENT / 100;
        self.version = self.version.max(confirmation.version);
        self.until = self.until.max((asked_at + usable).saturating_sub(confirmation.age));
    }

    /// Whether the keys of the document of a version may be used.
    pub fn allows(&self, version: u64, now: Duration) -> bool {
        now < self.until && version >= self.version
    }

    /// Time that is left.
    pub fn remaining(&self, now: Duration) -> Duration {
        self.until.saturating_sub(now)
    }
}
