//! A small deployment for one cell, with the calls of its callers and operators.

use std::{
    path::PathBuf,
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::time::sleep;
use orioleworks_daemon::control::ControlClient;
use orioleworks_proto::{
    codes::ResultCode,
    inner::{self, command::Kind as Command},
};
use orioleworks_standins::{
    client::{Client, ClientError},
    deployment::{DataDirectory, Deployment, Kind, Options},
    scenario,
    service::{Run, RunRecords},
};
use serde::Deserialize;
use tempfile::TempDir;

/// Environment variable with the directory of the programs, built with the feature `failpoints`.
pub const BIN_DIR_VARIABLE: &str = "ORIOLEWORKS_BIN_DIR";
/// Time limit until a deployment is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time limit of one call; longer than the deadline of every profile used.
const CALL_TIMEOUT: Duration = Duration::from_secs(9);
/// Time limit until one order has a result.
const ORDER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit of one status query of a replica.
const STATUS_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A running deployment and its directory, which is removed on drop unless [`Cluster::keep_directory`] is called.
#[derive(Debug)]
pub struct Cluster {
    /// The processes.
    pub deployment: Deployment,
    directory: Option<TempDir>,
    client: Client,
}

/// Response of an entry as a caller sees it.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status; 0 without a response.
    pub status: u16,
    /// Body of a successful response.
    pub body: Bytes,
    /// Stable name of the result code, `ok`, or why there is no response.
    pub name: String,
    /// Whether the response guarantees that the request did not run.
    pub not_run: bool,
}

impl Reply {
    /// Whether the request succeeded.
    pub fn is_ok(&self) -> bool {
        self.status == 200
    }
}

#[derive(Deserialize)]
struct ErrorBody {
    name: String,
    #[serde(default)]
    not_run: bool,
}

impl Cluster {
    /// Starts a deployment with the options that `adjust` modifies, and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Returns the part of the deployment that cannot be started.
    pub async fn start(seed: u64, adjust: impl FnOnce(&mut Options)) -> Result<Self, String> {
        let bin_dir = std::env::var_os(BIN_DIR_VARIABLE).map(PathBuf::from);
        let bin_dir = bin_dir.ok_or_else(|| format!("{BIN_DIR_VARIABLE} is not set"))?;
        let directory = tempfile::tempdir().map_err(text)?;
        let mut options = Options::consortium(&bin_dir, directory.path(), seed);
        (options.entries_per_domain, options.engines_per_domain, options.judges) = (1, 0, 0);
        (options.weight_store, options.service_kinds) = (false, Vec::new());
        adjust(&mut options);
        let deployment = Deployment::prepare(options).await.map_err(text)?;
        let client = Client::new().map_err(text)?;
        let cluster = Self { deployment, directory: Some(directory), client };
        cluster.deployment.start_all().map_err(text)?;
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    /// Waits until every process is ready.
    ///
    /// # Errors
    ///
    /// Returns the first process that is not ready in time.
    pub async fn wait_ready(&self) -> Result<(), String> {
        self.deployment.wait_ready(READY_TIMEOUT).await.map_err(text)
    }

    /// Keeps the directory with the logs of a failed cell and returns its path.
    pub fn keep_directory(&mut self) -> String {
        self.directory.take().map(|d| d.keep().display().to_string()).unwrap_or_default()
    }

    /// Names of the processes of a kind, in deployment order.
    pub fn names(&self, kind: Kind) -> Vec<String> {
        self.deployment.nodes(kind).map(|(name, _)| name.to_owned()).collect()
    }

    /// Failure domain of a process.
    pub fn domain(&self, name: &str) -> String {
        let kinds = [Kind::Control, Kind::Entry, Kind::Service];
        let mut nodes = kinds.iter().flat_map(|kind| self.deployment.nodes(*kind));
        nodes.find(|(n, _)| *n == name).map(|(_, node)| node.domain.clone()).unwrap_or_default()
    }

    fn http_address(&self, kind: Kind, name: &str) -> String {
        let mut nodes = self.deployment.nodes(kind);
        nodes.find(|(n, _)| *n == name).map(|(_, node)| node.http.clone()).unwrap_or_default()
    }

    /// Arms a fail point; see [`Deployment::arm_fail_point`].
    ///
    /// # Errors
    ///
    /// Returns an error of the operating system.
    pub fn arm(&self, name: &str, fail_point: &str, action: &str) -> Result<(), String> {
        self.deployment.arm_fail_point(name, fail_point, action).map_err(text)
    }

    /// Waits until an armed fail point is reached.
    pub async fn wait_reached(&self, name: &str, timeout: Duration) -> bool {
        wait_for(timeout, async || self.deployment.fail_point_reached(name)).await
    }

    /// Disarms the fail points of a process and restarts it, whether or not it still runs.
    ///
    /// # Errors
    ///
    /// Returns an error of the operating system.
    pub fn restart(&self, name: &str, data: DataDirectory) -> Result<(), String> {
        self.deployment.disarm_fail_points(name).map_err(text)?;
        self.deployment.restart(name, data).map_err(text)
    }

    /// Kills a process.
    ///
    /// # Errors
    ///
    /// Returns an error of the operating system.
    pub fn kill(&self, name: &str) -> Result<(), String> {
        self.deployment.kill(name).map_err(text)
    }

    /// Sends one call through an entry.
    pub async fn call(
        &self,
        entry: &str,
        profile: &str,
        request_id: &str,
        key: Option<&str>,
        body: &str,
    ) -> Reply {
        let url = format!("http://{}/v1/call/{profile}", self.http_address(Kind::Entry, entry));
        let mut headers = vec![("x-request-id", request_id)];
        headers.extend(key.map(|key| ("idempotency-key", key)));
        let body = body.to_owned();
        match self.client.send(http::Method::POST, &url, &headers, body, CALL_TIMEOUT).await {
            Ok(response) if response.status == 200 => {
                Reply { status: 200, body: response.body, name: "ok".into(), not_run: false }
            }
            Ok(response) => {
                let error = serde_json::from_slice(&response.body);
                let error = error.unwrap_or(ErrorBody { name: "no_code".into(), not_run: false });
                let ErrorBody { name, not_run } = error;
                Reply { status: response.status, body: Bytes::new(), name, not_run }
            }
            Err(e) => {
                let name = if matches!(e, ClientError::Timeout) { "timeout" } else { "broken" };
                Reply { status: 0, body: Bytes::new(), name: name.into(), not_run: false }
            }
        }
    }

    /// Configures faults of a stand-in service.
    ///
    /// # Errors
    ///
    /// Returns why the service did not accept them.
    pub async fn set_faults(&self, service: &str, fault: &serde_json::Value) -> Result<(), String> {
        let url = format!("http://{}/fault", self.http_address(Kind::Service, service));
        let response = self.client.post(&url, fault, STATUS_TIMEOUT).await.map_err(text)?;
        if response.status == 200 { Ok(()) } else { Err(format!("fault: {}", response.status)) }
    }

    /// Returns every request that ran on the services.
    ///
    /// # Errors
    ///
    /// Returns the service whose records cannot be read.
    pub async fn executed_requests(&self) -> Result<Vec<Run>, String> {
        let mut runs = Vec::new();
        for (name, node) in self.deployment.nodes(Kind::Service) {
            let response =
                self.client.get(&format!("http://{}/ran", node.http), CALL_TIMEOUT).await;
            let ran = response.and_then(|response| response.json::<RunRecords>());
            runs.extend(ran.map_err(|e| format!("{name}: {e}"))?.runs);
        }
        Ok(runs)
    }

    /// Waits until an entry responds to `/ready` with 200.
    pub async fn wait_entry_ready(&self, entry: &str, timeout: Duration) -> bool {
        let url = format!("http://{}/ready", self.http_address(Kind::Entry, entry));
        wait_for(timeout, async || {
            let response = self.client.get(&url, STATUS_TIMEOUT).await;
            response.is_ok_and(|response| response.status == 200)
        })
        .await
    }

    /// Returns a client of all control replicas that shares no connection with other clients.
    pub fn control(&self) -> ControlClient {
        self.deployment.control_client()
    }

    /// Status of one replica.
    pub async fn status(&self, replica: usize, current: bool) -> Option<inner::StatusReply> {
        let reply = self.control().status(replica, current, STATUS_TIMEOUT).await.ok()?;
        (reply.code == ResultCode::Ok.number()).then_some(reply)
    }

    /// Returns the name of the leader, confirmed by a quorum.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader is confirmed in time.
    pub async fn leader(&self) -> Result<String, String> {
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            for (index, name) in self.names(Kind::Control).into_iter().enumerate() {
                if self.deployment.running(&name)
                    && self.status(index, true).await.is_some_and(|status| status.is_leader)
                {
                    return Ok(name);
                }
            }
            sleep(CHECK_INTERVAL).await;
        }
        Err("no leader".into())
    }

    /// Proposes a profile and returns its revision.
    ///
    /// # Errors
    ///
    /// Returns the refusal.
    pub async fn put_profile(
        &self,
        order_id: &str,
        profile: inner::Profile,
    ) -> Result<u64, String> {
        let command =
            inner::Command { expected_revision: None, kind: Some(Command::PutProfile(profile)) };
        let reply = self.control().propose(order_id, command, ORDER_TIMEOUT).await;
        let reply = reply.map_err(|e| format!("{order_id}: {e}"))?;
        match reply.code {
            0 => Ok(reply.revision),
            code => Err(format!("{order_id}: {code} {}", reply.message)),
        }
    }

    /// Proposes the profile of this name from the standard scenario.
    ///
    /// # Errors
    ///
    /// Returns the refusal.
    pub async fn put_scenario_profile(&self, name: &str) -> Result<u64, String> {
        let profile = scenario::profiles().into_iter().find(|profile| profile.name == name);
        self.put_profile(&format!("put-{name}"), profile.ok_or("no such profile")?).await
    }
}

/// Waits for a condition and returns whether it held before the timeout.
pub async fn wait_for(timeout: Duration, mut condition: impl AsyncFnMut() -> bool) -> bool {
    let started = Instant::now();
    loop {
        if condition().await {
            return true;
        }
        if started.elapsed() >= timeout {
            return false;
        }
        sleep(CHECK_INTERVAL).await;
    }
}

/// Formats an error as text.
pub fn text(e: impl std::fmt::Display) -> String {
    e.to_string()
}
