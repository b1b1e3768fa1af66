//! The provenance check finds every difference between a text and its claimed prompt, seed, length and versions.

use orioleworks_standins::provenance::{
    ProvenanceError, Span, TOKEN_CHARS, nonce, same_spans, sample_tokens, token, verify,
    verify_complete,
};
use rstest::rstest;

const PROMPT: &str = "milk of lot 7";
const SEED: u64 = 11;

fn text(request_id: &str, versions: &[u64]) -> String {
    let request_nonce = nonce(request_id);
    let tokens = versions.iter().enumerate();
    tokens.map(|(i, version)| token(PROMPT, SEED, request_nonce, i as u64, *version)).collect()
}

/// Guards against a check that does not detect a weight swap in the middle of a text.
#[test]
fn versions_are_recovered_from_the_text() {
    let origin = verify(PROMPT, SEED, &text("r", &[3, 3, 4, 3])).expect("sample");
    let span = |version, tokens| Span { version, tokens };
    assert_eq!(origin.spans, [span(3, 2), span(4, 1), span(3, 1)]);
    assert_eq!(origin.nonce, nonce("r"));
}

/// Guards against a check that accepts texts of another prompt or seed, or texts with a lost or moved token.
#[rstest]
#[case::prompt("another", SEED, text("r", &[1, 1]), ProvenanceError::PromptMismatch(0))]
#[case::seed(PROMPT, 12, text("r", &[1, 1]), ProvenanceError::PromptMismatch(0))]
#[case::first_token_lost(PROMPT, SEED, text("r", &[1, 1])[TOKEN_CHARS..].to_owned(), ProvenanceError::PromptMismatch(0))]
#[case::cut_token(PROMPT, SEED, text("r", &[1, 1])[..30].to_owned(), ProvenanceError::Broken)]
#[case::empty(PROMPT, SEED, String::new(), ProvenanceError::Broken)]
#[case::two_streams(PROMPT, SEED, text("r", &[1]) + &text("s", &[1, 1])[TOKEN_CHARS..], ProvenanceError::MixedStreams(1))]
fn texts_of_another_origin_are_refused(
    #[case] prompt: &str,
    #[case] seed: u64,
    #[case] text: String,
    #[case] expected: ProvenanceError,
) {
    assert_eq!(verify(prompt, seed, &text), Err(expected));
}

/// Guards against a check that accepts a stream that was cut at a token boundary.
#[test]
fn short_texts_are_refused() {
    let expected = sample_tokens(PROMPT, SEED, nonce("r"), 20);
    let complete = text("r", &vec![1; usize::try_from(expected).expect("small")]);
    assert!(verify_complete(PROMPT, SEED, 20, &complete).is_ok());
    let short = &complete[..complete.len() - TOKEN_CHARS];
    let error = ProvenanceError::Length { found: expected - 1, expected };
    assert_eq!(verify_complete(PROMPT, SEED, 20, short), Err(error));
}

/// Guards against a false alarm for equivalent spans that are split differently, and against a missed difference.
#[test]
fn spans_are_compared_by_content() {
    let span = |version, tokens| Span { version, tokens };
    assert!(same_spans(&[span(1, 2), span(1, 3)], &[span(1, 5)]));
    assert!(!same_spans(&[span(1, 2), span(2, 3)], &[span(1, 3), span(2, 2)]));
}
