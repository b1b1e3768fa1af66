//! Tests of limits that upstreams name, and of the permits that keep all instances to them.

use std::{rc::Rc, time::Duration};

use orioleworks_routing::{
    outlier::Key,
    permits::{Fallback, Permit, Permits, Share},
    rates::{ABSENT_AFTER, NamedRates, Report, Senders},
};
use proptest::prelude::*;
use rstest::rstest;

const WINDOW: Duration = Duration::from_secs(4);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn up() -> Key {
    (Rc::from("up"), 1)
}

/// Requests that may arrive in a window: the rate, and a burst of half a second or of one request.
fn allowed(rate: f64) -> f64 {
    rate * WINDOW.as_secs_f64() + (rate / 2.0).max(1.0) + 1.0
}

fn most_in_window(sent: &[Duration]) -> usize {
    let mut sent = sent.to_vec();
    sent.sort();
    let in_window =
        |start: &Duration| sent.iter().filter(|at| (*start..*start + WINDOW).contains(*at)).count();
    sent.iter().map(in_window).max().unwrap_or(0)
}

proptest! {
    /// Guards against a process that ends at a rate that an upstream or another process states, and against permits at a rate
    /// that is no number.
    #[test]
    fn any_rate_is_a_rate(
        rates in prop::collection::vec(prop_oneof![
            any::<f64>(),
            Just(f64::NAN),
            Just(f64::INFINITY),
            Just(f64::MAX),
            Just(f64::MIN_POSITIVE),
        ], 1..20),
        of in prop_oneof![0..3_u32, Just(u32::MAX)],
        now in 0..2_000_000_000_u64,
    ) {
        let (mut permits, mut fallback) = (Permits::default(), Fallback::default());
        let (share, now) = (Share { rank: of / 2, of }, Duration::from_secs(now));
        for rate in rates {
            let given = permits.request(&up(), rate, 0, ms(10), now);
            prop_assert!(!rate.is_nan() || matches!(given, Permit::Denied(_)));
            permits.is_free(&up(), rate, now);
            permits.take(&up(), rate, now);
            fallback.request(share, &up(), rate, ms(10), now);
        }
    }

    /// Guards against a window in which an upstream gets more than it takes, whatever is asked for and when.
    #[test]
    fn permits_keep_to_the_rate(
        rate in 0.2..40.0_f64,
        asks in prop::collection::vec((0..300_u64, 0..400_u64, 0..3_u32), 1..400),
    ) {
        let (mut permits, mut now, mut sent) = (Permits::default(), ms(1000), Vec::new());
        for (pause, max_wait, priority) in asks {
            now += ms(pause);
            if let Permit::After(wait) = permits.request(&up(), rate, priority, ms(max_wait), now) {
                prop_assert!(wait <= ms(max_wait));
                sent.push(now + wait);
            }
        }
        let most = most_in_window(&sent);
        prop_assert!(most as f64 <= allowed(rate), "{most} at {rate} a second");
    }

    /// Guards against instances without a leader that send more than an upstream takes from all of them together, also
    /// after none has sent anything for some time.
    #[test]
    fn fixed_shares_keep_to_the_rate_together(
        rate in 0.5..40.0_f64,
        instances in 1..60_u32,
        idle in 0..20_000_u64,
    ) {
        let mut shares = vec![Fallback::default(); instances as usize];
        let mut sent = Vec::new();
        for step in 0..2000 {
            let now = ms(1000 + idle + step * 5);
            for (rank, fallback) in (0..).zip(&mut shares) {
                let share = Share { rank, of: instances };
                if fallback.request(share, &up(), rate, ms(0), now) == Permit::After(ms(0)) {
                    sent.push(now);
                }
            }
        }
        let most = most_in_window(&sent);
        prop_assert!(most as f64 <= allowed(rate) + 1.0, "{most} at {rate} a second");
    }
}

/// Guards against an instance that uses no share for long after its clock was set back.
#[test]
fn a_clock_that_is_set_back_does_not_stop_the_fixed_share() {
    let (mut fallback, share) = (Fallback::default(), Share { rank: 1, of: 3 });
    let mut granted = |now| fallback.request(share, &up(), 2.0, ms(1500), now);
    assert!(matches!(granted(ms(900_000)), Permit::After(_)));
    assert!(matches!(granted(ms(500_000)), Permit::After(_)));
}

/// Guards against a limited upstream that is left idle although there is demand.
#[rstest]
#[case(1.0)]
#[case(7.5)]
#[case(40.0)]
fn permits_use_the_rate(#[case] rate: f64) {
    const SECONDS: u64 = 20;
    let mut permits = Permits::default();
    let granted = (0..SECONDS * 100).filter(|step| {
        let permit = permits.request(&up(), rate, 1, ms(0), ms(step * 10));
        permit == Permit::After(ms(0))
    });
    let expected = rate * (SECONDS - 1) as f64;
    assert!(granted.count() as f64 >= expected * 0.95);
}

/// Guards against a new leader that gives permits for what its predecessor has given away.
#[test]
fn a_new_term_starts_without_permits() {
    let mut permits = Permits::default();
    permits.begin_term(1);
    assert_eq!(permits.request(&up(), 2.0, 0, ms(0), ms(1000)), Permit::Denied(ms(500)));
    assert_eq!(permits.request(&up(), 2.0, 0, ms(0), ms(9000)), Permit::After(ms(0)));
    permits.begin_term(2);
    assert_eq!(permits.request(&up(), 2.0, 0, ms(0), ms(20_000)), Permit::Denied(ms(500)));
}

/// Guards against urgent requests that are refused while less urgent ones use the limit, and against less urgent ones that
/// get nothing at all.
#[test]
fn urgent_requests_come_first_and_others_are_not_starved() {
    const RATE: f64 = 2.0;
    let mut permits = Permits::default();
    let (mut urgent, mut other) = (0, 0);
    for step in 0..4000 {
        let now = ms(1000 + step * 10);
        // The less urgent profile asks four times as often, and first.
        if permits.request(&up(), RATE, 2, ms(0), now) == Permit::After(ms(0)) {
            other += 1;
        }
        if step % 4 == 0 && permits.request(&up(), RATE, 0, ms(0), now) == Permit::After(ms(0)) {
            urgent += 1;
        }
    }
    assert!(urgent >= 2 * other, "{urgent} urgent, {other} others");
    assert!(other >= 10, "{other} others");
}

/// Guards against a limit of zero that divides by it.
#[test]
fn an_upstream_that_takes_nothing_gets_nothing() {
    let (mut permits, mut fallback) = (Permits::default(), Fallback::default());
    assert!(!permits.is_free(&up(), 0.0, ms(5000)));
    let denied = permits.request(&up(), 0.0, 0, ms(10_000), ms(5000));
    assert!(matches!(denied, Permit::Denied(wait) if !wait.is_zero()));
    for (share, rate) in [(Share { rank: 0, of: 3 }, 0.0), (Share::default(), 5.0)] {
        let denied = fallback.request(share, &up(), rate, ms(10_000), ms(5000));
        assert!(matches!(denied, Permit::Denied(wait) if !wait.is_zero()));
    }
}

/// Guards against a limit that an instance with old news names again after others know that it has ended.
#[test]
fn old_news_does_not_bring_back_a_limit_that_has_ended() {
    let (mut behind, mut ahead) = (NamedRates::default(), NamedRates::default());
    behind.observe(&up(), ms(900), ms(1000), Some(2.0));
    ahead.merge(behind.report(&up()).unwrap(), false);
    assert!(ahead.observe(&up(), ms(1900), ms(2000), None));
    assert!(!ahead.merge(behind.report(&up()).unwrap(), true));
    assert_eq!(ahead.limit(&up()), None);
}

/// Guards against a limit that is ended by a response to a request from before the limit.
#[test]
fn only_a_later_request_ends_a_limit() {
    let mut rates = NamedRates::default();
    assert!(rates.observe(&up(), ms(900), ms(1000), Some(2.0)));
    assert!(!rates.observe(&up(), ms(950), ms(1010), None));
    assert_eq!(rates.limit(&up()), Some(2.0));
    assert!(!rates.observe(&up(), ms(1020), ms(1050), Some(2.0)), "nothing changes");
    assert!(rates.observe(&up(), ms(1060), ms(1100), None));
    assert_eq!(rates.limit(&up()), None);
}

/// Guards against limits that differ between processes after their reports have crossed.
#[test]
fn the_newest_report_holds_everywhere() {
    let report = |per_second, since| Report { upstream: up(), per_second, since: ms(since) };
    let reports = [
        report(Some(2.0), 1000),
        report(Some(5.0), 2000),
        report(None, 3000),
        report(Some(1.0), 4000),
    ];
    for order in [[0, 1, 2, 3], [3, 2, 1, 0], [2, 0, 3, 1], [1, 3, 0, 2]] {
        let mut rates = NamedRates::default();
        for i in order {
            rates.merge(reports[i].clone(), i == 3);
        }
        assert_eq!(rates.limit(&up()), Some(1.0), "{order:?}");
        assert_eq!(rates.since(0, true).count(), 1);
        let cursor = rates.cursor();
        assert!(!rates.merge(reports[3].clone(), false));
        assert!(!rates.changed_since(cursor, false), "an echo is no change");
    }
}

/// Guards against a leader that gives away the shares of instances that are cut off, and against shares that are kept for
/// instances that are gone for good.
#[test]
fn the_shares_of_absent_instances_are_held_back() {
    let mut senders = Senders::default();
    assert!((senders.rate_in_contact(4.0, ms(0)) - 4.0).abs() < f64::EPSILON, "none is known");
    (0..4).for_each(|i| senders.note(&format!("gateway-{i}"), ms(1000), i < 2));
    assert_eq!(senders.direct().count(), 2);
    let later = ms(1000) + ABSENT_AFTER;
    senders.note("gateway-0", later, false);
    senders.note("gateway-1", later, false);
    senders.note("gateway-2", later, true);
    assert!((senders.rate_in_contact(4.0, later) - 3.0).abs() < f64::EPSILON);
    senders.expire(ms(1000) + Duration::from_secs(90));
    assert_eq!(senders.count(), 3);
    assert_eq!(senders.rank("gateway-2"), 2);
}

/// Guards against a rate of another program version that no upstream names, and that takes the place of one that it does.
#[rstest]
#[case(f64::NAN)]
#[case(f64::INFINITY)]
#[case(-1.0)]
fn a_rate_that_no_upstream_names_is_not_merged(#[case] rate: f64) {
    let mut rates = NamedRates::default();
    let report = |per_second, since| Report { upstream: up(), per_second: Some(per_second), since };
    assert!(rates.merge(report(2.0, ms(1)), true));
    assert!(!rates.merge(report(rate, ms(2)), true));
    assert_eq!(rates.limit(&up()), Some(2.0));
}
