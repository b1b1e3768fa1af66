//! Lease under which one entry of a failure domain sends orders to its engines.
//!
//! See `docs/design.md`, section 9.

use std::{cell::Cell, rc::Rc, time::Duration};

use orioleworks_daemon::{clock, control::ControlClient};
use orioleworks_proto::{codes::ResultCode, inner};
use orioleworks_rules::delivery;
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

/// Duration of the lease; control uses the same value.
pub const LEASE_MS: u64 = 3000;
/// Longest time that an order can take to arrive at an engine.
pub const LONGEST_DELIVERY_MS: u64 = 1000;
/// Interval at which the lease is acquired or renewed.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for control's response.
const ACQUIRE_TIMEOUT: Duration = Duration::from_millis(900);

/// Fencing token, by which an engine detects an outdated order; compared by epoch, then sequence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fencing {
    /// Epoch of the lease.
    pub epoch: u64,
    /// Number of the order under the lease.
    pub sequence: u64,
}

/// Lease that this entry holds.
#[derive(Debug)]
pub struct Lease {
    /// Epoch assigned by control.
    pub epoch: u64,
    /// Cancelled when the lease is lost.
    pub token: CancellationToken,
    expires_ms: Cell<u64>,
    first_unfenced_order_at_ms: u64,
    sequence: Cell<u64>,
}

/// Milliseconds since boot, including suspension.
pub fn now_ms() -> u64 {
    u64::try_from(clock::since_boot().as_millis()).unwrap_or(u64::MAX)
}

impl Lease {
    /// Creates a lease that was requested at `requested_ms` and granted no later than `granted_ms`.
    ///
    /// Control may have granted it at any time in between. The expiry therefore counts from the request, and the wait
    /// of a new holder from the response. Every epoch but the first may follow one of another holder.
    pub fn new(epoch: u64, requested_ms: u64, granted_ms: u64, token: CancellationToken) -> Self {
        let took_over = epoch > 1;
        let first_unfenced_order_at_ms =
            delivery::first_unfenced_order_ms(granted_ms, took_over, LEASE_MS, LONGEST_DELIVERY_MS);
        let expires_ms = Cell::new(requested_ms + LEASE_MS);
        Self { epoch, token, expires_ms, first_unfenced_order_at_ms, sequence: Cell::new(0) }
    }

    /// Extends the lease after a renewal that was requested at `requested_ms`.
    pub fn renew(&self, requested_ms: u64) {
        self.expires_ms.set(self.expires_ms.get().max(requested_ms + LEASE_MS));
    }

    /// Whether the lease has expired.
    pub fn has_expired(&self) -> bool {
        now_ms() >= self.expires_ms.get()
    }

    /// Remaining time until orders may be sent to engines that do not check fencing tokens.
    pub fn unfenced_wait(&self) -> Duration {
        Duration::from_millis(self.first_unfenced_order_at_ms.saturating_sub(now_ms()))
    }

    /// Fencing token for an order that is sent now; `None` if no order may be sent.
    pub fn next_order(&self, checks_fencing: bool) -> Option<Fencing> {
        let now = now_ms();
        let held = !self.token.is_cancelled()
            && delivery::may_order(now, self.expires_ms.get(), LONGEST_DELIVERY_MS);
        if !held || (!checks_fencing && now < self.first_unfenced_order_at_ms) {
            return None;
        }
        self.sequence.set(self.sequence.get() + 1);
        Some(Fencing { epoch: self.epoch, sequence: self.sequence.get() })
    }
}

/// Result of a request for the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acquired {
    /// This entry holds the lease under an epoch.
    Held(u64),
    /// Another entry holds it.
    HeldByOther,
    /// Control did not decide; a held lease stays valid until it expires.
    NoResponse,
}

/// Acquires or renews the lease of a failure domain.
pub async fn acquire(
    control: &ControlClient,
    domain: &str,
    entry: &str,
    entry_incarnation: u64,
    number: u64,
) -> Acquired {
    let (domain, entry) = (domain.to_owned(), entry.to_owned());
    let order_id = format!("lease-{entry}-{entry_incarnation}-{number}");
    let lease = inner::AcquireOrderLease { domain, entry, entry_incarnation };
    let kind = Some(inner::command::Kind::AcquireOrderLease(lease));
    let command = inner::Command { expected_revision: None, kind };
    match control.propose(order_id, command, ACQUIRE_TIMEOUT).await {
        Ok(reply) if reply.code == ResultCode::Ok.number() => Acquired::Held(reply.epoch),
        Ok(reply) if reply.code == ResultCode::LeaseHeld.number() => Acquired::HeldByOther,
        Ok(_) | Err(_) => Acquired::NoResponse,
    }
}

/// Returns the lease that is held after a request for it; cancels a lost one.
pub fn apply_acquisition(
    held: Option<Rc<Lease>>,
    acquired: Acquired,
    requested_ms: u64,
    parent: &CancellationToken,
) -> Option<Rc<Lease>> {
    let kept = match (held, acquired) {
        (Some(lease), Acquired::Held(epoch)) if lease.epoch == epoch => {
            lease.renew(requested_ms);
            Some(lease)
        }
        (Some(lease), Acquired::NoResponse) if !lease.has_expired() => Some(lease),
        (held, acquired) => {
            if let Some(lease) = held {
                lease.token.cancel();
            }
            let Acquired::Held(epoch) = acquired else { return None };
            Some(Rc::new(Lease::new(epoch, requested_ms, now_ms(), parent.child_token())))
        }
    };
    kept.filter(|lease| !lease.token.is_cancelled())
}
