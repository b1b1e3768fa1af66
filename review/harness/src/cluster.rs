//! Starts the project's stores and gateways as separate processes on loopback addresses.
//!
//! Programs and settings templates are those of `deploy/`; the values that the platform would fill in are those of a
//! small deployment.

use std::{
    fs::{self, File},
    io::Write,
    net::{Ipv4Addr, SocketAddrV4, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    partition::{Owner, Partition},
    util,
};

/// What a case cannot run without.
pub type Setup<T> = Result<T, String>;

/// Values of the platform that differ between the processes.
struct Node<'a> {
    name: &'a str,
    zone: &'a str,
    ip: Ipv4Addr,
    data: Option<&'a Path>,
    bootstrap: bool,
    /// Address at which a store listens behind its proxy.
    bound: Option<Ipv4Addr>,
}

struct Ports {
    frontend: u16,
    readiness: u16,
    control: u16,
    inner: u16,
}

/// One process of the system.
pub struct Process {
    child: Child,
}

impl Process {
    /// Process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process and waits for its end.
    pub fn kill(mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Stores and gateways of a small deployment.
pub struct Cluster {
    root: PathBuf,
    dir: PathBuf,
    ports: Ports,
    /// Second and third number of the loopback addresses of this run.
    block: (u8, u8),
    pub stores: Vec<Option<Process>>,
    pub gateways: Vec<Option<Process>>,
    /// Proxies in front of the stores, if there are any.
    partition: Option<Partition>,
}

impl Cluster {
    /// Starts stores and gateways, stores a route document and waits until all gateways are ready.
    pub fn start(stores: usize, gateways: usize, document: &str) -> Setup<Self> {
        Self::start_behind(stores, gateways, document, None)
    }

    /// As [`Self::start`]; the stores' inner addresses are those of proxies.
    pub fn start_behind(
        stores: usize,
        gateways: usize,
        document: &str,
        partition: Option<Partition>,
    ) -> Setup<Self> {
        let root = std::env::var("REVIEW_ROOT").map_err(|_| "REVIEW_ROOT is not set")?;
        let dir = std::env::var("REVIEW_TMP").map_err(|_| "REVIEW_TMP is not set")?;
        let random = util::random();
        let block = (64 + (random % 128) as u8, (random >> 8) as u8);
        let ports = Ports {
            frontend: free_port(block, stores.max(gateways))?,
            readiness: free_port(block, stores.max(gateways))?,
            control: free_port(block, stores.max(gateways))?,
            inner: free_port(block, stores.max(gateways))?,
        };
        let mut cluster = Self {
            root: root.into(),
            dir: dir.into(),
            ports,
            block,
            stores: (0..stores).map(|_| None).collect(),
            gateways: (0..gateways).map(|_| None).collect(),
            partition,
        };
        if let Some(partition) = &cluster.partition {
            for i in 0..stores {
                let inner = cluster.ports.inner;
                let (advertised, bound) = (cluster.store_ip(i), cluster.bound_ip(i));
                let advertised = SocketAddrV4::new(advertised, inner);
                let started = partition.start_proxy(i, advertised, SocketAddrV4::new(bound, inner));
                started.map_err(|e| e.to_string())?;
            }
        }
        for i in 0..stores {
            cluster.start_store(i, true)?;
        }
        for i in 0..gateways {
            cluster.start_gateway(i)?;
        }
        wait_until("a store accepts the route document", || {
            (0..stores)
                .any(|i| cluster.control_call(i, "/v1/Configuration.Replace", document) == 200)
        })?;
        for i in 0..gateways {
            wait_until("a gateway is ready", || cluster.is_ready(i))?;
        }
        Ok(cluster)
    }

    fn store_ip(&self, i: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.block.0, self.block.1, 10 + i as u8)
    }

    fn bound_ip(&self, i: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.block.0, self.block.1, 40 + i as u8)
    }

    fn gateway_ip(&self, i: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.block.0, self.block.1, 100 + i as u8)
    }

    /// Control address of a store.
    pub fn control(&self, i: usize) -> String {
        format!("{}:{}", self.store_ip(i), self.ports.control)
    }

    /// Control addresses of all stores.
    pub fn controls(&self) -> Vec<String> {
        (0..self.stores.len()).map(|i| self.control(i)).collect()
    }

    /// Address of a gateway for requesters.
    pub fn frontend(&self, i: usize) -> String {
        format!("{}:{}", self.gateway_ip(i), self.ports.frontend)
    }

    /// Status of a `POST` to a store; 0 without an answer.
    pub fn control_call(&self, i: usize, path: &str, body: &str) -> u16 {
        let timeout = Duration::from_secs(1);
        http::call(&self.control(i), "POST", path, &[], body.as_bytes(), timeout)
            .map_or(0, |answer| answer.status)
    }

    /// Whether a gateway says that it takes requesters.
    pub fn is_ready(&self, i: usize) -> bool {
        let address = format!("{}:{}", self.gateway_ip(i), self.ports.readiness);
        http::call(&address, "GET", "/v1/readiness", &[], b"", Duration::from_secs(1))
            .is_ok_and(|answer| answer.status == 200)
    }

    /// Starts a store; `bootstrap` as the platform says it, only at the first start of the whole system.
    pub fn start_store(&mut self, i: usize, bootstrap: bool) -> Setup<()> {
        let (name, zone) = (format!("storage-{i}"), zone(i));
        let data = self.dir.join(format!("{name}.data"));
        fs::create_dir_all(&data).map_err(|e| e.to_string())?;
        let ip = self.store_ip(i);
        let bound = self.partition.as_ref().map(|_| self.bound_ip(i));
        let node = Node { name: &name, zone, ip, data: Some(&data), bootstrap, bound };
        let process = self.spawn("orioleworks-store", "deploy/store.json", &node)?;
        if let Some(partition) = &self.partition {
            partition.register(Owner::Store(i), process.child.id());
        }
        self.stores[i] = Some(process);
        Ok(())
    }

    /// Starts a gateway.
    pub fn start_gateway(&mut self, i: usize) -> Setup<()> {
        let name = format!("frontend-{i}");
        let node = self.gateway_node(&name, i);
        let process = self.spawn("orioleworks-gateway", "deploy/gateway.json", &node)?;
        if let Some(partition) = &self.partition {
            partition.register(Owner::Gateway(i), process.child.id());
        }
        self.gateways[i] = Some(process);
        Ok(())
    }

    fn gateway_node<'a>(&self, name: &'a str, i: usize) -> Node<'a> {
        let (zone, ip) = (zone(i), self.gateway_ip(i));
        Node { name, zone, ip, data: None, bootstrap: false, bound: None }
    }

    /// Settings of a gateway with these seeds.
    pub fn gateway_settings(&self, i: usize, seeds: &[String]) -> Setup<String> {
        let template = self.root.join("deploy/gateway.json");
        let template = fs::read_to_string(template).map_err(|e| e.to_string())?;
        self.fill_in(&template, &self.gateway_node(&format!("frontend-{i}"), i), seeds)
    }

    /// File that holds the settings of a gateway.
    pub fn gateway_settings_file(&self, i: usize) -> PathBuf {
        self.dir.join(format!("frontend-{i}.json"))
    }

    fn spawn(&self, program: &str, template: &str, node: &Node<'_>) -> Setup<Process> {
        let template = fs::read_to_string(self.root.join(template)).map_err(|e| e.to_string())?;
        let settings = self.fill_in(&template, node, &self.controls())?;
        let file = self.dir.join(format!("{}.json", node.name));
        fs::write(&file, settings).map_err(|e| e.to_string())?;
        let output = self.dir.join(format!("{}.log", node.name));
        let log = File::options().create(true).append(true).open(&output);
        let log = log.map_err(|e| e.to_string())?;
        let child = Command::new(self.root.join("target/release").join(program))
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("ORIOLEWORKS_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| format!("{program}: {e}"))?;
        // The script ends what is left, should this program be ended itself.
        let pids = File::options().create(true).append(true).open(self.dir.join("pids"));
        let noted = pids.and_then(|mut file| writeln!(file, "{}", child.id()));
        noted.map_err(|e| e.to_string())?;
        Ok(Process { child })
    }

    /// Fills in a template as the platform does.
    fn fill_in(&self, template: &str, node: &Node<'_>, seeds: &[String]) -> Setup<String> {
        let text = |value: &dyn std::fmt::Display| format!("\"{value}\"");
        let address = |port: u16| format!("\"{}:{port}\"", node.ip);
        let seeds: Vec<String> = seeds.iter().take(3).map(|s| text(s)).collect();
        let data = node.data.map_or("null".to_owned(), |data| text(&data.display()));
        let values = [
            ("node_name|json", text(&node.name)),
            ("zone|json", text(&node.zone)),
            ("ip", node.ip.to_string()),
            ("listen_addresses.frontend|json", address(self.ports.frontend)),
            ("listen_addresses.readiness|json", address(self.ports.readiness)),
            ("listen_addresses.control_plane|json", address(self.ports.control)),
            ("internal_port_range.0", self.ports.inner.to_string()),
            ("seed_nodes|json", format!("[{}]", seeds.join(", "))),
            ("bootstrap|json", node.bootstrap.to_string()),
            ("fault_tolerance.machines", "1".to_owned()),
            ("data_directory|json", data),
            ("limits.memory_mb", "340".to_owned()),
            ("bounds.status_retention_s", "120".to_owned()),
            ("bounds.lease_ms", "3000".to_owned()),
        ];
        let mut settings = template.to_owned();
        for (name, value) in values {
            settings = settings.replace(&format!("{{{{{name}}}}}"), &value);
        }
        if let Some(bound) = node.bound {
            // The store listens behind its proxy; it tells the others its own address all the same.
            let listen =
                format!("\"listen\": {{ \"inner_bind\": \"{bound}:{}\",", self.ports.inner);
            settings = settings.replacen("\"listen\": {", &listen, 1);
        }
        match settings.find("{{") {
            Some(at) => Err(format!(
                "unknown placeholder: {}",
                &settings[at..].chars().take(40).collect::<String>()
            )),
            None => Ok(settings),
        }
    }
}

fn zone(i: usize) -> &'static str {
    ["zone-a", "zone-b", "zone-c"][i % 3]
}

/// A port that is free on all addresses of a run.
fn free_port(block: (u8, u8), machines: usize) -> Setup<u16> {
    for _ in 0..200 {
        let port = 10_000 + (util::random() % 20_000) as u16;
        let free = |first: u8| {
            (0..machines).all(|i| {
                let ip = Ipv4Addr::new(127, block.0, block.1, first + i as u8);
                TcpListener::bind((ip, port)).is_ok()
            })
        };
        if free(10) && free(40) && free(100) {
            return Ok(port);
        }
    }
    Err("no free port".into())
}

/// Waits up to 30 seconds until a condition holds.
pub fn wait_until(what: &str, condition: impl Fn() -> bool) -> Setup<()> {
    let deadline = Instant::now() + Duration::from_secs(30);
    while !condition() {
        if Instant::now() > deadline {
            return Err(format!("not within 30 s: {what}"));
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}
