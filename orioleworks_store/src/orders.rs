//! Orders to engines to load weight versions; only the leader issues them.
//!
//! The fencing token is the leader's term, so that it rises with each leader. A new leader waits for a lease before its
//! first order, and before each order it confirms that it still leads. An order without a response may take effect
//! seconds later. It contains the number of orders before it, so that an engine ignores it once another order came
//! first. See `docs/platform.md`.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::{runtime, time};
use displaydoc::Display;
use http_body_util::Full;
use orioleworks_daemon::{clock, event};
use orioleworks_platform::{
    engine::{self, LoadOrder, OrderOutcome, Report, RunningRequests},
    upstream::{self, Verdict},
};
use orioleworks_routing::{
    fleet::Upstream,
    items,
    outlier::Key,
    permits::Permit,
    rates,
    versions::{self, Engine, Load, Model},
};
use tokio_util::sync::CancellationToken;

use crate::{
    dispatch::Dispatch,
    duty::Duty,
    engines::{Loading, key_of},
    pace::pause_after,
    permits,
    shared::Shared,
    state::ModelState,
};

/// Longest time between two plans; a change of state, fleet or engines starts one at once.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait for the response to a report request or an order.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time from an order to the first check of the engine; a load takes about this long.
const FIRST_CHECK_DELAY: Duration = Duration::from_millis(950);
/// Shortest time between two checks of an engine that loads.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two checks, for each load in progress: each check takes a connection, and hundreds of engines may load at the
/// same time. Engines also tell their versions in announcements.
const CHECK_INTERVAL_PER_LOAD: Duration = Duration::from_millis(4);
/// Time after which an order no longer counts as a load that runs: twice what a load takes. An order without a response may
/// take effect seconds later, or never.
const OVERDUE_TIME: Duration = Duration::from_secs(2);
/// Time after which a load counts as failed; several times the usual one, and longer than the running requests that end
/// before it.
const LOAD_TIMEOUT: Duration = Duration::from_secs(8);
/// Pause before an engine that refused an order gets the next one.
const REFUSED_PAUSE: Duration = Duration::from_millis(500);
/// Longest wait for the permits of a load at an engine that names a limit.
const LONGEST_PERMIT_WAIT: Duration = Duration::from_secs(3);
/// Largest body of a response in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;

/// Why a load failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
enum LoadError {
    /// this store does not lead any more
    NotLeading,
    /// a newer holder gave an order
    Fenced,
    /// the engine refused it
    Refused,
    /// another order is in progress
    Busy,
    /// the engine names a limit that leaves no room now
    Limited,
    /// the engine leaves
    Leaving,
    /// no answer: {0}
    NoResponse(String),
    /// the version did not come into use in time
    Timeout,
}

struct Inner {
    name: String,
    duty: Duty,
    shared: Shared,
    dispatch: Dispatch,
}

/// Orders of the leader; clones share them.
#[derive(Clone)]
pub struct Orders {
    inner: Rc<Inner>,
}

impl std::fmt::Debug for Orders {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Orders").field("name", &self.inner.name).finish_non_exhaustive()
    }
}

impl Orders {
    /// Creates orders under the name of an instance; a new leader waits for `lease` before its first order.
    pub fn new(name: &str, lease: Duration, shared: Shared, dispatch: Dispatch) -> Self {
        let (name, duty) = (name.into(), Duty::new(shared.log.clone(), lease));
        Self { inner: Rc::new(Inner { name, duty, shared, dispatch }) }
    }

    /// Starts the task; it ends with the token.
    pub fn start(&self, token: &CancellationToken) {
        let (this, token) = (self.clone(), token.clone());
        runtime::spawn(async move {
            while !token.is_cancelled() {
                let seen = this.inner.shared.wake.version();
                let began = Instant::now();
                this.start_due_loads();
                pause_after(began.elapsed()).await;
                this.inner.shared.wake.changed_within(seen, PLAN_INTERVAL).await;
            }
        })
        .detach();
    }

    /// Term in which orders may be given now.
    fn ordering_term(&self) -> Option<u64> {
        self.inner.duty.term()
    }

    fn start_due_loads(&self) {
        let Some(term) = self.ordering_term() else { return };
        let models = self.models();
        if models.is_empty() {
            return;
        }
        let (engines, upstreams) = self.engines();
        for load in versions::plan(&engines, &models) {
            let Some(upstream) = upstreams.iter().find(|up| up.id == load.engine) else { continue };
            let (key, model, version) = (key_of(upstream), load.model.clone(), load.version);
            let loading = Loading { model, version, since: clock::since_boot() };
            self.inner.shared.engines.borrow_mut().record(&key).loading = Some(loading);
            let (this, upstream) = (self.clone(), upstream.clone());
            runtime::spawn(async move { this.run_load(term, upstream, key, load).await }).detach();
        }
    }

    fn models(&self) -> Vec<Model> {
        let state = self.inner.shared.state.borrow();
        let models = state.models().iter();
        let model = |(name, model): (&Rc<str>, &ModelState)| Model {
            name: name.clone(),
            named: model.named,
            oldest_allowed: model.named.saturating_sub(model.allowed_lag),
            waiting: self.inner.dispatch.waiting_for(name),
            items: state.items_of(name),
        };
        models.map(model).collect()
    }

    /// Engines that take requests: as input of the plan, and as upstreams.
    fn engines(&self) -> (Vec<Engine>, Vec<Rc<Upstream>>) {
        let now = clock::since_boot();
        let fleet = self.inner.shared.knowledge.fleet.borrow();
        let known = self.inner.shared.engines.borrow();
        let serving = fleet.all().filter(|k| k.takes_requests(now) && k.is_fresh(now));
        let upstreams: Vec<Rc<Upstream>> =
            serving.filter(|k| !k.upstream.models.is_empty()).map(|k| k.upstream.clone()).collect();
        let times: Vec<f64> = upstreams.iter().map(|up| known.event_ms(&key_of(up), now)).collect();
        let median = items::median(&times);
        let engine = |up: &Rc<Upstream>| {
            let key = key_of(up);
            let versions = up
                .models
                .iter()
                .map(|(model, _)| (model.clone(), known.version(up, model).unwrap_or(0)));
            let order = known.loading(&key);
            let load = order.filter(|order| now.saturating_sub(order.since) < OVERDUE_TIME);
            let mut versions: indexmap::IndexMap<Rc<str>, u64> = versions.collect();
            if let Some(load) = load {
                versions.insert(load.model.clone(), load.version);
            }
            let slowness = (known.event_ms(&key, now) / median).round();
            let (id, running) = (up.id.clone(), known.running(&key));
            let (busy, loading) = (order.is_some(), load.is_some());
            Engine { id, versions, busy, loading, running, slowness }
        };
        (upstreams.iter().map(engine).collect(), upstreams)
    }

    async fn run_load(&self, term: u64, up: Rc<Upstream>, key: Key, load: Load) {
        let started = Instant::now();
        let result = self.try_load(term, &up, &key, &load).await;
        if result.is_err() {
            time::sleep(REFUSED_PAUSE).await;
        }
        let mut engines = self.inner.shared.engines.borrow_mut();
        engines.record(&key).loading = None;
        let outcome = match &result {
            Ok(()) => {
                engines.record_version(&key, &load.model, load.version);
                "loaded".to_owned()
            }
            Err(e) => e.to_string(),
        };
        drop(engines);
        if result == Err(LoadError::Fenced) {
            self.inner.duty.record_fenced(term);
        }
        metrics::histogram!("orioleworks_order_seconds", "outcome" => metric_label(&result))
            .record(started.elapsed());
        event!(
            info,
            "weights_ordered",
            upstream = up.id,
            model = load.model,
            version = load.version,
            term = term,
            ms = started.elapsed().as_millis(),
            outcome = outcome,
        );
        self.inner.shared.wake.notify();
    }

    async fn try_load(
        &self,
        term: u64,
        up: &Upstream,
        key: &Key,
        load: &Load,
    ) -> Result<(), LoadError> {
        self.wait_for_permits(key).await?;
        let report = self.report(up, key).await?;
        if holds(&report, load) {
            return Ok(());
        }
        if report.busy {
            return Err(LoadError::Busy);
        }
        // The report may have taken long, so leadership is confirmed just before the order is sent.
        let confirmed = self.inner.shared.log.confirm_leadership().await.is_ok();
        if !confirmed || self.ordering_term() != Some(term) {
            return Err(LoadError::NotLeading);
        }
        let order = LoadOrder {
            model: &load.model,
            version: load.version,
            running: self.running_requests(&load.model),
            holder: &self.inner.name,
            holder_term: term,
            expected_orders: report.orders,
        };
        let response = self.send_order(up, key, engine::encode_order(&order)).await;
        match response {
            Ok(OrderOutcome::AlreadyApplied) => return Ok(()),
            Ok(OrderOutcome::Accepted) => {}
            Ok(OrderOutcome::Fenced) => return Err(LoadError::Fenced),
            Ok(OrderOutcome::Busy) => return Err(LoadError::Busy),
            Ok(OrderOutcome::OtherUpstream | OrderOutcome::Refused) => {
                return Err(LoadError::Refused);
            }
            // The order may take effect later; `wait_until_loaded` checks the engine for it.
            Err(LoadError::Leaving) => return Err(LoadError::Leaving),
            Err(e) => event!(info, "order_unanswered", upstream = up.id, reason = e),
        }
        self.wait_until_loaded(up, key, load).await
    }

    /// Waits for the permits of a report and an order. They are taken before leadership is confirmed, because nothing may
    /// delay an order after that.
    async fn wait_for_permits(&self, key: &Key) -> Result<(), LoadError> {
        /// Without its weights an engine serves nothing, so that loads come before any item.
        const PRIORITY: u32 = 0;
        let mut wait = Duration::ZERO;
        for _ in 0..2 {
            match permits::request(&self.inner.shared, key, PRIORITY, LONGEST_PERMIT_WAIT) {
                Some(Permit::After(time)) => wait = time,
                Some(Permit::Denied(_)) => return Err(LoadError::Limited),
                None => return Err(LoadError::NotLeading),
            }
        }
        if !wait.is_zero() {
            time::sleep(wait).await;
        }
        Ok(())
    }

    /// Running requests of a model must end before its weights change if an open batch allows only a single version.
    fn running_requests(&self, model: &str) -> RunningRequests {
        let state = self.inner.shared.state.borrow();
        let mut own = state.open_batches().filter(|(_, batch)| batch.spec.model == model);
        let single = own.any(|(_, batch)| batch.spec.single_version);
        if single { RunningRequests::Finish } else { RunningRequests::Continue }
    }

    /// Waits until an announcement, a response or a report of the engine contains the version.
    async fn wait_until_loaded(
        &self,
        up: &Upstream,
        key: &Key,
        load: &Load,
    ) -> Result<(), LoadError> {
        let started = Instant::now();
        time::sleep(FIRST_CHECK_DELAY).await;
        while started.elapsed() < LOAD_TIMEOUT {
            let announced =
                self.inner.shared.knowledge.fleet.borrow().get(&up.id).map(|k| k.upstream.clone());
            let current = announced.filter(|now| now.incarnation == up.incarnation);
            let Some(current) = current else { return Err(LoadError::Refused) };
            let seen = self.inner.shared.engines.borrow().version(&current, &load.model);
            if seen.is_some_and(|version| version >= load.version) {
                return Ok(());
            }
            // A limited engine tells in its announcements, which cost no permit.
            if self.inner.shared.knowledge.rates.borrow().limit(key).is_none() {
                match self.report(up, key).await {
                    Ok(report) if holds(&report, load) => return Ok(()),
                    Ok(_) | Err(LoadError::NoResponse(_)) => {}
                    Err(e) => return Err(e),
                }
            }
            let loads = self.inner.shared.engines.borrow().loading_count();
            let per_load = CHECK_INTERVAL_PER_LOAD * u32::try_from(loads).unwrap_or(u32::MAX);
            time::sleep(CHECK_INTERVAL.max(per_load)).await;
        }
        Err(LoadError::Timeout)
    }

    async fn report(&self, up: &Upstream, key: &Key) -> Result<Report, LoadError> {
        let body = self.call(up, key, http::Method::GET, engine::REPORT_PATH, Bytes::new()).await?;
        engine::decode_report(&body.1).map_err(|e| LoadError::NoResponse(e.to_string()))
    }

    async fn send_order(
        &self,
        up: &Upstream,
        key: &Key,
        body: Bytes,
    ) -> Result<OrderOutcome, LoadError> {
        let path = engine::ORDER_PATH;
        self.call(up, key, http::Method::POST, path, body)
            .await
            .map(|(status, _)| engine::order_outcome(status))
    }

    async fn call(
        &self,
        up: &Upstream,
        key: &Key,
        method: http::Method,
        path: &str,
        body: Bytes,
    ) -> Result<(u16, Bytes), LoadError> {
        let no_response = |reason: String| LoadError::NoResponse(reason);
        let mut req = http::Request::builder().method(method).uri(path);
        if let Some(headers) = req.headers_mut() {
            if let Ok(host) = http::HeaderValue::from_str(&up.address) {
                headers.insert(http::header::HOST, host);
            }
            let json = http::HeaderValue::from_static("application/json");
            headers.insert(http::header::CONTENT_TYPE, json);
            upstream::set_upstream_headers(headers, &up.id, None);
        }
        let req = req.body(Full::new(body)).map_err(|e| no_response(e.to_string()))?;
        // It may have been learnt during the waits before this call.
        if self.inner.shared.knowledge.fleet.borrow().has_left(key) {
            return Err(LoadError::Leaving);
        }
        let sent_at = clock::since_boot();
        let sent =
            self.inner.shared.pool.send_on_new(&up.address, key, req, RESPONSE_TIMEOUT).await;
        let exchange = sent.map_err(|e| no_response(e.to_string()))?;
        let (status, headers) = (exchange.head.status, &exchange.head.headers);
        // Answers to orders are not signed. They say nothing of limits, which end only with responses to requests.
        let leaving = upstream::leaving_notice(Verdict::Answered, status, headers);
        self.inner.shared.note_head(key, sent_at, rates::Notice::Silent, leaving);
        let status = status.as_u16();
        let body = exchange.finish(MAX_RESPONSE_BYTES, RESPONSE_TIMEOUT).await;
        body.map(|body| (status, body)).map_err(|e| no_response(e.to_string()))
    }
}

/// Label of a load's result in metrics.
fn metric_label(result: &Result<(), LoadError>) -> &'static str {
    match result {
        Ok(()) => "loaded",
        Err(LoadError::NotLeading) => "not_leading",
        Err(LoadError::Fenced) => "fenced",
        Err(LoadError::Refused) => "refused",
        Err(LoadError::Busy) => "busy",
        Err(LoadError::Limited) => "limited",
        Err(LoadError::Leaving) => "leaving",
        Err(LoadError::NoResponse(_)) => "no_answer",
        Err(LoadError::Timeout) => "late",
    }
}

fn holds(report: &Report, load: &Load) -> bool {
    report.models.iter().any(|m| m.name == load.model && m.version >= load.version)
}
