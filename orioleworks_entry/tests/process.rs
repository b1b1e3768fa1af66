//! The entry as a process, and its start without control.

mod common;

use std::{path::Path, rc::Rc, time::Duration};

use common::{Process, TestEnv, UpstreamMode, block_on, booking, idempotency_key, post, profile};
use compio::{runtime, time};
use futures_util::future::join_all;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use orioleworks_daemon::shutdown::Shutdown;
use orioleworks_entry::{app::Entry, config::Config, policies::Policies};
use rstest::rstest;
use serde_json::json;

fn signal(process: &Process, signal: Signal) {
    kill(Pid::from_raw(i32::try_from(process.0.id()).unwrap()), signal).unwrap();
}

async fn exit_code(mut process: Process) -> Option<i32> {
    for _ in 0..500 {
        if let Some(status) = process.0.try_wait().unwrap() {
            return status.code();
        }
        time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the process did not exit within 5 s");
}

async fn start_process(env: &TestEnv, directory: &Path) -> (Process, String) {
    Process::start(env, directory, json!({"drain_grace_ms": 200})).await
}

/// Guards against a planned stop that aborts a request, and against metrics without their labels.
#[rstest]
fn sigterm_under_load_cuts_off_no_request() {
    block_on(async {
        let directory = tempfile::tempdir().unwrap();
        let mut env = TestEnv::start(vec![profile("lookup", "sheet-app"), booking()]).await;
        let (process, url) = start_process(&env, directory.path()).await;
        env.url = url;
        let slow = || UpstreamMode::Slow(Duration::from_millis(150));
        let lookups = env.upstream("s-1", "sheet-app", slow()).await;
        env.upstream("p-1", "booking-portal", slow()).await;
        let load = join_all((0..40_u64).map(|i| {
            let env = &env;
            async move {
                time::sleep(Duration::from_millis(i * 10)).await;
                match i % 4 {
                    0 => env.book(&idempotency_key(&i.to_string()), "slot").await.status,
                    _ => env.call("lookup", &i.to_string()).await.status,
                }
            }
        }));
        let stop = async {
            time::sleep(Duration::from_millis(250)).await;
            let metrics = env.client.get(format!("{}/metrics", env.url)).unwrap().send();
            let metrics = metrics.await.unwrap().text().await.unwrap();
            signal(&process, Signal::SIGTERM);
            metrics
        };
        let (statuses, metrics) = futures_util::join!(load, stop);
        assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
        assert_eq!(exit_code(process).await, Some(0));
        assert_eq!(lookups.received.borrow().len(), 30);
        for part in
            ["profile=\"lookup\"", "class=\"lookup\"", "code=\"ok\"", "request_seconds_bucket"]
        {
            assert!(metrics.contains(part), "{part} is not in {metrics}");
        }
    });
}

/// Guards against a second signal that still waits for running requests.
#[rstest]
fn second_signal_ends_at_once() {
    block_on(async {
        let directory = tempfile::tempdir().unwrap();
        let mut env = TestEnv::start(vec![profile("lookup", "sheet-app")]).await;
        let (process, url) = start_process(&env, directory.path()).await;
        env.url = url;
        env.upstream("s-1", "sheet-app", UpstreamMode::Slow(Duration::from_secs(4))).await;
        let (client, url) = (env.client.clone(), env.url.clone());
        runtime::spawn(async move {
            let call = client.post(format!("{url}/v1/call/lookup")).unwrap().body("x").send();
            drop(call.await);
        })
        .detach();
        time::sleep(Duration::from_millis(200)).await;
        let started = std::time::Instant::now();
        signal(&process, Signal::SIGTERM);
        time::sleep(Duration::from_millis(100)).await;
        signal(&process, Signal::SIGTERM);
        assert_eq!(exit_code(process).await, Some(0));
        assert!(started.elapsed() < Duration::from_secs(2));
    });
}

/// Guards against an example file that the entry rejects.
#[rstest]
fn example_settings_are_valid() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/entry.jsonc");
    orioleworks_settings::load::<Config>(file).unwrap();
}

/// Starts an entry whose control is unreachable.
async fn start_without_control(peer: &str, data: Option<&str>) -> Rc<Entry> {
    let closed = common::closed_address().await;
    let mut cfg = json!({
        "instance": {"name": "entry-a2", "failure_domain": "sicilia-a"},
        "listen": {"http": "127.0.0.1:0", "inner": "127.0.0.1:0"},
        "control": {"replicas": [{"address": closed, "failure_domain": "sicilia-a"}]},
        "peers": [{"name": "entry-a1", "failure_domain": "sicilia-a", "inner": peer}],
    });
    if let Some(directory) = data {
        cfg["data"] = json!({"directory": directory});
    }
    let cfg: Config = orioleworks_settings::parse("test", &cfg.to_string()).unwrap();
    let bound = Entry::bind(cfg, Policies::default(), Shutdown::default(), String::new).await;
    let entry = bound.unwrap();
    let served = entry.clone();
    runtime::spawn(async move { served.serve().await }).detach();
    entry
}

/// Guards against an entry that waits for control although a peer or its own disk has the configuration, and against
/// one that serves without a configuration.
#[rstest]
#[case::peer(true, false, true)]
#[case::own_copy(false, true, true)]
#[case::nothing(false, false, false)]
fn start_without_control_uses_peer_or_saved_configuration(
    #[case] peer: bool,
    #[case] saved: bool,
    #[case] ready: bool,
) {
    block_on(async {
        let directory = tempfile::tempdir().unwrap();
        let path = directory.path().to_str().unwrap();
        let env = TestEnv::start_with_data(vec![profile("lookup", "sheet-app")], path).await;
        while env.control.applied_revisions.borrow().last() != Some(&1) {
            time::sleep(Duration::from_millis(10)).await;
        }
        let inner = match peer {
            true => env.entry.cfg.listen.inner.to_string(),
            false => common::closed_address().await,
        };
        let entry = start_without_control(&inner, saved.then_some(path)).await;
        assert_eq!(entry.readiness(), Err("no configuration"));
        time::sleep(Duration::from_millis(2600)).await;
        assert_eq!(entry.readiness().is_ok(), ready);
        if ready {
            assert_eq!(entry.configuration.revision(), 1);
            assert!(entry.configuration.is_stale(), "control has never responded");
        }
    });
}

/// Guards against running non-idempotent requests without a claim from control, and against refusing idempotent
/// requests while control is unreachable.
#[rstest]
fn without_control_only_idempotent_requests_run() {
    block_on(async {
        let env = TestEnv::start(vec![profile("lookup", "sheet-app"), booking()]).await;
        let entry = start_without_control(&env.entry.cfg.listen.inner.to_string(), None).await;
        time::sleep(Duration::from_millis(2600)).await;
        let url = format!("http://{}", entry.cfg.listen.http);
        let env = TestEnv { url: url.clone(), entry, ..env };
        env.upstream("s-1", "sheet-app", UpstreamMode::Echo).await;
        let portal = env.upstream("p-1", "booking-portal", UpstreamMode::Echo).await;
        assert_eq!(env.call("lookup", "x").await.status, 200);
        let key = idempotency_key("a");
        let headers = [("idempotency-key", &*key)];
        let response = post(&env.client, format!("{url}/v1/call/gate-slot"), &headers, "x").await;
        assert_eq!(response.refusal(), ("claims_unavailable".into(), true));
        assert!(portal.received.borrow().is_empty());
    });
}
