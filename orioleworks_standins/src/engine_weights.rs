//! Weight prefetch and activation of the stand-in engine, with fencing tokens.

use std::{cell::RefCell, collections::BTreeSet, rc::Rc, time::Duration};

use bytes::Bytes;
use compio::runtime;
use orioleworks_daemon::{
    event,
    http::{self, Response},
};
use orioleworks_proto::codes::ResultCode;
use serde::{Deserialize, Serialize};

use crate::{client::Client, engine::Engine};

/// Number of versions whose weights are kept.
const KEPT_VERSIONS: usize = 4;
/// Timeout of one fetch from the weight store.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of attempts before a prefetch fails; the next order starts over.
const FETCH_ATTEMPTS: u32 = 10;

/// Phase of a version order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Fetches the weights in the background.
    Prefetch,
    /// Swaps to weights that are already fetched.
    Activate,
}

/// Fencing token of an order; a later lease holder or a later order has a higher one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fencing {
    /// Epoch of the order lease.
    pub epoch: u64,
    /// Number of the order within the epoch.
    pub sequence: u64,
}

/// Body of `POST /v1/weights`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WeightOrder {
    /// Version.
    pub version: u64,
    /// Phase to carry out.
    pub phase: Phase,
    /// Fencing token; a missing one counts as 0.
    #[serde(default)]
    pub fencing: Fencing,
}

/// Response to a weight order or to `GET /v1/weights`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightDocument {
    /// Active version.
    pub version: u64,
    /// Highest version whose weights are fetched.
    pub prefetched: u64,
    /// Epoch of the last accepted order.
    pub epoch: u64,
    /// Sequence of the last accepted order.
    pub sequence: u64,
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    fetched: BTreeSet<u64>,
    fetching: Option<u64>,
    swapping: Option<u64>,
    fencing: Fencing,
}

/// Weights of an engine.
#[derive(Debug)]
pub struct Weights {
    state: RefCell<State>,
}

impl Weights {
    /// Weights with one fetched and active version.
    pub fn new(version: u64) -> Self {
        let fetched = BTreeSet::from([version]);
        Self { state: RefCell::new(State { version, fetched, ..State::default() }) }
    }

    /// Active version.
    pub fn version(&self) -> u64 {
        self.state.borrow().version
    }

    /// Version that is being fetched, waits for activation or is being swapped in; 0 for none.
    pub fn pending(&self) -> u64 {
        let state = self.state.borrow();
        let prefetched = state.fetched.last().copied().filter(|fetched| *fetched > state.version);
        state.swapping.or(state.fetching).or(prefetched).unwrap_or(0)
    }

    /// Response that describes the weights.
    pub fn document(&self) -> WeightDocument {
        let state = self.state.borrow();
        WeightDocument {
            version: state.version,
            prefetched: state.fetched.last().copied().unwrap_or(state.version),
            epoch: state.fencing.epoch,
            sequence: state.fencing.sequence,
        }
    }
}

/// Carries out a version order; prefetch and swap continue after the response.
pub fn order(engine: &Rc<Engine>, body: &[u8]) -> Response {
    let order: WeightOrder = match serde_json::from_slice(body) {
        Ok(order) => order,
        Err(e) => return http::error(ResultCode::BadRequest, &e.to_string(), 0),
    };
    let weights = &engine.weights;
    if engine.config.checks_fencing && order.fencing < weights.state.borrow().fencing {
        return http::json(409, &weights.document());
    }
    weights.state.borrow_mut().fencing = order.fencing;
    let status = match order.phase {
        Phase::Prefetch => prefetch(engine, order.version),
        Phase::Activate => activate(engine, order.version),
    };
    event!(info, "weight_order", version = order.version, status = status);
    http::json(status, &weights.document())
}

fn prefetch(engine: &Rc<Engine>, version: u64) -> u16 {
    let mut state = engine.weights.state.borrow_mut();
    if !state.fetched.contains(&version) && state.fetching != Some(version) {
        state.fetching = Some(version);
        let engine = engine.clone();
        runtime::spawn(async move { fetch(&engine, version).await }).detach();
    }
    200
}

async fn fetch(engine: &Engine, version: u64) {
    let fetched = match &engine.config.weights {
        Some(store) => fetch_from(store, &engine.config.model, version).await,
        None => {
            compio::time::sleep(engine.config.fetch_time).await;
            true
        }
    };
    let mut state = engine.weights.state.borrow_mut();
    if state.fetching == Some(version) {
        state.fetching = None;
    }
    if fetched {
        state.fetched.insert(version);
        while state.fetched.len() > KEPT_VERSIONS {
            let lowest = state.fetched.iter().copied().find(|kept| *kept != state.version);
            lowest.map(|lowest| state.fetched.remove(&lowest));
        }
    }
}

async fn fetch_from(store: &str, model: &str, version: u64) -> bool {
    let Ok(client) = Client::new() else { return false };
    let url = format!("http://{store}/v1/models/{model}/versions/{version}");
    for _ in 0..FETCH_ATTEMPTS {
        let response = client.send(http_get(), &url, &[], Bytes::new(), FETCH_TIMEOUT).await;
        let pause = match response {
            Ok(response) if response.status == 200 => return true,
            Ok(response) if response.status == 429 => retry_after(&response.headers),
            Ok(response) if response.status == 404 => return false,
            _ => Duration::from_millis(200),
        };
        compio::time::sleep(pause).await;
    }
    false
}

fn http_get() -> ::http::Method {
    ::http::Method::GET
}

fn retry_after(headers: &::http::HeaderMap) -> Duration {
    let value = headers.get(::http::header::RETRY_AFTER).and_then(|value| value.to_str().ok());
    Duration::from_secs(value.and_then(|value| value.parse().ok()).unwrap_or(1))
}

/// Starts a swap to `version`, or orders it as the next one while a swap is running.
///
/// Without a running swap, an activation of the active version has no effect.
fn activate(engine: &Rc<Engine>, version: u64) -> u16 {
    let mut state = engine.weights.state.borrow_mut();
    if !state.fetched.contains(&version) {
        return 425;
    }
    let swapping = state.swapping.is_some();
    if swapping || state.version != version {
        state.swapping = Some(version);
    }
    if !swapping && state.version != version {
        let engine = engine.clone();
        runtime::spawn(async move { while swap(&engine).await {} }).detach();
    }
    200
}

/// Target version of the running swap.
fn swap_target(engine: &Engine) -> u64 {
    let state = engine.weights.state.borrow();
    state.swapping.unwrap_or(state.version)
}

/// Runs one swap and returns whether another version was ordered in the meantime.
async fn swap(engine: &Engine) -> bool {
    let version = swap_target(engine);
    let extra_delay = Duration::from_millis(engine.faults.now().late_swap_ms);
    compio::time::sleep(engine.config.swap_time + extra_delay).await;
    let failed = engine.faults.take(|f| &mut f.fail_swaps);
    let mut state = engine.weights.state.borrow_mut();
    if !failed {
        state.version = version;
    }
    let superseded = state.swapping != Some(version);
    if !superseded {
        state.swapping = None;
    }
    event!(info, "weights_swapped", version = version, failed = failed);
    superseded
}
