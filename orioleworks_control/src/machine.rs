//! Deterministic state machine of control; its only clock is the leader's timestamp in each log entry.

use std::collections::{BTreeSet, HashMap, VecDeque};

use indexmap::IndexMap;
use orioleworks_proto::{
    codes::ResultCode,
    inner::{self, change, command::Kind},
};
use orioleworks_rules::delivery;

use crate::results::Results;

/// Changes kept for watches; an entry that is further behind receives the complete configuration.
pub const MAX_CHANGES: usize = 1000;
/// Time in milliseconds for which an order lease is valid after its renewal.
pub const ORDER_LEASE_MS: u64 = 3000;
/// Time in milliseconds for which a fingerprint is quarantined.
pub const QUARANTINE_MS: u64 = 10 * 60 * 1000;

/// The complete replicated state.
#[derive(Debug, Default)]
pub struct Machine {
    pub(crate) revision: u64,
    pub(crate) profiles: IndexMap<String, inner::VersionedProfile>,
    pub(crate) stopped_upstreams: IndexMap<String, u64>,
    pub(crate) model_versions: IndexMap<String, u64>,
    pub(crate) quarantined: IndexMap<String, inner::Quarantined>,
    pub(crate) changes: VecDeque<inner::Change>,
    pub(crate) runs: IndexMap<String, inner::RunRecord>,
    pub(crate) leases: IndexMap<String, inner::OrderLease>,
    pub(crate) claims: HashMap<String, inner::ClaimRecord>,
    /// Keys in the order of their issue time, to find expired claims without a scan.
    pub(crate) claims_by_age: BTreeSet<(u64, String)>,
    pub(crate) order_results: Results,
    pub(crate) claim_results: Results,
}

impl Machine {
    /// Configuration revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies one committed log entry.
    pub fn apply(&mut self, entry: &inner::LogEntry) -> inner::ProposeReply {
        self.remove_expired(entry.now_ms);
        let stored = self.order_results.get(&entry.order_id);
        if let Some(stored) = stored.or_else(|| self.claim_results.get(&entry.order_id)) {
            return self.with_response(stored.clone());
        }
        let Some(command) = &entry.command else { return inner::ProposeReply::default() };
        let reply = self.execute(command, entry.now_ms);
        if !entry.order_id.is_empty() {
            self.store_result(&entry.order_id, command.kind.as_ref(), &reply);
        }
        reply
    }

    fn execute(&mut self, command: &inner::Command, now_ms: u64) -> inner::ProposeReply {
        let expected = command.expected_revision;
        match &command.kind {
            None | Some(Kind::Noop(_) | Kind::Membership(_)) => self.accepted(),
            Some(Kind::PutProfile(profile)) => self.put_profile(expected, profile),
            Some(Kind::RetireProfile(name)) => self.retire_profile(expected, name),
            Some(Kind::StopUpstream(name)) => self.stop_upstream(expected, name),
            Some(Kind::StartUpstream(name)) => self.start_upstream(expected, name),
            Some(Kind::PublishVersion(publish)) => self.publish_version(expected, publish),
            Some(Kind::OpenRun(open)) => self.open_run(open),
            Some(Kind::AcquireOrderLease(lease)) => self.acquire_lease(lease, now_ms),
            Some(Kind::Claim(claim)) => self.claim(claim, now_ms),
            Some(Kind::FinishClaim(finish)) => self.finish_claim(finish),
            Some(Kind::Quarantine(quarantine)) => self.quarantine(quarantine, now_ms),
            Some(Kind::ReleaseQuarantine(fingerprint)) => self.release_quarantine(fingerprint),
            Some(
                Kind::PutBatch(_)
                | Kind::PutScoredBatch(_)
                | Kind::PutOwnedBatch(_)
                | Kind::EndOwnedBatch(_)
                | Kind::RecordUsage(_)
                | Kind::CloseUsageWindow(_)
                | Kind::UsageReported(_)
                | Kind::RecordResults(_)
                | Kind::EndBatch(_)
                | Kind::PutDocument(_)
                | Kind::RetireStore(_),
            ) => self.refused(ResultCode::InvalidOrder, "a command for stores".into()),
        }
    }

    fn put_profile(
        &mut self,
        expected: Option<u64>,
        profile: &inner::Profile,
    ) -> inner::ProposeReply {
        let current = self.profiles.get(&profile.name).map_or(0, |held| held.revision);
        if let Some(conflict) = self.revision_conflict(expected, current, &profile.name) {
            return conflict;
        }
        let versioned =
            inner::VersionedProfile { revision: self.revision + 1, profile: Some(profile.clone()) };
        self.profiles.insert(profile.name.clone(), versioned.clone());
        self.record_change(change::Kind::Profile(versioned))
    }

    fn retire_profile(&mut self, expected: Option<u64>, name: &str) -> inner::ProposeReply {
        let current = self.profiles.get(name).map_or(0, |held| held.revision);
        if let Some(conflict) = self.revision_conflict(expected, current, name) {
            return conflict;
        }
        if self.profiles.shift_remove(name).is_none() {
            return self.refused(ResultCode::UnknownObject, format!("profile {name}"));
        }
        self.record_change(change::Kind::RetiredProfile(name.into()))
    }

    fn stop_upstream(&mut self, expected: Option<u64>, name: &str) -> inner::ProposeReply {
        let current = self.stopped_upstreams.get(name).copied().unwrap_or(0);
        if let Some(conflict) = self.revision_conflict(expected, current, name) {
            return conflict;
        }
        if current > 0 {
            return self.accepted();
        }
        self.stopped_upstreams.insert(name.into(), self.revision + 1);
        self.record_change(change::Kind::StoppedUpstream(name.into()))
    }

    fn start_upstream(&mut self, expected: Option<u64>, name: &str) -> inner::ProposeReply {
        let current = self.stopped_upstreams.get(name).copied().unwrap_or(0);
        if let Some(conflict) = self.revision_conflict(expected, current, name) {
            return conflict;
        }
        if self.stopped_upstreams.shift_remove(name).is_none() {
            let text = format!("no stop order for upstream {name}");
            return self.refused(ResultCode::UnknownObject, text);
        }
        self.record_change(change::Kind::StartedUpstream(name.into()))
    }

    fn publish_version(
        &mut self,
        expected: Option<u64>,
        publish: &inner::ModelVersion,
    ) -> inner::ProposeReply {
        // The version serves as the revision of a model, because it only increases.
        let current = self.model_versions.get(&publish.model).copied().unwrap_or(0);
        if let Some(conflict) = self.revision_conflict(expected, current, &publish.model) {
            return conflict;
        }
        if publish.version <= current {
            let message = format!("{}: version {current} is published already", publish.model);
            let conflict = self.refused(ResultCode::Conflict, message);
            return inner::ProposeReply { revision: current, ..conflict };
        }
        self.model_versions.insert(publish.model.clone(), publish.version);
        self.record_change(change::Kind::Version(publish.clone()))
    }

    fn open_run(&mut self, open: &inner::OpenRun) -> inner::ProposeReply {
        let run = self.runs.entry(open.run.clone()).or_default();
        *run = inner::RunRecord {
            run: open.run.clone(),
            owner: open.owner.clone(),
            owner_address: open.owner_address.clone(),
            // Each open starts a new delivery, also by the same owner; a resent order gets its first result instead.
            epoch: delivery::epoch_of_open(run.epoch),
            owner_incarnation: open.owner_incarnation,
        };
        let (epoch, holder) = (run.epoch, run.owner.clone());
        inner::ProposeReply { epoch, holder, ..self.accepted() }
    }

    /// Refusal of a lease request if another entry holds the lease at `now_ms`.
    ///
    /// The leader calls it before it replicates the request. Every entry asks once a second: at the design size, the
    /// log would sync 383 refused requests of 390 each second, and their results would evict those of operators'
    /// orders.
    pub fn refuse_lease(
        &self,
        request: &inner::AcquireOrderLease,
        now_ms: u64,
    ) -> Option<inner::ProposeReply> {
        let lease = self.leases.get(&request.domain).filter(|lease| lease.epoch > 0)?;
        if is_same_holder(lease, request) || now_ms >= lease.renewed_ms + ORDER_LEASE_MS {
            return None;
        }
        let (epoch, holder) = (lease.epoch, lease.entry.clone());
        let held = self.refused(ResultCode::LeaseHeld, holder.clone());
        Some(inner::ProposeReply { epoch, holder, ..held })
    }

    fn acquire_lease(
        &mut self,
        request: &inner::AcquireOrderLease,
        now_ms: u64,
    ) -> inner::ProposeReply {
        if let Some(refusal) = self.refuse_lease(request, now_ms) {
            return refusal;
        }
        let lease = self.leases.entry(request.domain.clone()).or_default();
        let same_holder = is_same_holder(lease, request);
        *lease = inner::OrderLease {
            domain: request.domain.clone(),
            entry: request.entry.clone(),
            entry_incarnation: request.entry_incarnation,
            epoch: if same_holder { lease.epoch } else { lease.epoch + 1 },
            renewed_ms: now_ms,
        };
        let (epoch, holder) = (lease.epoch, lease.entry.clone());
        inner::ProposeReply { epoch, holder, ..self.accepted() }
    }

    fn quarantine(&mut self, request: &inner::Quarantine, now_ms: u64) -> inner::ProposeReply {
        let record = inner::Quarantined {
            fingerprint: request.fingerprint.clone(),
            profile: request.profile.clone(),
            reason: request.reason.clone(),
            until_ms: now_ms + QUARANTINE_MS,
        };
        self.quarantined.insert(request.fingerprint.clone(), record.clone());
        self.record_change(change::Kind::Quarantined(record))
    }

    fn release_quarantine(&mut self, fingerprint: &str) -> inner::ProposeReply {
        if self.quarantined.shift_remove(fingerprint).is_none() {
            return self.refused(ResultCode::UnknownObject, format!("quarantine of {fingerprint}"));
        }
        self.record_change(change::Kind::QuarantineReleased(fingerprint.into()))
    }

    /// Removes expired records. This is no configuration change: entries expire quarantines at the same time.
    fn remove_expired(&mut self, now_ms: u64) {
        self.quarantined.retain(|_, record| record.until_ms > now_ms);
        self.remove_expired_claims(now_ms);
    }

    fn record_change(&mut self, kind: change::Kind) -> inner::ProposeReply {
        self.revision += 1;
        self.changes.push_back(inner::Change { revision: self.revision, kind: Some(kind) });
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
        self.accepted()
    }

    pub(crate) fn accepted(&self) -> inner::ProposeReply {
        inner::ProposeReply { revision: self.revision, ..inner::ProposeReply::default() }
    }

    pub(crate) fn refused(&self, code: ResultCode, detail: String) -> inner::ProposeReply {
        let message = format!("{code}: {detail}");
        inner::ProposeReply { code: code.number(), message, ..self.accepted() }
    }

    fn revision_conflict(
        &self,
        expected: Option<u64>,
        current: u64,
        name: &str,
    ) -> Option<inner::ProposeReply> {
        let expected = expected.filter(|expected| *expected != current)?;
        let detail = format!("{name} has revision {current}, expected {expected}");
        let conflict = self.refused(ResultCode::Conflict, detail);
        Some(inner::ProposeReply { revision: current, ..conflict })
    }

    /// Stores the first result for a resend; claims are stored apart, so that they do not evict operators' orders.
    fn store_result(&mut self, order_id: &str, kind: Option<&Kind>, reply: &inner::ProposeReply) {
        let mut stored = reply.clone();
        // The claim record already stores the response; see `with_response`.
        if let Some(claim) = &mut stored.claim {
            claim.answer.clear();
        }
        match kind {
            // A lease is renewed each second; a resent request is one more renewal and needs no stored result.
            Some(Kind::AcquireOrderLease(_)) => (),
            Some(Kind::Claim(_) | Kind::FinishClaim(_)) => {
                self.claim_results.insert(order_id.into(), stored);
            }
            _ => self.order_results.insert(order_id.into(), stored),
        }
    }

    /// Changes after a revision, or `None` if some of them are no longer kept.
    pub fn changes_after(&self, applied: u64) -> Option<Vec<inner::Change>> {
        if applied >= self.revision {
            return Some(Vec::new());
        }
        let first = self.changes.front().map_or(u64::MAX, |change| change.revision);
        let newer = self.changes.iter().filter(|change| change.revision > applied);
        (first <= applied + 1).then(|| newer.cloned().collect())
    }
}

fn is_same_holder(lease: &inner::OrderLease, request: &inner::AcquireOrderLease) -> bool {
    lease.entry == request.entry
        && lease.entry_incarnation == request.entry_incarnation
        && lease.epoch > 0
}
