//! Framing of the inner protocol: length-delimited frames with one message each.

use std::io;

use compio::{io::compat::AsyncStream, net::TcpStream};
use prost::Message;
use tokio_util::{
    bytes::{Bytes, BytesMut},
    codec::{Decoder, Encoder, Framed, LengthDelimitedCodec},
    compat::{Compat, FuturesAsyncReadCompatExt},
};

use crate::inner;

/// Largest frame in bytes; a larger one closes the connection.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Encodes and decodes [`inner::Frame`] messages.
#[derive(Debug)]
pub struct FrameCodec {
    lengths: LengthDelimitedCodec,
}

impl Default for FrameCodec {
    fn default() -> Self {
        let lengths = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        Self { lengths }
    }
}

impl Decoder for FrameCodec {
    type Item = inner::Frame;
    type Error = io::Error;

    fn decode(&mut self, buf: &mut BytesMut) -> io::Result<Option<inner::Frame>> {
        let Some(bytes) = self.lengths.decode(buf)? else { return Ok(None) };
        let frame = inner::Frame::decode(bytes)
            .map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
        if frame.body.is_none() {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "frame without a known body"));
        }
        Ok(Some(frame))
    }
}

impl Encoder<inner::Frame> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: inner::Frame, buf: &mut BytesMut) -> io::Result<()> {
        self.lengths.encode(Bytes::from(frame.encode_to_vec()), buf)
    }
}

/// A connection that carries frames in both directions.
pub type FrameStream = Framed<Compat<std::pin::Pin<Box<AsyncStream<TcpStream>>>>, FrameCodec>;

/// Wraps a connection; small frames are sent without delay.
pub fn wrap(stream: TcpStream) -> io::Result<FrameStream> {
    stream.set_nodelay(true)?;
    // `Framed` needs an `Unpin` stream, which `AsyncStream` is only behind a pinned box.
    Ok(Framed::new(Box::pin(AsyncStream::new(stream)).compat(), FrameCodec::default()))
}
