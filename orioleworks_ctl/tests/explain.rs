//! Timeline of a request from the logs of several processes.

use std::{fs, path::PathBuf};

use orioleworks_ctl::explain::timeline;

const GATEWAY: &str = "\
ts_ms=1000 level=info event=gateway_started name=g1 domain=a
ts_ms=1100 level=info event=attempt_failed request=r1 upstream=i-1 reason=\"no answer in time\" attempt=1 ms=400
ts_ms=1105 level=info event=request_refused request=r1 reason=outcome_unknown detail=\"no answer in time\" waited_ms=405
ts_ms=1106 level=info event=request_refused request=r10 reason=not_ready detail=\"\" waited_ms=0
";
const STORE: &str = "\
ts_ms=1050 level=warn event=leader_stepped_down term=3 reason=no_quorum
ts_ms=1099 level=info event=item_requeued item=x batch=b1 upstream=i-1 events=12 reason=\"connection error\"
ts_ms=1020 level=info event=batch_queued batch=b1 items=4
";

fn files(dir: &tempfile::TempDir) -> Vec<PathBuf> {
    let write = |name: &str, text: &str| {
        let path = dir.path().join(name);
        fs::write(&path, text).unwrap();
        path
    };
    vec![write("gateway-1.log", GATEWAY), write("store-1.log", STORE)]
}

/// Guards against lines of other requests, a wrong order, and a reason that is not the newest one.
#[test]
fn a_timeline_is_in_order_and_ends_with_the_reason() {
    let dir = tempfile::tempdir().unwrap();
    let timeline_of = |id: &str| timeline(id, &files(&dir));
    let text = timeline_of("r1").unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(lines[0].contains("0 ms  gateway-1") && lines[0].contains("attempt_failed"), "{text}");
    assert_eq!(lines[2], "reason: outcome_unknown (request_refused at gateway-1)");
    let text = timeline_of("b1").unwrap();
    assert!(text.find("batch_queued").unwrap() < text.find("item_requeued").unwrap(), "{text}");
    assert!(text.ends_with("reason: connection error (item_requeued at store-1)\n"), "{text}");
}

/// Guards against empty output that looks like a request without errors.
#[test]
fn an_unknown_request_or_file_is_an_error() {
    let dir = tempfile::tempdir().unwrap();
    assert!(timeline("nobody", &files(&dir)).unwrap_err().contains("nobody"));
    assert!(timeline("r1", &[dir.path().join("missing.log")]).unwrap_err().contains("missing.log"));
}
