//! Messages of the trainer's HTTP interface; see `docs/design.md`, section 14.

use orioleworks_daemon::http;
use orioleworks_proto::codes::ResultCode;
use serde::{Deserialize, Serialize};

/// Opens or reopens a step.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OpenStep {
    /// Number of the step.
    pub step: u64,
    /// Profile under which the samples run.
    pub profile: String,
    /// Model that the trainer trains.
    pub model: String,
    /// Current weight version of the trainer.
    pub trainer_version: u64,
    /// Maximum length of a sample in tokens.
    pub max_tokens: u32,
    /// Groups of samples.
    pub groups: Vec<Group>,
    /// Slots (group, index) that the trainer has already taken.
    #[serde(default)]
    pub taken: Vec<(String, u32)>,
    /// Epoch of the trainer's last open of this run, 0 for none.
    #[serde(default)]
    pub last_epoch: u64,
}

/// Samples of one prompt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Group {
    /// Name of the group, unique in its step.
    pub group: String,
    /// Prompt of every sample.
    pub prompt: String,
    /// Number of samples.
    pub samples: u32,
}

/// Response to an open.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Opened {
    /// Epoch of this open.
    pub epoch: u64,
    /// HTTP address of the owner.
    pub owner: String,
    /// Number of slots that are not taken.
    pub missing: usize,
}

/// Asks for the batch at a cursor.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FetchBatch {
    /// Epoch of the trainer's last open.
    pub epoch: u64,
    /// Number of the step.
    pub step: u64,
    /// Cursor of the requested batch, which acknowledges every earlier batch; 0 after an open.
    pub cursor: u64,
    /// Current weight version of the trainer.
    pub trainer_version: u64,
    /// Maximum number of samples in the batch.
    pub max_samples: usize,
    /// Longest wait for a sample in milliseconds.
    #[serde(default)]
    pub wait_ms: u64,
}

/// Samples at a cursor.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Batch {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Number of the step.
    pub step: u64,
    /// Cursor of this batch.
    pub cursor: u64,
    /// Cursor of the next request, once the samples are taken.
    pub next_cursor: u64,
    /// Samples of the batch.
    pub samples: Vec<Sample>,
    /// Number of slots that are in no batch yet.
    pub missing: usize,
    /// Whether every slot is in this batch or an acknowledged one.
    pub complete: bool,
}

/// One sample for the trainer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Group of the slot.
    pub group: String,
    /// Index of the slot in its group.
    pub index: u32,
    /// Text of the sample.
    pub text: String,
    /// Number of tokens.
    pub tokens: u64,
    /// Weight versions that produced the tokens, in order.
    pub spans: Vec<Span>,
    /// Score of the judge, if the profile has one.
    pub score: Option<f64>,
    /// Number of attempts for the slot.
    pub attempts: u32,
}

impl Sample {
    /// Oldest weight version in the sample.
    pub fn lowest_version(&self) -> u64 {
        self.spans.iter().map(|span| span.version).min().unwrap_or(0)
    }

    /// Approximate size in a batch, in bytes.
    pub fn bytes(&self) -> usize {
        const FIXED_BYTES: usize = 128;
        const SPAN_BYTES: usize = 32;
        FIXED_BYTES + self.group.len() + self.text.len() + SPAN_BYTES * self.spans.len()
    }
}

/// Tokens that one weight version produced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// Weight version.
    pub version: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// Error response to a trainer for `not_owner`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorWithOwner {
    /// Fields of every error response.
    #[serde(flatten)]
    pub error: http::ErrorBody,
    /// HTTP address of the run's owner.
    pub owner: String,
}

/// Why a trainer's request failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunError {
    /// Result code for the trainer.
    pub code: ResultCode,
    /// Detail for the trainer.
    pub detail: String,
    /// HTTP address of the run's owner, for `not_owner`.
    pub owner: Option<String>,
    /// Time after which the request may be retried; 0 if a retry cannot succeed.
    pub retry_after_ms: u32,
}

impl RunError {
    /// Creates an error that a retry does not resolve.
    pub fn new(code: ResultCode, detail: impl Into<String>) -> Self {
        Self { code, detail: detail.into(), owner: None, retry_after_ms: 0 }
    }

    /// Creates an error for which the request may be retried after a time.
    pub fn retry(code: ResultCode, detail: impl Into<String>, retry_after_ms: u32) -> Self {
        Self { retry_after_ms, ..Self::new(code, detail) }
    }

    /// Creates the error for a run that another entry owns.
    pub fn not_owner(address: impl Into<String>) -> Self {
        let owner = address.into();
        let detail = format!("the owner is {owner}");
        Self { owner: Some(owner), ..Self::new(ResultCode::NotOwner, detail) }
    }

    /// Converts the error into an HTTP response.
    pub fn into_response(self) -> http::Response {
        let Some(owner) = self.owner else {
            return http::error(self.code, &self.detail, self.retry_after_ms);
        };
        let error = http::ErrorBody {
            code: self.code.number(),
            name: self.code.name(),
            message: format!("{}: {}", self.code, self.detail),
            not_run: self.code.not_run(),
            retry_after_ms: self.retry_after_ms,
        };
        http::json(self.code.http_status(), &ErrorWithOwner { error, owner })
    }
}
