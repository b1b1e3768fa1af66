//! Tests of the choice of instances that send requests for another one.

use std::{collections::HashSet, time::Duration};

use orioleworks_routing::helpers::{self, Helper, Helpers};

fn helper(i: usize, domain: usize) -> Helper {
    Helper {
        name: format!("gateway-{i}").into(),
        address: format!("10.0.{domain}.{i}:7720").into(),
        domain: format!("domain-{domain}").into(),
    }
}

fn all(count: usize) -> impl Iterator<Item = Helper> {
    (0..count).map(|i| helper(i, i % 3))
}

/// Guards against samples of one failure domain, which may be partitioned as a whole, and of the asker itself.
#[test]
fn a_sample_is_spread_over_failure_domains() {
    let sample = helpers::sample(all(47), "gateway-3", 8);
    assert_eq!(sample.len(), 8);
    assert!(sample.iter().all(|helper| &*helper.name != "gateway-3"));
    for domain in 0..3 {
        let domain = format!("domain-{domain}");
        let count = sample.iter().filter(|helper| *helper.domain == *domain).count();
        assert!((2..=3).contains(&count), "{count} of {domain}");
    }
    assert_eq!(helpers::sample(all(2), "gateway-0", 8).len(), 1);
}

/// Guards against a few instances that are in the samples of all others.
#[test]
fn samples_spread_the_load() {
    let mut uses = vec![0; 47];
    for asker in 0..47 {
        for chosen in helpers::sample(all(47), &format!("gateway-{asker}"), 8) {
            uses[chosen.name.trim_start_matches("gateway-").parse::<usize>().unwrap()] += 1;
        }
    }
    assert!(uses.iter().all(|n| *n <= 24), "{uses:?}");
}

/// Guards against lists that change with the store that sends them, or as a whole when one instance leaves.
#[test]
fn samples_are_stable() {
    let sample = helpers::sample(all(47), "gateway-3", 8);
    let reordered: Vec<Helper> = all(47).collect();
    let again = helpers::sample(reordered.into_iter().rev(), "gateway-3", 8);
    assert_eq!(helpers::digest(&sample), helpers::digest(&again));
    let gone = sample[0].name.clone();
    let without = helpers::sample(all(47).filter(|h| h.name != gone), "gateway-3", 8);
    let before: HashSet<_> = sample.iter().map(|h| h.name.clone()).collect();
    let kept = without.iter().filter(|h| before.contains(&h.name)).count();
    assert!(kept >= 7, "{kept} kept");
}

/// Guards against an instance that is asked again and again though it sends nothing, and against load on a single one.
#[test]
fn instances_that_fail_are_left_out_for_a_while() {
    let now = Duration::from_secs(10);
    let mut known = Helpers::default();
    known.set(all(3).collect());
    known.record_failure("gateway-0", now);
    known.record_sent("gateway-1", now);
    let chosen: Vec<_> =
        (0..10).filter_map(|n| known.choose(&[], now, n)).map(|h| h.name).collect();
    let count = |name: &str| chosen.iter().filter(|chosen| &***chosen == name).count();
    assert_eq!((count("gateway-0"), count("gateway-1"), count("gateway-2")), (0, 8, 2));
    let tried = ["gateway-1".into(), "gateway-2".into()];
    assert!(known.choose(&tried, now, 0).is_none());
    assert!(known.choose(&tried, now + Duration::from_secs(2), 0).is_some());
}

/// Guards against a gateway that forgets the others when its stores are away.
#[test]
fn an_empty_list_changes_nothing() {
    let mut known = Helpers::default();
    known.set(all(3).collect());
    let digest = known.digest();
    known.set(Vec::new());
    assert_eq!(known.digest(), digest);
    assert!(known.any_available(Duration::ZERO));
}
