//! Finds the cause of a failed request from its ID and the logs of real processes.

mod support;

use std::{process::Command, sync::atomic::Ordering, thread, time::Duration};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use support::{
    deployment::{self, Deployment},
    routes::{self, BATCH, CONFIRM, LOOKUP, MODEL},
    upstream::Upstream,
};

/// Routes with short timeouts; batches are due after one second.
fn document() -> String {
    let mut document = routes::document(1, 500);
    for route in [LOOKUP, CONFIRM] {
        document["routes"][route]["target_latency_ms"] = 100.into();
    }
    document["routes"][BATCH]["timeout_ms"] = 5000.into();
    document["routes"][BATCH]["completion_deadline_ms"] = 1000.into();
    document.to_string()
}

/// Output of `orioleworksctl explain` for an ID.
fn explain(d: &Deployment, id: &str) -> String {
    // The processes write log lines in a background thread.
    thread::sleep(Duration::from_millis(200));
    let ctl = Command::new(deployment::binary("orioleworksctl"))
        .args(["explain", id])
        .args(d.log_files())
        .output()
        .unwrap();
    let explanation = String::from_utf8(ctl.stdout).unwrap();
    assert!(
        ctl.status.success(),
        "{explanation}{}\n{}",
        String::from_utf8_lossy(&ctl.stderr),
        d.logs()
    );
    explanation
}

fn reason(explanation: &str) -> &str {
    explanation.lines().last().unwrap_or_default()
}

/// Starts two upstreams for lookups and waits until the gateway uses both.
fn start_lookup_upstreams(d: &Deployment) -> [Upstream; 2] {
    let up = ["s-0", "s-1"].map(|id| Upstream::start(id, "sheets", None, d.control_addresses()));
    d.wait_until("both upstreams serve", || {
        let id = format!("warm-{}", up[0].total_runs() + up[1].total_runs());
        d.send(0, "GET", "/lookup/a", &id, "");
        up.iter().all(|up| up.total_runs() > 0)
    });
    up
}

/// Guards against late or refused lookups whose log lines do not show which upstreams were tried and what they did.
#[test]
fn a_lookup_that_ran_out_of_time_or_was_refused() {
    let d = Deployment::start(3, 1, &document());
    let up = start_lookup_upstreams(&d);
    up.iter().for_each(|up| up.behaviour.silent.store(true, Ordering::Relaxed));
    assert_eq!(d.send(0, "GET", "/lookup/a", "late-1", "").unwrap().status, 504);
    let explanation = explain(&d, "late-1");
    assert_eq!(reason(&explanation), "reason: deadline_exceeded (request_refused at gateway-0)");
    assert!(
        explanation.contains("s-0") && explanation.contains("s-1"),
        "both upstreams are named: {explanation}"
    );
    up.iter().for_each(|up| up.behaviour.silent.store(false, Ordering::Relaxed));
    up.iter().for_each(|up| up.behaviour.refuses.store(true, Ordering::Relaxed));
    assert_eq!(d.send(0, "GET", "/lookup/a", "full-1", "").unwrap().status, 503);
    let explanation = explain(&d, "full-1");
    assert_eq!(reason(&explanation), "reason: refused_by_upstream (request_refused at gateway-0)");
}

/// Guards against a step that misses its deadline without a log line that says what its items waited for.
#[test]
fn a_batch_that_waited_for_weights() {
    let d = Deployment::start(3, 1, &document());
    let _engine = Upstream::start("e-0", "engines", Some(MODEL), d.control_addresses());
    let item = serde_json::json!({
        "id": "i-1", "path": "/batch/i-1", "body": STANDARD.encode("body"),
        "headers": {"X-Model": MODEL}, "tokens": 1000, "group": "g1",
    });
    let body = serde_json::json!(
        {"step": 5, "model": MODEL, "min_version": 5, "group_count": 1, "items": [item]});
    let accepted = d.send(0, "POST", "/batch/step", "lot-1", &body.to_string()).unwrap();
    assert_eq!(accepted.status, 202, "{}", accepted.body);
    thread::sleep(Duration::from_millis(1500));
    let explanation = explain(&d, "lot-1");
    assert!(
        reason(&explanation).contains("no_engine_has_the_weights (batch_overdue at store-"),
        "{explanation}"
    );
    assert!(explanation.contains("min_version=5"), "{explanation}");
}

/// Guards against an unknown outcome that cannot be traced to the upstream that crashed during the request.
#[test]
fn a_request_whose_upstream_crashed() {
    let d = Deployment::start(3, 1, &document());
    let up = start_lookup_upstreams(&d);
    up.iter().for_each(|up| up.behaviour.crashes.store(true, Ordering::Relaxed));
    assert_eq!(d.send(0, "POST", "/confirm/a", "once-1", "").unwrap().status, 502);
    let explanation = explain(&d, "once-1");
    let crashed = up.iter().find(|up| !up.runs("once-1").is_empty()).unwrap();
    assert_eq!(reason(&explanation), "reason: outcome_unknown (request_refused at gateway-0)");
    assert!(explanation.contains(&format!("upstream={}", crashed.id)), "{explanation}");
}
