//! Lease under which one entry of a failure domain orders its engines.
//!
//! See `docs/design.md`, section 9.

use std::{cell::Cell, rc::Rc, time::Duration};

use orioleworks_daemon::{clock, control::ControlClient};
use orioleworks_proto::{codes::ResultCode, inner};
use orioleworks_rules::delivery;
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

/// Length of the lease; control has the same bound.
pub const LEASE_MS: u64 = 3000;
/// Longest time in which an order that was sent can still arrive at an engine.
pub const LONGEST_DELIVERY_MS: u64 = 1000;
/// Interval at which the lease is renewed or asked for.
pub const RENEWAL: Duration = Duration::from_secs(1);
/// Longest wait for control's answer.
const ACQUIRE_TIMEOUT: Duration = Duration::from_millis(900);

/// Token by which an engine recognises an old order; ordered by epoch, then sequence.
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
    /// Epoch from control.
    pub epoch: u64,
    /// Cancelled when the lease is lost.
    pub token: CancellationToken,
    until_ms: Cell<u64>,
    first_unfenced_ms: u64,
    sequence: Cell<u64>,
}

/// Milliseconds of the clock that counts while suspended.
pub fn now_ms() -> u64 {
    u64::try_from(clock::since_boot().as_millis()).unwrap_or(u64::MAX)
}

impl Lease {
    /// Lease asked for at `asked_ms` and granted at the latest at `granted_ms`.
    ///
    /// The end counts from the question and the wait of a new holder from the answer, because control may have
    /// granted it at any time between. Every epoch but the first may have been taken over from another holder.
    pub fn new(epoch: u64, asked_ms: u64, granted_ms: u64, token: CancellationToken) -> Self {
        let took_over = epoch > 1;
        let first_unfenced_ms =
            delivery::first_unfenced_order_ms(granted_ms, took_over, LEASE_MS, LONGEST_DELIVERY_MS);
        let until_ms = Cell::new(asked_ms + LEASE_MS);
        Self { epoch, token, until_ms, first_unfenced_ms, sequence: Cell::new(0) }
    }

    /// Extends the lease after a renewal that was asked for at a time.
    pub fn renew(&self, asked_ms: u64) {
        self.until_ms.set(self.until_ms.get().max(asked_ms + LEASE_MS));
    }

    /// Whether the lease has ended.
    pub fn is_over(&self) -> bool {
        now_ms() >= self.until_ms.get()
    }

    /// Time until engines that do not check fencing tokens may be ordered.
    pub fn unfenced_wait(&self) -> Duration {
        Duration::from_millis(self.first_unfenced_ms.saturating_sub(now_ms()))
    }

    /// Token for an order that goes out now; `None` when no order may go out.
    pub fn next_order(&self, checks_fencing: bool) -> Option<Fencing> {
        let now = now_ms();
        let held = !self.token.is_cancelled()
            && delivery::may_order(now, self.until_ms.get(), LONGEST_DELIVERY_MS);
        if !held || (!checks_fencing && now < self.first_unfenced_ms) {
            return None;
        }
        self.sequence.set(self.sequence.get() + 1);
        Some(Fencing { epoch: self.epoch, sequence: self.sequence.get() })
    }
}

/// Answer of control to a request for the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acquired {
    /// This entry holds the lease under an epoch.
    Held(u64),
    /// Another entry holds it.
    Other,
    /// Control gave no answer; a held lease runs on until its end.
    NoAnswer,
}

/// Asks for the lease of a failure domain or renews it.
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
        Ok(reply) if reply.code == ResultCode::LeaseHeld.number() => Acquired::Other,
        Ok(_) | Err(_) => Acquired::NoAnswer,
    }
}

/// Takes the answer of control into account.
pub fn update(
    held: Option<Rc<Lease>>,
    acquired: Acquired,
    asked_ms: u64,
    parent: &CancellationToken,
) -> Option<Rc<Lease>> {
    let kept = match (held, acquired) {
        (Some(lease), Acquired::Held(epoch)) if lease.epoch == epoch => {
            lease.renew(asked_ms);
            Some(lease)
        }
        (Some(lease), Acquired::NoAnswer) if !lease.is_over() => Some(lease),
        (held, acquired) => {
            if let Some(lease) = held {
                lease.token.cancel();
            }
            let Acquired::Held(epoch) = acquired else { return None };
            Some(Rc::new(Lease::new(epoch, asked_ms, now_ms(), parent.child_token())))
        }
    };
    kept.filter(|lease| !lease.token.is_cancelled())
}
