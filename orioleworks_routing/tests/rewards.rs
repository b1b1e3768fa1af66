//! Reward calls on upstreams that also serve callers, replayed in simulated time.

use std::{
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use orioleworks_routing::{
    items::Rank,
    outlier::{Candidate, Key, Outliers},
    rewards::{self, ReadyCall},
};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};
use rstest::rstest;

const SLOTS: u32 = 6;
const CALL_TIME: Duration = Duration::from_millis(200);
const CALLER_TIME: Duration = Duration::from_millis(25);
const CALLER_OBJECTIVE: Duration = Duration::from_millis(150);
const OBJECTIVE: Duration = Duration::from_millis(800);
const CALL_TIMEOUT: Duration = Duration::from_millis(3000);
const TICK: Duration = Duration::from_millis(5);

fn key(i: usize) -> Key {
    (Rc::from(format!("s-{i}")), 1)
}

fn candidates(count: usize) -> Vec<Candidate> {
    let candidate = |i| Candidate { key: key(i), slots: SLOTS, fresh: true, local: i == 0 };
    (0..count).map(candidate).collect()
}

/// Load of a site: bursts of calls each 4 s, and callers in between.
#[derive(Clone, Copy)]
struct Load {
    upstreams: usize,
    /// Upstreams that accept calls and never respond.
    dark: usize,
    /// Factor on the time of each request.
    slowdown: u32,
    burst: usize,
    callers_per_second: f64,
}

#[derive(Clone, Copy, PartialEq)]
enum Request {
    Caller(Duration),
    Call(usize),
}

/// What a replay measures.
#[derive(Debug, Default)]
struct Outcome {
    /// Callers' requests that took longer than their objective, in percent.
    late_callers: f64,
    /// Time from a burst to its last score, the longest of all bursts.
    burst_time: Duration,
}

/// Places one call; `None` leaves it waiting.
type Place = fn(&Outliers, &[Candidate], Duration) -> Option<Key>;

fn with_room_for_callers(health: &Outliers, all: &[Candidate], now: Duration) -> Option<Key> {
    rewards::choose(health, all, now)
}

/// The rule that is replaced: each call goes to the best upstream at once.
fn at_once(health: &Outliers, all: &[Candidate], now: Duration) -> Option<Key> {
    health.choose(all, now).map(|c| c.key.clone())
}

/// A call that is owed.
struct Owed {
    since: Duration,
    attempts: Vec<(usize, Duration)>,
    scored: bool,
}

struct Upstream {
    running: Vec<(Request, Duration)>,
    queue: VecDeque<Request>,
}

/// Replays bursts of calls and callers' requests on upstreams that run requests in order of arrival.
fn replay(load: Load, place: Place) -> Outcome {
    const LENGTH: Duration = Duration::from_secs(12);
    const BURST_INTERVAL: Duration = Duration::from_secs(4);
    let mut rng = StdRng::seed_from_u64(7);
    let all = candidates(load.upstreams);
    let index: BTreeMap<Key, usize> = (0..load.upstreams).map(|i| (key(i), i)).collect();
    let mut upstreams: Vec<Upstream> =
        all.iter().map(|_| Upstream { running: Vec::new(), queue: VecDeque::new() }).collect();
    let mut health = Outliers::default();
    let mut owed: Vec<Owed> = Vec::new();
    let (mut callers, mut late) = (0_u32, 0_u32);
    let mut outcome = Outcome::default();
    let mut now = Duration::ZERO;
    while now < LENGTH {
        if now.as_millis().is_multiple_of(BURST_INTERVAL.as_millis()) {
            let call = || Owed { since: now, attempts: Vec::new(), scored: false };
            owed.extend((0..load.burst).map(|_| call()));
        }
        if rng.random_bool(load.callers_per_second * TICK.as_secs_f64()) {
            let healthy = load.dark..load.upstreams;
            let at = rng.random_range(healthy);
            upstreams[at].queue.push_back(Request::Caller(now));
        }
        for (n, call) in owed.iter_mut().enumerate().filter(|(_, call)| !call.scored) {
            if !rewards::may_run_in_parallel(call.attempts.len(), false) {
                continue;
            }
            let others: Vec<Candidate> = all
                .iter()
                .filter(|c| call.attempts.iter().all(|(at, _)| key(*at) != c.key))
                .cloned()
                .collect();
            let overdue = rewards::overdue_after(&health, &others, OBJECTIVE);
            if call.attempts.last().is_some_and(|(_, started)| now - *started < overdue) {
                continue;
            }
            let Some(chosen) = place(&health, &others, now) else { continue };
            health.record_sent(&chosen);
            let at = index[&chosen];
            call.attempts.push((at, now));
            upstreams[at].queue.push_back(Request::Call(n));
        }
        for (at, up) in upstreams.iter_mut().enumerate() {
            while up.running.len() < SLOTS as usize {
                let Some(next) = up.queue.pop_front() else { break };
                let time = match next {
                    Request::Caller(_) => CALLER_TIME * load.slowdown,
                    Request::Call(_) if at < load.dark => LENGTH,
                    Request::Call(_) => CALL_TIME * load.slowdown,
                };
                up.running.push((next, now + time));
            }
            let (done, running) = up.running.drain(..).partition(|(_, end)| *end <= now);
            up.running = running;
            for (request, _) in done {
                match request {
                    Request::Caller(since) => {
                        callers += 1;
                        late += u32::from(now - since > CALLER_OBJECTIVE * load.slowdown);
                    }
                    Request::Call(n) => {
                        let call = &mut owed[n];
                        if let Some(i) = call.attempts.iter().position(|(a, _)| *a == at) {
                            let (_, started) = call.attempts.remove(i);
                            health.record_response(&key(at), now - started);
                            call.scored = true;
                            outcome.burst_time = outcome.burst_time.max(now - call.since);
                        }
                    }
                }
            }
        }
        // Attempts of a scored call are cancelled, others time out.
        for call in &mut owed {
            let scored = call.scored;
            let ended = |(_, started): &(usize, Duration)| scored || now - *started >= CALL_TIMEOUT;
            for (at, _) in call.attempts.iter().filter(|a| ended(a)) {
                if scored {
                    health.record_dropped(&key(*at));
                } else {
                    health.record_failure(&key(*at), now);
                }
            }
            call.attempts.retain(|a| !ended(a));
        }
        now += TICK;
    }
    outcome.late_callers = f64::from(late) * 100.0 / f64::from(callers.max(1));
    let waiting = owed.iter().filter(|call| !call.scored).map(|call| now - call.since);
    outcome.burst_time = outcome.burst_time.max(waiting.max().unwrap_or_default());
    outcome
}

/// Guards against callers that wait behind bursts, and against bursts that hold up their step: a site of today and one ten
/// times as large, with slow services and with some that do not respond.
#[rstest]
#[case::today(Load { upstreams: 5, dark: 0, slowdown: 1, burst: 40, callers_per_second: 6.0 })]
#[case::grown(Load { upstreams: 20, dark: 0, slowdown: 1, burst: 496, callers_per_second: 13.8 })]
#[case::slow(Load { upstreams: 5, dark: 0, slowdown: 2, burst: 40, callers_per_second: 6.0 })]
#[case::partly_dark(Load { upstreams: 5, dark: 1, slowdown: 1, burst: 40, callers_per_second: 6.0 })]
fn callers_go_first_and_bursts_end_in_time(#[case] load: Load) {
    /// Time that a step of 7.5 s leaves for its calls if its texts take 4 s.
    const BURST_LIMIT: Duration = Duration::from_millis(3500);
    let bounded = replay(load, with_room_for_callers);
    let unbounded = replay(load, at_once);
    println!("bounded {bounded:?}, at once {unbounded:?}");
    assert!(bounded.late_callers < 1.0, "{bounded:?}");
    assert!(bounded.burst_time < BURST_LIMIT, "{bounded:?}");
    assert!(unbounded.late_callers > 2.0 * bounded.late_callers, "{unbounded:?}");
}

/// Time by which a number of groups is complete, if texts become complete in random order and one call is sent per tick.
fn held_up(groups: u32, size: u32, order: impl Fn(&mut [ReadyCall])) -> impl Fn(usize) -> usize {
    let mut rng = StdRng::seed_from_u64(11);
    let mut waiting: Vec<u32> = (0..groups * size).map(|n| n % groups).collect();
    waiting.shuffle(&mut rng);
    let rank = |n: usize| Rank::new(1, Duration::ZERO, 0, n as u64);
    let mut waiting: Vec<(Rank, u32)> =
        waiting.into_iter().enumerate().map(|(n, group)| (rank(n), group)).collect();
    let mut missing = vec![size; groups as usize];
    let mut ends = Vec::new();
    for tick in 1..=waiting.len() {
        // Texts are complete twice as fast as calls are sent.
        let complete = (2 * tick).min(waiting.len());
        let ready = waiting[..complete].iter().map(|(rank, group)| ReadyCall {
            rank: *rank,
            missing_in_group: missing[*group as usize],
            first_in_group: waiting.iter().find(|(_, g)| g == group).unwrap().0,
        });
        let mut ready: Vec<ReadyCall> = ready.collect();
        order(&mut ready);
        let at = waiting.iter().position(|(rank, _)| *rank == ready[0].rank).unwrap();
        let (_, group) = waiting.remove(at);
        missing[group as usize] -= 1;
        if missing[group as usize] == 0 {
            ends.push(tick);
        }
    }
    move |count| ends[count - 1]
}

/// Guards against a step that waits for its last calls although most of its groups could be complete: calls at services that
/// name a limit far below the burst.
#[test]
fn calls_that_are_held_up_complete_groups_first() {
    let by_group = held_up(28, 8, rewards::order);
    let by_arrival = held_up(28, 8, |_| ());
    for (groups, share_of_time) in [(14, 0.75), (25, 0.98)] {
        let (grouped, arrived) = (by_group(groups), by_arrival(groups));
        println!(
            "{groups} of 28 groups complete after {grouped} calls by group, {arrived} by arrival"
        );
        assert!((grouped as f64) < share_of_time * arrived as f64, "{grouped} of {arrived}");
    }
}

/// Guards against a group that is preferred to a step that is due earlier or more urgent, and against calls that spread over
/// groups that lack the same.
#[test]
fn steps_come_before_groups_and_groups_stay_together() {
    let rank = |priority, due, sequence| Rank::new(priority, Duration::from_secs(due), 0, sequence);
    let call = |rank, missing_in_group, first_in_group| ReadyCall {
        rank,
        missing_in_group,
        first_in_group,
    };
    let (first, second) = (rank(1, 7, 1), rank(1, 7, 2));
    let expected = [
        call(rank(0, 9, 8), 9, rank(0, 9, 8)),
        call(rank(1, 5, 7), 8, rank(1, 5, 7)),
        call(rank(1, 7, 6), 1, rank(1, 7, 6)),
        call(first, 2, first),
        call(rank(1, 7, 3), 2, first),
        call(second, 2, second),
        call(rank(1, 7, 4), 2, second),
    ];
    let mut calls = expected;
    calls.reverse();
    rewards::order(&mut calls);
    assert_eq!(calls, expected);
}

/// Guards against a slot count of which nothing, or everything, is used.
#[rstest]
#[case(0, 1)]
#[case(1, 1)]
#[case(2, 1)]
#[case(3, 1)]
#[case(6, 3)]
#[case(12, 7)]
fn a_part_of_the_slots_is_left_to_callers(#[case] slots: u32, #[case] calls: u32) {
    assert_eq!(rewards::capacity(slots), calls);
}

/// Guards against calls on an upstream that just failed or is full.
#[test]
fn paused_and_full_upstreams_get_no_calls() {
    let now = Duration::from_secs(1);
    let all = candidates(2);
    let mut health = Outliers::default();
    health.record_sent(&key(0));
    health.record_failure(&key(0), now);
    for _ in 0..rewards::capacity(SLOTS) {
        let chosen = rewards::choose(&health, &all, now).unwrap();
        assert_eq!(chosen, key(1));
        health.record_sent(&chosen);
    }
    assert!(rewards::choose(&health, &all, now).is_none());
}

/// Guards against repeats without a pause, and against pauses without a bound.
#[test]
fn pauses_double_up_to_a_bound() {
    let pauses: Vec<u128> = (1..=8).map(|n| rewards::retry_pause(n).as_millis()).collect();
    assert_eq!(pauses, [100, 200, 400, 800, 1600, 2000, 2000, 2000]);
    assert_eq!(rewards::retry_pause(u32::MAX), rewards::retry_pause(8));
}

/// Guards against giving up a call that one of the two limits still allows.
#[test]
fn a_call_is_given_up_at_the_larger_limit() {
    assert!(!rewards::is_hopeless(3, 3, 4));
    assert!(!rewards::is_hopeless(3, 4, 3));
    assert!(rewards::is_hopeless(4, 4, 3));
    assert!(!rewards::is_hopeless(0, 0, 0));
}
