//! A deployment on loopback: its processes, and faults that are injected into a process by its name.

use std::{
    cell::RefCell,
    fs, io,
    path::{Path, PathBuf},
    rc::Rc,
    time::{Duration, Instant},
};

use displaydoc::Display;
use indexmap::IndexMap;
use nix::sys::signal::Signal;
use orioleworks_daemon::control::ControlClient;

use crate::{
    client::Client,
    layout::SocketTable,
    process::{Process, Usage},
    relay::Relay,
    settings_files::Daemon,
};

/// Size, directories and options of a deployment.
#[derive(Clone, Debug)]
pub struct Options {
    /// Directory of the programs.
    pub bin_dir: PathBuf,
    /// Directory for settings, data and logs.
    pub directory: PathBuf,
    /// Failure domains; the part after the last hyphen goes into the names of the processes.
    pub domains: Vec<String>,
    /// Number of entries in each domain.
    pub entries_per_domain: usize,
    /// Number of engines in each domain.
    pub engines_per_domain: usize,
    /// Number of judges, one in each of the first domains.
    pub judges: usize,
    /// Seed of the texts that the stand-ins generate.
    pub seed: u64,
    /// Whether the inner ports of the daemons are behind relays.
    pub relays: bool,
    /// Additional arguments of every engine.
    pub engine_args: Vec<String>,
    /// Kinds of plain services, one of each in each domain.
    pub service_kinds: Vec<String>,
    /// Whether there is a weight store.
    pub weight_store: bool,
    /// Log entries between two snapshots of control; `None` keeps the default of the daemon.
    pub snapshot_entries: Option<u64>,
    /// Additional arguments of every plain service.
    pub service_args: Vec<String>,
    /// Additional arguments of the weight store.
    pub weights_args: Vec<String>,
    /// Section `routing` of the settings of the entries; null keeps the defaults.
    pub routing: serde_json::Value,
}

impl Options {
    /// Options of the consortium's deployment: 3 domains with 2 entries and 4 engines each.
    pub fn consortium(bin_dir: &Path, directory: &Path, seed: u64) -> Self {
        Self {
            bin_dir: bin_dir.to_owned(),
            directory: directory.to_owned(),
            domains: ["sicilia-a", "sicilia-b", "sicilia-c"].map(String::from).to_vec(),
            entries_per_domain: 2,
            engines_per_domain: 4,
            judges: 1,
            seed,
            relays: true,
            engine_args: Vec::new(),
            service_kinds: ["sheet-app", "booking-portal"].map(String::from).to_vec(),
            weight_store: true,
            snapshot_entries: None,
            service_args: Vec::new(),
            weights_args: Vec::new(),
            routing: serde_json::Value::Null,
        }
    }
}

/// Kind of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Control replica.
    Control,
    /// Entry.
    Entry,
    /// Engine.
    Engine,
    /// Plain service.
    Service,
    /// Judge.
    Judge,
    /// Weight store.
    Weights,
    /// Trainer or load generator.
    Client,
}

/// State of the data directory of a process after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DataDirectory {
    /// As it was before the restart.
    Unchanged,
    /// Empty, as after the loss of a disk.
    Empty,
}

/// Failure of an operation on a deployment.
#[derive(Debug, Display)]
pub enum DeploymentError {
    /// no process is named {0}
    UnknownName(String),
    /// {name}: {reason}
    System {
        /// Name of the process, or the part of the preparation that failed.
        name: String,
        /// Error of the operating system.
        reason: io::Error,
    },
    /// not ready in time: {0}
    NotReady(String),
}

impl std::error::Error for DeploymentError {}

/// Description of a process in the deployment.
#[derive(Clone, Debug)]
pub struct Node {
    /// Kind of process.
    pub kind: Kind,
    /// Failure domain; empty for the weight store and clients.
    pub domain: String,
    /// HTTP address; empty for clients.
    pub http: String,
}

pub(crate) type Processes = Rc<RefCell<IndexMap<String, Process>>>;

/// A deployment and its processes. Dropping it kills all running processes.
#[derive(Debug)]
pub struct Deployment {
    pub(crate) options: Options,
    pub(crate) nodes: IndexMap<String, Node>,
    pub(crate) processes: Processes,
    pub(crate) controls: Vec<Daemon>,
    pub(crate) entries: Vec<Daemon>,
    pub(crate) relays: IndexMap<String, Relay>,
    pub(crate) socket_table: SocketTable,
}

impl Deployment {
    /// Options of the deployment.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Data directory of a daemon.
    pub fn data_directory(&self, name: &str) -> PathBuf {
        self.options.directory.join("data").join(name)
    }

    pub(crate) fn settings_path(&self, name: &str) -> PathBuf {
        self.options.directory.join(format!("{name}.jsonc"))
    }

    /// Names and descriptions of the processes of a kind.
    pub fn nodes(&self, kind: Kind) -> impl Iterator<Item = (&str, &Node)> {
        self.nodes.iter().filter(move |(_, n)| n.kind == kind).map(|(name, n)| (name.as_str(), n))
    }

    /// HTTP addresses of the processes of a kind, separated by commas.
    pub fn addresses(&self, kind: Kind) -> String {
        let addresses: Vec<&str> = self.nodes(kind).map(|(_, node)| node.http.as_str()).collect();
        addresses.join(",")
    }

    /// Client of the control replicas.
    pub fn control_client(&self) -> ControlClient {
        ControlClient::new(self.controls.iter().map(|c| c.advertised_inner.as_str()))
    }

    fn with_process<T>(
        &self,
        name: &str,
        operation: impl FnOnce(&mut Process) -> io::Result<T>,
    ) -> Result<T, DeploymentError> {
        let mut processes = self.processes.borrow_mut();
        let unknown = || DeploymentError::UnknownName(name.to_owned());
        operation(processes.get_mut(name).ok_or_else(unknown)?).map_err(system_error(name))
    }

    /// Starts a process.
    ///
    /// # Errors
    ///
    /// Returns an error for an unknown name, or the error of the operating system. The other methods that take a name
    /// return the same errors.
    pub fn start(&self, name: &str) -> Result<(), DeploymentError> {
        self.with_process(name, Process::start)
    }

    /// Starts all processes except clients.
    ///
    /// # Errors
    ///
    /// Returns the error of the first process that cannot be started.
    pub fn start_all(&self) -> Result<(), DeploymentError> {
        let names = self.nodes.iter().filter(|(_, node)| node.kind != Kind::Client);
        names.map(|(name, _)| name).try_for_each(|name| self.start(name))
    }

    /// Kills a process with `SIGKILL`.
    ///
    /// # Errors
    ///
    /// See [`Deployment::start`].
    pub fn kill(&self, name: &str) -> Result<(), DeploymentError> {
        self.with_process(name, Process::kill)
    }

    /// Pauses a process with `SIGSTOP`.
    ///
    /// # Errors
    ///
    /// See [`Deployment::start`].
    pub fn pause(&self, name: &str) -> Result<(), DeploymentError> {
        self.with_process(name, |process| process.signal(Signal::SIGSTOP))
    }

    /// Resumes a paused process with `SIGCONT`.
    ///
    /// # Errors
    ///
    /// See [`Deployment::start`].
    pub fn resume(&self, name: &str) -> Result<(), DeploymentError> {
        self.with_process(name, |process| process.signal(Signal::SIGCONT))
    }

    /// Sends `SIGTERM` to a process; [`Deployment::wait_exit`] waits until it exits.
    ///
    /// # Errors
    ///
    /// See [`Deployment::start`].
    pub fn stop(&self, name: &str) -> Result<(), DeploymentError> {
        self.with_process(name, |process| process.signal(Signal::SIGTERM))
    }

    /// Waits until a process exits and returns its exit code. Returns `None` if it still runs at the timeout or was
    /// terminated by a signal.
    ///
    /// # Errors
    ///
    /// See [`Deployment::start`].
    pub async fn wait_exit(
        &self,
        name: &str,
        timeout: Duration,
    ) -> Result<Option<i32>, DeploymentError> {
        const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
        let deadline = Instant::now() + timeout;
        loop {
            // Asked before the status: a process that exits in between has a status then.
            let running = self.running(name);
            if let Some(status) = self.with_process(name, |process| Ok(process.exit_status()))? {
                return Ok(status.code());
            }
            if Instant::now() >= deadline || !running {
                return Ok(None);
            }
            compio::time::sleep(EXIT_CHECK_INTERVAL).await;
        }
    }

    /// Whether a process runs.
    pub fn running(&self, name: &str) -> bool {
        self.with_process(name, |process| Ok(process.running())).unwrap_or(false)
    }

    /// Process ID; `None` when the process is not started.
    pub fn pid(&self, name: &str) -> Option<u32> {
        self.processes.borrow().get(name).and_then(Process::pid)
    }

    /// CPU time and memory of a process; `None` when it does not run.
    pub fn usage(&self, name: &str) -> Option<Usage> {
        self.processes.borrow().get(name).and_then(Process::usage)
    }

    /// Bytes that the relay of a daemon has forwarded so far.
    pub fn relay_bytes(&self, name: &str) -> u64 {
        self.relays.get(name).map_or(0, Relay::bytes)
    }

    /// Kills a process, if it runs, and starts it again.
    ///
    /// # Errors
    ///
    /// See [`Deployment::start`].
    pub fn restart(&self, name: &str, data: DataDirectory) -> Result<(), DeploymentError> {
        self.kill(name)?;
        if data == DataDirectory::Empty {
            let directory = self.data_directory(name);
            fs::remove_dir_all(&directory).map_err(system_error(name))?;
            fs::create_dir_all(&directory).map_err(system_error(name))?;
            if let Some(daemon) = self.controls.iter().find(|control| control.name == name) {
                self.write_settings(daemon, Kind::Control, false).map_err(system_error(name))?;
            }
        }
        self.start(name)
    }

    /// Cuts the link between two processes in both directions.
    pub fn cut(&self, a: &str, b: &str) {
        self.relays.get(a).into_iter().for_each(|relay| relay.cut(b));
        self.relays.get(b).into_iter().for_each(|relay| relay.cut(a));
    }

    /// Heals the link between two processes.
    pub fn heal(&self, a: &str, b: &str) {
        self.relays.get(a).into_iter().for_each(|relay| relay.heal(b));
        self.relays.get(b).into_iter().for_each(|relay| relay.heal(a));
    }

    /// Cuts all inner links between a failure domain and the others.
    pub fn cut_domain(&self, domain: &str) {
        let in_domain = |name: &str| self.nodes.get(name).is_some_and(|node| node.domain == domain);
        for a in self.relays.keys().filter(|name| in_domain(name)) {
            self.relays.keys().filter(|name| !in_domain(name)).for_each(|b| self.cut(a, b));
        }
    }

    /// Cuts all inner links of a daemon.
    pub fn isolate(&self, name: &str) {
        self.relays.get(name).into_iter().for_each(|relay| relay.cut_all());
        self.relays.values().for_each(|relay| relay.cut(name));
    }

    /// Heals all links.
    pub fn heal_all(&self) {
        self.relays.values().for_each(|relay| relay.heal_all());
    }

    /// Waits until every process with an HTTP address responds to `/ready` with status 200.
    ///
    /// # Errors
    ///
    /// Returns the first process that is not ready in time or has exited.
    pub async fn wait_ready(&self, timeout: Duration) -> Result<(), DeploymentError> {
        const READY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
        let deadline = Instant::now() + timeout;
        let not_ready = |name: &str, reason: &str| {
            DeploymentError::NotReady(format!("{name}: {reason}; see {name}.log"))
        };
        let client = Client::new().map_err(|e| not_ready("client", &e.to_string()))?;
        for (name, node) in self.nodes.iter().filter(|(_, node)| !node.http.is_empty()) {
            let url = format!("http://{}/ready", node.http);
            loop {
                let last_result = match client.get(&url, Duration::from_secs(1)).await {
                    Ok(response) if response.status == 200 => break,
                    Ok(response) => String::from_utf8_lossy(&response.body).trim().to_owned(),
                    Err(e) => e.to_string(),
                };
                if !self.running(name) {
                    return Err(not_ready(name, "has exited"));
                }
                if Instant::now() >= deadline {
                    return Err(not_ready(name, &last_result));
                }
                compio::time::sleep(READY_CHECK_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Stops all processes: clients, then entries, then upstreams, then control. Each of these groups gets the full
    /// deadline. Returns the names of the processes that did not exit before it and were killed.
    pub async fn stop_all(&self, deadline: Duration) -> Vec<String> {
        const STOP_ORDER: [&[Kind]; 4] = [
            &[Kind::Client],
            &[Kind::Entry],
            &[Kind::Engine, Kind::Service, Kind::Judge, Kind::Weights],
            &[Kind::Control],
        ];
        let mut killed = Vec::new();
        for kinds in STOP_ORDER {
            let names: Vec<&str> =
                kinds.iter().flat_map(|kind| self.nodes(*kind)).map(|n| n.0).collect();
            for name in &names {
                drop(self.resume(name));
                drop(self.stop(name));
            }
            let group_deadline = Instant::now() + deadline;
            for name in names {
                let remaining = group_deadline.saturating_duration_since(Instant::now());
                drop(self.wait_exit(name, remaining).await);
                if self.running(name) {
                    killed.push(name.to_owned());
                }
                drop(self.kill(name));
            }
        }
        killed
    }
}

pub(crate) fn system_error(name: &str) -> impl FnOnce(io::Error) -> DeploymentError {
    let name = name.to_owned();
    move |reason| DeploymentError::System { name, reason }
}
