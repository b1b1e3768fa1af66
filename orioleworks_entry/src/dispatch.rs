//! Types of a request to run and of its result.
//!
//! See `docs/design.md`, sections 7 and 8.

use std::{rc::Rc, time::Instant};

use bytes::Bytes;
use orioleworks_proto::{codes::ResultCode, inner};
use tokio_util::sync::CancellationToken;

/// One request to run.
#[derive(Clone, Debug)]
pub struct Job {
    /// Request ID for logs and responses.
    pub request_id: Rc<str>,
    /// Profile under which it runs.
    pub profile: Rc<inner::Profile>,
    /// Body for the upstream.
    pub body: Bytes,
    /// Content type of the body.
    pub content_type: Rc<str>,
    /// Time by which the caller needs the response.
    pub deadline: Instant,
    /// Hash of the prompt prefix, for affinity.
    pub prefix: Option<u64>,
    /// Lowest weight version that may produce the response, 0 for any.
    pub lowest_version: u64,
    /// Upstreams that must not run it, for a hedged second attempt.
    pub avoid: Vec<Rc<str>>,
    /// Key under which a claim is committed for this request; it is sent to the upstream.
    pub idempotency_key: Option<Rc<str>>,
    /// Whether a trainer is owed the result. Such a job is never refused as quarantined.
    pub owed: bool,
    /// Forbids forwarding to another failure domain.
    pub local_only: bool,
    /// Cancelled when the response is no longer needed.
    pub cancel: CancellationToken,
}

/// Complete response of an upstream.
#[derive(Clone, Debug)]
pub struct Completed {
    /// HTTP status of the upstream.
    pub status: u16,
    /// Body; for an engine, the text of the stream.
    pub body: Bytes,
    /// Content type of the body.
    pub content_type: Rc<str>,
    /// Weight versions by token span, as the engine reported them; empty for a plain service.
    pub spans: Vec<inner::Span>,
    /// Upstream that produced the response.
    pub upstream: Rc<str>,
}

/// Final refusal or failure of a request.
#[derive(Clone, Debug)]
pub struct Refused {
    /// Result code for the caller.
    pub code: ResultCode,
    /// Detail for the caller.
    pub detail: String,
    /// Time after which the caller may retry, 0 if a retry is useless.
    pub retry_after_ms: u32,
}
