//! Stand-in judge: a deterministic score of prompt and text.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Body of a judge's `POST /call`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JudgeRequest {
    /// Prompt of the sample.
    pub prompt: String,
    /// Text of the sample.
    pub text: String,
}

/// Response of a judge.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct JudgeResponse {
    /// Score in 0..1.
    pub score: f64,
}

/// Score of a text, in thousandths so that a JSON round trip preserves it.
pub fn score(prompt: &str, text: &str) -> f64 {
    let base = xxh3_64_with_seed(prompt.as_bytes(), 0);
    let thousandths = xxh3_64_with_seed(text.as_bytes(), base) % 1000;
    thousandths as f64 / 1000.0
}
