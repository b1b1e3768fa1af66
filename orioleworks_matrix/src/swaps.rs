//! Cells of weight orders; see `docs/MATRIX-samples.md`.

use std::{
    path::PathBuf,
    time::{Duration, Instant},
};

use orioleworks_standins::{
    client::Client,
    deployment::{DataDirectory, Deployment, Kind},
    layout::args,
    trainer::{Findings, TrainerReport},
};
use rand::RngExt;
use serde_json::{Value, json};

use crate::{
    cell::Verdict,
    traffic,
    verdicts::{self, CellId, text},
};

/// Time after the end of the fault within which every engine runs the desired version.
const CONVERGENCE_BOUND: Duration = Duration::from_secs(6);
/// Pause of a lease holder; longer than the lease (3 s) and the wait of its successor (4 s after the grant).
const PAUSE: Duration = Duration::from_millis(9000);
/// Time limit until the fault is injected.
const REACH_TIMEOUT: Duration = Duration::from_secs(8);
/// Samples that the trainer must receive: 2 steps of 8 groups of 4 samples.
const EXPECTED_SAMPLES: u64 = 2 * 8 * 4;

/// Fault during a swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault; the swap takes place while samples are streamed.
    MidStream,
    /// One engine fails two swaps.
    FailedSwap,
    /// One engine swaps late.
    LateSwap,
    /// One engine is killed during its swap and restarted on its old version.
    EngineRestart,
    /// The lease holder crashes at a step.
    HolderKill,
    /// The lease holder is suspended at a step until another entry has sent an order, then sends its old order.
    HolderPause,
}

/// Runs the cell of a fault; `row` is a fail point of the lease holder or the swap of an engine.
pub fn run(row: &'static str, fault: Fault, ignore_fencing: bool) {
    let column = match (fault, ignore_fencing) {
        (Fault::MidStream, _) => "none",
        (Fault::FailedSwap, _) => "failed_swap",
        (Fault::LateSwap, _) => "late_swap",
        (Fault::EngineRestart, _) => "engine_kill",
        (Fault::HolderKill, false) => "kill",
        (Fault::HolderKill, true) => "kill+ignored_fencing",
        (Fault::HolderPause, false) => "pause",
        (Fault::HolderPause, true) => "pause+ignored_fencing",
    };
    let cell_id = CellId::new("weights", row, column);
    verdicts::run(cell_id, |directory| cell(cell_id, fault, ignore_fencing, directory));
}

async fn cell(
    cell_id: CellId,
    fault: Fault,
    ignore_fencing: bool,
    directory: PathBuf,
) -> Result<Verdict, String> {
    let mut rng = cell_id.rng();
    let mut options = verdicts::small_options(&directory, cell_id.seed)?;
    options.domains.truncate(1);
    options.entries_per_domain = 2;
    options.engines_per_domain = 3;
    options.engine_args = args(&[("token-us", "12000")]);
    if ignore_fencing {
        options.engine_args.push("--ignore-fencing".into());
    }
    let mut deployment = Deployment::prepare(options).await.map_err(text)?;
    add_trainer(&mut deployment, &directory, cell_id.seed);
    traffic::bring_up(&deployment, 1).await?;
    let client = Client::new().map_err(text)?;
    let engine = format!("scorer-a{}", rng.random_range(1..=3));
    let holder = lease_holder(&deployment).await?;
    // The trainer starts at version 2, so samples of version 1 are exactly at the staleness bound until the swap.
    deployment.start("trainer").map_err(text)?;
    compio::time::sleep(Duration::from_millis(rng.random_range(100..300))).await;
    arm_fault(&deployment, &client, fault, cell_id.row, &engine, &holder).await?;
    publish(&client, &deployment, &holder, 2).await?;
    let mut desired = 2;
    let reached = match fault {
        Fault::HolderKill | Fault::HolderPause => {
            verdicts::wait_for(REACH_TIMEOUT, || deployment.fail_point_reached(&holder)).await
        }
        _ => true,
    };
    if !reached {
        return Ok(Verdict::NotRun(format!("{} was not reached", cell_id.row)));
    }
    match fault {
        Fault::MidStream | Fault::FailedSwap => {}
        // The swap of the late engine takes this much longer.
        Fault::LateSwap => compio::time::sleep(LATE_SWAP_DELAY).await,
        Fault::EngineRestart => {
            wait_pending(&deployment, &client, &engine).await?;
            deployment.restart(&engine, DataDirectory::Unchanged).map_err(text)?;
        }
        Fault::HolderKill => {
            deployment.disarm_fail_points(&holder).map_err(text)?;
            deployment.restart(&holder, DataDirectory::Unchanged).map_err(text)?;
            // The successor must wait until the lease of the crashed holder expires.
            compio::time::sleep(Duration::from_secs(if ignore_fencing { 4 } else { 3 })).await;
        }
        Fault::HolderPause => {
            // Another entry orders the next version during the pause, so the delayed order names an old version.
            desired = 3;
            let other = traffic::entries(&deployment).into_iter().find(|(name, _)| *name != holder);
            let (other, _) = other.ok_or("no other entry")?;
            publish(&client, &deployment, &other, desired).await?;
            compio::time::sleep(PAUSE).await;
        }
    }
    let ended = Instant::now();
    wait_converged(&deployment, &client, desired, ended).await?;
    let converged = ended.elapsed();
    if fault == Fault::HolderPause {
        let status = deliver_late_order(&deployment, &client, &engine).await?;
        if !ignore_fencing && status != 409 {
            return Err(format!("the engine responded to the late order with {status}"));
        }
        // The late order must not take effect permanently.
        compio::time::sleep(Duration::from_secs(1)).await;
        wait_converged(&deployment, &client, desired, Instant::now()).await?;
    }
    let mixed = check_trainer(&deployment, &directory).await?;
    if fault == Fault::MidStream && mixed == 0 {
        return Ok(Verdict::NotRun("no sample was streamed during the swap".into()));
    }
    Ok(Verdict::Passed(format!("converged_ms={} mixed_samples={mixed}", converged.as_millis())))
}

/// Delay of a late swap.
const LATE_SWAP_DELAY: Duration = Duration::from_secs(3);

fn add_trainer(deployment: &mut Deployment, directory: &std::path::Path, seed: u64) {
    let trainer_args = args(&[
        ("entries", &deployment.addresses(Kind::Entry)),
        ("weights", &deployment.addresses(Kind::Weights)),
        ("steps", "2"),
        ("groups", "8"),
        ("samples", "4"),
        ("max-tokens", "96"),
        ("first-version", "2"),
        ("max-staleness", "1"),
        ("seed", &seed.to_string()),
        ("step-deadline-ms", "30000"),
        ("report", &directory.join("report.json").display().to_string()),
    ]);
    deployment.add_client("trainer", "standin-trainer", trainer_args);
}

async fn arm_fault(
    deployment: &Deployment,
    client: &Client,
    fault: Fault,
    row: &str,
    engine: &str,
    holder: &str,
) -> Result<(), String> {
    let engine_fault = match fault {
        Fault::FailedSwap => json!({"fail_swaps": 2}),
        Fault::LateSwap => json!({"late_swap_ms": LATE_SWAP_DELAY.as_millis() as u64}),
        Fault::EngineRestart => json!({"late_swap_ms": 1000}),
        Fault::HolderKill => return deployment.arm_fail_point(holder, row, "panic").map_err(text),
        Fault::HolderPause => {
            let action = format!("sleep({})", PAUSE.as_millis());
            return deployment.arm_fail_point(holder, row, &action).map_err(text);
        }
        Fault::MidStream => return Ok(()),
    };
    let url = format!("http://{}/fault", address(deployment, engine)?);
    client.post(&url, &engine_fault, Duration::from_secs(2)).await.map(|_| ()).map_err(text)
}

fn address(deployment: &Deployment, name: &str) -> Result<String, String> {
    let found = [Kind::Engine, Kind::Entry]
        .into_iter()
        .flat_map(|kind| deployment.nodes(kind))
        .find(|(node, _)| *node == name);
    found.map(|(_, node)| node.http.clone()).ok_or_else(|| format!("no process {name}"))
}

/// Entry that holds the order lease.
async fn lease_holder(deployment: &Deployment) -> Result<String, String> {
    let control = deployment.control_client();
    for _ in 0..100 {
        let status = control.status(0, false, Duration::from_millis(500)).await.map_err(text)?;
        if let Some(lease) = status.order_leases.first() {
            return Ok(lease.entry.clone());
        }
        compio::time::sleep(Duration::from_millis(50)).await;
    }
    Err("no order lease".into())
}

async fn publish(
    client: &Client,
    deployment: &Deployment,
    entry: &str,
    version: u64,
) -> Result<(), String> {
    let store = deployment.addresses(Kind::Weights);
    let url = format!("http://{store}/v1/models/scorer/versions/{version}");
    let put = client.send(http::Method::PUT, &url, &[], "", Duration::from_secs(2)).await;
    put.map_err(text)?;
    let url = format!("http://{}/v1/models/scorer/versions", address(deployment, entry)?);
    let body = json!({"version": version, "order_id": order_id(version)});
    let response = client.post(&url, &body, Duration::from_secs(6)).await.map_err(text)?;
    match response.status {
        200 => Ok(()),
        status => Err(format!("publication refused: {status}")),
    }
}

/// Returns the order ID that the trainer uses, so that its publication of the same version gets the same result.
fn order_id(version: u64) -> String {
    format!("run-scorer-{version}")
}

/// Sends a delayed order of the former lease holder; an engine that checks fencing refuses it.
async fn deliver_late_order(
    deployment: &Deployment,
    client: &Client,
    engine: &str,
) -> Result<u16, String> {
    let url = format!("http://{}/v1/weights", address(deployment, engine)?);
    let fencing = json!({"epoch": 0, "sequence": 1});
    let order = json!({"version": 2, "phase": "activate", "fencing": fencing});
    let response = client.post(&url, &order, Duration::from_secs(2)).await.map_err(text)?;
    Ok(response.status)
}

async fn engine_versions(deployment: &Deployment, client: &Client) -> Vec<(String, u64)> {
    let mut versions = Vec::new();
    for (name, node) in deployment.nodes(Kind::Engine) {
        let url = format!("http://{}/v1/weights", node.http);
        let response = client.get(&url, Duration::from_millis(500)).await;
        let body: Option<Value> = response.ok().and_then(|response| response.json().ok());
        let version = body.and_then(|body| body["version"].as_u64());
        versions.push((name.to_owned(), version.unwrap_or(0)));
    }
    versions
}

/// Waits until the engine has prefetched a version that is not yet active.
async fn wait_pending(
    deployment: &Deployment,
    client: &Client,
    engine: &str,
) -> Result<(), String> {
    let url = format!("http://{}/v1/weights", address(deployment, engine)?);
    let until = Instant::now() + REACH_TIMEOUT;
    while Instant::now() < until {
        let response = client.get(&url, Duration::from_millis(500)).await.map_err(text)?;
        let body: Value = response.json().map_err(text)?;
        if body["prefetched"].as_u64() > body["version"].as_u64() {
            // Activation follows immediately; the swap takes 1.2 s under the fault.
            compio::time::sleep(Duration::from_millis(400)).await;
            return Ok(());
        }
        compio::time::sleep(Duration::from_millis(10)).await;
    }
    Err("the engine did not prefetch".into())
}

/// Waits until every engine runs at least the desired version; the trainer may have published a later one.
async fn wait_converged(
    deployment: &Deployment,
    client: &Client,
    desired: u64,
    since: Instant,
) -> Result<(), String> {
    loop {
        let versions = engine_versions(deployment, client).await;
        if versions.iter().all(|(_, version)| *version >= desired) {
            return Ok(());
        }
        if since.elapsed() > CONVERGENCE_BOUND {
            return Err(format!(
                "engines not on version {desired} within {CONVERGENCE_BOUND:?}: {versions:?}"
            ));
        }
        compio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn check_trainer(
    deployment: &Deployment,
    directory: &std::path::Path,
) -> Result<u64, String> {
    let code = deployment.wait_exit("trainer", Duration::from_secs(25)).await.map_err(text)?;
    let report =
        std::fs::read(directory.join("report.json")).map_err(|e| format!("report: {e}"))?;
    let report: TrainerReport = serde_json::from_slice(&report).map_err(text)?;
    let expected = Findings { samples: EXPECTED_SAMPLES, ..Findings::default() };
    match code == Some(0) && report.findings == expected {
        true => Ok(report.mixed),
        false => Err(format!("exit {code:?}, {:?}, {:?}", report.findings, report.failures)),
    }
}
