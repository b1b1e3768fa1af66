//! TCP relay in front of an inner port. It counts bytes and cuts and heals links by the name of the connecting process.

use std::{
    cell::{Cell, OnceCell, RefCell},
    collections::HashSet,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::{
    BufResult,
    buf::{IntoInner, IoBuf},
    io::{AsyncRead, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime,
};
use futures_util::{FutureExt, select};
use tokio_util::sync::CancellationToken;

/// Time between two checks whether a link is still cut.
const CUT_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// A failed lookup of the sender is repeated until the connection has this age. If the sender of an older connection is
/// not found, it has closed the connection.
const LOOKUP_RETRY_AGE: Duration = Duration::from_millis(300);
/// Size of the read buffer in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Returns the name of the process that opened the connection with this peer address. The name is empty for an unknown
/// process, and `None` when there is no such connection.
pub type SenderLookup = Rc<dyn Fn(SocketAddr) -> Option<String>>;

/// Connecting process. It is looked up only when a link is cut: each lookup reads the machine's table of connections,
/// which took 25 ms on a busy machine. A lookup at every accept starved the driver while daemons were connecting.
struct Sender {
    peer: SocketAddr,
    lookup: SenderLookup,
    accepted_at: Instant,
    /// Result of the lookup; `None` inside the cell when the sender has closed the connection.
    name: OnceCell<Option<String>>,
}

impl Sender {
    /// Whether the sender is among the names.
    ///
    /// A sender that is not found has closed its connection, or the connection is newer than the cached table. It
    /// counts as being among the names, so that no bytes pass a cut link.
    fn is_among(&self, names: &HashSet<String>) -> bool {
        if self.name.get().is_none() {
            let name = (self.lookup)(self.peer);
            if name.is_none() && self.accepted_at.elapsed() < LOOKUP_RETRY_AGE {
                return true;
            }
            drop(self.name.set(name));
        }
        self.name.get().and_then(Option::as_ref).is_none_or(|name| names.contains(name))
    }
}

#[derive(Default)]
struct Links {
    cut_senders: RefCell<HashSet<String>>,
    all_cut: Cell<bool>,
    replies_held: Cell<bool>,
    connections_token: RefCell<CancellationToken>,
    bytes: Cell<u64>,
}

impl Links {
    fn is_cut(&self, sender: &Sender) -> bool {
        self.all_cut.get()
            || (!self.cut_senders.borrow().is_empty()
                && sender.is_among(&self.cut_senders.borrow()))
    }

    async fn wait_until_reply_allowed(&self, sender: &Sender) {
        while self.replies_held.get() {
            compio::time::sleep(CUT_CHECK_INTERVAL).await;
        }
        self.wait_until_healed(sender).await;
    }

    /// Waits while the link is cut. The bytes are delayed and not lost, as in a network partition.
    async fn wait_until_healed(&self, sender: &Sender) {
        while self.is_cut(sender) {
            compio::time::sleep(CUT_CHECK_INTERVAL).await;
        }
    }
}

/// Relay of one inner port. A cut link holds its bytes in both directions and delivers them when it is healed.
pub struct Relay {
    links: Rc<Links>,
    token: CancellationToken,
}

impl std::fmt::Debug for Relay {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Relay").field("bytes", &self.bytes()).finish_non_exhaustive()
    }
}

impl Relay {
    /// Listens on an address and forwards every connection to the target address.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when the address cannot be bound.
    pub async fn start(
        address: &str,
        target: &str,
        sender_lookup: SenderLookup,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let relay = Self { links: Rc::default(), token: CancellationToken::new() };
        // The default token of the links is not a child of the relay's token; the new one is.
        relay.reset_connections();
        let (links, token, target) = (relay.links.clone(), relay.token.clone(), target.to_owned());
        runtime::spawn(async move {
            loop {
                let mut accept = std::pin::pin!(listener.accept().fuse());
                let mut cancelled = std::pin::pin!(token.cancelled().fuse());
                let accepted = select! { accepted = accept => accepted, () = cancelled => return };
                let Ok((stream, peer)) = accepted else { continue };
                let sender = Sender {
                    peer,
                    lookup: sender_lookup.clone(),
                    accepted_at: Instant::now(),
                    name: OnceCell::new(),
                };
                let (links, target) = (links.clone(), target.clone());
                let token = links.connections_token.borrow().clone();
                runtime::spawn(async move {
                    let mut forwarded =
                        std::pin::pin!(forward(stream, &target, &sender, &links).fuse());
                    let mut cancelled = std::pin::pin!(token.cancelled().fuse());
                    select! { _ = forwarded => (), () = cancelled => () }
                })
                .detach();
            }
        })
        .detach();
        Ok(relay)
    }

    /// Cuts the link from a process.
    pub fn cut(&self, sender: &str) {
        self.links.cut_senders.borrow_mut().insert(sender.to_owned());
    }

    /// Heals the link from a process.
    pub fn heal(&self, sender: &str) {
        self.links.cut_senders.borrow_mut().remove(sender);
    }

    /// Cuts the links from all processes, including unknown ones.
    pub fn cut_all(&self) {
        self.links.all_cut.set(true);
    }

    /// Heals all links.
    pub fn heal_all(&self) {
        self.links.all_cut.set(false);
        self.links.cut_senders.borrow_mut().clear();
    }

    /// Holds back all replies; requests still pass.
    pub fn hold_replies(&self) {
        self.links.replies_held.set(true);
    }

    /// Closes every connection and so discards the replies that are held back; later replies pass again.
    pub fn discard_held_replies(&self) {
        self.reset_connections();
        self.links.replies_held.set(false);
    }

    fn reset_connections(&self) {
        self.links.connections_token.replace(self.token.child_token()).cancel();
    }

    /// Bytes forwarded in both directions so far.
    pub fn bytes(&self) -> u64 {
        self.links.bytes.get()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.token.cancel();
    }
}

async fn forward(
    stream: TcpStream,
    target: &str,
    sender: &Sender,
    links: &Links,
) -> io::Result<()> {
    links.wait_until_healed(sender).await;
    let upstream = TcpStream::connect(target).await?;
    stream.set_nodelay(true)?;
    upstream.set_nodelay(true)?;
    let delay_request = || links.wait_until_healed(sender);
    let delay_reply = || links.wait_until_reply_allowed(sender);
    let mut requests =
        std::pin::pin!(copy_bytes(stream.clone(), upstream.clone(), delay_request, links).fuse());
    let mut replies = std::pin::pin!(copy_bytes(upstream, stream, delay_reply, links).fuse());
    // When one direction ends, the connection is closed: the inner protocol does not use half-closed connections.
    select! { ended = requests => ended, ended = replies => ended }
}

async fn copy_bytes<F: Future<Output = ()>>(
    mut from: TcpStream,
    mut to: TcpStream,
    delay: impl Fn() -> F,
    links: &Links,
) -> io::Result<()> {
    let mut buf = Vec::with_capacity(BUFFER_BYTES);
    loop {
        buf.clear();
        let BufResult(read, filled) = from.read(buf).await;
        let count = read?;
        if count == 0 {
            return to.shutdown().await;
        }
        delay().await;
        links.bytes.set(links.bytes.get() + count as u64);
        let BufResult(written, slice) = to.write_all(filled.slice(..count)).await;
        written?;
        buf = slice.into_inner();
    }
}
