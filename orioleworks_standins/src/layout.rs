//! Builds a deployment: ports, settings files, relays and the list of processes.

use std::{
    cell::RefCell,
    fs, io,
    rc::Rc,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use crate::{
    deployment::{Deployment, DeploymentError, Kind, Node, Options, system},
    ports::Ports,
    process::{Process, Spec, socket_inode},
    relay::{Identify, Relay},
    settings_files::{self, Daemon},
};

/// Longest time for which the socket table is cached. A cut looks up the senders of all connections at once, and
/// reading the table takes 25 ms on a busy machine. A port is not reused within this time.
const TABLE_AGE: Duration = Duration::from_millis(100);

/// Cached table of the TCP sockets of the machine; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sockets {
    table: Rc<RefCell<Option<(Instant, String)>>>,
}

impl Sockets {
    fn find(&self, local_port: u16, remote_port: u16) -> Option<u64> {
        let mut table = self.table.borrow_mut();
        if table.as_ref().is_none_or(|(read, _)| read.elapsed() >= TABLE_AGE) {
            *table = Some((Instant::now(), fs::read_to_string("/proc/net/tcp").ok()?));
        }
        let (_, text) = table.as_ref()?;
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
            sockets: Sockets::default(),
        };
        let mut ports = Ports::new();
        deployment.place_daemons(&mut ports).map_err(system("ports"))?;
        deployment.start_relays().await?;
        deployment.add_daemons().map_err(system("settings"))?;
        deployment.add_standins(&mut ports).map_err(system("ports"))?;
        Ok(deployment)
    }

    fn place_daemons(&mut self, ports: &mut Ports) -> io::Result<()> {
        for domain in &self.options.domains {
            let letter = letter(domain);
            self.controls.push(self.daemon(format!("control-{letter}"), domain, ports)?);
        }
        for domain in &self.options.domains {
            for number in 1..=self.options.entries_per_domain {
                let name = format!("entry-{}{number}", letter(domain));
                self.entries.push(self.daemon(name, domain, ports)?);
            }
        }
        Ok(())
    }

    fn daemon(&self, name: String, domain: &str, ports: &mut Ports) -> io::Result<Daemon> {
        let (http, inner) = (ports.free()?, ports.free()?);
        let public_inner = if self.options.relays { ports.free()? } else { inner.clone() };
        Ok(Daemon { name, domain: domain.to_owned(), http, inner, public_inner })
    }

    async fn start_relays(&mut self) -> Result<(), DeploymentError> {
        if !self.options.relays {
            return Ok(());
        }
        for daemon in self.controls.iter().chain(&self.entries) {
            let relay_port = daemon.public_inner.rsplit_once(':').and_then(|(_, p)| p.parse().ok());
            let identify = self.identify(relay_port.unwrap_or(0));
            let relay = Relay::start(&daemon.public_inner, &daemon.inner, identify).await;
            self.relays.insert(daemon.name.clone(), relay.map_err(system(&daemon.name))?);
        }
        Ok(())
    }

    /// Returns a function that finds the process of this deployment that opened a connection to a port of this machine.
    ///
    /// The function returns an empty name for a process outside this deployment, and `None` when there is no such
    /// connection. A relay needs it to cut the link between two processes, because the inner protocol does not name
    /// the sender.
    pub fn identify(&self, port: u16) -> Identify {
        let (processes, sockets) = (self.processes.clone(), self.sockets.clone());
        Rc::new(move |peer| {
            let inode = sockets.find(peer.port(), port)?;
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
        own: &Daemon,
        kind: Kind,
        bootstrap: bool,
    ) -> io::Result<()> {
        let data = self.data_directory(&own.name);
        fs::create_dir_all(&data)?;
        let settings = match kind {
            Kind::Control => {
                let snapshot_entries = self.options.snapshot_entries;
                settings_files::control(own, &self.controls, &data, bootstrap, snapshot_entries)
            }
            _ => {
                let mut entry = settings_files::entry(own, &self.controls, &self.entries, &data);
                if !self.options.routing.is_null() {
                    entry["routing"] = self.options.routing.clone();
                }
                entry
            }
        };
        settings_files::write(&self.settings_path(&own.name), &settings)
    }

    fn add_daemon(&mut self, daemon: &Daemon, kind: Kind, program: &str) {
        let path = self.settings_path(&daemon.name).display().to_string();
        let node = Node { kind, domain: daemon.domain.clone(), http: daemon.http.clone() };
        self.add(&daemon.name, node, program, vec!["--config".into(), path]);
    }

    fn add_standins(&mut self, ports: &mut Ports) -> io::Result<()> {
        let weights = ports.free()?;
        if self.options.weight_store {
            let node = Node { kind: Kind::Weights, domain: String::new(), http: weights.clone() };
            let mut list = args(&[("listen", &weights)]);
            list.extend(self.options.weights_args.iter().cloned());
            self.add("weights", node, "standin-weights", list);
        }
        for (at, domain) in self.options.domains.clone().iter().enumerate() {
            for number in 1..=self.options.engines_per_domain {
                let name = format!("scorer-{}{number}", letter(domain));
                let more = [("kind", "scorer-llm"), ("model", "scorer"), ("weights", &weights)];
                self.add_upstream(&name, domain, Kind::Engine, "standin-engine", &more, ports)?;
            }
            for kind in self.options.service_kinds.clone() {
                let name = format!("{kind}-{}", letter(domain));
                let more = [("kind", kind.as_str())];
                self.add_upstream(&name, domain, Kind::Service, "standin-service", &more, ports)?;
            }
            if at < self.options.judges {
                let name = format!("judge-{}", letter(domain));
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
        more: &[(&str, &str)],
        ports: &mut Ports,
    ) -> io::Result<()> {
        let http = ports.free()?;
        let of_domain = self.entries.iter().filter(|entry| entry.domain == domain);
        let entries: Vec<&str> = of_domain.map(|entry| entry.http.as_str()).collect();
        let (entries, seed) = (entries.join(","), self.options.seed.to_string());
        let mut list = args(&[
            ("listen", &http),
            ("name", name),
            ("domain", domain),
            ("entries", &entries),
            ("seed", &seed),
        ]);
        list.extend(args(more));
        if kind == Kind::Engine {
            list.extend(self.options.engine_args.iter().cloned());
        }
        if kind == Kind::Service {
            list.extend(self.options.service_args.iter().cloned());
        }
        self.add(name, Node { kind, domain: domain.to_owned(), http }, program, list);
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
fn letter(domain: &str) -> &str {
    domain.rsplit_once('-').map_or(domain, |(_, letter)| letter)
}

/// Command line arguments from pairs of a flag name and a value.
pub fn args(pairs: &[(&str, &str)]) -> Vec<String> {
    pairs.iter().flat_map(|(name, value)| [format!("--{name}"), (*value).to_owned()]).collect()
}
