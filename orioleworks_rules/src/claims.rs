//! Rules of idempotency claims; see `docs/design.md`, section 7.

/// Time for which a claim is kept after its key was issued, in milliseconds.
pub const CLAIM_RETENTION_MS: u64 = 10 * 60 * 1000;

/// Largest time by which the issue time of a key may be ahead of control's clock, in milliseconds.
pub const MAX_CLOCK_SKEW_MS: u64 = 30 * 1000;

/// State of a claim in the replicated state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClaimState {
    /// An attempt holds the claim and may have sent the request.
    Running,
    /// The stored response is final.
    Finished,
    /// The outcome cannot be known.
    Unknown,
    /// The request did not run; the key may be claimed again.
    Released,
}

/// Claim that control has stored for a key, reduced to the fields that the rules use.
#[derive(Clone, Copy, Debug)]
pub struct HeldClaim<'a> {
    /// State of the claim.
    pub state: ClaimState,
    /// Attempt that made the claim.
    pub attempt_id: &'a str,
    /// Profile and content of the request.
    pub fingerprint: &'a str,
    /// Whether the entry that holds the claim is known to have terminated.
    pub holder_terminated: bool,
}

/// Request for a claim.
#[derive(Clone, Copy, Debug)]
pub struct ClaimRequest<'a> {
    /// Attempt that requests the claim.
    pub attempt_id: &'a str,
    /// Profile and content of the request.
    pub fingerprint: &'a str,
    /// Issue time contained in the key, in milliseconds since the Unix epoch.
    pub issued_ms: u64,
}

/// Response to a request for a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClaimDecision {
    /// The requesting attempt holds the claim and may dispatch.
    Granted,
    /// Another attempt holds it.
    InProgress,
    /// The request has finished; its stored response is returned.
    Finished,
    /// The request may have run; it will not run again.
    Unknown,
    /// The key was used for other content.
    KeyReused,
    /// The key is older than the retention, so its claim may have been removed, or its issue time is too far ahead.
    KeyExpired,
}

/// Decides a request for a claim; `now_ms` is control's clock.
pub fn decide_claim(
    held: Option<HeldClaim<'_>>,
    request: ClaimRequest<'_>,
    now_ms: u64,
) -> ClaimDecision {
    if is_expired(request.issued_ms, now_ms) || request.issued_ms > now_ms + MAX_CLOCK_SKEW_MS {
        return ClaimDecision::KeyExpired;
    }
    let Some(held) = held else { return ClaimDecision::Granted };
    if held.fingerprint != request.fingerprint {
        return ClaimDecision::KeyReused;
    }
    match held.state {
        ClaimState::Released => ClaimDecision::Granted,
        ClaimState::Finished => ClaimDecision::Finished,
        ClaimState::Unknown => ClaimDecision::Unknown,
        // The same attempt retries if the response to its first request was lost.
        ClaimState::Running if held.attempt_id == request.attempt_id => ClaimDecision::Granted,
        ClaimState::Running if held.holder_terminated => ClaimDecision::Unknown,
        ClaimState::Running => ClaimDecision::InProgress,
    }
}

/// Whether a key is so old that its claim may have been removed.
pub fn is_expired(issued_ms: u64, now_ms: u64) -> bool {
    issued_ms.saturating_add(CLAIM_RETENTION_MS) <= now_ms
}

/// Whether control may remove a claim; it keeps claims longer than it accepts their keys.
pub fn may_forget(issued_ms: u64, now_ms: u64) -> bool {
    issued_ms.saturating_add(CLAIM_RETENTION_MS + MAX_CLOCK_SKEW_MS) <= now_ms
}

/// Whether the first byte of a non-idempotent request may go to an upstream.
pub fn may_dispatch(decision: ClaimDecision, claim_committed: bool, already_sent: bool) -> bool {
    decision == ClaimDecision::Granted && claim_committed && !already_sent
}

/// Facts that an entry knows about one attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptFacts {
    /// At least one byte may have been sent to the upstream.
    pub sent: bool,
    /// The upstream reported that it refused the request without running it.
    pub refused_by_upstream: bool,
    /// The response arrived complete, with its end marker.
    pub complete: bool,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AttemptOutcome {
    /// The request did not run.
    NotRun,
    /// The request ran and its response is complete.
    Finished,
    /// The request may have run.
    Unknown,
}

/// Derives the outcome from the facts; `NotRun` requires certainty.
pub fn attempt_outcome(facts: AttemptFacts) -> AttemptOutcome {
    if facts.refused_by_upstream || !facts.sent {
        AttemptOutcome::NotRun
    } else if facts.complete {
        AttemptOutcome::Finished
    } else {
        AttemptOutcome::Unknown
    }
}

/// Whether a claim may be released: the request did not run, and its attempt can no longer send it.
pub fn may_release(outcome: AttemptOutcome, closed_to_sending: bool) -> bool {
    outcome == AttemptOutcome::NotRun && closed_to_sending
}

/// Whether an attempt may finish a claim: a delayed report must not finish the claim of another attempt.
///
/// An unknown outcome may still be replaced by a report of the same attempt, for example after its entry was paused.
pub fn may_finish(held: HeldClaim<'_>, attempt_id: &str) -> bool {
    matches!(held.state, ClaimState::Running | ClaimState::Unknown) && held.attempt_id == attempt_id
}
