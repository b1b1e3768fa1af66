//! Paths from one gateway to the upstreams, which can be cut while other gateways still reach them.
//!
//! All gateways learn the same address of an upstream. Therefore a gateway here reaches the stores through a proxy that
//! replaces the addresses of upstreams in their replies by those of listeners of its own.

use std::{
    collections::HashMap,
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    sync::{Arc, Mutex, MutexGuard, atomic::Ordering},
    thread,
    time::Duration,
};

use orioleworks_proto::{frames::FrameCodec, inner::frame::Body};
use tokio_util::{
    bytes::BytesMut,
    codec::{Decoder, Encoder},
};

use super::{
    deployment::loopback_ip,
    proxy::{self, Faults},
};

/// Role of the addresses at which the first gateway sees the stores.
const FIRST_ROLE: u8 = 4;

/// How the paths of a gateway are cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// New connections hang, open ones go quiet.
    Silent,
    /// New connections are refused, open ones are reset.
    Reset,
    /// New connections are refused, open ones live on.
    Refuse,
}

/// State of the path to one upstream.
#[derive(Default)]
struct PathState {
    cut: Option<Cut>,
    /// Faults of the connections that are open.
    faults: Arc<Faults>,
}

/// A listener in place of one upstream.
#[derive(Clone)]
struct UpstreamPath {
    address: String,
    to: String,
    state: Arc<Mutex<PathState>>,
}

/// Paths of one gateway; clones share them.
#[derive(Clone)]
pub struct GatewayPaths {
    gateway: usize,
    stores: usize,
    inner_port: u16,
    paths: Arc<Mutex<HashMap<String, UpstreamPath>>>,
    cut: Arc<Mutex<Option<Cut>>>,
}

impl GatewayPaths {
    /// Starts the proxies through which a gateway reaches the stores.
    pub fn start(gateway: usize, stores: usize, inner_port: u16) -> Self {
        let paths =
            Self { gateway, stores, inner_port, paths: Arc::default(), cut: Arc::default() };
        for store in 0..stores {
            let listener = TcpListener::bind(paths.store_address(store)).unwrap();
            let to = format!("{}:{inner_port}", loopback_ip(1, store));
            let paths = paths.clone();
            thread::spawn(move || {
                for client in listener.incoming().flatten() {
                    let Ok(server) = TcpStream::connect(&to) else { continue };
                    let (client_in, server_in) =
                        (client.try_clone().unwrap(), server.try_clone().unwrap());
                    thread::spawn(move || {
                        proxy::forward(client_in, server, &Faults::default(), |f| &f.hold_requests)
                    });
                    let paths = paths.clone();
                    thread::spawn(move || drop(paths.rewrite_replies(server_in, client)));
                }
            });
        }
        paths
    }

    fn role(&self) -> u8 {
        FIRST_ROLE + u8::try_from(self.gateway).unwrap()
    }

    fn store_address(&self, store: usize) -> String {
        format!("{}:{}", loopback_ip(self.role(), store), self.inner_port)
    }

    /// Addresses of the stores for the settings of the gateway.
    pub fn seeds(&self) -> String {
        let seeds: Vec<String> =
            (0..self.stores).map(|i| format!("\"{}\"", self.store_address(i))).collect();
        seeds.join(", ")
    }

    /// Cuts the paths to all upstreams, or ends the cut.
    pub fn set_cut(&self, cut: Option<Cut>) {
        *self.cut.lock().unwrap() = cut;
        for path in self.lock().values() {
            path.set_cut(cut);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, UpstreamPath>> {
        self.paths.lock().unwrap()
    }

    fn path_to(&self, upstream: &str) -> String {
        let cut = *self.cut.lock().unwrap();
        let mut paths = self.lock();
        let start = || UpstreamPath::start(upstream, cut);
        paths.entry(upstream.to_owned()).or_insert_with(start).address.clone()
    }

    fn rewrite_replies(&self, mut from: TcpStream, mut to: TcpStream) -> std::io::Result<()> {
        to.set_nodelay(true)?;
        let (mut codec, mut bytes, mut part) =
            (FrameCodec::default(), BytesMut::new(), vec![0; 64 * 1024]);
        loop {
            let n = from.read(&mut part)?;
            if n == 0 {
                return Ok(());
            }
            bytes.extend_from_slice(&part[..n]);
            while let Some(mut frame) = codec.decode(&mut bytes)? {
                if let Some(Body::FleetReply(reply)) = &mut frame.body {
                    for upstream in &mut reply.upstreams {
                        upstream.address = self.path_to(&upstream.address);
                    }
                    reply.stores = (0..self.stores).map(|i| self.store_address(i)).collect();
                }
                let mut out = BytesMut::new();
                codec.encode(frame, &mut out)?;
                to.write_all(&out)?;
            }
        }
    }
}

impl UpstreamPath {
    fn start(to: &str, cut: Option<Cut>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let path = Self { address, to: to.to_owned(), state: Arc::default() };
        path.set_cut(cut);
        let accepting = path.clone();
        thread::spawn(move || accepting.accept(listener));
        path
    }

    fn set_cut(&self, cut: Option<Cut>) {
        let mut state = self.state.lock().unwrap();
        state.cut = cut;
        let quiet = cut == Some(Cut::Silent);
        state.faults.hold_requests.store(quiet, Ordering::Relaxed);
        state.faults.hold_replies.store(quiet, Ordering::Relaxed);
        if cut == Some(Cut::Reset) {
            state.faults.resets.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn cut(&self) -> Option<Cut> {
        self.state.lock().unwrap().cut
    }

    fn accept(&self, listener: TcpListener) {
        const CHECK_INTERVAL: Duration = Duration::from_millis(2);
        let mut listener = Some(listener);
        // Connections that fill the queue of the listener, so that further ones hang.
        let mut filling: Vec<TcpStream> = Vec::new();
        loop {
            match self.cut() {
                Some(Cut::Silent) if filling.is_empty() => filling = fill_queue(&self.address),
                Some(Cut::Silent) => {}
                Some(Cut::Reset | Cut::Refuse) => listener = None,
                None => {
                    filling.clear();
                    if listener.is_none() {
                        listener = TcpListener::bind(&self.address).ok();
                    }
                    self.accept_all(listener.as_ref());
                }
            }
            thread::sleep(CHECK_INTERVAL);
        }
    }

    /// Accepts what waits.
    fn accept_all(&self, listener: Option<&TcpListener>) {
        let Some(listener) = listener else { return };
        listener.set_nonblocking(true).unwrap();
        while let Ok((client, _)) = listener.accept() {
            client.set_nonblocking(false).unwrap();
            let Ok(server) = TcpStream::connect(&self.to) else { continue };
            let (client_in, server_in) = (client.try_clone().unwrap(), server.try_clone().unwrap());
            let faults = self.state.lock().unwrap().faults.clone();
            let reply_faults = faults.clone();
            thread::spawn(move || proxy::forward(client_in, server, &faults, |f| &f.hold_requests));
            thread::spawn(move || {
                proxy::forward(server_in, client, &reply_faults, |f| &f.hold_replies)
            });
        }
    }
}

/// Opens connections that nobody accepts until one hangs.
fn fill_queue(address: &str) -> Vec<TcpStream> {
    const HANG_TIME: Duration = Duration::from_millis(100);
    const MAX_QUEUE: usize = 5000;
    let address = address.parse().unwrap();
    let connect = || TcpStream::connect_timeout(&address, HANG_TIME).ok();
    std::iter::from_fn(connect).take(MAX_QUEUE).collect()
}
