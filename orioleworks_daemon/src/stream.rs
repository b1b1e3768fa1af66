//! Connections as hyper reads and writes them.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll, ready},
};

use compio::net::TcpStream;
use hyper::rt::{Read, ReadBufCursor, Write};
use orioleworks_proto::socket::{self, Socket};

/// Largest number of bytes that are read at once.
const READ_BYTES: usize = 8 * 1024;

/// A TCP connection without buffers of its own; hyper has some for each connection.
#[derive(Debug)]
pub struct Stream(Socket);

impl Stream {
    /// Wraps a connection.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        Ok(Self(socket::from_stream(stream)?))
    }
}

impl Read for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0; READ_BYTES];
        let len = bytes.len().min(buf.remaining());
        let read = ready!(self.0.poll_read(cx, &mut bytes[..len]))?;
        buf.put_slice(&bytes[..read]);
        Poll::Ready(Ok(()))
    }
}

impl Write for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.0.poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.0.poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Nothing is buffered.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        futures_util::AsyncWrite::poll_close(Pin::new(&mut self.get_mut().0), cx)
    }
}
