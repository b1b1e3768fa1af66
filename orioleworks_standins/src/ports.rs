//! Free ports on loopback.

use std::{
    io,
    net::TcpListener,
    sync::atomic::{AtomicU32, Ordering},
};

/// Ports below the ephemeral range of Linux, so that no outgoing connection of another process occupies a port between
/// its choice and its use.
const PORT_RANGE: std::ops::Range<u16> = 20_000..32_000;

/// Number of ports tried by this process; shared, so that deployments of one process never choose the same port.
static PORTS_TRIED: AtomicU32 = AtomicU32::new(0);

/// Chooses ports that nothing listens on; successive calls return different ports.
#[derive(Debug)]
pub struct Ports {
    offset: u32,
}

impl Ports {
    /// Starts at an offset that depends on the process ID, so that deployments of concurrent processes rarely try the
    /// same ports.
    pub fn new() -> Self {
        Self { offset: std::process::id().wrapping_mul(97) }
    }

    /// Returns the next free address on loopback.
    ///
    /// # Errors
    ///
    /// Returns an error when no port of the range is free.
    pub fn next_free_address(&mut self) -> io::Result<String> {
        let port_count = u32::from(PORT_RANGE.end - PORT_RANGE.start);
        for _ in PORT_RANGE {
            let number = self.offset.wrapping_add(PORTS_TRIED.fetch_add(1, Ordering::Relaxed));
            let address =
                format!("127.0.0.1:{}", u32::from(PORT_RANGE.start) + number % port_count);
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
