//! Upstreams that stop in the middle of the head of a response.

mod support;

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

use rstest::rstest;
use support::{client, deployment::Deployment, routes::document};

/// One event, so that it is a whole response of a stream too.
const WHOLE_BODY: &str = "id: 1\ndata: whole\n\n";

/// How an upstream ends a response that it has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Close,
    /// With bytes of the request unread, so that the connection is reset.
    Reset,
}

fn head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: stamp\r\nContent-Type: text/event-stream\r\n\
         Content-Length: {}\r\n\r\n",
        WHOLE_BODY.len()
    )
}

/// Responds to one request after another; the last part of a path `/x/cut-N` is the number of bytes after which the response
/// ends.
fn serve(mut stream: TcpStream, end: End) -> Option<()> {
    loop {
        let mut request = Vec::new();
        let mut byte = [0];
        while !request.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).ok()?;
            request.push(byte[0]);
        }
        let request = String::from_utf8_lossy(&request).into_owned();
        let header = |name: &str| {
            let mut lines = request.lines();
            lines.find_map(|line| line.strip_prefix(name)).map(|value| value.trim().to_owned())
        };
        let response = head(&header("x-attempt-id:").unwrap_or_default()) + WHOLE_BODY;
        let path = request.split(' ').nth(1)?;
        let cut = path.rsplit_once("cut-").and_then(|(_, cut)| cut.parse::<usize>().ok());
        if let Some(cut) = cut {
            if end == End::Close {
                stream.read_exact(&mut [0; 4]).ok()?;
            }
            stream.write_all(&response.as_bytes()[..cut]).ok()?;
            return None;
        }
        stream.read_exact(&mut [0; 4]).ok()?;
        stream.write_all(response.as_bytes()).ok()?;
    }
}

/// Starts an upstream and announces it until the test ends.
fn start_upstream(service: &'static str, stores: Vec<String>, end: End) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream, end));
        }
    });
    thread::spawn(move || {
        for sequence in 0..400 {
            let heartbeat = serde_json::json!({
                "service": service, "address": address, "zone": "zone-a", "slots": 8, "version": "v1",
                "state": "ready", "cold_remaining_ms": 0, "models": [], "sequence": sequence, "born": 1,
            });
            let path = "/v1/Instances.Heartbeat/s-cut";
            for store in &stores {
                drop(client::call(store, "POST", path, &[], &heartbeat.to_string()));
            }
            thread::sleep(Duration::from_millis(300));
        }
    });
}

fn call(d: &Deployment, path: &str) -> Option<client::Response> {
    d.send(0, "POST", path, &format!("id-{}", path.replace('/', "-")), "body")
}

/// Guards against a response of which only a part of the head came, and that reaches the caller as a whole one with an empty or
/// short body.
#[rstest]
fn a_head_that_is_cut_is_no_response(
    #[values(End::Close, End::Reset)] end: End,
    #[values(("/lookup", "sheets"), ("/confirm", "sheets"), ("/say", "engines"))]
    (route, service): (&str, &'static str),
) {
    let d = Deployment::start(3, 1, &document(1, 2000).to_string());
    start_upstream(service, d.control_addresses(), end);
    let id = |cut: usize| format!("id-{}", format!("{route}/cut-{cut}").replace('/', "-"));
    let response_len = head(&id(100)).len() + WHOLE_BODY.len();
    for cut in (0..response_len).step_by(7) {
        // A whole response first: the connection is kept, and the pause after the last failure has ended.
        let until = Instant::now() + Duration::from_secs(20);
        let mut tries = 0;
        while call(&d, &format!("{route}/whole-{cut}-{tries}")).is_none_or(|r| r.status != 200) {
            tries += 1;
            assert!(Instant::now() < until, "no whole response\n{}", d.logs());
            thread::sleep(Duration::from_millis(50));
        }
        let response = call(&d, &format!("{route}/cut-{cut}"));
        if route == "/say" && cut >= head(&id(cut)).len() {
            // The head of a stream is passed on before its events. That it broke off shows in its length.
            let response = response.expect("the head of the stream");
            let declared = format!("content-length: {}", WHOLE_BODY.len());
            assert!(response.head.contains(&declared), "{}", response.head);
            assert!(response.body.len() < WHOLE_BODY.len(), "{response:?}");
        } else {
            // It was sent, and may have run.
            let status = response.as_ref().map(|r| r.status);
            assert_eq!(status, Some(502), "{cut} bytes reached the caller as {response:?}");
        }
    }
}
