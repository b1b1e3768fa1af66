//! Closes a connection whose peer has stopped reading, so that unread responses do not accumulate in memory.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use cyper_core::CompioTimer;
use hyper::rt::{Read, ReadBufCursor, Sleep, Timer, Write};

/// Stream whose writes fail when they make no progress for `limit`.
pub(crate) struct StallGuard<S> {
    stream: S,
    limit: Duration,
    timer: Option<Pin<Box<dyn Sleep>>>,
}

impl<S> StallGuard<S> {
    /// Wraps a stream.
    pub(crate) fn new(stream: S, limit: Duration) -> Self {
        Self { stream, limit, timer: None }
    }

    fn check<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.timer = None;
            return written;
        }
        let limit = self.limit;
        let timer = self.timer.get_or_insert_with(|| CompioTimer.sleep(limit));
        match timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<S: Read + Unpin> Read for StallGuard<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: Write + Unpin> Write for StallGuard<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.check(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        // Without it hyper copies each body into a buffer, which stays as large.
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        self.check(cx, flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let closed = Pin::new(&mut self.stream).poll_shutdown(cx);
        self.check(cx, closed)
    }
}
