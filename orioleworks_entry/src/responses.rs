//! Reads response bodies of upstreams, whose length nothing bounds.

use std::pin::{Pin, pin};

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use futures_util::{FutureExt, Stream, StreamExt, select_biased};
use orioleworks_daemon::memory::{Budget, NoRoom, Share};
use tokio_util::sync::CancellationToken;

/// Why a response body is not complete.
#[derive(Debug, Display)]
pub enum ReadError {
    /// the response was interrupted: {0}
    Interrupted(cyper::Error),
    /// the response is too large
    TooLarge,
    /// there is no memory for the response
    NoMemory,
}

impl std::error::Error for ReadError {}

/// Parts of a response body, charged to a budget until all of them are dropped together.
#[derive(Debug)]
pub struct Parts<S> {
    stream: Pin<Box<S>>,
    share: Share,
}

/// Starts to read a body.
pub fn parts(
    response: cyper::Response,
    memory: &Budget,
) -> Parts<impl Stream<Item = cyper::Result<Bytes>>> {
    let stream = Box::pin(response.bytes_stream());
    Parts { stream, share: memory.open(CancellationToken::new()) }
}

impl<S: Stream<Item = cyper::Result<Bytes>>> Parts<S> {
    /// Next part; `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns why there is no next part. A body that makes no progress ends for others that need memory.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ReadError> {
        let mut closed = pin!(self.share.closed().cancelled().fuse());
        let part = select_biased! {
            part = self.stream.next().fuse() => part,
            () = closed => return Err(ReadError::NoMemory),
        };
        let Some(part) = part else { return Ok(None) };
        let part = part.map_err(ReadError::Interrupted)?;
        self.share.grow(part.len()).await.map_err(|NoRoom| ReadError::NoMemory)?;
        Ok(Some(part))
    }
}

/// Reads a body of at most `max_bytes`.
///
/// # Errors
///
/// Returns why the body is not complete.
pub async fn read_body(
    response: cyper::Response,
    max_bytes: usize,
    memory: &Budget,
) -> Result<Bytes, ReadError> {
    let declared = response.content_length().and_then(|len| usize::try_from(len).ok());
    let mut parts = parts(response, memory);
    // Growing step by step would take up to twice the memory that is charged.
    let mut body = BytesMut::with_capacity(declared.unwrap_or(0).min(max_bytes));
    while let Some(part) = parts.next().await? {
        if body.len() + part.len() > max_bytes {
            return Err(ReadError::TooLarge);
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}
