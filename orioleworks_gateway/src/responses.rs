//! Heads of upstreams' responses, as read by whoever sends the request.

use std::time::Duration;

use http::response;
use orioleworks_platform::upstream::{self, Verdict};
use orioleworks_routing::outlier::Key;

use crate::view::View;

/// Classifies the head of a response, and records what it says of its upstream. This takes effect before any part of the
/// response is passed on.
pub fn read_head(view: &View, up: &Key, sent_at: Duration, head: &response::Parts) -> Verdict {
    let (status, headers) = (head.status, &head.headers);
    let verdict = upstream::classify_response(status, headers);
    let rate = upstream::rate_notice(verdict, status, headers);
    let limited = view.knowledge.observe_rate(up, sent_at, rate);
    let leaving = upstream::leaving_notice(verdict, status, headers);
    let left = view.knowledge.observe_leaving(up, leaving);
    if left {
        view.pool.close_expired();
    }
    if limited || left {
        view.report_wake.notify();
    }
    verdict
}
