//! Idempotency claims of the state machine; [`orioleworks_rules::claims`] makes the decisions.

use orioleworks_proto::{
    codes::ResultCode,
    inner::{self, ClaimState},
};
use orioleworks_rules::claims::{self as rules, ClaimDecision};

use crate::machine::Machine;

impl Machine {
    /// Stored claim of a key.
    pub fn held_claim(&self, key: &str) -> Option<&inner::ClaimRecord> {
        self.claims.get(key)
    }

    pub(crate) fn claim(&mut self, claim: &inner::Claim, now_ms: u64) -> inner::ProposeReply {
        let held = self.claims.get(&claim.key);
        let decision = rules::decide_claim(
            held.map(|held| to_rule_claim(held, &claim.gone_attempt_id)),
            rules::ClaimRequest {
                attempt_id: &claim.attempt_id,
                fingerprint: &claim.fingerprint,
                issued_ms: claim.issued_ms,
            },
            now_ms,
        );
        match decision {
            ClaimDecision::Granted => self.grant_claim(claim),
            ClaimDecision::Finished => {
                inner::ProposeReply { claim: held.cloned(), ..self.accepted() }
            }
            ClaimDecision::InProgress => self.claim_refused(ResultCode::InProgress, claim),
            ClaimDecision::KeyReused => self.claim_refused(ResultCode::KeyReused, claim),
            ClaimDecision::KeyExpired => self.claim_refused(ResultCode::KeyExpired, claim),
            ClaimDecision::Unknown => {
                // The state stays unknown until the holder itself reports an outcome.
                if let Some(held) = self.claims.get_mut(&claim.key) {
                    held.set_state(ClaimState::Unknown);
                }
                self.claim_refused(ResultCode::OutcomeUnknown, claim)
            }
        }
    }

    fn grant_claim(&mut self, claim: &inner::Claim) -> inner::ProposeReply {
        let record = inner::ClaimRecord {
            key: claim.key.clone(),
            profile: claim.profile.clone(),
            fingerprint: claim.fingerprint.clone(),
            issued_ms: claim.issued_ms,
            entry: claim.entry.clone(),
            entry_incarnation: claim.entry_incarnation,
            attempt_id: claim.attempt_id.clone(),
            state: ClaimState::Running.into(),
            ..inner::ClaimRecord::default()
        };
        if let Some(old) = self.claims.insert(claim.key.clone(), record.clone()) {
            self.claims_by_age.remove(&(old.issued_ms, old.key));
        }
        self.claims_by_age.insert((claim.issued_ms, claim.key.clone()));
        inner::ProposeReply { claim: Some(record), ..self.accepted() }
    }

    fn claim_refused(&self, code: ResultCode, claim: &inner::Claim) -> inner::ProposeReply {
        let held = self.claims.get(&claim.key).cloned();
        // A refused requester must not receive the response.
        let held = held.map(|held| inner::ClaimRecord { answer: Vec::new(), ..held });
        inner::ProposeReply { claim: held, ..self.refused(code, claim.key.clone()) }
    }

    pub(crate) fn finish_claim(&mut self, finish: &inner::FinishClaim) -> inner::ProposeReply {
        let Some(held) = self.claims.get_mut(&finish.key) else {
            return self.refused(ResultCode::UnknownObject, format!("claim {}", finish.key));
        };
        if held.attempt_id != finish.attempt_id {
            let detail = format!("claim {} belongs to another attempt", finish.key);
            return self.refused(ResultCode::Conflict, detail);
        }
        // Only the first final outcome is stored; later reports are accepted without effect.
        if rules::may_finish(to_rule_claim(held, ""), &finish.attempt_id) {
            held.state = finish.state;
            held.http_status = finish.http_status;
            held.answer = finish.answer.clone();
            held.content_type = finish.content_type.clone();
        }
        let claim = inner::ClaimRecord { answer: Vec::new(), ..held.clone() };
        inner::ProposeReply { claim: Some(claim), ..self.accepted() }
    }

    pub(crate) fn remove_expired_claims(&mut self, now_ms: u64) {
        while let Some((issued_ms, key)) = self.claims_by_age.first().cloned() {
            if !rules::may_forget(issued_ms, now_ms) {
                return;
            }
            self.claims_by_age.pop_first();
            self.claims.remove(&key);
        }
    }

    /// Adds the response to a stored result; only the claim record stores the response.
    pub(crate) fn with_response(&self, mut reply: inner::ProposeReply) -> inner::ProposeReply {
        if reply.code == ResultCode::Ok.number()
            && let Some(claim) = &mut reply.claim
            && claim.state() == ClaimState::Finished
            && let Some(held) = self.claims.get(&claim.key)
            && held.attempt_id == claim.attempt_id
        {
            claim.answer = held.answer.clone();
        }
        reply
    }
}

fn to_rule_claim<'a>(held: &'a inner::ClaimRecord, gone_attempt_id: &str) -> rules::HeldClaim<'a> {
    rules::HeldClaim {
        state: to_rule_state(held.state()),
        attempt_id: &held.attempt_id,
        fingerprint: &held.fingerprint,
        holder_terminated: !gone_attempt_id.is_empty() && held.attempt_id == gone_attempt_id,
    }
}

fn to_rule_state(state: ClaimState) -> rules::ClaimState {
    match state {
        ClaimState::Running => rules::ClaimState::Running,
        ClaimState::Finished => rules::ClaimState::Finished,
        ClaimState::Released => rules::ClaimState::Released,
        ClaimState::Unknown | ClaimState::Unspecified => rules::ClaimState::Unknown,
    }
}
