//! Free ports on loopback.

use std::{
    io,
    net::TcpListener,
    sync::atomic::{AtomicU32, Ordering},
};

/// Ports below the range from which Linux takes the ports of outgoing connections, so that no connection of another
/// process takes a port between its choice and its use.
const RANGE: std::ops::Range<u16> = 20_000..32_000;

/// Ports taken by this process; shared, so that deployments of one process never choose the same port.
static TAKEN: AtomicU32 = AtomicU32::new(0);

/// Chooses ports that nothing listens on; successive calls return different ports.
#[derive(Debug)]
pub struct Ports {
    offset: u32,
}

impl Ports {
    /// Starts at a place that depends on the process, so that deployments side by side rarely meet.
    pub fn new() -> Self {
        Self { offset: std::process::id().wrapping_mul(97) }
    }

    /// Next free address on loopback.
    ///
    /// # Errors
    ///
    /// Returns an error when no port of the range is free.
    pub fn free(&mut self) -> io::Result<String> {
        let span = u32::from(RANGE.end - RANGE.start);
        for _ in RANGE {
            let number = self.offset.wrapping_add(TAKEN.fetch_add(1, Ordering::Relaxed));
            let address = format!("127.0.0.1:{}", u32::from(RANGE.start) + number % span);
            if TcpListener::bind(&address).is_ok() {
                return Ok(address);
            }
        }
        Err(io::Error::new(io::ErrorKind::AddrInUse, "no free port"))
    }
}

impl Default for Ports {
    fn default() -> Self {
        Self::new()
    }
}
