//! Cells of the claims of non-idempotent requests: a fault at one step of a booking, then repeats of it.
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
    site::{Site, wait_for},
};

/// Protocol of these cells.
pub const PROTOCOL: &str = "claims";
const PROFILE: &str = "gate-slot";
/// Time for the first announcements of the services, which come every 500 ms.
const ANNOUNCED: Duration = Duration::from_millis(700);
/// Longest time from the call to its step.
const REACH_TIMEOUT: Duration = Duration::from_secs(3);
/// Longer than the 3 s after which control takes a silent entry for gone.
const PAUSE_MS: u64 = 3600;
/// Time at the step in which the test applies the second part of a fault.
const HOLD_MS: u64 = 400;
/// Time for which a fault without a pause of its own lasts.
const FAULT_TIME: Duration = Duration::from_millis(3600);
/// Interval of the repeats during a fault.
const REPEAT_PAUSE: Duration = Duration::from_millis(300);
/// Longest time from the end of the fault to a final answer of a repeat, and to the success of a new request.
const PROGRESS: Duration = Duration::from_secs(5);
/// Longest time from the start of a daemon until it is ready.
const RESTART: Duration = Duration::from_secs(8);

type Answers = Rc<RefCell<Vec<(String, crate::site::Reply)>>>;

struct Booking {
    site: Rc<Site>,
    key: String,
    body: String,
    answers: Answers,
}

impl Booking {
    /// Sends the request, first or again, and records the answer under a request ID of its own.
    async fn send(&self, entry: &str) -> crate::site::Reply {
        let tries = self.answers.borrow().len();
        let id = format!("try-{tries}-{entry}-{}", clock::unix_ms());
        let reply = self.site.call(entry, PROFILE, &id, Some(&self.key), &self.body).await;
        self.answers.borrow_mut().push((id, reply.clone()));
        reply
    }

    fn spawn(self: &Rc<Self>, entry: &str) -> JoinHandle<()> {
        let (booking, entry) = (self.clone(), entry.to_owned());
        runtime::spawn(async move {
            booking.send(&entry).await;
        })
    }
}

/// Places of a cell.
struct Places {
    victim: String,
    others: Vec<String>,
    /// Domain that is cut off beside the victim's fault.
    other_domain: String,
    /// Control replica that loses its disk.
    replica: String,
}

fn places(site: &Site, rng: &mut StdRng) -> Places {
    let mut entries = site.names(Kind::Entry);
    let victim = entries.remove(rng.random_range(0..entries.len()));
    let other_domain = site.domain(&entries[rng.random_range(0..entries.len())]);
    let controls = site.names(Kind::Control);
    let replica = controls[rng.random_range(0..controls.len())].clone();
    Places { victim, others: entries, other_domain, replica }
}

/// Runs one cell.
///
/// # Errors
///
/// Returns the invariant that was violated.
pub async fn run(cell: &Cell) -> Result<Verdict, String> {
    let mut rng = cell.rng();
    let shape = |o: &mut Options| o.service_kinds = vec!["booking-portal".into()];
    let site = match Site::start(cell.seed, shape).await {
        Ok(site) => site,
        Err(reason) => return Ok(Verdict::NotRun(reason)),
    };
    site.put_named(PROFILE).await?;
    let at = places(&site, &mut rng);
    sleep(ANNOUNCED).await;
    let booking = Rc::new(Booking {
        site: Rc::new(site),
        key: format!("{}-{:08x}", clock::unix_ms(), rng.random::<u32>()),
        body: json!({"slot": rng.random::<u32>()}).to_string(),
        answers: Answers::default(),
    });
    let outcome = disturb(cell, &booking, &at, &mut rng).await;
    let outcome = match outcome {
        Ok(None) => verify(cell, &booking, &at).await.map(Verdict::Passed),
        Ok(Some(reason)) => Ok(Verdict::NotRun(reason)),
        Err(reason) => Err(reason),
    };
    let answers = booking.answers.borrow().iter().map(|(_, r)| r.name.clone()).collect::<Vec<_>>();
    let kept = match (&outcome, Rc::try_unwrap(booking)) {
        (Err(_), Ok(booking)) => Rc::into_inner(booking.site).map(|mut site| site.keep()),
        _ => None,
    };
    outcome.map_err(|reason| format!("{reason}; answers {answers:?}; logs {kept:?}"))
}

/// Sends the request, applies the fault at the step and repeats the request meanwhile; a text says why there was no
/// fault.
async fn disturb(
    cell: &Cell,
    booking: &Rc<Booking>,
    at: &Places,
    rng: &mut StdRng,
) -> Result<Option<String>, String> {
    let site = &booking.site;
    let action = match cell.column {
        Column::Kill | Column::KillAndPartition => "panic".to_owned(),
        Column::Pause | Column::PauseAndKill => format!("sleep({PAUSE_MS})"),
        _ => format!("sleep({HOLD_MS})"),
    };
    let leader = site.leader().await?;
    site.arm(&at.victim, cell.row, &action)?;
    // The fail point is read from a file every 10 ms.
    sleep(Duration::from_millis(60)).await;
    let first = booking.spawn(&at.victim);
    if !site.reached(&at.victim, REACH_TIMEOUT).await {
        return Ok(Some("the step was not reached".into()));
    }
    let began = Instant::now();
    begin(cell, booking, at, &leader).await?;
    let first = if lost_to_caller(cell) {
        drop(first);
        None
    } else {
        Some(first)
    };
    let restart_after = Duration::from_millis(rng.random_range(300..1500));
    let mut restarted = false;
    while began.elapsed() < FAULT_TIME {
        for entry in &at.others {
            booking.send(entry).await;
        }
        if !restarted && began.elapsed() >= restart_after {
            restarted = true;
            match cell.column {
                Column::Kill => site.restart(&at.victim, DataDirectory::Same)?,
                Column::PauseAndKill => site.restart(&leader, DataDirectory::Same)?,
                _ => (),
            }
        }
        sleep(REPEAT_PAUSE).await;
    }
    end(cell, booking, at).await?;
    if let Some(first) = first {
        first.await.map_err(|_| "the first call panicked")?;
    }
    Ok(None)
}

/// Whether the lost response is the caller's own.
fn lost_to_caller(cell: &Cell) -> bool {
    cell.column == Column::LostResponse
        && matches!(cell.row, "claims.after_finish" | "dispatch.before_answer")
}

/// Second part of the fault, while the victim is held at the step or dead.
async fn begin(cell: &Cell, booking: &Booking, at: &Places, leader: &str) -> Result<(), String> {
    let site = &booking.site;
    match cell.column {
        Column::Kill | Column::Pause => Ok(()),
        Column::LostResponse => lose_response(cell, site, at).await,
        Column::LostDisk => site.restart(&at.replica, DataDirectory::Empty),
        Column::Partition => {
            site.deployment.cut_domain(&site.domain(&at.victim));
            Ok(())
        }
        Column::KillAndPartition => {
            site.deployment.cut_domain(&at.other_domain);
            Ok(())
        }
        Column::PauseAndKill => site.kill(leader),
    }
}

/// Loses the response to what the step sends next.
async fn lose_response(cell: &Cell, site: &Site, at: &Places) -> Result<(), String> {
    match cell.row {
        "claims.after_claim" | "dispatch.before_send" => {
            let services = site.names(Kind::Service);
            let own = services.iter().find(|s| site.domain(s) == site.domain(&at.victim));
            site.fault(own.ok_or("no service")?, &json!({"cut_answers": 1})).await
        }
        "claims.before_claim" | "dispatch.after_send" | "claims.before_finish" => {
            let controls = site.names(Kind::Control);
            site.deployment.hold_replies(controls.iter().map(String::as_str));
            sleep(Duration::from_millis(HOLD_MS + 300)).await;
            site.deployment.lose_replies(controls.iter().map(String::as_str));
            Ok(())
        }
        _ => Ok(()),
    }
}

async fn end(cell: &Cell, booking: &Booking, at: &Places) -> Result<(), String> {
    let site = &booking.site;
    site.deployment.heal_all();
    if cell.column == Column::KillAndPartition {
        site.restart(&at.victim, DataDirectory::Same)?;
    }
    for entry in site.names(Kind::Entry) {
        if !site.entry_ready(&entry, RESTART).await {
            return Err(format!("{entry} is not ready after the fault"));
        }
    }
    Ok(())
}

/// Checks the invariants after the fault; returns the figures of the cell.
async fn verify(cell: &Cell, booking: &Rc<Booking>, at: &Places) -> Result<String, String> {
    let mut finals = Vec::new();
    for entry in at.others.iter().chain([&at.victim]) {
        let mut last = None;
        let done = wait_for(PROGRESS, async || {
            let reply = booking.send(entry).await;
            let done = reply.is_ok() || reply.name == "outcome_unknown";
            last = Some(reply);
            done
        })
        .await;
        let last = last.map(|reply| reply.name).unwrap_or_default();
        if !done {
            return Err(format!("no final answer through {entry} after the fault: {last}"));
        }
        finals.push(last);
    }
    // The finish was confirmed before this step, so its answer is stored for good.
    if cell.row == "claims.after_finish" && finals.iter().any(|name| name != "ok") {
        return Err(format!("the stored answer is lost: {finals:?}"));
    }
    let progress = progress(booking).await?;
    // The records are read last, so that a late second run is seen.
    check(&booking.site.ran().await?, booking)?;
    let mut names: Vec<String> =
        booking.answers.borrow().iter().map(|(_, reply)| reply.name.clone()).collect();
    names.sort();
    names.dedup();
    Ok(format!("new_request_ms={} answers={}", progress.as_millis(), names.join(",")))
}

/// Sends a new request through each entry until it succeeds; returns the longest time.
async fn progress(booking: &Booking) -> Result<Duration, String> {
    let mut longest = Duration::ZERO;
    for (n, entry) in booking.site.names(Kind::Entry).iter().enumerate() {
        let started = Instant::now();
        let mut last = String::new();
        let mut tries = 0;
        let succeeded = wait_for(PROGRESS, async || {
            tries += 1;
            let key = format!("{}-new{n}x{tries}", clock::unix_ms());
            let id = format!("new-{n}-{tries}");
            let body = format!("{{\"new\": \"{n}-{tries}\"}}");
            last = booking.site.call(entry, PROFILE, &id, Some(&key), &body).await.name;
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

fn check(runs: &[Run], booking: &Booking) -> Result<(), String> {
    let own: Vec<&Run> = runs.iter().filter(|run| run.idempotency_key == booking.key).collect();
    if own.len() > 1 {
        return Err(format!("the request ran {} times: {own:?}", own.len()));
    }
    let answers = booking.answers.borrow();
    for (id, reply) in answers.iter() {
        let ran = runs.iter().any(|run| run.request_id.starts_with(&format!("{id}.")));
        if reply.not_run && ran {
            return Err(format!("{id} was answered {} and has run", reply.name));
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
        answers.iter().filter(|(_, r)| r.is_ok()).map(|(_, r)| &r.body).collect();
    bodies.dedup();
    if bodies.len() > 1 {
        return Err(format!("repeats got different answers: {bodies:?}"));
    }
    if !bodies.is_empty() && own.is_empty() {
        return Err("a request was answered that did not run".into());
    }
    Ok(())
}
