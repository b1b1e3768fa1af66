//! The driver starts, disturbs and stops processes by name, and leaves none running.

mod common;

use std::{
    cell::RefCell,
    io::{BufRead, BufReader},
    path::Path,
    process::{Command, Stdio},
    rc::Rc,
    time::Duration,
};

use compio::{
    BufResult,
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use orioleworks_entry::config;
use orioleworks_settings as settings;
use orioleworks_standins::{
    client::Client,
    deployment::{Deployment, Kind, Options},
    fault::CRASH_EXIT,
    relay::Relay,
};
use rstest::rstest;
use serde_json::json;

async fn prepare(directory: &Path) -> Deployment {
    let bin_dir = Path::new(env!("CARGO_BIN_EXE_standin-engine")).parent().expect("directory");
    let options = Options::consortium(bin_dir, directory, 1);
    Deployment::prepare(options).await.expect("deployment")
}

/// Guards against settings files that the daemons refuse, and against missing processes.
#[test]
fn all_processes_are_configured_and_entry_settings_are_accepted() {
    common::run(async {
        let directory = tempfile::tempdir().expect("directory");
        let deployment = prepare(directory.path()).await;
        let count = |kind| deployment.nodes(kind).count();
        let kinds = [Kind::Control, Kind::Entry, Kind::Engine, Kind::Service, Kind::Judge];
        assert_eq!(kinds.map(count), [3, 6, 12, 6, 1]);
        for (name, _) in deployment.nodes(Kind::Entry) {
            let path = directory.path().join(format!("{name}.jsonc"));
            let cfg: config::Config = settings::load(path).expect("accepted settings");
            assert_eq!((&*cfg.instance.name, cfg.peers.len()), (name, 5));
        }
        let path = directory.path().join("control-a.jsonc");
        let text = std::fs::read_to_string(path).expect("file");
        let value: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        assert_eq!(value["instance"]["name"], "control-a");
        assert_eq!(value["cluster"]["bootstrap"], true);
    });
}

/// Guards against processes, paused ones included, that still run after the driver has stopped the deployment.
#[test]
fn processes_are_started_paused_killed_and_stopped() {
    common::run(async {
        let directory = tempfile::tempdir().expect("directory");
        let deployment = prepare(directory.path()).await;
        for name in ["scorer-a1", "sheet-app-a", "weights"] {
            deployment.start(name).expect("start");
        }
        let pids = ["scorer-a1", "sheet-app-a", "weights"].map(|name| deployment.pid(name));
        assert!(deployment.usage("scorer-a1").is_some_and(|usage| usage.memory_bytes > 0));
        let (_, node) = deployment.nodes(Kind::Engine).next().expect("engine");
        let (url, client) = (format!("http://{}/live", node.http), Client::new().expect("client"));
        let mut live = false;
        for _ in 0..100 {
            live = live || client.get(&url, Duration::from_secs(1)).await.is_ok();
            compio::time::sleep(Duration::from_millis(if live { 0 } else { 30 })).await;
        }
        assert!(live);
        deployment.pause("scorer-a1").expect("pause");
        assert!(client.get(&url, Duration::from_millis(300)).await.is_err());
        deployment.kill("sheet-app-a").expect("kill");
        assert!(!deployment.running("sheet-app-a"));
        let killed = deployment.stop_all(Duration::from_secs(8)).await;
        assert!(killed.is_empty(), "{killed:?}");
        for pid in pids.into_iter().flatten() {
            assert!(!Path::new(&format!("/proc/{pid}")).exists());
        }
        assert!(deployment.start("nobody").is_err());
    });
}

/// Guards against a relay that loses or reorders the bytes of a cut link instead of holding them.
#[test]
fn a_cut_link_holds_its_bytes_until_it_is_healed() {
    common::run(async {
        let echo = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let target = echo.local_addr().expect("address").to_string();
        compio::runtime::spawn(async move {
            let (mut stream, _) = echo.accept().await.expect("connection");
            loop {
                let BufResult(read, buf) = stream.read_exact(vec![0; 4]).await;
                if read.is_err() || stream.write_all(buf).await.0.is_err() {
                    return;
                }
            }
        })
        .detach();
        let address = orioleworks_standins::ports::Ports::new().next_free_address().expect("port");
        let source = Rc::new(|_| Some("entry-a1".to_owned()));
        let relay = Relay::start(&address, &target, source).await.expect("relay");
        let mut stream = TcpStream::connect(&address).await.expect("connection");
        stream.write_all(b"one.").await.0.expect("write");
        assert_eq!(stream.read_exact(vec![0; 4]).await.1, b"one.");
        relay.cut("entry-a1");
        stream.write_all(b"two.").await.0.expect("write");
        let mut response = std::pin::pin!(stream.read_exact(vec![0; 4]));
        let early_response = compio::time::timeout(Duration::from_millis(200), &mut response).await;
        assert!(early_response.is_err());
        relay.heal("entry-a1");
        assert_eq!(response.await.1, b"two.");
        assert_eq!(relay.bytes(), 16);
    });
}

/// Guards against a cut between two processes that has no effect because the sender is not recognised.
#[test]
fn the_sender_of_a_connection_is_recognised() {
    common::run(async {
        let directory = tempfile::tempdir().expect("directory");
        let deployment = prepare(directory.path()).await;
        let entry = deployment.nodes(Kind::Entry).next().expect("entry").1.http.clone();
        let port = entry.rsplit_once(':').and_then(|(_, port)| port.parse().ok()).expect("port");
        let sender_lookup = deployment.sender_lookup(port);
        let senders = Rc::new(RefCell::new(Vec::new()));
        let recorded = senders.clone();
        let record = Rc::new(move |peer| {
            recorded.borrow_mut().push(sender_lookup(peer));
            None
        });
        let relay = Relay::start(&entry, "127.0.0.1:1", record).await.expect("relay");
        // A sender is looked up only when a link is cut.
        relay.cut("entry-a1");
        deployment.start("scorer-a1").expect("start");
        for _ in 0..250 {
            if !senders.borrow().is_empty() {
                break;
            }
            compio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(senders.borrow().first(), Some(&Some("scorer-a1".to_owned())));
        deployment.kill("scorer-a1").expect("kill");
    });
}

/// Guards against a crash fault that does not end the process.
#[rstest]
#[case::engine(env!("CARGO_BIN_EXE_standin-engine"), "/v1/completions")]
#[case::service(env!("CARGO_BIN_EXE_standin-service"), "/call")]
fn the_marker_crashes_the_process(#[case] program: &str, #[case] path: &str) {
    let mut child = Command::new(program)
        .args(["--fault", r#"{"crash_marker": "boom"}"#])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("process");
    let mut address = String::new();
    let stdout = child.stdout.take().expect("output");
    BufReader::new(stdout).read_line(&mut address).expect("address");
    let body = json!({"prompt": "boom", "max_tokens": 4, "stream": true});
    let response = common::run(async {
        let client = Client::new().expect("client");
        let url = format!("http://{}{path}", address.trim());
        client.post(&url, &body, Duration::from_secs(5)).await
    });
    if response.is_ok() {
        child.kill().expect("kill");
    }
    let status = child.wait().expect("status");
    assert!(response.is_err());
    assert_eq!(status.code(), Some(CRASH_EXIT));
}

/// Guards against a driver that fails to start a process without naming the reason and the directory of the logs.
#[test]
fn the_driver_reports_what_it_cannot_start() {
    let empty = tempfile::tempdir().expect("directory");
    let output = Command::new(env!("CARGO_BIN_EXE_orioleworks-local"))
        .arg("--bin-dir")
        .arg(empty.path())
        .env("TMPDIR", empty.path())
        .output()
        .expect("driver");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1));
    assert!(errors.contains("control-a: "), "{errors}");
    assert!(errors.contains("settings and logs: "), "{errors}");
}
