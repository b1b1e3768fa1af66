//! Report of the load generator: latencies, result codes, and the comparison with the runs that the services recorded.

use std::collections::{BTreeMap, HashMap};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::{
    provenance::{self, ProvenanceError, Span},
    service::{Echo, RunRecords},
};

/// Latency of one class in microseconds.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Latency {
    /// Number of successful responses.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Largest.
    pub max_us: u64,
}

impl From<&Histogram<u64>> for Latency {
    fn from(histogram: &Histogram<u64>) -> Self {
        Self {
            count: histogram.len(),
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
            max_us: histogram.max(),
        }
    }
}

/// Report of a load run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of requests, without repeats.
    pub requests: u64,
    /// Repeats with the key of an earlier request.
    pub repeats: u64,
    /// Number of responses by name of result code; `ok` for a success.
    pub codes: BTreeMap<String, u64>,
    /// Successes with the complete content of their own request.
    pub whole: u64,
    /// Successes with the content of another request.
    pub crossed: u64,
    /// Successes that cannot be read or are not complete.
    pub broken: u64,
    /// Completions whose spans differ from the versions in their text.
    #[serde(default)]
    pub mislabelled: u64,
    /// Requests without a response.
    pub unanswered: u64,
    /// Successes of a repeated request that differ from its first success.
    pub repeats_differ: u64,
    /// Latency by class, measured from the time at which a request was due.
    pub latency: BTreeMap<String, Latency>,
    /// Runs recorded by the services.
    pub runs: u64,
    /// Non-idempotent requests that ran more than once.
    pub double_runs: u64,
    /// Requests that ran although every response to them said "not run".
    pub not_run_ran: u64,
    /// Requests that reached a service after its stop, later than the bound for a leaving upstream.
    pub late_starts: u64,
    /// Services whose records could not be read.
    pub unread_services: u64,
}

impl LoadReport {
    /// Runs recorded by the services per request.
    pub fn attempts_per_request(&self) -> f64 {
        if self.requests == 0 { 0.0 } else { self.runs as f64 / self.requests as f64 }
    }
}

/// Responses that callers received to requests with the same content.
#[derive(Clone, Debug, Default)]
pub struct CallerView {
    /// Whether the request may run at most once.
    pub once: bool,
    /// Responses and failures.
    pub responses: u32,
    /// Responses that said "not run".
    pub not_run: u32,
    /// Body of the first success; later ones are compared with it.
    pub first_success: Option<Vec<u8>>,
}

/// Result of the comparison of one response with its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Content {
    /// The response has the content of its own request.
    Complete,
    /// The response has the content of another request.
    Crossed,
    /// The response cannot be read or is not complete.
    Broken,
    /// The spans of a completion differ from the versions in its text.
    Mislabelled,
}

/// Body of a call under an engine profile.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CompletionCall {
    /// Prompt.
    pub prompt: String,
    /// Largest number of tokens.
    pub max_tokens: u64,
}

/// Response to a call under an engine profile.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CompletionResponse {
    /// Text.
    pub text: String,
    /// Weight versions by token span.
    pub spans: Vec<Span>,
}

/// Compares a completion with its request by the origin that its text encodes.
pub fn check_completion(request: &[u8], response: &[u8], seed: u64) -> Content {
    let request = serde_json::from_slice::<CompletionCall>(request);
    let response = serde_json::from_slice::<CompletionResponse>(response);
    let (Ok(request), Ok(response)) = (request, response) else { return Content::Broken };
    match provenance::verify_complete(&request.prompt, seed, request.max_tokens, &response.text) {
        Ok(origin) if provenance::same_spans(&origin.spans, &response.spans) => Content::Complete,
        Ok(_) => Content::Mislabelled,
        Err(ProvenanceError::PromptMismatch(_) | ProvenanceError::MixedStreams(_)) => {
            Content::Crossed
        }
        Err(_) => Content::Broken,
    }
}

/// Compares the response of a plain service with the body of its request.
pub fn check_echo(request: &[u8], response: &[u8]) -> Content {
    match serde_json::from_slice::<Echo>(response) {
        Ok(echo) if echo.echo.as_bytes() == request => Content::Complete,
        Ok(_) => Content::Crossed,
        Err(_) => Content::Broken,
    }
}

/// Compares the responses that callers received with the runs that the services recorded.
pub fn reconcile(
    report: &mut LoadReport,
    seen: &HashMap<String, CallerView>,
    services: &[RunRecords],
) {
    let mut runs: HashMap<&str, u64> = HashMap::new();
    for ran in services {
        report.late_starts += ran.late_starts;
        for run in ran.runs.iter().filter(|run| seen.contains_key(&run.content)) {
            *runs.entry(&run.content).or_default() += 1;
            report.runs += 1;
        }
    }
    for (content, seen) in seen {
        let ran = runs.get(content.as_str()).copied().unwrap_or(0);
        report.double_runs += u64::from(seen.once && ran > 1);
        let refused = seen.responses > 0 && seen.not_run == seen.responses;
        report.not_run_ran += u64::from(refused && ran > 0);
    }
}
