//! Minimal stand-ins within this process: entries that watch, upstreams that announce and serve, peers with digests.

use std::{cell::Cell, io, rc::Rc, time::Duration};

use bytes::Bytes;
use compio::{runtime, time};
use futures_channel::mpsc;
use futures_util::SinkExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use orioleworks_daemon::{clock, http, rpc, shutdown::Shutdown};
use orioleworks_proto::inner::{self, frame::Body};
use serde::Deserialize;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::{
    announce::{ANNOUNCE_INTERVAL, Announcement, CacheEvents},
    capacity_daemons::domain,
    client::Client,
};

/// Longest wait for one response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Identity of a fake entry.
pub fn identity(index: usize) -> inner::EntryIdentity {
    inner::EntryIdentity {
        name: format!("node-{index:03}"),
        incarnation: clock::unix_ms(),
        domain: domain(index),
        inner_address: format!("127.0.0.1:{}", 20_000 + index),
        http_address: format!("127.0.0.1:{}", 30_000 + index),
    }
}

/// Fake entries, each of which watches the configuration at one replica.
pub struct Watchers {
    applied: Vec<Rc<Cell<u64>>>,
    token: CancellationToken,
}

impl Watchers {
    /// Starts the watches, distributed evenly over the addresses.
    pub fn start(count: usize, addresses: &[String]) -> Self {
        let token = CancellationToken::new();
        let applied = (0..count).map(|index| {
            let applied = Rc::new(Cell::new(0));
            let client = rpc::Client::new(addresses[index % addresses.len()].as_str());
            runtime::spawn(watch(identity(index), client, applied.clone(), token.clone())).detach();
            applied
        });
        let applied = applied.collect();
        Self { applied, token }
    }

    /// Waits until all have applied a revision; returns false on a timeout.
    pub async fn wait_applied(&self, revision: u64, timeout: Duration) -> bool {
        let all = async {
            while self.applied.iter().any(|applied| applied.get() < revision) {
                time::sleep(Duration::from_millis(1)).await;
            }
        };
        time::timeout(timeout, all).await.is_ok()
    }
}

impl Drop for Watchers {
    fn drop(&mut self) {
        self.token.cancel();
    }
}

async fn watch(
    entry: inner::EntryIdentity,
    client: rpc::Client,
    applied: Rc<Cell<u64>>,
    token: CancellationToken,
) {
    let mut entries_hash = 0;
    while !token.is_cancelled() {
        let watch = inner::Watch {
            entry: Some(entry.clone()),
            applied_revision: applied.get(),
            wait_ms: 1000,
            entries_hash: Some(entries_hash),
        };
        match client.call(Body::Watch(watch), RESPONSE_TIMEOUT).await {
            Ok(Body::WatchReply(reply)) if reply.code == 0 => {
                entries_hash = reply.entries_hash.unwrap_or(0);
                applied.set(reply.revision);
            }
            _ => time::sleep(Duration::from_millis(100)).await,
        }
    }
}

/// What a fake engine streams.
#[derive(Clone, Copy, Debug)]
pub struct StreamSettings {
    /// Time between two chunks.
    pub pause: Duration,
    /// Tokens in a chunk.
    pub chunk_tokens: u32,
    /// Bytes of text for each token.
    pub token_bytes: usize,
}

/// Fake upstreams behind one listener.
pub struct FakeUpstreams {
    /// Address that all of them share.
    pub address: String,
    /// Number of complete responses so far.
    pub responses: Rc<Cell<u64>>,
    /// Number of tokens streamed so far.
    pub tokens: Rc<Cell<u64>>,
    token: CancellationToken,
}

#[derive(Deserialize)]
struct Completion {
    max_tokens: u32,
    request_id: String,
}

impl FakeUpstreams {
    /// Serves `/call` and `/v1/completions`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub async fn start(stream: StreamSettings) -> io::Result<Self> {
        let listener = http::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        let (responses, tokens) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        let counts = (responses.clone(), tokens.clone());
        let handler = move |req| respond(req, stream, counts.clone());
        runtime::spawn(http::serve(
            listener,
            http::Limits::default(),
            Shutdown::default(),
            handler,
        ))
        .detach();
        Ok(Self { address, responses, tokens, token: CancellationToken::new() })
    }

    /// Announces upstreams of a kind to an entry until `self` is dropped.
    pub fn announce(&self, count: usize, kind: &str, engine: bool, entry: &str) {
        for index in 0..count {
            let announcement = Announcement {
                name: format!("{kind}-{index:04}"),
                incarnation: clock::unix_ms(),
                kind: kind.to_owned(),
                model: if engine { "scorer".into() } else { String::new() },
                address: self.address.clone(),
                weight_version: u64::from(engine),
                checks_fencing: engine,
                engine,
                capacity: 256,
                cache: CacheEvents { first_sequence: 1, events: Vec::new() },
                ..Announcement::default()
            };
            let offset = ANNOUNCE_INTERVAL.mul_f64(index as f64 / count as f64);
            let url = format!("http://{entry}/v1/announce");
            let token = self.token.clone();
            runtime::spawn(async move {
                let Ok(client) = Client::new() else { return };
                time::sleep(offset).await;
                while !token.is_cancelled() {
                    let started = std::time::Instant::now();
                    drop(client.post(&url, &announcement, RESPONSE_TIMEOUT).await);
                    time::sleep(ANNOUNCE_INTERVAL.saturating_sub(started.elapsed())).await;
                }
            })
            .detach();
        }
    }
}

impl Drop for FakeUpstreams {
    fn drop(&mut self) {
        self.token.cancel();
    }
}

async fn respond(
    req: http::Request,
    stream: StreamSettings,
    (responses, tokens): (Rc<Cell<u64>>, Rc<Cell<u64>>),
) -> http::Response {
    let id = req.headers().get("x-request-id").cloned();
    let is_engine = req.uri().path() == "/v1/completions";
    let Ok(body) = http::read_body(req.into_body(), &http::Limits::default()).await else {
        return http::full_response(400, "text/plain", "body");
    };
    if !is_engine {
        responses.set(responses.get() + 1);
        let mut response = http::full_response(200, "application/json", body);
        id.into_iter().for_each(|id| drop(response.headers_mut().insert("x-request-id", id)));
        return response;
    }
    let Ok(completion) = serde_json::from_slice::<Completion>(&body) else {
        return http::full_response(400, "text/plain", "completion");
    };
    let (tx, rx) = mpsc::channel(4);
    runtime::spawn(send_stream(completion, stream, tx, (responses, tokens))).detach();
    let mut response = ::http::Response::new(StreamBody::new(rx).boxed_unsync());
    let kind = ::http::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(::http::header::CONTENT_TYPE, kind);
    id.into_iter().for_each(|id| drop(response.headers_mut().insert("x-request-id", id)));
    response
}

async fn send_stream(
    completion: Completion,
    stream: StreamSettings,
    mut tx: mpsc::Sender<Result<Frame<Bytes>, io::Error>>,
    (responses, tokens): (Rc<Cell<u64>>, Rc<Cell<u64>>),
) {
    let mut remaining = completion.max_tokens;
    let started = std::time::Instant::now();
    let mut due = Duration::ZERO;
    while remaining > 0 {
        let count = remaining.min(stream.chunk_tokens.max(1));
        remaining -= count;
        due += stream.pause;
        time::sleep(due.saturating_sub(started.elapsed())).await;
        let text = "t".repeat(stream.token_bytes * count as usize);
        let reason = (remaining == 0).then_some("length");
        let chunk = json!({"choices": [{"text": text, "finish_reason": reason}], "weight_version": 1, "tokens": count,
            "incarnation": 1, "request_id": completion.request_id});
        if tx.send(Ok(Frame::data(format!("data: {chunk}\n\n").into()))).await.is_err() {
            return;
        }
        tokens.set(tokens.get() + u64::from(count));
    }
    if tx.send(Ok(Frame::data(Bytes::from_static(b"data: [DONE]\n\n")))).await.is_ok() {
        responses.set(responses.get() + 1);
    }
}

/// Serves all fake peers of an entry behind one address; returns it.
///
/// # Errors
///
/// Returns the error of the operating system.
pub async fn peer_server(token: &CancellationToken) -> io::Result<String> {
    let listener = http::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    let handler = |body| async move {
        let reply = inner::DigestReply { revision: 1, holds: true };
        matches!(body, Body::Digest(_)).then_some(Body::DigestReply(reply))
    };
    runtime::spawn(rpc::serve(listener, token.child_token(), handler)).detach();
    Ok(address)
}

/// Digest of a fake peer with the upstream kinds of the design size.
pub fn digest(index: usize, in_flight: u32) -> inner::Digest {
    let kinds = ["scorer-llm", "planner-lm", "sheet-app", "booking-portal", "judge"];
    let kinds = kinds.into_iter().map(|kind| inner::KindLoad {
        kind: kind.into(),
        upstreams: 120,
        capacity: 1920,
        in_flight,
        lowest_version: 700,
        highest_version: 701,
    });
    inner::Digest {
        entry: Some(identity(index)),
        revision: 6300,
        kinds: kinds.collect(),
        ..Default::default()
    }
}
