//! Stand-in engine: state and HTTP interface; see `docs/design.md`, section 14.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use indexmap::{IndexMap, IndexSet};
use orioleworks_daemon::{
    clock,
    http::{self, Limits, Request, Response},
    shutdown::{InFlight, Shutdown},
};
use orioleworks_proto::codes::ResultCode;
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    announce::{self, Announcement, CacheEvent, Membership},
    engine_stream, engine_weights,
    fault::FaultSwitch,
    host,
};

/// Number of streams whose state is kept for export, also after their end.
const MAX_KV_STATES: usize = 256;

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Unique name.
    pub name: String,
    /// Kind of upstream.
    pub kind: String,
    /// Model.
    pub model: String,
    /// Weight version at the start.
    pub version: u64,
    /// Seed of the generated texts; the checker must use the same one.
    pub seed: u64,
    /// Time per token while at most `knee` streams run.
    pub token_time: Duration,
    /// Number of running streams above which the time per token grows proportionally.
    pub knee: u32,
    /// Time to the first token without a cached prefix.
    pub prefill_time: Duration,
    /// Number of prefixes in the cache.
    pub cache_entries: usize,
    /// Number of tokens in one chunk.
    pub chunk_tokens: u64,
    /// Time of a weight swap.
    pub swap_time: Duration,
    /// Time of a prefetch without a weight store.
    pub fetch_time: Duration,
    /// IP and port of the weight store.
    pub weights: Option<String>,
    /// Whether orders with an old fencing token are refused.
    pub checks_fencing: bool,
    /// Announced number of requests that can run concurrently.
    pub capacity: u32,
    /// Entries to announce to.
    pub entries: Vec<String>,
    /// Delay of the announced load figures and cache events.
    pub lag: Duration,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            name: "engine".into(),
            kind: "scorer-llm".into(),
            model: "scorer".into(),
            version: 1,
            seed: 1,
            token_time: Duration::from_millis(4),
            knee: 8,
            prefill_time: Duration::from_millis(40),
            cache_entries: 32,
            chunk_tokens: 4,
            swap_time: Duration::from_millis(200),
            fetch_time: Duration::from_millis(200),
            weights: None,
            checks_fencing: true,
            capacity: 16,
            entries: Vec::new(),
            lag: Duration::from_millis(400),
        }
    }
}

/// State of a running engine.
#[derive(Debug)]
pub struct Engine {
    /// Settings.
    pub config: EngineConfig,
    /// Active faults.
    pub faults: FaultSwitch,
    /// Membership state.
    pub membership: Membership,
    /// Running streams.
    pub running: InFlight,
    /// Weights and orders.
    pub weights: engine_weights::Weights,
    model: RefCell<String>,
    role: RefCell<String>,
    prefixes: RefCell<IndexSet<u64>>,
    kv: RefCell<IndexMap<String, KvState>>,
    cancelled: Cell<u64>,
    prefix_lookups: Cell<u64>,
    prefix_hits: Cell<u64>,
}

/// Exported state of a stream; opaque to other processes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct KvState {
    /// Prompt of the stream.
    pub prompt: String,
    /// Tokens generated so far.
    pub tokens: u64,
}

/// Body of `POST /v1/completions`.
#[derive(Clone, Debug, Deserialize)]
pub struct Completion {
    /// Model; empty for the loaded one.
    #[serde(default)]
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Largest number of tokens.
    pub max_tokens: u64,
    /// Must be true.
    #[serde(default)]
    pub stream: bool,
    /// Request ID, from which the nonce of the text is derived.
    #[serde(default)]
    pub request_id: String,
}

#[derive(Deserialize)]
struct ModelOrder {
    model: String,
}

#[derive(Deserialize)]
struct RoleOrder {
    role: String,
}

impl Engine {
    /// New engine.
    pub fn new(config: EngineConfig, faults: FaultSwitch) -> Rc<Self> {
        Rc::new(Self {
            weights: engine_weights::Weights::new(config.version),
            model: RefCell::new(config.model.clone()),
            role: RefCell::new("mixed".into()),
            config,
            faults,
            membership: Membership::default(),
            running: InFlight::default(),
            prefixes: RefCell::default(),
            kv: RefCell::default(),
            cancelled: Cell::new(0),
            prefix_lookups: Cell::new(0),
            prefix_hits: Cell::new(0),
        })
    }

    /// Records the use of a prefix and returns whether it was cached.
    pub fn touch_prefix(&self, prompt: &str) -> bool {
        let prefix = xxh3_64(prompt.as_bytes());
        let mut prefixes = self.prefixes.borrow_mut();
        let cached = prefixes.shift_remove(&prefix);
        prefixes.insert(prefix);
        self.prefix_lookups.set(self.prefix_lookups.get() + 1);
        self.prefix_hits.set(self.prefix_hits.get() + u64::from(cached));
        let event = |prefix: u64, stored| CacheEvent { prefix: format!("{prefix:016x}"), stored };
        if !cached {
            self.membership.push_cache_event(event(prefix, true));
        }
        if prefixes.len() > self.config.cache_entries
            && let Some(evicted) = prefixes.shift_remove_index(0)
        {
            self.membership.push_cache_event(event(evicted, false));
        }
        cached
    }

    /// Stores the state of a stream for a later export.
    pub fn store_kv(&self, request_id: &str, state: KvState) {
        let mut kv = self.kv.borrow_mut();
        kv.insert(request_id.to_owned(), state);
        if kv.len() > MAX_KV_STATES {
            kv.shift_remove_index(0);
        }
    }

    /// Counts a stream that its client cancelled.
    pub fn count_cancelled(&self) {
        self.cancelled.set(self.cancelled.get() + 1);
    }

    fn announcement(&self, address: &str) -> Announcement {
        let running = u32::try_from(self.running.count()).unwrap_or(u32::MAX);
        Announcement {
            name: self.config.name.clone(),
            kind: self.config.kind.clone(),
            model: self.model.borrow().clone(),
            address: address.to_owned(),
            weight_version: self.weights.version(),
            pending_version: self.weights.pending(),
            checks_fencing: self.config.checks_fencing,
            engine: true,
            capacity: self.config.capacity,
            running: running.min(self.config.capacity),
            queued: running.saturating_sub(self.config.capacity),
            ..Announcement::default()
        }
    }
}

/// Serves the engine and announces it until the shutdown has finished.
pub async fn serve(engine: Rc<Engine>, listener: compio::net::TcpListener, shutdown: Shutdown) {
    let address = listener.local_addr().map(|a| a.to_string()).unwrap_or_default();
    let token = CancellationToken::new();
    let _cancel_on_drop = token.clone().drop_guard();
    let announced = engine.clone();
    compio::runtime::spawn(announce::run(
        engine.config.entries.clone(),
        engine.membership.clone(),
        engine.faults.clone(),
        engine.config.lag,
        move || announced.announcement(&address),
        token,
    ))
    .detach();
    http::serve(listener, Limits::default(), shutdown, move |req| handle(engine.clone(), req))
        .await;
}

async fn handle(engine: Rc<Engine>, req: Request) -> Response {
    let req = match host::handle_common(req, &engine.faults, &engine.membership).await {
        Ok(response) => return response,
        Err(req) => req,
    };
    let (method, path) = (req.method().clone(), req.uri().path().to_owned());
    let kv_request = path.strip_prefix("/v1/kv/").map(String::from);
    let body = match http::read_body(req.into_body(), &Limits::default()).await {
        Ok(body) => body,
        Err(code) => return http::error(code, "", 0),
    };
    match (method.as_str(), path.as_str(), kv_request) {
        ("GET", _, Some(request_id)) => export_kv(&engine, &request_id),
        ("POST", _, Some(request_id)) => import_kv(&engine, &request_id, &body),
        ("POST", "/v1/completions", _) => complete(engine, &body).await,
        ("POST", "/v1/weights", _) => engine_weights::order(&engine, &body),
        ("GET", "/v1/weights", _) => http::json(200, &engine.weights.document()),
        ("POST", "/v1/models", _) => apply_order(&body, |order: ModelOrder| {
            *engine.model.borrow_mut() = order.model;
        }),
        ("POST", "/v1/role", _) => apply_order(&body, |order: RoleOrder| {
            *engine.role.borrow_mut() = order.role;
        }),
        ("GET", "/v1/state", _) => state(&engine),
        _ => http::error(ResultCode::UnknownPath, &path, 0),
    }
}

/// State and counters that tests read.
fn state(engine: &Engine) -> Response {
    let state = serde_json::json!({
        "running": engine.running.count(),
        "cancelled": engine.cancelled.get(),
        "late_starts": engine.membership.late_starts(),
        "leaving": engine.membership.leaving(),
        "incarnation": engine.membership.incarnation(),
        "model": *engine.model.borrow(),
        "role": *engine.role.borrow(),
        "cached_prefixes": engine.prefixes.borrow().len(),
        "prefix_lookups": engine.prefix_lookups.get(),
        "prefix_hits": engine.prefix_hits.get(),
        "now_ms": clock::unix_ms(),
    });
    http::json(200, &state)
}

async fn complete(engine: Rc<Engine>, body: &[u8]) -> Response {
    let req: Completion = match serde_json::from_slice(body) {
        Ok(req) => req,
        Err(e) => return http::error(ResultCode::BadRequest, &e.to_string(), 0),
    };
    if !req.stream || req.max_tokens == 0 {
        let detail = "stream must be true and max_tokens at least 1";
        return http::error(ResultCode::BadRequest, detail, 0);
    }
    let other_model = !req.model.is_empty() && req.model != *engine.model.borrow();
    if other_model || engine.faults.take(|f| &mut f.refuse) {
        return host::refused_response();
    }
    engine.membership.record_start();
    engine.faults.crash_if_marked(req.prompt.as_bytes());
    engine_stream::start(engine, req)
}

fn export_kv(engine: &Engine, request_id: &str) -> Response {
    match engine.kv.borrow().get(request_id) {
        Some(state) => {
            let bytes = serde_json::to_vec(state).unwrap_or_default();
            http::full_response(200, "application/octet-stream", bytes)
        }
        None => http::error(ResultCode::UnknownObject, request_id, 0),
    }
}

/// Imports the state of a stream, so that its prompt counts as cached.
fn import_kv(engine: &Engine, request_id: &str, body: &[u8]) -> Response {
    match serde_json::from_slice::<KvState>(body) {
        Ok(state) => {
            engine.touch_prefix(&state.prompt);
            engine.store_kv(request_id, state);
            http::json(200, &serde_json::json!({"imported": true}))
        }
        Err(e) => http::error(ResultCode::BadRequest, &e.to_string(), 0),
    }
}

fn apply_order<T: serde::de::DeserializeOwned>(body: &[u8], apply: impl FnOnce(T)) -> Response {
    match serde_json::from_slice(body) {
        Ok(order) => {
            apply(order);
            http::json(200, &serde_json::json!({"accepted": true}))
        }
        Err(e) => http::error(ResultCode::BadRequest, &e.to_string(), 0),
    }
}
