//! Tenants by key, and the lease on keys.

use std::time::Duration;

use orioleworks_routing::{
    key_lease::{Confirmation, KeyLease},
    tenants::{Tenant, TenantError, Tenants},
};

fn tenant(name: &str) -> Tenant {
    Tenant { name: name.into(), priority: None }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against requests that are counted to the wrong tenant.
#[test]
fn a_key_belongs_to_one_tenant() {
    let mut tenants = Tenants::default();
    tenants.add(tenant("a"), ["k1", "k2", "k1"]).unwrap();
    tenants.add(tenant("b"), ["k3"]).unwrap();
    assert_eq!(tenants.find("k2").map(|t| &*t.name), Some("a"));
    assert_eq!(tenants.find("k4"), None);
    let shared = tenants.add(tenant("c"), ["k4", "k3"]).unwrap_err();
    assert_eq!(shared, TenantError::SharedKey { first: "b".into(), second: "c".into() });
    assert!(!format!("{tenants:?} {shared}").contains("k3"), "a key can be read");
}

/// Guards against a lease that a late reply extends: a revocation at any time after the quorum was asked must take effect
/// within the bound.
#[test]
fn a_lease_counts_from_the_question_to_the_quorum() {
    let bound = ms(5000);
    let mut lease = KeyLease::new(bound);
    assert!(!lease.allows(7, Duration::ZERO), "nothing is confirmed yet");
    let asked_at = ms(10_000);
    lease.renew(asked_at, Confirmation { version: 7, age: ms(400) });
    // A revocation just after the quorum was asked is acknowledged at the earliest 400 ms before the question here.
    assert!(lease.allows(7, asked_at));
    assert!(!lease.allows(7, asked_at - ms(400) + bound));
    assert!(!lease.allows(6, asked_at), "a newer document is confirmed");
    let end = lease.remaining(asked_at);
    // A reply that was held up does not shorten a lease that is already longer, and does not extend it.
    lease.renew(ms(8000), Confirmation { version: 7, age: ms(10) });
    assert_eq!(lease.remaining(asked_at), end);
}
