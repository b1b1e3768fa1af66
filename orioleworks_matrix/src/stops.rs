//! Cells of stop orders and of the graceful shutdown of an entry; see `docs/MATRIX-samples.md`.

use std::{
    cell::{Cell, RefCell},
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::future::{join, join_all};
use orioleworks_proto::inner::command::Kind as Order;
use orioleworks_standins::{
    announce::Announcement,
    client::Client,
    deployment::{Deployment, Kind},
    layout::args,
};
use rand::RngExt;
use serde_json::Value;

use crate::{
    cell::Verdict,
    traffic::{self, Call},
    verdicts::{self, CellId, text},
};

/// Time after an accepted stop from which the upstream must not get a new request (R7).
const STOP_BOUND: Duration = Duration::from_secs(3);
/// Time for which calls continue after the bound.
const TIME_AFTER_BOUND: Duration = Duration::from_secs(2);
/// Length of a long call in tokens; at 5 ms per token the call takes longer than the bound.
const LONG_CALL_TOKENS: u64 = 1200;
/// Length of a short call in tokens.
const SHORT_CALL_TOKENS: u64 = 8;

/// Fault during the stop order. In each cell, one entry of the upstream's domain is also partitioned from control.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No further fault.
    Partition,
    /// An announcement from before the stop arrives late at every entry of the domain.
    LateAnnouncement,
    /// The control leader is killed as soon as the order is accepted.
    LeaderKill,
}

/// Runs the cell of a stop order.
pub fn run(fault: Fault) {
    let column = match fault {
        Fault::Partition => "partition",
        Fault::LateAnnouncement => "partition+late_announcement",
        Fault::LeaderKill => "partition+leader_kill",
    };
    let cell_id = CellId::new("stops", "stop.accepted", column);
    verdicts::run(cell_id, |directory| stop(cell_id, fault, directory));
}

async fn stop(cell_id: CellId, fault: Fault, directory: PathBuf) -> Result<Verdict, String> {
    let mut rng = cell_id.rng();
    let mut options = verdicts::small_options(&directory, cell_id.seed)?;
    options.entries_per_domain = 2;
    options.engine_args = args(&[("token-us", "5000"), ("prefill-ms", "10")]);
    let deployment = Deployment::prepare(options).await.map_err(text)?;
    traffic::bring_up(&deployment, 2).await?;
    let domain = ["a", "b", "c"][rng.random_range(0..3)];
    let engine = format!("scorer-{domain}{}", rng.random_range(1..=2));
    let partitioned_entry = format!("entry-{domain}{}", rng.random_range(1..=2));
    let client = Client::new().map_err(text)?;
    let entries: Vec<String> = traffic::entries(&deployment)
        .into_iter()
        .filter(|(name, _)| name.starts_with(&format!("entry-{domain}")))
        .map(|(_, address)| address)
        .collect();
    let address = address_of(&deployment, &engine)?;
    deployment.nodes(Kind::Control).for_each(|(name, _)| deployment.cut(&partitioned_entry, name));

    // Long calls that are in flight on the upstream when it is stopped.
    let seed = cell_id.seed;
    let long =
        (0..8).map(|n| {
            let (client, entry) = (client.clone(), entries[n % 2].clone());
            async move {
                traffic::call(&client, &entry, &format!("long {n}"), LONG_CALL_TOKENS, seed).await
            }
        });
    let stopping = async {
        compio::time::sleep(Duration::from_millis(500)).await;
        let before = incarnation(&client, &address).await?;
        traffic::send_order(&deployment, "stop", Order::StopUpstream(engine.clone())).await?;
        let accepted = Instant::now();
        if fault == Fault::LeaderKill {
            let leader = verdicts::wait_for_leader(&deployment).await.ok_or("no control leader")?;
            deployment.kill(&leader).map_err(text)?;
        }
        let ended = Cell::new(false);
        let calls = RefCell::new(Vec::new());
        let traffic = async {
            while accepted.elapsed() < STOP_BOUND + TIME_AFTER_BOUND {
                let now =
                    entries.iter().enumerate().map(|(n, entry)| {
                        let prompt = format!("short {n} {}", calls.borrow().len());
                        let client = client.clone();
                        async move {
                            traffic::call(&client, entry, &prompt, SHORT_CALL_TOKENS, seed).await
                        }
                    });
                let responses = join_all(now).await;
                calls.borrow_mut().extend(responses);
            }
            ended.set(true);
        };
        let late = async {
            while fault == Fault::LateAnnouncement && !ended.get() {
                compio::time::sleep(Duration::from_millis(700)).await;
                announce_late(&client, &entries, &engine, &address, before).await;
            }
        };
        join(traffic, late).await;
        Ok::<_, String>((accepted, calls.into_inner()))
    };
    let (long, stopped) = join(join_all(long), stopping).await;
    let (accepted, calls) = stopped?;
    check_stop(&deployment, &client, &address, &engine, (accepted, &long, &calls)).await
}

async fn check_stop(
    deployment: &Deployment,
    client: &Client,
    address: &str,
    engine: &str,
    (accepted, long, calls): (Instant, &[Call], &[Call]),
) -> Result<Verdict, String> {
    let on_engine = |call: &&Call| call.upstream == engine;
    let late = calls.iter().filter(on_engine).filter(|c| c.sent >= accepted + STOP_BOUND).count();
    let failed_calls = calls.iter().chain(long).filter(|call| !call.is_good()).count();
    let running = long.iter().filter(on_engine).count();
    let state = state(client, address).await?;
    let late_starts = state["late_starts"].as_u64();
    if late > 0 || late_starts != Some(0) || failed_calls > 0 || state["leaving"] != true {
        return Err(format!(
            "late requests: {late}, late starts: {late_starts:?}, failed calls: {failed_calls}, {state}"
        ));
    }
    if running == 0 {
        return Ok(Verdict::NotRun("no long call ran on the stopped upstream".into()));
    }
    let last =
        calls.iter().filter(on_engine).map(|c| c.sent.saturating_duration_since(accepted)).max();
    let last = last.unwrap_or_default().as_millis();
    deployment.heal_all();
    Ok(Verdict::Passed(format!("finished_running={running} last_request_ms={last}")))
}

fn address_of(deployment: &Deployment, name: &str) -> Result<String, String> {
    let mut engines = deployment.nodes(Kind::Engine);
    let found = engines.find(|(engine, _)| *engine == name);
    found.map(|(_, node)| node.http.clone()).ok_or_else(|| format!("no engine {name}"))
}

async fn state(client: &Client, address: &str) -> Result<Value, String> {
    let url = format!("http://{address}/v1/state");
    let response = client.get(&url, Duration::from_secs(2)).await.map_err(text)?;
    response.json().map_err(text)
}

async fn incarnation(client: &Client, address: &str) -> Result<u64, String> {
    state(client, address).await?["incarnation"].as_u64().ok_or("no incarnation".into())
}

/// Repeats the announcement that the upstream sent before it was stopped.
async fn announce_late(
    client: &Client,
    entries: &[String],
    engine: &str,
    address: &str,
    incarnation: u64,
) {
    let announcement = Announcement {
        name: engine.into(),
        incarnation,
        kind: "scorer-llm".into(),
        model: "scorer".into(),
        address: address.into(),
        weight_version: 1,
        checks_fencing: true,
        engine: true,
        capacity: 16,
        ..Announcement::default()
    };
    for entry in entries {
        let url = format!("http://{entry}/v1/announce");
        drop(client.post(&url, &announcement, Duration::from_secs(1)).await);
    }
}

/// Runs the cell of a graceful shutdown: an entry receives SIGTERM under load from callers and a trainer.
pub fn run_shutdown() {
    let cell_id = CellId::new("shutdown", "entry.sigterm", "under_load");
    verdicts::run(cell_id, |directory| shutdown(cell_id, directory));
}

async fn shutdown(cell_id: CellId, directory: PathBuf) -> Result<Verdict, String> {
    let mut options = verdicts::small_options(&directory, cell_id.seed)?;
    options.engine_args = args(&[("token-us", "5000"), ("prefill-ms", "10")]);
    let mut deployment = Deployment::prepare(options).await.map_err(text)?;
    let mut entries = traffic::entries(&deployment);
    let first = cell_id.rng().random_range(0..entries.len());
    entries.rotate_left(first);
    let addresses: Vec<&str> = entries.iter().map(|(_, address)| address.as_str()).collect();
    let report = directory.join("report.json").display().to_string();
    let seed = cell_id.seed.to_string();
    let trainer_args = args(&[
        ("entries", &addresses.join(",")),
        ("weights", &deployment.addresses(Kind::Weights)),
        ("steps", "1"),
        ("groups", "16"),
        ("samples", "8"),
        ("max-tokens", "200"),
        ("seed", &seed),
        ("report", &report),
    ]);
    deployment.add_client("trainer", "standin-trainer", trainer_args);
    traffic::bring_up(&deployment, 2).await?;
    deployment.start("trainer").map_err(text)?;
    let (name, address) = &entries[0];
    let client = Client::new().map_err(text)?;
    let (failed_ready, calls) = (Cell::new(None), Rc::new(RefCell::new(Vec::new())));
    let began = Instant::now();
    // Callers behind a load balancer that removes the entry 300 ms after `/ready` starts to fail.
    let callers = (0..6).map(|n| {
        let (client, calls, failed_ready) = (client.clone(), calls.clone(), &failed_ready);
        async move {
            let keeps_calling =
                || failed_ready.get().is_none_or(|at: Instant| at.elapsed() < BALANCER_DELAY);
            let mut number = 0;
            while keeps_calling() && began.elapsed() < CALLERS_TIMEOUT {
                let prompt = format!("caller {n} {number}");
                let tokens = if n % 2 == 0 { 300 } else { SHORT_CALL_TOKENS };
                let call = traffic::call(&client, address, &prompt, tokens, cell_id.seed).await;
                calls.borrow_mut().push(call);
                number += 1;
            }
        }
    });
    let stopping = async {
        compio::time::sleep(Duration::from_millis(600)).await;
        deployment.stop(name).map_err(text)?;
        let signalled = Instant::now();
        let url = format!("http://{address}/ready");
        while signalled.elapsed() < CALLERS_TIMEOUT {
            let response = client.get(&url, Duration::from_secs(1)).await;
            match response {
                Ok(response) if response.status == 200 => {}
                Ok(_) => break,
                Err(e) => return Err(format!("connections fail before /ready reports it: {e}")),
            }
            compio::time::sleep(Duration::from_millis(5)).await;
        }
        failed_ready.set(Some(Instant::now()));
        let ready_ms = signalled.elapsed().as_millis();
        let code = deployment.wait_exit(name, Duration::from_secs(30)).await.map_err(text)?;
        Ok((ready_ms, code, signalled.elapsed()))
    };
    let (_, stopped) = join(join_all(callers), stopping).await;
    let (ready_ms, code, took) = stopped?;
    let trainer_code =
        deployment.wait_exit("trainer", Duration::from_secs(30)).await.map_err(text)?;
    let calls = calls.borrow();
    let failed: Vec<&Call> = calls.iter().filter(|call| !call.is_good()).collect();
    if code != Some(0) || trainer_code != Some(0) || !failed.is_empty() {
        return Err(format!(
            "exit code {code:?}, trainer {trainer_code:?}, failed calls: {failed:?}"
        ));
    }
    let report = std::fs::read(directory.join("report.json")).map_err(text)?;
    let report: orioleworks_standins::trainer::TrainerReport =
        serde_json::from_slice(&report).map_err(text)?;
    let findings = report.findings;
    let expected = orioleworks_standins::trainer::Findings { samples: 128, ..Default::default() };
    if findings != expected {
        return Err(format!("{findings:?}"));
    }
    let (took, opens) = (took.as_millis(), report.delivery.opens);
    Ok(Verdict::Passed(format!(
        "ready_failed_ms={ready_ms} ended_ms={took} calls={} opens={opens}",
        calls.len()
    )))
}

/// Time until a load balancer reacts to a failing `/ready`; shorter than the entry's grace period of 1 s.
const BALANCER_DELAY: Duration = Duration::from_millis(300);
/// Time limit of the callers and of the wait for `/ready` to fail.
const CALLERS_TIMEOUT: Duration = Duration::from_secs(10);
