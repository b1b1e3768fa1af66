//! Sockets that wait for readiness and hold no buffer meanwhile.
//!
//! A read of `compio::net::TcpStream` owns its buffer until bytes arrive, so that each idle connection would hold one, and
//! `AsyncStream` keeps a second one for writes, which stays as large as its largest write.

use std::{io, net};

use compio::{buf::IntoInner, net::TcpStream, runtime::fd::PollFd};

/// A socket that is read and written once it is ready.
pub type Socket = PollFd<net::TcpStream>;

/// Turns a connection into a socket; `TCP_NODELAY` sends small messages without delay.
///
/// # Errors
///
/// Returns the error of the operating system.
pub fn from_stream(stream: TcpStream) -> io::Result<Socket> {
    let socket = match stream.into_poll_fd()?.into_inner().try_unwrap() {
        Ok(socket) => socket,
        Err(shared) => shared.try_clone()?,
    };
    let stream = net::TcpStream::from(socket);
    stream.set_nonblocking(true)?;
    stream.set_nodelay(true)?;
    PollFd::new(stream)
}
