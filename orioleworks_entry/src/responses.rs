//! Reads response bodies of upstreams, whose length nothing bounds.

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use futures_util::StreamExt;

/// Why a response body is not complete.
#[derive(Debug, Display)]
pub enum ReadError {
    /// the response was interrupted: {0}
    Interrupted(cyper::Error),
    /// the response is too large
    TooLarge,
}

impl std::error::Error for ReadError {}

/// Reads a body of at most `max_bytes`.
///
/// # Errors
///
/// Returns why the body is not complete.
pub async fn read_body(response: cyper::Response, max_bytes: usize) -> Result<Bytes, ReadError> {
    let mut chunks = std::pin::pin!(response.bytes_stream());
    let mut body = BytesMut::new();
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.map_err(ReadError::Interrupted)?;
        if body.len() + chunk.len() > max_bytes {
            return Err(ReadError::TooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
