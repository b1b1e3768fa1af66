//! Cells of requests that crash every upstream that runs them; see `docs/MATRIX-samples.md`.

use std::{
    cell::RefCell,
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use orioleworks_proto::codes::ResultCode;
use orioleworks_standins::{
    client::Client,
    deployment::{DataDirectory, Deployment, Kind},
    layout::args,
};
use rand::{RngExt, rngs::StdRng};

use crate::{
    cell::Verdict,
    traffic::{self, Call},
    verdicts::{self, CellId, text},
};

/// Content that crashes an engine.
const CRASH_MARKER: &str = "crash-this-engine";
/// Engines in each failure domain, as many as in the consortium deployment.
const ENGINES: usize = 4;
/// Upstreams that one request may crash.
const MAX_CRASHED_UPSTREAMS: usize = 2;
/// Time limit of an immediate refusal.
const IMMEDIATE_BOUND: Duration = Duration::from_millis(500);
/// Time within which every entry knows of a quarantine.
const QUARANTINE_SPREAD_BOUND: Duration = Duration::from_secs(2);
/// Time limit until the request is refused permanently.
const REPEAT_TIMEOUT: Duration = Duration::from_secs(20);

/// How the caller retries its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Caller {
    /// Through one entry, each time after the response.
    OneEntry,
    /// Through the entries in turn, each time after the response.
    EachEntryInTurn,
    /// Through all entries of one failure domain in parallel.
    WholeDomainAtOnce,
    /// Through all entries of all failure domains in parallel.
    AllEntriesAtOnce,
}

/// Fault in addition to the engine crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No further fault.
    None,
    /// The first entry is killed and restarted after the first crash.
    EntryKill,
    /// The control leader is suspended for 4 s after the first crash.
    LeaderPause,
}

/// Runs the cell of a retry pattern and a fault.
pub fn run(caller: Caller, fault: Fault) {
    let row = match caller {
        Caller::OneEntry => "repeat.one_entry",
        Caller::EachEntryInTurn => "repeat.each_entry_in_turn",
        Caller::WholeDomainAtOnce => "repeat.whole_domain_at_once",
        Caller::AllEntriesAtOnce => "repeat.all_entries_at_once",
    };
    let column = match fault {
        Fault::None => "engine_crash",
        Fault::EntryKill => "engine_crash+kill",
        Fault::LeaderPause => "engine_crash+leader_pause",
    };
    let cell_id = CellId::new("poison", row, column);
    verdicts::run(cell_id, |directory| poison(cell_id, caller, fault, directory));
}

/// Runs the cell in which all engines of a failure domain are killed with harmless requests in flight.
pub fn run_domain_loss() {
    let cell_id = CellId::new("poison", "innocent_in_flight", "domain_loss");
    verdicts::run(cell_id, |directory| domain_loss(cell_id, directory));
}

async fn start(cell_id: CellId, directory: PathBuf) -> Result<Deployment, String> {
    let mut options = verdicts::small_options(&directory, cell_id.seed)?;
    options.engines_per_domain = ENGINES;
    options.entries_per_domain = 2;
    let faults = format!(r#"{{"crash_marker": "{CRASH_MARKER}"}}"#);
    options.engine_args = args(&[("fault", &faults), ("prefill-ms", "100")]);
    let deployment = Deployment::prepare(options).await.map_err(text)?;
    traffic::bring_up(&deployment, 2).await?;
    Ok(deployment)
}

fn crashed_engines(deployment: &Deployment) -> Vec<String> {
    let engines = deployment.nodes(Kind::Engine).map(|(name, _)| name);
    engines.filter(|name| !deployment.running(name)).map(String::from).collect()
}

async fn poison(
    cell_id: CellId,
    caller: Caller,
    fault: Fault,
    directory: PathBuf,
) -> Result<Verdict, String> {
    let mut rng = cell_id.rng();
    let deployment = start(cell_id, directory).await?;
    let entries = order_entries(&deployment, caller, &mut rng);
    let client = Client::new().map_err(text)?;
    let prompt = format!("{CRASH_MARKER} {}", cell_id.seed);
    let refused = Rc::new(RefCell::new(Vec::new()));
    let started = Instant::now();
    let repeating = async {
        let mut turn = 0;
        while started.elapsed() < REPEAT_TIMEOUT && refused.borrow().is_empty() {
            let in_parallel =
                matches!(caller, Caller::WholeDomainAtOnce | Caller::AllEntriesAtOnce);
            let targets = match in_parallel {
                true => entries.as_slice(),
                false => std::slice::from_ref(&entries[turn % entries.len()]),
            };
            let calls =
                targets.iter().map(|(_, entry)| traffic::call(&client, entry, &prompt, 8, 0));
            let responses = join_all(calls).await;
            let quarantined = responses.into_iter().filter(|c| c.has(ResultCode::Quarantined));
            refused.borrow_mut().extend(quarantined);
            turn += 1;
            // The caller retries immediately; this pause only avoids a busy loop while an entry is down.
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let disturbing = inject_fault(&deployment, fault, &entries[0].0);
    let ((), disturbed) = futures_util::future::join(repeating, disturbing).await;
    disturbed?;
    let until_refused = started.elapsed();
    if refused.borrow().is_empty() {
        let crashed = crashed_engines(&deployment);
        return Err(format!("never refused permanently; crashed upstreams: {crashed:?}"));
    }
    compio::time::sleep(QUARANTINE_SPREAD_BOUND).await;
    let mut not_refused = Vec::new();
    for (name, entry) in traffic::entries(&deployment) {
        for _ in 0..3 {
            let call = traffic::call(&client, &entry, &prompt, 8, 0).await;
            if !call.has(ResultCode::Quarantined) || call.took > IMMEDIATE_BOUND {
                not_refused.push(format!("{name}: {} after {:?}", call.reason, call.took));
            }
        }
    }
    let crashed = crashed_engines(&deployment);
    if crashed.len() > MAX_CRASHED_UPSTREAMS || !not_refused.is_empty() {
        return Err(format!(
            "crashed upstreams: {crashed:?}; not refused immediately: {not_refused:?}"
        ));
    }
    Ok(Verdict::Passed(format!(
        "lost={} refused_after_ms={}",
        crashed.len(),
        until_refused.as_millis()
    )))
}

/// Returns the entries through which the caller sends its request.
fn order_entries(
    deployment: &Deployment,
    caller: Caller,
    rng: &mut StdRng,
) -> Vec<(String, String)> {
    let mut entries = traffic::entries(deployment);
    let first = rng.random_range(0..entries.len());
    entries.rotate_left(first);
    let domain = |name: &str| name.chars().rev().nth(1);
    let own = domain(&entries[0].0);
    match caller {
        Caller::OneEntry => entries.truncate(1),
        Caller::WholeDomainAtOnce => entries.retain(|(name, _)| domain(name) == own),
        Caller::EachEntryInTurn | Caller::AllEntriesAtOnce => {}
    }
    entries
}

async fn inject_fault(deployment: &Deployment, fault: Fault, entry: &str) -> Result<(), String> {
    if fault == Fault::None {
        return Ok(());
    }
    if !verdicts::wait_for(REPEAT_TIMEOUT, || !crashed_engines(deployment).is_empty()).await {
        return Err("no upstream crashed".into());
    }
    match fault {
        Fault::None => Ok(()),
        Fault::EntryKill => {
            // The entry has detected the crash, and the request may not run again yet.
            compio::time::sleep(Duration::from_millis(300)).await;
            deployment.restart(entry, DataDirectory::Unchanged).map_err(text)
        }
        Fault::LeaderPause => {
            let leader = verdicts::wait_for_leader(deployment).await.ok_or("no control leader")?;
            deployment.pause(&leader).map_err(text)?;
            compio::time::sleep(Duration::from_secs(4)).await;
            deployment.resume(&leader).map_err(text)
        }
    }
}

async fn domain_loss(cell_id: CellId, directory: PathBuf) -> Result<Verdict, String> {
    const CALLS: usize = 12;
    let deployment = start(cell_id, directory).await?;
    let domain = ["a", "b", "c"][cell_id.rng().random_range(0..3)];
    let own = |name: &str| name.chars().rev().nth(1).is_some_and(|c| domain.starts_with(c));
    let entries: Vec<String> =
        traffic::entries(&deployment).into_iter().filter(|(n, _)| own(n)).map(|(_, a)| a).collect();
    let client = Client::new().map_err(text)?;
    let prompt = |number: usize| format!("innocent {number}");
    let seed = cell_id.seed;
    // Each call takes longer than the time until the engines are killed, so every request is in flight then.
    let first = (0..CALLS).map(|n| {
        let (client, entry) = (client.clone(), entries[n % entries.len()].clone());
        async move { traffic::call(&client, &entry, &prompt(n), 200, seed).await }
    });
    let killing = async {
        compio::time::sleep(Duration::from_millis(350)).await;
        let engines = deployment.nodes(Kind::Engine).map(|(name, _)| name).filter(|n| own(n));
        engines.map(|name| deployment.kill(name).map_err(text)).collect::<Result<Vec<()>, _>>()
    };
    let (first, killed) = futures_util::future::join(join_all(first), killing).await;
    if killed?.len() != ENGINES {
        return Ok(Verdict::NotRun("not every engine was killed".into()));
    }
    let mut refused: Vec<Call> =
        first.into_iter().filter(|c| c.has(ResultCode::Quarantined)).collect();
    let repeats = (0..CALLS).flat_map(|n| entries.iter().map(move |entry| (n, entry.clone())));
    let repeats = join_all(repeats.map(|(n, entry)| {
        let client = client.clone();
        async move { traffic::call(&client, &entry, &prompt(n), 200, seed).await }
    }));
    let repeats = repeats.await;
    let good = repeats.iter().filter(|call| call.is_good()).count();
    refused.extend(repeats.into_iter().filter(|call| call.has(ResultCode::Quarantined)));
    if !refused.is_empty() || good != CALLS * entries.len() {
        let wanted = CALLS * entries.len();
        return Err(format!(
            "{} harmless requests refused; {good} of {wanted} retries completed",
            refused.len()
        ));
    }
    Ok(Verdict::Passed(format!("repeats={good}")))
}
