//! Connections to upstreams: one request at a time on each, kept for the next request of the same upstream.
//!
//! A connection belongs to one incarnation of an upstream, so that a request is never sent on a connection to an
//! earlier incarnation at the same address. Dropping an [`Exchange`] closes its connection, which tells the upstream to
//! stop.
//!
//! A response counts only if its head is one that a caller may get, and if it belongs to the request that was sent on its
//! connection last; see `docs/platform.md`, "Responses and their requests".

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    rc::Rc,
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::{net::TcpStream, runtime};
use displaydoc::Display;
use futures_util::{FutureExt, select, select_biased};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::{Body, Incoming},
    client::conn::http1,
    ext,
};
use orioleworks_daemon::{event, stream::Stream};
use orioleworks_platform::{
    caller,
    upstream::{self, Correlation, IdleNotice},
};
use orioleworks_routing::{fleet::Fleet, outlier::Key};
use tokio_util::sync::CancellationToken;

use crate::unusable;

/// Longest time to connect; connecting takes one round trip and about 1 ms at the upstream.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which the kernel gives up a connection whose peer does not acknowledge a request that must not arrive late. A
/// paused process closes no connection, and the kernel would go on sending until the end of a partition.
const UNRECEIVED_TIMEOUT: Duration = Duration::from_millis(1000);
/// Idle time after which a connection is not used again if the upstream states no idle time that can be used.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Share of the stated idle time of an upstream for which a connection is used again, in percent; the rest covers the
/// transit time of a request that is sent just before the upstream closes the connection.
const IDLE_PERCENT: u32 = 80;
/// Largest head of a response, and the unit in which a body is read. An upstream in trouble may send bytes without end.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Interim heads (1xx) before a response; upstreams send one or two. Without a bound, an upstream that sends nothing else
/// would look silent until the end of the request's time.
const MAX_INTERIM_HEADS: u32 = 8;
/// Largest body that is read only to keep its connection.
const MAX_DISCARDED_BYTES: usize = 64 * 1024;
/// Longest time to read such a body.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle connections kept for one upstream, of which an engine has 8 to 12 slots and a service may have more.
const MAX_IDLE: usize = 32;
/// Idle connections kept altogether: those to all slots of 50 engines, which the next step uses again. They take 16 MB.
const MAX_IDLE_ALL: usize = 600;
/// Attempts without a success that are remembered for a connection before it is closed.
const MAX_UNSUCCESSFUL: usize = 16;

/// Why a request got no complete response.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SendError {
    /// cannot connect: {0}; nothing was sent
    NotSent(String),
    /// cannot connect: {0}; nothing was sent
    Refused(String),
    /// the connection broke after the request was sent: {0}
    Broken(String),
    /// what came back is no response: {0}
    Invalid(String),
    /// no answer in time
    Timeout,
    /// a response that does not belong to the request came first: {0}
    Unmatched(String),
}

impl std::error::Error for SendError {}

/// A connection that no request uses; dropping it closes it.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    /// Drives the connection; dropping it closes the connection.
    #[allow(dead_code)]
    task: runtime::JoinHandle<()>,
    reusable_until: Instant,
    /// Time of the return to the pool.
    idle_since: Instant,
    /// Whether a response has arrived on it, of which a copy may follow.
    used: bool,
    /// Attempts that got no success on it. A late copy of that response could not be told from the response to a repeat
    /// under the same ID.
    unsuccessful: Vec<Rc<str>>,
}

impl Connection {
    /// Whether every response to an attempt could be told from a late copy of an earlier one.
    fn suits(&self, attempt: Option<&str>) -> bool {
        !self.unsuccessful.iter().any(|earlier| attempt == Some(earlier))
    }

    /// Checks that a response belongs to the attempt that was sent last.
    fn check_response(
        &self,
        attempt: Option<&str>,
        head: &http::response::Parts,
    ) -> Result<(), SendError> {
        let reason = match upstream::correlate(attempt, &head.headers) {
            Correlation::Matching => return Ok(()),
            // Nothing was sent before that it could belong to.
            Correlation::Unnamed if !self.used => return Ok(()),
            Correlation::Unnamed => "it names no attempt",
            Correlation::Other => "it names another attempt",
        };
        Err(SendError::Unmatched(reason.into()))
    }
}

/// Idle connections by upstream, those that were used last at the end.
#[derive(Default)]
struct Idle(HashMap<Key, Vec<Connection>>);

impl Idle {
    fn push(&mut self, key: Key, connection: Connection) {
        let kept = self.0.entry(key).or_default();
        kept.push(connection);
        if kept.len() > MAX_IDLE {
            kept.remove(0);
        } else if self.0.values().map(Vec::len).sum::<usize>() > MAX_IDLE_ALL {
            self.remove_longest_idle();
        }
    }

    fn remove_longest_idle(&mut self) {
        let oldest = |kept: &Vec<Connection>| kept.first().map(|c| c.idle_since);
        let used = self.0.values_mut().filter(|kept| !kept.is_empty());
        if let Some(kept) = used.min_by_key(|kept| oldest(kept)) {
            kept.remove(0);
        }
    }
}

impl std::fmt::Debug for Connection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Connection").finish_non_exhaustive()
    }
}

/// Pool of connections; clones share it.
#[derive(Clone, Default)]
pub struct Pool {
    idle: Rc<RefCell<Idle>>,
    /// Tells which upstreams leave; their connections are not kept.
    fleet: Rc<RefCell<Fleet>>,
    opened: Rc<Cell<u64>>,
    /// Whether a connection discards what its peer has not received when it is closed, or for [`UNRECEIVED_TIMEOUT`].
    discards_unreceived: bool,
    unusable: unusable::Reports,
}

impl std::fmt::Debug for Pool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Pool").field("opened", &self.opened.get()).finish_non_exhaustive()
    }
}

/// A request whose response head has arrived; the body of the response is still to be read.
pub struct Exchange {
    /// Head of the response.
    pub head: http::response::Parts,
    body: Incoming,
    connection: Connection,
    key: Key,
    pool: Pool,
}

impl std::fmt::Debug for Exchange {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Exchange").field("status", &self.head.status).finish_non_exhaustive()
    }
}

impl Pool {
    /// Creates a pool of connections to the upstreams of a fleet.
    pub fn new(fleet: Rc<RefCell<Fleet>>) -> Self {
        Self { fleet, ..Self::default() }
    }

    /// Creates a pool for calls that must not arrive after they were given up. Otherwise the kernel would go on sending a request
    /// whose connection was closed during a partition, and it would arrive long after the partition has ended.
    pub fn without_late_requests() -> Self {
        Self { discards_unreceived: true, ..Self::default() }
    }

    /// Sends a request to an incarnation of an upstream and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] and [`SendError::Refused`] guarantee that nothing was sent to the upstream;
    /// `Refused` tells that no process listens at its address.
    pub async fn send(
        &self,
        address: &str,
        key: &Key,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Exchange, SendError> {
        let kept = self.take_idle(key, caller::attempt_id(req.headers()));
        self.send_with(kept, address, key, req, timeout).await
    }

    /// Like [`Self::send`], for a request whose response names no attempt: on a new connection, where no copy of an earlier
    /// response can take its place.
    ///
    /// # Errors
    ///
    /// As [`Self::send`].
    pub async fn send_on_new(
        &self,
        address: &str,
        key: &Key,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Exchange, SendError> {
        self.send_with(None, address, key, req, timeout).await
    }

    /// Sends a request on a kept connection, or on a new one.
    async fn send_with(
        &self,
        kept: Option<Connection>,
        address: &str,
        key: &Key,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Exchange, SendError> {
        let deadline = Instant::now() + timeout;
        let connection = match kept {
            Some(connection) => connection,
            None => self.connect(address, timeout.min(CONNECT_TIMEOUT)).await?,
        };
        let left = deadline.saturating_duration_since(Instant::now());
        self.send_on(connection, key, req, left).await
    }

    /// Sends a request on a connection to the upstream with the given key. A connection on which a response of another
    /// request arrives is closed, because more of the kind may follow.
    ///
    /// # Errors
    ///
    /// The request may have been sent.
    pub async fn send_on(
        &self,
        mut connection: Connection,
        key: &Key,
        mut req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Exchange, SendError> {
        let attempt: Option<Rc<str>> = caller::attempt_id(req.headers()).map(Rc::from);
        let no_end = limit_interim_heads(&mut req);
        let sent = {
            let sending = compio::time::timeout(timeout, connection.sender.send_request(req));
            let mut sending = std::pin::pin!(sending.fuse());
            let mut no_end = std::pin::pin!(no_end.cancelled().fuse());
            // The first one that is ready wins, so that a response after too many interim heads never counts.
            select_biased! {
                () = no_end => return Err(SendError::Invalid("interim heads without end".into())),
                sent = sending => sent,
            }
        };
        match sent {
            Err(_) => Err(SendError::Timeout),
            Ok(Err(e)) if e.is_parse() => Err(SendError::Invalid(e.to_string())),
            Ok(Err(e)) => Err(SendError::Broken(e.to_string())),
            Ok(Ok(response)) => {
                let (head, body) = Response::into_parts(response);
                check_status(head.status)?;
                if let Err(e) = connection.check_response(attempt.as_deref(), &head) {
                    let (upstream, status) = (&key.0, head.status.as_u16());
                    let request = attempt.as_deref().unwrap_or_default();
                    event!(
                        warn,
                        "response_unmatched",
                        request = request,
                        upstream = upstream,
                        status = status,
                        reason = e
                    );
                    metrics::counter!("orioleworks_unmatched_responses_total").increment(1);
                    return Err(e);
                }
                connection.used = true;
                connection.unsuccessful.extend(attempt.filter(|_| !head.status.is_success()));
                connection.reusable_until = Instant::now() + self.reusable_for(key, &head);
                Ok(Exchange { head, body, connection, key: key.clone(), pool: self.clone() })
            }
        }
    }

    /// Time for which the connection of a response may be used again.
    fn reusable_for(&self, key: &Key, head: &http::response::Parts) -> Duration {
        match upstream::idle_notice(&head.headers) {
            IdleNotice::Timeout(stated) => stated * IDLE_PERCENT / 100,
            IdleNotice::Silent => IDLE_TIMEOUT,
            IdleNotice::Unusable(value) => {
                self.unusable.report(key, "idle_time", value);
                IDLE_TIMEOUT
            }
        }
    }

    /// Takes a kept connection for the request of an attempt.
    pub fn take_idle(&self, key: &Key, attempt: Option<&str>) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.0.get_mut(key)?;
        let now = Instant::now();
        while let Some(i) = kept.iter().rposition(|connection| connection.suits(attempt)) {
            let connection = kept.remove(i);
            if connection.reusable_until > now && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for the next request.
    pub fn keep(&self, key: &Key, connection: Connection) {
        let connection = Connection { idle_since: Instant::now(), ..connection };
        self.idle.borrow_mut().push(key.clone(), connection);
    }

    /// Closes all kept connections.
    pub fn close_all(&self) {
        self.idle.borrow_mut().0.clear();
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// [`SendError::Refused`] if no process listens at the address, otherwise [`SendError::NotSent`].
    pub async fn connect(&self, address: &str, timeout: Duration) -> Result<Connection, SendError> {
        let not_sent = |reason: String| SendError::NotSent(reason);
        let connecting = TcpStream::connect(address);
        let stream = compio::time::timeout(timeout, connecting)
            .await
            .map_err(|_| not_sent("connection timed out".into()))?
            .map_err(|e| match e.kind() {
                io::ErrorKind::ConnectionRefused => SendError::Refused(e.to_string()),
                _ => not_sent(e.to_string()),
            })?;
        if self.discards_unreceived {
            stream.set_zero_linger().map_err(|e| not_sent(e.to_string()))?;
            socket2::SockRef::from(&stream)
                .set_tcp_user_timeout(Some(UNRECEIVED_TIMEOUT))
                .map_err(|e| not_sent(e.to_string()))?;
        }
        let io = Stream::new(stream).map_err(|e| not_sent(e.to_string()))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(io)
            .await
            .map_err(|e| not_sent(e.to_string()))?;
        let task = runtime::spawn(async move {
            // The request in flight gets the error as well.
            drop(connection.await);
        });
        self.opened.set(self.opened.get() + 1);
        metrics::counter!("orioleworks_upstream_connections_total").increment(1);
        let now = Instant::now();
        let (used, unsuccessful) = (false, Vec::new());
        let reusable_until = now + IDLE_TIMEOUT;
        Ok(Connection { sender, task, reusable_until, idle_since: now, used, unsuccessful })
    }

    /// Closes idle connections that have expired, and those to upstreams that leave.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let fleet = self.fleet.borrow();
        self.idle.borrow_mut().0.retain(|key, kept| {
            let leaves = fleet.has_left(key);
            kept.retain(|c| !leaves && c.reusable_until > now && !c.sender.is_closed());
            !kept.is_empty()
        });
    }
}

impl Exchange {
    /// Reads the next part of the body; `None` at its proper end.
    ///
    /// # Errors
    ///
    /// Fails if the connection broke inside the body.
    pub async fn next(&mut self) -> Result<Option<Bytes>, SendError> {
        loop {
            match self.body.frame().await {
                None => return Ok(None),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Some(Err(e)) => return Err(SendError::Broken(e.to_string())),
            }
        }
    }

    /// Reads a body that nobody needs, to keep the connection. Returns at once; a body that is long or slow is given up
    /// together with its connection.
    pub fn discard(self) {
        runtime::spawn(async move {
            drop(self.skip(MAX_DISCARDED_BYTES, DISCARD_TIMEOUT).await);
        })
        .detach();
    }

    /// Reads the rest of a body of which only the end matters, and keeps the connection.
    ///
    /// # Errors
    ///
    /// As [`Exchange::finish`].
    pub async fn skip(self, max_bytes: usize, timeout: Duration) -> Result<(), SendError> {
        self.read_rest(max_bytes, timeout, |_| ()).await
    }

    /// Declared length of the body.
    pub fn declared_length(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Reads the rest of the body and keeps the connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection broke inside the body, or the body is larger than `max_bytes` or did not end in time.
    pub async fn finish(self, max_bytes: usize, timeout: Duration) -> Result<Bytes, SendError> {
        let mut body = Vec::new();
        self.read_rest(max_bytes, timeout, |part| body.extend_from_slice(part)).await?;
        Ok(body.into())
    }

    async fn read_rest(
        mut self,
        max_bytes: usize,
        timeout: Duration,
        mut each: impl FnMut(&[u8]),
    ) -> Result<(), SendError> {
        let mut timer = std::pin::pin!(compio::time::sleep(timeout).fuse());
        let mut len = 0;
        loop {
            let part = {
                let mut next = std::pin::pin!(self.next().fuse());
                select! { part = next => part, () = timer => return Err(SendError::Timeout) }
            }?;
            let Some(part) = part else { break };
            len += part.len();
            if len > max_bytes {
                return Err(SendError::Invalid("the response is too large".into()));
            }
            each(&part);
        }
        self.return_to_pool();
        Ok(())
    }

    /// Keeps the connection for the next request. Call it only after the complete body was read.
    pub fn return_to_pool(self) {
        let closing = self
            .head
            .headers
            .get_all(http::header::CONNECTION)
            .iter()
            .any(|v| v.to_str().is_ok_and(|v| v.to_ascii_lowercase().contains("close")));
        // By their status these have no body. Bytes that an upstream sends all the same may still be on their way, and would be
        // read as the response to the next request.
        let bodiless =
            matches!(self.head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let leaves = self.pool.fleet.borrow().has_left(&self.key);
        let full = self.connection.unsuccessful.len() >= MAX_UNSUCCESSFUL;
        if closing || bodiless || leaves || full || self.connection.sender.is_closed() {
            return;
        }
        self.pool.keep(&self.key, self.connection);
    }
}

/// Token that is cancelled when more interim heads than allowed have come before the response to a request.
fn limit_interim_heads(req: &mut Request<Full<Bytes>>) -> CancellationToken {
    let (exceeded, heads) = (CancellationToken::new(), AtomicU32::new(0));
    let token = exceeded.clone();
    ext::on_informational(req, move |_| {
        if heads.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_HEADS {
            token.cancel();
        }
    });
    exceeded
}

/// Checks that a head may reach a caller as a response. The parser accepts every status from 100 to 999; after 101 the
/// connection carries another protocol, which no request asks for.
fn check_status(status: StatusCode) -> Result<(), SendError> {
    match status.as_u16() {
        200..=599 => Ok(()),
        other => Err(SendError::Invalid(format!("status {other}"))),
    }
}
