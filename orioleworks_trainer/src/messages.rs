//! Messages of the entry's trainer interface; see `docs/design.md`, section 14.

use serde::{Deserialize, Serialize};

use crate::state::SlotKey;

/// Samples that a trainer requests for one step.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StepRequest {
    /// Number of the step.
    pub step: u64,
    /// Profile under which the samples run.
    pub profile: String,
    /// Model that the trainer trains.
    pub model: String,
    /// Longest sample in tokens.
    pub max_tokens: u32,
    /// Groups of samples.
    pub groups: Vec<Group>,
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

/// Body of a request to open a step.
#[derive(Debug, Serialize)]
pub(crate) struct OpenStep<'a> {
    #[serde(flatten)]
    pub step: &'a StepRequest,
    pub trainer_version: u64,
    pub taken: Vec<&'a SlotKey>,
    pub last_epoch: u64,
}

/// Response to a request to open a step.
#[derive(Debug, Deserialize)]
pub(crate) struct Opened {
    pub epoch: u64,
    pub owner: String,
}

/// Body of a request for a batch.
#[derive(Debug, Serialize)]
pub(crate) struct FetchBatch {
    pub epoch: u64,
    pub step: u64,
    pub cursor: u64,
    pub trainer_version: u64,
    pub max_samples: usize,
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
    /// Cursor to request after taking the samples.
    pub next_cursor: u64,
    /// Samples of the batch.
    pub samples: Vec<Sample>,
    /// Slots that are in no batch yet.
    pub missing: usize,
    /// Whether every slot is in this or an acknowledged batch.
    pub complete: bool,
}

/// One sample.
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
    /// Number of attempts to run the slot.
    pub attempts: u32,
}

/// Tokens that one weight version produced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// Weight version.
    pub version: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// Body of an entry's error response.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct ErrorBody {
    pub code: u32,
    pub message: String,
    pub retry_after_ms: u32,
    pub owner: Option<String>,
}

/// Body of a request to publish a weight version.
#[derive(Debug, Serialize)]
pub(crate) struct Publish<'a> {
    pub version: u64,
    pub order_id: &'a str,
}

/// Response to a request to publish a weight version.
#[derive(Debug, Deserialize)]
pub(crate) struct Published {
    pub revision: u64,
}
