//! Weight orders to engines over HTTP; see `docs/design.md`, section 14.

use std::{future::Future, time::Duration};

use displaydoc::Display;
use orioleworks_daemon::memory::Budget;
use serde::{Deserialize, Serialize};

use crate::{
    responses,
    weights_lease::{Fencing, LONGEST_DELIVERY_MS},
};

/// Longest wait for a response of an engine, after which an order counts as undelivered.
const TIMEOUT: Duration = Duration::from_millis(LONGEST_DELIVERY_MS);

/// Largest response of an engine in bytes; the state of its weights takes less than 200.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// State of an engine's weights.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Weights {
    /// Version in use.
    pub version: u64,
    /// Version that is loaded and ready to be activated.
    pub prefetched: Option<u64>,
    /// Epoch of the last order that the engine accepted.
    pub epoch: u64,
    /// Sequence number of the last order that the engine accepted.
    pub sequence: u64,
}

/// Phase of a swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Load the version while the current one stays in use.
    Prefetch,
    /// Switch to the loaded version.
    Activate,
}

/// Order to an engine.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Order {
    /// Version to load or use.
    pub version: u64,
    /// Phase.
    pub phase: Phase,
    /// Fencing token, by which the engine detects an outdated order.
    pub fencing: Fencing,
}

/// Why a step of a swap failed; the swap is retried.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum SwapError {
    /// the engine gave no answer
    NoResponse,
    /// the engine answered with status {0}
    Status(u16),
    /// the engine refused the fencing token as old
    Fenced,
    /// the weights to activate are not loaded
    NotPrefetched,
    /// the engine did not finish in time
    TimedOut,
    /// another version is desired by now
    Superseded,
    /// the engine went back to an older version
    Reverted,
    /// no order may go out under the lease
    NoLease,
}

impl std::error::Error for SwapError {}

/// Client of the engines' weight interface.
#[derive(Clone, Debug)]
pub struct Engines {
    http: cyper::Client,
}

impl Engines {
    /// Creates a client.
    pub fn new(http: cyper::Client) -> Self {
        Self { http }
    }

    /// Reads an engine's state.
    ///
    /// # Errors
    ///
    /// Returns why the state is unknown.
    pub async fn read(&self, address: &str) -> Result<Weights, SwapError> {
        let url = format!("http://{address}/v1/weights");
        self.exchange(self.http.get(url)).await
    }

    /// Sends an order.
    ///
    /// # Errors
    ///
    /// Returns why the order failed; after [`SwapError::NoResponse`] the engine may still receive and accept it.
    pub async fn order(&self, address: &str, order: Order) -> Result<Weights, SwapError> {
        let url = format!("http://{address}/v1/weights");
        let req = self.http.post(url).and_then(|req| req.json(&order));
        self.exchange(req).await
    }

    async fn exchange(
        &self,
        req: cyper::Result<cyper::RequestBuilder>,
    ) -> Result<Weights, SwapError> {
        let req = req.map_err(|_| SwapError::NoResponse)?;
        let exchange = async {
            let response = req.send().await.map_err(|_| SwapError::NoResponse)?;
            match response.status().as_u16() {
                200 => read_weights(response).await.ok_or(SwapError::NoResponse),
                409 => Err(SwapError::Fenced),
                425 => Err(SwapError::NotPrefetched),
                status => Err(SwapError::Status(status)),
            }
        };
        within(TIMEOUT, exchange).await
    }
}

/// Reads the state; `None` if the response breaks off, is too large or is no state.
async fn read_weights(response: cyper::Response) -> Option<Weights> {
    let body =
        responses::read_body(response, MAX_RESPONSE_BYTES, &Budget::unlimited()).await.ok()?;
    serde_json::from_slice(&body).ok()
}

async fn within<T>(
    limit: Duration,
    exchange: impl Future<Output = Result<T, SwapError>>,
) -> Result<T, SwapError> {
    compio::time::timeout(limit, exchange).await.unwrap_or(Err(SwapError::NoResponse))
}
