//! Cells of the claims of non-idempotent requests: a fault at one step of a booking, then retries of the booking.
//!
//! See `docs/design.md`, section 7.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::{
    runtime::{self, JoinHandle},
    time::sleep,
};
use orioleworks_daemon::clock;
use orioleworks_standins::{
    deployment::{DataDirectory, Kind, Options},
    service::Run,
};
use rand::{RngExt, rngs::StdRng};
use serde_json::json;

use crate::{
    cell::{Cell, Column, Verdict},
    cluster::{Cluster, wait_for},
};

/// Protocol of these cells.
pub const PROTOCOL: &str = "claims";
const PROFILE: &str = "gate-slot";
/// Time for the first announcements of the services, which are sent every 500 ms.
const ANNOUNCEMENT_WAIT: Duration = Duration::from_millis(700);
/// Time limit from the call until the step is reached.
const REACH_TIMEOUT: Duration = Duration::from_secs(3);
/// Duration of a pause; longer than the 3 s after which control treats a silent entry as removed.
const PAUSE_MS: u64 = 3600;
/// Time for which the process waits at the step while the test injects the second part of the fault.
const HOLD_MS: u64 = 400;
/// Duration of a fault that is not a pause.
const FAULT_TIME: Duration = Duration::from_millis(3600);
/// Interval between two retries during a fault.
const REPEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Bound on the time from the end of the fault to a final response to a retry, and to the success of a new request.
const PROGRESS_BOUND: Duration = Duration::from_secs(5);
/// Time limit from the start of a daemon until it is ready.
const RESTART_TIMEOUT: Duration = Duration::from_secs(8);

type Responses = Rc<RefCell<Vec<(String, crate::cluster::Reply)>>>;

struct Booking {
    cluster: Rc<Cluster>,
    key: String,
    body: String,
    responses: Responses,
}

impl Booking {
    /// Sends the request and records the response; each attempt has its own request ID.
    async fn send(&self, entry: &str) -> crate::cluster::Reply {
        let attempts = self.responses.borrow().len();
        let id = format!("try-{attempts}-{entry}-{}", clock::unix_ms());
        let reply = self.cluster.call(entry, PROFILE, &id, Some(&self.key), &self.body).await;
        self.responses.borrow_mut().push((id, reply.clone()));
        reply
    }

    fn spawn(self: &Rc<Self>, entry: &str) -> JoinHandle<()> {
        let (booking, entry) = (self.clone(), entry.to_owned());
        runtime::spawn(async move {
            booking.send(&entry).await;
        })
    }
}

/// Processes and domains that the fault of a cell affects.
struct Targets {
    victim: String,
    others: Vec<String>,
    /// Domain that is partitioned in addition to the victim's fault.
    other_domain: String,
    /// Control replica that loses its disk.
    replica: String,
}

fn choose_targets(cluster: &Cluster, rng: &mut StdRng) -> Targets {
    let mut entries = cluster.names(Kind::Entry);
    let victim = entries.remove(rng.random_range(0..entries.len()));
    let other_domain = cluster.domain(&entries[rng.random_range(0..entries.len())]);
    let controls = cluster.names(Kind::Control);
    let replica = controls[rng.random_range(0..controls.len())].clone();
    Targets { victim, others: entries, other_domain, replica }
}

/// Runs one cell.
///
/// # Errors
///
/// Returns the invariant that was violated.
pub async fn run(cell: &Cell) -> Result<Verdict, String> {
    let mut rng = cell.rng();
    let adjust = |o: &mut Options| o.service_kinds = vec!["booking-portal".into()];
    let cluster = match Cluster::start(cell.seed, adjust).await {
        Ok(cluster) => cluster,
        Err(reason) => return Ok(Verdict::NotRun(reason)),
    };
    cluster.put_scenario_profile(PROFILE).await?;
    let targets = choose_targets(&cluster, &mut rng);
    sleep(ANNOUNCEMENT_WAIT).await;
    let booking = Rc::new(Booking {
        cluster: Rc::new(cluster),
        key: format!("{}-{:08x}", clock::unix_ms(), rng.random::<u32>()),
        body: json!({"slot": rng.random::<u32>()}).to_string(),
        responses: Responses::default(),
    });
    let outcome = inject_fault(cell, &booking, &targets, &mut rng).await;
    let outcome = match outcome {
        Ok(None) => verify(cell, &booking, &targets).await.map(Verdict::Passed),
        Ok(Some(reason)) => Ok(Verdict::NotRun(reason)),
        Err(reason) => Err(reason),
    };
    let responses =
        booking.responses.borrow().iter().map(|(_, r)| r.name.clone()).collect::<Vec<_>>();
    let log_dir = match (&outcome, Rc::try_unwrap(booking)) {
        (Err(_), Ok(booking)) => {
            Rc::into_inner(booking.cluster).map(|mut cluster| cluster.keep_directory())
        }
        _ => None,
    };
    outcome.map_err(|reason| format!("{reason}; responses {responses:?}; logs {log_dir:?}"))
}

/// Sends the request, injects the fault at the step and retries the request during the fault. Returns why no fault was
/// injected, if so.
async fn inject_fault(
    cell: &Cell,
    booking: &Rc<Booking>,
    targets: &Targets,
    rng: &mut StdRng,
) -> Result<Option<String>, String> {
    let cluster = &booking.cluster;
    let action = match cell.column {
        Column::Kill | Column::KillAndPartition => "panic".to_owned(),
        Column::Pause | Column::PauseAndKill => format!("sleep({PAUSE_MS})"),
        _ => format!("sleep({HOLD_MS})"),
    };
    let leader = cluster.leader().await?;
    cluster.arm(&targets.victim, cell.row, &action)?;
    // The fail point is read from a file every 10 ms.
    sleep(Duration::from_millis(60)).await;
    let first = booking.spawn(&targets.victim);
    if !cluster.wait_reached(&targets.victim, REACH_TIMEOUT).await {
        return Ok(Some("the step was not reached".into()));
    }
    let began = Instant::now();
    begin_fault(cell, booking, targets, &leader).await?;
    let first = if lost_to_caller(cell) {
        drop(first);
        None
    } else {
        Some(first)
    };
    let restart_after = Duration::from_millis(rng.random_range(300..1500));
    let mut restarted = false;
    while began.elapsed() < FAULT_TIME {
        for entry in &targets.others {
            booking.send(entry).await;
        }
        if !restarted && began.elapsed() >= restart_after {
            restarted = true;
            match cell.column {
                Column::Kill => cluster.restart(&targets.victim, DataDirectory::Unchanged)?,
                Column::PauseAndKill => cluster.restart(&leader, DataDirectory::Unchanged)?,
                _ => (),
            }
        }
        sleep(REPEAT_INTERVAL).await;
    }
    end_fault(cell, booking, targets).await?;
    if let Some(first) = first {
        first.await.map_err(|_| "the first call panicked")?;
    }
    Ok(None)
}

/// Whether the lost response is the one to the caller.
fn lost_to_caller(cell: &Cell) -> bool {
    cell.column == Column::LostResponse
        && matches!(cell.row, "claims.after_finish" | "dispatch.before_answer")
}

/// Injects the second part of the fault, while the victim is suspended at the step or has crashed.
async fn begin_fault(
    cell: &Cell,
    booking: &Booking,
    targets: &Targets,
    leader: &str,
) -> Result<(), String> {
    let cluster = &booking.cluster;
    match cell.column {
        Column::Kill | Column::Pause => Ok(()),
        Column::LostResponse => lose_response(cell, cluster, targets).await,
        Column::LostDisk => cluster.restart(&targets.replica, DataDirectory::Empty),
        Column::Partition => {
            cluster.deployment.cut_domain(&cluster.domain(&targets.victim));
            Ok(())
        }
        Column::KillAndPartition => {
            cluster.deployment.cut_domain(&targets.other_domain);
            Ok(())
        }
        Column::PauseAndKill => cluster.kill(leader),
    }
}

/// Drops the response to the next message of the step.
async fn lose_response(cell: &Cell, cluster: &Cluster, targets: &Targets) -> Result<(), String> {
    match cell.row {
        "claims.after_claim" | "dispatch.before_send" => {
            let services = cluster.names(Kind::Service);
            let own =
                services.iter().find(|s| cluster.domain(s) == cluster.domain(&targets.victim));
            cluster.set_faults(own.ok_or("no service")?, &json!({"cut_answers": 1})).await
        }
        "claims.before_claim" | "dispatch.after_send" | "claims.before_finish" => {
            let controls = cluster.names(Kind::Control);
            cluster.deployment.hold_replies(controls.iter().map(String::as_str));
            sleep(Duration::from_millis(HOLD_MS + 300)).await;
            cluster.deployment.lose_replies(controls.iter().map(String::as_str));
            Ok(())
        }
        _ => Ok(()),
    }
}

async fn end_fault(cell: &Cell, booking: &Booking, targets: &Targets) -> Result<(), String> {
    let cluster = &booking.cluster;
    cluster.deployment.heal_all();
    if cell.column == Column::KillAndPartition {
        cluster.restart(&targets.victim, DataDirectory::Unchanged)?;
    }
    for entry in cluster.names(Kind::Entry) {
        if !cluster.wait_entry_ready(&entry, RESTART_TIMEOUT).await {
            return Err(format!("{entry} is not ready after the fault"));
        }
    }
    Ok(())
}

/// Checks the invariants after the fault; returns the figures of the cell.
async fn verify(cell: &Cell, booking: &Rc<Booking>, targets: &Targets) -> Result<String, String> {
    let mut final_names = Vec::new();
    for entry in targets.others.iter().chain([&targets.victim]) {
        let mut last = None;
        let done = wait_for(PROGRESS_BOUND, async || {
            let reply = booking.send(entry).await;
            let done = reply.is_ok() || reply.name == "outcome_unknown";
            last = Some(reply);
            done
        })
        .await;
        let last = last.map(|reply| reply.name).unwrap_or_default();
        if !done {
            return Err(format!("no final response through {entry} after the fault: {last}"));
        }
        final_names.push(last);
    }
    // The finish was committed before this step, so the response is stored durably.
    if cell.row == "claims.after_finish" && final_names.iter().any(|name| name != "ok") {
        return Err(format!("the stored response is lost: {final_names:?}"));
    }
    let progress = check_progress(booking).await?;
    // The records are read last, to detect a late second execution.
    check_invariants(&booking.cluster.executed_requests().await?, booking)?;
    let mut names: Vec<String> =
        booking.responses.borrow().iter().map(|(_, reply)| reply.name.clone()).collect();
    names.sort();
    names.dedup();
    Ok(format!("new_request_ms={} answers={}", progress.as_millis(), names.join(",")))
}

/// Sends a new request through each entry until it succeeds; returns the longest time.
async fn check_progress(booking: &Booking) -> Result<Duration, String> {
    let mut longest = Duration::ZERO;
    for (n, entry) in booking.cluster.names(Kind::Entry).iter().enumerate() {
        let started = Instant::now();
        let mut last = String::new();
        let mut attempts = 0;
        let succeeded = wait_for(PROGRESS_BOUND, async || {
            attempts += 1;
            let key = format!("{}-new{n}x{attempts}", clock::unix_ms());
            let id = format!("new-{n}-{attempts}");
            let body = format!("{{\"new\": \"{n}-{attempts}\"}}");
            last = booking.cluster.call(entry, PROFILE, &id, Some(&key), &body).await.name;
            last == "ok"
        })
        .await;
        if !succeeded {
            return Err(format!("no new request succeeds through {entry}: {last}"));
        }
        longest = longest.max(started.elapsed());
    }
    Ok(longest)
}

fn check_invariants(runs: &[Run], booking: &Booking) -> Result<(), String> {
    let own: Vec<&Run> = runs.iter().filter(|run| run.idempotency_key == booking.key).collect();
    if own.len() > 1 {
        return Err(format!("the request ran {} times: {own:?}", own.len()));
    }
    let responses = booking.responses.borrow();
    for (id, reply) in responses.iter() {
        let ran = runs.iter().any(|run| run.request_id.starts_with(&format!("{id}.")));
        if reply.not_run && ran {
            return Err(format!("{id} got {} although it ran", reply.name));
        }
        let allowed = reply.is_ok()
            || reply.not_run
            || reply.status == 0
            || matches!(&*reply.name, "in_progress" | "outcome_unknown" | "deadline_exceeded");
        if !allowed {
            return Err(format!("{id} got {} {}", reply.status, reply.name));
        }
    }
    let mut bodies: Vec<&Bytes> =
        responses.iter().filter(|(_, r)| r.is_ok()).map(|(_, r)| &r.body).collect();
    bodies.dedup();
    if bodies.len() > 1 {
        return Err(format!("retries got different responses: {bodies:?}"));
    }
    if !bodies.is_empty() && own.is_empty() {
        return Err("a request that did not run got a successful response".into());
    }
    Ok(())
}
