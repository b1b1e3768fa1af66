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

/// Largest buffer in bytes that an idle connection keeps; a store has hundreds of connections, and each of them carries
/// a large frame now and then.
pub const RETAINED_BUFFER_BYTES: usize = 64 * 1024;
/// Initial size in bytes of a connection's buffers; most frames are smaller.
const INITIAL_BUFFER_BYTES: usize = 8 * 1024;

/// Encodes and decodes [`inner::Frame`] messages.
#[derive(Debug)]
pub struct FrameCodec {
    length_codec: LengthDelimitedCodec,
    /// Whether the read buffer still has the memory of a large frame. Its capacity does not show that: the capacity
    /// shrinks as the buffer is emptied, but the memory stays allocated.
    read_buffer_large: bool,
    /// The same for the write buffer.
    write_buffer_large: bool,
}

impl Default for FrameCodec {
    fn default() -> Self {
        let length_codec =
            LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        Self { length_codec, read_buffer_large: false, write_buffer_large: false }
    }
}

impl Decoder for FrameCodec {
    type Item = inner::Frame;
    type Error = io::Error;

    fn decode(&mut self, buf: &mut BytesMut) -> io::Result<Option<inner::Frame>> {
        let Some(bytes) = self.length_codec.decode(buf)? else {
            release_memory(buf, &mut self.read_buffer_large);
            return Ok(None);
        };
        self.read_buffer_large |= bytes.len() > RETAINED_BUFFER_BYTES;
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
        release_memory(buf, &mut self.write_buffer_large);
        let bytes = Bytes::from(frame.encode_to_vec());
        self.write_buffer_large |= bytes.len() > RETAINED_BUFFER_BYTES;
        self.length_codec.encode(bytes, buf)
    }
}

/// Frees the memory of a large frame once the buffer is empty.
fn release_memory(buf: &mut BytesMut, large: &mut bool) {
    if *large && buf.is_empty() {
        *buf = BytesMut::with_capacity(INITIAL_BUFFER_BYTES);
        *large = false;
    }
}

/// A connection that carries frames in both directions.
pub type FrameStream = Framed<Compat<std::pin::Pin<Box<AsyncStream<TcpStream>>>>, FrameCodec>;

/// Wraps a connection; `TCP_NODELAY` sends small frames without delay.
pub fn wrap(stream: TcpStream) -> io::Result<FrameStream> {
    stream.set_nodelay(true)?;
    // `Framed` needs an `Unpin` stream, which `AsyncStream` is only behind a pinned box.
    let stream = AsyncStream::with_limits(INITIAL_BUFFER_BYTES, RETAINED_BUFFER_BYTES, stream);
    Ok(Framed::new(Box::pin(stream).compat(), FrameCodec::default()))
}
