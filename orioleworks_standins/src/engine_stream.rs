//! Token streams of the stand-in engine: server-sent events with continuous batching.

use std::{io, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::SinkExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use orioleworks_daemon::http::Response;
use serde::Serialize;

use crate::{
    engine::{Completion, Engine, KvState},
    provenance,
};

/// End marker of a stream.
pub const DONE: &str = "data: [DONE]\n\n";
/// Fraction of the prefill time that is spent despite a cached prefix.
const CACHED_PREFILL_FACTOR: f64 = 0.1;

type Sender = mpsc::Sender<Result<Frame<Bytes>, io::Error>>;

#[derive(Serialize)]
struct Choice {
    text: String,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct Chunk {
    choices: [Choice; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    weight_version: Option<u64>,
    tokens: u64,
    incarnation: u64,
}

/// Returns a streaming response and starts the task that writes its events.
pub fn start(engine: Rc<Engine>, req: Completion) -> Response {
    let request_id = http::HeaderValue::from_str(&req.request_id);
    let (tx, rx) = mpsc::channel(1);
    compio::runtime::spawn(run(engine, req, tx)).detach();
    let mut response = http::Response::new(StreamBody::new(rx).boxed_unsync());
    let value = http::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(http::header::CONTENT_TYPE, value);
    if let Ok(value) = request_id {
        response.headers_mut().insert("x-request-id", value);
    }
    response
}

async fn run(engine: Rc<Engine>, req: Completion, mut tx: Sender) {
    let guard = engine.running.enter();
    if stream(&engine, &req, &mut tx).await.is_err() {
        engine.count_cancelled();
    }
    drop(guard);
}

/// The client has closed the connection.
struct Cancelled;

async fn stream(engine: &Engine, req: &Completion, tx: &mut Sender) -> Result<(), Cancelled> {
    let cfg = &engine.config;
    let nonce = provenance::nonce(&req.request_id);
    let total = provenance::sample_tokens(&req.prompt, cfg.seed, nonce, req.max_tokens);
    let truncate_at = engine.faults.take(|f| &mut f.cut_answers).then_some(total / 2);
    let mut drop_version = engine.faults.take(|f| &mut f.drop_versions);
    let draw = u64::from(nonce) % 1000;

    let cached = engine.touch_prefix(&req.prompt);
    let prefill = cfg.prefill_time.mul_f64(if cached { CACHED_PREFILL_FACTOR } else { 1.0 });
    pause(engine, tx, engine.faults.work_time(prefill, draw)).await?;
    let mut generated = 0;
    while generated < total {
        let tokens = cfg.chunk_tokens.clamp(1, total - generated);
        let time_per_token = token_time(cfg.token_time, engine.running.count(), cfg.knee);
        let time = time_per_token.saturating_mul(u32::try_from(tokens).unwrap_or(u32::MAX));
        pause(engine, tx, engine.faults.work_time(time, draw)).await?;
        if truncate_at.is_some_and(|truncate_at| generated + tokens > truncate_at) {
            return Ok(());
        }
        let version = engine.weights.version();
        let text: String = (generated..generated + tokens)
            .map(|i| provenance::token(&req.prompt, cfg.seed, nonce, i, version))
            .collect();
        generated += tokens;
        let finish_reason = (generated == total).then_some("length");
        let lacks_version = std::mem::take(&mut drop_version);
        let chunk = Chunk {
            choices: [Choice { text, finish_reason }],
            weight_version: (!lacks_version).then_some(version),
            tokens,
            incarnation: engine.membership.incarnation(),
        };
        let json = serde_json::to_string(&chunk).unwrap_or_default();
        send(tx, format!("data: {json}\n\n")).await?;
        engine.store_kv(&req.request_id, KvState { prompt: req.prompt.clone(), tokens: generated });
    }
    send(tx, DONE.to_owned()).await
}

/// Time per token of a batch: constant up to the knee, then proportional to the number of running streams.
pub fn token_time(base: Duration, running: usize, knee: u32) -> Duration {
    let knee = knee.max(1);
    let running = u32::try_from(running).unwrap_or(u32::MAX).max(knee);
    base.mul_f64(f64::from(running) / f64::from(knee))
}

async fn pause(engine: &Engine, tx: &Sender, mut time: Duration) -> Result<(), Cancelled> {
    /// Time between two checks whether the stream is cancelled.
    const CANCEL_CHECK_INTERVAL: Duration = Duration::from_millis(50);
    while !time.is_zero() {
        let step = time.min(CANCEL_CHECK_INTERVAL);
        compio::time::sleep(step).await;
        time -= step;
        if tx.is_closed() {
            return Err(Cancelled);
        }
    }
    engine.faults.wait_while_hanging(|| tx.is_closed()).await;
    if tx.is_closed() { Err(Cancelled) } else { Ok(()) }
}

async fn send(tx: &mut Sender, text: String) -> Result<(), Cancelled> {
    tx.send(Ok(Frame::data(Bytes::from(text)))).await.map_err(|_| Cancelled)
}
