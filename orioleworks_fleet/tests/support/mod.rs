//! An upstream that counts its connections, and requests to it.

#![allow(dead_code)]

use std::{
    io::{ErrorKind, Read, Write},
    net::{TcpListener, TcpStream},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::{runtime, time};
use futures_util::future;
use http::Request;
use http_body_util::Full;
use orioleworks_fleet::pool::{Exchange, Pool};

const TIMEOUT: Duration = Duration::from_secs(5);
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nkeep-alive: timeout=30\r\ncontent-length: 2\r\n\r\nok";

/// An upstream that responds to each request, and its numbers of open and of accepted connections.
#[derive(Clone, Default)]
pub struct Upstream {
    /// Address to connect to.
    pub address: String,
    open: Arc<AtomicUsize>,
    accepted: Arc<AtomicUsize>,
}

impl Upstream {
    /// Starts it at a port of its own.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let upstream = Self { address, ..Self::default() };
        let serving = upstream.clone();
        thread::spawn(move || serving.serve(&listener));
        upstream
    }

    fn serve(&self, listener: &TcpListener) {
        let mut connections: Vec<(TcpStream, Vec<u8>)> = Vec::new();
        loop {
            while let Ok((stream, _)) = listener.accept() {
                stream.set_nonblocking(true).unwrap();
                self.accepted.fetch_add(1, Ordering::Relaxed);
                connections.push((stream, Vec::new()));
            }
            connections.retain_mut(|(stream, request)| {
                let mut part = [0; 1024];
                match stream.read(&mut part) {
                    Ok(0) => return false,
                    Ok(read) => request.extend_from_slice(&part[..read]),
                    Err(e) => return e.kind() == ErrorKind::WouldBlock,
                }
                if request.ends_with(b"\r\n\r\n") {
                    request.clear();
                    stream.write_all(RESPONSE).unwrap();
                }
                true
            });
            self.open.store(connections.len(), Ordering::Relaxed);
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Number of accepted connections.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Number of open connections once it has not changed for a while.
    pub async fn open(&self) -> usize {
        let (mut open, mut since) = (usize::MAX, Instant::now());
        while since.elapsed() < Duration::from_millis(300) {
            time::sleep(Duration::from_millis(20)).await;
            let now = self.open.load(Ordering::Relaxed);
            if now != open {
                (open, since) = (now, Instant::now());
            }
        }
        open
    }
}

/// Sends requests to some upstreams, `each` to every one, so that all of them are in progress at the end.
pub async fn send(pool: &Pool, address: &str, upstreams: usize, each: usize) -> Vec<Exchange> {
    let keys = (0..upstreams).flat_map(|upstream| {
        let key = (Rc::<str>::from(format!("u-{upstream}")), 1);
        std::iter::repeat_n(key, each)
    });
    let mut exchanges = Vec::new();
    // The listen queue of the upstream is shorter than all of them.
    for keys in keys.collect::<Vec<_>>().chunks(50) {
        let sends = keys.iter().map(|key| async move {
            let req = Request::get("/").header("host", "a").body(Full::new(Bytes::new())).unwrap();
            pool.send(address, key, req, TIMEOUT).await.unwrap()
        });
        exchanges.extend(future::join_all(sends).await);
    }
    exchanges
}

/// Reads the responses, so that their connections become idle.
pub async fn finish(exchanges: Vec<Exchange>) {
    for exchange in exchanges {
        assert_eq!(exchange.finish(100, TIMEOUT).await.unwrap(), "ok");
    }
}

/// Runs a test for at most 60 s.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = runtime::Runtime::new().unwrap();
    let ended = runtime.block_on(time::timeout(Duration::from_secs(60), test));
    ended.expect("the test exceeds 60 s");
}
