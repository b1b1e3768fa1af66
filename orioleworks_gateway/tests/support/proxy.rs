//! Loopback proxy that delays, holds or resets connections.

use std::{
    io::{Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// Faults that a proxy injects while they are set; held bytes are forwarded afterwards.
#[derive(Debug, Default)]
pub struct Faults {
    /// Delay of each read before it is forwarded, in milliseconds.
    pub delay_ms: AtomicU64,
    /// Holds bytes sent to the server.
    pub hold_requests: AtomicBool,
    /// Holds bytes sent to the client.
    pub hold_replies: AtomicBool,
    /// Incremented to reset all open connections.
    pub resets: AtomicU64,
}

impl Faults {
    /// Clears all faults that persist.
    pub fn clear(&self) {
        self.delay_ms.store(0, Ordering::Relaxed);
        self.hold_requests.store(false, Ordering::Relaxed);
        self.hold_replies.store(false, Ordering::Relaxed);
    }
}

/// A proxy in front of one server; it runs until the test process exits.
#[derive(Clone, Debug)]
pub struct Proxy {
    pub address: String,
    pub faults: Arc<Faults>,
}

impl Proxy {
    /// Starts a proxy at `listen` for the server at `to`.
    pub fn start(listen: &str, to: String) -> Self {
        let listener = TcpListener::bind(listen).unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let faults = Arc::<Faults>::default();
        let accepting = faults.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(&to) else { continue };
                let (Ok(client_in), Ok(server_in)) = (client.try_clone(), server.try_clone())
                else {
                    continue;
                };
                let (request_faults, reply_faults) = (accepting.clone(), accepting.clone());
                thread::spawn(move || {
                    forward(client_in, server, &request_faults, |f| &f.hold_requests)
                });
                thread::spawn(move || {
                    forward(server_in, client, &reply_faults, |f| &f.hold_replies)
                });
            }
        });
        Self { address, faults }
    }
}

/// Copies one direction until the end of the stream, a reset or an error.
pub fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    faults: &Faults,
    hold: fn(&Faults) -> &AtomicBool,
) {
    const CHECK_INTERVAL: Duration = Duration::from_millis(5);
    let resets = faults.resets.load(Ordering::Relaxed);
    let reset = || faults.resets.load(Ordering::Relaxed) != resets;
    drop((
        from.set_nodelay(true),
        to.set_nodelay(true),
        from.set_read_timeout(Some(CHECK_INTERVAL)),
    ));
    let mut buf = [0; 16 * 1024];
    while !reset() {
        let n = match from.read(&mut buf) {
            Ok(0) => break,
            Ok(n) => n,
            Err(e)
                if matches!(
                    e.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) =>
            {
                continue;
            }
            Err(_) => break,
        };
        thread::sleep(Duration::from_millis(faults.delay_ms.load(Ordering::Relaxed)));
        while hold(faults).load(Ordering::Relaxed) && !reset() {
            thread::sleep(CHECK_INTERVAL);
        }
        if reset() || to.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    if reset() {
        drop(from.shutdown(Shutdown::Both));
        drop(to.shutdown(Shutdown::Both));
    } else {
        drop(to.shutdown(Shutdown::Write));
    }
}
