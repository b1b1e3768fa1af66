//! Handler of `POST /v1/call/{profile}`: runs one request of a caller under a profile.
//!
//! See `docs/design.md`, sections 7, 11 and 14.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::{runtime, time};
use futures_channel::oneshot;
use orioleworks_daemon::{event, http};
use orioleworks_proto::{codes::ResultCode, inner};
use serde::Serialize;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    app::Entry,
    attempt::Prompt,
    claims::{self, ClaimOutcome, Claimed},
    dispatch::{Completed, Job, Refused},
    dispatcher::refused,
    suspects, telemetry,
};

/// Deadline of a profile that does not set one.
const DEFAULT_DEADLINE_MS: u32 = 30_000;
/// Longest wait for the confirmation of a finished claim before the response is sent to the caller.
///
/// The response may be sent before the confirmation: until then the claim is running, so a repeated request gets
/// `in_progress`, or `outcome_unknown` if this entry crashes, but never runs a second time. The wait only makes it
/// likely that a repeated request finds the stored response.
const FINISH_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for control after the process was paused; longer than one watch request, so that a second replica can
/// be tried.
const RESUME_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between two checks whether control has responded.
const RESUME_INTERVAL: Duration = Duration::from_millis(10);

/// Headers of a call.
#[derive(Clone, Debug)]
pub struct Head {
    /// Request ID for logs and responses.
    pub request_id: Rc<str>,
    /// Value of `x-deadline-ms`, which can only shorten the profile's deadline.
    pub deadline_ms: Option<String>,
    /// Idempotency key; required under a non-idempotent profile.
    pub idempotency_key: Option<String>,
    /// Content type of the body.
    pub content_type: Rc<str>,
}

/// Handles one call.
pub async fn handle(entry: &Rc<Entry>, profile: &str, head: Head, body: Bytes) -> http::Response {
    let started = Instant::now();
    wait_for_resume(entry).await;
    let profile = match find_profile(entry, profile) {
        Ok(profile) => profile,
        Err(e) => {
            log_finished(&head, profile, started, &Err(e.clone()));
            return http::error(e.code, &e.detail, e.retry_after_ms);
        }
    };
    let result = run(entry, &profile, &head, body, started).await;
    fail::fail_point!("dispatch.before_answer");
    let code = result.as_ref().map_or_else(|e| e.code, |_| ResultCode::Ok);
    telemetry::request(&profile, code, started.elapsed());
    log_finished(&head, &profile.name, started, &result);
    match result {
        Ok(completed) => http_response(&profile, &completed),
        Err(e) => http::error(e.code, &e.detail, e.retry_after_ms),
    }
}

/// After a pause of the process, waits for at most `RESUME_TIMEOUT` until a newer configuration is applied.
async fn wait_for_resume(entry: &Entry) {
    let started = Instant::now();
    while entry.configuration.is_resuming() && started.elapsed() < RESUME_TIMEOUT {
        time::sleep(RESUME_INTERVAL).await;
    }
}

/// Logs the end of a request; the burn report reads this line.
fn log_finished(head: &Head, profile: &str, started: Instant, result: &Result<Completed, Refused>) {
    let (code, upstream, detail) = match result {
        Ok(done) => (ResultCode::Ok, &*done.upstream, ""),
        Err(e) => (e.code, "", e.detail.as_str()),
    };
    event!(
        info,
        "request_finished",
        request_id = head.request_id,
        profile = profile,
        code = code.number(),
        name = code.name(),
        upstream = upstream,
        ms = started.elapsed().as_millis(),
        detail = detail
    );
}

fn find_profile(entry: &Entry, name: &str) -> Result<Rc<inner::Profile>, Refused> {
    if !entry.configuration.is_ready() {
        return Err(refused(ResultCode::NotReady, "", 1000));
    }
    entry.configuration.profile(name).ok_or_else(|| refused(ResultCode::UnknownProfile, name, 0))
}

async fn run(
    entry: &Rc<Entry>,
    profile: &Rc<inner::Profile>,
    head: &Head,
    body: Bytes,
    started: Instant,
) -> Result<Completed, Refused> {
    let deadline = started + effective_deadline(profile, head)?;
    let prefix = if profile.engine { Some(prefix_of(&body)?) } else { None };
    let job = Job {
        request_id: head.request_id.clone(),
        profile: profile.clone(),
        body,
        content_type: head.content_type.clone(),
        deadline,
        prefix,
        lowest_version: 0,
        avoid: Vec::new(),
        idempotency_key: None,
        owed: false,
        local_only: false,
        cancel: CancellationToken::new(),
    };
    if profile.idempotent {
        return entry.dispatcher.run(job).await;
    }
    let key = head.idempotency_key.as_deref();
    let key = key.ok_or_else(|| refused(ResultCode::KeyMissing, "", 0))?;
    let key = claims::Key::parse(key)?;
    if entry.configuration.is_stale() {
        let detail = "control has not responded for 9 s";
        return Err(refused(ResultCode::ClaimsUnavailable, detail, 1000));
    }
    // Runs in a separate task, because a caller that disconnects must not abort a request that may have been sent.
    let (tx, rx) = oneshot::channel();
    let task_entry = entry.clone();
    let guard = entry.in_flight.enter();
    runtime::spawn(async move {
        drop(tx.send(run_claimed(&task_entry, job, key).await));
        drop(guard);
    })
    .detach();
    rx.await.unwrap_or_else(|_| Err(refused(ResultCode::OutcomeUnknown, "", 0)))
}

async fn run_claimed(entry: &Rc<Entry>, job: Job, key: claims::Key) -> Result<Completed, Refused> {
    let request = claims::Request {
        key,
        profile: job.profile.name.as_str().into(),
        fingerprint: suspects::fingerprint(&job.profile.name, &job.body),
        attempt_id: format!("{}-{:032x}", entry.name(), rand::random::<u128>()).into(),
    };
    entry.dispatcher.check_quarantine(&request.fingerprint)?;
    let remaining = job.deadline.saturating_duration_since(Instant::now());
    match entry.claims.claim(&request, remaining).await {
        Claimed::Granted => {}
        Claimed::Stored(record) => return Ok(stored_response(record)),
        Claimed::Refused(e) => return Err(e),
    }
    let job = Job { idempotency_key: Some(request.key.text.clone()), ..job };
    let result = entry.dispatcher.run(job).await;
    let outcome = match &result {
        Ok(completed) => ClaimOutcome::Finished(completed.clone()),
        Err(e) if e.code.not_run() => ClaimOutcome::Released,
        Err(_) => ClaimOutcome::Unknown,
    };
    let claims = entry.claims.clone();
    let (tx, rx) = oneshot::channel::<()>();
    runtime::spawn(async move {
        claims.finish(&request, outcome).await;
        drop(tx);
    })
    .detach();
    let _ = time::timeout(FINISH_TIMEOUT, rx).await;
    result
}

fn effective_deadline(profile: &inner::Profile, head: &Head) -> Result<Duration, Refused> {
    let profile_ms = match profile.deadline_ms {
        0 => DEFAULT_DEADLINE_MS,
        ms => ms,
    };
    let ms = match &head.deadline_ms {
        None => profile_ms,
        Some(text) => match text.parse::<u32>() {
            Ok(ms) if ms > 0 => ms.min(profile_ms),
            _ => {
                let detail = "x-deadline-ms is not a positive number of milliseconds";
                return Err(refused(ResultCode::BadRequest, detail, 0));
            }
        },
    };
    Ok(Duration::from_millis(ms.into()))
}

/// Hash of the prompt, for prefix affinity.
///
/// # Errors
///
/// Returns a refusal if the body is not a prompt.
pub fn prefix_of(body: &[u8]) -> Result<u64, Refused> {
    let prompt: Prompt = serde_json::from_slice(body)
        .map_err(|e| refused(ResultCode::BadRequest, &e.to_string(), 0))?;
    Ok(xxh3_64(prompt.prompt.as_bytes()))
}

fn stored_response(record: inner::ClaimRecord) -> Completed {
    Completed {
        status: u16::try_from(record.http_status).unwrap_or(200),
        body: record.answer.into(),
        content_type: record.content_type.into(),
        spans: Vec::new(),
        upstream: "".into(),
    }
}

#[derive(Serialize)]
struct EngineResponse<'a> {
    text: &'a str,
    spans: Vec<Span>,
}

#[derive(Serialize)]
struct Span {
    version: u64,
    tokens: u32,
}

fn http_response(profile: &inner::Profile, completed: &Completed) -> http::Response {
    let mut response = match std::str::from_utf8(&completed.body) {
        Ok(text) if profile.engine => {
            let spans = completed.spans.iter();
            let spans = spans.map(|s| Span { version: s.version, tokens: s.tokens }).collect();
            http::json(completed.status, &EngineResponse { text, spans })
        }
        _ => http::full_response(completed.status, &completed.content_type, completed.body.clone()),
    };
    set_header(&mut response, "x-upstream", &completed.upstream);
    response
}

/// Sets a header unless the value is empty or not a valid header value.
pub fn set_header(response: &mut http::Response, name: &'static str, value: &str) {
    if !value.is_empty()
        && let Ok(value) = value.parse()
    {
        response.headers_mut().insert(name, value);
    }
}
