//! Starts daemons behind relays that count bytes, for the measurements of `docs/CAPACITY.md`.

use std::{
    fs, io,
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};

use nix::{time, unistd::Pid};
use orioleworks_daemon::control::ControlClient;
use orioleworks_proto::inner::{self, command::Kind};
use serde_json::{Value, json};

use crate::{
    capacity_fit::Series,
    client::Client,
    ports::Ports,
    process::{Process, Spec},
    relay::Relay,
    settings_files::{self, Daemon},
};

/// Longest wait for a daemon to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest wait for one order.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Directories, durations and ports of the measurements.
pub struct Bench {
    /// Directory of the binaries.
    pub bin_dir: PathBuf,
    /// Directory of settings, data and logs.
    pub directory: PathBuf,
    /// Duration of one measurement.
    pub window: Duration,
    /// Number of measurements at each size.
    pub repeats: u32,
    /// Heartbeat interval of the control replicas in milliseconds; `None` for the default.
    pub heartbeat_ms: Option<u64>,
    /// Allocator of free ports.
    pub ports: Ports,
    /// Number of deployments started so far; names their directories.
    pub deployments: u32,
}

/// A running daemon with one relay for daemons of its own kind and one for all other clients.
pub struct MeasuredDaemon {
    /// Name and addresses; `advertised_inner` is the address of the relay `peers`.
    pub daemon: Daemon,
    /// The process.
    pub process: Process,
    /// Relay for the inner protocol between daemons of the same kind.
    pub peers: Relay,
    /// Relay for all other clients: watches and orders at control, HTTP at an entry.
    pub users: Relay,
    /// Address of the relay `users`.
    pub users_address: String,
}

/// Resources that one process used during one window.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sample {
    /// CPU time in percent of one core.
    pub cpu_percent: f64,
    /// Resident memory in MB.
    pub memory_mb: f64,
    /// Bytes per second through the relay `peers`.
    pub peer_bytes: f64,
    /// Bytes per second through the relay `users`.
    pub user_bytes: f64,
}

/// CPU time of a process in seconds. Its clock has a finer resolution than the ticks of `/proc/<pid>/stat`.
fn cpu_seconds(process: &Process) -> f64 {
    let pid = process.pid().and_then(|pid| i32::try_from(pid).ok()).map(Pid::from_raw);
    let clock = pid.and_then(|pid| time::clock_getcpuclockid(pid).ok());
    let read = clock.and_then(|clock| clock.now().ok());
    read.map_or(0.0, |spec| spec.tv_sec() as f64 + spec.tv_nsec() as f64 / 1e9)
}

/// Measures all daemons over the same window.
pub async fn sample(measured: &[&MeasuredDaemon], window: Duration) -> Vec<Sample> {
    let read = |m: &MeasuredDaemon| (cpu_seconds(&m.process), m.peers.bytes(), m.users.bytes());
    let started = Instant::now();
    let before: Vec<_> = measured.iter().map(|m| read(m)).collect();
    compio::time::sleep(window).await;
    let seconds = started.elapsed().as_secs_f64();
    let pairs = measured.iter().zip(before);
    pairs
        .map(|(m, (cpu, peers, users))| {
            let (cpu_after, peers_after, users_after) = read(m);
            let memory = m.process.usage().map_or(0, |usage| usage.memory_bytes);
            Sample {
                cpu_percent: (cpu_after - cpu) / seconds * 100.0,
                memory_mb: memory as f64 / 1e6,
                peer_bytes: (peers_after - peers) as f64 / seconds,
                user_bytes: (users_after - users) as f64 / seconds,
            }
        })
        .collect()
}

/// One series for each field of a [`Sample`].
pub fn sample_series(name: &str, per: &str) -> [Series; 4] {
    [
        Series::new(&format!("{name}: CPU"), per, "% of a core"),
        Series::new(&format!("{name}: memory"), per, "MB"),
        Series::new(&format!("{name}: bytes with its own kind"), per, "B/s"),
        Series::new(&format!("{name}: bytes with others"), per, "B/s"),
    ]
}

/// Adds a sample to the series of [`sample_series`].
pub fn add_sample(series: &mut [Series; 4], size: f64, sample: Sample) {
    let values = [sample.cpu_percent, sample.memory_mb, sample.peer_bytes, sample.user_bytes];
    series.iter_mut().zip(values).for_each(|(series, value)| series.add(size, value));
}

impl Bench {
    fn allocate(&mut self, name: &str, domain: &str) -> io::Result<Daemon> {
        Ok(Daemon {
            name: name.to_owned(),
            domain: domain.to_owned(),
            http: self.ports.next_free_address()?,
            inner: self.ports.next_free_address()?,
            advertised_inner: self.ports.next_free_address()?,
        })
    }

    async fn start_daemon(
        &mut self,
        daemon: Daemon,
        settings: &Value,
        program: &str,
        users_target: &str,
    ) -> io::Result<MeasuredDaemon> {
        let directory = self.directory.join(self.deployments.to_string());
        fs::create_dir_all(&directory)?;
        let path = directory.join(format!("{}.jsonc", daemon.name));
        settings_files::write(&path, settings)?;
        let users_address = self.ports.next_free_address()?;
        let peers =
            Relay::start(&daemon.advertised_inner, &daemon.inner, Rc::new(|_| None)).await?;
        let users = Relay::start(&users_address, users_target, Rc::new(|_| None)).await?;
        let mut process = Process::new(Spec {
            name: daemon.name.clone(),
            program: self.bin_dir.join(program),
            args: vec!["--config".into(), path.display().to_string()],
            output: directory.join(format!("{}.log", daemon.name)),
            env: Vec::new(),
        });
        process.start()?;
        Ok(MeasuredDaemon { daemon, process, peers, users, users_address })
    }

    /// Starts control replicas and waits until they accept orders.
    ///
    /// # Errors
    ///
    /// Returns an error of the operating system, or that no order was accepted in time.
    pub async fn start_controls(&mut self, count: usize) -> io::Result<Vec<MeasuredDaemon>> {
        self.deployments += 1;
        let mut daemons = Vec::new();
        for index in 0..count {
            daemons.push(self.allocate(&format!("control-{index}"), &domain(index))?);
        }
        let mut all = Vec::new();
        for daemon in daemons.clone() {
            let directory = self.directory.join(self.deployments.to_string()).join(&daemon.name);
            fs::create_dir_all(&directory)?;
            let mut settings = settings_files::control(&daemon, &daemons, &directory, true, None);
            if let Some(ms) = self.heartbeat_ms {
                settings["cluster"]["heartbeat_ms"] = json!(ms);
                settings["cluster"]["election_timeout_min_ms"] = json!(ms * 4);
                settings["cluster"]["election_timeout_max_ms"] = json!(ms * 8);
            }
            let target = daemon.inner.clone();
            all.push(self.start_daemon(daemon, &settings, "orioleworks-control", &target).await?);
        }
        let client = client(&all);
        order(&client, "ready", publish_version(1), READY_TIMEOUT).await?;
        // Gives every replica time to join and the first elections time to end.
        compio::time::sleep(Duration::from_secs(1)).await;
        Ok(all)
    }

    /// Starts an entry in the first failure domain with the given peers and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error of the operating system, or that the entry was not ready in time.
    pub async fn start_entry(
        &mut self,
        controls: &[MeasuredDaemon],
        peers: &[(String, String, String)],
    ) -> io::Result<MeasuredDaemon> {
        let own = self.allocate("entry-0", &domain(0))?;
        let replicas: Vec<Daemon> = controls
            .iter()
            .map(|c| Daemon { advertised_inner: c.users_address.clone(), ..c.daemon.clone() })
            .collect();
        let others: Vec<Daemon> = peers
            .iter()
            .map(|(name, domain, address)| Daemon {
                name: name.clone(),
                domain: domain.clone(),
                http: address.clone(),
                inner: address.clone(),
                advertised_inner: address.clone(),
            })
            .collect();
        let directory = self.directory.join(self.deployments.to_string()).join("entry-0");
        fs::create_dir_all(&directory)?;
        let settings = settings_files::entry(&own, &replicas, &others, &directory);
        let target = own.http.clone();
        let entry = self.start_daemon(own, &settings, "orioleworks-entry", &target).await?;
        let http = Client::new().map_err(|e| io::Error::other(e.to_string()))?;
        let url = format!("http://{}/ready", entry.daemon.http);
        let deadline = Instant::now() + READY_TIMEOUT;
        while !matches!(http.get(&url, ORDER_TIMEOUT).await, Ok(response) if response.status == 200)
        {
            if Instant::now() >= deadline {
                return Err(io::Error::other("the entry did not become ready in time"));
            }
            compio::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(entry)
    }
}

/// Failure domain of the instance with the given index. The design size has 7 domains.
pub fn domain(index: usize) -> String {
    format!("domain-{}", index % 7)
}

/// Client of the replicas over their relays `peers`, which the replicas name as leader addresses.
pub fn client(controls: &[MeasuredDaemon]) -> ControlClient {
    ControlClient::new(controls.iter().map(|c| c.daemon.advertised_inner.as_str()))
}

/// Client of the replicas over their relays `users`. It finds the leader by trying the replicas, since they name the
/// relays `peers` as leader addresses.
pub fn user_client(controls: &[MeasuredDaemon]) -> ControlClient {
    ControlClient::new(controls.iter().map(|c| c.users_address.as_str()))
}

/// Command without an expected revision.
pub fn command(kind: Kind) -> inner::Command {
    inner::Command { expected_revision: None, kind: Some(kind) }
}

/// Profile with the given index in its name.
pub fn profile(index: usize) -> inner::Profile {
    inner::Profile {
        name: format!("profile-{index:04}"),
        upstream_kind: "sheet-app".into(),
        class: inner::Class::Lookup.into(),
        idempotent: true,
        deadline_ms: 10_000,
        share: 1,
        ..Default::default()
    }
}

/// Puts the profiles of a range of indices.
///
/// # Errors
///
/// Returns why the first rejected order was not accepted.
pub async fn put_profiles(
    client: &ControlClient,
    indices: std::ops::Range<usize>,
) -> io::Result<()> {
    for index in indices {
        let order = format!("profile-{index}");
        put_profile(client, &order, profile(index)).await?;
    }
    Ok(())
}

/// Puts one profile; returns the revision after it.
///
/// # Errors
///
/// Returns why the order was not accepted.
pub async fn put_profile(
    client: &ControlClient,
    order: &str,
    profile: inner::Profile,
) -> io::Result<u64> {
    self::order(client, order, Kind::PutProfile(profile), ORDER_TIMEOUT).await
}

/// Publication of a version of a model that no upstream serves: an order without side effects.
pub fn publish_version(version: u64) -> Kind {
    Kind::PublishVersion(inner::ModelVersion { model: "probe".into(), version })
}

/// Sends an order until it is accepted; returns the revision after it.
///
/// # Errors
///
/// Returns why the order was not accepted.
pub async fn order(
    client: &ControlClient,
    id: &str,
    kind: Kind,
    timeout: Duration,
) -> io::Result<u64> {
    match client.propose(id, command(kind), timeout).await {
        Ok(reply) if reply.code == 0 => Ok(reply.revision),
        Ok(reply) => Err(io::Error::other(reply.message)),
        Err(e) => Err(io::Error::other(e.to_string())),
    }
}
