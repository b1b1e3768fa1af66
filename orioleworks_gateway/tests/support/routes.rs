//! Route document of the tests, and batches for its routes.

use base64::{Engine as _, engine::general_purpose::STANDARD};

pub const MODEL: &str = "scorer";

/// Indices of the routes in the document, for tests that change one of them.
pub const LOOKUP: usize = 0;
pub const CONFIRM: usize = 1;
pub const BATCH: usize = 3;
pub const SCORE: usize = 4;

/// Routes for lookups, for requests that run once, for streams and for batches.
pub fn document(version: u64, timeout_ms: u64) -> serde_json::Value {
    serde_json::json!({
        "version": version,
        "routes": [
            {"name": "lookup", "host": "test.example", "path_prefix": "/lookup/", "kind": "safe",
             "timeout_ms": timeout_ms, "target_latency_ms": 150, "priority": 2, "service": "sheets", "max_attempts": 2},
            {"name": "confirm", "host": "test.example", "path_prefix": "/confirm/", "kind": "unsafe",
             "timeout_ms": timeout_ms, "target_latency_ms": 150, "priority": 2, "service": "sheets", "max_attempts": 2},
            {"name": "say", "host": "test.example", "path_prefix": "/say/", "kind": "safe", "streaming": true,
             "resumable": true, "timeout_ms": 5000, "target_latency_ms": 150, "priority": 2, "service": "engines",
             "max_attempts": 2},
            {"name": "batch", "host": "test.example", "path_prefix": "/batch/", "kind": "rollout",
             "timeout_ms": 10000, "target_latency_ms": 400, "priority": 1, "service": "engines", "max_attempts": 3,
             "retention_s": 40.0, "completion_deadline_ms": 7500, "single_version": false, "resumable": true},
            {"name": "score", "host": "score.example", "path_prefix": "/score/", "kind": "safe",
             "timeout_ms": 3000, "target_latency_ms": 800, "priority": 2, "service": "sheets", "max_attempts": 3},
        ],
        "services": [
            {"name": "sheets", "connection_limit": 96},
            {"name": "engines", "connection_limit": 96,
             "engine": {"slots": 8, "kv_cache_tokens": 100_000, "stride": 72, "models": [{"name": MODEL}]}},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 33_554_432, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
    })
}

/// A document with the tenants alpha, which has two keys, and beta; the route for requests that run once is public.
pub fn document_with_tenants(version: u64, alpha_keys: &[&str]) -> serde_json::Value {
    let mut document = document(version, 5000);
    document["routes"][CONFIRM]["public"] = true.into();
    document["tenants"] = serde_json::json!([
        {"name": "alpha", "api_keys": alpha_keys, "priority": 1},
        {"name": "beta", "api_keys": ["key-of-beta"]},
    ]);
    document
}

/// Submission of a batch with these items; `group_of` names the group of an item.
pub fn submission(items: &[String], min_version: u64, group_of: impl Fn(&str) -> &str) -> String {
    unscored_submission(items, min_version, group_of).to_string()
}

/// Submission of a batch whose items have reward calls; see [`reward_call_id`].
pub fn scored_submission(items: &[String]) -> serde_json::Value {
    let mut submission = unscored_submission(items, 1, |id| id);
    for (item, id) in submission["items"].as_array_mut().unwrap().iter_mut().zip(items) {
        item["scorer"] = serde_json::json!({
            "id": reward_call_id(id), "host": "score.example", "path": format!("/score/{id}"),
            "body": STANDARD.encode(format!("score of {id}")),
        });
    }
    submission
}

/// ID of the reward call of an item.
pub fn reward_call_id(item: &str) -> String {
    format!("call-{item}")
}

fn unscored_submission(
    items: &[String],
    min_version: u64,
    group_of: impl Fn(&str) -> &str,
) -> serde_json::Value {
    let item = |id: &String| {
        serde_json::json!({
            "id": id, "path": format!("/batch/{id}"), "body": STANDARD.encode(format!("body of {id}")),
            "headers": {"X-Model": MODEL, "X-Token-Count": "100,900", "X-Length-Hint": "500"},
            "tokens": 1000, "group": group_of(id),
        })
    };
    let items: Vec<serde_json::Value> = items.iter().map(item).collect();
    serde_json::json!({"step": 1, "model": MODEL, "min_version": min_version, "group_count": 1, "items": items})
}
