//! Handles requests of callers and trainers: routes each request or refuses it with a reason.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use http::{HeaderMap, header};
use orioleworks_daemon::{event, http as server, memory};
use orioleworks_platform::{batch, caller};
use orioleworks_proto::codes::ResultCode;
use orioleworks_routing::{
    routes::{Route, RouteTable},
    tenants::Tenant,
};

use crate::{
    batches,
    forward::{self, Content},
    keys::Denial,
    telemetry::{self, RequestLabels},
    view::View,
};

/// Margin before a caller's deadline at which a request is abandoned, so that the response arrives in time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(10);

/// Time since the last reply of a store with a leader up to which the routes and keys of a gateway are taken for the newest ones.
const CURRENT_WITHIN: Duration = Duration::from_millis(1500);
/// Retry advice while they may be out of date; another gateway may know newer ones.
const UNCONFIRMED_RETRY: Duration = Duration::from_millis(300);

/// Reason why a request gets no response from an upstream.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Result code; it decides whether the request may have run.
    pub code: ResultCode,
    /// Description for logs and the caller.
    pub detail: String,
    /// Time after which the caller should retry; zero for no advice.
    pub retry_after: Duration,
}

impl Refusal {
    /// Creates a refusal.
    pub fn new(code: ResultCode, detail: impl Into<String>, retry_after: Duration) -> Self {
        Self { code, detail: detail.into(), retry_after }
    }
}

/// ID and timing of a caller's request.
#[derive(Clone, Debug)]
pub struct RequestContext {
    /// ID of the caller's attempt.
    pub id: String,
    /// Time at which the head arrived.
    pub arrived: Instant,
    /// Time at which the request is abandoned, if the caller sent a deadline.
    pub deadline: Option<Instant>,
    /// Tenant whose key was sent.
    pub tenant: Option<Rc<Tenant>>,
}

impl RequestContext {
    /// Reads the ID and the deadline from the headers.
    pub fn from_headers(headers: &HeaderMap) -> Self {
        let arrived = Instant::now();
        let left = caller::time_left(headers);
        Self {
            id: caller::attempt_id(headers).unwrap_or_default().to_owned(),
            arrived,
            deadline: left.map(|left| arrived + left.saturating_sub(RESPONSE_MARGIN)),
            tenant: None,
        }
    }

    /// Priority of the request on a route.
    pub fn priority(&self, route: &Route) -> u32 {
        let own = self.tenant.as_ref().and_then(|tenant| tenant.priority);
        own.unwrap_or(route.priority)
    }

    /// Time until which the request may wait for routes and upstreams; the other half of the caller's time is for the
    /// request itself.
    pub fn setup_deadline(&self) -> Instant {
        /// Time assumed for a caller that sends no deadline.
        const DEFAULT_TIME: Duration = Duration::from_secs(1);
        let deadline = self.deadline.unwrap_or(self.arrived + DEFAULT_TIME);
        self.arrived + deadline.saturating_duration_since(self.arrived) / 2
    }

    /// End of a wait of at most the given time, limited by the caller's deadline.
    pub fn deadline_within(&self, time: Duration) -> Instant {
        let end = self.arrived + time;
        self.deadline.map_or(end, |deadline| deadline.min(end))
    }
}

/// Handles one request.
pub async fn handle(view: View, req: server::Request) -> server::Response {
    let mut context = RequestContext::from_headers(req.headers());
    let mut labels = RequestLabels::unknown();
    let result = route(&view, req, &mut context, &mut labels).await;
    let code = match &result {
        Ok(response) if response.status().is_server_error() => ResultCode::AttemptsExhausted,
        Ok(_) => ResultCode::Ok,
        Err(refusal) => refusal.code,
    };
    telemetry::record_request(&labels, code, context.arrived.elapsed());
    let mut response =
        result.unwrap_or_else(|refusal| refusal_response(&context, &labels, &refusal));
    if view.is_draining() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn route(
    view: &View,
    req: server::Request,
    context: &mut RequestContext,
    labels: &mut RequestLabels,
) -> Result<server::Response, Refusal> {
    /// Routes arrive within a fraction of a second after a start.
    const NO_ROUTES_RETRY: Duration = Duration::from_millis(300);
    if let Some(call) = batch::decode_call(req.method(), req.uri(), req.headers()) {
        *labels = RequestLabels::of_call(call.name());
        // Log lines of calls on a batch carry the ID of the batch.
        call.batch().clone_into(&mut context.id);
        // Without the routes it is not known whether the batch has an owner.
        let Some(table) = view.wait_for_table(context.setup_deadline()).await else {
            return Err(Refusal::new(
                ResultCode::NotReady,
                "no routes are known yet",
                NO_ROUTES_RETRY,
            ));
        };
        let needs_key = !table.has_public_batches(&host_of(&req));
        let tenant = authorize(view, &table, req.headers(), needs_key)?;
        return batches::call(view, call, batches::asker(&table, tenant.as_deref())).await;
    }
    let Some(table) = view.wait_for_table(context.setup_deadline()).await else {
        return Err(Refusal::new(ResultCode::NotReady, "no routes are known yet", NO_ROUTES_RETRY));
    };
    let host = host_of(&req);
    let Some(route) = table.find(&host, req.uri().path()).cloned() else {
        let detail = format!("{host}{} in version {}", req.uri().path(), table.version);
        // 404 is final for a caller, and a newer document may have the path.
        return Err(match view.age() < CURRENT_WITHIN {
            true => Refusal::new(ResultCode::UnknownPath, detail, Duration::ZERO),
            false => Refusal::new(ResultCode::NotReady, detail, UNCONFIRMED_RETRY),
        });
    };
    *labels = RequestLabels::of_route(&route);
    let end = context.deadline_within(route.timeout);
    refuse_if_stopping(view, end)?;
    authorize(view, &table, req.headers(), !route.public)?;
    let limits = server::Limits { body_bytes: table.limits.body_bytes, ..Default::default() };
    let (mut head, body) = req.into_parts();
    let body = server::read_body_within(body, &limits, &view.memory)
        .await
        .map_err(|code| Refusal::new(code, "", retry_of(code)))?;
    refuse_if_stopping(view, end)?;
    // The key may have been revoked while the body arrived.
    let newest = view.table().unwrap_or_else(|| table.clone());
    context.tenant = authorize(view, &newest, &head.headers, !route.public)?;
    if newest.tenants.is_some() {
        caller::set_tenant(&mut head.headers, context.tenant.as_ref().map(|t| &*t.name));
    }
    if route.batch.is_some() {
        let _copies = memory::Share::for_copies(&view.memory, body.len()).await.map_err(|_| {
            let code = ResultCode::BodyMemoryShort;
            Refusal::new(code, "", retry_of(code))
        })?;
        return batches::submit(view, &newest, &route, &host, context, &body).await;
    }
    forward::forward(view, &route, Content::new(host, head, body), context).await
}

/// Retry advice for a body that was not read.
pub fn retry_of(code: ResultCode) -> Duration {
    /// Shares without progress are ended after a second.
    const MEMORY_RETRY: Duration = Duration::from_millis(1000);
    if code == ResultCode::BodyMemoryShort { MEMORY_RETRY } else { Duration::ZERO }
}

/// Host that a request names.
fn host_of(req: &server::Request) -> String {
    let host = req.headers().get(header::HOST).and_then(|v| v.to_str().ok());
    host.or_else(|| req.uri().host()).unwrap_or_default().to_owned()
}

/// Tells whose request it is, or refuses it.
fn authorize(
    view: &View,
    table: &RouteTable,
    headers: &HeaderMap,
    needs_key: bool,
) -> Result<Option<Rc<Tenant>>, Refusal> {
    let result = view.keys.authorize(table, headers, needs_key, view.age() < CURRENT_WITHIN);
    result.map_err(|denial| match denial {
        Denial::Unknown => Refusal::new(ResultCode::ApiKeyUnknown, "", Duration::ZERO),
        Denial::Unconfirmed => Refusal::new(
            ResultCode::ApiKeysUnconfirmed,
            "no store confirms them",
            UNCONFIRMED_RETRY,
        ),
    })
}

/// Refuses a request that arrives late in a stop, unless its own time ends before that of the gateway.
fn refuse_if_stopping(view: &View, end: Instant) -> Result<(), Refusal> {
    if !view.may_outlast_stop(end) {
        return Ok(());
    }
    // Other gateways have room now.
    Err(Refusal::new(ResultCode::ShuttingDown, "it may outlast the stop", Duration::ZERO))
}

fn refusal_response(
    context: &RequestContext,
    labels: &RequestLabels,
    refusal: &Refusal,
) -> server::Response {
    event!(
        info,
        "request_refused",
        request = context.id,
        route = labels.profile,
        reason = refusal.code.name(),
        detail = refusal.detail,
        waited_ms = context.arrived.elapsed().as_millis(),
        retry_after_ms = refusal.retry_after.as_millis(),
    );
    let mut response = server::error(refusal.code, &refusal.detail, 0);
    *response.status_mut() = caller::refusal_status(refusal.code);
    if refusal.code == ResultCode::BodyMemoryShort {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    if refusal.code == ResultCode::ApiKeyUnknown {
        caller::set_key_challenge(response.headers_mut());
    }
    if !refusal.retry_after.is_zero() {
        let value = caller::retry_after(refusal.retry_after);
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
