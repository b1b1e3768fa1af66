//! Guards against clients that send half a request or stop reading and thereby block the server or exhaust its
//! memory.

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::{Duration, Instant},
};

use compio::runtime;
use orioleworks_daemon::{
    http::{self, Limits},
    shutdown::Shutdown,
};
use rstest::rstest;

/// Larger than the socket buffers of both sides together.
const LARGE_BYTES: usize = 64 * 1024 * 1024;
const LIMITS: Limits = Limits {
    connections: 8,
    body_bytes: 1000,
    head_timeout: Duration::from_millis(300),
    body_timeout: Duration::from_millis(300),
    write_timeout: Duration::from_millis(300),
    buffer_bytes: 16 * 1024,
};

/// Responds to `/large` with a large body, and to any other path after reading the body.
async fn start_server() -> String {
    let listener = http::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    runtime::spawn(http::serve(
        listener,
        LIMITS,
        Shutdown::default(),
        |req: http::Request| async {
            if req.uri().path() == "/large" {
                return http::full_response(200, "text/plain", vec![b'x'; LARGE_BYTES]);
            }
            match http::read_body(req.into_body(), &LIMITS).await {
                Ok(_) => http::full_response(200, "text/plain", "read"),
                Err(code) => http::error(code, "", 0),
            }
        },
    ))
    .detach();
    address
}

/// Sends bytes, waits, and returns what the server sent until it closed the connection.
fn exchange(address: &str, bytes: &[u8], pause: Duration) -> (String, Duration) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let started = Instant::now();
    stream.write_all(bytes).unwrap();
    std::thread::sleep(pause);
    let mut response = Vec::new();
    // A reset after the response is a closed connection too.
    drop(stream.read_to_end(&mut response));
    (String::from_utf8_lossy(&response).into_owned(), started.elapsed())
}

fn run(bytes: &'static [u8], pause: Duration) -> (String, Duration, String) {
    runtime::Runtime::new().unwrap().block_on(async {
        let address = start_server().await;
        let request_address = address.clone();
        let (response, elapsed) =
            runtime::spawn_blocking(move || exchange(&request_address, bytes, pause))
                .await
                .unwrap();
        let healthy =
            b"POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok";
        let after = runtime::spawn_blocking(move || exchange(&address, healthy, Duration::ZERO));
        (response, elapsed, after.await.unwrap().0)
    })
}

#[rstest]
#[case::half_a_head(b"POST / HTTP/1.1\r\nhost: a\r\n", "")]
#[case::half_a_body(
    b"POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 9\r\n\r\nhalf",
    "\"code\":1009"
)]
#[case::oversized_body(
    b"POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 2000\r\n\r\n",
    "\"code\":1002"
)]
#[case::no_http(b"\x16\x03\x01\x02\x00garbage\r\n\r\n", "")]
fn a_malformed_request_ends_in_time_without_affecting_others(
    #[case] bytes: &'static [u8],
    #[case] expected: &str,
) {
    let (response, elapsed, after) = run(bytes, Duration::ZERO);
    assert!(response.contains(expected), "{response}");
    assert!(elapsed < Duration::from_secs(3), "{elapsed:?}");
    assert!(after.starts_with("HTTP/1.1 200"), "{after}");
}

#[test]
fn a_client_that_stops_reading_is_cut_off() {
    let request = b"GET /large HTTP/1.1\r\nhost: a\r\n\r\n";
    let (response, _, after) = run(request, Duration::from_millis(1500));
    assert!(
        response.len() < LARGE_BYTES,
        "the server sent the complete body: {} bytes",
        response.len()
    );
    assert!(after.starts_with("HTTP/1.1 200"), "{after}");
}

/// Guards against a stop that closes connections on which a response is owed.
#[test]
fn an_unfinished_request_is_answered_before_the_stop() {
    runtime::Runtime::new().unwrap().block_on(async {
        let listener = http::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let shutdown = Shutdown::default();
        let handler = |_: http::Request| std::future::pending::<http::Response>();
        let serving = runtime::spawn(http::serve(listener, LIMITS, shutdown.clone(), handler));
        let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
        let exchange = move || exchange(&address, request, Duration::ZERO);
        let response = runtime::spawn_blocking(exchange);
        compio::time::sleep(Duration::from_millis(200)).await;
        shutdown.drain.cancel();
        shutdown.answer.cancel();
        let (response, _) = response.await.unwrap();
        assert!(response.starts_with("HTTP/1.1 504 "), "{response}");
        assert!(response.to_lowercase().contains("connection: close"), "{response}");
        serving.await.unwrap();
    });
}

/// Guards against bodies above a megabyte that are refused for want of memory because an operator states a limit that no memory
/// holds.
#[test]
fn a_limit_above_all_memory_refuses_no_body() {
    const UNLIMITED: Limits = Limits { body_bytes: usize::MAX, ..LIMITS };
    const BODY_BYTES: usize = 3 * 1024 * 1024;
    runtime::Runtime::new().unwrap().block_on(async {
        let listener = http::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let handler = |req: http::Request| async {
            match http::read_body(req.into_body(), &UNLIMITED).await {
                Ok(body) => http::full_response(200, "text/plain", body.len().to_string()),
                Err(code) => http::error(code, "", 0),
            }
        };
        runtime::spawn(http::serve(listener, UNLIMITED, Shutdown::default(), handler)).detach();
        let head = format!(
            "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
        );
        let request = [head.into_bytes(), vec![b'x'; BODY_BYTES]].concat();
        let response =
            runtime::spawn_blocking(move || exchange(&address, &request, Duration::ZERO));
        let (response, _) = response.await.unwrap();
        assert!(response.ends_with(&BODY_BYTES.to_string()), "{response}");
    });
}
