//! Runs one request on an upstream of the failure domain, or through a peer of another one.
//!
//! See `docs/design.md`, sections 7 and 8.

use std::{rc::Rc, time::Instant};

use bytes::Bytes;
use orioleworks_proto::{codes::ResultCode, inner};
use tokio_util::sync::CancellationToken;

/// One request to run.
#[derive(Clone, Debug)]
pub struct Job {
    /// Request ID for logs and answers.
    pub request_id: Rc<str>,
    /// Profile under which it runs.
    pub profile: Rc<inner::Profile>,
    /// Body for the upstream.
    pub body: Bytes,
    /// Content type of the body.
    pub content_type: Rc<str>,
    /// Time by which the caller needs the answer.
    pub deadline: Instant,
    /// Hash of the prompt prefix, for affinity.
    pub prefix: Option<u64>,
    /// Lowest weight version that may produce the answer, 0 for any.
    pub lowest_version: u64,
    /// Upstreams that are not to run it, for a hedged second attempt.
    pub avoid: Vec<Rc<str>>,
    /// Key under which a claim is committed for this request; the upstream gets it.
    pub idempotency_key: Option<Rc<str>>,
    /// Forbids a forward to another failure domain.
    pub local_only: bool,
    /// Cancelled when the answer is no longer wanted.
    pub cancel: CancellationToken,
}

/// Complete answer of an upstream.
#[derive(Clone, Debug)]
pub struct Completed {
    /// HTTP status of the upstream.
    pub status: u16,
    /// Whole body; for an engine, the text of the stream.
    pub body: Bytes,
    /// Content type of the body.
    pub content_type: Rc<str>,
    /// Weight versions by token span, as the engine reported them; empty for a plain service.
    pub spans: Vec<inner::Span>,
    /// Upstream that produced the answer.
    pub upstream: Rc<str>,
}

/// Final refusal or failure of a request.
#[derive(Clone, Debug)]
pub struct Refused {
    /// Result code for the caller.
    pub code: ResultCode,
    /// Detail for the caller.
    pub detail: String,
    /// Time after which a repeat makes sense, 0 when a repeat makes no sense.
    pub retry_after_ms: u32,
}
