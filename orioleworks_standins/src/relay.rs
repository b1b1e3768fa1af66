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
const CUT_POLL: Duration = Duration::from_millis(10);
/// Age of a connection up to which a failed lookup of its sender is repeated. If the sender of an older connection is
/// not found, it has closed the connection.
const FOUND_WITHIN: Duration = Duration::from_millis(300);
/// Size of the read buffer in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Returns the name of the process that opened the connection with this peer address. The name is empty for an unknown
/// process, and `None` when there is no such connection.
pub type Identify = Rc<dyn Fn(SocketAddr) -> Option<String>>;

/// Connecting process. It is looked up only when a link is cut: each lookup reads the machine's table of connections,
/// which took 25 ms on a busy machine. A lookup at every accept starved the driver while daemons were connecting.
struct Source {
    peer: SocketAddr,
    identify: Identify,
    accepted: Instant,
    /// Result of the lookup; `None` inside the cell when the sender has closed the connection.
    name: OnceCell<Option<String>>,
}

impl Source {
    /// Whether the sender is among the names. A sender that is not found counts as being among them, so that no bytes
    /// pass a cut link: it has closed its connection, or the connection is newer than the cached table.
    fn is_in(&self, names: &HashSet<String>) -> bool {
        if self.name.get().is_none() {
            let found = (self.identify)(self.peer);
            if found.is_none() && self.accepted.elapsed() < FOUND_WITHIN {
                return true;
            }
            drop(self.name.set(found));
        }
        self.name.get().and_then(Option::as_ref).is_none_or(|name| names.contains(name))
    }
}

#[derive(Default)]
struct Links {
    cut: RefCell<HashSet<String>>,
    all_cut: Cell<bool>,
    replies_held: Cell<bool>,
    reset: RefCell<CancellationToken>,
    bytes: Cell<u64>,
}

impl Links {
    fn is_cut(&self, source: &Source) -> bool {
        self.all_cut.get() || (!self.cut.borrow().is_empty() && source.is_in(&self.cut.borrow()))
    }

    async fn pass_reply(&self, source: &Source) {
        while self.replies_held.get() {
            compio::time::sleep(CUT_POLL).await;
        }
        self.pass(source).await;
    }

    /// Waits while the link is cut. The bytes are delayed and not lost, as in a network partition.
    async fn pass(&self, source: &Source) {
        while self.is_cut(source) {
            compio::time::sleep(CUT_POLL).await;
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
    pub async fn start(address: &str, target: &str, identify: Identify) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let relay = Self { links: Rc::default(), token: CancellationToken::new() };
        relay.reset_connections();
        let (links, token, target) = (relay.links.clone(), relay.token.clone(), target.to_owned());
        runtime::spawn(async move {
            loop {
                let mut accept = std::pin::pin!(listener.accept().fuse());
                let mut cancelled = std::pin::pin!(token.cancelled().fuse());
                let accepted = select! { accepted = accept => accepted, () = cancelled => return };
                let Ok((stream, peer)) = accepted else { continue };
                let source = Source {
                    peer,
                    identify: identify.clone(),
                    accepted: Instant::now(),
                    name: OnceCell::new(),
                };
                let (links, target) = (links.clone(), target.clone());
                let token = links.reset.borrow().clone();
                runtime::spawn(async move {
                    let mut passed = std::pin::pin!(pass(stream, &target, &source, &links).fuse());
                    let mut cancelled = std::pin::pin!(token.cancelled().fuse());
                    select! { _ = passed => (), () = cancelled => () }
                })
                .detach();
            }
        })
        .detach();
        Ok(relay)
    }

    /// Cuts the link from a process.
    pub fn cut(&self, source: &str) {
        self.links.cut.borrow_mut().insert(source.to_owned());
    }

    /// Heals the link from a process.
    pub fn heal(&self, source: &str) {
        self.links.cut.borrow_mut().remove(source);
    }

    /// Cuts or heals the links from all processes, including unknown ones.
    pub fn cut_all(&self, cut: bool) {
        self.links.all_cut.set(cut);
        if !cut {
            self.links.cut.borrow_mut().clear();
        }
    }

    /// Holds back all replies; requests still pass.
    pub fn hold_replies(&self) {
        self.links.replies_held.set(true);
    }

    /// Discards the replies that are held back by closing every connection; later replies pass again.
    pub fn lose_replies(&self) {
        self.reset_connections();
        self.links.replies_held.set(false);
    }

    fn reset_connections(&self) {
        self.links.reset.replace(self.token.child_token()).cancel();
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

async fn pass(stream: TcpStream, target: &str, source: &Source, links: &Links) -> io::Result<()> {
    links.pass(source).await;
    let upstream = TcpStream::connect(target).await?;
    stream.set_nodelay(true)?;
    upstream.set_nodelay(true)?;
    let request = || links.pass(source);
    let reply = || links.pass_reply(source);
    let mut there = std::pin::pin!(pump(stream.clone(), upstream.clone(), request, links).fuse());
    let mut back = std::pin::pin!(pump(upstream, stream, reply, links).fuse());
    // When one direction ends, the connection is closed: the inner protocol does not use half-closed connections.
    select! { ended = there => ended, ended = back => ended }
}

async fn pump<F: Future<Output = ()>>(
    mut from: TcpStream,
    mut to: TcpStream,
    wait: impl Fn() -> F,
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
        wait().await;
        links.bytes.set(links.bytes.get() + count as u64);
        let BufResult(written, slice) = to.write_all(filled.slice(..count)).await;
        written?;
        buf = slice.into_inner();
    }
}
