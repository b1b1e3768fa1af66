//! HTTP relay between a trainer and an entry. It can drop a response that the entry has already sent.

use std::{cell::Cell, io, rc::Rc};

use compio::{
    BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime,
};
use futures_util::{FutureExt, select};

/// Relays in front of the entries.
pub struct HttpRelays {
    /// Address of each relay, in the order of the entries.
    pub addresses: Vec<String>,
    state: Rc<State>,
}

struct State {
    /// Pairs of entry address and relay address.
    pairs: Vec<(String, String)>,
    responses_to_drop: Cell<u32>,
    dropped: Cell<u32>,
}

impl HttpRelays {
    /// Starts a relay in front of each entry.
    ///
    /// Responses name the owner of a run by the address of the entry, so the relays replace entry addresses by relay
    /// addresses. All addresses must have equal lengths, because the length of a body must not change.
    ///
    /// # Errors
    ///
    /// Returns an error of the operating system, or that two addresses differ in length.
    pub async fn start(entries: &[String]) -> io::Result<Self> {
        let (mut listeners, mut pairs) = (Vec::new(), Vec::new());
        for entry in entries {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let address = listener.local_addr()?.to_string();
            if address.len() != entry.len() {
                return Err(io::Error::other(format!("{address} and {entry} differ in length")));
            }
            pairs.push((entry.clone(), address));
            listeners.push(listener);
        }
        let addresses = pairs.iter().map(|(_, relay)| relay.clone()).collect();
        let state =
            Rc::new(State { pairs, responses_to_drop: Cell::new(0), dropped: Cell::new(0) });
        for (listener, entry) in listeners.into_iter().zip(entries) {
            runtime::spawn(accept(listener, entry.clone(), state.clone())).detach();
        }
        Ok(Self { addresses, state })
    }

    /// Drops the next response of any entry and closes its connection.
    pub fn drop_next_response(&self) {
        self.state.responses_to_drop.set(self.state.responses_to_drop.get() + 1);
    }

    /// Number of responses dropped so far.
    pub fn dropped_responses(&self) -> u32 {
        self.state.dropped.get()
    }
}

async fn accept(listener: TcpListener, entry: String, state: Rc<State>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let (entry, state) = (entry.clone(), state.clone());
        runtime::spawn(async move {
            // If the entry refuses or drops its connection, the trainer only sees its own connection close.
            drop(relay_connection(stream, &entry, &state).await);
        })
        .detach();
    }
}

async fn relay_connection(stream: TcpStream, entry: &str, state: &State) -> io::Result<()> {
    let upstream = TcpStream::connect(entry).await?;
    stream.set_nodelay(true)?;
    upstream.set_nodelay(true)?;
    let mut to_entry = std::pin::pin!(copy_stream(stream.clone(), upstream.clone(), None).fuse());
    let mut to_trainer = std::pin::pin!(copy_stream(upstream, stream, Some(state)).fuse());
    select! { ended = to_entry => ended, ended = to_trainer => ended }
}

async fn copy_stream(
    mut from: TcpStream,
    mut to: TcpStream,
    state: Option<&State>,
) -> io::Result<()> {
    const BUFFER_BYTES: usize = 64 * 1024;
    let mut buf = Vec::with_capacity(BUFFER_BYTES);
    loop {
        buf.clear();
        let BufResult(read, mut filled) = from.read(buf).await;
        if read? == 0 {
            return Ok(());
        }
        if let Some(state) = state {
            if state.responses_to_drop.get() > 0 {
                state.responses_to_drop.set(state.responses_to_drop.get() - 1);
                state.dropped.set(state.dropped.get() + 1);
                return Ok(());
            }
            state.pairs.iter().for_each(|(entry, relay)| replace(&mut filled, entry, relay));
        }
        let BufResult(written, slice) = to.write_all(filled).await;
        written?;
        buf = slice;
    }
}

fn replace(bytes: &mut [u8], from: &str, to: &str) {
    let mut at = 0;
    while at + from.len() <= bytes.len() {
        if bytes[at..].starts_with(from.as_bytes()) {
            bytes[at..at + to.len()].copy_from_slice(to.as_bytes());
            at += to.len();
        } else {
            at += 1;
        }
    }
}
