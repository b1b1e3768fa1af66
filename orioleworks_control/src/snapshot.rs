//! Conversion of the state machine to and from messages, for snapshots, watches and status replies.

use orioleworks_proto::inner;
use prost::Message;

use crate::{machine::Machine, results::Results};

impl Machine {
    /// The complete configuration.
    pub fn config(&self) -> inner::Config {
        let stopped = self.stopped_upstreams.iter();
        let versions = self.model_versions.iter();
        inner::Config {
            revision: self.revision,
            profiles: self.profiles.values().cloned().collect(),
            stopped_upstreams: stopped
                .map(|(name, revision)| inner::StoppedUpstream {
                    revision: *revision,
                    name: name.clone(),
                })
                .collect(),
            versions: versions
                .map(|(model, version)| inner::ModelVersion {
                    model: model.clone(),
                    version: *version,
                })
                .collect(),
            quarantined: self.quarantined.values().cloned().collect(),
        }
    }

    /// Owners of all runs.
    pub fn runs(&self) -> Vec<inner::RunRecord> {
        self.runs.values().cloned().collect()
    }

    /// Order leases of all failure domains.
    pub fn order_leases(&self) -> Vec<inner::OrderLease> {
        self.leases.values().cloned().collect()
    }

    /// Encodes the complete state.
    ///
    /// Concatenated Protobuf messages decode as one message with concatenated lists. Claims and results are therefore
    /// encoded one by one, without a second copy of all of them in memory.
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = inner::ControlState {
            config: Some(self.config()),
            runs: self.runs(),
            order_leases: self.order_leases(),
            changes: self.changes.iter().cloned().collect(),
            ..Default::default()
        }
        .encode_to_vec();
        let mut append = |part: inner::ControlState| buf.extend(part.encode_to_vec());
        for claim in self.claims_by_age.iter().filter_map(|(_, key)| self.claims.get(key)) {
            append(inner::ControlState { claims: vec![claim.clone()], ..Default::default() });
        }
        for result in self.order_results.to_messages() {
            append(inner::ControlState { order_results: vec![result], ..Default::default() });
        }
        for result in self.claim_results.to_messages() {
            append(inner::ControlState { claim_results: vec![result], ..Default::default() });
        }
        buf
    }

    /// Decodes a complete state.
    ///
    /// # Errors
    ///
    /// Returns why the bytes cannot be decoded.
    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        let state = inner::ControlState::decode(bytes).map_err(|e| e.to_string())?;
        let config = state.config.unwrap_or_default();
        let mut machine = Self { revision: config.revision, ..Self::default() };
        for versioned in config.profiles {
            let name = versioned.profile.as_ref().map(|p| p.name.clone()).unwrap_or_default();
            machine.profiles.insert(name, versioned);
        }
        let stopped = config.stopped_upstreams.into_iter();
        machine.stopped_upstreams =
            stopped.map(|stopped| (stopped.name, stopped.revision)).collect();
        let versions = config.versions.into_iter();
        machine.model_versions = versions.map(|version| (version.model, version.version)).collect();
        let quarantined = config.quarantined.into_iter();
        machine.quarantined = quarantined.map(|q| (q.fingerprint.clone(), q)).collect();
        machine.changes = state.changes.into();
        machine.runs = state.runs.into_iter().map(|run| (run.run.clone(), run)).collect();
        let leases = state.order_leases.into_iter();
        machine.leases = leases.map(|lease| (lease.domain.clone(), lease)).collect();
        for claim in state.claims {
            machine.claims_by_age.insert((claim.issued_ms, claim.key.clone()));
            machine.claims.insert(claim.key.clone(), claim);
        }
        machine.order_results = Results::from_messages(state.order_results);
        machine.claim_results = Results::from_messages(state.claim_results);
        Ok(machine)
    }
}
