//! Frames of the inner protocol.

use orioleworks_proto::{
    frames::{FrameCodec, IDLE_BUFFER_BYTES, MAX_FRAME_BYTES},
    inner::{self, frame::Body},
};
use tokio_util::{
    bytes::{Buf, Bytes, BytesMut},
    codec::{Decoder, Encoder},
};

fn frame(bytes: usize) -> inner::Frame {
    let body = Bytes::from(vec![7; bytes]);
    let reply = inner::ReadItemReply { body, ..Default::default() };
    inner::Frame { request_id: 1, body: Some(Body::ReadItemReply(reply)) }
}

/// Guards against a store that runs out of memory because each of its connections keeps the buffers of the largest frame
/// that it ever carried.
#[test]
fn a_large_frame_leaves_no_large_buffer() {
    let (mut codec, mut written, mut read) =
        (FrameCodec::default(), BytesMut::new(), BytesMut::new());
    for bytes in [10, 1024 * 1024, 10] {
        codec.encode(frame(bytes), &mut written).unwrap();
        read.extend_from_slice(&written);
        written.advance(written.len());
        assert_eq!(codec.decode(&mut read).unwrap(), Some(frame(bytes)));
        assert_eq!(codec.decode(&mut read).unwrap(), None);
    }
    for mut buf in [written, read] {
        // `try_reclaim` counts the emptied front of the buffer as capacity again.
        assert!(!buf.try_reclaim(IDLE_BUFFER_BYTES + 1), "{} bytes were kept", buf.capacity());
    }
}

/// Guards against sending a frame that would make the peer close the connection.
#[test]
fn a_frame_over_the_limit_is_refused_before_it_is_sent() {
    let mut buf = BytesMut::new();
    assert!(FrameCodec::default().encode(frame(MAX_FRAME_BYTES), &mut buf).is_err());
    assert!(buf.is_empty());
}
