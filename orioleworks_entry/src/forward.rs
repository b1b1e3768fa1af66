//! Forwards a job that has no live upstream here to an entry of another failure domain, where it runs once.
//!
//! See `docs/design.md`, sections 3, 7 and 8.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::{FutureExt, select};
use orioleworks_daemon::rpc::{self, RpcError};
use orioleworks_proto::{
    codes::ResultCode,
    inner::{self, frame::Body},
};
use tokio_util::sync::CancellationToken;

use crate::{
    calls,
    configuration::Configuration,
    dispatch::{Completed, Job, Refused},
    peers::Peers,
    runs_dispatch::RunJob,
    runs_judge,
};

/// Time to wait beyond the deadline for the peer's reply that reports the missed deadline.
const DEADLINE_SLACK: Duration = Duration::from_millis(200);
/// Time after which a caller should retry if no peer can run the job.
const RETRY_AFTER_MS: u32 = 500;

fn refused(code: ResultCode, detail: impl Into<String>, retry_after_ms: u32) -> Refused {
    Refused { code, detail: detail.into(), retry_after_ms }
}

/// Runs a job once through a peer of another failure domain.
///
/// Another peer is tried only if the connection could not be opened, so that nothing was sent.
///
/// # Errors
///
/// Returns the peer's refusal. The outcome is unknown when the connection broke after the job was sent.
pub async fn forward(peers: &Peers, job: Job) -> Result<Completed, Refused> {
    if job.local_only {
        return Err(refused(
            ResultCode::NoUpstream,
            "the job is already forwarded",
            RETRY_AFTER_MS,
        ));
    }
    for peer in peers.candidates(&job.profile.upstream_kind, job.lowest_version) {
        if let Some(result) = forward_to(&peer, &job).await {
            return result;
        }
    }
    let detail = format!("kind {}", job.profile.upstream_kind);
    Err(refused(ResultCode::NoUpstream, detail, RETRY_AFTER_MS))
}

/// Runs a job once through one peer; `None` if nothing was sent because the peer cannot be reached.
pub async fn forward_to(peer: &rpc::Client, job: &Job) -> Option<Result<Completed, Refused>> {
    let remaining = job.deadline.saturating_duration_since(Instant::now());
    if remaining.is_zero() {
        return Some(Err(refused(ResultCode::DeadlineBeforeDispatch, "", 0)));
    }
    let call = peer.call(Body::Forward(message(job, remaining)), remaining + DEADLINE_SLACK);
    let mut call = std::pin::pin!(call.fuse());
    let mut cancelled = std::pin::pin!(job.cancel.cancelled().fuse());
    let result = select! {
        result = call => result,
        () = cancelled => {
            let detail = "cancelled after the job was sent to a peer";
            return Some(Err(refused(ResultCode::OutcomeUnknown, detail, 0)));
        }
    };
    metrics::counter!("orioleworks_forwards_total").increment(1);
    match result {
        Ok(Body::ForwardReply(reply)) => Some(completed(reply)),
        Err(RpcError::Unreachable(_)) => None,
        Err(RpcError::Timeout) => {
            Some(Err(refused(ResultCode::DeadlineExceeded, "the peer did not reply", 0)))
        }
        Ok(_) | Err(_) => {
            let detail = "the connection to the peer broke after the job was sent";
            Some(Err(refused(ResultCode::OutcomeUnknown, detail, 0)))
        }
    }
}

fn message(job: &Job, remaining: Duration) -> inner::Forward {
    inner::Forward {
        attempt_id: job.request_id.to_string(),
        profile: job.profile.name.clone(),
        body: job.body.to_vec(),
        content_type: job.content_type.to_string(),
        deadline_ms: u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX),
        lowest_version: job.lowest_version,
        idempotency_key: job.idempotency_key.as_deref().unwrap_or_default().into(),
        owed: job.owed,
    }
}

fn completed(reply: inner::ForwardReply) -> Result<Completed, Refused> {
    match ResultCode::from_number(reply.code) {
        Some(ResultCode::Ok) => Ok(Completed {
            status: u16::try_from(reply.http_status).unwrap_or(500),
            body: reply.answer.into(),
            content_type: reply.content_type.into(),
            spans: reply.spans,
            upstream: reply.upstream.into(),
        }),
        // With a code that this version does not know, the request may have run.
        code => Err(Refused {
            code: code.unwrap_or(ResultCode::OutcomeUnknown),
            detail: reply.message,
            retry_after_ms: reply.retry_after_ms,
        }),
    }
}

/// Handles the messages of other entries; clones share its state.
#[derive(Clone)]
pub struct Server {
    /// State of the peers, updated by their digests.
    pub peers: Peers,
    /// Current configuration.
    pub configuration: Configuration,
    /// Runs a job on an upstream of this failure domain.
    pub run: RunJob,
}

impl Server {
    /// Replies to one message; `None` for a message that entries do not handle.
    pub async fn handle(&self, body: Body) -> Option<Body> {
        match body {
            Body::Digest(digest) => {
                let holds = self.peers.receive(digest);
                let revision = self.configuration.revision();
                Some(Body::DigestReply(inner::DigestReply { revision, holds }))
            }
            Body::FetchConfig(_) => {
                let config = self.configuration.is_ready().then(|| self.configuration.to_message());
                Some(Body::FetchConfigReply(inner::FetchConfigReply { config }))
            }
            Body::Forward(forward) => Some(Body::ForwardReply(self.run_forwarded(forward).await)),
            _ => None,
        }
    }

    async fn run_forwarded(&self, forward: inner::Forward) -> inner::ForwardReply {
        let Some(profile) = self.profile(&forward.profile) else {
            let detail = format!("profile {} at the peer", forward.profile);
            return reply(Err(refused(ResultCode::UnknownProfile, detail, RETRY_AFTER_MS)));
        };
        let prefix = profile.engine.then(|| calls::prefix_of(&forward.body).ok()).flatten();
        let job = Job {
            request_id: forward.attempt_id.into(),
            profile,
            body: forward.body.into(),
            content_type: forward.content_type.into(),
            deadline: Instant::now() + Duration::from_millis(forward.deadline_ms.into()),
            prefix,
            lowest_version: forward.lowest_version,
            avoid: Vec::new(),
            idempotency_key: Some(forward.idempotency_key)
                .filter(|key| !key.is_empty())
                .map(Into::into),
            owed: forward.owed,
            local_only: true,
            cancel: CancellationToken::new(),
        };
        reply((self.run)(job).await)
    }

    /// A profile of the current configuration, or the judge profile derived from one.
    fn profile(&self, name: &str) -> Option<Rc<inner::Profile>> {
        match name.strip_suffix(runs_judge::PROFILE_SUFFIX) {
            Some(base) => {
                runs_judge::judge_profile(&*self.configuration.profile(base)?).map(Rc::new)
            }
            None => self.configuration.profile(name),
        }
    }
}

fn reply(result: Result<Completed, Refused>) -> inner::ForwardReply {
    match result {
        Ok(completed) => inner::ForwardReply {
            code: ResultCode::Ok.number(),
            http_status: completed.status.into(),
            answer: completed.body.to_vec(),
            content_type: completed.content_type.to_string(),
            spans: completed.spans,
            upstream: completed.upstream.to_string(),
            ..Default::default()
        },
        Err(refused) => inner::ForwardReply {
            code: refused.code.number(),
            message: refused.detail,
            retry_after_ms: refused.retry_after_ms,
            not_run: refused.code.not_run(),
            ..Default::default()
        },
    }
}
