//! One attempt of a reward call at one upstream.

use std::time::{Duration, Instant};

use http_body_util::Full;
use orioleworks_fleet::pool::{Pool, SendError};
use orioleworks_platform::upstream::{self, Verdict};
use orioleworks_proto::inner;
use orioleworks_routing::{
    fleet::{LeavingNotice, Upstream},
    outlier::Key,
    rates,
};

use crate::runner::{RunEnd, failed_run};

/// Largest body of a response; none of it is kept.
const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The upstream's signature over its whole response, which is the score.
    Scored(String),
    /// There is no score.
    Failed(RunEnd),
}

/// Sends a reward call to an upstream. A response counts only if it is whole, in the time that the route allows. What its
/// head says of the upstream is passed to `observe`.
pub async fn send(
    pool: &Pool,
    up: &Upstream,
    key: &Key,
    call: &inner::RewardCall,
    timeout: Duration,
    observe: impl Fn(rates::Notice, LeavingNotice),
) -> CallEnd {
    let head = upstream::reward_call_request(call, &up.id, timeout);
    let req = match head.map(|head| head.body(Full::new(call.body.clone()))) {
        Ok(Ok(req)) => req,
        // The gateway refuses a batch with such a call, so another version of the program must have accepted it.
        Ok(Err(_)) | Err(_) => return CallEnd::Failed(RunEnd::Impossible),
    };
    let deadline = Instant::now() + timeout;
    let exchange = match pool.send(&up.address, key, req, timeout).await {
        Ok(exchange) => exchange,
        Err(e) => return CallEnd::Failed(failed_run(&e)),
    };
    let (status, headers) = (exchange.head.status, &exchange.head.headers);
    let verdict = upstream::classify_response(status, headers);
    observe(
        upstream::rate_notice(verdict, status, headers),
        upstream::leaving_notice(verdict, status, headers),
    );
    let failure = match verdict {
        Verdict::NotRun => RunEnd::NotRun,
        Verdict::Unverified => {
            return CallEnd::Failed(RunEnd::Lost("the response is not signed".into()));
        }
        Verdict::Answered if status.is_success() => {
            let Some(score) = upstream::signature(headers).map(str::to_owned) else {
                return CallEnd::Failed(RunEnd::Lost("the response is not signed".into()));
            };
            let left = deadline.saturating_duration_since(Instant::now());
            return match exchange.skip(MAX_BODY_BYTES, left).await {
                Ok(()) => CallEnd::Scored(score),
                Err(SendError::Invalid(_)) => CallEnd::Failed(RunEnd::Endless("the response")),
                Err(e) => CallEnd::Failed(failed_run(&e)),
            };
        }
        Verdict::Answered if status == http::StatusCode::INTERNAL_SERVER_ERROR => RunEnd::Failed,
        Verdict::Answered => RunEnd::Lost(format!("status {}", status.as_u16())),
    };
    exchange.discard();
    CallEnd::Failed(failure)
}
