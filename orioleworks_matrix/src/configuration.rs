//! Cells of configuration distribution: a fault at one step while operators keep changing the configuration.
//!
//! See `docs/design.md`, section 5.

use std::{
    cell::{Cell as StdCell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use compio::{runtime, time::sleep};
use orioleworks_daemon::clock;
use orioleworks_proto::inner;
use orioleworks_standins::deployment::{DataDirectory, Kind, Options};
use rand::{RngExt, rngs::StdRng};

use crate::{
    cell::{Cell, Column, Verdict},
    cluster::{Cluster, text, wait_for},
};

/// Protocol of these cells.
pub const PROTOCOL: &str = "configuration";
/// The only step of a control replica; the others are steps of an entry.
const CONTROL_STEP: &str = "config.before_watch_reply";
/// Bound on the time from acceptance of a change until it is in force on every reachable entry.
const IN_FORCE_BOUND: Duration = Duration::from_secs(9);
/// Time limit until the step is reached.
const REACH_TIMEOUT: Duration = Duration::from_secs(8);
/// Duration of a pause at the step.
const PAUSE_MS: u64 = 2500;
/// Time for which the process waits at the step while the test injects the second part of the fault.
const HOLD_MS: u64 = 300;
/// Duration of a partition; longer than the 3 s after which a claim without a quorum is abandoned.
const PARTITION_TIME: Duration = Duration::from_millis(4500);
/// Interval between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between two checks of an entry's behaviour.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// Time for the first announcements of the services, which are sent every 500 ms.
const ANNOUNCEMENT_WAIT: Duration = Duration::from_millis(700);
/// Time limit from the start of an entry until it is ready.
const RESTART_TIMEOUT: Duration = Duration::from_secs(8);

/// Configuration in force on one entry, derived from its responses.
struct WatchedEntry {
    entry: String,
    /// Number of the last change that the entry serves.
    served_change: StdCell<usize>,
    /// Set while the entry or its links are faulty; the bound does not apply then.
    faulty: StdCell<bool>,
}

/// State of one cell: the accepted changes and the observed entries.
struct CellState {
    cluster: Rc<Cluster>,
    watched: Vec<WatchedEntry>,
    /// Acceptance time of each change; change n puts the profile `change-<n>`.
    accepted: RefCell<Vec<Instant>>,
    slowest: StdCell<Duration>,
    violation: RefCell<Option<String>>,
    stopping: StdCell<bool>,
}

impl CellState {
    async fn change(&self) -> Result<(), String> {
        let number = self.accepted.borrow().len() + 1;
        let name = format!("change-{number}");
        let profile = inner::Profile {
            name: name.clone(),
            upstream_kind: "sheet-app".into(),
            class: inner::Class::Lookup.into(),
            idempotent: true,
            deadline_ms: 3000,
            share: 1,
            ..inner::Profile::default()
        };
        self.cluster.put_profile(&name, profile).await?;
        self.accepted.borrow_mut().push(Instant::now());
        Ok(())
    }

    fn watched(&self, entry: &str) -> Option<&WatchedEntry> {
        self.watched.iter().find(|watched| watched.entry == entry)
    }

    fn set_faulty(&self, domain: &str, faulty: bool) {
        let inside = |w: &&WatchedEntry| self.cluster.domain(&w.entry) == domain;
        self.watched.iter().filter(inside).for_each(|w| w.faulty.set(faulty));
    }

    /// Whether an entry serves a change; `None` without a usable response.
    async fn serves(&self, entry: &str, change: usize) -> Option<bool> {
        let profile = format!("change-{change}");
        let reply = self.cluster.call(entry, &profile, "look", None, "{}").await;
        match &*reply.name {
            "unknown_profile" => Some(false),
            "broken" | "timeout" | "not_ready" => None,
            _ => Some(true),
        }
    }

    /// Polls one entry until the cell ends; records a change that it no longer serves as a violation.
    async fn watch_entry(&self, watched: &WatchedEntry) {
        while !self.stopping.get() {
            let served_change = watched.served_change.get();
            if served_change > 0 && self.serves(&watched.entry, served_change).await == Some(false)
            {
                let violation =
                    format!("{} served change {served_change} and later did not", watched.entry);
                self.violation.borrow_mut().get_or_insert(violation);
                return;
            }
            let next = self.accepted.borrow().get(served_change).copied();
            if let Some(accepted) = next
                && self.serves(&watched.entry, served_change + 1).await == Some(true)
            {
                watched.served_change.set(served_change + 1);
                if !watched.faulty.get() {
                    self.slowest.set(self.slowest.get().max(accepted.elapsed()));
                }
                continue;
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Returns the highest applied revision of an entry that any control replica reports.
    async fn reported_revision(&self, entry: &str) -> u64 {
        let mut highest = 0;
        for replica in 0..3 {
            let status = self.cluster.status(replica, false).await;
            let entries = status.map(|status| status.entries).unwrap_or_default();
            let own = |s: &&inner::EntryStatus| s.entry.as_ref().is_some_and(|e| e.name == entry);
            highest = highest.max(entries.iter().find(own).map_or(0, |s| s.applied_revision));
        }
        highest
    }
}

/// Runs one cell.
///
/// # Errors
///
/// Returns the invariant that was violated.
pub async fn run(cell: &Cell) -> Result<Verdict, String> {
    let mut rng = cell.rng();
    let adjust = |o: &mut Options| {
        o.service_kinds = ["sheet-app", "booking-portal"].map(String::from).to_vec();
    };
    let cluster = match Cluster::start(cell.seed, adjust).await {
        Ok(cluster) => Rc::new(cluster),
        Err(reason) => return Ok(Verdict::NotRun(reason)),
    };
    cluster.put_scenario_profile("gate-slot").await?;
    let watched = cluster.names(Kind::Entry).into_iter().map(|entry| WatchedEntry {
        entry,
        served_change: StdCell::new(0),
        faulty: StdCell::new(false),
    });
    let state = Rc::new(CellState {
        watched: watched.collect(),
        cluster: cluster.clone(),
        accepted: RefCell::default(),
        slowest: StdCell::default(),
        violation: RefCell::default(),
        stopping: StdCell::new(false),
    });
    sleep(ANNOUNCEMENT_WAIT).await;
    let mut tasks = Vec::new();
    for index in 0..state.watched.len() {
        let state = state.clone();
        tasks.push(runtime::spawn(async move { state.watch_entry(&state.watched[index]).await }));
    }
    let outcome = inject_fault(cell, &state, &mut rng).await;
    state.stopping.set(true);
    for task in tasks {
        task.await.map_err(|_| "a task panicked")?;
    }
    let violation = state.violation.borrow().clone();
    let outcome = match violation {
        Some(violation) => Err(violation),
        None => outcome,
    };
    drop(state);
    let log_dir = match (&outcome, Rc::into_inner(cluster)) {
        (Err(_), Some(mut cluster)) => Some(cluster.keep_directory()),
        _ => None,
    };
    outcome.map_err(|reason| format!("{reason}; logs {log_dir:?}"))
}

async fn inject_fault(
    cell: &Cell,
    state: &Rc<CellState>,
    rng: &mut StdRng,
) -> Result<Verdict, String> {
    let cluster = &state.cluster;
    for _ in 0..2 {
        state.change().await?;
    }
    wait_in_force(state).await?;
    let mut entries = cluster.names(Kind::Entry);
    let entry = entries.remove(rng.random_range(0..entries.len()));
    let domain = cluster.domain(&entry);
    let leader = cluster.leader().await?;
    // An entry watches the replica of its own domain.
    let own_replica =
        cluster.names(Kind::Control).into_iter().find(|c| cluster.domain(c) == domain);
    let own_replica = own_replica.ok_or("no replica")?;
    let on_control = cell.row == CONTROL_STEP;
    let victim = if on_control { own_replica } else { entry.clone() };
    let mut others = cluster.names(Kind::Control);
    others.retain(|name| *name != victim);
    let other = if leader == victim { others.remove(0) } else { leader };
    let action = match cell.column {
        Column::Kill | Column::KillAndPartition | Column::LostDisk => "panic".to_owned(),
        Column::Pause | Column::PauseAndKill => format!("sleep({PAUSE_MS})"),
        Column::LostResponse | Column::Partition => format!("sleep({HOLD_MS})"),
    };
    let before = state.reported_revision(&entry).await;
    cluster.arm(&victim, cell.row, &action)?;
    // The fail point is read from a file every 10 ms.
    sleep(Duration::from_millis(60)).await;
    state.set_faulty(&domain, true);
    // An entry that started with another replica returns to the one of its domain after some replies, so a change may
    // bypass that replica.
    let started = Instant::now();
    state.change().await?;
    while !cluster.wait_reached(&victim, CHANGE_INTERVAL).await {
        if started.elapsed() > REACH_TIMEOUT {
            return Ok(Verdict::NotRun("the step was not reached".into()));
        }
        state.change().await?;
    }
    let targets = Targets { entry, domain, victim, other };
    apply_fault(cell, state, &targets, rng).await?;
    state.change().await?;
    let after = wait_in_force(state).await?;
    state.set_faulty(&targets.domain, false);
    let reported = state.reported_revision(&targets.entry).await;
    if reported < before {
        return Err(format!("control reports revision {reported} after {before}"));
    }
    let slowest = state.slowest.get();
    if slowest > IN_FORCE_BOUND {
        return Err(format!("a change took {} ms to be in force", slowest.as_millis()));
    }
    let (after, slowest) = (after.as_millis(), slowest.as_millis());
    Ok(Verdict::Passed(format!("in_force_ms={after} slowest_ms={slowest}")))
}

/// Waits until every entry serves the newest change; returns the time since its acceptance.
async fn wait_in_force(state: &CellState) -> Result<Duration, String> {
    let wanted = state.accepted.borrow().len();
    let accepted = state.accepted.borrow().last().copied().unwrap_or_else(Instant::now);
    let served = || state.watched.iter().map(|w| w.served_change.get()).collect::<Vec<_>>();
    let done = wait_for(IN_FORCE_BOUND, async || served().iter().all(|n| *n >= wanted)).await;
    if done {
        return Ok(accepted.elapsed());
    }
    Err(format!("change {wanted} is not in force everywhere: {:?}", served()))
}

struct Targets {
    entry: String,
    domain: String,
    victim: String,
    /// Control replica that crashes in addition to the victim: the leader, or another one if the victim is leader.
    other: String,
}

async fn apply_fault(
    cell: &Cell,
    state: &Rc<CellState>,
    targets: &Targets,
    rng: &mut StdRng,
) -> Result<(), String> {
    let cluster = &state.cluster;
    let downtime = Duration::from_millis(rng.random_range(300..1200));
    match cell.column {
        Column::Kill | Column::LostDisk => {
            change_repeatedly(state, downtime).await?;
            let data = match cell.column {
                Column::Kill => DataDirectory::Unchanged,
                _ => DataDirectory::Empty,
            };
            cluster.restart(&targets.victim, data)?;
            wait_entry_ready(state, targets).await
        }
        Column::Pause => check_paused_entry(cell, state, targets).await,
        Column::LostResponse => {
            let controls = cluster.names(Kind::Control);
            cluster.deployment.hold_replies(controls.iter().map(String::as_str));
            sleep(Duration::from_millis(HOLD_MS + 300)).await;
            cluster.deployment.lose_replies(controls.iter().map(String::as_str));
            change_repeatedly(state, downtime).await
        }
        Column::Partition => {
            cluster.deployment.cut_domain(&targets.domain);
            check_partitioned_domain(state, targets).await?;
            cluster.deployment.heal_all();
            Ok(())
        }
        Column::KillAndPartition => {
            let served_change = state.watched(&targets.entry).map_or(0, |w| w.served_change.get());
            cluster.deployment.cut_domain(&targets.domain);
            change_repeatedly(state, downtime).await?;
            cluster.restart(&targets.victim, DataDirectory::Unchanged)?;
            wait_entry_ready(state, targets).await?;
            // The entry must serve inside the partition what it served or acknowledged before the fault.
            let min_change = served_change.max(2);
            let serves = wait_for(RESTART_TIMEOUT, async || {
                state.serves(&targets.entry, min_change).await == Some(true)
            });
            if !serves.await {
                return Err(format!(
                    "{} does not serve change {min_change} after its restart",
                    targets.entry
                ));
            }
            check_partitioned_domain(state, targets).await?;
            cluster.deployment.heal_all();
            Ok(())
        }
        Column::PauseAndKill => {
            cluster.kill(&targets.other)?;
            sleep(downtime).await;
            cluster.restart(&targets.other, DataDirectory::Unchanged)?;
            change_repeatedly(state, Duration::from_millis(PAUSE_MS).saturating_sub(downtime)).await
        }
    }
}

async fn wait_entry_ready(state: &CellState, targets: &Targets) -> Result<(), String> {
    match state.cluster.wait_entry_ready(&targets.entry, RESTART_TIMEOUT).await {
        true => Ok(()),
        false => Err(format!("{} is not ready after the fault", targets.entry)),
    }
}

/// Changes the configuration repeatedly for a time.
async fn change_repeatedly(state: &CellState, time: Duration) -> Result<(), String> {
    let started = Instant::now();
    while started.elapsed() < time {
        state.change().await?;
        sleep(CHANGE_INTERVAL).await;
    }
    Ok(())
}

/// A paused entry must apply what it missed before it serves again.
async fn check_paused_entry(
    cell: &Cell,
    state: &Rc<CellState>,
    targets: &Targets,
) -> Result<(), String> {
    let time = Duration::from_millis(PAUSE_MS);
    if cell.row == CONTROL_STEP {
        return change_repeatedly(state, time).await;
    }
    let started = Instant::now();
    state.change().await?;
    let (newest, caller, entry) =
        (state.accepted.borrow().len(), state.clone(), targets.entry.clone());
    let call = runtime::spawn(async move { caller.serves(&entry, newest).await });
    sleep(time.saturating_sub(started.elapsed())).await;
    match call.await.map_err(|_| "the call panicked")? {
        Some(false) => {
            Err(format!("{} served an old configuration after its pause", targets.entry))
        }
        Some(true) => Ok(()),
        None => Err(format!("{} gave no response after its pause", targets.entry)),
    }
}

/// Checks that a partitioned domain serves idempotent requests and refuses bookings as not run, while the other
/// domains receive changes.
async fn check_partitioned_domain(state: &Rc<CellState>, targets: &Targets) -> Result<(), String> {
    let cluster = &state.cluster;
    let changing = state.clone();
    let changing =
        runtime::spawn(async move { change_repeatedly(&changing, PARTITION_TIME).await });
    let lookup = wait_for(RESTART_TIMEOUT, async || {
        cluster.call(&targets.entry, "change-1", "lookup", None, "{}").await.is_ok()
    });
    if !lookup.await {
        return Err(format!("{} serves no idempotent request in the partition", targets.entry));
    }
    let key = format!("{}-partition", clock::unix_ms());
    let booking = cluster.call(&targets.entry, "gate-slot", "booking", Some(&key), "{}").await;
    if !booking.not_run {
        return Err(format!("a booking in the partition got {} {}", booking.status, booking.name));
    }
    let ran = cluster.executed_requests().await?;
    if ran.iter().any(|run| run.idempotency_key == key) {
        return Err("a booking ran although the response said that it did not run".into());
    }
    changing.await.map_err(|_| text("the changes panicked"))?
}
