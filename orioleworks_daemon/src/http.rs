//! HTTP/1.1 server with bounded connections, bodies and waiting times.

use std::{cell::Cell, convert::Infallible, future::Future, io, rc::Rc, time::Duration};

use bytes::Bytes;
use compio::{net::TcpListener, runtime};
use cyper_core::CompioTimer;
use futures_util::{FutureExt, select, select_biased};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited, combinators::UnsyncBoxBody};
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use orioleworks_proto::codes::ResultCode;
use serde::{Deserialize, Serialize};

use crate::{event, shutdown::Shutdown, stall::StallGuard, stream::Stream};

/// Request that the server passes to a handler.
pub type Request = http::Request<Incoming>;

/// Response of a handler; the body is buffered or streamed. A body error closes the connection, so that a truncated
/// response never looks complete.
pub type Response = http::Response<UnsyncBoxBody<Bytes, io::Error>>;

/// Bounds of the server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of open connections; further ones wait in the listen queue.
    pub connections: usize,
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Longest time for the head of a request, also on an idle connection.
    pub head_timeout: Duration,
    /// Longest time for the body of a request.
    pub body_timeout: Duration,
    /// Longest time without progress of a write, when the client does not read.
    pub write_timeout: Duration,
    /// Buffer per connection in bytes.
    pub buffer_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4096,
            body_bytes: 1024 * 1024,
            head_timeout: Duration::from_secs(30),
            body_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(20),
            buffer_bytes: 64 * 1024,
        }
    }
}

/// Binds a listener to an address given as IP and port.
///
/// # Errors
///
/// Returns the error of the operating system when the address cannot be bound.
pub async fn bind(address: &str) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Accepts connections until the drain starts, then finishes the requests in progress. A request that is not finished shortly
/// before the deadline of the drain is answered as one that may have run. Returns when the last connection has closed, or on
/// stop.
pub async fn serve<F, H>(listener: TcpListener, limits: Limits, shutdown: Shutdown, handler: H)
where
    F: Future<Output = Response> + 'static,
    H: Fn(Request) -> F + Clone + 'static,
{
    const ACCEPT_RETRY_DELAY_MS: u64 = 50;
    const POLL_INTERVAL_MS: u64 = 5;
    let open_connections = Rc::new(Cell::new(0_usize));
    loop {
        while open_connections.get() >= limits.connections {
            compio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
        let mut accept = std::pin::pin!(listener.accept().fuse());
        let mut drained = std::pin::pin!(shutdown.drain.cancelled().fuse());
        let accepted = select! { accepted = accept => accepted, () = drained => break };
        match accepted {
            Ok((stream, _)) => {
                open_connections.set(open_connections.get() + 1);
                let (open_connections, handler, shutdown) =
                    (open_connections.clone(), handler.clone(), shutdown.clone());
                runtime::spawn(async move {
                    serve_connection(stream, limits, shutdown, handler).await;
                    open_connections.set(open_connections.get() - 1);
                })
                .detach();
            }
            Err(e) => {
                event!(warn, "accept_failed", reason = e);
                compio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
            }
        }
    }
    drop(listener);
    while open_connections.get() > 0 && !shutdown.stop.is_cancelled() {
        compio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

async fn serve_connection<F, H>(
    stream: compio::net::TcpStream,
    limits: Limits,
    shutdown: Shutdown,
    handler: H,
) where
    F: Future<Output = Response> + 'static,
    H: Fn(Request) -> F + 'static,
{
    let io = match Stream::new(stream) {
        Ok(stream) => StallGuard::new(stream, limits.write_timeout),
        Err(e) => {
            event!(debug, "connection_failed", reason = e);
            return;
        }
    };
    let answer = shutdown.answer.clone();
    let service = service_fn(move |req: Request| {
        let (method, uri) = (req.method().clone(), req.uri().clone());
        let (response, answer) = (handler(req), answer.clone());
        async move {
            let mut response = std::pin::pin!(response.fuse());
            let mut unfinished = std::pin::pin!(answer.cancelled().fuse());
            // A request that arrives now may still be refused as not run, which says more.
            let response = select_biased! {
                response = response => response,
                () = unfinished => {
                    event!(warn, "answered_at_stop", method = method, path = uri.path());
                    let mut response = error(ResultCode::DeadlineExceeded, "the instance stops", 0);
                    // The drain may not have reached this connection: an entry drains once its steps are closed.
                    let close = http::HeaderValue::from_static("close");
                    response.headers_mut().insert(http::header::CONNECTION, close);
                    response
                }
            };
            Ok::<_, Infallible>(response)
        }
    });
    let mut connection = std::pin::pin!(
        http1::Builder::new()
            .timer(CompioTimer)
            .header_read_timeout(limits.head_timeout)
            .max_buf_size(limits.buffer_bytes)
            .serve_connection(io, service)
    );
    let mut stopped = std::pin::pin!(shutdown.stop.cancelled().fuse());
    let mut drained = std::pin::pin!(shutdown.drain.cancelled().fuse());
    loop {
        select! {
            ended = (&mut connection).fuse() => {
                if let Err(e) = ended {
                    event!(debug, "connection_failed", reason = e);
                }
                return;
            }
            () = drained => connection.as_mut().graceful_shutdown(),
            () = stopped => return,
        }
    }
}

/// Reads a complete body within the limits.
///
/// # Errors
///
/// Returns the result code of a body that is too large, too slow or truncated.
pub async fn read_body(body: Incoming, limits: &Limits) -> Result<Bytes, ResultCode> {
    // An oversized declared length is refused before the client has sent the body.
    if body.size_hint().lower() > limits.body_bytes as u64 {
        return Err(ResultCode::BodyTooLarge);
    }
    let limited = Limited::new(body, limits.body_bytes);
    match compio::time::timeout(limits.body_timeout, limited.collect()).await {
        Err(_) => Err(ResultCode::RequestTimeout),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(ResultCode::BodyTooLarge),
        Ok(Err(_)) => Err(ResultCode::BadRequest),
    }
}

/// Body of an error response to callers, trainers and upstreams; see `docs/result-codes.md`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Number of the result code.
    pub code: u32,
    /// Stable name of the result code.
    pub name: String,
    /// Human-readable message.
    pub message: String,
    /// True when the request did not run on any upstream.
    pub not_run: bool,
    /// Time after which a retry may succeed, 0 when a retry is not useful.
    pub retry_after_ms: u32,
}

/// Builds the response for a result code; `detail` is appended to its text.
pub fn error(code: ResultCode, detail: &str, retry_after_ms: u32) -> Response {
    let message = if detail.is_empty() { code.to_string() } else { format!("{code}: {detail}") };
    let not_run = code.not_run();
    let body =
        ErrorBody { code: code.number(), name: code.name(), message, not_run, retry_after_ms };
    let mut response = json(code.http_status(), &body);
    if retry_after_ms > 0 {
        let seconds = retry_after_ms.div_ceil(1000);
        response.headers_mut().insert(http::header::RETRY_AFTER, seconds.into());
    }
    response
}

/// Builds a response with a JSON body.
pub fn json(status: u16, body: &impl Serialize) -> Response {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    full_response(status, "application/json", bytes)
}

/// Builds a response with a buffered body of the given content type.
pub fn full_response(status: u16, content_type: &str, body: impl Into<Bytes>) -> Response {
    let body = Full::new(body.into()).map_err(|never| match never {});
    let mut response = http::Response::new(body.boxed_unsync());
    *response.status_mut() =
        http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    if let Ok(value) = http::HeaderValue::from_str(content_type) {
        response.headers_mut().insert(http::header::CONTENT_TYPE, value);
    }
    response
}

/// Builds the response to `/live`, `/ready` and `/metrics`; `None` for any other path.
pub fn platform_endpoint(
    req: &Request,
    ready: Result<(), &str>,
    render: impl Fn() -> String,
) -> Option<Response> {
    match req.uri().path() {
        "/live" => Some(full_response(200, "text/plain", "live\n")),
        "/ready" => Some(match ready {
            Ok(()) => full_response(200, "text/plain", "ready\n"),
            Err(reason) => full_response(503, "text/plain", format!("{reason}\n")),
        }),
        "/metrics" => Some(full_response(200, "text/plain; version=0.0.4", render())),
        _ => None,
    }
}
