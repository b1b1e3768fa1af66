//! Settings of the control daemon, one struct for each section.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use orioleworks_settings::{Problems, Settings};
use serde::Deserialize;

use crate::validation;

/// Settings file of a control replica.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Identity of this instance.
    pub instance: Instance,
    /// Addresses on which it listens.
    pub listen: Listen,
    /// The replicas.
    pub cluster: Cluster,
    /// State on disk.
    pub data: Data,
    /// Log output.
    #[serde(default)]
    pub log: Log,
}

/// Name and failure domain of the instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Unique name of the replica.
    pub name: Arc<str>,
    /// Failure domain of the instance.
    pub failure_domain: Arc<str>,
}

/// Addresses of the process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// HTTP for the platform: health checks and metrics.
    pub http: SocketAddr,
    /// Inner protocol for replicas, entries and operators.
    pub inner: SocketAddr,
}

/// The replicas, and the timing of heartbeats and elections.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cluster {
    /// True on exactly the replicas that bootstrap a new cluster.
    #[serde(default)]
    pub bootstrap: bool,
    /// All replicas, this one included.
    pub replicas: Vec<Replica>,
    /// Interval of a leader's heartbeats in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Shortest time in milliseconds without a leader before an election.
    #[serde(default = "default_election_min_ms")]
    pub election_timeout_min_ms: u64,
    /// Longest time in milliseconds without a leader before an election.
    #[serde(default = "default_election_max_ms")]
    pub election_timeout_max_ms: u64,
}

/// Name and address of one replica, as the other replicas use them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// Its name.
    pub name: Arc<str>,
    /// Address of its inner protocol.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
}

/// State on disk.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Data {
    /// Directory of the vote record, the log and the snapshot.
    pub directory: PathBuf,
    /// Number of log entries between two snapshots.
    #[serde(default = "default_snapshot_entries")]
    pub snapshot_entries: u64,
}

/// Log output.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Filter in the syntax of `env_logger`.
    pub filter: String,
}

impl Default for Log {
    fn default() -> Self {
        Self { filter: "info".into() }
    }
}

/// 50 ms doubles the traffic between idle replicas; with 200 ms a failover takes 1.6 s, see docs/CAPACITY.md.
fn default_heartbeat_ms() -> u64 {
    100
}

fn default_election_min_ms() -> u64 {
    400
}

fn default_election_max_ms() -> u64 {
    800
}

fn default_snapshot_entries() -> u64 {
    1000
}

impl Settings for Config {
    fn check(&self, problems: &mut Problems) {
        check_name(problems, "instance.name".into(), &self.instance.name);
        check_name(problems, "instance.failure_domain".into(), &self.instance.failure_domain);
        let cluster = &self.cluster;
        problems.range("cluster.replicas", cluster.replicas.len(), 1..=7, "replicas");
        for (i, replica) in cluster.replicas.iter().enumerate() {
            check_name(problems, format!("cluster.replicas[{i}].name"), &replica.name);
            let key = format!("cluster.replicas[{i}].failure_domain");
            check_name(problems, key, &replica.failure_domain);
            let earlier = &cluster.replicas[..i];
            problems.require(
                format!("cluster.replicas[{i}].name"),
                earlier.iter().all(|other| other.name != replica.name),
                "a name that no other replica has",
            );
            problems.require(
                format!("cluster.replicas[{i}].address"),
                earlier.iter().all(|other| other.address != replica.address),
                "an address that no other replica has",
            );
        }
        let own = cluster.replicas.iter().find(|replica| replica.name == self.instance.name);
        problems.require(
            "cluster.replicas",
            own.is_some(),
            format!("a list with this instance, {}", self.instance.name),
        );
        problems.range("cluster.heartbeat_ms", cluster.heartbeat_ms, 10..=1000, "ms");
        let (min, max) = (cluster.election_timeout_min_ms, cluster.election_timeout_max_ms);
        let lowest = cluster.heartbeat_ms.saturating_mul(4);
        problems.range("cluster.election_timeout_min_ms", min, lowest..=10_000, "ms");
        problems.range(
            "cluster.election_timeout_max_ms",
            max,
            min.saturating_add(min / 2)..=20_000,
            "ms",
        );
        problems.range(
            "data.snapshot_entries",
            self.data.snapshot_entries,
            100..=100_000,
            "entries",
        );
    }
}

fn check_name(problems: &mut Problems, key: String, name: &str) {
    problems.require(key, validation::is_name(name), validation::ACCEPTED_NAME);
}

impl Config {
    /// Settings of the replicated log.
    pub fn log_settings(&self) -> orioleworks_log::Settings {
        let own = self.cluster.replicas.iter().find(|r| r.name == self.instance.name);
        let address = own.map_or(self.listen.inner, |replica| replica.address).to_string();
        let replicas = self.cluster.replicas.iter().map(|replica| orioleworks_log::Replica {
            name: replica.name.to_string(),
            address: replica.address.to_string(),
        });
        orioleworks_log::Settings {
            domain: self.instance.failure_domain.to_string(),
            replicas: replicas.collect(),
            bootstrap: self.cluster.bootstrap,
            heartbeat: Duration::from_millis(self.cluster.heartbeat_ms),
            election_min: Duration::from_millis(self.cluster.election_timeout_min_ms),
            election_max: Duration::from_millis(self.cluster.election_timeout_max_ms),
            snapshot_entries: self.data.snapshot_entries,
            tolerated_losses: self.cluster.replicas.len().saturating_sub(1) / 2,
            ..orioleworks_log::Settings::new(&self.instance.name, &address, &self.data.directory)
        }
    }
}
