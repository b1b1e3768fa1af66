//! Metrics of a gateway; names and labels are those of `orioleworks-entry`, so that `orioleworks-burn` reads both.

use std::{rc::Rc, time::Duration};

use orioleworks_daemon::{clock, event};
use orioleworks_proto::codes::ResultCode;
use orioleworks_routing::routes::Route;

use crate::view::View;

/// One in this many requests that meet their objective is logged, so that the log also shows normal traffic.
const LOG_ONE_IN: u32 = 64;

/// Metric labels of a request.
#[derive(Clone, Debug)]
pub struct RequestLabels {
    /// Name of the route, or of the call on a batch.
    pub profile: Rc<str>,
    /// Class of the request, for example `idempotent` or `once`.
    pub class: &'static str,
}

impl RequestLabels {
    /// Labels of a request whose route is unknown.
    pub fn unknown() -> Self {
        Self { profile: "unknown".into(), class: "unknown" }
    }

    /// Labels of a call on a batch.
    pub fn of_call(name: &str) -> Self {
        Self { profile: name.into(), class: "batch_call" }
    }

    /// Labels of a request on a route.
    pub fn of_route(route: &Route) -> Self {
        let class = match (&route.batch, route.idempotent, route.streaming) {
            (Some(_), ..) => "batch",
            (None, _, true) => "stream",
            (None, true, false) => "idempotent",
            (None, false, false) => "once",
        };
        Self { profile: route.name.clone(), class }
    }
}

/// Counts a request that got a response or was refused; for a stream, the time ends at the head of the response.
pub fn record_request(labels: &RequestLabels, code: ResultCode, took: Duration) {
    let profile = labels.profile.to_string();
    metrics::counter!("orioleworks_requests_total",
        "profile" => profile.clone(), "class" => labels.class, "code" => code.name())
    .increment(1);
    let outcome = if code == ResultCode::Ok { "answered" } else { "refused" };
    metrics::histogram!("orioleworks_request_seconds",
        "profile" => profile, "class" => labels.class, "outcome" => outcome)
    .record(took);
}

/// Counts an attempt at an upstream by its result.
pub fn record_attempt(route: &Rc<str>, result: &'static str, took: Duration) {
    let profile = route.to_string();
    metrics::counter!("orioleworks_attempts_total", "profile" => profile.clone(), "result" => result)
        .increment(1);
    metrics::histogram!("orioleworks_attempt_seconds", "profile" => profile).record(took);
}

/// Logs a response that missed the route's latency objective, and a sample of the others.
pub fn log_response(route: &Route, id: &str, upstream: &str, attempts: usize, took: Duration) {
    let late = took > route.latency_objective;
    if !late && rand::random_range(0..LOG_ONE_IN) > 0 {
        return;
    }
    event!(
        info,
        "request_answered",
        request = id,
        route = route.name,
        upstream = upstream,
        attempts = attempts,
        ms = took.as_millis(),
        objective_ms = route.latency_objective.as_millis(),
        late = late,
    );
}

/// Publishes the state of the view and its age.
pub fn publish(view: &View) {
    let (fresh, stale) = view.knowledge.fleet.borrow().count(clock::since_boot());
    metrics::gauge!("orioleworks_upstreams", "heard" => "lately").set(fresh as f64);
    metrics::gauge!("orioleworks_upstreams", "heard" => "earlier").set(stale as f64);
    metrics::gauge!("orioleworks_suspect_contents").set(view.crashes.count() as f64);
    let limited = view.knowledge.rates.borrow().limited();
    metrics::gauge!("orioleworks_limited_upstreams").set(limited as f64);
    metrics::gauge!("orioleworks_document_version").set(view.document_version() as f64);
    metrics::gauge!("orioleworks_view_age_seconds").set(view.age().as_secs_f64());
}
