//! Tests of limits, queues, retry budgets, load balancing and affinity.

use std::time::Duration;

use orioleworks_routing::{
    affinity::{self, Affinity},
    budget::{self, Budget},
    choice::{self, Candidate},
    limit::{self, Limit},
    queue::{self, Item, Queue},
};
use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};
use rstest::rstest;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a limit that does not converge to the capacity of an upstream whose latency rises above 16 requests
/// in flight.
#[rstest]
#[case::from_below(2)]
#[case::from_above(200)]
fn limit_converges(#[case] start: u32) {
    let mut limit = Limit::new(limit::Settings::default(), start);
    for i in 0..4000_u64 {
        let in_flight = limit.current();
        let latency = 10.0 * (f64::from(in_flight) / 16.0).max(1.0);
        // The load drops at times, which shows the latency of the unloaded upstream.
        let (latency, saturation) = if i % 400 < 16 { (10.0, 10) } else { (latency, 100) };
        limit.finished(ms(i * 5), Duration::from_secs_f64(latency / 1000.0), 1, saturation);
    }
    assert!((12..=32).contains(&limit.current()), "limit {}", limit.current());
}

/// Guards against a limit that grows without load, a share of 0, and a fixed limit that changes.
#[rstest]
fn limit_bounds() {
    let mut limit = Limit::new(limit::Settings::default(), 8);
    (0..100).for_each(|i| limit.finished(ms(i), ms(10), 1, 10));
    assert_eq!(limit.current(), 8);
    (0..100).for_each(|_| limit.failed());
    assert_eq!((limit.current(), limit.share(6)), (1, 1));
    let mut fixed = Limit::new(limit::Settings { fixed: Some(5) }, 8);
    (0..100).for_each(|_| fixed.failed());
    assert_eq!(fixed.current(), 5);
}

/// Guards against treating long streams as congestion: latency is measured per token.
#[rstest]
fn limit_counts_time_per_token() {
    let mut limit = Limit::new(limit::Settings::default(), 8);
    for i in 0..160_u64 {
        let tokens = if i < 80 { 10 } else { 1000 };
        limit.finished(ms(i), ms(5 * tokens), u32::try_from(tokens).unwrap(), 100);
    }
    assert!(limit.current() > 8);
}

fn item(class: usize, profile: &str, weight: u32, deadline: u64) -> Item<(usize, String)> {
    let value = (class, profile.to_owned());
    Item { class, profile: profile.into(), weight, deadline: ms(deadline), value }
}

fn drain(queue: &mut Queue<(usize, String)>, n: usize) -> Vec<(usize, String)> {
    (0..n).filter_map(|_| queue.pop(ms(0), &mut Vec::new(), |_| Some(())).map(|p| p.0)).collect()
}

/// Guards against serving rollouts before lookups, and against starving rollouts.
#[rstest]
#[case::priority(false, 5)]
#[case::fifo(true, 50)]
fn queue_serves_classes_in_order(#[case] fifo: bool, #[case] rollouts: usize) {
    let mut queue = Queue::new(queue::Settings { fifo, ..Default::default() });
    for _ in 0..100 {
        queue.push(item(2, "r", 1, 10)).unwrap();
        queue.push(item(0, "l", 1, 10)).unwrap();
    }
    let served = drain(&mut queue, 100);
    assert_eq!(served.iter().filter(|(class, _)| *class == 2).count(), rollouts);
}

/// Guards against a profile that uses the share of another one of its class.
#[rstest]
fn queue_is_fair_by_weight() {
    let mut queue = Queue::new(queue::Settings::default());
    (0..400).for_each(|_| drop(queue.push(item(0, "heavy", 3, 10))));
    (0..400).for_each(|_| drop(queue.push(item(0, "light", 1, 10))));
    let served = drain(&mut queue, 200);
    let heavy = served.iter().filter(|(_, profile)| profile == "heavy").count();
    assert!((148..=152).contains(&heavy), "{heavy} of 200");
}

/// Guards against dispatching requests after their deadline or cancellation, and against an unbounded queue.
#[rstest]
fn queue_drops_expired_and_cancelled() {
    let mut queue = Queue::new(queue::Settings { bound: 3, ..Default::default() });
    queue.push(item(0, "old", 1, 5)).unwrap();
    let ticket = queue.push(item(0, "cancelled", 1, 50)).unwrap();
    queue.push(item(0, "good", 1, 50)).unwrap();
    assert!(queue.push(item(0, "over", 1, 50)).is_err());
    assert!(queue.cancel(ticket).is_some());
    let mut expired = Vec::new();
    let popped = queue.pop(ms(5), &mut expired, |_| Some(()));
    assert_eq!(popped.unwrap().0.1, "good");
    assert_eq!(expired.len(), 1);
    assert!(queue.is_empty());
}

/// Guards against head-of-line blocking by a request that cannot be placed.
#[rstest]
fn queue_skips_requests_that_cannot_be_placed() {
    let mut queue = Queue::new(queue::Settings::default());
    queue.push(item(0, "stuck", 1, 10)).unwrap();
    queue.push(item(1, "free", 1, 10)).unwrap();
    let popped = queue.pop(ms(0), &mut Vec::new(), |(_, p)| (p == "free").then_some(()));
    assert_eq!(popped.unwrap().0.1, "free");
    assert_eq!(queue.len(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default()
    })]

    /// Guards against losing or duplicating requests in any order of pushes, pops and cancellations.
    #[test]
    fn queue_loses_nothing(ops in prop::collection::vec((0_u8..4, 0_usize..3, 0_usize..3), 1..200)) {
        let mut queue = Queue::new(queue::Settings { bound: 50, ..Default::default() });
        let (mut pushed, mut taken, mut tickets) = (0_usize, 0_usize, Vec::new());
        for (op, class, profile) in ops {
            match op {
                0 | 1 => {
                    let names = ["a", "b", "c"];
                    if let Ok(ticket) = queue.push(item(class, names[profile], 1, 10)) {
                        pushed += 1;
                        tickets.push(ticket);
                    }
                }
                2 => taken += usize::from(queue.pop(ms(0), &mut Vec::new(), |_| Some(())).is_some()),
                _ => taken += usize::from(tickets.pop().is_some_and(|t| queue.cancel(t).is_some())),
            }
            prop_assert_eq!(queue.len(), pushed - taken);
        }
        taken += drain(&mut queue, 1000).len();
        prop_assert_eq!(taken, pushed);
    }

    /// Guards against retries beyond the budget at any rate of successes.
    #[test]
    fn budget_holds(successes in 0_u32..2000, wanted in 0_u32..500) {
        let mut budget = Budget::new(budget::Settings::default());
        (0..successes).for_each(|_| budget.success(ms(1000)));
        let granted = (0..wanted).filter(|_| budget.try_retry(ms(1500))).count();
        prop_assert_eq!(granted, wanted.min((successes / 10).max(10)) as usize);
    }
}

/// Guards against a budget that counts old successes, and an unlimited budget that rejects retries.
#[rstest]
fn budget_forgets_and_baseline_allows() {
    let mut budget = Budget::new(budget::Settings { floor: 0, ..Default::default() });
    (0..100).for_each(|_| budget.success(ms(0)));
    assert!(budget.try_retry(ms(9_000)));
    assert!(!budget.try_retry(ms(10_000)));
    let settings = budget::Settings { floor: 0, unlimited: true, ..Default::default() };
    let mut unlimited = Budget::new(settings);
    assert!((0..100).all(|_| unlimited.try_retry(ms(0))));
}

fn candidate(own_in_flight: u32, reported: u32, age: u64) -> Candidate {
    Candidate { own_in_flight, reported, report_age: ms(age), capacity: 10 }
}

/// Guards against a choice that ignores load, or that weights an old report like a fresh one.
#[rstest]
#[case::own(candidate(5, 0, 0), candidate(1, 0, 0), 1)]
#[case::fresh_report(candidate(0, 8, 0), candidate(2, 0, 0), 1)]
#[case::old_report(candidate(0, 8, 5000), candidate(2, 0, 0), 0)]
fn choice_prefers_the_lower_load(#[case] a: Candidate, #[case] b: Candidate, #[case] best: usize) {
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..20 {
        assert_eq!(choice::choose(&[a, b], choice::Settings::default(), &mut rng), Some(best));
    }
    let random = choice::Settings { random: true };
    let chosen: Vec<_> = (0..50).map(|_| choice::choose(&[a, b], random, &mut rng)).collect();
    assert!(chosen.contains(&Some(0)) && chosen.contains(&Some(1)));
}

/// Guards against a maximum load far above the mean, as a random choice produces.
#[rstest]
fn two_samples_balance_better_than_one() {
    let max_in_flight = |random| {
        let mut rng = StdRng::seed_from_u64(3);
        let mut candidates = vec![candidate(0, 0, 0); 50];
        for _ in 0..1000 {
            let at = choice::choose(&candidates, choice::Settings { random }, &mut rng).unwrap();
            candidates[at].own_in_flight += 1;
        }
        candidates.iter().map(|c| c.own_in_flight).max().unwrap()
    };
    assert!(max_in_flight(false) <= 24, "{}", max_in_flight(false));
    assert!(max_in_flight(false) < max_in_flight(true));
}

/// Guards against an affinity that overloads its upstream, and against one that has no effect.
#[rstest]
#[case::within_bound(false, &[2, 2, 2], Some(0))]
#[case::over_bound(false, &[9, 1, 1], Some(2))]
#[case::all_over(false, &[9, 0, 9], None)]
#[case::off(true, &[2, 2, 2], None)]
fn affinity_keeps_to_the_bound(
    #[case] off: bool,
    #[case] loads: &[u32],
    #[case] expected: Option<usize>,
) {
    let mut affinity = Affinity::new(affinity::Settings { off, ..Default::default() });
    affinity.assign(7, "a".into());
    let names = ["a".into(), "b".into(), "c".into()];
    // According to the cache events, `c` holds the prefix.
    assert_eq!(affinity.prefer(7, &names, loads, loads.iter().sum(), |i| i == 2), expected);
}
