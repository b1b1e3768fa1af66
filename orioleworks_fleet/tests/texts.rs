//! Texts of results.

use bytes::Bytes;
use orioleworks_fleet::texts;
use orioleworks_proto::inner::ItemResult;
use rstest::rstest;

fn packed(text: &[u8]) -> ItemResult {
    let (text, text_len) = texts::pack(Bytes::copy_from_slice(text));
    ItemResult { text, text_len, ..Default::default() }
}

/// Guards against a text that changes in a round trip, or that is compressed although that makes it longer.
#[rstest]
#[case::empty(b"".to_vec())]
#[case::short(b"x".to_vec())]
#[case::repeated(b"the same words ".repeat(500))]
#[case::not_text((0..4000_u32).flat_map(|n| n.wrapping_mul(2_654_435_761).to_le_bytes()).collect())]
fn a_text_comes_back_as_it_was(#[case] text: Vec<u8>) {
    let mut result = packed(&text);
    assert_eq!(texts::text_len(&result), text.len());
    assert!(result.text.len() <= text.len());
    texts::unpack(&mut result).unwrap();
    assert_eq!((result.text.as_ref(), result.text_len), (text.as_slice(), 0));
}

/// Guards against a damaged text that is accepted, or that decompresses to more bytes than it states.
#[test]
fn a_text_of_another_length_is_refused() {
    let whole = packed(&b"the same words ".repeat(500));
    for text_len in [whole.text_len - 1, whole.text_len + 1] {
        assert!(texts::unpack(&mut ItemResult { text_len, ..whole.clone() }).is_err());
    }
    let cut = whole.text.slice(..whole.text.len() / 2);
    assert!(texts::unpack(&mut ItemResult { text: cut, ..whole }).is_err());
}
