//! Starts control replicas as real processes on loopback.

#![allow(dead_code)]

use std::{
    fs::{self, File},
    net::TcpListener,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use compio::time::sleep;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use orioleworks_daemon::{control::ControlClient, rpc};
use orioleworks_proto::inner::{self, command::Kind, frame::Body};
use tempfile::TempDir;

/// Longest wait for any condition.
pub const TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of a single call, and the bound for prompt reactions.
pub const SHORT_TIMEOUT: Duration = Duration::from_millis(800);

pub struct Cluster {
    dir: TempDir,
    pub names: Vec<String>,
    pub addresses: Vec<String>,
    pub http: Vec<String>,
    children: Vec<Option<Child>>,
}

/// Runs a test on a runtime of its own.
pub fn block_on<T>(test: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new().unwrap().block_on(test)
}

/// Free ports below the ephemeral range: inside it, outgoing connections of other tests took ports between the check
/// and their use.
fn free_ports(count: usize) -> Vec<u16> {
    static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);
    let offset = std::process::id().wrapping_mul(97);
    let next =
        || 20_000 + offset.wrapping_add(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed)) % 12_000;
    let free = std::iter::repeat_with(|| next() as u16)
        .filter(|port| TcpListener::bind(("127.0.0.1", *port)).is_ok());
    free.take(count).collect()
}

impl Cluster {
    /// Starts three replicas that bootstrap a cluster.
    pub fn start() -> Self {
        Self::start_with("")
    }

    /// Starts three replicas with additional settings of the section `cluster`, each with a leading comma.
    pub fn start_with(extra_settings: &str) -> Self {
        let names: Vec<String> = ["a", "b", "c"].iter().map(|x| format!("control-{x}")).collect();
        let ports = free_ports(6);
        let addresses: Vec<String> =
            ports[..3].iter().map(|port| format!("127.0.0.1:{port}")).collect();
        let http = ports[3..].iter().map(|port| format!("127.0.0.1:{port}")).collect();
        let dir = tempfile::tempdir().unwrap();
        let replicas: Vec<String> = names
            .iter()
            .zip(&addresses)
            .map(|(n, a)| format!(r#"{{"name":"{n}","address":"{a}","failure_domain":"{n}"}}"#))
            .collect();
        for (i, name) in names.iter().enumerate() {
            let text = format!(
                r#"{{"instance":{{"name":"{name}","failure_domain":"{name}"}},
                "listen":{{"http":"127.0.0.1:{}","inner":"{}"}},
                "cluster":{{"bootstrap":true,"replicas":[{}]{extra_settings}}},
                "data":{{"directory":"{}","snapshot_entries":400}}}}"#,
                ports[3 + i],
                addresses[i],
                replicas.join(","),
                dir.path().join(name).display(),
            );
            fs::write(dir.path().join(format!("{name}.jsonc")), text).unwrap();
        }
        let mut cluster = Self { dir, names, addresses, http, children: vec![None, None, None] };
        (0..3).for_each(|i| cluster.spawn(i));
        cluster
    }

    pub fn spawn(&mut self, i: usize) {
        self.spawn_with(i, "");
    }

    /// Starts a replica with fail points in the syntax of the variable `FAILPOINTS`.
    pub fn spawn_with(&mut self, i: usize, failpoints: &str) {
        let path = self.dir.path().join(&self.names[i]);
        let log =
            File::options().create(true).append(true).open(path.with_extension("log")).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_orioleworks-control"))
            .arg("--config")
            .arg(path.with_extension("jsonc"))
            .env("FAILPOINTS", failpoints)
            .stderr(log)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        self.children[i] = Some(child);
    }

    pub fn directory(&self, i: usize) -> PathBuf {
        self.dir.path().join(&self.names[i])
    }

    pub fn output(&self, i: usize) -> String {
        fs::read_to_string(self.directory(i).with_extension("log")).unwrap()
    }

    pub fn signal(&self, i: usize, signal: Signal) {
        let child = self.children[i].as_ref().unwrap();
        kill(Pid::from_raw(child.id().try_into().unwrap()), signal).unwrap();
    }

    pub fn kill(&mut self, i: usize) {
        let mut child = self.children[i].take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Exit code of a process that has exited by itself, -1 after a signal; `None` while it runs.
    pub fn try_exit_code(&mut self, i: usize) -> Option<i32> {
        let status = self.children[i].as_mut()?.try_wait().unwrap()?;
        self.children[i] = None;
        Some(status.code().unwrap_or(-1))
    }

    /// Waits for a process to exit by itself and returns its exit code.
    pub async fn exit_code(&mut self, i: usize) -> i32 {
        let mut child = self.children[i].take().unwrap();
        let started = Instant::now();
        loop {
            if let Some(status) = child.try_wait().unwrap() {
                return status.code().unwrap_or(-1);
            }
            assert!(started.elapsed() < TIMEOUT, "the process does not exit");
            sleep(Duration::from_millis(10)).await;
        }
    }

    pub fn client(&self) -> ControlClient {
        ControlClient::new(self.addresses.iter().map(String::as_str))
    }

    pub async fn status(&self, i: usize, current: bool) -> Option<inner::StatusReply> {
        let client = rpc::Client::new(self.addresses[i].as_str());
        match client.call(Body::Status(inner::Status { current }), SHORT_TIMEOUT).await {
            Ok(Body::StatusReply(reply)) => Some(reply),
            _ => None,
        }
    }

    /// Waits until one of the replicas leads with a quorum, and returns its index.
    pub async fn leader(&self) -> usize {
        let started = Instant::now();
        while started.elapsed() < TIMEOUT {
            for i in 0..3 {
                let running = self.children[i].is_some();
                if running && self.status(i, true).await.is_some_and(|s| s.is_leader && s.code == 0)
                {
                    return i;
                }
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("no leader: {}", (0..3).map(|i| self.output(i)).collect::<String>());
    }

    /// Waits until the status of a replica fulfils a condition.
    pub async fn wait_for(
        &self,
        i: usize,
        description: &str,
        condition: impl Fn(&inner::StatusReply) -> bool,
    ) -> inner::StatusReply {
        let started = Instant::now();
        let mut last = None;
        while started.elapsed() < TIMEOUT {
            last = self.status(i, false).await;
            if let Some(status) = last.take_if(|status| condition(status)) {
                return status;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("{description}: {last:?}\n{}", (0..3).map(|i| self.output(i)).collect::<String>());
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            drop(child.kill());
            drop(child.wait());
        }
    }
}

pub fn profile(name: &str) -> inner::Profile {
    inner::Profile {
        name: name.into(),
        upstream_kind: "sheet-app".into(),
        class: inner::Class::Lookup.into(),
        idempotent: true,
        deadline_ms: 2000,
        share: 1,
        ..inner::Profile::default()
    }
}

pub fn put_profile(name: &str, expected_revision: Option<u64>) -> inner::Command {
    inner::Command { expected_revision, kind: Some(Kind::PutProfile(profile(name))) }
}
