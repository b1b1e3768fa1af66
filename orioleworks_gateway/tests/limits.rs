//! Tests of upstreams that name the requests a second that they take from all instances together.

mod support;

use std::{
    cell::Cell,
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    thread,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use rstest::rstest;
use support::{
    client,
    deployment::Deployment,
    routes::{self, MODEL},
    upstream::Upstream,
};

/// Span over which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests beyond the named rate that may arrive in a window: a burst of half a second or of one request, and one for
/// each end of the window.
const BURST_REQUESTS: f64 = 3.0;
/// Time for the news of a limit to reach all gateways and stores.
const NEWS_TIME: Duration = Duration::from_millis(500);
/// Time without a sign of a gateway after which its share is held back, and for signs to be passed on.
const ABSENCE_TIME: Duration = Duration::from_secs(3);
/// Interval between two requests of one caller, also after a refusal.
const CALL_INTERVAL: Duration = Duration::from_millis(15);
/// Longest time to refuse what cannot be served: "at once", with some room for a busy machine.
const REFUSAL_TIME: Duration = Duration::from_millis(250);

fn start_upstreams(d: &Deployment, service: &str, model: Option<&str>, n: usize) -> Vec<Upstream> {
    let start =
        |i| Upstream::start(&format!("{service}-{i}"), service, model, d.control_addresses());
    (0..n).map(start).collect()
}

fn name_limit(upstreams: &[Upstream], rate: Option<f64>) {
    for up in upstreams {
        *up.behaviour.rate_limit.lock().unwrap() = rate;
    }
}

/// Sends lookups through every gateway until each upstream has run some.
fn warm_up(d: &Deployment, upstreams: &[Upstream]) {
    let sent = Cell::new(0);
    d.wait_until("each upstream runs requests", || {
        for gateway in 0..d.gateways.len() {
            let id = format!("warm-{}", sent.replace(sent.get() + 1));
            d.send(gateway, "GET", &format!("/lookup/{id}"), &id, "");
        }
        upstreams.iter().all(|up| up.total_runs() > 0)
    });
}

/// Largest number of arrivals in a window that begins after `from`.
fn most_in_window(up: &Upstream, from: Instant) -> usize {
    let arrivals: Vec<Instant> = up.arrivals().into_iter().filter(|at| *at >= from).collect();
    let in_window =
        |start: Instant| arrivals.iter().filter(|at| (start..start + WINDOW).contains(*at)).count();
    arrivals.iter().map(|start| in_window(*start)).max().unwrap_or(0)
}

fn check_limit(d: &Deployment, upstreams: &[Upstream], rate: f64, from: Instant) {
    let allowed = rate * WINDOW.as_secs_f64() + BURST_REQUESTS.max(rate / 2.0);
    let most: Vec<usize> = upstreams.iter().map(|up| most_in_window(up, from)).collect();
    assert!(
        most.iter().all(|n| *n as f64 <= allowed),
        "{most:?} requests in {WINDOW:?}, {allowed} allowed at {rate} a second\n{}",
        d.logs()
    );
}

/// Counts of a load.
#[derive(Default)]
struct Load {
    stop: AtomicBool,
    sent: AtomicUsize,
    served: AtomicUsize,
    /// Refusals that took longer than [`REFUSAL_TIME`], or lack the time at which to come back.
    bad_refusals: AtomicUsize,
}

impl Load {
    /// Sends lookups through a gateway until it is stopped.
    fn run(&self, address: &str, caller: usize) {
        while !self.stop.load(Ordering::Relaxed) {
            let id = format!("c{caller}-{}", self.sent.fetch_add(1, Ordering::Relaxed));
            let headers = [("X-Attempt-Id", id.as_str()), ("X-Deadline-Ms", "2000")];
            let started = Instant::now();
            let path = format!("/lookup/{id}");
            match client::call(address, "GET", &path, &headers, "") {
                Some(response) if response.status == 200 => {
                    self.served.fetch_add(1, Ordering::Relaxed);
                }
                Some(response) if response.status == 503 => {
                    let late = started.elapsed() > REFUSAL_TIME;
                    if late || !response.head.contains("retry-after") {
                        self.bad_refusals.fetch_add(1, Ordering::Relaxed);
                    }
                }
                _ => {}
            }
            thread::sleep(CALL_INTERVAL);
        }
    }
}

/// Runs `disturb` while callers send far more than the limited upstreams take, through all gateways.
fn under_load(d: &mut Deployment, disturb: impl FnOnce(&mut Deployment)) -> Load {
    const CALLERS: usize = 6;
    let load = Load::default();
    let addresses: Vec<String> = (0..d.gateways.len()).map(|i| d.gateway_address(i)).collect();
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (load, address) = (&load, &addresses[caller % addresses.len()]);
            scope.spawn(move || load.run(address, caller));
        }
        disturb(d);
        load.stop.store(true, Ordering::Relaxed);
    });
    load
}

/// Guards against upstreams that get more than the limit that they name, whatever gateway the requests come through, and
/// against a limit that is left unused.
#[rstest]
#[case::one_a_second(1.0, 3)]
#[case::one_a_second_through_one_gateway(1.0, 1)]
#[case::twelve_a_second(12.0, 3)]
fn calls_keep_to_a_named_limit_over_all_gateways(#[case] rate: f64, #[case] gateways: usize) {
    const LOAD_TIME: Duration = Duration::from_secs(7);
    let mut d = Deployment::start(3, gateways, &routes::document(1, 2000).to_string());
    let upstreams = start_upstreams(&d, "sheets", None, 3);
    warm_up(&d, &upstreams);
    name_limit(&upstreams, Some(rate));
    let mut from = Instant::now();
    let load = under_load(&mut d, |_| {
        thread::sleep(NEWS_TIME);
        from = Instant::now();
        thread::sleep(LOAD_TIME);
    });
    check_limit(&d, &upstreams, rate, from);
    let expected = rate * upstreams.len() as f64 * LOAD_TIME.as_secs_f64();
    let served = load.served.load(Ordering::Relaxed);
    assert!(served as f64 >= expected * 0.7, "{served} served, the limits allow {expected}");
    let bad = load.bad_refusals.load(Ordering::Relaxed);
    let sent = load.sent.load(Ordering::Relaxed);
    assert!(bad * 50 <= sent, "{bad} of {sent} refusals late or without advice\n{}", d.logs());
}

/// Guards against a limit that grows with the instances that share it, while these end, freeze, start and lose the leader.
#[test]
fn calls_keep_to_a_named_limit_while_instances_come_and_go() {
    const RATE: f64 = 2.0;
    let mut d = Deployment::start(3, 3, &routes::document(1, 2000).to_string());
    let upstreams = start_upstreams(&d, "sheets", None, 2);
    warm_up(&d, &upstreams);
    name_limit(&upstreams, Some(RATE));
    let mut from = Instant::now();
    under_load(&mut d, |d| {
        thread::sleep(NEWS_TIME);
        from = Instant::now();
        let leader = d.leader().unwrap();
        d.stores[leader].as_ref().unwrap().signal(Signal::SIGSTOP);
        thread::sleep(Duration::from_secs(2));
        d.gateways[0] = None;
        d.start_gateway(0);
        d.stores[leader].as_ref().unwrap().signal(Signal::SIGCONT);
        thread::sleep(Duration::from_secs(1));
        d.gateways[1].as_ref().unwrap().signal(Signal::SIGSTOP);
        let leader = d.leader().unwrap();
        d.stores[leader] = None;
        thread::sleep(Duration::from_secs(2));
        d.gateways[1].as_ref().unwrap().signal(Signal::SIGCONT);
        d.start_store(leader, false);
        thread::sleep(Duration::from_secs(3));
    });
    check_limit(&d, &upstreams, RATE, from);
}

/// Guards against gateways without a leader that each use the whole limit, and against ones that use none of it.
#[test]
fn gateways_without_a_leader_share_a_named_limit() {
    const RATE: f64 = 3.0;
    let mut d = Deployment::start(3, 3, &routes::document(1, 2000).to_string());
    let upstreams = start_upstreams(&d, "sheets", None, 2);
    warm_up(&d, &upstreams);
    name_limit(&upstreams, Some(RATE));
    let mut from = Instant::now();
    let load = under_load(&mut d, |d| {
        thread::sleep(NEWS_TIME);
        from = Instant::now();
        for store in &mut d.stores {
            *store = None;
        }
        thread::sleep(ABSENCE_TIME * 3);
    });
    check_limit(&d, &upstreams, RATE, from);
    let served = load.served.load(Ordering::Relaxed);
    let expected = RATE * upstreams.len() as f64 * (ABSENCE_TIME * 3).as_secs_f64();
    assert!(served as f64 >= expected * 0.5, "{served} served, the limits allow {expected}");
}

/// Guards against items and orders that exceed the limits of engines, against items that are not run at all, and against a
/// limit that outlives the need.
#[test]
fn items_and_orders_keep_to_a_named_limit_and_complete() {
    const RATE: f64 = 2.0;
    const ITEMS: usize = 60;
    let d = Deployment::start(3, 1, &routes::document(1, 2000).to_string());
    let engines = start_upstreams(&d, "engines", Some(MODEL), 3);
    let submit = |id: &str, count: usize| {
        let items: Vec<String> = (0..count).map(|i| format!("{id}-{i}")).collect();
        let body = routes::submission(&items, 1, |id| id);
        d.wait_until("the batch is accepted", || {
            d.send(0, "POST", &format!("/batch/{id}"), id, &body).is_some_and(|a| a.status == 202)
        });
    };
    let completed = |id: &str| {
        let response = d.send(0, "GET", &format!("/v1/lots/{id}?after=0"), "read", "");
        response.and_then(|r| r.json()["results"].as_array().map(Vec::len)).unwrap_or(0)
    };
    name_limit(&engines, Some(RATE));
    // An engine whose announcement is late takes part in a later batch.
    for first in (0..).map(|n| format!("first-{n}")) {
        submit(&first, 9);
        d.wait_until("the first items complete", || completed(&first) == 9);
        if engines.iter().all(|up| up.total_runs() > 0) {
            break;
        }
    }
    let from = Instant::now();
    submit("limited", ITEMS);
    let named = d.control_addresses().into_iter().any(|store| {
        let body = serde_json::json!({"model": MODEL, "version": 2}).to_string();
        client::call(&store, "POST", "/v1/version-put", &[], &body).is_some_and(|a| a.status == 200)
    });
    assert!(named, "the version is accepted");
    d.wait_until("limited items complete", || completed("limited") == ITEMS);
    check_limit(&d, &engines, RATE, from);
    name_limit(&engines, None);
    submit("ending", 3);
    d.wait_until("the limits end", || completed("ending") == 3);
    let started = Instant::now();
    submit("free", ITEMS);
    d.wait_until("items are free again", || completed("free") == ITEMS);
    assert!(started.elapsed() < Duration::from_secs(6), "took {:?}", started.elapsed());
}
