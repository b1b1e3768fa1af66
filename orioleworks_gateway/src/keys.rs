//! Keys of callers: whose request it is, and whether this gateway may still tell.
//!
//! See `docs/design/tenants-usage-and-bounds.md`.

use std::{cell::Cell, rc::Rc, time::Duration};

use http::HeaderMap;
use orioleworks_daemon::{clock, event};
use orioleworks_platform::caller;
use orioleworks_proto::inner;
use orioleworks_routing::{
    key_lease::{Confirmation, KeyLease},
    routes::RouteTable,
    tenants::Tenant,
};

/// Why a request is not run for want of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It has no key, or one that no tenant holds.
    Unknown,
    /// This gateway may not know the newest keys.
    Unconfirmed,
}

/// Lease on the keys that this gateway knows; clones share it.
#[derive(Clone, Debug)]
pub struct Keys {
    /// `None` if revocations have no bound.
    lease: Option<Rc<Cell<KeyLease>>>,
    /// Whether the lease was valid at the last check, for the log.
    was_valid: Rc<Cell<bool>>,
}

impl Keys {
    /// Creates keys without a lease; `bound` is the time within which a revocation takes effect.
    pub fn new(bound: Option<Duration>) -> Self {
        let lease = bound.map(|bound| Rc::new(Cell::new(KeyLease::new(bound))));
        Self { lease, was_valid: Rc::default() }
    }

    /// Whether confirmations are wanted from stores.
    pub fn are_leased(&self) -> bool {
        self.lease.is_some()
    }

    /// Renews the lease by the reply to a question that was sent at `asked_at`.
    pub fn renew(&self, asked_at: Duration, message: &inner::DocumentConfirmation) {
        let Some(lease) = &self.lease else { return };
        let age = Duration::from_millis(message.age_ms.into());
        let mut renewed = lease.get();
        renewed.renew(asked_at, Confirmation { version: message.version, age });
        lease.set(renewed);
    }

    /// Tells whose request it is; `None` where no key is needed and no valid one was sent. `is_current` tells whether a store
    /// with a leader has replied recently: only then is it certain that a key is not a new one.
    ///
    /// # Errors
    ///
    /// Fails if the request may not run.
    pub fn authorize(
        &self,
        table: &RouteTable,
        headers: &HeaderMap,
        needs_key: bool,
        is_current: bool,
    ) -> Result<Option<Rc<Tenant>>, Denial> {
        let Some(tenants) = &table.tenants else { return Ok(None) };
        match caller::key(headers).and_then(|key| tenants.find(key)) {
            Some(tenant) if self.allows(table.version) => Ok(Some(tenant.clone())),
            // Served without its tenant, it would be another caller's request, or a batch that is open to all.
            Some(_) => Err(Denial::Unconfirmed),
            None if !needs_key => Ok(None),
            None if is_current => Err(Denial::Unknown),
            None => Err(Denial::Unconfirmed),
        }
    }

    fn allows(&self, version: u64) -> bool {
        let now = clock::since_boot();
        self.lease.as_ref().is_none_or(|lease| lease.get().allows(version, now))
    }

    /// Publishes the lease, and logs its end and its return.
    pub fn publish(&self, table: &RouteTable) {
        let Some(lease) = self.lease.as_ref().filter(|_| table.tenants.is_some()) else { return };
        let (valid, version) = (self.allows(table.version), table.version);
        let remaining = lease.get().remaining(clock::since_boot());
        metrics::gauge!("orioleworks_key_lease_seconds").set(remaining.as_secs_f64());
        metrics::gauge!("orioleworks_keys_version").set(version as f64);
        if self.was_valid.replace(valid) != valid {
            event!(info, "key_lease", valid = valid, version = version);
        }
    }
}
