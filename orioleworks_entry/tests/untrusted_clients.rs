//! Memory and descriptors of an entry under clients that send much and stop.

mod common;

use std::{
    fs,
    io::{self, Read, Write},
    net::{TcpListener, TcpStream},
    thread,
    time::Duration,
};

use common::{Process, TestEnv, UpstreamMode, block_on, profile};
use compio::{runtime, time};
use rstest::rstest;
use serde_json::json;

/// Largest body that the settings allow, in bytes.
const LARGEST_BODY: usize = 4 * 1024 * 1024;
/// Default of the memory limit of an entry, in megabytes.
const ENTRY_MB: usize = 256;
/// Clients that send large bodies: 400 MB in all.
const CROWD: usize = 100;
/// Memory limit under clients whose heads do not end, in megabytes.
const SMALL_ENTRY_MB: usize = 64;
/// Clients whose heads do not end, and what each sends: 48 MB in all.
const HEADS: usize = 800;
const HEAD_BYTES: usize = 60 * 1024;
/// Callers whose responses do not end, and what each response holds: 250 MB in all.
const CALLERS: usize = 64;
const RESPONSE_BYTES: usize = 4 * 1024 * 1024 - 1024;
/// Bound of open descriptors beside the connections of the crowd and of its requests to upstreams.
const OWN_DESCRIPTORS: usize = 60;
/// Time for which the connections of the crowd stay open once everything is sent.
const STAY_OPEN: Duration = Duration::from_secs(2);

/// Sends all of a body but its last byte; stops early if the server closes the connection.
fn send_most(address: &str, chunked: bool) -> Option<TcpStream> {
    let piece = [b'x'; 64 * 1024];
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_write_timeout(Some(Duration::from_secs(3))).ok()?;
    let framing = match chunked {
        true => "Transfer-Encoding: chunked".to_owned(),
        false => format!("Content-Length: {LARGEST_BODY}"),
    };
    let head = format!("POST /v1/call/lookup HTTP/1.1\r\nHost: entry\r\n{framing}\r\n\r\n");
    stream.write_all(head.as_bytes()).ok()?;
    let mut left = LARGEST_BODY - 1;
    while left > 0 {
        let now = left.min(piece.len());
        let size = format!("{now:x}\r\n");
        let (before, after): (&[u8], &[u8]) =
            if chunked { (size.as_bytes(), b"\r\n") } else { (b"", b"") };
        let parts = [before, &piece[..now], after];
        if parts.into_iter().any(|part| stream.write_all(part).is_err()) {
            break;
        }
        left -= now;
    }
    Some(stream)
}

/// Sends header lines without an end of the head; stops early if the server closes the connection.
fn send_endless_head(address: &str) -> Option<TcpStream> {
    let line = format!("X-Line: {}\r\n", "x".repeat(1000));
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_write_timeout(Some(Duration::from_secs(3))).ok()?;
    stream.write_all(b"POST /v1/call/lookup HTTP/1.1\r\nHost: entry\r\n").ok()?;
    for _ in 0..HEAD_BYTES / line.len() {
        if stream.write_all(line.as_bytes()).is_err() {
            break;
        }
    }
    Some(stream)
}

/// Calls a faulty upstream; the connection stays open. Requests with the same body run at few upstreams at a time.
fn call_faulty(address: &str, i: usize) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).ok()?;
    let head = "POST /v1/call/faulty HTTP/1.1\r\nHost: entry\r\nContent-Length: 4\r\n\r\n";
    stream.write_all(format!("{head}{i:04}").as_bytes()).ok()?;
    Some(stream)
}

/// Starts an upstream that sends all of a response but its last byte and keeps the connection open; returns its address.
fn start_faulty_upstream() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let serve = |mut stream: TcpStream| -> io::Result<()> {
        if stream.read(&mut [0; 4096])? == 0 {
            return Ok(());
        }
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {RESPONSE_BYTES}\r\n\r\n");
        stream.write_all(head.as_bytes())?;
        stream.write_all(&vec![b'x'; RESPONSE_BYTES - 1])?;
        while stream.read(&mut [0; 1])? > 0 {}
        Ok(())
    };
    let accept = move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream));
        }
    };
    thread::spawn(accept);
    address
}

/// Runs `n` clients, a hundred at a time, and keeps their connections open for a while; returns the largest number of open
/// descriptors.
fn crowd(pid: u32, n: usize, client: impl Fn(usize) -> Option<TcpStream> + Sync) -> usize {
    const THREADS: usize = 100;
    let descriptors = || fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
    thread::scope(|scope| {
        let client = &client;
        let run = |first| move || (first..n).step_by(THREADS).map(client).collect::<Vec<_>>();
        let clients: Vec<_> = (0..THREADS).map(|first| scope.spawn(run(first))).collect();
        let open: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
        let most = descriptors();
        thread::sleep(STAY_OPEN);
        drop(open);
        most
    })
}

async fn wait_for_answer(env: &TestEnv, url: &str) {
    loop {
        let request = env.client.post(format!("{url}/v1/call/lookup")).unwrap().body("small");
        if request.send().await.is_ok_and(|response| response.status() == 200) {
            return;
        }
        time::sleep(Duration::from_millis(50)).await;
    }
}

/// Checks that an entry with these limits survives a crowd of `n` within its memory, and answers an ordinary request afterwards;
/// `faulty` upstreams do not end their responses.
fn check(
    limits: serde_json::Value,
    memory_mb: usize,
    n: usize,
    faulty: usize,
    client: impl Fn(&str, usize) -> Option<TcpStream> + Send + Sync + 'static,
) {
    let test = async {
        let directory = tempfile::tempdir().unwrap();
        let profiles = vec![profile("lookup", "sheet-app"), profile("faulty", "faulty-app")];
        let mut env = TestEnv::start(profiles).await;
        let (mut process, url) = Process::start(&env, directory.path(), limits).await;
        let (pid, address) = (process.0.id(), url.trim_start_matches("http://").to_owned());
        // Upstreams announce themselves there.
        env.url = url.clone();
        env.upstream("s-1", "sheet-app", UpstreamMode::Echo).await;
        let faulty_address = start_faulty_upstream();
        for i in 0..faulty {
            env.announce(&format!("f-{i}"), "faulty-app", &faulty_address, 1).await;
        }
        wait_for_answer(&env, &url).await;
        let run = move || crowd(pid, n, |i| client(&address, i));
        let descriptors = runtime::spawn_blocking(run).await.unwrap();
        wait_for_answer(&env, &url).await;
        assert_eq!(process.0.try_wait().unwrap(), None, "the process ended");
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        let peak_mb = peak.trim().trim_end_matches(" kB").parse::<usize>().unwrap() / 1024;
        println!("measured: peak_mb={peak_mb} descriptors={descriptors}");
        assert!(peak_mb <= memory_mb, "{peak_mb} MB of {memory_mb} MB");
        let most = n + faulty + OWN_DESCRIPTORS;
        assert!(descriptors <= most, "{descriptors} descriptors of {most}");
    };
    let ended = block_on(async { time::timeout(Duration::from_secs(60), test).await });
    ended.expect("no ordinary request is answered within a minute");
}

/// Guards against an entry that holds every body that has not ended: only the size of one body was bounded.
#[rstest]
fn bodies_that_stop_before_their_end() {
    let limits = json!({"body_bytes": LARGEST_BODY});
    check(limits, ENTRY_MB, CROWD, 0, |address, i| send_most(address, i % 2 == 0));
}

/// Guards against heads whose buffers take as much memory as the process has: only the number of connections was bounded.
#[rstest]
fn heads_that_do_not_end() {
    let limits = json!({"memory_mb": SMALL_ENTRY_MB});
    check(limits, SMALL_ENTRY_MB, HEADS, 0, |address, _| send_endless_head(address));
}

/// Guards against responses of upstreams that the entry holds: only the size of one was bounded.
#[rstest]
fn responses_that_stop_before_their_end() {
    let limits = json!({"memory_mb": SMALL_ENTRY_MB});
    // A new upstream gets one request at a time.
    check(limits, SMALL_ENTRY_MB, CALLERS, CALLERS, call_faulty);
}
