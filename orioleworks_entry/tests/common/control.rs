//! In-memory fake of control.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use compio::time;
use orioleworks_daemon::clock;
use orioleworks_proto::{
    codes::ResultCode,
    inner::{self, command::Kind, frame::Body},
};
use orioleworks_rules::claims::{ClaimDecision, ClaimRequest, ClaimState, HeldClaim, decide_claim};

/// Control replica that applies claims and quarantines in memory.
#[derive(Clone, Default)]
pub struct FakeControl {
    pub config: Rc<RefCell<inner::Config>>,
    pub claims: Rc<RefCell<HashMap<String, inner::ClaimRecord>>>,
    /// Replies by order ID; a repeated proposal gets the first reply.
    pub replies: Rc<RefCell<HashMap<String, inner::ProposeReply>>>,
    /// Delay of every reply to a proposal, after it was applied.
    pub reply_delay: Rc<RefCell<Duration>>,
    /// The applied revision that each watch request reported.
    pub applied_revisions: Rc<RefCell<Vec<u64>>>,
}

impl FakeControl {
    pub async fn handle(self, body: Body) -> Option<Body> {
        match body {
            Body::Propose(propose) => {
                let earlier = self.replies.borrow().get(&propose.order_id).cloned();
                let reply = earlier.unwrap_or_else(|| self.apply(propose.command.unwrap()));
                self.replies.borrow_mut().insert(propose.order_id, reply.clone());
                let delay = *self.reply_delay.borrow();
                time::sleep(delay).await;
                Some(Body::ProposeReply(reply))
            }
            Body::Watch(watch) => {
                self.applied_revisions.borrow_mut().push(watch.applied_revision);
                for _ in 0..watch.wait_ms / 10 {
                    if self.config.borrow().revision > watch.applied_revision {
                        break;
                    }
                    time::sleep(Duration::from_millis(10)).await;
                }
                let config = self.config.borrow().clone();
                let revision = config.revision;
                let entries = watch.entry.into_iter().collect();
                Some(Body::WatchReply(inner::WatchReply {
                    revision,
                    config: Some(config),
                    entries,
                    ..Default::default()
                }))
            }
            _ => None,
        }
    }

    fn apply(&self, command: inner::Command) -> inner::ProposeReply {
        match command.kind.unwrap() {
            Kind::Claim(claim) => self.apply_claim(claim),
            Kind::FinishClaim(finish) => {
                let mut claims = self.claims.borrow_mut();
                let record = claims.get_mut(&finish.key).unwrap();
                assert_eq!(record.attempt_id, finish.attempt_id);
                record.state = finish.state;
                record.http_status = finish.http_status;
                record.answer = finish.answer;
                record.content_type = finish.content_type;
                inner::ProposeReply::default()
            }
            Kind::Quarantine(quarantine) => {
                let mut config = self.config.borrow_mut();
                config.revision += 1;
                config.quarantined.push(inner::Quarantined {
                    fingerprint: quarantine.fingerprint,
                    profile: quarantine.profile,
                    reason: quarantine.reason,
                    until_ms: clock::unix_ms() + 600_000,
                });
                inner::ProposeReply::default()
            }
            _ => inner::ProposeReply::default(),
        }
    }

    fn apply_claim(&self, claim: inner::Claim) -> inner::ProposeReply {
        let mut claims = self.claims.borrow_mut();
        let held = claims.get(&claim.key);
        let state = |record: &inner::ClaimRecord| match record.state() {
            inner::ClaimState::Finished => ClaimState::Finished,
            inner::ClaimState::Unknown => ClaimState::Unknown,
            inner::ClaimState::Released => ClaimState::Released,
            _ => ClaimState::Running,
        };
        let held = held.map(|record| HeldClaim {
            state: state(record),
            attempt_id: &record.attempt_id,
            fingerprint: &record.fingerprint,
            holder_terminated: false,
        });
        let request = ClaimRequest {
            attempt_id: &claim.attempt_id,
            fingerprint: &claim.fingerprint,
            issued_ms: claim.issued_ms,
        };
        let decision = decide_claim(held, request, clock::unix_ms());
        if decision == ClaimDecision::Granted {
            let record = inner::ClaimRecord {
                key: claim.key.clone(),
                fingerprint: claim.fingerprint,
                attempt_id: claim.attempt_id,
                state: inner::ClaimState::Running.into(),
                ..Default::default()
            };
            claims.insert(claim.key.clone(), record);
        }
        let code = match decision {
            ClaimDecision::Granted | ClaimDecision::Finished => ResultCode::Ok,
            ClaimDecision::InProgress => ResultCode::InProgress,
            ClaimDecision::Unknown => ResultCode::OutcomeUnknown,
            ClaimDecision::KeyReused => ResultCode::KeyReused,
            ClaimDecision::KeyExpired => ResultCode::KeyExpired,
        };
        let claim = claims.get(&claim.key).cloned();
        inner::ProposeReply { code: code.number(), claim, ..Default::default() }
    }

    pub fn claim_state(&self, key: &str) -> Option<inner::ClaimState> {
        self.claims.borrow().get(key).map(inner::ClaimRecord::state)
    }
}
