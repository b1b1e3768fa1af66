//! Settings of the entry daemon, one struct for each section.

use std::{net::SocketAddr, path::PathBuf, sync::Arc};

use orioleworks_daemon::{http, memory::Budget};
use orioleworks_settings::{Problems, Settings};
use serde::Deserialize;

/// Settings file of an entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name and failure domain of the instance.
    pub instance: Instance,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Control replicas.
    pub control: Control,
    /// The other entries.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// State on disk.
    #[serde(default)]
    pub data: Data,
    /// Limits on connections, requests and shutdown.
    #[serde(default)]
    pub limits: Limits,
    /// Routing policies.
    #[serde(default)]
    pub routing: Routing,
    /// Weight orders.
    #[serde(default)]
    pub weights: Weights,
    /// Log output.
    #[serde(default)]
    pub log: Log,
}

/// Name and failure domain of the instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Unique name of the entry.
    pub name: Arc<str>,
    /// Failure domain of the instance.
    pub failure_domain: Arc<str>,
}

/// Addresses of the process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// HTTP for callers, trainers, upstreams and the platform.
    pub http: SocketAddr,
    /// Inner protocol for other entries.
    pub inner: SocketAddr,
}

/// Control replicas; those in this entry's failure domain are watched first.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// All replicas that may be members.
    pub replicas: Vec<Replica>,
}

/// One control replica.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// Address of its inner protocol.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
}

/// One other entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Its name.
    pub name: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Address of its inner protocol.
    pub inner: SocketAddr,
}

/// State on disk; after a restart, an entry without a directory fetches its configuration from control or a peer.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Data {
    /// Directory for the synced copy of the configuration.
    pub directory: Option<PathBuf>,
}

/// Limits on connections, requests and shutdown.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest number of concurrent connections of callers; the memory bounds it too, see [`Limits::connections`].
    pub connections: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Memory of the process in megabytes; half of it is for bodies of requests and for responses.
    pub memory_mb: usize,
    /// Largest number of requests that wait for an upstream, over all queues.
    pub queued_requests: usize,
    /// Longest time to read a request body in milliseconds.
    pub body_timeout_ms: u64,
    /// Longest duration of a drain after the first signal in milliseconds.
    pub drain_deadline_ms: u64,
    /// Time in milliseconds for which a draining entry still accepts new connections, until load balancers notice.
    pub drain_grace_ms: u64,
}

impl Limits {
    /// Connections of callers. The heads that they may be sending take at most three eighths of the memory, because no budget
    /// charges them.
    pub fn connections(&self) -> usize {
        let memory = self.memory_mb * 1024 * 1024 / 8 * 3;
        self.connections.min(memory / http::Limits::SMALL_BUFFER_BYTES)
    }

    /// Memory for bodies of requests and for responses, also while they are read; the rest is for heads and the process.
    pub fn budget(&self) -> Budget {
        /// Part that large bodies leave to small ones, in bytes.
        const RESERVE_BYTES: usize = 4 * 1024 * 1024;
        Budget::new(self.memory_mb * 1024 * 1024 / 2, RESERVE_BYTES)
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4096,
            body_bytes: 1024 * 1024,
            memory_mb: 256,
            queued_requests: 20_000,
            body_timeout_ms: 10_000,
            drain_deadline_ms: 30_000,
            drain_grace_ms: 1000,
        }
    }
}

/// Routing policies; each setting replaces a policy by a simple baseline for comparison.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Routing {
    /// Fixed concurrency limit of every upstream instead of an adaptive one.
    pub fixed_limit: Option<u32>,
    /// First in, first out instead of priority classes and fair queuing.
    pub fifo_queue: bool,
    /// No retry budget.
    pub unlimited_retries: bool,
    /// A random upstream instead of the better of two random candidates.
    pub random_choice: bool,
    /// No prefix affinity.
    pub no_affinity: bool,
    /// Engines with a pending swap accept samples if all engines of the kind have a pending swap.
    pub drain_unless_all: bool,
    /// Samples run only in the failure domain of the run's owner, unless it has no upstream of the kind.
    pub local_samples: bool,
}

/// Weight orders to the engines of the failure domain.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// Largest number of engines that fetch weights from the store concurrently.
    pub prefetches: usize,
}

impl Default for Weights {
    fn default() -> Self {
        // With two, the fetches of three failure domains exceed the store's limit. The store refuses some engines for
        // 1 s, which delays the activation; see docs/MEASUREMENTS.md.
        Self { prefetches: 1 }
    }
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

impl Settings for Config {
    fn check(&self, problems: &mut Problems) {
        problems.require(
            "instance.name",
            !self.instance.name.is_empty(),
            "a name of at least one character",
        );
        let domain = &self.instance.failure_domain;
        problems.require(
            "instance.failure_domain",
            !domain.is_empty(),
            "a name of at least one character",
        );
        let replicas = &self.control.replicas;
        problems.require("control.replicas", !replicas.is_empty(), "at least one control replica");
        for (i, peer) in self.peers.iter().enumerate() {
            let own = peer.name == self.instance.name;
            problems.require(format!("peers[{i}].name"), !own, "the name of another entry");
        }
        let fixed_limit = self.routing.fixed_limit.unwrap_or(1);
        problems.range("routing.fixed_limit", fixed_limit, 1..=4096, "requests");
        let limits = &self.limits;
        problems.range("limits.connections", limits.connections, 1..=65_536, "connections");
        problems.range("limits.body_bytes", limits.body_bytes, 1024..=4 * 1024 * 1024, "bytes");
        // Less does not hold some bodies of the largest size beside the process.
        problems.range("limits.memory_mb", limits.memory_mb, 64..=1_048_576, "MB");
        problems.range("limits.queued_requests", limits.queued_requests, 1..=1_000_000, "requests");
        problems.range("limits.body_timeout_ms", limits.body_timeout_ms, 100..=600_000, "ms");
        problems.range("limits.drain_deadline_ms", limits.drain_deadline_ms, 0..=600_000, "ms");
        problems.range("weights.prefetches", self.weights.prefetches, 1..=64, "engines");
        problems.range("limits.drain_grace_ms", limits.drain_grace_ms, 0..=60_000, "ms");
    }
}
