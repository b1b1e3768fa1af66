//! Stores and gateways as real processes on loopback.

use std::{
    cell::RefCell,
    fs::{self, File},
    net::{TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

use super::{
    client::{self, Response},
    paths::GatewayPaths,
    proxy::Proxy,
};

/// Most instances of a role in a deployment.
const MAX_INSTANCES: usize = 10;
/// Time within which a revocation takes effect at every gateway.
pub const REVOCATION_BOUND_MS: u64 = 2000;

/// A process that is killed at the end of the test.
pub struct Process {
    child: RefCell<Child>,
    started: Instant,
    pub output: PathBuf,
}

impl Process {
    /// Sends a signal, unless the process has exited: once it is reaped, its PID may belong to another process.
    pub fn signal(&self, signal: Signal) {
        if self.exit_code().is_some() {
            return;
        }
        let pid = i32::try_from(self.id()).unwrap();
        kill(Pid::from_raw(pid), signal).unwrap();
    }

    /// Waits for the exit and returns the exit code; `None` after the given time.
    pub fn wait(&self, time: Duration) -> Option<i32> {
        let deadline = Instant::now() + time;
        while Instant::now() < deadline {
            if let Some(code) = self.exit_code() {
                return Some(code);
            }
            thread::sleep(Duration::from_millis(20));
        }
        None
    }

    pub fn age(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn id(&self) -> u32 {
        self.child.borrow().id()
    }

    /// Exit code of a process that has exited.
    pub fn exit_code(&self) -> Option<i32> {
        self.child.borrow_mut().try_wait().unwrap().map(|status| status.code().unwrap_or(-1))
    }

    /// Largest resident memory so far, in bytes.
    pub fn peak_memory(&self) -> usize {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        peak.trim().trim_end_matches(" kB").parse::<usize>().unwrap() * 1024
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.output).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let child = self.child.get_mut();
        drop(child.kill());
        drop(child.wait());
    }
}

/// Stores and gateways.
pub struct Deployment {
    pub dir: tempfile::TempDir,
    pub stores: Vec<Option<Process>>,
    pub gateways: Vec<Option<Process>>,
    inner_port: u16,
    control_port: u16,
    callers_port: u16,
    readiness_port: u16,
    relay_port: u16,
    options: Options,
    /// Section `limits` in the settings of the gateways.
    pub gateway_limits: &'static str,
    /// Proxies in front of the stores' inner protocol; empty without proxies.
    pub store_proxies: Vec<Proxy>,
    /// Paths from each gateway to the upstreams; empty if the gateways connect to them directly.
    pub paths: Vec<GatewayPaths>,
}

/// What differs between deployments of tests.
pub struct Options {
    /// Failure domains, to which the stores belong in turn.
    pub domains: usize,
    /// Stores that may lose their disks at the same time.
    pub tolerated_losses: usize,
    /// Whether connections to a store's inner protocol pass through a proxy.
    pub proxied: bool,
    /// Memory limit in the settings of the stores, in megabytes.
    pub store_memory_mb: usize,
    /// Whether each gateway has paths of its own to the upstreams, which can be cut.
    pub separate_paths: bool,
    /// More sections in the settings of stores and of gateways, each followed by a comma.
    pub more_settings: (String, String),
}

impl Default for Options {
    fn default() -> Self {
        Self {
            domains: MAX_INSTANCES,
            tolerated_losses: 1,
            proxied: false,
            store_memory_mb: 140,
            separate_paths: false,
            more_settings: Default::default(),
        }
    }
}

/// Loopback address of a process. Each process has its own, so that all stores can use one port. The role is 1 for
/// stores, 2 for gateways, 3 for stores behind proxies, and 4 and above for the stores as each gateway sees them.
pub fn loopback_ip(role: u8, i: usize) -> String {
    format!("127.0.{role}.{}", i + 1)
}

impl Deployment {
    /// Starts stores and gateways and waits until the gateways are ready with a route document.
    pub fn start(stores: usize, gateways: usize, document: &str) -> Self {
        Self::start_with_options(stores, gateways, document, Options::default())
    }

    /// Like [`Self::start`]; with `proxied`, connections to a store's inner protocol pass through a proxy.
    pub fn start_with(stores: usize, gateways: usize, document: &str, proxied: bool) -> Self {
        let options = Options { proxied, ..Options::default() };
        Self::start_with_options(stores, gateways, document, options)
    }

    /// Like [`Self::start_with`]; `store_memory_mb` is the memory limit in the settings of the stores.
    pub fn start_sized(
        stores: usize,
        gateways: usize,
        document: &str,
        proxied: bool,
        store_memory_mb: usize,
    ) -> Self {
        let options = Options { proxied, store_memory_mb, ..Options::default() };
        Self::start_with_options(stores, gateways, document, options)
    }

    /// Like [`Self::start`], with more sections in the settings of stores and of gateways, each followed by a comma.
    pub fn start_with_settings(
        stores: usize,
        gateways: usize,
        document: &str,
        more_settings: (String, String),
    ) -> Self {
        let options = Options { more_settings, ..Options::default() };
        Self::start_with_options(stores, gateways, document, options)
    }

    /// Like [`Self::start`]; each gateway has paths of its own to the upstreams, which can be cut.
    pub fn start_with_paths(stores: usize, gateways: usize, document: &str) -> Self {
        let options = Options { separate_paths: true, ..Options::default() };
        Self::start_with_options(stores, gateways, document, options)
    }

    /// Like [`Self::start`], with other options.
    pub fn start_with_options(
        stores: usize,
        gateways: usize,
        document: &str,
        options: Options,
    ) -> Self {
        let (proxied, separate_paths) = (options.proxied, options.separate_paths);
        let mut deployment = Self {
            dir: tempfile::tempdir().unwrap(),
            stores: (0..stores).map(|_| None).collect(),
            gateways: (0..gateways).map(|_| None).collect(),
            inner_port: free_port(),
            control_port: free_port(),
            callers_port: free_port(),
            readiness_port: free_port(),
            relay_port: free_port(),
            options,
            gateway_limits: "{}",
            store_proxies: Vec::new(),
            paths: Vec::new(),
        };
        if separate_paths {
            let paths = |i| GatewayPaths::start(i, stores, deployment.inner_port);
            deployment.paths = (0..gateways).map(paths).collect();
        }
        if proxied {
            let proxy =
                |i| Proxy::start(&deployment.inner_address(1, i), deployment.inner_address(3, i));
            deployment.store_proxies = (0..stores).map(proxy).collect();
        }
        for i in 0..stores {
            deployment.start_store(i, true);
        }
        for i in 0..gateways {
            deployment.start_gateway(i);
        }
        deployment.wait_until("the route document is accepted", || {
            deployment.put_document(document) == 200
        });
        for i in 0..gateways {
            deployment.wait_until("a gateway is ready", || deployment.is_ready(i));
        }
        deployment
    }

    /// Address of a store's inner protocol: the advertised one (kind 1) or the one bound behind a proxy (kind 3).
    fn inner_address(&self, role: u8, i: usize) -> String {
        format!("{}:{}", loopback_ip(role, i), self.inner_port)
    }

    pub fn control_address(&self, i: usize) -> String {
        format!("{}:{}", loopback_ip(1, i), self.control_port)
    }

    pub fn control_addresses(&self) -> Vec<String> {
        (0..self.stores.len()).map(|i| self.control_address(i)).collect()
    }

    pub fn gateway_address(&self, i: usize) -> String {
        format!("{}:{}", loopback_ip(2, i), self.callers_port)
    }

    /// Address at which a gateway takes requests of other gateways.
    pub fn relay_address(&self, i: usize) -> String {
        format!("{}:{}", loopback_ip(2, i), self.relay_port)
    }

    pub fn readiness_address(&self, i: usize) -> String {
        format!("{}:{}", loopback_ip(2, i), self.readiness_port)
    }

    pub fn is_ready(&self, i: usize) -> bool {
        let address = self.readiness_address(i);
        client::call(&address, "GET", "/v1/readiness", &[], "").is_some_and(|a| a.status == 200)
    }

    fn seeds(&self) -> String {
        let seeds: Vec<String> =
            self.control_addresses().iter().take(3).map(|seed| format!("\"{seed}\"")).collect();
        seeds.join(", ")
    }

    pub fn start_store(&mut self, i: usize, bootstrap: bool) {
        let name = format!("store-{i}");
        let role = if self.store_proxies.is_empty() { 1 } else { 3 };
        let settings = format!(
            r#"{{ "instance": {{ "name": "{name}", "failure_domain": "domain-{}" }},
                 "listen": {{ "control": "{}", "inner_port": {}, "inner_bind": "{}" }},
                 "cluster": {{ "seeds": [{}], "bootstrap": {bootstrap}, "tolerated_losses": {} }},
                 "orders": {{ "lease_ms": 300 }},
                 {}
                 "limits": {{ "memory_mb": {} }},
                 "data": {{ "directory": "{}" }} }}"#,
            i % self.options.domains,
            self.control_address(i),
            self.inner_port,
            self.inner_address(role, i),
            self.seeds(),
            self.options.tolerated_losses,
            self.options.more_settings.0,
            self.options.store_memory_mb,
            self.dir.path().join(&name).display(),
        );
        self.stores[i] = Some(self.spawn("orioleworks-store", &name, &settings));
    }

    pub fn start_gateway(&mut self, i: usize) {
        let name = format!("gateway-{i}");
        let seeds = self.paths.get(i).map_or_else(|| self.seeds(), GatewayPaths::seeds);
        let settings = format!(
            r#"{{ "instance": {{ "name": "{name}", "failure_domain": "zone-a" }},
                 "listen": {{ "callers": "{}", "readiness": "{}:{}", "relay": "{}:{}" }},
                 "revocation": {{ "strict": true, "bound_ms": {REVOCATION_BOUND_MS} }},
                 {} "limits": {},
                 "stores": {{ "seeds": [{}], "inner_port": {} }} }}"#,
            self.gateway_address(i),
            loopback_ip(2, i),
            self.readiness_port,
            loopback_ip(2, i),
            self.relay_port,
            self.options.more_settings.1,
            self.gateway_limits,
            seeds,
            self.inner_port,
        );
        self.gateways[i] = Some(self.spawn("orioleworks-gateway", &name, &settings));
    }

    /// Directory of a store's data.
    pub fn store_data(&self, i: usize) -> PathBuf {
        self.dir.path().join(format!("store-{i}"))
    }

    /// Removes the data directory of a store.
    pub fn wipe_store(&self, i: usize) {
        fs::remove_dir_all(self.store_data(i)).unwrap();
    }

    fn spawn(&self, program: &str, name: &str, settings: &str) -> Process {
        let path = self.settings_file(name);
        fs::write(&path, settings).unwrap();
        let output = self.dir.path().join(format!("{name}.log"));
        let file = File::options().create(true).append(true).open(&output).unwrap();
        let child = Command::new(binary(program))
            .arg("--config")
            .arg(&path)
            .stdout(file.try_clone().unwrap())
            .stderr(file)
            .spawn()
            .unwrap();
        let child = RefCell::new(child);
        Process { child, started: Instant::now(), output }
    }

    /// Settings of a process.
    pub fn settings_file(&self, name: &str) -> PathBuf {
        self.dir.path().join(format!("{name}.json"))
    }

    /// Sends a route document to the first store that responds with a status below 500; 0 if none does.
    pub fn put_document(&self, document: &str) -> u16 {
        let path = "/v1/Configuration.Replace";
        let responses = self.control_addresses().into_iter();
        let mut responses =
            responses.filter_map(|store| client::call(&store, "POST", path, &[], document));
        responses.find(|a| a.status < 500).map_or(0, |a| a.status)
    }

    /// Starts a gateway again with another section `limits` in its settings, and waits until it is ready.
    pub fn restart_gateway_with(&mut self, i: usize, limits: &'static str) {
        self.gateway_limits = limits;
        self.gateways[i] = None;
        self.start_gateway(i);
        self.wait_until("a gateway is ready", || self.is_ready(i));
    }

    /// Index of the store that leads.
    pub fn leader(&self) -> Option<usize> {
        let newest_term = |i: usize| {
            let log = self.stores[i].as_ref()?.log();
            let elected = log.lines().filter(|l| l.contains("event=leader_elected"));
            let term = |l: &str| l.split("term=").nth(1)?.trim().parse::<u64>().ok();
            elected.filter_map(term).max().map(|term| (term, i))
        };
        (0..self.stores.len()).filter_map(newest_term).max().map(|(_, i)| i)
    }

    /// Losses of stores that are survived now, as the leader reports them; 0 without a leader.
    pub fn reported_tolerance(&self) -> usize {
        let reported = |store: String| {
            let metrics = client::call(&store, "GET", "/metrics", &[], "")?;
            let mut lines = metrics.body.lines();
            let value = lines.find_map(|l| l.strip_prefix("orioleworks_log_tolerated_losses "))?;
            value.parse().ok()
        };
        self.control_addresses().into_iter().filter_map(reported).max().unwrap_or(0)
    }

    /// Sends a request to a gateway.
    pub fn send(
        &self,
        i: usize,
        method: &str,
        path: &str,
        id: &str,
        body: &str,
    ) -> Option<Response> {
        let headers = [("X-Attempt-Id", id), ("X-Deadline-Ms", "5000")];
        client::call(&self.gateway_address(i), method, path, &headers, body)
    }

    /// Waits until a condition holds; panics after a timeout.
    pub fn wait_until(&self, description: &str, condition: impl Fn() -> bool) {
        const TIMEOUT: Duration = Duration::from_secs(20);
        let deadline = Instant::now() + TIMEOUT;
        while !condition() {
            assert!(
                Instant::now() < deadline,
                "not within {TIMEOUT:?}: {description}\n{}",
                self.logs()
            );
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Log files of all processes.
    pub fn log_files(&self) -> Vec<PathBuf> {
        self.stores.iter().chain(&self.gateways).flatten().map(|p| p.output.clone()).collect()
    }

    /// Lines of every process that contain one of these texts.
    pub fn decisions(&self, texts: &[&str]) -> String {
        let processes = self.stores.iter().chain(&self.gateways).flatten();
        let chosen = |p: &Process| {
            let log = p.log();
            let lines = log.lines().filter(|line| texts.iter().any(|text| line.contains(text)));
            let lines: Vec<&str> = lines.collect();
            format!("-- {}\n{}\n", p.output.display(), lines.join("\n"))
        };
        processes.map(chosen).collect()
    }

    /// Last lines of every process.
    pub fn logs(&self) -> String {
        let processes = self.stores.iter().chain(&self.gateways).flatten();
        let tail = |p: &Process| {
            let log = p.log();
            let lines: Vec<&str> = log.lines().rev().take(12).collect();
            let lines: Vec<&str> = lines.into_iter().rev().collect();
            format!("-- {}\n{}\n", p.output.display(), lines.join("\n"))
        };
        processes.map(tail).collect()
    }
}

/// A port that is free on the addresses of all roles. A UDP socket reserves it until this process ends: the system may offer a
/// port again as soon as the listener that found it is closed, also to other test processes.
pub fn free_port() -> u16 {
    const ROLES: u8 = 6;
    static RESERVED: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());
    loop {
        let port = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port();
        let Ok(reservation) = UdpSocket::bind(("127.0.0.1", port)) else { continue };
        let is_free =
            |role, i| TcpListener::bind(format!("{}:{port}", loopback_ip(role, i))).is_ok();
        if (1..=ROLES).all(|role| (0..MAX_INSTANCES).all(|i| is_free(role, i))) {
            RESERVED.lock().unwrap().push(reservation);
            return port;
        }
    }
}

/// Path of a program of this workspace, in the parent of the directory of the test's own program.
pub fn binary(name: &str) -> PathBuf {
    let own = std::env::current_exe().unwrap();
    let directory = own.parent().and_then(|deps| deps.parent()).unwrap();
    let path = directory.join(name);
    assert!(path.exists(), "{} is missing; run `cargo build --workspace --bins`", path.display());
    path
}
