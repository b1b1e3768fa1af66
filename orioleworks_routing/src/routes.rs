//! Routes of a deployment: the one of a request is found by host and longest path prefix.
//!
//! A lookup takes one hash per slash of the path, so that hundreds of routes match as fast as one. See
//! `docs/platform.md`.

use std::{collections::HashMap, rc::Rc, time::Duration};

use displaydoc::Display;
use indexmap::IndexMap;
use rand::{Rng, RngExt};

/// Share of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: Rc<str>,
    /// Weight against the other targets of the route.
    pub weight: u32,
}

/// Terms of a route that takes batches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchTerms {
    /// Time from the submission in which all results are due.
    pub completion: Duration,
    /// Time from the submission after which an item may be given up.
    pub retention: Duration,
    /// Whether a sample may come from one weight version only.
    pub single_version: bool,
}

/// What happens to requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name in logs.
    pub name: Rc<str>,
    /// Host in lower case, without a port.
    pub host: Rc<str>,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: Rc<str>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Terms of batches, where the route takes them.
    pub batch: Option<BatchTerms>,
    /// Whether answers are event streams.
    pub streaming: bool,
    /// Whether a broken stream may go on at another upstream.
    pub resumable: bool,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Time in which an answer has its full value.
    pub latency_objective: Duration,
    /// Rank, 0 first.
    pub priority: u32,
    /// Services that serve the route.
    pub targets: Vec<Target>,
    /// Largest number of upstreams to which a request may be sent.
    pub max_attempts: u32,
}

impl Route {
    /// Chooses a service by weight; `None` for a route without targets, which a table refuses.
    pub fn pick(&self, rng: &mut impl Rng) -> Option<&Rc<str>> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut at = if total > 1 { rng.random_range(0..total) } else { 0 };
        self.targets.iter().filter(|t| t.weight > 0).find_map(|t| {
            let weight = u64::from(t.weight);
            if at < weight {
                return Some(&t.service);
            }
            at -= weight;
            None
        })
    }
}

/// Model engines behind a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineTerms {
    /// Requests that an engine runs at a time.
    pub slots: u32,
    /// Tokens that fit into the memory of an engine.
    pub memory_tokens: u64,
    /// Tokens of one event of a stream.
    pub event_tokens: u32,
    /// Models that an engine holds.
    pub models: Vec<Rc<str>>,
}

/// Upstreams that are interchangeable.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub name: Rc<str>,
    /// Connections that one upstream takes.
    pub connection_limit: u32,
    /// Set where the upstreams are model engines.
    pub engine: Option<EngineTerms>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request in bytes.
    pub head_bytes: usize,
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Longest time for the head of a request.
    pub head_timeout: Duration,
    /// Longest idle time of a connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 32 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Why a set of routes was refused.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum TableError {
    /// route {route} names the unknown service {service}
    UnknownService {
        /// Name of the route.
        route: String,
        /// Service that the document lacks.
        service: String,
    },
    /// routes {first} and {second} share host and prefix
    SharedPlace {
        /// Name of the earlier route.
        first: String,
        /// Name of the later route.
        second: String,
    },
    /// the weights of route {0} add up to 0
    NoWeight(String),
    /// the timeout of route {0} is 0
    NoTimeout(String),
    /// the prefix of route {0} does not begin and end with a slash
    BadPrefix(String),
}

impl std::error::Error for TableError {}

/// All routes and services of one version.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Version of the document.
    pub version: u64,
    /// Bounds on callers.
    pub limits: CallerLimits,
    services: IndexMap<Rc<str>, Service>,
    hosts: HashMap<Rc<str>, HashMap<Rc<str>, Rc<Route>>>,
}

impl RouteTable {
    /// Builds a table.
    ///
    /// # Errors
    ///
    /// Returns the first contradiction.
    pub fn new(
        version: u64,
        limits: CallerLimits,
        services: Vec<Service>,
        routes: Vec<Route>,
    ) -> Result<Self, TableError> {
        let services = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        let mut table = Self { version, limits, services, hosts: HashMap::new() };
        for route in routes {
            table.add(route)?;
        }
        Ok(table)
    }

    fn add(&mut self, route: Route) -> Result<(), TableError> {
        let name = || route.name.to_string();
        if let Some(target) = route.targets.iter().find(|t| !self.services.contains_key(&t.service))
        {
            let service = target.service.to_string();
            return Err(TableError::UnknownService { route: name(), service });
        }
        if route.targets.iter().all(|t| t.weight == 0) {
            return Err(TableError::NoWeight(name()));
        }
        if route.timeout.is_zero() {
            return Err(TableError::NoTimeout(name()));
        }
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            return Err(TableError::BadPrefix(name()));
        }
        let places = self.hosts.entry(route.host.clone()).or_default();
        if let Some(first) = places.get(&route.prefix) {
            let first = first.name.to_string();
            return Err(TableError::SharedPlace { first, second: name() });
        }
        places.insert(route.prefix.clone(), Rc::new(route));
        Ok(())
    }

    /// Route of a request; `host` may carry a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let places = self.hosts.get(host.as_str())?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = places.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Route by name.
    pub fn by_name(&self, name: &str) -> Option<&Rc<Route>> {
        self.hosts.values().flat_map(HashMap::values).find(|route| *route.name == *name)
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
