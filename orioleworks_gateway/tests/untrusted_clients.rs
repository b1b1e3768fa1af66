//! Memory and descriptors of gateways and stores under clients that send much, stop, or do not read.

mod support;

use std::{
    fs,
    io::{Read, Write},
    net::TcpStream,
    sync::{Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use support::{
    client,
    deployment::{Deployment, Process},
    routes::{self, MODEL},
    upstream::{Upstream, padded_item_text},
};

/// Largest legal body, in bytes.
const LARGEST_BODY: usize = 33_554_432;
/// Memory of the smallest gateway, which is also the default of its setting, in megabytes.
const GATEWAY_MB: usize = 88;
/// Memory of the smallest store, which is also the default of its setting, in megabytes.
const STORE_MB: usize = 140;
/// Bound of open descriptors: the crowds here have 40 connections at most, and a process has less than 100 of its own.
const DESCRIPTORS: usize = 160;
/// Clients that send large bodies.
const CROWD: usize = 12;
/// Connections without a request, more than the bound of descriptors.
const SILENT_CROWD: usize = 200;
/// Gateways that relay requests, each with a body of the largest size that is relayed.
const RELAY_CROWD: usize = 30;
/// Largest body that is relayed, in bytes.
const RELAYED_BODY: usize = 4 * 1024 * 1024;
/// Clients that send little or read nothing.
const LARGE_CROWD: usize = 40;
/// Bytes that one client sends in chunks of one byte, which are six times as many on the wire.
const SINGLE_BYTES: usize = 512 * 1024;
/// Body over any limit, in bytes.
const FAR_TOO_LARGE: usize = 4 * LARGEST_BODY;
/// Time for which the connections of a crowd stay open once everything is sent.
const STAY_OPEN: Duration = Duration::from_secs(2);

/// Crowds take several hundred megabytes of socket buffers, so that one test runs at a time.
fn alone() -> MutexGuard<'static, ()> {
    static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
    ONE_AT_A_TIME.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// What one client sends.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Declared,
    Chunked,
}

/// Sends a head and a body that stops one byte before its end; stops early if the server closes the connection.
fn send_most(address: &str, head: &str, framing: Framing, len: usize) -> Option<TcpStream> {
    const PIECE: usize = 64 * 1024;
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_write_timeout(Some(Duration::from_secs(3))).ok()?;
    let length = match framing {
        Framing::Declared => format!("Content-Length: {len}"),
        Framing::Chunked => "Transfer-Encoding: chunked".to_owned(),
    };
    stream.write_all(format!("{head}Host: test.example\r\n{length}\r\n\r\n").as_bytes()).ok()?;
    let piece = vec![b'x'; PIECE];
    let mut left = len - 1;
    while left > 0 {
        let now = left.min(PIECE);
        let sent = match framing {
            Framing::Declared => stream.write_all(&piece[..now]),
            Framing::Chunked => write!(stream, "{now:x}\r\n")
                .and_then(|()| stream.write_all(&piece[..now]))
                .and_then(|()| stream.write_all(b"\r\n")),
        };
        if sent.is_err() {
            break;
        }
        left -= now;
    }
    Some(stream)
}

/// Runs clients at the same time and keeps their connections open for a while. Returns the largest number of open
/// descriptors of the process meanwhile.
fn crowd(process: &Process, n: usize, client: impl Fn(usize) -> Option<TcpStream> + Sync) -> usize {
    let mut descriptors = 0;
    let open: Vec<Option<TcpStream>> = thread::scope(|scope| {
        let clients: Vec<_> = (0..n)
            .map(|i| {
                scope.spawn({
                    let client = &client;
                    move || client(i)
                })
            })
            .collect();
        while clients.iter().any(|client| !client.is_finished()) {
            descriptors = descriptors.max(open_descriptors(process));
            thread::sleep(Duration::from_millis(20));
        }
        clients.into_iter().map(|client| client.join().unwrap()).collect()
    });
    let until = Instant::now() + STAY_OPEN;
    while Instant::now() < until {
        descriptors = descriptors.max(open_descriptors(process));
        thread::sleep(Duration::from_millis(20));
    }
    drop(open);
    descriptors
}

/// Open descriptors of a process; 0 if it has exited.
fn open_descriptors(process: &Process) -> usize {
    fs::read_dir(format!("/proc/{}/fd", process.id())).map_or(0, Iterator::count)
}

fn check(process: &Process, memory_mb: usize, descriptors: usize) {
    assert_eq!(process.exit_code(), None, "the process ended\n{}", process.log());
    let peak = process.peak_memory();
    println!("measured: peak_mb={} descriptors={descriptors}", peak >> 20);
    assert!(peak <= memory_mb << 20, "{} MB of {memory_mb} MB", peak >> 20);
    assert!(descriptors <= DESCRIPTORS, "{descriptors} descriptors of {DESCRIPTORS}");
}

/// An ordinary request is answered, at the latest once the crowd has gone.
fn check_ordinary(d: &Deployment, id: &str) {
    d.wait_until("an ordinary request is answered", || {
        d.send(0, "POST", &format!("/lookup/{id}"), id, "small").is_some_and(|r| r.status == 200)
    });
}

struct Setup {
    d: Deployment,
    sheets: Upstream,
}

fn setup(document: &serde_json::Value) -> Setup {
    /// Leaves 43 connections to the gateway, fewer than the largest crowd has.
    const LIMITS: &str = r#"{ "file_descriptors": 364 }"#;
    let mut d = Deployment::start(3, 1, &document.to_string());
    d.restart_gateway_with(0, LIMITS);
    let sheets = Upstream::start("s-0", "sheets", None, d.control_addresses());
    Setup { d, sheets }
}

fn check_gateway(crowd_size: usize, client: impl Fn(&str, usize) -> Option<TcpStream> + Sync) {
    let _alone = alone();
    let setup = setup(&routes::document(1, 5000));
    check_ordinary(&setup.d, "before");
    let gateway = setup.d.gateways[0].as_ref().unwrap();
    let address = setup.d.gateway_address(0);
    let descriptors = crowd(gateway, crowd_size, |i| client(&address, i));
    check_ordinary(&setup.d, "after");
    check(gateway, GATEWAY_MB, descriptors);
}

fn request_head(path: &str, i: usize) -> String {
    format!("POST {path} HTTP/1.1\r\nX-Attempt-Id: crowd-{i}\r\nX-Deadline-Ms: 5000\r\n")
}

/// Guards against a gateway that holds every body that has not ended.
#[test]
fn declared_bodies_that_stop_before_their_end() {
    check_gateway(CROWD, |address, i| {
        send_most(address, &request_head("/lookup/x", i), Framing::Declared, LARGEST_BODY)
    });
}

/// Guards against a bound that holds for declared lengths only.
#[test]
fn chunked_bodies_that_stop_before_their_end() {
    check_gateway(CROWD, |address, i| {
        send_most(address, &request_head("/lookup/x", i), Framing::Chunked, LARGEST_BODY)
    });
}

/// Guards against batch submissions that are held without a bound.
#[test]
fn batches_that_stop_before_their_end() {
    check_gateway(CROWD, |address, i| {
        let head = request_head(&format!("/batch/b{i}"), i);
        send_most(address, &head, Framing::Declared, LARGEST_BODY)
    });
}

/// Sends a complete batch of nearly the largest legal size.
fn send_batch(address: &str, i: usize) -> Option<TcpStream> {
    let items: Vec<String> = (0..16).map(|n| format!("i{i}-{n}")).collect();
    let mut submission: serde_json::Value =
        serde_json::from_str(&routes::submission(&items, 1, |_| "g1")).unwrap();
    for item in submission["items"].as_array_mut().unwrap() {
        item["body"] = "AAAA".repeat(500_000).into();
    }
    let body = submission.to_string();
    assert!((31_000_000..=LARGEST_BODY).contains(&body.len()));
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_write_timeout(Some(Duration::from_secs(3))).ok()?;
    let head = request_head(&format!("/batch/whole-{i}"), i);
    let length = body.len();
    let head = format!("{head}Host: test.example\r\nContent-Length: {length}\r\n\r\n");
    drop(stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body.as_bytes())));
    Some(stream)
}

/// Guards against the copies of a complete batch that are made while it is decoded.
#[test]
fn whole_batches_at_once() {
    check_gateway(CROWD, send_batch);
}

/// Guards against a batch within the limits for which there is never memory, and against copies of it beyond the limit.
#[test]
fn one_largest_batch_is_decided() {
    let _alone = alone();
    let setup = setup(&routes::document(1, 5000));
    check_ordinary(&setup.d, "before");
    let gateway = setup.d.gateways[0].as_ref().unwrap();
    let mut stream = send_batch(&setup.d.gateway_address(0), 0).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let mut status = [0; 12];
    stream.read_exact(&mut status).unwrap();
    // A command of the log holds 4 MB at most.
    assert_eq!(String::from_utf8_lossy(&status), "HTTP/1.1 413", "{}", gateway.log());
    check(gateway, GATEWAY_MB, open_descriptors(gateway));
}

/// Guards against several copies of complete bodies.
#[test]
fn whole_bodies_at_once() {
    check_gateway(CROWD, |address, i| {
        let head = request_head("/lookup/x", i);
        let mut stream = send_most(address, &head, Framing::Declared, LARGEST_BODY)?;
        drop(stream.write_all(b"x"));
        Some(stream)
    });
}

/// Guards against heads and silent connections that are held until nothing else fits.
#[test]
fn heads_without_end_and_silent_connections() {
    check_gateway(LARGE_CROWD, |address, i| {
        let mut stream = TcpStream::connect(address).ok()?;
        if i % 2 == 0 {
            drop(stream.write_all(request_head("/lookup/x", i).as_bytes()));
            // Below the largest legal head, which has no end here.
            drop(write!(stream, "X-Padding: {}\r\n", "x".repeat(15_000)));
        }
        Some(stream)
    });
}

/// Guards against silent connections that take all descriptors.
#[test]
fn silent_connections_beyond_the_limit() {
    check_gateway(SILENT_CROWD, |address, _| TcpStream::connect(address).ok());
}

/// Guards against trailers that are collected without a bound.
#[test]
fn trailers_without_end() {
    check_gateway(LARGE_CROWD, |address, i| {
        let mut stream = TcpStream::connect(address).ok()?;
        stream.set_write_timeout(Some(Duration::from_secs(3))).ok()?;
        let head = request_head("/lookup/x", i);
        let chunk = "Host: test.example\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";
        stream.write_all(format!("{head}{chunk}").as_bytes()).ok()?;
        let trailer = format!("X-Padding: {}\r\n", "x".repeat(4096));
        for _ in 0..1024 {
            if stream.write_all(trailer.as_bytes()).is_err() {
                break;
            }
        }
        Some(stream)
    });
}

/// Guards against relayed bodies without a declared length, which no bound counts.
#[test]
fn relayed_bodies_that_stop_before_their_end() {
    let _alone = alone();
    let setup = setup(&routes::document(1, 5000));
    check_ordinary(&setup.d, "before");
    let gateway = setup.d.gateways[0].as_ref().unwrap();
    let address = setup.d.relay_address(0);
    let incarnation = setup.sheets.born();
    let descriptors = crowd(gateway, RELAY_CROWD, |i| {
        let marks = "Orioleworks-Relay-Upstream: s-0\r\nOrioleworks-Relay-Incarnation:";
        let head = format!("{}{marks} {incarnation}\r\n", request_head("/lookup/x", i));
        send_most(&address, &head, Framing::Chunked, RELAYED_BODY)
    });
    check_ordinary(&setup.d, "after");
    check(gateway, GATEWAY_MB, descriptors);
}

/// Guards against requests that are refused without a key and whose bodies are read or held nevertheless.
#[test]
fn refused_requests_that_keep_sending() {
    let _alone = alone();
    let setup = setup(&routes::document_with_tenants(1, &["key-of-alpha"]));
    let gateway = setup.d.gateways[0].as_ref().unwrap();
    let address = setup.d.gateway_address(0);
    let ordinary = || {
        setup.d.wait_until("an ordinary request is answered", || {
            let headers = [("X-Attempt-Id", "o"), ("Authorization", "Token key-of-alpha")];
            let response = client::call(&address, "POST", "/lookup/o", &headers, "small");
            response.is_some_and(|r| r.status == 200)
        });
    };
    ordinary();
    let descriptors = crowd(gateway, CROWD, |i| {
        send_most(&address, &request_head("/lookup/x", i), Framing::Chunked, 4 * LARGEST_BODY)
    });
    ordinary();
    check(gateway, GATEWAY_MB, descriptors);
}

/// Guards against results that are held for clients that do not read them.
#[test]
fn readers_of_results_that_do_not_read() {
    const PADDING: u64 = 8 * 1024;
    const ITEMS: usize = 9;
    /// Requests on each connection.
    const REQUESTS: usize = 8;
    let _alone = alone();
    let setup = setup(&routes::document(1, 5000));
    let d = &setup.d;
    let engine = Upstream::start("e-0", "engines", Some(MODEL), d.control_addresses());
    engine.behaviour.event_padding.store(PADDING, std::sync::atomic::Ordering::Relaxed);
    let items: Vec<String> = (0..ITEMS).map(|i| format!("i-{i}")).collect();
    let body = routes::submission(&items, 1, |_| "g1");
    d.wait_until("the batch is accepted", || {
        d.send(0, "POST", "/batch/b", "b", &body).is_some_and(|r| r.status == 202)
    });
    let text = padded_item_text("i-0", PADDING);
    d.wait_until("the results are listed", || {
        d.send(0, "GET", "/v1/lots/b?after=0", "r", "")
            .is_some_and(|r| r.status == 200 && r.body.len() > (ITEMS - 1) * text.len())
    });
    let gateway = d.gateways[0].as_ref().unwrap();
    let address = d.gateway_address(0);
    let descriptors = crowd(gateway, LARGE_CROWD, |_| {
        let mut stream = TcpStream::connect(&address).ok()?;
        for _ in 0..REQUESTS {
            let head =
                "GET /v1/lots/b?after=0 HTTP/1.1\r\nHost: test.example\r\nX-Attempt-Id: r\r\n\r\n";
            drop(stream.write_all(head.as_bytes()));
        }
        Some(stream)
    });
    check_ordinary(d, "after");
    check(gateway, GATEWAY_MB, descriptors);
}

/// Guards against a store that holds every document that has not ended.
#[test]
fn documents_that_stop_before_their_end() {
    let _alone = alone();
    let document = routes::document(1, 5000);
    let setup = setup(&document);
    check_ordinary(&setup.d, "before");
    let store = setup.d.stores[0].as_ref().unwrap();
    let address = setup.d.control_address(0);
    let descriptors = crowd(store, CROWD, |i| {
        let framing = if i % 2 == 0 { Framing::Declared } else { Framing::Chunked };
        send_most(&address, "POST /v1/Configuration.Replace HTTP/1.1\r\n", framing, LARGEST_BODY)
    });
    check_ordinary(&setup.d, "after");
    check(store, STORE_MB, descriptors);
}

/// Guards against the copies of a complete document that are made while it is decoded.
#[test]
fn one_largest_document_is_decided() {
    let _alone = alone();
    let mut document = routes::document(2, 5000);
    let setup = setup(&routes::document(1, 5000));
    check_ordinary(&setup.d, "before");
    document["routes"][routes::SCORE]["name"] = "x".repeat(LARGEST_BODY - 8192).into();
    let store = setup.d.stores[0].as_ref().unwrap();
    let path = "/v1/Configuration.Replace";
    let body = document.to_string();
    let response = client::call(&setup.d.control_address(0), "POST", path, &[], &body);
    // A command of the log holds 4 MB at most.
    assert_eq!(response.map(|response| response.status), Some(413), "{}", store.log());
    check_ordinary(&setup.d, "after");
    check(store, STORE_MB, open_descriptors(store));
}

/// Guards against a bound below the largest legal body, and buffers below the largest legal head.
#[test]
fn one_largest_body_is_served() {
    let _alone = alone();
    let setup = setup(&routes::document(1, 5000));
    check_ordinary(&setup.d, "before");
    let gateway = setup.d.gateways[0].as_ref().unwrap();
    // The head has nearly the largest legal size, 16 KB.
    let padding = format!("X-Padding: {}\r\n", "x".repeat(16_000));
    let head = request_head("/lookup/x", 0) + "Connection: close\r\n" + &padding;
    let address = setup.d.gateway_address(0);
    let mut stream = send_most(&address, &head, Framing::Declared, LARGEST_BODY).unwrap();
    stream.write_all(b"x").unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let mut response = Vec::new();
    stream.read_to_end(&mut response).unwrap();
    assert!(response.starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&response));
    check(gateway, GATEWAY_MB, open_descriptors(gateway));
}

/// Sends a chunked body in chunks of one byte; stops early if the server closes the connection.
fn send_single_bytes(address: &str, head: &str, len: usize) -> Option<TcpStream> {
    const CHUNK: &[u8] = b"1\r\nx\r\n";
    const CHUNKS_AT_A_TIME: usize = 1024;
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_write_timeout(Some(Duration::from_secs(3))).ok()?;
    let framing = "Host: test.example\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.write_all(format!("{head}{framing}").as_bytes()).ok()?;
    let chunks = CHUNK.repeat(CHUNKS_AT_A_TIME);
    for _ in 0..len / CHUNKS_AT_A_TIME {
        if stream.write_all(&chunks).is_err() {
            break;
        }
    }
    Some(stream)
}

/// Guards against memory for each chunk of a body instead of for its bytes.
#[test]
fn bodies_in_chunks_of_one_byte_that_stop_before_their_end() {
    check_gateway(CROWD, |address, i| {
        send_single_bytes(address, &request_head("/lookup/x", i), SINGLE_BYTES)
    });
}

/// Guards against memory for each chunk of a batch instead of for its bytes.
#[test]
fn batches_in_chunks_of_one_byte_that_stop_before_their_end() {
    check_gateway(CROWD, |address, i| {
        send_single_bytes(address, &request_head(&format!("/batch/b{i}"), i), SINGLE_BYTES)
    });
}

/// Guards against a bound that ends at the largest legal body: the rest of a larger one is read, held or waited for.
#[test]
fn bodies_far_over_the_limit() {
    check_gateway(CROWD, |address, i| {
        let path = if i % 4 < 2 { "/lookup/x".to_owned() } else { format!("/batch/b{i}") };
        let framing = if i % 2 == 0 { Framing::Declared } else { Framing::Chunked };
        send_most(address, &request_head(&path, i), framing, FAR_TOO_LARGE)
    });
}

/// Guards against a store that reads, holds or waits for the rest of a document that is over the limit, or holds memory for each
/// chunk of one.
#[test]
fn documents_far_over_the_limit_or_in_chunks_of_one_byte() {
    let _alone = alone();
    let setup = setup(&routes::document(1, 5000));
    check_ordinary(&setup.d, "before");
    let store = setup.d.stores[0].as_ref().unwrap();
    let address = setup.d.control_address(0);
    let descriptors = crowd(store, CROWD, |i| {
        let head = "POST /v1/Configuration.Replace HTTP/1.1\r\n";
        match i % 3 {
            0 => send_most(&address, head, Framing::Declared, FAR_TOO_LARGE),
            1 => send_most(&address, head, Framing::Chunked, FAR_TOO_LARGE),
            _ => send_single_bytes(&address, head, SINGLE_BYTES),
        }
    });
    check_ordinary(&setup.d, "after");
    check(store, STORE_MB, descriptors);
}

/// Guards against a port for readiness that holds what clients send to it.
#[test]
fn bodies_sent_to_the_readiness_port() {
    let _alone = alone();
    let setup = setup(&routes::document(1, 5000));
    check_ordinary(&setup.d, "before");
    let gateway = setup.d.gateways[0].as_ref().unwrap();
    let address = setup.d.readiness_address(0);
    let descriptors = crowd(gateway, CROWD, |i| {
        let framing = if i % 2 == 0 { Framing::Declared } else { Framing::Chunked };
        send_most(&address, "POST /v1/readiness HTTP/1.1\r\n", framing, FAR_TOO_LARGE)
    });
    check_ordinary(&setup.d, "after");
    check(gateway, GATEWAY_MB, descriptors);
}
