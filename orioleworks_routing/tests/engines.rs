//! Tests of item placement, weight loads and upstream health, each with the load pattern that it must handle.

use std::{rc::Rc, time::Duration};

use orioleworks_routing::{
    items::{self, EngineLoad, Rank, Usage},
    outlier::{Candidate, Key, Outliers},
    versions::{self, Engine, Load, Model},
};
use rstest::rstest;

const IDLE: EngineLoad = EngineLoad {
    running: 0,
    slots: 12,
    peak_tokens: 0,
    memory_tokens: 40_000,
    event_ms: 40.0,
    holds_prompt: false,
};

/// Guards against stragglers: an item must not go to a slow engine while a fast one has capacity.
#[test]
fn items_go_to_the_engine_on_which_they_end_first() {
    let slow = EngineLoad { event_ms: 130.0, ..IDLE };
    let busy = EngineLoad { running: 11, peak_tokens: 22_000, ..IDLE };
    assert_eq!(items::place(&[slow, busy, IDLE]), Some(2));
    assert_eq!(items::place(&[slow, busy]), Some(1));
    let full = EngineLoad { running: 12, ..IDLE };
    assert_eq!(items::place(&[slow, full]), Some(0));
    assert_eq!(items::place(&[full]), None);
    let cached = EngineLoad { holds_prompt: true, ..IDLE };
    assert_eq!(items::place(&[IDLE, cached]), Some(1), "the cached prompt is not read again");
}

/// Number of items of a usage that start beside others until the engine has no room.
fn start_all(engine: EngineLoad, running: &mut Vec<Usage>, usage: Usage) -> usize {
    let before = running.len();
    loop {
        let with: Vec<Usage> = running.iter().copied().chain([usage]).collect();
        let peak_tokens = items::peak_usage(&with);
        let engine = EngineLoad { running: running.len() as u32, peak_tokens, ..engine };
        if items::place(&[engine]).is_none() {
            return running.len() - before;
        }
        running.push(usage);
    }
}

/// Guards against engines that run 3 instead of 12 items because memory is reserved for the longest item.
#[test]
fn memory_follows_the_expected_length() {
    assert_eq!(Usage::new(300, 0, Some(1700), 13_000), Usage { now: 300, left: 1700 });
    assert_eq!(Usage::new(300, 500, Some(1200), 13_000), Usage { now: 800, left: 1200 });
    assert_eq!(Usage::new(300, 0, Some(20_000), 13_000), Usage { now: 300, left: 12_700 });
    let unknown = Usage { now: 13_000, left: 0 };
    assert_eq!(Usage::new(300, 0, None, 13_000), unknown, "without an estimate the bound is used");
    assert_eq!(Usage::new(0, 0, Some(1700), 13_000), unknown);
    assert_eq!(start_all(IDLE, &mut Vec::new(), Usage { now: 300, left: 1700 }), 12);
    assert_eq!(start_all(IDLE, &mut Vec::new(), unknown), 3);
    let huge = Usage { now: 300, left: 89_700 };
    assert_eq!(
        start_all(IDLE, &mut Vec::new(), huge),
        1,
        "an item that exceeds the memory runs on an idle engine"
    );
}

/// Guards against an engine that runs out of memory when its items have grown.
#[rstest]
#[case::none(&[], 0)]
#[case::one(&[(300, 1700)], 2000)]
#[case::equal(&[(300, 1700), (300, 1700)], 4000)]
#[case::the_short_one_ends_first(&[(300, 1000), (300, 12_000)], 12_300)]
#[case::at_the_end_of_the_short_one(&[(9000, 1000), (300, 1500)], 11_300)]
#[case::grown_long_ago(&[(12_000, 0), (300, 0)], 12_300)]
fn the_peak_is_the_largest_use_at_one_time(#[case] items: &[(u64, u64)], #[case] peak: u64) {
    let items: Vec<Usage> = items.iter().map(|&(now, left)| Usage { now, left }).collect();
    assert_eq!(items::peak_usage(&items), peak);
}

/// Guards against a process that ends at the sizes of items that callers and documents state, and against large items that seem
/// to fit into any memory.
#[test]
fn the_peak_of_the_largest_items_saturates() {
    let largest = Usage::new(u32::MAX, u64::MAX, Some(u64::MAX), 0);
    assert_eq!(items::peak_usage(&[largest; 3]), u64::MAX);
    let growing = Usage { now: 1, left: u64::MAX / 2 };
    assert_eq!(items::peak_usage(&[growing; 3]), u64::MAX);
}

/// Guards against delaying the step that is due first, and against starting the longest items of a step last.
#[test]
fn items_are_ranked_by_priority_due_time_and_length() {
    let rank = |priority, due, tokens, n| Rank::new(priority, Duration::from_secs(due), tokens, n);
    let mut ranks = [rank(1, 5, 10, 1), rank(0, 9, 10, 2), rank(1, 4, 10, 3), rank(1, 4, 900, 4)];
    ranks.sort();
    assert_eq!(
        ranks,
        [rank(0, 9, 10, 2), rank(1, 4, 900, 4), rank(1, 4, 10, 3), rank(1, 5, 10, 1)]
    );
}

#[rstest]
#[case::estimated(7200, 20, 80)]
#[case::outgrown(720, 30, 30)]
#[case::no_estimate(0, 0, 0)]
fn events_left_follow_the_estimate(
    #[case] tokens: u32,
    #[case] events: usize,
    #[case] left: usize,
) {
    assert_eq!(items::events_left(tokens, 72, events), left);
}

fn engine(id: usize, versions: &[(&str, u64)]) -> Engine {
    let versions = versions.iter().map(|(m, v)| (Rc::from(*m), *v)).collect();
    Engine { id: format!("e{id}").into(), versions, slowness: 1.0, ..Default::default() }
}

fn model(name: &str, named: u64, waiting: usize) -> Model {
    Model { name: name.into(), named, oldest_allowed: named - 1, waiting, items: None }
}

/// Simulates a trainer that publishes a version every four seconds and loads that take one second. Returns the number
/// of loads and the smallest number of usable engines of a step.
fn simulate(engines: &mut [Engine], rounds: u64, models: &[&str]) -> (usize, usize) {
    let (mut loads, mut fewest) = (0, usize::MAX);
    for named in 2..2 + rounds {
        for _second in 0..4 {
            let wanted: Vec<Model> = models.iter().map(|m| model(m, named, 0)).collect();
            let plan = versions::plan(engines, &wanted);
            assert!(plan.len() <= versions::max_loads(engines.len()));
            for Load { engine, model, version } in plan {
                let at = engines.iter().position(|e| e.id == engine).unwrap();
                engines[at].versions.insert(model, version);
                loads += 1;
            }
        }
        let usable = |m: &str| engines.iter().filter(|e| e.versions[m] + 1 >= named).count();
        fewest = fewest.min(models.iter().map(|m| usable(m)).min().unwrap());
    }
    (loads, fewest)
}

/// Guards against trainers that wait for weights when two models have more versions than can be loaded on every engine.
#[test]
fn most_engines_serve_each_step_although_loads_are_limited() {
    let mut engines: Vec<Engine> = (0..9).map(|i| engine(i, &[("a", 1), ("b", 1)])).collect();
    let (loads, fewest) = simulate(&mut engines, 10, &["a", "b"]);
    assert!(fewest >= 7, "only {fewest} of 9 engines are usable for a step");
    assert!(loads <= 10 * 9, "{loads} loads; at most one per engine and version is expected");
}

/// Guards against engines without allowed weights while fewer load than can at full speed: a fifth of all engines, and an order
/// takes an eighth longer than its load.
#[rstest]
#[case::two_of_nine(9, 2)]
#[case::two_of_twelve(12, 2)]
#[case::ten_of_forty_eight(48, 11)]
#[case::ten_of_fifty(50, 11)]
#[case::few_engines(3, 2)]
fn orders_keep_as_many_engines_loading_as_can_at_full_speed(
    #[case] engines: usize,
    #[case] orders: usize,
) {
    assert_eq!(versions::max_loads(engines), orders);
}

/// Guards against planning no loads while items wait for a version that few engines have, and against loads that no
/// item needs.
#[test]
fn waiting_items_bring_their_version_to_more_engines() {
    let mut engines: Vec<Engine> = (0..9).map(|i| engine(i, &[("a", 3)])).collect();
    for engine in engines.iter_mut().take(8) {
        engine.versions.insert("a".into(), 5);
    }
    assert_eq!(versions::plan(&engines, &[model("a", 5, 0)]), []);
    let plan = versions::plan(&engines, &[model("a", 5, 3)]);
    assert_eq!(plan, [Load { engine: "e8".into(), model: "a".into(), version: 5 }]);
}

/// Guards against thousands of loads of which a step can use a few: each one costs an engine a second and what it has stored.
#[rstest]
#[case::unknown(None, 0, 268)]
#[case::few(Some(5), 0, 2)]
#[case::some(Some(120), 0, 20)]
#[case::some_that_wait(Some(120), 600, 50)]
#[case::more_than_all_engines_run(Some(10_000), 0, 268)]
fn a_version_is_loaded_on_no_more_engines_than_its_items_can_use(
    #[case] items: Option<usize>,
    #[case] waiting: usize,
    #[case] expected: usize,
) {
    let mut engines: Vec<Engine> = (0..300).map(|i| engine(i, &[("a", 1)])).collect();
    let mut loads = 0;
    loop {
        // Items wait until enough engines have the version.
        let waiting = waiting.saturating_sub(loads * 12);
        let plan = versions::plan(&engines, &[Model { items, ..model("a", 3, waiting) }]);
        if plan.is_empty() {
            break;
        }
        for Load { engine, model, version } in plan {
            let at = engines.iter().position(|e| e.id == engine).unwrap();
            engines[at].versions.insert(model, version);
            loads += 1;
        }
    }
    assert_eq!(loads, expected);
}

/// Guards against loads on slow or busy engines while another engine has weights that the next step cannot use.
#[test]
fn loads_go_to_engines_that_the_next_step_cannot_use() {
    let mut engines = vec![engine(0, &[("a", 4)]), engine(1, &[("a", 2)]), engine(2, &[("a", 2)])];
    engines[1].slowness = 3.0;
    let plan = versions::plan(&engines, &[model("a", 5, 0)]);
    assert_eq!(plan.first().map(|l| l.engine.to_string()).as_deref(), Some("e2"));
    (engines[2].busy, engines[2].loading) = (true, true);
    let plan = versions::plan(&engines, &[model("a", 5, 0)]);
    assert!(plan.iter().all(|l| *l.engine != *"e2"), "an engine takes one order at a time");
}

/// Guards against orders that are not answered and hold the places of loads, while items wait for engines with their weights.
#[test]
fn an_overdue_order_keeps_no_other_engine_from_loading() {
    let mut engines: Vec<Engine> = (0..10).map(|i| engine(i, &[("a", 1)])).collect();
    for engine in &mut engines[..2] {
        (engine.busy, engine.loading) = (true, true);
    }
    assert_eq!(versions::plan(&engines, &[model("a", 2, 0)]), [], "two load, as many as may");
    for engine in &mut engines[..2] {
        engine.loading = false;
    }
    let plan = versions::plan(&engines, &[model("a", 2, 0)]);
    assert_eq!(plan.len(), 2);
    assert!(plan.iter().all(|load| *load.engine != *"e0" && *load.engine != *"e1"), "{plan:?}");
}

fn candidate(id: &str, fresh: bool) -> Candidate {
    Candidate { key: (id.into(), 1), slots: 6, fresh, local: true }
}

/// Guards against sending further requests to an upstream that has just failed.
#[test]
fn a_failed_upstream_is_left_out_and_tried_again_by_one_request() {
    let (a, b) = (candidate("a", true), candidate("b", true));
    let key: Key = a.key.clone();
    let ms = Duration::from_millis;
    let mut outliers = Outliers::default();
    outliers.record_sent(&key);
    outliers.record_failure(&key, ms(1000));
    let both = [a, b];
    let chosen = |o: &Outliers, now| o.choose(&both, now).map(|c| c.key.0.to_string());
    assert_eq!(chosen(&outliers, ms(1100)).as_deref(), Some("b"));
    assert!(!outliers.is_paused(&key, ms(1400)), "the pause has ended");
    outliers.record_sent(&key);
    assert!(outliers.is_paused(&key, ms(1400)), "one request at a time until one succeeds");
    outliers.record_failure(&key, ms(1500));
    assert!(outliers.is_paused(&key, ms(1900)), "the pause doubles");
    outliers.record_sent(&key);
    outliers.record_response(&key, ms(20));
    assert!(!outliers.is_paused(&key, ms(1900)));
    assert_eq!(outliers.choose(&both[..1], ms(1100)).map(|c| &c.key), Some(&key));
}

/// Guards against choosing a slow, loaded or stale upstream over a better one.
#[test]
fn the_upstream_with_the_shortest_expected_time_is_chosen() {
    let (a, b) = (candidate("a", true), candidate("b", true));
    let mut outliers = Outliers::default();
    for _ in 0..30 {
        outliers.record_sent(&a.key);
        outliers.record_response(&a.key, Duration::from_millis(90));
        outliers.record_sent(&b.key);
        outliers.record_response(&b.key, Duration::from_millis(25));
    }
    let now = Duration::from_secs(1);
    assert_eq!(outliers.choose(&[a.clone(), b.clone()], now).unwrap().key, b.key);
    for _ in 0..30 {
        outliers.record_sent(&b.key);
    }
    assert_eq!(outliers.choose(&[a.clone(), b.clone()], now).unwrap().key, a.key);
    let silent = candidate("c", false);
    assert_eq!(Outliers::default().choose(&[silent, a.clone()], now).unwrap().key, a.key);
}

/// Guards against an upstream that is never tried because another one has already responded quickly.
#[test]
fn an_upstream_without_a_response_yet_is_tried() {
    let mut outliers = Outliers::default();
    let keys: [Key; 2] = [("s-0".into(), 1), ("s-1".into(), 1)];
    let candidates = keys.clone().map(|key| Candidate { key, slots: 8, fresh: true, local: true });
    outliers.record_sent(&keys[0]);
    outliers.record_response(&keys[0], Duration::from_micros(300));
    let chosen = outliers.choose(&candidates, Duration::from_secs(1)).unwrap();
    assert_eq!(chosen.key, keys[1]);
}

/// Guards against long items that stay on engines a third slower than others, and against moves on the noise of averages.
#[rstest]
#[case::long_on_a_slower_engine(100, 50.0, 38.5, true)]
#[case::short(20, 50.0, 38.5, false)]
#[case::noise(179, 40.0, 38.5, false)]
#[case::very_slow(4, 120.0, 38.5, true)]
#[case::faster_here(179, 38.5, 50.0, false)]
fn a_move_must_pay(
    #[case] events_left: usize,
    #[case] own_ms: f64,
    #[case] other_ms: f64,
    #[case] pays: bool,
) {
    assert_eq!(items::move_pays(events_left, own_ms, other_ms), pays);
}

/// Guards against moves before the averages describe the load of a run.
#[test]
fn a_run_does_not_move_at_its_start() {
    assert!(!items::may_move(0) && !items::may_move(7) && items::may_move(8));
}

/// Guards against counting on more events than an item may have.
#[rstest]
#[case(13_000, 100, 72, 0, 180)]
#[case(13_000, 100, 72, 170, 10)]
#[case(13_000, 100, 72, 500, 0)]
#[case(0, 100, 72, 0, usize::MAX)]
fn the_tokens_of_an_item_bound_its_events(
    #[case] tokens: u32,
    #[case] prompt: u32,
    #[case] event_tokens: u32,
    #[case] events: usize,
    #[case] left: usize,
) {
    assert_eq!(items::most_events_left(tokens, prompt, event_tokens, events), left);
}

/// Replays the longest item of a step that starts on a slower engine, because all faster ones are full, and checks when it ends.
#[test]
fn the_longest_item_of_a_step_ends_in_time() {
    const EVENTS: usize = 179;
    const FAST_MS: f64 = 38.5;
    const SLOW_MS: f64 = 50.0;
    /// Time in which the next step can still be asked on time.
    const STEP_MS: f64 = 7500.0;
    let end = |fast_free_at_ms: f64, moves: bool| {
        let (mut ms, mut engine_ms) = (0.0, SLOW_MS);
        for events in 0..EVENTS {
            // Half done is the estimate for an item longer than expected.
            let left = items::events_left(0, 72, events).min(EVENTS - events);
            let free = ms >= fast_free_at_ms && items::may_move(events);
            if moves && free && items::move_pays(left, engine_ms, FAST_MS) {
                engine_ms = FAST_MS;
                ms += 100.0;
            }
            ms += engine_ms;
        }
        ms
    };
    assert!(end(1000.0, false) > STEP_MS);
    assert!(end(1000.0, true) < STEP_MS);
    assert!(end(1500.0, true) < STEP_MS);
}

/// Guards against slots that stay empty while items wait (SHORT): two long items reserved an engine's memory at their start
/// that they fill only seconds later, when the short ones beside them have ended.
#[test]
fn short_items_use_the_slots_beside_long_ones() {
    const MEMORY: u64 = 28_000;
    let engine = EngineLoad { slots: 8, memory_tokens: MEMORY, ..IDLE };
    let (long, short) = (Usage { now: 300, left: 12_100 }, Usage { now: 300, left: 1_100 });
    let mut running = Vec::new();
    let started = (start_all(engine, &mut running, long), start_all(engine, &mut running, short));
    assert_eq!(started, (2, 6), "long and short items that run at the same time on 8 slots");
}
