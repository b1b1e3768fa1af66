//! Metrics of the caller path.

use std::time::Duration;

use orioleworks_proto::{codes::ResultCode, inner};

/// Metric label of a class.
pub fn class_label(profile: &inner::Profile) -> &'static str {
    match profile.class() {
        inner::Class::Lookup => "lookup",
        inner::Class::Booking => "booking",
        inner::Class::Rollout => "rollout",
        inner::Class::Unspecified => "unspecified",
    }
}

/// Records a finished request and its latency.
pub fn request(profile: &inner::Profile, code: ResultCode, latency: Duration) {
    let name = profile.name.clone();
    let class = class_label(profile);
    metrics::counter!("orioleworks_requests_total",
        "profile" => name.clone(), "class" => class, "code" => code.name())
    .increment(1);
    metrics::histogram!("orioleworks_request_seconds", "profile" => name, "class" => class)
        .record(latency.as_secs_f64());
}

/// Records the result and the latency of an attempt.
pub fn attempt(profile: &str, result: &'static str, latency: Duration) {
    metrics::counter!("orioleworks_attempts_total", "profile" => profile.to_owned(), "result" => result)
        .increment(1);
    metrics::histogram!("orioleworks_attempt_seconds", "profile" => profile.to_owned())
        .record(latency.as_secs_f64());
}

/// Counts an attempt that was abandoned before its response; a late response is dropped.
pub fn abandoned(profile: &str) {
    metrics::counter!("orioleworks_abandoned_attempts_total", "profile" => profile.to_owned())
        .increment(1);
}
