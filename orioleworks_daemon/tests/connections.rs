//! Memory of idle connections, of which a store has hundreds.

use std::{
    fs,
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

use compio::{runtime, time};
use orioleworks_daemon::{
    http::{self, Limits},
    rpc,
    shutdown::Shutdown,
};
use orioleworks_proto::inner::{self, frame::Body};
use tokio_util::sync::CancellationToken;

const CONNECTIONS: usize = 400;
const TIMEOUT: Duration = Duration::from_secs(5);
/// Larger than a buffer that a connection may keep.
const LARGE_BYTES: usize = 512 * 1024;

fn resident() -> usize {
    let status = fs::read_to_string("/proc/self/statm").unwrap();
    status.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() * 4096
}

/// Memory of both ends of an inner connection that has carried a small frame, or one of a size.
async fn inner_connection(frame_len: usize, token: &CancellationToken) -> (usize, impl Sized) {
    let listener = http::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let handler = |_| async { Some(Body::StatusReply(inner::StatusReply::default())) };
    runtime::spawn(rpc::serve(listener, token.clone(), handler)).detach();
    let (mut clients, mut before) = (Vec::new(), 0);
    for i in 0..CONNECTIONS + 20 {
        if i == 20 {
            before = resident();
        }
        let client = rpc::Client::new(address.as_str());
        let body = Body::ReadItemReply(inner::ReadItemReply {
            body: vec![b'x'; frame_len].into(),
            ..Default::default()
        });
        client.call(body, TIMEOUT).await.unwrap();
        clients.push(client);
    }
    (resident().saturating_sub(before) / CONNECTIONS, clients)
}

/// Connections to a server that has received and sent a body on each.
fn http_connections(address: &str, count: usize, body_len: usize) -> Vec<TcpStream> {
    let mut part = vec![0; 64 * 1024];
    let connect = |_| {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let head = format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {body_len}\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(&vec![b'x'; body_len]).unwrap();
        let (mut head, mut received) = (Vec::new(), None);
        // The response is as long as the request.
        while received.is_none_or(|received| received < body_len) {
            let read = stream.read(&mut part).unwrap();
            assert!(read > 0, "the server closed the connection");
            if let Some(received) = &mut received {
                *received += read;
                continue;
            }
            head.extend_from_slice(&part[..read]);
            let end = head.windows(4).position(|w| w == b"\r\n\r\n");
            received = end.map(|end| head.len() - end - 4);
        }
        stream
    };
    (0..count).map(connect).collect()
}

/// Memory of the server for an HTTP connection.
async fn http_connection(body_len: usize) -> (usize, impl Sized) {
    let listener = http::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let limits = Limits { body_bytes: LARGE_BYTES, ..Limits::default() };
    let handler = move |req: http::Request| async move {
        match http::read_body(req.into_body(), &limits).await {
            Ok(body) => http::full_response(200, "text/plain", body),
            Err(code) => http::error(code, "", 0),
        }
    };
    runtime::spawn(http::serve(listener, limits, Shutdown::default(), handler)).detach();
    let measured = runtime::spawn_blocking(move || {
        let first = http_connections(&address, 20, body_len);
        let before = resident();
        let open = http_connections(&address, CONNECTIONS, body_len);
        thread::sleep(Duration::from_millis(100));
        (resident().saturating_sub(before) / CONNECTIONS, first, open)
    });
    let (each, first, open) = measured.await.unwrap();
    (each, (first, open))
}

/// Guards against a store that is killed for its memory, which the buffers of hundreds of idle connections take, or the copies of
/// the largest body that each of them ever carried.
#[test]
fn idle_connections_take_little_memory() {
    const MOST_INNER: usize = 16 * 1024;
    const MOST_INNER_LARGE: usize = 16 * 1024;
    const MOST_HTTP: usize = 24 * 1024;
    const MOST_HTTP_LARGE: usize = 64 * 1024;
    let test = async {
        let token = CancellationToken::new();
        // Each stays open, because memory that is freed would hide what the next one takes.
        let (inner, _inner) = inner_connection(10, &token).await;
        let (http, _http) = http_connection(10).await;
        let (inner_large, _inner_large) = inner_connection(32 * 1024, &token).await;
        let (http_large, _http_large) = http_connection(LARGE_BYTES).await;
        token.cancel();
        println!("memory of a connection in bytes:");
        println!("inner, both ends: {inner}; after a frame of 32 KB: {inner_large}");
        println!("HTTP, server: {http}; after 512 KB in and out: {http_large}");
        assert!(inner <= MOST_INNER, "{inner} B for an inner connection");
        assert!(inner_large <= MOST_INNER_LARGE, "{inner_large} B after a large frame");
        assert!(http <= MOST_HTTP, "{http} B for an HTTP connection");
        assert!(http_large <= MOST_HTTP_LARGE, "{http_large} B after a large body");
    };
    let runtime = runtime::Runtime::new().unwrap();
    let ended = runtime.block_on(time::timeout(Duration::from_secs(60), test));
    ended.expect("the test exceeds 60 s");
}
