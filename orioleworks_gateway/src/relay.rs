//! Sends requests to upstreams for other gateways that have lost their path.
//!
//! Such a request is sent on a connection of this gateway or not at all, never through a third gateway. The answer tells
//! whether it is the upstream's response, or that the request was certainly not sent. See `docs/platform.md`, "Partitioned
//! from the upstreams".

use std::{
    cell::Cell,
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::{net::TcpListener, runtime};
use futures_channel::mpsc;
use futures_util::{FutureExt, SinkExt, StreamExt, select};
use http::{HeaderMap, HeaderName, HeaderValue, header, response};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame};
use orioleworks_daemon::{clock, event, http as server, shutdown::Shutdown};
use orioleworks_fleet::pool::{Exchange, SendError};
use orioleworks_platform::{caller, upstream};
use orioleworks_routing::outlier::Key;
use tokio_util::sync::CancellationToken;

use crate::{attempt, carrier::Outbound, path, responses, view::View};

/// Requests that are sent for other gateways at the same time; the smallest gateways have an eighth of a core.
const MAX_RELAYED: usize = 32;
/// Bytes of bodies of these requests; the smallest gateways have 88 MB of memory.
const MAX_RELAYED_BYTES: usize = 4 * 1024 * 1024;
/// Longest time to connect to an upstream: many round trips, and short enough for the other gateway to ask a third one.
const CONNECT_PATIENCE: Duration = Duration::from_millis(20);
/// Time of a request that states no deadline.
const DEFAULT_TIME: Duration = Duration::from_secs(1);
/// Open connections of other gateways.
const MAX_CONNECTIONS: usize = 256;
/// Number of chunks of a response buffered for a slow gateway; a chunk has up to 64 KB.
const STREAM_QUEUE_CHUNKS: usize = 2;

/// ID of the upstream, on a request.
const UPSTREAM: HeaderName = HeaderName::from_static("orioleworks-relay-upstream");
/// Incarnation of the upstream, on a request.
const INCARNATION: HeaderName = HeaderName::from_static("orioleworks-relay-incarnation");
/// What an answer is; one of the words below.
const ANSWER: HeaderName = HeaderName::from_static("orioleworks-relay-answer");

const RESPONSE: &str = "response";
const UNAVAILABLE: &str = "unavailable";
const LEAVING: &str = "leaving";
const UNREACHABLE: &str = "unreachable";
const REFUSED: &str = "refused";
const SILENT: &str = "silent";
const BROKEN: &str = "broken";
const INVALID: &str = "invalid";
const UNKNOWN: &str = "unknown";

/// Answer of a gateway that was asked to send a request.
#[derive(Debug, PartialEq, Eq)]
pub enum Answer {
    /// The upstream's response.
    Response,
    /// It did not send the request for a reason of its own.
    Unavailable,
    /// It did not send the request because the upstream is leaving.
    Leaving,
    /// There is no response, for a reason of the upstream.
    Failed(SendError),
    /// The request may have run, and nothing is known of the upstream.
    Unknown(SendError),
}

/// Marks a request for another gateway.
pub fn set_headers(headers: &mut HeaderMap, up: &Key) {
    if let Ok(id) = HeaderValue::from_str(&up.0) {
        headers.insert(UPSTREAM, id);
    }
    headers.insert(INCARNATION, HeaderValue::from(up.1));
}

/// What another gateway answers. Without a word that is known, the request may have run.
pub fn answer(head: &response::Parts) -> Answer {
    let word = caller::header_text(&head.headers, &ANSWER).unwrap_or_default();
    let why = || "another gateway does not reach it either".to_owned();
    match word {
        RESPONSE => Answer::Response,
        UNAVAILABLE => Answer::Unavailable,
        LEAVING => Answer::Leaving,
        UNREACHABLE => Answer::Failed(SendError::NotSent(why())),
        REFUSED => Answer::Failed(SendError::Refused(why())),
        SILENT => Answer::Failed(SendError::Timeout),
        BROKEN => Answer::Failed(SendError::Broken("at another gateway".into())),
        INVALID => Answer::Failed(SendError::Invalid("at another gateway".into())),
        _ => Answer::Unknown(SendError::Invalid(format!("answer {word:?} of another gateway"))),
    }
}

/// Removes the mark of the answer, which is for this gateway only.
pub fn remove_mark(headers: &mut HeaderMap) {
    headers.remove(ANSWER);
}

/// Bounds what is sent for other gateways; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Relayed {
    requests: Rc<Cell<usize>>,
    bytes: Rc<Cell<usize>>,
}

/// Part of the bounds that one request takes until it is dropped.
struct Slot {
    relayed: Relayed,
    bytes: usize,
}

impl Relayed {
    fn take(&self, bytes: usize) -> Option<Slot> {
        let fits = self.requests.get() < MAX_RELAYED
            && self.bytes.get().saturating_add(bytes) <= MAX_RELAYED_BYTES;
        fits.then(|| {
            self.requests.set(self.requests.get() + 1);
            self.bytes.set(self.bytes.get() + bytes);
            Slot { relayed: self.clone(), bytes }
        })
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.relayed.requests.set(self.relayed.requests.get() - 1);
        self.relayed.bytes.set(self.relayed.bytes.get() - self.bytes);
    }
}

/// Serves other gateways until the process ends; requests of gateways that are draining come to their end.
pub async fn serve(view: View, listener: TcpListener) {
    let limits = server::Limits {
        connections: MAX_CONNECTIONS,
        body_bytes: MAX_RELAYED_BYTES,
        buffer_bytes: server::Limits::SMALL_BUFFER_BYTES,
        ..server::Limits::default()
    };
    let budget = view.memory.clone();
    let handler = move |req| {
        let view = view.clone();
        async move { handle(&view, req).await }
    };
    server::serve_within(listener, limits, budget, Shutdown::default(), handler).await;
}

/// Answers with the attempt ID of the request, as an upstream does.
async fn handle(view: &View, req: server::Request) -> server::Response {
    let id = req.headers().get(caller::ATTEMPT_ID).cloned();
    let mut answer = send_for_another(view, req).await;
    if let (Some(id), false) = (id, answer.headers().contains_key(caller::ATTEMPT_ID)) {
        answer.headers_mut().insert(caller::ATTEMPT_ID, id);
    }
    answer
}

async fn send_for_another(view: &View, req: server::Request) -> server::Response {
    let declared = usize::try_from(req.body().size_hint().lower()).unwrap_or(usize::MAX);
    let slot = if view.is_draining() { None } else { view.relayed.take(declared) };
    let (Some(slot), false) = (slot, view.path.is_lost()) else {
        return without_response(UNAVAILABLE);
    };
    let key = key_of(req.headers());
    let upstream = key.as_ref().and_then(|key| {
        let fleet = view.knowledge.fleet.borrow();
        let known = fleet.get(&key.0).filter(|known| known.upstream.incarnation == key.1);
        known.map(|known| known.upstream.clone())
    });
    let (Some(key), Some(upstream)) = (key, upstream) else {
        return without_response(UNAVAILABLE);
    };
    if upstream.leaving || view.leaves(&key) {
        return without_response(LEAVING);
    }
    let (head, body) = req.into_parts();
    let limits = server::Limits { body_bytes: MAX_RELAYED_BYTES, ..server::Limits::default() };
    let Ok(body) = server::read_body_within(body, &limits, &view.memory).await else {
        return without_response(UNAVAILABLE);
    };
    let mut headers = attempt::end_to_end_headers(&head.headers);
    for name in [UPSTREAM, INCARNATION, header::CONTENT_LENGTH] {
        headers.remove(name);
    }
    let id = caller::attempt_id(&headers).unwrap_or_default().to_owned();
    let time = caller::time_left(&headers).unwrap_or(DEFAULT_TIME);
    let build = |remaining| {
        let mut req = http::Request::new(Full::new(body.clone()));
        *req.method_mut() = head.method.clone();
        *req.uri_mut() = head.uri.clone();
        *req.headers_mut() = headers.clone();
        upstream::set_upstream_headers(req.headers_mut(), &upstream.id, Some(remaining));
        Ok(req)
    };
    let deadline = Instant::now() + time;
    let attempt = caller::attempt_id(&headers);
    // The gateway that accepted the request counts it.
    let on_send = &|| ();
    let outbound = Outbound { view, upstream: &upstream, key: &key, attempt, deadline, on_send };
    let sent_at = clock::since_boot();
    let result = outbound.send_directly(CONNECT_PATIENCE, build).await;
    let own_fault = result.is_err() && path::verdict(view).await;
    let word = match &result {
        Ok(_) => RESPONSE,
        // Only a gateway that reaches other upstreams can tell that this one is at fault.
        Err(SendError::NotSent(_)) if view.path.is_proven() => UNREACHABLE,
        Err(SendError::Refused(_)) if view.path.is_proven() => REFUSED,
        Err(SendError::NotSent(_) | SendError::Refused(_)) => UNAVAILABLE,
        Err(SendError::Timeout) if !own_fault => SILENT,
        Err(SendError::Broken(_)) if !own_fault => BROKEN,
        // The bytes came from the upstream, whatever the state of the path.
        Err(SendError::Invalid(_)) => INVALID,
        Err(_) => UNKNOWN,
    };
    event!(debug, "sent_for_another", request = id, upstream = key.0, result = word);
    match result {
        Ok(exchange) => {
            responses::read_head(view, &key, sent_at, &exchange.head);
            stream(exchange, slot)
        }
        Err(_) => without_response(word),
    }
}

fn key_of(headers: &HeaderMap) -> Option<Key> {
    let id = caller::header_text(headers, &UPSTREAM)?;
    let incarnation = caller::header_number(headers, &INCARNATION)?;
    Some((id.into(), incarnation))
}

fn without_response(word: &'static str) -> server::Response {
    let mut response = server::full_response(503, "text/plain", "");
    response.headers_mut().insert(ANSWER, HeaderValue::from_static(word));
    response
}

/// Passes a response on as it arrives. The connection to the upstream is closed when the other gateway closes its own.
fn stream(mut exchange: Exchange, slot: Slot) -> server::Response {
    let mut head = attempt::response_head(&exchange.head);
    head.headers.insert(ANSWER, HeaderValue::from_static(RESPONSE));
    let (mut tx, rx) = mpsc::channel::<Result<Frame<Bytes>, io::Error>>(STREAM_QUEUE_CHUNKS);
    let closed = CancellationToken::new();
    let guard = closed.clone().drop_guard();
    runtime::spawn(async move {
        let passing = async {
            loop {
                let part = match exchange.next().await {
                    Ok(Some(part)) => Ok(Frame::data(part)),
                    Ok(None) => return Some(exchange),
                    Err(e) => Err(io::Error::other(e.to_string())),
                };
                let broken = part.is_err();
                if tx.send(part).await.is_err() || broken {
                    return None;
                }
            }
        };
        let mut passing = Box::pin(passing.fuse());
        let mut closed = std::pin::pin!(closed.cancelled().fuse());
        let complete = select! { exchange = passing => exchange, () = closed => None };
        if let Some(exchange) = complete {
            exchange.return_to_pool();
        }
        drop(slot);
    })
    .detach();
    let parts = rx.inspect(move |_| {
        // The guard is dropped with the body, when the other gateway closes its connection.
        let _ = &guard;
    });
    http::Response::from_parts(head, StreamBody::new(parts).boxed_unsync())
}
