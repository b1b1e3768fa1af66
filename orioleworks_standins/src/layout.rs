//! Builds a deployment: ports, settings files, relays and the list of processes.

use std::{
    cell::RefCell,
    fs, io,
    rc::Rc,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use crate::{
    deployment::{Deployment, DeploymentError, Kind, Node, Options, system_error},
    ports::Ports,
    process::{Process, Spec, socket_inode},
    relay::{Relay, SenderLookup},
    settings_files::{self, Daemon},
};

/// Longest time for which the socket table is cached. A cut looks up the senders of all connections at once, and
/// reading the table takes 25 ms on a busy machine. A port is not reused within this time.
const SOCKET_TABLE_MAX_AGE: Duration = Duration::from_millis(100);

/// Cached table of the TCP sockets of the machine; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct SocketTable {
    cached: Rc<RefCell<Option<(Instant, String)>>>,
}

impl SocketTable {
    fn find_inode(&self, local_port: u16, remote_port: u16) -> Option<u64> {
        let mut cached = self.cached.borrow_mut();
        if cached.as_ref().is_none_or(|(read_at, _)| read_at.elapsed() >= SOCKET_TABLE_MAX_AGE) {
            *cached = Some((Instant::now(), fs::read_to_string("/proc/net/tcp").ok()?));
        }
        let (_, text) = cached.as_ref()?;
        socket_inode(text, local_port, remote_port)
    }
}

impl Deployment {
    /// Chooses ports, writes the settings files and starts the relays. Starts no process.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub async fn prepare(options: Options) -> Result<Self, DeploymentError> {
        let mut deployment = Self {
            options,
            nodes: IndexMap::new(),
            processes: Rc::default(),
            controls: Vec::new(),
            entries: Vec::new(),
            relays: IndexMap::new(),
            socket_table: SocketTable::default(),
        };
        let mut ports = Ports::new();
        deployment.assign_daemon_ports(&mut ports).map_err(system_error("ports"))?;
        deployment.start_relays().await?;
        deployment.add_daemons().map_err(system_error("settings"))?;
        deployment.add_standins(&mut ports).map_err(system_error("ports"))?;
        Ok(deployment)
    }

    fn assign_daemon_ports(&mut self, ports: &mut Ports) -> io::Result<()> {
        for domain in &self.options.domains {
            let suffix = domain_suffix(domain);
            self.controls.push(self.assign_ports(format!("control-{suffix}"), domain, ports)?);
        }
        for domain in &self.options.domains {
            for number in 1..=self.options.entries_per_domain {
                let name = format!("entry-{}{number}", domain_suffix(domain));
                self.entries.push(self.assign_ports(name, domain, ports)?);
            }
        }
        Ok(())
    }

    fn assign_ports(&self, name: String, domain: &str, ports: &mut Ports) -> io::Result<Daemon> {
        let (http, inner) = (ports.next_free_address()?, ports.next_free_address()?);
        let advertised_inner =
            if self.options.relays { ports.next_free_address()? } else { inner.clone() };
        Ok(Daemon { name, domain: domain.to_owned(), http, inner, advertised_inner })
    }

    async fn start_relays(&mut self) -> Result<(), DeploymentError> {
        if !self.options.relays {
            return Ok(());
        }
        for daemon in self.controls.iter().chain(&self.entries) {
            let relay_port =
                daemon.advertised_inner.rsplit_once(':').and_then(|(_, p)| p.parse().ok());
            let sender_lookup = self.sender_lookup(relay_port.unwrap_or(0));
            let relay = Relay::start(&daemon.advertised_inner, &daemon.inner, sender_lookup).await;
            self.relays.insert(daemon.name.clone(), relay.map_err(system_error(&daemon.name))?);
        }
        Ok(())
    }

    /// Returns a function that finds the process of this deployment that opened a connection to a port of this machine.
    ///
    /// The function returns an empty name for a process outside this deployment, and `None` when there is no such
    /// connection. A relay needs it to cut the link between two processes, because the inner protocol does not name
    /// the sender.
    pub fn sender_lookup(&self, port: u16) -> SenderLookup {
        let (processes, socket_table) = (self.processes.clone(), self.socket_table.clone());
        Rc::new(move |peer| {
            let inode = socket_table.find_inode(peer.port(), port)?;
            let processes = processes.borrow();
            let sender = processes.iter().find(|(_, p)| p.has_socket(inode));
            Some(sender.map(|(name, _)| name.clone()).unwrap_or_default())
        })
    }

    fn add_daemons(&mut self) -> io::Result<()> {
        for daemon in self.controls.clone() {
            self.write_settings(&daemon, Kind::Control, true)?;
            self.add_daemon(&daemon, Kind::Control, "orioleworks-control");
        }
        for daemon in self.entries.clone() {
            self.write_settings(&daemon, Kind::Entry, false)?;
            self.add_daemon(&daemon, Kind::Entry, "orioleworks-entry");
        }
        Ok(())
    }

    pub(crate) fn write_settings(
        &self,
        daemon: &Daemon,
        kind: Kind,
        bootstrap: bool,
    ) -> io::Result<()> {
        let data = self.data_directory(&daemon.name);
        fs::create_dir_all(&data)?;
        let settings = match kind {
            Kind::Control => {
                let snapshot_entries = self.options.snapshot_entries;
                settings_files::control(daemon, &self.controls, &data, bootstrap, snapshot_entries)
            }
            _ => {
                let mut entry = settings_files::entry(daemon, &self.controls, &self.entries, &data);
                if !self.options.routing.is_null() {
                    entry["routing"] = self.options.routing.clone();
                }
                entry
            }
        };
        settings_files::write(&self.settings_path(&daemon.name), &settings)
    }

    fn add_daemon(&mut self, daemon: &Daemon, kind: Kind, program: &str) {
        let path = self.settings_path(&daemon.name).display().to_string();
        let node = Node { kind, domain: daemon.domain.clone(), http: daemon.http.clone() };
        self.add(&daemon.name, node, program, vec!["--config".into(), path]);
    }

    fn add_standins(&mut self, ports: &mut Ports) -> io::Result<()> {
        let weights = ports.next_free_address()?;
        if self.options.weight_store {
            let node = Node { kind: Kind::Weights, domain: String::new(), http: weights.clone() };
            let mut arguments = args(&[("listen", &weights)]);
            arguments.extend(self.options.weights_args.iter().cloned());
            self.add("weights", node, "standin-weights", arguments);
        }
        for (index, domain) in self.options.domains.clone().iter().enumerate() {
            for number in 1..=self.options.engines_per_domain {
                let name = format!("scorer-{}{number}", domain_suffix(domain));
                let extra_flags =
                    [("kind", "scorer-llm"), ("model", "scorer"), ("weights", &weights)];
                self.add_upstream(
                    &name,
                    domain,
                    Kind::Engine,
                    "standin-engine",
                    &extra_flags,
                    ports,
                )?;
            }
            for kind in self.options.service_kinds.clone() {
                let name = format!("{kind}-{}", domain_suffix(domain));
                let extra_flags = [("kind", kind.as_str())];
                self.add_upstream(
                    &name,
                    domain,
                    Kind::Service,
                    "standin-service",
                    &extra_flags,
                    ports,
                )?;
            }
            if index < self.options.judges {
                let name = format!("judge-{}", domain_suffix(domain));
                self.add_upstream(&name, domain, Kind::Judge, "standin-judge", &[], ports)?;
            }
        }
        Ok(())
    }

    fn add_upstream(
        &mut self,
        name: &str,
        domain: &str,
        kind: Kind,
        program: &str,
        extra_flags: &[(&str, &str)],
        ports: &mut Ports,
    ) -> io::Result<()> {
        let http = ports.next_free_address()?;
        let domain_entries = self.entries.iter().filter(|entry| entry.domain == domain);
        let entries: Vec<&str> = domain_entries.map(|entry| entry.http.as_str()).collect();
        let (entries, seed) = (entries.join(","), self.options.seed.to_string());
        let mut arguments = args(&[
            ("listen", &http),
            ("name", name),
            ("domain", domain),
            ("entries", &entries),
            ("seed", &seed),
        ]);
        arguments.extend(args(extra_flags));
        if kind == Kind::Engine {
            arguments.extend(self.options.engine_args.iter().cloned());
        }
        if kind == Kind::Service {
            arguments.extend(self.options.service_args.iter().cloned());
        }
        self.add(name, Node { kind, domain: domain.to_owned(), http }, program, arguments);
        Ok(())
    }

    /// Adds a process without starting it.
    pub fn add(&mut self, name: &str, node: Node, program: &str, args: Vec<String>) {
        let spec = Spec {
            name: name.to_owned(),
            program: self.options.bin_dir.join(program),
            args,
            output: self.options.directory.join(format!("{name}.log")),
            env: vec![self.failpoints_variable(name)],
        };
        self.nodes.insert(name.to_owned(), node);
        self.processes.borrow_mut().insert(name.to_owned(), Process::new(spec));
    }

    /// Adds a trainer or load generator without starting it.
    pub fn add_client(&mut self, name: &str, program: &str, args: Vec<String>) {
        let node = Node { kind: Kind::Client, domain: String::new(), http: String::new() };
        self.add(name, node, program, args);
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        // The tasks of the relays share the process list, and the runtime may end without dropping them. So the
        // processes are killed here.
        for process in self.processes.borrow_mut().values_mut() {
            drop(process.kill());
        }
    }
}

/// Part of a domain's name after the last hyphen, used in the names of its instances.
fn domain_suffix(domain: &str) -> &str {
    domain.rsplit_once('-').map_or(domain, |(_, suffix)| suffix)
}

/// Command line arguments from pairs of a flag name and a value.
pub fn args(pairs: &[(&str, &str)]) -> Vec<String> {
    pairs.iter().flat_map(|(name, value)| [format!("--{name}"), (*value).to_owned()]).collect()
}
