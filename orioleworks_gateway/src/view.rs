//! State of a gateway: routes, upstreams and stores.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use orioleworks_daemon::{clock, event, memory};
use orioleworks_fleet::{pool::Pool, stores::Stores, watch::Knowledge};
use orioleworks_platform::document;
use orioleworks_proto::inner;
use orioleworks_routing::{
    budget::{self, Budget},
    fleet::Upstream,
    helpers::Helpers,
    outlier::{Candidate, Key, Outliers},
    routes::RouteTable,
    streams::{Recorded, Streams},
};

use crate::{
    buffers::Buffers, config::Config, crashes::ContentCrashes, keys::Keys, path::UpstreamPath,
    permits::Permits, relay::Relayed, reports::Wake, telemetry, usage::Usage,
};

/// Second attempts allowed per recent successes, in percent. When one of three replicas fails, a third of the requests
/// fail until it is excluded.
const RETRY_PERCENT: u32 = 20;
/// Second attempts allowed without any success; covers the requests in flight when a replica of a service with little
/// load crashes.
const RETRY_FLOOR: u32 = 10;

/// Process age after which a service without known upstreams counts as having none. Upstreams announce themselves every
/// 1.2 s; the rest of the time allows for stores that were restarted too.
const DISCOVERY_TIME: Duration = Duration::from_millis(3000);
/// Interval between two checks for the first routes or upstreams.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(20);

/// State of a gateway; clones share it.
#[derive(Clone, Debug)]
pub struct View {
    /// Settings of the process.
    pub cfg: Rc<Config>,
    /// What is known from stores and from this gateway's requests.
    pub knowledge: Knowledge,
    /// Contents that may have crashed upstreams.
    pub crashes: ContentCrashes,
    /// Keys of callers.
    pub keys: Keys,
    /// Memory for responses that are buffered until they are complete.
    pub buffers: Buffers,
    /// Streams that began through this gateway.
    pub streams: Rc<RefCell<Streams>>,
    /// Software versions that may begin streams.
    pub recorded: Rc<RefCell<Recorded>>,
    /// Wakes the task that reports observations to a store.
    pub report_wake: Wake,
    /// Counts of the requests of tenants.
    pub usage: Usage,
    /// Permits for upstreams that name a limit.
    pub permits: Permits,
    /// Health of upstreams as observed by this gateway's requests.
    pub outliers: Rc<RefCell<Outliers>>,
    /// Stores.
    pub stores: Stores,
    /// Connections to upstreams.
    pub pool: Pool,
    /// Path to the upstreams.
    pub path: UpstreamPath,
    /// Gateways that may send requests for this one.
    pub helpers: Rc<RefCell<Helpers>>,
    /// Connections to these gateways.
    pub helper_pool: Pool,
    /// Requests that this gateway sends for others.
    pub relayed: Relayed,
    /// Memory for bodies and responses.
    pub memory: memory::Budget,
    table: Rc<RefCell<Option<Rc<RouteTable>>>>,
    budgets: Rc<RefCell<HashMap<Rc<str>, Budget>>>,
    stop: Rc<Cell<Option<Stop>>>,
    started: Instant,
    /// Time of the newest reply from a store that knows a leader.
    last_current: Rc<Cell<Instant>>,
    followed_store: Rc<RefCell<Option<String>>>,
}

/// Times of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// End of the time in which new connections are accepted.
    pub accepts_until: Instant,
    /// Time at which requests in progress are answered as ones that may have run.
    pub answers_until: Instant,
}

impl View {
    /// Creates a view without routes and upstreams.
    pub fn new(cfg: Config) -> Self {
        let (stores, knowledge) = (Stores::default(), Knowledge::default());
        knowledge.fleet.borrow_mut().begin(clock::since_boot());
        let report_wake = Wake::default();
        stores.set_seeds(cfg.seed_addresses());
        Self {
            keys: Keys::new(cfg.revocation.bound()),
            usage: Usage::new(cfg.usage.window()),
            memory: cfg.limits.budget(),
            cfg: Rc::new(cfg),
            crashes: ContentCrashes::new(knowledge.clone(), report_wake.clone()),
            buffers: Buffers::default(),
            streams: Rc::default(),
            recorded: Rc::default(),
            report_wake,
            permits: Permits::default(),
            knowledge: knowledge.clone(),
            outliers: Rc::default(),
            stores,
            pool: Pool::new(knowledge.fleet.clone()),
            path: UpstreamPath::default(),
            helpers: Rc::default(),
            helper_pool: Pool::default(),
            relayed: Relayed::default(),
            table: Rc::default(),
            budgets: Rc::default(),
            stop: Rc::default(),
            started: Instant::now(),
            last_current: Rc::new(Cell::new(Instant::now())),
            followed_store: Rc::default(),
        }
    }

    /// Routes in force, `None` before the first document.
    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Version of the routes in force, 0 for none.
    pub fn document_version(&self) -> u64 {
        self.table.borrow().as_ref().map_or(0, |table| table.version)
    }

    /// Applies a route document that is newer than the one in force.
    pub fn apply_document(&self, document: &inner::Document) {
        if document.version <= self.document_version() {
            return;
        }
        match document::decode(&document.content) {
            Ok(table) => {
                event!(info, "routes_in_force", version = table.version, routes = table.len());
                *self.table.borrow_mut() = Some(Rc::new(table));
            }
            // Stores validate documents, so a store of another version must have accepted this one.
            Err(e) => event!(error, "document_unreadable", version = document.version, reason = e),
        }
    }

    /// Records that a store that knows a leader has replied.
    pub fn mark_current(&self, store: &str) {
        self.last_current.set(Instant::now());
        let mut followed = self.followed_store.borrow_mut();
        if followed.as_deref() != Some(store) {
            event!(info, "store_followed", peer = store);
            *followed = Some(store.to_owned());
        }
    }

    /// Address of the store that last replied and knows a leader.
    pub fn followed_store(&self) -> Option<String> {
        self.followed_store.borrow().clone()
    }

    /// Time since the last reply from a store that knows a leader.
    pub fn age(&self) -> Duration {
        self.last_current.get().elapsed()
    }

    /// Whether the gateway accepts callers; the error says why not.
    pub fn readiness(&self) -> Result<(), &'static str> {
        if self.is_draining() {
            return Err("shutting down");
        }
        self.table().map(drop).ok_or("no routes are known yet")
    }

    /// Whether the process is shutting down.
    pub fn is_draining(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Whether a request that may take until `end` may be cut off by the stop. Requests that arrive while new connections are
    /// accepted are served all the same: callers are still sent here, and nearly all of them end in the time that is left.
    pub fn may_outlast_stop(&self, end: Instant) -> bool {
        let late = |stop: &Stop| Instant::now() >= stop.accepts_until && end > stop.answers_until;
        self.stop.get().as_ref().is_some_and(late)
    }

    /// Waits for the first routes, at most until `DISCOVERY_TIME` after the start.
    pub async fn wait_for_table(&self, until: Instant) -> Option<Rc<RouteTable>> {
        let until = until.min(self.started + DISCOVERY_TIME);
        while self.table().is_none() && Instant::now() < until {
            compio::time::sleep(DISCOVERY_INTERVAL).await;
        }
        self.table()
    }

    /// Waits for the first upstream of a service, at most until `DISCOVERY_TIME` after the start.
    pub async fn wait_for_upstream(&self, service: &str, until: Instant) {
        let until = until.min(self.started + DISCOVERY_TIME);
        while self.choose(service, None, &[]).is_none() && Instant::now() < until {
            compio::time::sleep(DISCOVERY_INTERVAL).await;
        }
    }

    /// Records that the process is shutting down.
    pub fn start_drain(&self, stop: Stop) {
        self.stop.set(Some(stop));
    }

    /// Best upstream of a service and, if given, of a software version, without the excluded ones.
    pub fn choose(
        &self,
        service: &str,
        software: Option<&str>,
        excluded: &[Key],
    ) -> Option<Rc<Upstream>> {
        self.choose_among(service, software, |key| !excluded.contains(key))
    }

    /// Like [`Self::choose`], only among upstreams that name no limit.
    pub fn choose_unlimited(
        &self,
        service: &str,
        software: Option<&str>,
        excluded: &[Key],
    ) -> Option<Rc<Upstream>> {
        let allowed = |key: &Key| !excluded.contains(key) && self.limit(key).is_none();
        self.choose_among(service, software, allowed)
    }

    /// Requests a second that an upstream takes from all instances together; `None` if it names no limit.
    pub fn limit(&self, up: &Key) -> Option<f64> {
        self.knowledge.rates.borrow().limit(up)
    }

    /// Whether an upstream leaves.
    pub fn leaves(&self, up: &Key) -> bool {
        self.knowledge.fleet.borrow().has_left(up)
    }

    fn choose_among(
        &self,
        service: &str,
        software: Option<&str>,
        allowed: impl Fn(&Key) -> bool,
    ) -> Option<Rc<Upstream>> {
        let now = clock::since_boot();
        let fleet = self.knowledge.fleet.borrow();
        let domain = &*self.cfg.instance.failure_domain;
        let candidates: Vec<Candidate> = fleet
            .serving(service, now)
            .filter(|known| software.is_none_or(|wanted| *known.upstream.software == *wanted))
            .map(|known| Candidate {
                key: (known.upstream.id.clone(), known.upstream.incarnation),
                slots: known.upstream.slots,
                fresh: known.is_fresh(now),
                local: *known.upstream.domain == *domain,
            })
            .filter(|c| allowed(&c.key))
            .collect();
        let outliers = self.outliers.borrow();
        let best = outliers.choose(&candidates, now)?;
        fleet.get(&best.key.0).map(|known| known.upstream.clone())
    }

    /// Takes one second attempt from a route's retry budget; false if the budget is exhausted.
    pub fn try_retry(&self, route: &Rc<str>) -> bool {
        self.with_budget(route, |budget, now| budget.try_retry(now))
    }

    /// Records a success on a route.
    pub fn record_success(&self, route: &Rc<str>) {
        self.with_budget(route, |budget, now| budget.success(now));
    }

    fn with_budget<T>(&self, route: &Rc<str>, operation: impl Fn(&mut Budget, Duration) -> T) -> T {
        let settings =
            budget::Settings { percent: RETRY_PERCENT, floor: RETRY_FLOOR, unlimited: false };
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(route.clone()).or_insert_with(|| Budget::new(settings));
        operation(budget, clock::since_boot())
    }

    /// Drops expired state and publishes the metrics.
    pub fn run_housekeeping(&self) {
        let now = clock::since_boot();
        self.knowledge.fleet.borrow_mut().remove_expired(now);
        self.crashes.expire();
        self.knowledge.expire_rates();
        self.streams.borrow_mut().expire(now);
        self.recorded.borrow_mut().expire(now);
        let fleet = self.knowledge.fleet.borrow();
        let known =
            |id: &str, start: u64| fleet.get(id).is_some_and(|k| k.upstream.incarnation == start);
        self.outliers.borrow_mut().retain(|(id, start)| known(id, *start));
        self.permits.retain(|(id, start)| known(id, *start));
        if let Some(table) = self.table() {
            self.keys.publish(&table);
            self.budgets.borrow_mut().retain(|route, _| table.by_name(route).is_some());
        }
        self.pool.close_expired();
        self.helper_pool.close_expired();
        drop(fleet);
        telemetry::publish(self);
    }
}
