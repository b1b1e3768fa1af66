//! Requests that arrive while a gateway stops.

mod support;

use std::{
    fs,
    io::{Read, Write},
    net::TcpStream,
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use rstest::rstest;
use support::{deployment::Deployment, routes::document, upstream::Upstream};

/// Time after the signal at which a request begins; new connections are accepted for 3 s.
const BEGUN_AFTER: Duration = Duration::from_millis(2700);

/// Part of a request that arrives late; the one before it arrives while new connections are still accepted.
#[derive(Clone, Copy, Debug)]
enum LatePart {
    Head,
    Body,
}

/// Begins a request shortly before new connections are refused and sends the rest of it `after` the signal. Returns the response
/// and how long it took.
fn send_late(d: &Deployment, part: LatePart, after: Duration, time_ms: u32) -> (String, Duration) {
    let signalled = Instant::now();
    d.gateways[0].as_ref().unwrap().signal(Signal::SIGTERM);
    thread::sleep(BEGUN_AFTER.saturating_sub(signalled.elapsed()));
    let mut stream = TcpStream::connect(d.gateway_address(0)).unwrap();
    let request = format!(
        "POST /confirm/a HTTP/1.1\r\nHost: test.example\r\nX-Attempt-Id: late\r\n\
         X-Deadline-Ms: {time_ms}\r\nContent-Length: 4\r\n\r\nbody"
    );
    let late = match part {
        LatePart::Head => request.len() / 2,
        LatePart::Body => 2,
    };
    let (early, late) = request.split_at(request.len() - late);
    stream.write_all(early.as_bytes()).unwrap();
    thread::sleep(after.saturating_sub(signalled.elapsed()));
    let sent = Instant::now();
    let mut response = String::new();
    // A connection that is closed without an answer is an empty response.
    let _closed =
        stream.write_all(late.as_bytes()).and_then(|()| stream.read_to_string(&mut response));
    (response, sent.elapsed())
}

/// Guards against a request that is passed on although the gateway may stop before its time is over, and is then cut off with
/// an answer that says it may have run, or with none.
#[rstest]
fn a_late_request_that_may_outlast_the_stop_is_refused_as_not_run(
    #[values(LatePart::Head, LatePart::Body)] part: LatePart,
    #[values(3300, 5500, 6700)] after_ms: u64,
) {
    let (mut d, upstream) = start(20_000);
    upstream.behaviour.silent.store(true, Ordering::Relaxed);
    let (response, took) = send_late(&d, part, Duration::from_millis(after_ms), 20_000);
    assert!(upstream.runs("late").is_empty(), "it was passed on; the answer: {response:?}");
    assert!(response.starts_with("HTTP/1.1 503"), "{response:?}");
    assert!(took < Duration::from_millis(250), "refused after {took:?}");
    assert_eq!(d.gateways[0].as_mut().unwrap().wait(Duration::from_secs(8)), Some(0));
}

/// Guards against a stop that refuses late requests although it has the time that they may take.
#[rstest]
fn a_late_request_that_ends_before_the_stop_is_served(
    #[values(LatePart::Head, LatePart::Body)] part: LatePart,
) {
    let (d, upstream) = start(20_000);
    let (response, _) = send_late(&d, part, Duration::from_millis(3500), 2500);
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    assert_eq!(upstream.runs("late").len(), 1);
}

/// Guards against a second SIGHUP that ends a process, because its listener is replaced only after the settings were read.
#[test]
fn hangups_in_quick_succession_do_not_end_a_gateway() {
    const CHANGES: usize = 600;
    let (d, _upstream) = start(2000);
    let gateway = d.gateways[0].as_ref().unwrap();
    let path = d.settings_file("gateway-0");
    let settings = fs::read_to_string(&path).unwrap();
    for i in 0..CHANGES {
        fs::write(&path, format!("{settings}\n// change {i}")).unwrap();
        for _ in 0..3 {
            gateway.signal(Signal::SIGHUP);
            thread::sleep(Duration::from_micros(70 * (i as u64 % 4)));
        }
        thread::sleep(Duration::from_millis(4));
        assert_eq!(gateway.exit_code(), None, "it ended at change {i}");
    }
}

/// A gateway with one plain service that has answered a request.
fn start(timeout_ms: u64) -> (Deployment, Upstream) {
    let d = Deployment::start(3, 1, &document(1, timeout_ms).to_string());
    let upstream = Upstream::start("s-0", "sheets", None, d.control_addresses());
    d.wait_until("the upstream is known", || {
        d.send(0, "GET", "/lookup/a", "first", "").is_some_and(|a| a.status == 200)
    });
    (d, upstream)
}
