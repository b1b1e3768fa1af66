//! Start, wiring and graceful shutdown of the entry daemon.

use std::{cell::RefCell, io, rc::Rc, time::Duration};

use compio::{net::TcpListener, runtime, time};
use futures_util::future::LocalBoxFuture;
use orioleworks_daemon::{
    clock,
    control::ControlClient,
    event, http, logging,
    memory::Budget,
    metrics, rpc,
    shutdown::{InFlight, Shutdown},
};
use orioleworks_proto::{
    codes::exit,
    inner::{self, frame::Body},
};
use orioleworks_settings as settings;
use tokio_util::sync::CancellationToken;

use crate::{
    claims::Claims,
    cli, config,
    configuration::{self, Configuration},
    dispatcher::Dispatcher,
    members::Members,
    orders, persist,
    policies::Policies,
    restart, rollout, router,
    slots::Slots,
    suspects::Suspects,
    watch,
};

/// Handles HTTP paths of other modules, or returns the request unhandled.
pub type HttpExtension = Rc<dyn Fn(http::Request) -> ExtensionResult>;
/// Response of an extension, or the request if the extension does not serve its path.
pub type ExtensionResult = Result<LocalBoxFuture<'static, http::Response>, Box<http::Request>>;
/// Handles messages of other entries.
pub type InnerExtension = Rc<dyn Fn(Body) -> LocalBoxFuture<'static, Option<Body>>>;

/// The parts of a running entry.
pub struct Entry {
    /// Settings.
    pub cfg: config::Config,
    /// Identity sent to control and peers.
    pub identity: inner::EntryIdentity,
    /// Current configuration.
    pub configuration: Configuration,
    /// Upstreams of the failure domain.
    pub members: Members,
    /// Requests that were in flight on crashed upstreams.
    pub suspects: Suspects,
    /// Slots of the upstreams.
    pub slots: Slots,
    /// Runs requests.
    pub dispatcher: Dispatcher,
    /// Client of control.
    pub control: ControlClient,
    /// Claims of non-idempotent requests.
    pub claims: Claims,
    /// Work that a drain waits for, in addition to open connections.
    pub in_flight: InFlight,
    /// Steps that trainers may still fetch from; a draining entry accepts connections until they are closed.
    pub open_steps: InFlight,
    /// Entries that control currently reports as live.
    pub live_entries: RefCell<Vec<inner::EntryIdentity>>,
    /// Memory for bodies of requests and for responses.
    pub memory: Budget,
    /// Shutdown stages that the process signals trigger.
    pub shutdown: Shutdown,
    render: Box<dyn Fn() -> String>,
    http_extension: RefCell<Option<HttpExtension>>,
    inner_extension: RefCell<Option<InnerExtension>>,
    store: Option<persist::Store>,
    listeners: RefCell<Option<(TcpListener, TcpListener)>>,
}

impl Entry {
    /// Binds the addresses and reads the local copy of the configuration; serves nothing yet.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or the data directory cannot be used.
    pub async fn bind(
        mut cfg: config::Config,
        policies: Policies,
        shutdown: Shutdown,
        render: impl Fn() -> String + 'static,
    ) -> Result<Rc<Self>, StartError> {
        let http = http::bind(&cfg.listen.http.to_string()).await.map_err(StartError::Listen)?;
        let inner = http::bind(&cfg.listen.inner.to_string()).await.map_err(StartError::Listen)?;
        cfg.listen.http = http.local_addr().map_err(StartError::Listen)?;
        cfg.listen.inner = inner.local_addr().map_err(StartError::Listen)?;
        let configuration = Configuration::default();
        let store = match &cfg.data.directory {
            None => None,
            Some(directory) => {
                let (store, config) = persist::Store::open(directory).map_err(StartError::Data)?;
                configuration.apply_full(config.unwrap_or_default());
                Some(store)
            }
        };
        let identity = identity(&cfg);
        let members = Members::default();
        let suspects = Suspects::default();
        let budget = policies.budget;
        let (slots_configuration, slots_suspects) = (configuration.clone(), suspects.clone());
        let slots = Slots::new(
            slots_configuration,
            members.clone(),
            slots_suspects,
            policies,
            rand::random(),
        );
        let memory = cfg.limits.budget();
        let dispatcher = Dispatcher::new(
            configuration.clone(),
            suspects.clone(),
            slots.clone(),
            budget,
            memory.clone(),
        );
        let control = ControlClient::new(control_addresses(&cfg));
        let in_flight = InFlight::default();
        let (name, incarnation) = (identity.name.as_str(), identity.incarnation);
        let claims = Claims::new(control.clone(), name, incarnation, in_flight.clone());
        Ok(Rc::new(Self {
            memory,
            cfg,
            identity,
            configuration,
            members,
            suspects,
            slots,
            dispatcher,
            control,
            claims,
            in_flight,
            open_steps: InFlight::default(),
            live_entries: RefCell::default(),
            shutdown,
            render: Box::new(render),
            http_extension: RefCell::default(),
            inner_extension: RefCell::default(),
            store,
            listeners: RefCell::new(Some((http, inner))),
        }))
    }

    /// Serves until shutdown; returns when the work in progress is finished, or immediately on stop.
    pub async fn serve(self: &Rc<Self>) {
        let Some((http_listener, inner_listener)) = self.listeners.borrow_mut().take() else {
            return;
        };
        let background = CancellationToken::new();
        self.start_background(&background);
        let entry = self.clone();
        let inner_handler = move |body| entry.clone().handle_inner(body);
        runtime::spawn(rpc::serve(inner_listener, background.child_token(), inner_handler))
            .detach();
        event!(
            info,
            "entry_started",
            name = self.name(),
            http = self.cfg.listen.http,
            inner = self.cfg.listen.inner
        );
        // Accepts connections during the grace period, because load balancers notice the failing `/ready` with a delay.
        let serving = Shutdown { drain: CancellationToken::new(), ..self.shutdown.clone() };
        let (signalled, drain) = (self.shutdown.drain.clone(), serving.drain.clone());
        let grace = Duration::from_millis(self.cfg.limits.drain_grace_ms);
        let open_steps = self.open_steps.clone();
        runtime::spawn(async move {
            signalled.cancelled().await;
            time::sleep(grace).await;
            open_steps.wait_idle().await;
            drain.cancel();
        })
        .detach();
        let entry = self.clone();
        let handler = move |req| router::handle(entry.clone(), req);
        let (limits, memory) = (self.http_limits(), self.memory.clone());
        http::serve_within(http_listener, limits, memory, serving, handler).await;
        let stopped = self.shutdown.stop.cancelled();
        futures_util::future::select(Box::pin(self.in_flight.wait_idle()), Box::pin(stopped)).await;
        background.cancel();
        event!(info, "entry_stopped", unfinished = self.in_flight.count());
    }

    fn start_background(self: &Rc<Self>, token: &CancellationToken) {
        let configuration = self.configuration.clone();
        let housekeeping = async move {
            loop {
                configuration.tick();
                time::sleep(configuration::TICK_INTERVAL).await;
            }
        };
        runtime::spawn(orders::run_until_cancelled(token.clone(), housekeeping)).detach();
        runtime::spawn(self.slots.clone().run(token.clone())).detach();
        let replicas = control_addresses(&self.cfg).into_iter().map(rpc::Client::new).collect();
        let entry = self.clone();
        runtime::spawn(watch::run(
            self.identity.clone(),
            replicas,
            self.configuration.clone(),
            self.store.clone(),
            move |entries| entry.set_live_entries(entries),
            token.clone(),
        ))
        .detach();
        let domain = &self.cfg.instance.failure_domain;
        let peers = self.cfg.peers.iter().filter(|p| p.failure_domain == *domain);
        let peers = peers.map(|p| rpc::Client::new(p.inner.to_string())).collect();
        let has_copy = self.configuration.revision() > 0;
        let configuration = self.configuration.clone();
        runtime::spawn(restart::run(peers, configuration, has_copy, token.clone())).detach();
        let orders = orders::propose_quarantines(self.suspects.clone(), self.control.clone());
        runtime::spawn(orders::run_until_cancelled(token.clone(), orders)).detach();
        rollout::start(self, token);
    }

    fn set_live_entries(&self, entries: Vec<inner::EntryIdentity>) {
        let domain = &*self.cfg.instance.failure_domain;
        let count = entries.iter().filter(|e| e.domain == domain).count();
        let preceding = entries.iter().filter(|e| e.domain == domain && *e.name < *self.name());
        self.suspects.set_turn(u32::try_from(preceding.count()).unwrap_or(0));
        self.slots.set_live_entries(u32::try_from(count).unwrap_or(u32::MAX));
        *self.live_entries.borrow_mut() = entries;
    }

    async fn handle_inner(self: Rc<Self>, body: Body) -> Option<Body> {
        let extension = self.inner_extension.borrow().clone();
        extension?(body).await
    }

    /// Sets the handler of further HTTP paths.
    pub fn set_http_extension(&self, extension: HttpExtension) {
        *self.http_extension.borrow_mut() = Some(extension);
    }

    /// Sets the handler of messages of other entries.
    pub fn set_inner_extension(&self, extension: InnerExtension) {
        *self.inner_extension.borrow_mut() = Some(extension);
    }

    /// Passes a request to the HTTP extension.
    ///
    /// # Errors
    ///
    /// Returns the request if the extension does not serve its path.
    pub fn extend_http(&self, req: http::Request) -> ExtensionResult {
        let extension = self.http_extension.borrow().clone();
        match extension {
            Some(extension) => extension(req),
            None => Err(Box::new(req)),
        }
    }

    /// Name of the entry.
    pub fn name(&self) -> &str {
        &self.cfg.instance.name
    }

    /// Readiness of the entry, or the reason why it is not ready.
    pub fn readiness(&self) -> Result<(), &'static str> {
        if self.shutdown.draining() {
            Err("draining")
        } else if !self.configuration.is_ready() {
            Err("no configuration")
        } else if self.configuration.is_resuming() {
            Err("resuming after a pause")
        } else {
            Ok(())
        }
    }

    /// Metrics in text form.
    pub fn render(&self) -> String {
        (self.render)()
    }

    /// Bounds of the HTTP server.
    pub fn http_limits(&self) -> http::Limits {
        let limits = &self.cfg.limits;
        http::Limits {
            connections: limits.connections(),
            buffer_bytes: http::Limits::SMALL_BUFFER_BYTES,
            body_bytes: limits.body_bytes,
            body_timeout: Duration::from_millis(limits.body_timeout_ms),
            ..http::Limits::default()
        }
    }
}

/// Why the entry cannot start.
#[derive(Debug, displaydoc::Display)]
pub enum StartError {
    /// an address cannot be bound: {0}
    Listen(io::Error),
    /// the data directory cannot be used: {0}
    Data(io::Error),
}

impl std::error::Error for StartError {}

impl StartError {
    /// Exit code of the process.
    pub fn exit_code(&self) -> i32 {
        match self {
            Self::Listen(_) => exit::LISTEN,
            Self::Data(_) => exit::DATA,
        }
    }
}

fn identity(cfg: &config::Config) -> inner::EntryIdentity {
    inner::EntryIdentity {
        name: cfg.instance.name.to_string(),
        incarnation: clock::unix_ms(),
        domain: cfg.instance.failure_domain.to_string(),
        inner_address: cfg.listen.inner.to_string(),
        http_address: cfg.listen.http.to_string(),
    }
}

/// Addresses of the control replicas; those in this entry's failure domain come first.
fn control_addresses(cfg: &config::Config) -> Vec<String> {
    let domain = &cfg.instance.failure_domain;
    let mut replicas: Vec<&config::Replica> = cfg.control.replicas.iter().collect();
    replicas.sort_by_key(|replica| replica.failure_domain != *domain);
    replicas.iter().map(|replica| replica.address.to_string()).collect()
}

/// Runs the daemon and returns its exit code.
pub fn run(options: &cli::Options) -> i32 {
    if options.version {
        println!("orioleworks-entry {}", env!("CARGO_PKG_VERSION"));
        return exit::OK;
    }
    let Some(path) = &options.config else {
        eprintln!("option --config is required; see --help");
        return exit::SETTINGS;
    };
    let cfg: config::Config = match settings::load(path) {
        Ok(cfg) => cfg,
        Err(e) => {
            eprintln!("{e}");
            return exit::SETTINGS;
        }
    };
    if options.check {
        println!("{}: settings are valid", path.display());
        return exit::OK;
    }
    logging::start(&cfg.log.filter);
    #[cfg(feature = "failpoints")]
    let _scenario = start_fail_points();
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("the runtime cannot start: {e}");
            return exit::FAILED;
        }
    };
    runtime.block_on(serve(cfg))
}

async fn serve(cfg: config::Config) -> i32 {
    let handle = metrics::install();
    let shutdown = Shutdown::default();
    shutdown.watch_signals(Duration::from_millis(cfg.limits.drain_deadline_ms));
    let policies = Policies::new(&cfg);
    match Entry::bind(cfg, policies, shutdown, move || handle.render()).await {
        Ok(entry) => {
            entry.serve().await;
            exit::OK
        }
        Err(e) => {
            eprintln!("{e}");
            e.exit_code()
        }
    }
}

/// Configures fail points from the environment; a panic at one aborts the process.
#[cfg(feature = "failpoints")]
fn start_fail_points() -> fail::FailScenario<'static> {
    std::panic::set_hook(Box::new(|info| {
        eprintln!("{info}");
        std::process::abort();
    }));
    let scenario = fail::FailScenario::setup();
    orioleworks_daemon::failpoints::watch_file();
    scenario
}
