//! Sends one attempt of a request to one upstream.
//!
//! See `docs/design.md`, sections 7 and 14.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use compio::{net::TcpStream, time};
use orioleworks_daemon::memory::Budget;
use orioleworks_proto::inner;
use orioleworks_rules::claims::{AttemptFacts, AttemptOutcome, attempt_outcome};
use serde::{Deserialize, Serialize};

use crate::{
    dispatch::Completed,
    responses::{self, ReadError},
    stream,
};

/// Largest response of an upstream; a stored response must fit into a frame of the inner protocol.
pub const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// Longest wait for the end of the response body after the end marker, so that the connection can be reused.
const STREAM_END_TIMEOUT: Duration = Duration::from_millis(100);
/// Delays before the connection attempts that check whether an upstream has crashed. An exiting process may close its
/// connections shortly before its listening socket, so a single successful connection proves nothing.
const PROBE_DELAYS: [Duration; 2] = [Duration::from_millis(10), Duration::from_millis(40)];
/// Longest wait for one such connection attempt.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Upstream of an attempt.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its name.
    pub name: Rc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// IP and port.
    pub address: Rc<str>,
    /// Model of an engine.
    pub model: Rc<str>,
}

/// The request as it is sent to the upstream.
#[derive(Clone, Copy, Debug)]
pub struct Outgoing<'a> {
    /// Unique ID of the attempt.
    pub attempt_id: &'a str,
    /// Body of the caller.
    pub body: &'a Bytes,
    /// Content type of the body.
    pub content_type: &'a str,
    /// Key of a claimed request.
    pub idempotency_key: Option<&'a str>,
    /// Whether the upstream is an engine.
    pub engine: bool,
}

/// A failed attempt.
#[derive(Clone, Debug)]
pub struct Failure {
    /// What is known of the attempt.
    pub facts: AttemptFacts,
    /// The connection broke or could not be opened, so the upstream may have crashed.
    pub connection_failed: bool,
    /// Complete error response of the upstream.
    pub response: Option<Box<Completed>>,
    /// Whether a retry on another upstream could succeed.
    pub retryable: bool,
    /// Text for the log and the caller.
    pub reason: String,
}

impl Failure {
    fn sent(reason: impl Into<String>, connection_failed: bool) -> Self {
        let facts = AttemptFacts { sent: true, ..AttemptFacts::default() };
        Self { facts, connection_failed, response: None, retryable: true, reason: reason.into() }
    }

    fn not_sent(reason: impl Into<String>, connection_failed: bool) -> Self {
        Self { facts: AttemptFacts::default(), ..Self::sent(reason, connection_failed) }
    }

    /// Whether the request certainly did not run in this attempt.
    pub fn not_run(&self) -> bool {
        attempt_outcome(self.facts) == AttemptOutcome::NotRun
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Success {
    /// The response.
    pub completed: Completed,
    /// Number of tokens, which scales the expected latency; 1 for a plain service.
    pub units: u32,
}

/// Creates the client for one upstream. It ignores redirects, which would send a request a second time, and proxies,
/// which would hide refused connections.
pub fn new_client() -> Result<cyper::Client, cyper::Error> {
    cyper::Client::builder().redirect(cyper::redirect::Policy::none()).no_proxy().build()
}

impl From<ReadError> for Failure {
    fn from(e: ReadError) -> Self {
        let connection_failed = matches!(e, ReadError::Interrupted(_));
        Self::sent(e.to_string(), connection_failed)
    }
}

/// Runs the attempt; dropping the future closes the connection. The response is charged to a budget while it is read.
pub async fn run(
    client: &cyper::Client,
    target: &Target,
    outgoing: Outgoing<'_>,
    memory: &Budget,
) -> Result<Success, Failure> {
    fail::fail_point!("dispatch.before_send");
    let request = build(client, target, outgoing)?;
    let response = request.send().await.map_err(|e| send_failure(&e))?;
    fail::fail_point!("dispatch.after_send");
    let header = |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok());
    if header("x-request-id").is_some_and(|id| id != outgoing.attempt_id) {
        return Err(Failure::sent("the response belongs to another request", false));
    }
    let status = response.status().as_u16();
    if matches!(status, 429 | 503) && header("x-not-run") == Some("true") {
        let facts = AttemptFacts { sent: true, refused_by_upstream: true, complete: true };
        return Err(Failure { facts, ..Failure::sent("refused by the upstream", false) });
    }
    if outgoing.engine && status == 200 {
        read_stream(response, target, outgoing, memory).await
    } else {
        read_body(response, target, outgoing.engine, memory).await
    }
}

fn build(
    client: &cyper::Client,
    target: &Target,
    outgoing: Outgoing<'_>,
) -> Result<cyper::RequestBuilder, Failure> {
    let failed = |e: cyper::Error| Failure::not_sent(e.to_string(), false);
    let address = &target.address;
    if !outgoing.engine {
        let request = client.post(format!("http://{address}/call")).map_err(failed)?;
        let request = request.header("content-type", outgoing.content_type).map_err(failed)?;
        let request = request.header("x-request-id", outgoing.attempt_id).map_err(failed)?;
        let request = match outgoing.idempotency_key {
            Some(key) => request.header("idempotency-key", key).map_err(failed)?,
            None => request,
        };
        return Ok(request.body(outgoing.body.clone()));
    }
    let prompt: Prompt = serde_json::from_slice(outgoing.body)
        .map_err(|e| Failure { retryable: false, ..Failure::not_sent(e.to_string(), false) })?;
    let body = Completions {
        model: &target.model,
        prompt: &prompt.prompt,
        max_tokens: prompt.max_tokens,
        stream: true,
        request_id: outgoing.attempt_id,
    };
    let request = client.post(format!("http://{address}/v1/completions")).map_err(failed)?;
    let request = request.header("x-request-id", outgoing.attempt_id).map_err(failed)?;
    request.json(&body).map_err(failed)
}

/// Body of a request under an engine profile.
#[derive(Debug, Deserialize)]
pub struct Prompt {
    /// Text of the prompt.
    pub prompt: String,
    /// Largest number of tokens.
    pub max_tokens: u32,
}

#[derive(Serialize)]
struct Completions<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
    request_id: &'a str,
}

fn send_failure(e: &cyper::Error) -> Failure {
    match e {
        cyper::Error::HyperClient(client) if client.is_connect() => {
            Failure::not_sent("the upstream cannot be reached", true)
        }
        _ => Failure::sent(format!("the connection failed after sending: {e}"), true),
    }
}

async fn read_body(
    response: cyper::Response,
    target: &Target,
    engine: bool,
    memory: &Budget,
) -> Result<Success, Failure> {
    let status = response.status().as_u16();
    let content_type: Rc<str> = response
        .headers()
        .get("content-type")
        .and_then(|v| v.to_str().ok())
        .unwrap_or("application/octet-stream")
        .into();
    let body = responses::read_body(response, MAX_RESPONSE_BYTES, memory).await?;
    let completed =
        Completed { status, body, content_type, spans: Vec::new(), upstream: target.name.clone() };
    if engine || matches!(status, 429 | 502..=504) {
        let facts = AttemptFacts { sent: true, refused_by_upstream: false, complete: true };
        let retryable = !engine || status >= 429;
        let reason = format!("the upstream responded with status {status}");
        return Err(Failure {
            facts,
            connection_failed: false,
            response: Some(Box::new(completed)),
            retryable,
            reason,
        });
    }
    Ok(Success { completed, units: 1 })
}

async fn read_stream(
    response: cyper::Response,
    target: &Target,
    outgoing: Outgoing<'_>,
    memory: &Budget,
) -> Result<Success, Failure> {
    let mut reader = stream::Reader::new(outgoing.attempt_id, MAX_RESPONSE_BYTES);
    let mut parts = responses::parts(response, memory);
    while !reader.is_done() {
        let Some(part) = parts.next().await? else {
            return Err(Failure::sent("the stream has no end marker", true));
        };
        reader
            .push(&part)
            .map_err(|e| Failure::sent(format!("the stream is invalid: {e:?}"), false))?;
    }
    // A connection returns to the pool only after its response is read to the end; otherwise it is closed.
    let remainder = async { while let Ok(Some(_)) = parts.next().await {} };
    let _ = time::timeout(STREAM_END_TIMEOUT, remainder).await;
    let units = reader.tokens().max(1);
    match reader.finish() {
        Some((text, Some(spans))) => {
            Ok(Success { completed: stream_response(text, spans, target), units })
        }
        _ => Err(Failure::sent("the engine's report of weight versions is inconclusive", false)),
    }
}

fn stream_response(text: String, spans: Vec<inner::Span>, target: &Target) -> Completed {
    Completed {
        status: 200,
        body: Bytes::from(text),
        content_type: "text/plain; charset=utf-8".into(),
        spans,
        upstream: target.name.clone(),
    }
}

/// Whether an upstream whose connection broke refuses new connections, which means that it has crashed.
pub async fn refuses_connections(address: &str) -> bool {
    for pause in PROBE_DELAYS {
        time::sleep(pause).await;
        if let Ok(Err(_)) = time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
            return true;
        }
    }
    false
}
