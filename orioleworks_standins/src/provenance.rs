//! Generates the text of samples from prompt, seed and weight version, and verifies it.
//!
//! The text encodes the weight version of each token. A test that knows prompt and seed recovers the versions from the
//! text and compares them with the spans that an entry reports.

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Characters of one token: nonce, masked version and check value, with 8 hexadecimal digits each.
pub const TOKEN_CHARS: usize = 24;

/// Consecutive tokens of one weight version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// Weight version.
    pub version: u64,
    /// Number of tokens.
    pub tokens: u64,
}

impl From<&orioleworks_trainer::messages::Span> for Span {
    fn from(span: &orioleworks_trainer::messages::Span) -> Self {
        Self { version: span.version, tokens: span.tokens.into() }
    }
}

/// Origin of a text, recovered from its tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Provenance {
    /// Nonce of the stream: the same in all of its tokens, and different between streams.
    pub nonce: u32,
    /// Weight versions that produced the text.
    pub spans: Vec<Span>,
}

/// Why a text is not a sample of its prompt.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ProvenanceError {
    /// the text is not a whole number of tokens
    Broken,
    /// token {0} does not belong to the prompt at this place
    PromptMismatch(usize),
    /// token {0} comes from another stream
    MixedStreams(usize),
    /// the text has {found} tokens instead of {expected}
    Length {
        /// Tokens in the text.
        found: u64,
        /// Tokens of a complete sample.
        expected: u64,
    },
}

impl std::error::Error for ProvenanceError {}

/// Nonce of the stream of a request.
pub fn nonce(request_id: &str) -> u32 {
    low_32_bits(xxh3_64_with_seed(request_id.as_bytes(), 0))
}

/// Number of tokens of a complete sample: between half of the maximum and the maximum.
pub fn sample_tokens(prompt: &str, seed: u64, nonce: u32, max_tokens: u64) -> u64 {
    let half = max_tokens / 2;
    (max_tokens - mix(prompt, seed, u64::from(nonce), 0) % (half + 1)).max(1)
}

/// Text of one token.
pub fn token(prompt: &str, seed: u64, nonce: u32, index: u64, version: u64) -> String {
    let masked = low_32_bits(version) ^ mask(prompt, seed, nonce, index);
    format!(
        "{nonce:08x}{masked:08x}{:08x}",
        check(prompt, seed, nonce, index, low_32_bits(version))
    )
}

/// Recovers the origin of a text.
///
/// # Errors
///
/// Returns the first token that cannot be part of a sample of the prompt.
pub fn verify(prompt: &str, seed: u64, text: &str) -> Result<Provenance, ProvenanceError> {
    if text.is_empty() || !text.is_ascii() || !text.len().is_multiple_of(TOKEN_CHARS) {
        return Err(ProvenanceError::Broken);
    }
    let mut origin: Option<Provenance> = None;
    for i in 0..text.len() / TOKEN_CHARS {
        let token_text = &text[i * TOKEN_CHARS..(i + 1) * TOKEN_CHARS];
        let field = |at: usize| u32::from_str_radix(&token_text[at * 8..(at + 1) * 8], 16);
        let (Ok(token_nonce), Ok(masked), Ok(found)) = (field(0), field(1), field(2)) else {
            return Err(ProvenanceError::PromptMismatch(i));
        };
        let version = masked ^ mask(prompt, seed, token_nonce, i as u64);
        if found != check(prompt, seed, token_nonce, i as u64, version) {
            return Err(ProvenanceError::PromptMismatch(i));
        }
        let origin =
            origin.get_or_insert_with(|| Provenance { nonce: token_nonce, spans: Vec::new() });
        if origin.nonce != token_nonce {
            return Err(ProvenanceError::MixedStreams(i));
        }
        push_span(&mut origin.spans, Span { version: u64::from(version), tokens: 1 });
    }
    origin.ok_or(ProvenanceError::Broken)
}

/// Recovers the origin of a text and requires that the sample is complete.
///
/// # Errors
///
/// Returns the first error in the text.
pub fn verify_complete(
    prompt: &str,
    seed: u64,
    max_tokens: u64,
    text: &str,
) -> Result<Provenance, ProvenanceError> {
    let origin = verify(prompt, seed, text)?;
    let expected = sample_tokens(prompt, seed, origin.nonce, max_tokens);
    let found = (text.len() / TOKEN_CHARS) as u64;
    if found == expected { Ok(origin) } else { Err(ProvenanceError::Length { found, expected }) }
}

/// Appends a span, merged into the last one when the version is the same.
pub fn push_span(spans: &mut Vec<Span>, span: Span) {
    match spans.last_mut() {
        Some(last) if last.version == span.version => last.tokens += span.tokens,
        _ => spans.push(span),
    }
}

/// Whether two lists of spans have the same version at each token, however the spans are split.
pub fn same_spans(a: &[Span], b: &[Span]) -> bool {
    let merged = |spans: &[Span]| {
        let mut merged = Vec::new();
        spans.iter().filter(|span| span.tokens > 0).for_each(|s| push_span(&mut merged, *s));
        merged
    };
    merged(a) == merged(b)
}

fn mix(prompt: &str, seed: u64, a: u64, b: u64) -> u64 {
    let base = xxh3_64_with_seed(prompt.as_bytes(), seed);
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&a.to_le_bytes());
    bytes[8..].copy_from_slice(&b.to_le_bytes());
    xxh3_64_with_seed(&bytes, base)
}

fn mask(prompt: &str, seed: u64, nonce: u32, index: u64) -> u32 {
    low_32_bits(mix(prompt, seed, u64::from(nonce), index + 1))
}

fn check(prompt: &str, seed: u64, nonce: u32, index: u64, version: u32) -> u32 {
    low_32_bits(mix(prompt, seed, u64::from(nonce) << 32 | u64::from(version), index + 1) >> 32)
}

/// Lowest 32 bits of a value; versions, nonces and check values have this size in a text.
fn low_32_bits(value: u64) -> u32 {
    (value & u64::from(u32::MAX)) as u32
}
