//! One process of a local deployment: start, signals, stop, CPU time and memory.

use std::{
    fs::{self, File},
    io,
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

/// Clock ticks per second in `/proc/<pid>/stat`; Linux reports 100 to user space whatever its internal tick rate.
const USER_HZ: f64 = 100.0;
/// Time between two checks whether a process has exited.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How to start a process.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Name in the deployment.
    pub name: String,
    /// Path of the program.
    pub program: PathBuf,
    /// Arguments.
    pub args: Vec<String>,
    /// File for stdout and stderr; a restart appends to it.
    pub output: PathBuf,
    /// Environment variables in addition to the inherited ones.
    pub env: Vec<(String, String)>,
}

/// A process that is running or not started.
#[derive(Debug)]
pub struct Process {
    /// How to start it.
    pub spec: Spec,
    child: Option<Child>,
}

/// CPU time and memory of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// User and system CPU time since the start, in seconds.
    pub cpu_s: f64,
    /// Resident memory in bytes.
    pub memory_bytes: u64,
}

impl Process {
    /// Creates a process without starting it.
    pub fn new(spec: Spec) -> Self {
        Self { spec, child: None }
    }

    /// Process ID; `None` when the process is not started.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Starts the process unless it already runs.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn start(&mut self) -> io::Result<()> {
        if self.running() {
            return Ok(());
        }
        let output = File::options().create(true).append(true).open(&self.spec.output)?;
        let child = Command::new(&self.spec.program)
            .args(&self.spec.args)
            .envs(self.spec.env.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            // With its own process group, the process does not receive Ctrl-C at the terminal; the driver stops it.
            .process_group(0)
            .spawn();
        let program = self.spec.program.display();
        self.child = Some(child.map_err(|e| io::Error::new(e.kind(), format!("{program}: {e}")))?);
        Ok(())
    }

    /// Whether the process runs; a paused process counts as running.
    pub fn running(&mut self) -> bool {
        self.exit_status().is_none() && self.child.is_some()
    }

    /// Exit status of a process that has exited; `None` when it runs or is not started.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.as_mut().and_then(|child| child.try_wait().ok().flatten())
    }

    /// Sends a signal unless the process has exited.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        // A child that counts as running has not been reaped, so its ID cannot belong to another process.
        if !self.running() {
            return Ok(());
        }
        let pid = self.pid().and_then(|pid| i32::try_from(pid).ok());
        pid.map_or(Ok(()), |pid| kill(Pid::from_raw(pid), signal).map_err(io::Error::from))
    }

    /// Kills the process and waits until it exits.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn kill(&mut self) -> io::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Waits until the process exits; returns `None` at the timeout or when it is not started.
    pub async fn wait(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.exit_status() {
                self.child = None;
                return Some(status);
            }
            if self.child.is_none() || Instant::now() >= deadline {
                return None;
            }
            compio::time::sleep(EXIT_CHECK_INTERVAL).await;
        }
    }

    /// CPU time and memory; `None` when the process does not run.
    pub fn usage(&self) -> Option<Usage> {
        let directory = PathBuf::from(format!("/proc/{}", self.pid()?));
        let stat = fs::read_to_string(directory.join("stat")).ok()?;
        // The name in parentheses may contain spaces; user and system time are the 12th and 13th field after it.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks: u64 =
            fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        Some(Usage { cpu_s: ticks as f64 / USER_HZ, memory_bytes: resident_bytes(&directory)? })
    }

    /// Whether the process has the socket with this inode open.
    pub fn has_socket(&self, inode: u64) -> bool {
        let Some(pid) = self.pid() else { return false };
        let Ok(files) = fs::read_dir(format!("/proc/{pid}/fd")) else { return false };
        let socket_link = format!("socket:[{inode}]");
        files
            .flatten()
            .filter_map(|file| fs::read_link(file.path()).ok())
            .any(|target| target.as_os_str() == socket_link.as_str())
    }
}

impl Drop for Process {
    /// Kills the process, so that none keeps running when the driver fails.
    fn drop(&mut self) {
        drop(self.kill());
    }
}

fn resident_bytes(directory: &Path) -> Option<u64> {
    let status = fs::read_to_string(directory.join("status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib * 1024)
}

/// Finds the inode of the loopback socket that connects the local port to the remote port in the text of
/// `/proc/net/tcp`.
pub fn socket_inode(table: &str, local_port: u16, remote_port: u16) -> Option<u64> {
    const LOOPBACK: &str = "0100007F";
    let ports = format!(" {LOOPBACK}:{local_port:04X} {LOOPBACK}:{remote_port:04X} ");
    let line = table[table.find(&ports)?..].lines().next()?;
    let inode = line.split_whitespace().nth(8)?.parse().ok()?;
    // Inode 0 means that the process has already closed the connection.
    (inode != 0).then_some(inode)
}
