//! RPC over the inner protocol: a connection carries concurrent requests, and replies are matched by request ID.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    future::Future,
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::{
    net::{TcpListener, TcpStream},
    runtime,
};
use displaydoc::Display;
use futures_channel::{mpsc, oneshot};
use futures_util::{FutureExt, SinkExt, StreamExt, select};
use orioleworks_proto::{
    frames,
    inner::{self, frame::Body},
};
use tokio_util::sync::CancellationToken;

use crate::event;

/// Maximum number of concurrent requests on one connection; at the limit no frame is read until a request finishes.
const MAX_CONCURRENT_REQUESTS: usize = 1024;
/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of frames queued for writing on one connection.
const WRITE_QUEUE_FRAMES: usize = 256;

/// Why a call has no reply.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum RpcError {
    /// cannot connect to {0}
    Unreachable(String),
    /// the connection was lost after the request may have been sent
    ConnectionLost,
    /// no reply in time
    Timeout,
    /// the reply has an unexpected type
    Unexpected,
}

impl std::error::Error for RpcError {}

/// Serves every connection in a separate task until the token is cancelled; the handler returns the reply to one
/// request, or `None` to send no reply.
pub async fn serve<F, H>(listener: TcpListener, token: CancellationToken, handler: H)
where
    F: Future<Output = Option<Body>> + 'static,
    H: Fn(Body) -> F + Clone + 'static,
{
    const ACCEPT_RETRY_DELAY_MS: u64 = 50;
    loop {
        let mut accept = std::pin::pin!(listener.accept().fuse());
        let mut cancelled = std::pin::pin!(token.cancelled().fuse());
        let accepted = select! { accepted = accept => accepted, () = cancelled => return };
        match accepted {
            Ok((stream, peer)) => {
                let (token, handler) = (token.child_token(), handler.clone());
                runtime::spawn(async move {
                    if let Err(e) = serve_connection(stream, token, handler).await {
                        event!(warn, "inner_connection_closed", peer = peer, reason = e);
                    }
                })
                .detach();
            }
            Err(e) => {
                event!(warn, "accept_failed", reason = e);
                compio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
            }
        }
    }
}

async fn serve_connection<F, H>(
    stream: TcpStream,
    token: CancellationToken,
    handler: H,
) -> io::Result<()>
where
    F: Future<Output = Option<Body>> + 'static,
    H: Fn(Body) -> F + 'static,
{
    let (mut source, sink) = frames::split(stream)?;
    let (tx, rx) = mpsc::channel::<inner::Frame>(WRITE_QUEUE_FRAMES);
    spawn_writer(sink, rx, token.clone());
    let running = Rc::new(Cell::new(0_usize));
    loop {
        while running.get() >= MAX_CONCURRENT_REQUESTS {
            compio::time::sleep(Duration::from_millis(1)).await;
        }
        let mut next = std::pin::pin!(source.next().fuse());
        let mut cancelled = std::pin::pin!(token.cancelled().fuse());
        let frame = select! { frame = next => frame, () = cancelled => return Ok(()) };
        let Some(frame) = frame.transpose()? else { return Ok(()) };
        let Some(body) = frame.body else { continue };
        let handled = handler(body);
        let (mut tx, running) = (tx.clone(), running.clone());
        running.set(running.get() + 1);
        runtime::spawn(async move {
            if let Some(body) = handled.await {
                let reply = inner::Frame { request_id: frame.request_id, body: Some(body) };
                drop(tx.send(reply).await);
            }
            running.set(running.get() - 1);
        })
        .detach();
    }
}

type PendingReplies = Rc<RefCell<HashMap<u64, oneshot::Sender<Body>>>>;

struct Connection {
    tx: mpsc::Sender<inner::Frame>,
    pending: PendingReplies,
    closed: CancellationToken,
    /// Time of the last frame from the peer.
    last_seen: Rc<Cell<Instant>>,
}

/// Client of one peer; it connects when first used and again after the connection is lost. Clones share the connection.
#[derive(Clone)]
pub struct Client {
    address: Rc<str>,
    connection: Rc<RefCell<Option<Connection>>>,
    connecting: Rc<futures_util::lock::Mutex<()>>,
    next_id: Rc<Cell<u64>>,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Client").field("address", &self.address).finish_non_exhaustive()
    }
}

impl Client {
    /// Client of the peer at an address given as IP and port.
    pub fn new(address: impl Into<Rc<str>>) -> Self {
        Self {
            address: address.into(),
            connection: Rc::default(),
            connecting: Rc::default(),
            next_id: Rc::new(Cell::new(1)),
        }
    }

    /// Address of the peer.
    pub fn address(&self) -> Rc<str> {
        self.address.clone()
    }

    /// Sends a request and waits for its reply.
    ///
    /// # Errors
    ///
    /// [`RpcError::Unreachable`] guarantees that nothing was sent; after any other error the request may have arrived.
    pub async fn call(&self, body: Body, timeout: Duration) -> Result<Body, RpcError> {
        let (mut tx, pending) = self.connect().await?;
        let sent_at = Instant::now();
        let request_id = self.next_id.replace(self.next_id.get() + 1);
        let (reply_tx, reply_rx) = oneshot::channel();
        pending.borrow_mut().insert(request_id, reply_tx);
        // Removes the pending reply also when the caller drops this future.
        let _guard = PendingGuard { pending: pending.clone(), request_id };
        if tx.send(inner::Frame { request_id, body: Some(body) }).await.is_err() {
            return Err(RpcError::ConnectionLost);
        }
        match compio::time::timeout(timeout, reply_rx).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(_)) => Err(RpcError::ConnectionLost),
            Err(_) => {
                self.disconnect_if_silent_since(sent_at);
                Err(RpcError::Timeout)
            }
        }
    }

    /// Closes the connection if no frame has arrived on it since a request was sent: a network path can stop delivering
    /// without a reset, while a new connection works.
    fn disconnect_if_silent_since(&self, sent_at: Instant) {
        let silent = self.connection.borrow().as_ref().is_some_and(|c| c.last_seen.get() < sent_at);
        if silent {
            event!(info, "silent_connection_closed", peer = self.address);
            self.disconnect();
        }
    }

    async fn connect(&self) -> Result<(mpsc::Sender<inner::Frame>, PendingReplies), RpcError> {
        // One connection attempt at a time; the others wait for its result.
        let _connecting = self.connecting.lock().await;
        if let Some(connection) = &*self.connection.borrow()
            && !connection.closed.is_cancelled()
        {
            return Ok((connection.tx.clone(), connection.pending.clone()));
        }
        let unreachable = || RpcError::Unreachable(self.address.to_string());
        let stream = compio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(&*self.address))
            .await
            .map_err(|_| unreachable())?
            .map_err(|_| unreachable())?;
        let connection = start_connection(stream).map_err(|_| unreachable())?;
        let parts = (connection.tx.clone(), connection.pending.clone());
        *self.connection.borrow_mut() = Some(connection);
        Ok(parts)
    }

    /// Closes the connection; the next call opens a new one.
    pub fn disconnect(&self) {
        if let Some(connection) = self.connection.borrow_mut().take() {
            connection.closed.cancel();
        }
    }
}

struct PendingGuard {
    pending: PendingReplies,
    request_id: u64,
}

impl Drop for PendingGuard {
    fn drop(&mut self) {
        self.pending.borrow_mut().remove(&self.request_id);
    }
}

fn start_connection(stream: TcpStream) -> io::Result<Connection> {
    let (mut source, sink) = frames::split(stream)?;
    let (tx, rx) = mpsc::channel::<inner::Frame>(WRITE_QUEUE_FRAMES);
    let pending = PendingReplies::default();
    let closed = CancellationToken::new();
    spawn_writer(sink, rx, closed.clone());
    let last_seen = Rc::new(Cell::new(Instant::now()));
    let (reader_pending, reader_closed) = (pending.clone(), closed.clone());
    let reader_last_seen = last_seen.clone();
    runtime::spawn(async move {
        loop {
            let mut next = std::pin::pin!(source.next().fuse());
            let mut cancelled = std::pin::pin!(reader_closed.cancelled().fuse());
            let frame = select! { frame = next => frame, () = cancelled => None };
            let Some(Ok(inner::Frame { request_id, body: Some(body) })) = frame else { break };
            reader_last_seen.set(Instant::now());
            // A reply without a pending request is late: its caller has timed out or was cancelled.
            if let Some(reply_tx) = reader_pending.borrow_mut().remove(&request_id) {
                drop(reply_tx.send(body));
            }
        }
        reader_closed.cancel();
        reader_pending.borrow_mut().clear();
    })
    .detach();
    Ok(Connection { tx, pending, closed, last_seen })
}

/// Writes frames until the token is cancelled, and cancels it when a write fails.
fn spawn_writer(
    mut sink: frames::FrameWriter,
    mut rx: mpsc::Receiver<inner::Frame>,
    token: CancellationToken,
) {
    runtime::spawn(async move {
        loop {
            let mut next = std::pin::pin!(rx.next().fuse());
            let mut cancelled = std::pin::pin!(token.cancelled().fuse());
            let frame = select! { frame = next => frame, () = cancelled => None };
            let Some(frame) = frame else { break };
            if sink.send(frame).await.is_err() {
                break;
            }
        }
        token.cancel();
    })
    .detach();
}
