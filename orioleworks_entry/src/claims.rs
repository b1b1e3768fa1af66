//! Claims of non-idempotent requests.
//!
//! A claim is replicated before the first byte of the request is sent, and finished with the response.
//!
//! See `docs/design.md`, section 7.

use std::{rc::Rc, time::Duration};

use compio::{runtime, time};
use orioleworks_daemon::{clock, control::ControlClient, event, shutdown::InFlight};
use orioleworks_proto::{
    codes::ResultCode,
    inner::{self, command::Kind},
};
use orioleworks_rules::claims::{CLAIM_RETENTION_MS, ClaimDecision, is_expired, may_dispatch};

use crate::{
    dispatch::{Completed, Refused},
    dispatcher::refused,
};

/// Longest wait for a claim before the caller is told to retry.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of one attempt to confirm an order in the background.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay between two attempts to confirm an order.
const CONFIRM_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time after which a caller should retry if claims cannot be replicated or the claim is in progress.
const RETRY_AFTER_MS: u32 = 1000;

/// A parsed idempotency key.
#[derive(Clone, Debug)]
pub struct Key {
    /// The key as the caller sent it.
    pub text: Rc<str>,
    /// Issue time in milliseconds since the epoch.
    pub issued_ms: u64,
}

impl Key {
    /// Parses `<issue time in ms since the epoch>-<random>`.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a malformed or old key.
    pub fn parse(text: &str) -> Result<Self, Refused> {
        let malformed =
            || refused(ResultCode::BadRequest, "idempotency-key is not <ms>-<random>", 0);
        let (issued, random) = text.split_once('-').ok_or_else(malformed)?;
        let issued_ms: u64 = issued.parse().map_err(|_| malformed())?;
        if random.is_empty() || text.len() > 128 || !text.is_ascii() {
            return Err(malformed());
        }
        if is_expired(issued_ms, clock::unix_ms()) {
            return Err(refused(ResultCode::KeyExpired, "", 0));
        }
        Ok(Self { text: text.into(), issued_ms })
    }
}

/// A request for a claim.
#[derive(Clone, Debug)]
pub struct Request {
    /// Idempotency key.
    pub key: Key,
    /// Name of the profile.
    pub profile: Rc<str>,
    /// Hash of profile and body.
    pub fingerprint: Rc<str>,
    /// Unique ID of this attempt.
    pub attempt_id: Rc<str>,
}

/// Result of a request for a claim.
#[derive(Clone, Debug)]
pub enum Claimed {
    /// This attempt holds the claim; the request may be sent once.
    Granted,
    /// The request has finished; this record holds its response.
    Stored(inner::ClaimRecord),
    /// The claim is not granted, so the request must not run.
    Refused(Refused),
}

/// Outcome of a claimed request.
#[derive(Clone, Debug)]
pub enum ClaimOutcome {
    /// The response is complete.
    Finished(Completed),
    /// The request certainly did not run.
    Released,
    /// The request may have run.
    Unknown,
}

/// Claims of one entry; clones share the control client.
#[derive(Clone, Debug)]
pub struct Claims {
    control: ControlClient,
    entry: Rc<str>,
    incarnation: u64,
    in_flight: InFlight,
}

impl Claims {
    /// Creates the claims of the named entry; `in_flight` counts the work that a drain waits for.
    pub fn new(
        control: ControlClient,
        entry: impl Into<Rc<str>>,
        incarnation: u64,
        in_flight: InFlight,
    ) -> Self {
        Self { control, entry: entry.into(), incarnation, in_flight }
    }

    /// Requests the claim from control.
    pub async fn claim(&self, request: &Request, remaining: Duration) -> Claimed {
        fail::fail_point!("claims.before_claim");
        let timeout = remaining.min(CLAIM_TIMEOUT);
        let reply = self
            .control
            .propose(claim_order_id(request), self.claim_command(request), timeout)
            .await;
        let reply = match reply {
            Ok(reply) => reply,
            Err(e) => {
                // An order without a result may still be accepted, even if an earlier attempt was lost.
                self.release_late(request.clone());
                let detail = e.to_string();
                return Claimed::Refused(refused(
                    ResultCode::ClaimsUnavailable,
                    &detail,
                    RETRY_AFTER_MS,
                ));
            }
        };
        fail::fail_point!("claims.after_claim");
        match decision(request, &reply) {
            // The reply of a leader is sent after the commit.
            decision if may_dispatch(decision, true, false) => Claimed::Granted,
            ClaimDecision::Finished => Claimed::Stored(reply.claim.unwrap_or_default()),
            ClaimDecision::InProgress => {
                Claimed::Refused(refused(ResultCode::InProgress, "", RETRY_AFTER_MS))
            }
            ClaimDecision::KeyReused => Claimed::Refused(refused(ResultCode::KeyReused, "", 0)),
            ClaimDecision::KeyExpired => Claimed::Refused(refused(ResultCode::KeyExpired, "", 0)),
            ClaimDecision::Unknown | ClaimDecision::Granted => {
                Claimed::Refused(refused(ResultCode::OutcomeUnknown, "", 0))
            }
        }
    }

    /// Stores the outcome of a claimed request; repeats the order until control confirms it.
    pub async fn finish(&self, request: &Request, outcome: ClaimOutcome) {
        let _in_flight = self.in_flight.enter();
        fail::fail_point!("claims.before_finish");
        self.confirm(request, finish_order_id(request), finish_command(request, outcome)).await;
        fail::fail_point!("claims.after_finish");
    }

    /// Releases a claim if it is granted after the response said that the request did not run.
    fn release_late(&self, request: Request) {
        let claims = self.clone();
        let guard = self.in_flight.enter();
        runtime::spawn(async move {
            // The release must come after the claim in the log, so the claim is confirmed first.
            let command = claims.claim_command(&request);
            let reply = claims.confirm(&request, claim_order_id(&request), command).await;
            if reply.is_some_and(|reply| decision(&request, &reply) == ClaimDecision::Granted) {
                event!(info, "late_claim_released", attempt_id = request.attempt_id);
                claims.finish(&request, ClaimOutcome::Released).await;
            }
            drop(guard);
        })
        .detach();
    }

    async fn confirm(
        &self,
        request: &Request,
        order_id: String,
        command: inner::Command,
    ) -> Option<inner::ProposeReply> {
        // After the retention time the key is rejected regardless of its claim.
        while clock::unix_ms() < request.key.issued_ms.saturating_add(CLAIM_RETENTION_MS) {
            match self.control.propose(order_id.clone(), command.clone(), CONFIRM_TIMEOUT).await {
                Ok(reply) => return Some(reply),
                Err(e) => {
                    event!(warn, "claim_not_confirmed", order_id = order_id, reason = e);
                    time::sleep(CONFIRM_RETRY_DELAY).await;
                }
            }
        }
        None
    }

    fn claim_command(&self, request: &Request) -> inner::Command {
        let claim = inner::Claim {
            key: request.key.text.to_string(),
            profile: request.profile.to_string(),
            fingerprint: request.fingerprint.to_string(),
            issued_ms: request.key.issued_ms,
            entry: self.entry.to_string(),
            entry_incarnation: self.incarnation,
            attempt_id: request.attempt_id.to_string(),
            gone_attempt_id: String::new(),
        };
        inner::Command { expected_revision: None, kind: Some(Kind::Claim(claim)) }
    }
}

fn claim_order_id(request: &Request) -> String {
    format!("{}.claim", request.attempt_id)
}

fn finish_order_id(request: &Request) -> String {
    format!("{}.finish", request.attempt_id)
}

fn finish_command(request: &Request, outcome: ClaimOutcome) -> inner::Command {
    let (state, completed) = match outcome {
        ClaimOutcome::Finished(completed) => (inner::ClaimState::Finished, Some(completed)),
        ClaimOutcome::Released => (inner::ClaimState::Released, None),
        ClaimOutcome::Unknown => (inner::ClaimState::Unknown, None),
    };
    let mut finish = inner::FinishClaim {
        key: request.key.text.to_string(),
        attempt_id: request.attempt_id.to_string(),
        state: state.into(),
        ..inner::FinishClaim::default()
    };
    if let Some(completed) = completed {
        finish.http_status = completed.status.into();
        finish.answer = completed.body.to_vec();
        finish.content_type = completed.content_type.to_string();
    }
    inner::Command { expected_revision: None, kind: Some(Kind::FinishClaim(finish)) }
}

/// Translates a reply of control; anything but an unambiguous grant is not a grant.
fn decision(request: &Request, reply: &inner::ProposeReply) -> ClaimDecision {
    match ResultCode::from_number(reply.code) {
        Some(ResultCode::Ok) => {}
        Some(ResultCode::InProgress) => return ClaimDecision::InProgress,
        Some(ResultCode::KeyReused) => return ClaimDecision::KeyReused,
        Some(ResultCode::KeyExpired) => return ClaimDecision::KeyExpired,
        _ => return ClaimDecision::Unknown,
    }
    let Some(record) = &reply.claim else { return ClaimDecision::Unknown };
    match record.state() {
        inner::ClaimState::Finished => ClaimDecision::Finished,
        inner::ClaimState::Running if *record.attempt_id == *request.attempt_id => {
            ClaimDecision::Granted
        }
        inner::ClaimState::Running => ClaimDecision::InProgress,
        _ => ClaimDecision::Unknown,
    }
}
