//! Texts of results, deflated where that makes them shorter.
//!
//! A store holds the texts of all batches of its retention, and each goes to every replica and into every snapshot. The
//! leader packs a text once; gateways unpack what they answer with.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use orioleworks_proto::inner::ItemResult;

/// Packs the text of a result; one that does not get shorter stays as it is.
pub fn pack(text: Bytes) -> (Bytes, u32) {
    let mut encoder = DeflateEncoder::new(Vec::with_capacity(text.len()), Compression::fast());
    let packed = encoder.write_all(&text).and_then(|()| encoder.finish());
    match (packed, u32::try_from(text.len())) {
        (Ok(packed), Ok(len)) if packed.len() < text.len() => {
            // The vector has room for the whole text.
            (Bytes::copy_from_slice(&packed), len)
        }
        _ => (text, 0),
    }
}

/// Length of the whole text of a result in bytes.
pub fn text_len(result: &ItemResult) -> usize {
    if result.text_len == 0 { result.text.len() } else { result.text_len as usize }
}

/// Unpacks the text of a result in place.
///
/// # Errors
///
/// Returns that the packed text is damaged, or has another length than it names.
pub fn unpack(result: &mut ItemResult) -> io::Result<()> {
    if result.text_len == 0 {
        return Ok(());
    }
    let len = text_len(result);
    let mut text = Vec::with_capacity(len);
    // One byte more than there should be, so that a longer text is noticed and never read whole.
    DeflateDecoder::new(&*result.text).take(len as u64 + 1).read_to_end(&mut text)?;
    if text.len() != len {
        let reason = format!("{} bytes instead of {len}", text.len());
        return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
    }
    (result.text, result.text_len) = (text.into(), 0);
    Ok(())
}
