//! Texts of results, compressed with DEFLATE where that makes them shorter.
//!
//! A store holds the texts of all batches within their retention, and each text is part of the log of every replica and
//! of every snapshot. The leader compresses a text once; gateways decompress the texts that they return.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use orioleworks_proto::inner::ItemResult;

/// Compresses the text of a result. Returns the bytes to store and the original length; 0 if the text stays
/// uncompressed because compression does not make it shorter.
pub fn pack(text: Bytes) -> (Bytes, u32) {
    let mut encoder = DeflateEncoder::new(Vec::with_capacity(text.len()), Compression::fast());
    let packed = encoder.write_all(&text).and_then(|()| encoder.finish());
    match (packed, u32::try_from(text.len())) {
        (Ok(packed), Ok(len)) if packed.len() < text.len() => {
            // A copy, because the vector has the capacity of the uncompressed text.
            (Bytes::copy_from_slice(&packed), len)
        }
        _ => (text, 0),
    }
}

/// Length of the uncompressed text of a result in bytes.
pub fn text_len(result: &ItemResult) -> usize {
    if result.text_len == 0 { result.text.len() } else { result.text_len as usize }
}

/// Decompresses the text of a result in place.
///
/// # Errors
///
/// Fails if the compressed text is damaged, or its length differs from the stated one.
pub fn unpack(result: &mut ItemResult) -> io::Result<()> {
    if result.text_len == 0 {
        return Ok(());
    }
    let len = text_len(result);
    let mut text = Vec::with_capacity(len);
    // One byte more than the stated length, so that a longer text is detected without reading all of it.
    DeflateDecoder::new(&*result.text).take(len as u64 + 1).read_to_end(&mut text)?;
    if text.len() != len {
        let reason = format!("{} bytes instead of {len}", text.len());
        return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
    }
    (result.text, result.text_len) = (text.into(), 0);
    Ok(())
}
