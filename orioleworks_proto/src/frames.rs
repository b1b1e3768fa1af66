//! Framing of the inner protocol: length-delimited frames with one message each.

use std::{
    future, io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use compio::net::TcpStream;
use futures_util::AsyncRead;
use prost::Message;
use tokio_util::{
    bytes::{Buf, Bytes, BytesMut},
    codec::{Decoder, Encoder, FramedRead, LengthDelimitedCodec},
    compat::{Compat, FuturesAsyncReadCompatExt},
};

use crate::{
    inner,
    socket::{self, Socket},
};

/// Largest frame in bytes; a larger one closes the connection.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Whether a message fits a frame. A longer frame ends its connection, with all calls on it.
pub fn fits(message: &impl prost::Message) -> bool {
    /// The frame's own fields take a few dozen bytes beside the message.
    const ENVELOPE_BYTES: usize = 1024;
    message.encoded_len() <= MAX_FRAME_BYTES - ENVELOPE_BYTES
}

/// Size in bytes of the buffers that an idle connection keeps; a store has hundreds of connections, and each of them carries
/// a large frame now and then.
pub const IDLE_BUFFER_BYTES: usize = 2 * 1024;

/// Encodes and decodes [`inner::Frame`] messages.
#[derive(Debug)]
pub struct FrameCodec {
    length_codec: LengthDelimitedCodec,
    /// Whether the read buffer may have the memory of a frame over [`IDLE_BUFFER_BYTES`]. Its capacity does not show that:
    /// the capacity shrinks as the buffer is emptied, but the memory stays allocated.
    read_buffer_large: bool,
    /// The same for the write buffer.
    write_buffer_large: bool,
}

impl Default for FrameCodec {
    fn default() -> Self {
        let length_codec =
            LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        // `FramedRead` begins with a buffer of 8 KB.
        Self { length_codec, read_buffer_large: true, write_buffer_large: false }
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
        self.read_buffer_large |= bytes.len() > IDLE_BUFFER_BYTES;
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
        self.write_buffer_large |= bytes.len() > IDLE_BUFFER_BYTES;
        self.length_codec.encode(bytes, buf)
    }
}

/// Frees the memory of a large frame once the buffer is empty.
fn release_memory(buf: &mut BytesMut, large: &mut bool) {
    if *large && buf.is_empty() {
        *buf = BytesMut::with_capacity(IDLE_BUFFER_BYTES);
        *large = false;
    }
}

/// Reads frames from a connection.
pub type FrameReader = FramedRead<Compat<ReadHalf>, FrameCodec>;

/// The end of a connection from which frames are read.
#[derive(Debug)]
pub struct ReadHalf(Rc<Socket>);

impl AsyncRead for ReadHalf {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.0.poll_read(cx, buf)
    }
}

/// Writes frames to a connection; it holds a buffer only while it writes.
#[derive(Debug)]
pub struct FrameWriter(Rc<Socket>);

impl FrameWriter {
    /// Writes a frame.
    ///
    /// # Errors
    ///
    /// Fails if the frame is too large or the connection broke; it must not be used afterwards.
    pub async fn send(&mut self, frame: inner::Frame) -> io::Result<()> {
        let mut buf = BytesMut::new();
        FrameCodec::default().encode(frame, &mut buf)?;
        while !buf.is_empty() {
            let written = future::poll_fn(|cx| self.0.poll_write(cx, &buf)).await?;
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            buf.advance(written);
        }
        Ok(())
    }
}

/// Splits a connection into its reader and its writer; it closes when both are dropped.
///
/// # Errors
///
/// Returns the error of the operating system.
pub fn split(stream: TcpStream) -> io::Result<(FrameReader, FrameWriter)> {
    let socket = Rc::new(socket::from_stream(stream)?);
    let reader = ReadHalf(socket.clone()).compat();
    Ok((FramedRead::new(reader, FrameCodec::default()), FrameWriter(socket)))
}
