//! Batches for which the leading store has no memory.

mod support;

use base64::{Engine, engine::general_purpose::STANDARD};
use support::{
    client::Response,
    deployment::Deployment,
    routes::{self, MODEL},
};

/// Memory limit of a store in the tests, in megabytes.
const MEMORY_MB: usize = 32;
/// Bytes of the bodies of a batch; a command may have 4 MB.
const BODY_BYTES: usize = 3_500_000;

fn submit(d: &Deployment, id: &str) -> Option<Response> {
    let item = serde_json::json!({
        "id": format!("{id}-item"), "path": "/batch/x", "body": STANDARD.encode(vec![b'x'; BODY_BYTES]),
        "headers": {"X-Model": MODEL, "X-Token-Count": "100,900", "X-Length-Hint": "500"},
        "tokens": 1000, "group": "g1",
    });
    let items = [item];
    let body = serde_json::json!({
        "step": 1, "model": MODEL, "min_version": 1, "group_count": 1, "items": items,
    });
    d.send(0, "POST", &format!("/batch/{id}"), id, &body.to_string())
}

fn submit_until_answered(d: &Deployment, id: &str) -> Response {
    let mut answer = None;
    for _ in 0..20 {
        answer = submit(d, id).filter(|response| response.status != 504);
        if answer.is_some() {
            break;
        }
    }
    answer.unwrap_or_else(|| panic!("{}", d.logs()))
}

/// Guards against leaders that accept batches until the platform kills them, and accepted batches that are denied.
#[test]
fn a_batch_without_memory_is_refused_as_not_run_and_accepted_later() {
    let d = Deployment::start_sized(3, 1, &routes::document(1, 5000).to_string(), false, MEMORY_MB);
    let mut accepted = Vec::new();
    let refused = loop {
        let id = format!("batch-{}", accepted.len());
        let response = submit_until_answered(&d, &id);
        if response.status != 202 {
            break response;
        }
        accepted.push(id);
        assert!(accepted.len() * BODY_BYTES < MEMORY_MB << 20, "none is refused");
    };
    assert!(accepted.len() * BODY_BYTES > (MEMORY_MB << 20) / 4, "{accepted:?}");
    assert_eq!(refused.status, 503, "{}", refused.body);
    let head = refused.head.to_lowercase();
    assert!(head.contains("retry-after: 2"), "{head}");
    assert!(refused.body.contains("memory_short"), "{}", refused.body);
    let log = d.stores[d.leader().unwrap()].as_ref().unwrap().log();
    let line = log.lines().find(|line| line.contains("event=batch_refused")).unwrap();
    for key in [" resident_kb=", " held_kb=", " limit_kb=32768"] {
        assert!(line.contains(key), "{line}");
    }
    for id in &accepted {
        assert_eq!(submit_until_answered(&d, id).status, 202, "a repeat of {id}");
    }
    for id in &accepted {
        assert_eq!(d.send(0, "DELETE", &format!("/v1/lots/{id}"), id, "").unwrap().status, 200);
    }
    let id = format!("batch-{}", accepted.len());
    d.wait_until("it is accepted once there is room", || {
        submit(&d, &id).is_some_and(|response| response.status == 202)
    });
}
