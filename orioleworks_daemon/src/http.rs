//! HTTP/1.1 server with bounded connections, bodies and waiting times.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    convert::Infallible,
    future::Future,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::{net::TcpListener, runtime};
use cyper_core::CompioTimer;
use futures_util::{FutureExt, select, select_biased};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{
    body::{Body, Frame, Incoming, SizeHint},
    server::conn::http1,
    service::service_fn,
};
use orioleworks_proto::codes::ResultCode;
use serde::{Deserialize, Serialize};

use tokio_util::sync::CancellationToken;

use crate::{
    event,
    memory::{Budget, NoRoom, STEP_BYTES, Share},
    shutdown::Shutdown,
    stall::StallGuard,
    stream::Stream,
};

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

impl Limits {
    /// Buffer per connection of listeners for untrusted clients, in bytes; holds the largest legal head, which is 16 KB.
    pub const SMALL_BUFFER_BYTES: usize = 24 * 1024;

    /// Connections whose buffers take at most a quarter of a process's memory, because no budget charges them.
    pub fn connections_within(memory_mb: usize) -> usize {
        memory_mb * 1024 * 1024 / 4 / Self::SMALL_BUFFER_BYTES
    }
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
    serve_within(listener, limits, Budget::unlimited(), shutdown, handler).await;
}

/// Like [`serve`]; responses are charged to a budget until they are written. When there is no room, the largest shares without
/// progress are ended, which are bodies that stopped or parts of responses that are not read. When no connection is free, the
/// one that has been idle for longest is closed; if none is idle, the body that has gone longest without progress is ended.
pub async fn serve_within<F, H>(
    listener: TcpListener,
    limits: Limits,
    budget: Budget,
    shutdown: Shutdown,
    handler: H,
) where
    F: Future<Output = Response> + 'static,
    H: Fn(Request) -> F + Clone + 'static,
{
    const ACCEPT_RETRY_DELAY_MS: u64 = 50;
    const POLL_INTERVAL_MS: u64 = 5;
    let open_connections = Rc::new(Cell::new(0_usize));
    let idle = Idle::default();
    loop {
        while open_connections.get() >= limits.connections {
            if !idle.close_longest() {
                budget.end_longest_stalled();
            }
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
                let (budget, idle) = (budget.clone(), idle.clone());
                runtime::spawn(async move {
                    serve_connection(stream, limits, budget, idle, shutdown, handler).await;
                    open_connections.set(open_connections.get() - 1);
                })
                .detach();
            }
            Err(e) => {
                event!(warn, "accept_failed", reason = e);
                // There may be no descriptor left.
                idle.close_longest();
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
    budget: Budget,
    idle: Idle,
    shutdown: Shutdown,
    handler: H,
) where
    F: Future<Output = Response> + 'static,
    H: Fn(Request) -> F + 'static,
{
    let (slow, displaced) = (CancellationToken::new(), CancellationToken::new());
    let place = idle.enter(displaced.clone());
    let io = match Stream::new(stream) {
        Ok(stream) => StallGuard::new(stream, limits.write_timeout),
        Err(e) => {
            event!(debug, "connection_failed", reason = e);
            return;
        }
    };
    let answer = shutdown.answer.clone();
    let (slow_reader, service_place) = (slow.clone(), place.clone());
    let service = service_fn(move |req: Request| {
        let busy = service_place.begin();
        let (budget, slow_reader) = (budget.clone(), slow_reader.clone());
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
            let slow = slow_reader;
            let charged = response.map(|body| Charged { body, budget, slow, _busy: busy });
            Ok::<_, Infallible>(charged)
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
    let mut slow = std::pin::pin!(slow.cancelled().fuse());
    let mut displaced = std::pin::pin!(displaced.cancelled().fuse());
    loop {
        select! {
            () = slow => return,
            // Nothing is owed on a connection that has carried no request; on another one the last response is written first.
            () = displaced => {
                if place.is_unused() {
                    return;
                }
                connection.as_mut().graceful_shutdown();
            }
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

/// Body of a response whose parts are charged until they are written. hyper drops it once it has taken all parts; until then
/// the connection is busy.
struct Charged {
    body: UnsyncBoxBody<Bytes, io::Error>,
    budget: Budget,
    slow: CancellationToken,
    _busy: Busy,
}

impl Body for Charged {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        /// Smaller parts of responses fit the buffers that each connection has anyway.
        const CHARGED_BYTES: usize = 4 * 1024;
        let frame = std::task::ready!(Pin::new(&mut self.body).poll_frame(cx));
        let charge = |part: Bytes| match part.len() {
            CHARGED_BYTES.. => self.budget.hold(part, &self.slow),
            _ => part,
        };
        Poll::Ready(frame.map(|frame| frame.map(|frame| frame.map_data(charge))))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Connections on which no request is in progress; clones share them.
#[derive(Clone, Default)]
struct Idle(Rc<RefCell<IdleConnections>>);

#[derive(Default)]
struct IdleConnections {
    /// In the order in which they became idle, so that the first one has been idle for longest.
    waiting: BTreeMap<u64, CancellationToken>,
    next: u64,
    last_logged: Option<Instant>,
}

/// Place of one connection; it leaves when the last clone is dropped.
#[derive(Clone)]
struct Place(Rc<PlaceState>);

struct PlaceState {
    idle: Idle,
    displaced: CancellationToken,
    number: Cell<u64>,
    used: Cell<bool>,
}

/// A request in progress.
struct Busy(Place);

impl Idle {
    fn enter(&self, displaced: CancellationToken) -> Place {
        let (number, used) = (Cell::new(0), Cell::new(false));
        let place = Place(Rc::new(PlaceState { idle: self.clone(), displaced, number, used }));
        place.wait();
        place
    }

    /// Whether there was one.
    fn close_longest(&self) -> bool {
        const LOG_INTERVAL: Duration = Duration::from_secs(1);
        let mut idle = self.0.borrow_mut();
        let Some((_, displaced)) = idle.waiting.pop_first() else { return false };
        displaced.cancel();
        metrics::counter!("orioleworks_idle_connections_closed_total").increment(1);
        let now = Instant::now();
        if idle.last_logged.is_none_or(|last| now.duration_since(last) >= LOG_INTERVAL) {
            idle.last_logged = Some(now);
            event!(warn, "connection_limit_reached", idle = idle.waiting.len());
        }
        true
    }
}

impl Place {
    fn wait(&self) {
        let mut idle = self.0.idle.0.borrow_mut();
        idle.next += 1;
        let number = idle.next;
        idle.waiting.insert(number, self.0.displaced.clone());
        self.0.number.set(number);
    }

    fn begin(&self) -> Busy {
        self.0.idle.0.borrow_mut().waiting.remove(&self.0.number.get());
        self.0.used.set(true);
        Busy(self.clone())
    }

    fn is_unused(&self) -> bool {
        !self.0.used.get()
    }
}

impl Drop for PlaceState {
    fn drop(&mut self) {
        self.idle.0.borrow_mut().waiting.remove(&self.number.get());
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.wait();
    }
}

/// Reads a complete body within the limits; its memory is bounded by nothing else.
///
/// # Errors
///
/// Returns the result code of a body that is too large, too slow or truncated.
pub async fn read_body(body: Incoming, limits: &Limits) -> Result<Bytes, ResultCode> {
    read_body_within(body, limits, &Budget::unlimited()).await
}

/// Reads a complete body within the limits and charges it to a budget as it arrives. The body is held once, and its memory is
/// charged until the last clone of the bytes is dropped.
///
/// # Errors
///
/// Returns the result code of a body that is too large, too slow or truncated, or for which there is no memory.
pub async fn read_body_within(
    body: Incoming,
    limits: &Limits,
    budget: &Budget,
) -> Result<Bytes, ResultCode> {
    // An oversized declared length is refused before the client has sent the body.
    if body.size_hint().lower() > limits.body_bytes as u64 {
        return Err(ResultCode::BodyTooLarge);
    }
    let share = budget.open(CancellationToken::new());
    let closed = share.closed().clone();
    let mut closed = std::pin::pin!(closed.cancelled().fuse());
    let collected = {
        let collecting = collect(body, limits.body_bytes, &share);
        let collecting = compio::time::timeout(limits.body_timeout, collecting);
        let mut collecting = std::pin::pin!(collecting.fuse());
        select_biased! {
            collected = collecting => collected.unwrap_or(Err(ResultCode::RequestTimeout))?,
            () = closed => return Err(ResultCode::BodyMemoryShort),
        }
    };
    share.keep();
    Ok(share.into_bytes(collected))
}

async fn collect(mut body: Incoming, limit: usize, share: &Share) -> Result<Vec<u8>, ResultCode> {
    /// Bodies above this size get an allocation that holds the largest one. Only its touched pages take memory, and the
    /// system's allocator returns it at once when it is freed, because it is larger than what that keeps (32 MB).
    const LARGE_BYTES: usize = 1024 * 1024;
    const LARGE_CAPACITY: usize = 33 * 1024 * 1024;
    /// Most that is allocated at once, because an operator may state any limit. A larger body grows its allocation.
    const MAX_CAPACITY: usize = 256 * 1024 * 1024;
    /// A frame of this size, or smaller ones of `PROGRESS_BYTES` in all, are progress, so that single bytes are none.
    const PROGRESS_FRAME: usize = 4 * 1024;
    const PROGRESS_BYTES: usize = 16 * 1024;
    let no_room = |NoRoom| ResultCode::BodyMemoryShort;
    let (mut bytes, mut charged, mut progress) = (Vec::new(), 0_usize, 0_usize);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ResultCode::BadRequest)?;
        let Ok(part) = frame.into_data() else { continue };
        let len = bytes.len() + part.len();
        if len > limit {
            return Err(ResultCode::BodyTooLarge);
        }
        let needed = if len > LARGE_BYTES {
            len.next_multiple_of(STEP_BYTES)
        } else {
            len.next_power_of_two()
        };
        if needed > charged {
            share.grow(needed - charged).await.map_err(no_room)?;
            charged = needed;
        }
        if part.len() >= PROGRESS_FRAME || len - progress >= PROGRESS_BYTES {
            share.progress();
            progress = len;
        }
        if len > bytes.capacity() {
            let capacity = match len > LARGE_BYTES {
                true => limit.clamp(LARGE_CAPACITY, MAX_CAPACITY).max(needed),
                false => needed,
            };
            let reserved = bytes.try_reserve_exact(capacity - bytes.len());
            reserved.map_err(|_| ResultCode::BodyMemoryShort)?;
        }
        bytes.extend_from_slice(&part);
    }
    Ok(bytes)
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

/// Builds the response to a request for whose body there is no memory. The connection closes, because the rest of the body is not
/// read.
pub fn memory_short() -> Response {
    /// Bodies without progress are ended after a second.
    const RETRY_MS: u32 = 1000;
    let mut response = error(ResultCode::BodyMemoryShort, "", RETRY_MS);
    response
        .headers_mut()
        .insert(http::header::CONNECTION, http::HeaderValue::from_static("close"));
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
