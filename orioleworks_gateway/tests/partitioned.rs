//! Tests of gateways that are partitioned from all upstreams, while callers, stores and other gateways reach them.

mod support;

use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use rstest::rstest;
use support::{
    client::{self, Response},
    deployment::Deployment,
    paths::Cut,
    routes::{self, MODEL},
    upstream::{EVENT_GAP, EVENTS, Endless, Upstream},
};

/// Time after the cut from which callers must be served.
const CONTACT_WINDOW: Duration = Duration::from_secs(3);
/// Time for which callers are observed after that.
const OBSERVED_TIME: Duration = Duration::from_secs(5);
/// Longer than gateways keep idle connections.
const IDLE_TIME: Duration = Duration::from_secs(6);
/// Interval between two requests of one caller.
const CALL_INTERVAL: Duration = Duration::from_millis(100);
const GATEWAYS: usize = 3;

/// A caller's request and its response.
struct Call {
    gateway: usize,
    kind: &'static str,
    id: String,
    at: Instant,
    took: Duration,
    response: Option<Response>,
}

impl Call {
    fn is_served(&self) -> bool {
        self.response.as_ref().is_some_and(|response| {
            let complete = self.kind != "say"
                || response.body.contains(&format!("{} event {EVENTS}", self.id));
            response.status == 200 && complete
        })
    }

    fn is_quarantined(&self) -> bool {
        self.response.as_ref().is_some_and(|response| response.body.contains("quarantined"))
    }
}

fn start_upstreams(d: &Deployment) -> Vec<Upstream> {
    let start = |(id, service, model): (&str, &str, Option<&str>)| {
        Upstream::start(id, service, model, d.control_addresses())
    };
    let engines = [("e-0", "engines", Some(MODEL)), ("e-1", "engines", Some(MODEL))];
    let sheets = [("s-0", "sheets", None), ("s-1", "sheets", None), ("s-2", "sheets", None)];
    sheets.into_iter().chain(engines).map(start).collect()
}

fn send(d: &Deployment, gateway: usize, kind: &'static str, id: &str) -> Call {
    send_to(&d.gateway_address(gateway), gateway, kind, id)
}

fn send_to(address: &str, gateway: usize, kind: &'static str, id: &str) -> Call {
    let method = if kind == "confirm" { "POST" } else { "GET" };
    let mut headers = vec![("X-Attempt-Id", id), ("X-Deadline-Ms", "2000")];
    if kind == "say" {
        headers.push(("X-Model", MODEL));
    }
    let at = Instant::now();
    let path = format!("/{kind}/{id}");
    let response = client::call(address, method, &path, &headers, "");
    Call { gateway, kind, id: id.into(), at, took: at.elapsed(), response }
}

/// Sends requests of all kinds through all gateways until each is served and knows the others.
fn warm_up(d: &Deployment) {
    for gateway in 0..GATEWAYS {
        for kind in ["lookup", "confirm", "say"] {
            let id = format!("warm-{gateway}-{kind}");
            d.wait_until("a request is served", || send(d, gateway, kind, &id).is_served());
        }
    }
    // A gateway learns of the others with the next replies of its store.
    thread::sleep(Duration::from_millis(1500));
}

/// Runs `disturb` while callers send requests of all kinds through all gateways.
fn under_load(d: &Deployment, disturb: impl FnOnce()) -> Vec<Call> {
    let addresses: Vec<String> = (0..GATEWAYS).map(|i| d.gateway_address(i)).collect();
    let (stop, calls) = (AtomicBool::new(false), Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for (gateway, address) in addresses.iter().enumerate() {
            for kind in ["lookup", "confirm", "say"] {
                let (stop, calls) = (&stop, &calls);
                scope.spawn(move || {
                    for n in 0.. {
                        if stop.load(Ordering::Relaxed) {
                            return;
                        }
                        let id = format!("{kind}-{gateway}-{n}");
                        let call = send_to(address, gateway, kind, &id);
                        calls.lock().unwrap().push(call);
                        thread::sleep(CALL_INTERVAL);
                    }
                });
            }
        }
        disturb();
        stop.store(true, Ordering::Relaxed);
    });
    calls.into_inner().unwrap()
}

/// Served calls and all calls.
fn served<'a>(calls: impl Iterator<Item = &'a Call>) -> (usize, usize) {
    calls.fold((0, 0), |(served, all), call| (served + usize::from(call.is_served()), all + 1))
}

/// Checks that what may run once ran at most once, and not at all if it was refused as not run.
fn check_runs(calls: &[Call], upstreams: &[Upstream]) {
    for call in calls.iter().filter(|call| call.kind == "confirm") {
        let runs: usize = upstreams.iter().map(|up| up.runs(&call.id).len()).sum();
        assert!(runs <= 1, "{} ran {runs} times", call.id);
        let refused = call.response.as_ref().is_some_and(|response| response.status == 503);
        assert!(!refused || runs == 0, "{} was refused as not run, and ran", call.id);
    }
}

/// Guards against callers that are served only at the gateways that still reach the upstreams, and against a partition that
/// makes other gateways refuse innocent requests.
#[rstest]
#[case::silent_one(Cut::Silent, 1)]
#[case::silent_most(Cut::Silent, 2)]
#[case::reset(Cut::Reset, 1)]
#[case::refuse(Cut::Refuse, 1)]
#[case::refuse_most(Cut::Refuse, 2)]
fn callers_of_a_gateway_that_is_partitioned_from_all_upstreams_are_served(
    #[case] cut: Cut,
    #[case] gateways_cut: usize,
) {
    let d = Deployment::start_with_paths(3, GATEWAYS, &routes::document(1, 800).to_string());
    let upstreams = start_upstreams(&d);
    warm_up(&d);
    let mut from = Instant::now();
    let calls = under_load(&d, || {
        thread::sleep(Duration::from_secs(1));
        d.paths[..gateways_cut].iter().for_each(|paths| paths.set_cut(Some(cut)));
        thread::sleep(CONTACT_WINDOW);
        from = Instant::now();
        thread::sleep(OBSERVED_TIME);
        d.paths.iter().for_each(|paths| paths.set_cut(None));
    });
    let until = from + OBSERVED_TIME - Duration::from_secs(1);
    let observed = || calls.iter().filter(|call| (from..until).contains(&call.at));
    let (ok_cut, all_cut) = served(observed().filter(|call| call.gateway < gateways_cut));
    let (ok_other, all_other) = served(observed().filter(|call| call.gateway >= gateways_cut));
    let slowest = observed().filter(|c| c.gateway < gateways_cut).map(|c| c.took).max();
    println!("served {ok_cut} of {all_cut}, {ok_other} of {all_other}; slowest {slowest:?}");
    assert!(all_cut >= 20 && all_other >= 20, "{all_cut} and {all_other} calls");
    assert!(ok_other * 20 >= all_other * 19, "{ok_other} of {all_other}\n{}", d.logs());
    assert!(ok_cut * 10 >= all_cut * 9, "{ok_cut} of {all_cut}\n{}", d.logs());
    let quarantined = calls.iter().filter(|call| call.is_quarantined()).count();
    assert_eq!(quarantined, 0, "innocent requests were quarantined\n{}", d.logs());
    check_runs(&calls, &upstreams);
}

/// Guards against a gateway with so few requests that each is the first one after its partition, of those that may run once
/// too: the request is on no connection yet, so that it certainly has not run.
#[rstest]
#[case::silent(Cut::Silent)]
#[case::refuse(Cut::Refuse)]
fn the_first_request_after_a_partition_is_served_in_time(#[case] cut: Cut) {
    const IN_TIME: Duration = Duration::from_millis(300);
    /// Longer than a connection without requests is kept.
    const IDLE_TIME: Duration = Duration::from_secs(5);
    let d = Deployment::start_with_paths(3, GATEWAYS, &routes::document(1, 800).to_string());
    let upstreams = start_upstreams(&d);
    warm_up(&d);
    thread::sleep(IDLE_TIME);
    d.paths[0].set_cut(Some(cut));
    // Time until the listeners are closed or their queues are full.
    thread::sleep(Duration::from_millis(500));
    let calls = [send(&d, 0, "confirm", "first")];
    assert!(calls[0].is_served(), "{:?}\n{}", calls[0].response, d.logs());
    assert!(calls[0].took < IN_TIME, "took {:?}\n{}", calls[0].took, d.logs());
    check_runs(&calls, &upstreams);
}

/// Guards against requests that are held to their deadline, or not refused as not run, when no gateway reaches an upstream.
#[test]
fn a_request_that_no_gateway_can_send_is_refused_at_once() {
    const AT_ONCE: Duration = Duration::from_millis(400);
    let d = Deployment::start_with_paths(3, GATEWAYS, &routes::document(1, 800).to_string());
    let upstreams = start_upstreams(&d);
    warm_up(&d);
    d.paths.iter().for_each(|paths| paths.set_cut(Some(Cut::Refuse)));
    thread::sleep(IDLE_TIME);
    let calls: Vec<Call> = (0..20)
        .map(|n| {
            thread::sleep(CALL_INTERVAL);
            send(&d, n % GATEWAYS, "confirm", &format!("none-{n}"))
        })
        .collect();
    for call in &calls {
        let response = call.response.as_ref().unwrap();
        let proper = response.status == 503 && response.head.contains("retry-after");
        assert!(proper && call.took < AT_ONCE, "{response:?} {:?}\n{}", call.took, d.logs());
    }
    check_runs(&calls, &upstreams);
    d.paths.iter().for_each(|paths| paths.set_cut(None));
    d.wait_until("all gateways serve again", || {
        (0..GATEWAYS).all(|gateway| send(&d, gateway, "lookup", "again").is_served())
    });
}

/// Cuts the path of the first gateway, and waits until it knows.
fn cut_first(d: &Deployment) {
    d.paths[0].set_cut(Some(Cut::Refuse));
    // Open connections live on, and show nothing to a gateway that needs no other ones.
    thread::sleep(IDLE_TIME);
    d.wait_until("the gateway knows that its path is lost", || {
        send(d, 0, "lookup", "cut");
        d.gateways[0].as_ref().unwrap().log().contains("event=path_lost")
    });
}

/// Guards against a request that crashes upstreams and is not recognized, because other gateways send it.
#[test]
fn a_request_that_crashes_upstreams_is_quarantined_at_a_partitioned_gateway() {
    let d = Deployment::start_with_paths(3, GATEWAYS, &routes::document(1, 800).to_string());
    let upstreams = start_upstreams(&d);
    warm_up(&d);
    cut_first(&d);
    let left = Arc::new(AtomicU64::new(100));
    for up in &upstreams {
        *up.behaviour.crash_path.lock().unwrap() = "poison".into();
        *up.behaviour.crashes_left.lock().unwrap() = left.clone();
    }
    let path = "/lookup/poison";
    let mut quarantined = 0;
    for n in 0..30 {
        let id = format!("repeat-{n}");
        let headers = [("X-Attempt-Id", id.as_str()), ("X-Deadline-Ms", "800")];
        let response = client::call(&d.gateway_address(0), "GET", path, &headers, "");
        quarantined += usize::from(response.is_some_and(|r| r.body.contains("quarantined")));
        thread::sleep(CALL_INTERVAL);
    }
    let crashes: usize = upstreams.iter().map(|up| up.crashes().len()).sum();
    println!("{crashes} crashes, {quarantined} refusals");
    assert!(crashes <= 2 && quarantined > 0, "{crashes}, {quarantined}\n{}", d.logs());
}

/// Guards against an upstream that goes on after its caller has left, because another gateway sent the request.
#[test]
fn a_caller_that_leaves_a_partitioned_gateway_stops_the_upstream() {
    let d = Deployment::start_with_paths(3, GATEWAYS, &routes::document(1, 5000).to_string());
    let upstreams = start_upstreams(&d);
    warm_up(&d);
    cut_first(&d);
    for up in &upstreams {
        *up.behaviour.endless.lock().unwrap() = Some(Endless::Events);
    }
    let running = || -> u64 {
        let running = |up: &Upstream| up.behaviour.endless_connections.load(Ordering::Relaxed);
        upstreams.iter().map(running).sum()
    };
    let mut caller = TcpStream::connect(d.gateway_address(0)).unwrap();
    let head = format!("X-Attempt-Id: leaves\r\nX-Deadline-Ms: 5000\r\nX-Model: {MODEL}\r\n");
    write!(caller, "GET /say/leaves HTTP/1.1\r\nHost: test.example\r\n{head}\r\n").unwrap();
    let mut part = [0; 1024];
    assert!(caller.read(&mut part).unwrap() > 0, "the stream begins");
    assert_eq!(running(), 1);
    drop(caller);
    let left = Instant::now();
    d.wait_until("the upstream is stopped", || running() == 0);
    assert!(left.elapsed() < Duration::from_secs(2), "took {:?}", left.elapsed());
}

/// Guards against a request that runs twice, or is said not to have run, when the gateway that sends it ends; and against
/// evidence that its upstream crashed.
#[test]
fn a_request_may_have_run_when_the_gateway_that_sends_it_ends() {
    let mut d = Deployment::start_with_paths(3, GATEWAYS, &routes::document(1, 3000).to_string());
    let upstreams = start_upstreams(&d);
    warm_up(&d);
    cut_first(&d);
    for up in &upstreams {
        up.behaviour.delay_ms.store(1000, Ordering::Relaxed);
    }
    let address = d.gateway_address(0);
    let caller = thread::spawn(move || send_to(&address, 0, "confirm", "lost"));
    d.wait_until("the request runs", || upstreams.iter().any(|up| !up.runs("lost").is_empty()));
    d.gateways[1] = None;
    d.gateways[2] = None;
    let call = caller.join().unwrap();
    let status = call.response.as_ref().map(|response| response.status);
    assert_eq!(status, Some(502), "{:?}\n{}", call.response, d.logs());
    check_runs(&[call], &upstreams);
    let log = d.gateways[0].as_ref().unwrap().log();
    assert!(!log.contains("event=crash_suspected"), "{log}");
}

/// Guards against a stream that waits in the gateway that passes it on until it is complete.
#[test]
fn a_stream_through_another_gateway_is_passed_on_as_it_arrives() {
    let d = Deployment::start_with_paths(3, GATEWAYS, &routes::document(1, 5000).to_string());
    let _upstreams = start_upstreams(&d);
    warm_up(&d);
    cut_first(&d);
    let mut caller = TcpStream::connect(d.gateway_address(0)).unwrap();
    let head = format!("X-Attempt-Id: parts\r\nX-Deadline-Ms: 5000\r\nX-Model: {MODEL}\r\n");
    write!(caller, "GET /say/parts HTTP/1.1\r\nHost: test.example\r\n{head}\r\n").unwrap();
    let (mut text, mut part, mut first) = (String::new(), [0; 4096], None);
    while !text.contains(&format!("event {EVENTS}")) {
        let n = caller.read(&mut part).unwrap();
        assert!(n > 0, "{text}\n{}", d.logs());
        text += &String::from_utf8_lossy(&part[..n]);
        if text.contains("event 1\n") {
            first.get_or_insert_with(Instant::now);
        }
    }
    let span = first.unwrap().elapsed();
    let generated = EVENT_GAP * u32::try_from(EVENTS - 1).unwrap();
    assert!(span > generated / 2, "{EVENTS} events within {span:?}");
}

/// Guards against a stream that breaks off behind another gateway, and then looks complete or ends with an error.
#[test]
fn a_stream_that_breaks_off_behind_another_gateway_does_not_look_complete() {
    let d = Deployment::start_with_paths(3, GATEWAYS, &routes::document(1, 5000).to_string());
    let upstreams = start_upstreams(&d);
    warm_up(&d);
    cut_first(&d);
    for up in &upstreams {
        up.behaviour.break_after.store(4, Ordering::Relaxed);
    }
    let headers = [("X-Attempt-Id", "broken"), ("X-Deadline-Ms", "5000"), ("X-Model", MODEL)];
    let call = client::call(&d.gateway_address(0), "GET", "/say/broken", &headers, "");
    let broken = call.expect("a response");
    assert_eq!(broken.status, 200, "{broken:?}\n{}", d.logs());
    assert!(broken.body.contains("broken event 4\n"), "{broken:?}");
    assert!(!broken.body.contains("event 5") && !broken.body.contains("HTTP/"), "{broken:?}");
    assert!(!broken.body.ends_with("\r\n0\r\n\r\n"), "it looks complete: {broken:?}");
}

/// Guards against a service that is down everywhere and sends its load round the gateways, and against another service that
/// suffers from that.
#[test]
fn a_service_that_is_down_everywhere_is_not_sent_round_the_gateways() {
    const DOWN_TIME: Duration = Duration::from_secs(5);
    let d = Deployment::start(3, GATEWAYS, &routes::document(1, 800).to_string());
    let upstreams = start_upstreams(&d);
    warm_up(&d);
    let calls = under_load(&d, || {
        let until = Instant::now() + DOWN_TIME;
        while Instant::now() < until {
            upstreams.iter().filter(|up| up.id.starts_with("s-")).for_each(Upstream::crash);
            thread::sleep(Duration::from_millis(20));
        }
    });
    let of_service = calls.iter().filter(|call| call.kind != "say").count();
    let relayed: f64 = (0..GATEWAYS).map(|gateway| relayed(&d, gateway)).sum();
    let (ok, all) = served(calls.iter().filter(|call| call.kind == "say"));
    println!("{relayed} of {of_service} sent to other gateways; streams {ok} of {all}");
    assert!(of_service >= 100, "{of_service} calls");
    assert!(relayed * 4.0 <= of_service as f64, "{relayed} of {of_service}\n{}", d.logs());
    assert!(ok * 20 >= all * 19, "{ok} of {all} streams\n{}", d.logs());
}

/// Requests that a gateway has asked others to send.
fn relayed(d: &Deployment, gateway: usize) -> f64 {
    let response = client::call(&d.readiness_address(gateway), "GET", "/metrics", &[], "").unwrap();
    let lines = response.body.lines().filter(|l| l.starts_with("orioleworks_relayed_total"));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}
