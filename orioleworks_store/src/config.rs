//! Settings of the store daemon, one struct for each section.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use orioleworks_daemon::{http, memory::Budget};
use orioleworks_routing::usage::Schedule;
use orioleworks_settings::{Problems, Settings};
use serde::Deserialize;

/// Settings file of a store.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name and failure domain of the instance.
    pub instance: Instance,
    /// Addresses to listen at.
    pub listen: Listen,
    /// The other stores.
    pub cluster: Cluster,
    /// State on disk.
    pub data: Data,
    /// Batches and their items.
    #[serde(default)]
    pub batches: Batches,
    /// Orders to engines.
    #[serde(default)]
    pub orders: Orders,
    /// Calls to the infrastructure API; absent without one.
    #[serde(default)]
    pub duties: Option<Duties>,
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

/// Addresses of the process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// HTTP for operators, trainers and upstreams.
    pub control: SocketAddr,
    /// Port of the inner protocol, on the IP of `control`.
    pub inner_port: u16,
    /// Address to bind the inner protocol to if it differs from the advertised one, as behind a forwarding proxy.
    pub inner_bind: Option<SocketAddr>,
}

/// The other stores.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cluster {
    /// Control addresses of some stores; must include those that bootstrap a new cluster.
    pub seeds: Vec<SocketAddr>,
    /// Whether the cluster is started for the first time.
    #[serde(default)]
    pub bootstrap: bool,
    /// Stores that may be lost at the same time.
    #[serde(default = "default_tolerated_losses")]
    pub tolerated_losses: usize,
    /// Time after a loss, or after the lost store is back, within which the deployment is to survive as many further ones, in
    /// seconds.
    #[serde(default = "default_catch_up_s")]
    pub catch_up_s: f64,
    /// Time after a loss within which a store is to lead again, in seconds; a longer time without a leader is reported.
    #[serde(default = "default_recovery_s")]
    pub recovery_s: f64,
}

/// State on disk.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Data {
    /// Directory of the vote record, the log and the snapshot.
    pub directory: PathBuf,
}

/// Batches and their items.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Batches {
    /// Time from the submission for which results stay readable, in seconds.
    pub status_retention_s: u32,
}

/// Orders to engines.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Orders {
    /// Time for which a new leader waits before its first order, in milliseconds.
    pub lease_ms: u64,
}

/// Calls to the infrastructure API.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Duties {
    /// Address of the API.
    pub address: SocketAddr,
    /// Duties that the API takes.
    pub enabled: Vec<DutyName>,
    /// Calls a second that the API takes from all instances together.
    pub calls_per_s: f64,
    /// Length of a window of usage in seconds, as in the settings of the gateways.
    pub report_window_s: u32,
    /// Time from the end of a window until its report is due, in seconds.
    pub usage_delay_s: u32,
}

/// A duty.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum DutyName {
    /// Reports of the requests of tenants.
    UsageReporting,
    /// Changes of the number of upstreams; not performed.
    Scaling,
}

impl Duties {
    /// When windows of usage are closed.
    pub fn schedule(&self) -> Schedule {
        /// Share of the delay of a report after which its window is closed, in percent. With a delay of 10 s, this is 5 s: the
        /// loss of the followed store delays counts by some seconds, and the rest must cover an API that is silent for 4 s.
        const CLOSE_PERCENT: u64 = 50;
        Schedule {
            window_ms: u64::from(self.report_window_s) * 1000,
            close_after_ms: u64::from(self.usage_delay_s) * 10 * CLOSE_PERCENT,
        }
    }

    /// Time for which a new leader closes no window. During a long election gateways keep their counts, and they deliver them
    /// once there is a leader.
    pub fn new_leader_wait(&self) -> Duration {
        /// Share of the delay of a report, in percent.
        const WAIT_PERCENT: u64 = 40;
        /// Longest wait. A part that is in flight at the election fails within 1.5 s, and is sent again after 0.15 s; its
        /// commit and that of the next part take less than 0.5 s each. A longer wait would make
        /// the report of a window late that was due to be closed during the election.
        const LONGEST_WAIT: Duration = Duration::from_millis(2500);
        Duration::from_millis(u64::from(self.usage_delay_s) * 10 * WAIT_PERCENT).min(LONGEST_WAIT)
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

/// The loss of one instance or one failure domain is the least that a replicated store tolerates.
fn default_tolerated_losses() -> usize {
    1
}

/// The longest time that the platform states today.
fn default_catch_up_s() -> f64 {
    6.0
}

/// The shortest time that the platform states today.
fn default_recovery_s() -> f64 {
    12.0
}

impl Default for Batches {
    fn default() -> Self {
        // The platform's operators read results for two minutes.
        Self { status_retention_s: 120 }
    }
}

impl Default for Orders {
    fn default() -> Self {
        // An engine accepts orders only from the same holder for this time after its last order.
        Self { lease_ms: 3000 }
    }
}

impl Default for Limits {
    fn default() -> Self {
        // The least that a store of today's deployments has: memory and descriptors.
        Self { memory_mb: 140, file_descriptors: 3075 }
    }
}

impl Limits {
    /// Open connections of operators, trainers and upstreams; when none is free, the one that has been idle for longest is
    /// closed. The process keeps 300 descriptors for files, and a third of what is left for the inner protocol and for
    /// connections to engines. Memory bounds them too, because of their buffers.
    pub fn connections(&self) -> usize {
        let left = self.file_descriptors.saturating_sub(300);
        (left - left / 3).min(http::Limits::connections_within(self.memory_mb))
    }

    /// Memory in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.memory_mb * 1024 * 1024
    }

    /// Memory for bodies and responses of the control interface: a quarter, and at least one document of the largest size
    /// beside a reserve for small bodies. The rest is for batches and the log.
    pub fn budget(&self) -> Budget {
        const RESERVE_BYTES: usize = 2 * 1024 * 1024;
        const LARGEST_DOCUMENT: usize = 32 * 1024 * 1024;
        Budget::new((self.memory_bytes() / 4).max(LARGEST_DOCUMENT + RESERVE_BYTES), RESERVE_BYTES)
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
        problems.range("cluster.seeds", self.cluster.seeds.len(), 1..=64, "addresses");
        let losses = self.cluster.tolerated_losses;
        problems.range("cluster.tolerated_losses", losses, 0..=3, "stores");
        problems.range("cluster.catch_up_s", self.cluster.catch_up_s, 2.0..=3600.0, "s");
        problems.range("cluster.recovery_s", self.cluster.recovery_s, 0.1..=3600.0, "s");
        problems.range("listen.inner_port", self.listen.inner_port, 1..=u16::MAX, "");
        let retention = self.batches.status_retention_s;
        problems.range("batches.status_retention_s", retention, 1..=86_400, "s");
        problems.range("limits.memory_mb", self.limits.memory_mb, 32..=1_048_576, "MB");
        if let Some(duties) = &self.duties {
            problems.range(
                "duties.calls_per_s",
                duties.calls_per_s,
                0.1..=100_000.0,
                "calls a second",
            );
            problems.range("duties.report_window_s", duties.report_window_s, 1..=300, "s");
            // Counts of slow requests arrive about 2 s after the end of a window, which is closed after 0.6 of this.
            problems.range("duties.usage_delay_s", duties.usage_delay_s, 5..=300, "s");
        }
        let descriptors = self.limits.file_descriptors;
        problems.range("limits.file_descriptors", descriptors, 364..=1_048_576, "");
        problems.range("orders.lease_ms", self.orders.lease_ms, 100..=60_000, "ms");
    }
}

impl Config {
    /// Address of the inner protocol.
    pub fn inner_address(&self) -> SocketAddr {
        SocketAddr::new(self.listen.control.ip(), self.listen.inner_port)
    }

    /// Address to listen at for the inner protocol.
    pub fn inner_bind(&self) -> SocketAddr {
        self.listen.inner_bind.unwrap_or_else(|| self.inner_address())
    }

    /// Inner addresses of the seeds; all stores use the same port.
    pub fn seed_addresses(&self) -> impl Iterator<Item = String> + use<> {
        let port = self.listen.inner_port;
        let seeds = self.cluster.seeds.clone().into_iter();
        seeds.map(move |seed| SocketAddr::new(seed.ip(), port).to_string())
    }

    /// The seeds as replicas with which to bootstrap or which to join.
    pub fn replicas(&self) -> Vec<orioleworks_log::Replica> {
        let replica = |address: String| orioleworks_log::Replica { name: address.clone(), address };
        self.seed_addresses().map(replica).collect()
    }

    /// Settings of the replicated log.
    pub fn log_settings(&self) -> orioleworks_log::Settings {
        /// Share of the memory for entries since the last snapshot, in percent. It sets the time between snapshots, each
        /// of which writes the whole state.
        const SNAPSHOT_PERCENT: usize = 6;
        /// Share for entries behind it, in percent; a store that is away for less time than until it is
        /// replaced should not need a snapshot.
        const TAIL_PERCENT: usize = 4;
        /// Times the entries between two snapshots that are kept for a member that still needs them. A learner that receives a
        /// snapshot while the next one is taken needs all entries between the two, and those that follow until it has them.
        const KEPT_SNAPSHOTS: usize = 2;
        /// Least size of either, in bytes; holds the results of several commits.
        const MIN_BYTES: usize = 2 * 1024 * 1024;
        /// Largest size of either, in bytes; more does not make snapshots much cheaper.
        const MAX_BYTES: usize = 12 * 1024 * 1024;
        let own = self.inner_address().to_string();
        let losses = self.cluster.tolerated_losses.max(1);
        let share = |percent: usize| {
            (self.limits.memory_bytes() / 100 * percent).clamp(MIN_BYTES, MAX_BYTES)
        };
        let is_seed = self.seed_addresses().any(|seed| seed == own);
        orioleworks_log::Settings {
            domain: self.instance.failure_domain.to_string(),
            replicas: self.replicas(),
            bootstrap: self.cluster.bootstrap && is_seed,
            snapshot_entries: 4000,
            snapshot_bytes: share(SNAPSHOT_PERCENT),
            tail_bytes: share(TAIL_PERCENT),
            catch_up_bytes: KEPT_SNAPSHOTS * share(SNAPSHOT_PERCENT),
            tolerated_losses: self.cluster.tolerated_losses,
            recovery: Duration::from_secs_f64(self.cluster.recovery_s),
            retry_writes: true,
            ..orioleworks_log::Settings::new(&self.instance.name, &own, &self.data.directory)
                .tolerating(losses, Duration::from_secs_f64(self.cluster.catch_up_s))
        }
    }
}
