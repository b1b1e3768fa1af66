//! Tests of requests that crash each upstream that begins to run them, and of innocent requests beside them.

mod support;

use std::{
    cell::Cell,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use rstest::rstest;
use support::{
    client::Response,
    deployment::Deployment,
    routes::{self, MODEL},
    upstream::{RESTART_TIME, Upstream},
};

/// Upstreams that one request may crash, however often its caller repeats it (docs/PROOFS.md, "Requests that crash
/// upstreams").
const MAX_CRASHES: usize = 2;
/// Longest time to refuse a quarantined request: "at once", with some room for a busy machine.
const REFUSAL_TIME: Duration = Duration::from_millis(250);
/// Part of the path of requests that crash upstreams.
const CRASHES: &str = "crashes";
/// Longest time for an owed item to complete once its engines are sound: "within seconds" (docs/platform.md, "Requests that
/// crash upstreams"), and before a step that is due in 7.5 s is lost.
const OWED_TIME: Duration = Duration::from_secs(5);
/// Shortest time from the second loss of an engine under one item to the third.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Shortest time between all later ones.
const FURTHER_PAUSE: Duration = Duration::from_secs(2);

fn start_upstreams(d: &Deployment, service: &str, model: Option<&str>, n: usize) -> Vec<Upstream> {
    start_upstreams_that_crash(d, service, model, n, &Arc::new(AtomicU64::new(u64::MAX)))
}

/// Starts upstreams of which `crashes_left` end under requests that crash upstreams; the others run these.
fn start_upstreams_that_crash(
    d: &Deployment,
    service: &str,
    model: Option<&str>,
    n: usize,
    crashes_left: &Arc<AtomicU64>,
) -> Vec<Upstream> {
    let start = |i| {
        let up = Upstream::start(&format!("{service}-{i}"), service, model, d.control_addresses());
        CRASHES.clone_into(&mut up.behaviour.crash_path.lock().unwrap());
        up.behaviour.crashes_left.lock().unwrap().clone_from(crashes_left);
        up
    };
    (0..n).map(start).collect()
}

/// Times of the crashes of all upstreams.
fn crash_times(upstreams: &[Upstream]) -> Vec<Instant> {
    let mut times: Vec<Instant> = upstreams.iter().flat_map(Upstream::crashes).collect();
    times.sort();
    times
}

fn total_crashes(upstreams: &[Upstream]) -> usize {
    crash_times(upstreams).len()
}

/// Sends lookups through every gateway until each upstream has run one.
fn warm_up(d: &Deployment, upstreams: &[Upstream]) {
    let sent = Cell::new(0);
    d.wait_until("each upstream runs a request", || {
        for gateway in 0..d.gateways.len() {
            let id = format!("warm-{}", sent.replace(sent.get() + 1));
            d.send(gateway, "GET", &format!("/lookup/{id}"), &id, "");
        }
        upstreams.iter().all(|up| up.total_runs() > 0)
    });
}

fn is_quarantined(response: &Response) -> bool {
    response.json()["name"] == "quarantined"
}

/// Guards against a request that is sent to one upstream after another although each of them crashes under it: its
/// caller repeats it with a new ID each time.
#[rstest]
#[case::safe_through_one_gateway("GET", "/lookup", 1)]
#[case::safe_through_all_gateways("GET", "/lookup", 3)]
#[case::unsafe_through_all_gateways("POST", "/confirm", 3)]
fn a_repeated_request_crashes_two_upstreams_at_most(
    #[case] method: &str,
    #[case] route: &str,
    #[case] gateways: usize,
) {
    let d = Deployment::start(3, 3, &routes::document(1, 2000).to_string());
    let upstreams = start_upstreams(&d, "sheets", None, 4);
    warm_up(&d, &upstreams);
    let path = format!("{route}/{CRASHES}");
    let until = Instant::now() + RESTART_TIME * 4;
    let mut repeats = 0;
    let (mut last, mut unserved) = (None, Vec::new());
    while Instant::now() < until {
        let id = format!("repeat-{repeats}");
        let started = Instant::now();
        let response = d.send(repeats % gateways, method, &path, &id, "body").unwrap();
        last = Some((response, started.elapsed()));
        let other = format!("/lookup/other-{repeats}");
        let response = d.send(repeats % 3, "GET", &other, &format!("other-{repeats}"), "").unwrap();
        if response.status != 200 {
            unserved.push(response.body);
        }
        repeats += 1;
        thread::sleep(Duration::from_millis(100));
    }
    let crashes = total_crashes(&upstreams);
    assert!(
        crashes <= MAX_CRASHES,
        "{crashes} upstreams crashed under {repeats} repeats\n{}",
        d.decisions(&[
            "path_",
            "crash_",
            "suspicion_",
            "suspect_",
            "attempt_failed",
            "store_lost",
            "report_failed"
        ])
    );
    assert!(unserved.is_empty(), "other requests of {repeats} that were not served: {unserved:?}");
    let (response, took) = last.unwrap();
    assert!(is_quarantined(&response), "{} {}", response.status, response.body);
    assert_eq!(response.status, 503, "the refused repeat has not run");
    assert!(response.head.contains("retry-after"), "{}", response.head);
    assert!(took < REFUSAL_TIME, "refused after {took:?}");
}

/// Guards against a repeat that crashes a third upstream through another gateway while the second one still runs the
/// request.
#[test]
fn a_repeat_through_another_gateway_waits_for_the_run_of_a_suspect() {
    const RUN_TIME: Duration = Duration::from_millis(500);
    let mut routes = routes::document(1, 5000);
    // No second attempt starts beside the first one.
    routes["routes"][routes::LOOKUP]["target_latency_ms"] = 5000.into();
    let d = Deployment::start(3, 3, &routes.to_string());
    let upstreams = start_upstreams(&d, "sheets", None, 5);
    warm_up(&d, &upstreams);
    for up in &upstreams {
        up.behaviour.delay_ms.store(RUN_TIME.as_millis() as u64, Ordering::Relaxed);
    }
    let path = format!("/lookup/{CRASHES}");
    thread::scope(|scope| {
        let send = |gateway: usize, id: &'static str| {
            let (address, path) = (d.gateway_address(gateway), path.clone());
            scope.spawn(move || {
                let headers = [("X-Attempt-Id", id), ("X-Deadline-Ms", "4000")];
                support::client::call(&address, "GET", &path, &headers, "").unwrap()
            })
        };
        let first = send(0, "first");
        // The first upstream has ended, and the second one runs the request.
        thread::sleep(RUN_TIME * 3 / 2);
        let repeats = [send(1, "repeat-1"), send(2, "repeat-2"), send(0, "repeat-3")];
        assert_ne!(first.join().unwrap().status, 200);
        for repeat in repeats {
            let response = repeat.join().unwrap();
            assert!(is_quarantined(&response), "{} {}", response.status, response.body);
        }
    });
    let crashes = total_crashes(&upstreams);
    assert!(crashes <= MAX_CRASHES, "{crashes} upstreams crashed\n{}", d.logs());
}

/// Guards against a quarantine that is forgotten: what a gateway observed must survive its own end, the end of the store
/// that it reported to, and the restart of every process one after the other.
#[test]
fn a_quarantine_survives_restarts() {
    /// Time for a store that has started to learn what the others know.
    const CATCH_UP: Duration = Duration::from_millis(1500);
    let mut d = Deployment::start(3, 2, &routes::document(1, 2000).to_string());
    let upstreams = start_upstreams(&d, "sheets", None, 4);
    warm_up(&d, &upstreams);
    let path = format!("/lookup/{CRASHES}");
    let sent = Cell::new(0);
    let is_refused = |d: &Deployment, gateway: usize| {
        let id = format!("repeat-{}", sent.replace(sent.get() + 1));
        d.send(gateway, "GET", &path, &id, "").is_some_and(|response| is_quarantined(&response))
    };
    d.wait_until("the request is quarantined", || is_refused(&d, 0));
    for round in 0..2 {
        for gateway in 0..d.gateways.len() {
            d.gateways[gateway] = None;
            d.start_gateway(gateway);
            d.wait_until("the gateway is ready", || d.is_ready(gateway));
            assert!(is_refused(&d, gateway), "gateway {gateway} has forgotten it in round {round}");
        }
        for store in 0..d.stores.len() {
            d.stores[store] = None;
            thread::sleep(CATCH_UP);
            d.start_store(store, false);
            thread::sleep(CATCH_UP);
        }
    }
    assert!(total_crashes(&upstreams) <= MAX_CRASHES, "{} crashes", total_crashes(&upstreams));
}

/// Submits a batch of one item that crashes engines and `others` that don't.
fn submit(d: &Deployment, id: &str, others: usize) {
    let mut items = vec![format!("{CRASHES}-item")];
    items.extend((0..others).map(|i| format!("{id}-{i}")));
    let body = routes::submission(&items, 1, |id| id);
    d.wait_until("the batch is accepted", || {
        d.send(0, "POST", &format!("/batch/{id}"), id, &body).is_some_and(|a| a.status == 202)
    });
}

/// Number of items that are listed as completed; checks that no other state is listed.
fn completed(d: &Deployment, id: &str) -> usize {
    let path = format!("/v1/lots/{id}?after=0");
    let Some(response) = d.send(0, "GET", &path, "read", "") else { return 0 };
    let results = response.json()["results"].as_array().cloned().unwrap_or_default();
    assert!(results.iter().all(|r| r["state"] == "completed"), "{}", response.body);
    results.len()
}

/// Waits until a number of items is listed as completed, and checks that nothing else is listed.
fn wait_for_results(d: &Deployment, id: &str, count: usize) {
    d.wait_until("the other items are complete", || {
        let listed = completed(d, id);
        assert!(listed <= count, "{listed} of {count} items are listed");
        listed == count
    });
}

/// Waits until the whole batch is listed as completed, no longer than an owed item may take.
fn wait_for_owed_results(d: &Deployment, id: &str, count: usize) {
    let started = Instant::now();
    while completed(d, id) < count {
        let waited = started.elapsed();
        assert!(
            waited < OWED_TIME,
            "{} of {count} items of {id} are complete after {waited:?}\n{}",
            completed(d, id),
            d.logs()
        );
        thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against an item that is never run again because engines ended while they ran it, also in the next batch.
#[rstest]
#[case::two_engines(2)]
#[case::four_engines(4)]
#[case::six_engines(6)]
fn an_item_is_owed_and_completes_however_many_engines_ended_under_it(#[case] crashes: u64) {
    let d = Deployment::start(3, 1, &routes::document(1, 2000).to_string());
    let left = Arc::new(AtomicU64::new(crashes));
    let engines = start_upstreams_that_crash(&d, "engines", Some(MODEL), 6, &left);
    submit(&d, "b1", 19);
    d.wait_until("all crashes have happened", || left.load(Ordering::Relaxed) == 0);
    wait_for_owed_results(&d, "b1", 20);
    submit(&d, "b2", 5);
    wait_for_owed_results(&d, "b2", 6);
    assert_eq!(total_crashes(&engines) as u64, crashes);
}

/// Guards against an item that takes one engine after another while each of them ends under it, also after a change of
/// leader and when a later batch contains it again; against other items that wait for it; and against an item that is
/// given up.
#[test]
fn an_item_under_which_engines_end_takes_one_at_a_time_and_stays_owed() {
    let mut d = Deployment::start(3, 1, &routes::document(1, 2000).to_string());
    let left = Arc::new(AtomicU64::new(u64::MAX));
    let engines = start_upstreams_that_crash(&d, "engines", Some(MODEL), 6, &left);
    submit(&d, "b1", 19);
    thread::sleep(RESTART_TIME * 3);
    wait_for_results(&d, "b1", 19);
    let leader = d.leader().unwrap();
    d.stores[leader] = None;
    submit(&d, "b2", 5);
    thread::sleep(RESTART_TIME * 3);
    wait_for_results(&d, "b2", 5);
    left.store(0, Ordering::Relaxed);
    wait_for_owed_results(&d, "b1", 20);
    wait_for_owed_results(&d, "b2", 6);
    let times = crash_times(&engines);
    assert!(times.len() > 2, "the item is still run");
    let pauses: Vec<Duration> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    let short = pauses[1] < FIRST_PAUSE || pauses[2..].iter().any(|pause| *pause < FURTHER_PAUSE);
    assert!(!short, "{pauses:?}\n{}", d.logs());
}

/// Guards against the quarantine of requests and items that were in flight when half of the upstreams were lost at
/// once, repeatedly.
#[test]
fn requests_in_flight_on_lost_upstreams_are_not_quarantined() {
    const CALLERS: usize = 6;
    let d = Deployment::start(3, 2, &routes::document(1, 2000).to_string());
    let services = start_upstreams(&d, "sheets", None, 6);
    let engines = start_upstreams(&d, "engines", Some(MODEL), 6);
    warm_up(&d, &services);
    for up in &services {
        up.behaviour.delay_ms.store(40, std::sync::atomic::Ordering::Relaxed);
    }
    let items: Vec<String> = (0..60).map(|i| format!("item-{i}")).collect();
    let body = routes::submission(&items, 1, |id| id);
    let until = Instant::now() + RESTART_TIME * 4;
    thread::scope(|scope| {
        let callers = (0..CALLERS).map(|caller| {
            let address = d.gateway_address(caller % 2);
            scope.spawn(move || {
                let mut refused = Vec::new();
                let mut n = 0;
                while Instant::now() < until {
                    let path = format!("/lookup/{caller}-{n}");
                    // A caller repeats a request that failed.
                    for repeat in 0..2 {
                        let id = format!("{caller}-{n}-{repeat}");
                        let headers = [("X-Attempt-Id", id.as_str()), ("X-Deadline-Ms", "2000")];
                        let response = support::client::call(&address, "GET", &path, &headers, "");
                        match response {
                            Some(response) if response.status == 200 => break,
                            Some(response) if is_quarantined(&response) => refused.push(id),
                            _ => {}
                        }
                    }
                    n += 1;
                }
                refused
            })
        });
        let callers: Vec<_> = callers.collect();
        d.wait_until("the batch is accepted", || {
            d.send(0, "POST", "/batch/b1", "b1", &body).is_some_and(|a| a.status == 202)
        });
        for round in 0..3 {
            thread::sleep(RESTART_TIME);
            for up in services.iter().chain(&engines).skip(round % 2).step_by(2) {
                up.crash();
            }
        }
        let refused: Vec<String> =
            callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect();
        assert!(refused.is_empty(), "refused as quarantined: {refused:?}\n{}", d.logs());
    });
    wait_for_results(&d, "b1", items.len());
}
