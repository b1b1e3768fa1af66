//! Carries a request to its upstream: on a connection of this gateway, or through another gateway.
//!
//! Both ways yield the same [`Exchange`] and errors. A request that certainly was not sent on its connection may go through
//! another gateway; one that may have been sent may not. See `docs/platform.md`, "Partitioned from the upstreams".

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::{FutureExt, select};
use http::Request;
use http_body_util::Full;
use orioleworks_daemon::{clock, event};
use orioleworks_fleet::pool::{self, Exchange, SendError};
use orioleworks_routing::{
    fleet::{Left, Upstream},
    helpers::Helper,
    outlier::Key,
};

use crate::{
    path,
    relay::{self, Answer},
    view::View,
};

/// Longest time to connect to an upstream before the request goes through another gateway: many round trips, and far less
/// than half of a latency objective.
const CONNECT_PATIENCE: Duration = Duration::from_millis(30);
/// Time without a response after which a probe tells whether the path is lost. Its verdict arrives before the parallel
/// second attempt of most routes.
const SILENCE_TIME: Duration = Duration::from_millis(60);
/// Longest time to connect to another gateway.
const HELPER_CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
/// Number of gateways that are asked to send a request.
const MAX_HELPERS: usize = 3;

/// The way on which an attempt begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Carrier {
    /// A connection of this gateway, unless its path is lost.
    Direct,
    /// Another gateway, if one is known.
    Relay,
}

/// Why there is no response.
#[derive(Debug)]
pub struct Failure {
    /// What happened.
    pub error: SendError,
    /// Whether another gateway, whose path is in order, tells so.
    pub confirmed: bool,
}

impl From<SendError> for Failure {
    fn from(error: SendError) -> Self {
        Self { error, confirmed: false }
    }
}

/// A request to an upstream, before it is carried.
pub struct Outbound<'a> {
    /// State of the gateway.
    pub view: &'a View,
    /// Upstream that runs the request.
    pub upstream: &'a Upstream,
    /// Its key.
    pub key: &'a Key,
    /// ID of the attempt, as the request names it.
    pub attempt: Option<&'a str>,
    /// Time at which the attempt ends.
    pub deadline: Instant,
    /// Called just before the request is written to a connection; again if it was certainly not sent on the one before.
    pub on_send: &'a dyn Fn(),
}

impl std::fmt::Debug for Outbound<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Outbound").field("key", &self.key).finish_non_exhaustive()
    }
}

impl Outbound<'_> {
    /// Sends the request that `build` makes for the remaining time, and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] and [`SendError::Refused`] guarantee that the request was not sent to the upstream.
    pub async fn send(
        &self,
        carrier: Carrier,
        build: impl Fn(Duration) -> Result<Request<Full<Bytes>>, http::Error>,
    ) -> Result<Exchange, Failure> {
        let helped = self.view.helpers.borrow().any_available(clock::since_boot());
        if self.view.path.is_lost() || (helped && carrier == Carrier::Relay) {
            let result = self.relay(&build).await;
            let Err(Failure { error: SendError::NotSent(_), confirmed: false }) = result else {
                return result;
            };
            // What was taken for a lost path may have been a pause of this process.
            return Ok(self.send_directly(CONNECT_PATIENCE, &build).await?);
        }
        let patience = if helped { CONNECT_PATIENCE } else { pool::CONNECT_TIMEOUT };
        let result = self.send_directly(patience, &build).await;
        let blamed = self.view.path.blames(self.key);
        match result {
            Err(SendError::NotSent(_) | SendError::Refused(_)) if helped && !blamed => {
                self.relay(&build).await
            }
            result => result.map_err(Failure::from),
        }
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Sends the request on a connection of this gateway, and records what that says of its path.
    ///
    /// # Errors
    ///
    /// As [`Self::send`].
    pub async fn send_directly(
        &self,
        patience: Duration,
        build: impl Fn(Duration) -> Result<Request<Full<Bytes>>, http::Error>,
    ) -> Result<Exchange, SendError> {
        let Self { view, upstream, key, .. } = self;
        let connection = match view.pool.take_idle(key, self.attempt) {
            Some(connection) => connection,
            None => {
                let timeout = patience.min(self.remaining());
                match view.pool.connect(&upstream.address, timeout).await {
                    Ok(connection) => {
                        path::record_connected(view);
                        connection
                    }
                    Err(e) => {
                        path::record_unconnected(view, key);
                        return Err(e);
                    }
                }
            }
        };
        let remaining = self.remaining();
        let req = build(remaining).map_err(|e| SendError::NotSent(e.to_string()))?;
        let sent_at = clock::since_boot();
        (self.on_send)();
        let mut sending = Box::pin(view.pool.send_on(connection, key, req, remaining).fuse());
        let mut quiet = std::pin::pin!(compio::time::sleep(SILENCE_TIME).fuse());
        let result = select! { result = sending => Some(result), () = quiet => None };
        let result = match result {
            Some(result) => result,
            None => {
                if !view.path.heard_since(sent_at) {
                    path::record_silence(view, key);
                }
                sending.await
            }
        };
        match &result {
            Ok(_) | Err(SendError::Unmatched(_) | SendError::Invalid(_)) => {
                view.path.record_response();
            }
            Err(SendError::Broken(_)) if !view.path.heard_since(sent_at) => {
                path::record_silence(view, key);
            }
            Err(_) => {}
        }
        result
    }

    /// Sends the request through another gateway.
    async fn relay(
        &self,
        build: impl Fn(Duration) -> Result<Request<Full<Bytes>>, http::Error>,
    ) -> Result<Exchange, Failure> {
        let mut tried = Vec::new();
        while tried.len() < MAX_HELPERS {
            let random = rand::random_range(0..usize::MAX);
            let now = clock::since_boot();
            let helper = self.view.helpers.borrow().choose(&tried, now, random);
            let Some(helper) = helper else { break };
            tried.push(helper.name.clone());
            let (result, outcome) = self.relay_through(&helper, &build).await;
            metrics::counter!("orioleworks_relayed_total", "result" => outcome).increment(1);
            event!(debug, "relayed", upstream = self.key.0, peer = helper.name, result = outcome);
            if let Some(result) = result {
                return result;
            }
        }
        Err(SendError::NotSent("no other gateway sends it".into()).into())
    }

    /// Result, unless the gateway certainly did not send the request and another one may; and its label.
    async fn relay_through(
        &self,
        helper: &Helper,
        build: impl Fn(Duration) -> Result<Request<Full<Bytes>>, http::Error>,
    ) -> (Option<Result<Exchange, Failure>>, &'static str) {
        let Self { view, key, .. } = self;
        let leave_out = || {
            view.helpers.borrow_mut().record_failure(&helper.name, clock::since_boot());
        };
        let remaining = self.remaining();
        let mut req = match build(remaining) {
            Ok(req) => req,
            Err(e) => return (Some(Err(SendError::NotSent(e.to_string()).into())), "invalid"),
        };
        relay::set_headers(req.headers_mut(), key);
        let helper_key: Key = (helper.address.clone(), 0);
        let connection = match view.helper_pool.take_idle(&helper_key, self.attempt) {
            Some(connection) => connection,
            None => {
                let timeout = HELPER_CONNECT_TIMEOUT.min(remaining);
                match view.helper_pool.connect(&helper.address, timeout).await {
                    Ok(connection) => connection,
                    Err(_) => {
                        leave_out();
                        return (None, "unconnected");
                    }
                }
            }
        };
        (self.on_send)();
        let sent = view.helper_pool.send_on(connection, &helper_key, req, self.remaining()).await;
        let exchange = match sent {
            Ok(exchange) => exchange,
            // The request may have run, but this says nothing of the upstream.
            Err(e) => {
                leave_out();
                let why = SendError::Invalid(format!("gateway {}: {e}", helper.name));
                let label = if e == SendError::Timeout { "timeout" } else { "broken" };
                return (Some(Err(why.into())), label);
            }
        };
        match relay::answer(&exchange.head) {
            Answer::Response => {
                view.helpers.borrow_mut().record_sent(&helper.name, clock::since_boot());
                (Some(Ok(exchange)), "sent")
            }
            Answer::Unavailable => {
                exchange.discard();
                leave_out();
                (None, "unavailable")
            }
            Answer::Leaving => {
                exchange.discard();
                let left = Left { upstream: (*key).clone(), since: clock::since_boot() };
                if view.knowledge.note_left(left, true, "helper") {
                    view.pool.close_expired();
                    view.report_wake.notify();
                }
                let error = SendError::NotSent("the upstream is leaving".into());
                (Some(Err(Failure { error, confirmed: true })), "leaving")
            }
            Answer::Failed(e) => {
                exchange.discard();
                if matches!(e, SendError::NotSent(_) | SendError::Refused(_)) {
                    path::excuse(view, key);
                }
                (Some(Err(Failure { error: e, confirmed: true })), "failed")
            }
            Answer::Unknown(e) => {
                exchange.discard();
                (Some(Err(Failure { error: e, confirmed: false })), "failed")
            }
        }
    }
}
