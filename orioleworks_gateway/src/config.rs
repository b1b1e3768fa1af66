//! Settings of the gateway daemon, one struct for each section.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use orioleworks_daemon::{http, memory::Budget};
use orioleworks_settings::{Problems, Settings};
use serde::Deserialize;

/// Settings file of a gateway.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name and failure domain of the instance.
    pub instance: Instance,
    /// Listen addresses.
    pub listen: Listen,
    /// Addresses of the stores.
    pub stores: Stores,
    /// Batches.
    #[serde(default)]
    pub batches: Batches,
    /// Revocation of keys.
    #[serde(default)]
    pub revocation: Revocation,
    /// Counts of the requests of tenants.
    #[serde(default)]
    pub usage: Usage,
    /// What the process may use.
    #[serde(default)]
    pub limits: Limits,
    /// Log output.
    #[serde(default)]
    pub log: Log,
}

/// Name and failure domain of the instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Unique name.
    pub name: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
}

/// Listen addresses of the process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// HTTP for callers and trainers.
    pub callers: SocketAddr,
    /// HTTP for the platform's readiness check.
    pub readiness: SocketAddr,
    /// HTTP for other gateways that have lost their path to the upstreams; without it this gateway neither helps nor is
    /// helped.
    #[serde(default)]
    pub relay: Option<SocketAddr>,
}

/// Addresses of the stores.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stores {
    /// Control addresses of some stores.
    pub seeds: Vec<SocketAddr>,
    /// Port of the stores' inner protocol.
    pub inner_port: u16,
}

/// Batches.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Batches {
    /// Time from the submission for which results stay readable, in seconds.
    pub status_retention_s: u32,
}

/// Revocation of keys.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Revocation {
    /// Whether a revocation takes effect within the bound also at a gateway that does not learn of it.
    pub strict: bool,
    /// Longest time from the acknowledgement of a revocation until its effect, in milliseconds.
    pub bound_ms: u64,
}

/// Counts of the requests of tenants.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Usage {
    /// Length of a window in seconds, as in the settings of the stores; 0 counts nothing.
    pub window_s: u32,
}

impl Usage {
    /// Length of a window.
    pub fn window(&self) -> Duration {
        Duration::from_secs(self.window_s.into())
    }
}

/// What the process may use.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Memory in megabytes; the platform kills a process that uses more.
    pub memory_mb: usize,
    /// Descriptors that the process may open.
    pub file_descriptors: usize,
}

/// Log output.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Filter in the syntax of `env_logger`.
    pub filter: String,
}

impl Default for Batches {
    fn default() -> Self {
        // The platform's operators read results for two minutes.
        Self { status_retention_s: 120 }
    }
}

impl Default for Revocation {
    fn default() -> Self {
        Self { strict: false, bound_ms: 5000 }
    }
}

impl Revocation {
    /// Time within which a revocation takes effect everywhere; `None` without a bound.
    pub fn bound(&self) -> Option<Duration> {
        self.strict.then(|| Duration::from_millis(self.bound_ms))
    }
}

impl Default for Limits {
    fn default() -> Self {
        // The memory of the smallest gateway, and the least number of descriptors.
        Self { memory_mb: 88, file_descriptors: 3075 }
    }
}

impl Limits {
    /// Open connections of callers; when none is free, the one that has been idle for longest is closed. The process keeps 300
    /// descriptors for files and its connections to stores, and those of idle connections to upstreams (600) and of other
    /// gateways (256), but at most a third of what is left. Memory bounds them too, because of their buffers.
    pub fn connections(&self) -> usize {
        const OTHER_CONNECTIONS: usize = 600 + 256;
        let left = self.file_descriptors.saturating_sub(300);
        let free = left - OTHER_CONNECTIONS.min(left / 3);
        free.min(http::Limits::connections_within(self.memory_mb))
    }

    /// Memory of the process itself, in megabytes: 6 MB when idle, 23 MB with 40 callers who read results of batches.
    const OWN_MB: usize = 24;
    /// Part of the budget that large bodies leave to small ones, in bytes.
    const RESERVE_BYTES: usize = 4 * 1024 * 1024;

    /// Memory for bodies of requests and for responses. It holds two bodies of 30 MB, or one of the largest size beside the
    /// reserve, at the smallest gateway.
    pub fn budget(&self) -> Budget {
        let own = self.memory_mb.saturating_sub(Self::OWN_MB);
        Budget::new(own * 1024 * 1024, Self::RESERVE_BYTES)
    }
}

impl Default for Log {
    fn default() -> Self {
        Self { filter: "info".into() }
    }
}

impl Settings for Config {
    fn check(&self, problems: &mut Problems) {
        let named = !self.instance.name.is_empty();
        problems.require("instance.name", named, "a name that no other instance has");
        problems.range("stores.seeds", self.stores.seeds.len(), 1..=64, "addresses");
        problems.range("stores.inner_port", self.stores.inner_port, 1..=u16::MAX, "");
        let retention = self.batches.status_retention_s;
        problems.range("batches.status_retention_s", retention, 1..=86_400, "s");
        // Less does not hold the process and a body of the largest legal size.
        problems.range("limits.memory_mb", self.limits.memory_mb, 64..=1_048_576, "MB");
        let descriptors = self.limits.file_descriptors;
        problems.range("limits.file_descriptors", descriptors, 364..=1_048_576, "");
        // A shorter lease would end between two replies of a store.
        problems.range("revocation.bound_ms", self.revocation.bound_ms, 2000..=600_000, "ms");
        problems.range("usage.window_s", self.usage.window_s, 0..=300, "s");
    }
}

impl Config {
    /// Inner addresses of the seeds; all stores use the same port.
    pub fn seed_addresses(&self) -> impl Iterator<Item = String> + use<> {
        let port = self.stores.inner_port;
        let seeds = self.stores.seeds.clone().into_iter();
        seeds.map(move |seed| SocketAddr::new(seed.ip(), port).to_string())
    }
}
