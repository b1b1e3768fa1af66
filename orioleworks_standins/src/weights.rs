//! Stand-in weight store with a rate limit; see `docs/design.md`, section 14.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use orioleworks_daemon::{
    http::{self, Limits, Request, Response},
    shutdown::Shutdown,
};
use orioleworks_proto::codes::ResultCode;

use crate::{announce::Membership, fault::FaultSwitch, host};

/// Limits and speed of the store.
#[derive(Clone, Debug)]
pub struct StoreConfig {
    /// Sustained number of fetches per second.
    pub per_second: f64,
    /// Number of fetches that may start at once after an idle time.
    pub burst: f64,
    /// Time of one transfer.
    pub transfer_time: Duration,
    /// Size of the weights in bytes.
    pub bytes: usize,
    /// Highest version that exists at the start, for every model.
    pub initial_version: u64,
}

impl Default for StoreConfig {
    fn default() -> Self {
        Self {
            per_second: 20.0,
            burst: 6.0,
            transfer_time: Duration::from_millis(100),
            bytes: 64 * 1024,
            initial_version: 1,
        }
    }
}

/// State of a running store.
#[derive(Debug)]
pub struct Store {
    config: StoreConfig,
    faults: FaultSwitch,
    membership: Membership,
    published: RefCell<HashMap<String, u64>>,
    tokens: Cell<f64>,
    refilled: Cell<Instant>,
}

impl Store {
    /// New store.
    pub fn new(config: StoreConfig, faults: FaultSwitch) -> Rc<Self> {
        Rc::new(Self {
            tokens: Cell::new(config.burst),
            config,
            faults,
            membership: Membership::default(),
            published: RefCell::default(),
            refilled: Cell::new(Instant::now()),
        })
    }

    /// Membership state, for the shutdown.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    fn admit(&self) -> bool {
        let refill = self.refilled.replace(Instant::now()).elapsed().as_secs_f64();
        let tokens = self.tokens.get() + refill * self.config.per_second;
        let tokens = tokens.min(self.config.burst);
        let admitted = tokens >= 1.0;
        self.tokens.set(if admitted { tokens - 1.0 } else { tokens });
        admitted
    }
}

/// Serves until the shutdown has finished.
pub async fn serve(store: Rc<Store>, listener: compio::net::TcpListener, shutdown: Shutdown) {
    http::serve(listener, Limits::default(), shutdown, move |req| handle(store.clone(), req)).await;
}

async fn handle(store: Rc<Store>, req: Request) -> Response {
    let req = match host::handle_common(req, &store.faults, &store.membership).await {
        Ok(response) => return response,
        Err(req) => req,
    };
    let path = req.uri().path();
    let parts = path.strip_prefix("/v1/models/").and_then(|rest| rest.split_once("/versions/"));
    let Some((model, Ok(version))) = parts.map(|(model, version)| (model, version.parse::<u64>()))
    else {
        return http::error(ResultCode::UnknownPath, path, 0);
    };
    match req.method().as_str() {
        "PUT" => {
            let mut published = store.published.borrow_mut();
            let highest = published.entry(model.to_owned()).or_default();
            *highest = version.max(*highest);
            http::json(200, &serde_json::json!({"version": version}))
        }
        "GET" => get(&store, model, version).await,
        _ => http::error(ResultCode::MethodNotAllowed, path, 0),
    }
}

async fn get(store: &Store, model: &str, version: u64) -> Response {
    let published = store.published.borrow().get(model).copied().unwrap_or(0);
    if version > published.max(store.config.initial_version) {
        return http::error(ResultCode::UnknownObject, model, 0);
    }
    if store.faults.take(|f| &mut f.refuse) || !store.admit() {
        return http::error(ResultCode::Overloaded, "", 1000);
    }
    compio::time::sleep(store.faults.work_time(store.config.transfer_time, 1000)).await;
    store.faults.wait_while_hanging(|| false).await;
    http::full_response(200, "application/octet-stream", vec![0_u8; store.config.bytes])
}
