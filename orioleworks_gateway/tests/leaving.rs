//! Tests of upstreams that say in their responses that they leave, while their announcements still say that they are ready.

mod support;

use std::{
    cell::Cell,
    io::{Read, Write},
    net::TcpStream,
    sync::atomic::Ordering,
    thread,
    time::Duration,
};

use nix::sys::signal::Signal;
use rstest::rstest;
use support::{
    client,
    deployment::Deployment,
    routes::{self, LOOKUP, MODEL},
    upstream::{EVENTS, Upstream},
};

/// Time for the news to reach the stores and all gateways: a watch's round trip, with room for a busy machine.
const NEWS_TIME: Duration = Duration::from_millis(400);
/// Calls that would be spread over all upstreams of a service.
const CALLS: usize = 40;

fn start_upstreams(d: &Deployment, service: &str, model: Option<&str>, n: usize) -> Vec<Upstream> {
    let start =
        |i| Upstream::start(&format!("{service}-{i}"), service, model, d.control_addresses());
    (0..n).map(start).collect()
}

fn lookup(d: &Deployment, gateway: usize, id: &str) -> u16 {
    lookup_at(&d.gateway_address(gateway), id)
}

fn lookup_at(address: &str, id: &str) -> u16 {
    let headers = [("X-Attempt-Id", id), ("X-Deadline-Ms", "5000")];
    let response = client::call(address, "GET", &format!("/lookup/{id}"), &headers, "");
    response.map_or(0, |response| response.status)
}

/// Sends lookups through every gateway until each upstream has run some.
fn warm_up(d: &Deployment, upstreams: &[Upstream]) {
    let sent = Cell::new(0);
    d.wait_until("each upstream runs requests", || {
        for gateway in 0..d.gateways.len() {
            lookup(d, gateway, &format!("warm-{}", sent.replace(sent.get() + 1)));
        }
        upstreams.iter().all(|up| up.total_runs() > 0)
    });
}

/// Makes the first upstream say that it leaves, and sends lookups through a gateway until one response said so. Returns
/// the number of requests that have reached the upstream by then. The others are slower from now on, so that calls would go
/// to it first.
fn learn_by_lookups(d: &Deployment, gateway: usize, upstreams: &[Upstream]) -> usize {
    const SLOWER_MS: u64 = 40;
    let up = &upstreams[0];
    for other in &upstreams[1..] {
        other.behaviour.delay_ms.store(SLOWER_MS, Ordering::Relaxed);
    }
    up.behaviour.says_leaving.store(true, Ordering::Relaxed);
    let (learnt, sent) = (format!("event=upstream_leaving upstream={} ", up.id), Cell::new(0));
    // A parallel attempt that is still in flight may be the first to say so.
    d.wait_until("a response says that the upstream leaves", || {
        lookup(d, gateway, &format!("learn-{}", sent.replace(sent.get() + 1)));
        d.gateways[gateway].as_ref().is_some_and(|gateway| gateway.log().contains(&learnt))
    });
    up.arrivals().len()
}

/// Sends lookups over more than an announcement's interval; all have to be served.
fn send_calls(d: &Deployment, gateway: usize, name: &str) {
    for n in 0..CALLS {
        assert_eq!(lookup(d, gateway, &format!("{name}-{gateway}-{n}")), 200, "{}", d.logs());
        thread::sleep(Duration::from_millis(20));
    }
}

fn signal_stores(d: &Deployment, signal: Signal) {
    for store in d.stores.iter().flatten() {
        store.signal(signal);
    }
}

/// Guards against requests to an upstream after the gateway has passed on a response that said that it leaves, in touch
/// with the stores or not.
#[rstest]
#[case::with_stores(true)]
#[case::without_stores(false)]
fn a_call_after_a_response_that_says_leaving_goes_elsewhere(#[case] stores_reachable: bool) {
    let d = Deployment::start(3, 1, &routes::document(1, 5000).to_string());
    let upstreams = start_upstreams(&d, "sheets", None, 3);
    warm_up(&d, &upstreams);
    if !stores_reachable {
        signal_stores(&d, Signal::SIGSTOP);
    }
    let reached = learn_by_lookups(&d, 0, &upstreams);
    send_calls(&d, 0, "after");
    assert_eq!(upstreams[0].arrivals().len(), reached, "requests reached it\n{}", d.logs());
}

/// Guards against gateways and stores that do not learn what another gateway has seen, and against a store that has just
/// started and knows nothing of it.
#[test]
fn other_instances_learn_that_an_upstream_leaves() {
    let mut d = Deployment::start(3, 3, &routes::document(1, 5000).to_string());
    let upstreams = start_upstreams(&d, "sheets", None, 3);
    warm_up(&d, &upstreams);
    learn_by_lookups(&d, 0, &upstreams);
    thread::sleep(NEWS_TIME);
    let reached = upstreams[0].arrivals().len();
    for gateway in 0..3 {
        send_calls(&d, gateway, "after");
    }
    for store in 0..3 {
        d.stores[store] = None;
        d.start_store(store, false);
        thread::sleep(Duration::from_secs(2));
    }
    d.gateways[2] = None;
    d.start_gateway(2);
    d.wait_until("the gateway is ready", || d.is_ready(2));
    for gateway in 0..3 {
        send_calls(&d, gateway, "restarted");
    }
    assert_eq!(upstreams[0].arrivals().len(), reached, "requests reached it\n{}", d.logs());
}

/// Guards against an incarnation that serves again because it goes on to announce itself as ready, and against the next one
/// that is left out for the sake of the one before.
#[test]
fn only_the_next_incarnation_serves_again() {
    let d = Deployment::start(3, 1, &routes::document(1, 5000).to_string());
    let upstreams = start_upstreams(&d, "sheets", None, 2);
    warm_up(&d, &upstreams);
    let reached = learn_by_lookups(&d, 0, &upstreams);
    upstreams[0].behaviour.says_leaving.store(false, Ordering::Relaxed);
    for round in 0..3 {
        send_calls(&d, 0, &format!("round-{round}"));
    }
    assert_eq!(upstreams[0].arrivals().len(), reached, "requests reached it\n{}", d.logs());
    upstreams[0].crash();
    let sent = Cell::new(0);
    d.wait_until("the next incarnation serves", || {
        lookup(&d, 0, &format!("next-{}", sent.replace(sent.get() + 1)));
        upstreams[0].arrivals().len() > reached
    });
}

/// Guards against a header that is read from successes only.
#[rstest]
#[case::refusal(true)]
#[case::failure(false)]
fn a_refusal_and_a_failure_say_it_too(#[case] refuses: bool) {
    let d = Deployment::start(3, 1, &routes::document(1, 5000).to_string());
    let upstreams = start_upstreams(&d, "sheets", None, 3);
    warm_up(&d, &upstreams);
    let behaviour = &upstreams[0].behaviour;
    behaviour.refuses.store(refuses, Ordering::Relaxed);
    behaviour.failures.store(u64::from(!refuses), Ordering::Relaxed);
    let reached = learn_by_lookups(&d, 0, &upstreams);
    behaviour.refuses.store(false, Ordering::Relaxed);
    behaviour.failures.store(0, Ordering::Relaxed);
    send_calls(&d, 0, "after");
    assert_eq!(upstreams[0].arrivals().len(), reached, "requests reached it\n{}", d.logs());
}

/// Guards against a request that waits for a permit of an upstream and is sent there although it leaves meanwhile, and
/// against a caller that is not told that nothing has run.
#[test]
fn an_attempt_that_waits_for_a_permit_is_not_sent_to_an_upstream_that_leaves() {
    let mut document = routes::document(1, 8000);
    document["routes"][LOOKUP]["target_latency_ms"] = 6000.into();
    let d = Deployment::start(3, 1, &document.to_string());
    let up = &start_upstreams(&d, "sheets", None, 1)[0];
    *up.behaviour.rate_limit.lock().unwrap() = Some(0.8);
    warm_up(&d, std::slice::from_ref(up));
    // The next permit is free 1.25 s after the one before.
    assert_eq!(lookup(&d, 0, "second"), 200, "{}", d.logs());
    up.behaviour.delay_ms.store(700, Ordering::Relaxed);
    up.behaviour.says_leaving.store(true, Ordering::Relaxed);
    thread::scope(|scope| {
        let address = d.gateway_address(0);
        let first = scope.spawn(move || lookup_at(&address, "first"));
        d.wait_until("the first request runs", || !up.runs("first").is_empty());
        let waiting = d.send(0, "GET", "/lookup/waiting", "waiting", "").unwrap();
        assert_eq!(first.join().unwrap(), 200);
        assert!(up.runs("waiting").is_empty(), "it was sent\n{}", d.logs());
        assert_eq!(waiting.status, 503, "{waiting:?}\n{}", d.logs());
        assert!(waiting.head.contains("retry-after"), "{}", waiting.head);
    });
}

/// Guards against connections that are kept for an upstream that gets no more requests.
#[test]
fn kept_connections_to_an_upstream_that_leaves_are_closed() {
    let d = Deployment::start(1, 1, &routes::document(1, 5000).to_string());
    let upstreams = start_upstreams(&d, "sheets", None, 2);
    warm_up(&d, &upstreams);
    upstreams[0].behaviour.delay_ms.store(100, Ordering::Relaxed);
    thread::scope(|scope| {
        for n in 0..8 {
            let address = d.gateway_address(0);
            scope.spawn(move || lookup_at(&address, &format!("parallel-{n}")));
        }
    });
    upstreams[0].behaviour.delay_ms.store(0, Ordering::Relaxed);
    learn_by_lookups(&d, 0, &upstreams);
    thread::sleep(NEWS_TIME);
    assert_eq!(upstreams[0].open_connections(), 0, "{}", d.logs());
    assert!(upstreams[1].open_connections() > 0, "the other one keeps its connections");
}

fn submit(d: &Deployment, id: &str, count: usize) {
    let items: Vec<String> = (0..count).map(|i| format!("{id}-{i}")).collect();
    let body = routes::submission(&items, 1, |id| id);
    d.wait_until("the batch is accepted", || {
        d.send(0, "POST", &format!("/batch/{id}"), id, &body).is_some_and(|a| a.status == 202)
    });
    d.wait_until("the batch completes", || {
        let response = d.send(0, "GET", &format!("/v1/lots/{id}?after=0"), "read", "");
        response.is_some_and(|r| r.json()["results"].as_array().map(Vec::len) == Some(count))
    });
}

/// Guards against items and callers' streams that are sent to an engine after the response to an item said that it leaves,
/// and against an item that does not end where it has begun.
#[test]
fn an_item_after_a_response_that_says_leaving_goes_elsewhere() {
    const ITEMS: usize = 12;
    let d = Deployment::start(3, 1, &routes::document(1, 5000).to_string());
    let engines = start_upstreams(&d, "engines", Some(MODEL), 2);
    submit(&d, "first", ITEMS);
    assert!(engines.iter().all(|e| e.total_runs() > 0), "{}", d.logs());
    engines[0].behaviour.says_leaving.store(true, Ordering::Relaxed);
    submit(&d, "second", ITEMS);
    for n in 0..ITEMS {
        let id = format!("second-{n}");
        let runs: usize = engines.iter().map(|e| e.runs(&id).len()).sum();
        assert_eq!(runs, 1, "{id} was moved\n{}", d.logs());
    }
    let reached = engines[0].arrivals().len();
    submit(&d, "third", ITEMS);
    thread::sleep(NEWS_TIME);
    for n in 0..ITEMS {
        let part = read_stream(&d.gateway_address(0), &format!("stream-{n}"), None);
        assert_eq!(part, (200, EVENTS), "{}", d.logs());
    }
    assert_eq!(engines[0].arrivals().len(), reached, "requests reached it\n{}", d.logs());
}

/// Guards against orders and reports that are sent to an engine after the answer to one said that it leaves.
#[test]
fn an_order_is_not_sent_to_an_engine_whose_report_says_leaving() {
    let d = Deployment::start(3, 1, &routes::document(1, 5000).to_string());
    let engines = start_upstreams(&d, "engines", Some(MODEL), 2);
    submit(&d, "first", 12);
    engines[0].behaviour.says_leaving.store(true, Ordering::Relaxed);
    let reached = engines[0].arrivals().len();
    for version in 2..=4 {
        let body = serde_json::json!({"model": MODEL, "version": version}).to_string();
        let named = d.control_addresses().into_iter().any(|store| {
            let path = "/v1/version-put";
            client::call(&store, "POST", path, &[], &body).is_some_and(|a| a.status == 200)
        });
        assert!(named, "the version is accepted\n{}", d.logs());
        d.wait_until("the other engine loads", || engines[1].version(MODEL) == version);
        thread::sleep(Duration::from_millis(700));
    }
    assert!(engines[0].orders().is_empty(), "orders reached it\n{}", d.logs());
    let more = engines[0].arrivals().len() - reached;
    assert!(more <= 1, "{more} reports and orders reached it\n{}", d.logs());
}

/// Requests a stream, from the beginning or after what an earlier attempt brought. Returns the status and the ID of the last
/// event.
fn read_stream(address: &str, id: &str, resume: Option<(&str, u64)>) -> (u16, u64) {
    const TIMEOUT: Duration = Duration::from_secs(5);
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let resumed = resume.map_or(String::new(), |(first, after)| {
        format!("Resumes: {first}\r\nLast-Event-Id: {after}\r\n")
    });
    let head = format!(
        "POST /say/{id} HTTP/1.1\r\nHost: test.example\r\nConnection: close\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: \
         4000\r\nX-Model: {MODEL}\r\n{resumed}Content-Length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    let mut bytes = Vec::new();
    let mut buf = [0; 4096];
    // A broken stream ends with an error; what came before it counts.
    while let Ok(n @ 1..) = stream.read(&mut buf) {
        bytes.extend_from_slice(&buf[..n]);
    }
    let text = String::from_utf8_lossy(&bytes);
    let status = text.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    (status, ids.filter_map(|id| id.parse().ok()).next_back().unwrap_or(0))
}

/// Guards against a stream that is taken up again at the engine whose response said that it leaves.
#[rstest]
#[case::with_stores(true)]
#[case::without_stores(false)]
fn a_resumed_stream_after_a_response_that_says_leaving_goes_elsewhere(
    #[case] stores_reachable: bool,
) {
    const BREAK_AFTER: u64 = 4;
    let d = Deployment::start(3, 1, &routes::document(1, 5000).to_string());
    let engines = start_upstreams(&d, "engines", Some(MODEL), 2);
    let sent = Cell::new(0);
    d.wait_until("the gateway knows the engines", || {
        read_stream(&d.gateway_address(0), &format!("warm-{}", sent.replace(sent.get() + 1)), None);
        engines.iter().all(|e| e.total_runs() > 0)
    });
    if !stores_reachable {
        signal_stores(&d, Signal::SIGSTOP);
    }
    engines[0].behaviour.says_leaving.store(true, Ordering::Relaxed);
    engines[0].behaviour.break_after.store(BREAK_AFTER, Ordering::Relaxed);
    // The stream begins at the engine that leaves.
    engines[1].behaviour.refuses.store(true, Ordering::Relaxed);
    let first = "begun";
    let (status, last) = read_stream(&d.gateway_address(0), first, None);
    assert_eq!((status, last), (200, BREAK_AFTER), "{}", d.logs());
    engines[1].behaviour.refuses.store(false, Ordering::Relaxed);
    let reached = engines[0].arrivals().len();
    for n in 0..10 {
        let id = format!("resumed-{n}");
        let part = read_stream(&d.gateway_address(0), &id, Some((first, last)));
        assert_eq!(part, (200, EVENTS), "{}", d.logs());
    }
    assert_eq!(engines[0].arrivals().len(), reached, "requests reached it\n{}", d.logs());
}
