//! Tenants of a route document, found by the keys of their requests.
//!
//! Only digests of keys are kept, so that no log line or error can contain a key, and the time of a lookup does not depend on
//! how much of a guessed key is right. See `docs/design/tenants-usage-and-bounds.md`.

use std::{collections::HashMap, rc::Rc};

use displaydoc::Display;
use sha2::{Digest as _, Sha256};

/// SHA-256 of a key.
type Digest = [u8; 32];

/// A tenant, as its requests are run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// Name that upstreams get.
    pub name: Rc<str>,
    /// Replaces the priority of the route; 0 is the highest.
    pub priority: Option<u32>,
}

/// Reason why tenants are rejected.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum TenantError {
    /// tenants {first} and {second} share a key
    SharedKey {
        /// Name of the earlier tenant.
        first: String,
        /// Name of the later tenant.
        second: String,
    },
}

impl std::error::Error for TenantError {}

/// All tenants of a route document.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    by_key: HashMap<Digest, Rc<Tenant>>,
}

impl Tenants {
    /// Adds a tenant with its keys.
    ///
    /// # Errors
    ///
    /// Fails if another tenant has one of the keys.
    pub fn add<'a>(
        &mut self,
        tenant: Tenant,
        keys: impl IntoIterator<Item = &'a str>,
    ) -> Result<(), TenantError> {
        let tenant = Rc::new(tenant);
        for key in keys {
            let holder = self.by_key.entry(digest(key)).or_insert_with(|| tenant.clone());
            if holder.name != tenant.name {
                let (first, second) = (holder.name.to_string(), tenant.name.to_string());
                return Err(TenantError::SharedKey { first, second });
            }
        }
        Ok(())
    }

    /// The tenant that holds a key.
    pub fn find(&self, key: &str) -> Option<&Rc<Tenant>> {
        self.by_key.get(&digest(key))
    }
}

fn digest(key: &str) -> Digest {
    Sha256::digest(key.as_bytes()).into()
}
