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
    site::{Site, text, wait_for},
};

/// Protocol of these cells.
pub const PROTOCOL: &str = "configuration";
/// The only step of a control replica; the others are steps of an entry.
const CONTROL_STEP: &str = "config.before_watch_reply";
/// Bound on the time from acceptance of a change until it is in force on every reachable entry.
const IN_FORCE: Duration = Duration::from_secs(9);
/// Time limit until the step is reached.
const REACH_TIMEOUT: Duration = Duration::from_secs(8);
const PAUSE_MS: u64 = 2500;
/// Time for which the process waits at the step while the test injects the second part of the fault.
const HOLD_MS: u64 = 300;
/// Duration of a partition; longer than the 3 s after which a claim without a quorum is abandoned.
const CUT: Duration = Duration::from_millis(4500);
/// Interval between two changes.
const CHANGE_PAUSE: Duration = Duration::from_millis(400);
/// Interval between two checks of an entry's behaviour.
const LOOK_PAUSE: Duration = Duration::from_millis(40);
/// Time for the first announcements of the services, which are sent every 500 ms.
const ANNOUNCED: Duration = Duration::from_millis(700);
/// Time limit from the start of an entry until it is ready.
const RESTART: Duration = Duration::from_secs(8);

/// Configuration in force on one entry, derived from its responses.
struct Watched {
    entry: String,
    /// Number of the last change that the entry serves.
    level: StdCell<usize>,
    /// Set while the entry or its links are faulty; the bound does not apply then.
    faulty: StdCell<bool>,
}

/// State of one cell: the accepted changes and the observed entries.
struct Bench {
    site: Rc<Site>,
    watched: Vec<Watched>,
    /// Acceptance time of each change; change n puts the profile `change-<n>`.
    accepted: RefCell<Vec<Instant>>,
    slowest: StdCell<Duration>,
    problem: RefCell<Option<String>>,
    stopping: StdCell<bool>,
}

impl Bench {
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
        self.site.put(&name, profile).await?;
        self.accepted.borrow_mut().push(Instant::now());
        Ok(())
    }

    fn watched(&self, entry: &str) -> Option<&Watched> {
        self.watched.iter().find(|watched| watched.entry == entry)
    }

    fn set_faulty(&self, domain: &str, faulty: bool) {
        let inside = |w: &&Watched| self.site.domain(&w.entry) == domain;
        self.watched.iter().filter(inside).for_each(|w| w.faulty.set(faulty));
    }

    /// Whether an entry serves a change; `None` without a usable response.
    async fn serves(&self, entry: &str, change: usize) -> Option<bool> {
        let profile = format!("change-{change}");
        let reply = self.site.call(entry, &profile, "look", None, "{}").await;
        match &*reply.name {
            "unknown_profile" => Some(false),
            "broken" | "timeout" | "not_ready" => None,
            _ => Some(true),
        }
    }

    /// Polls one entry until the cell ends; records a change that it no longer serves as a violation.
    async fn follow(&self, watched: &Watched) {
        while !self.stopping.get() {
            let level = watched.level.get();
            if level > 0 && self.serves(&watched.entry, level).await == Some(false) {
                let problem = format!("{} served change {level} and later did not", watched.entry);
                self.problem.borrow_mut().get_or_insert(problem);
                return;
            }
            let next = self.accepted.borrow().get(level).copied();
            if let Some(accepted) = next
                && self.serves(&watched.entry, level + 1).await == Some(true)
            {
                watched.level.set(level + 1);
                if !watched.faulty.get() {
                    self.slowest.set(self.slowest.get().max(accepted.elapsed()));
                }
                continue;
            }
            sleep(LOOK_PAUSE).await;
        }
    }

    /// Returns the highest applied revision of an entry that any control replica reports.
    async fn reported(&self, entry: &str) -> u64 {
        let mut highest = 0;
        for replica in 0..3 {
            let status = self.site.status(replica, false).await;
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
    let shape = |o: &mut Options| {
        o.service_kinds = ["sheet-app", "booking-portal"].map(String::from).to_vec();
    };
    let site = match Site::start(cell.seed, shape).await {
        Ok(site) => Rc::new(site),
        Err(reason) => return Ok(Verdict::NotRun(reason)),
    };
    site.put_named("gate-slot").await?;
    let watched = site.names(Kind::Entry).into_iter().map(|entry| Watched {
        entry,
        level: StdCell::new(0),
        faulty: StdCell::new(false),
    });
    let bench = Rc::new(Bench {
        watched: watched.collect(),
        site: site.clone(),
        accepted: RefCell::default(),
        slowest: StdCell::default(),
        problem: RefCell::default(),
        stopping: StdCell::new(false),
    });
    sleep(ANNOUNCED).await;
    let mut tasks = Vec::new();
    for at in 0..bench.watched.len() {
        let bench = bench.clone();
        tasks.push(runtime::spawn(async move { bench.follow(&bench.watched[at]).await }));
    }
    let outcome = disturb(cell, &bench, &mut rng).await;
    bench.stopping.set(true);
    for task in tasks {
        task.await.map_err(|_| "a task panicked")?;
    }
    let problem = bench.problem.borrow().clone();
    let outcome = match problem {
        Some(problem) => Err(problem),
        None => outcome,
    };
    drop(bench);
    let kept = match (&outcome, Rc::into_inner(site)) {
        (Err(_), Some(mut site)) => Some(site.keep()),
        _ => None,
    };
    outcome.map_err(|reason| format!("{reason}; logs {kept:?}"))
}

async fn disturb(cell: &Cell, bench: &Rc<Bench>, rng: &mut StdRng) -> Result<Verdict, String> {
    let site = &bench.site;
    for _ in 0..2 {
        bench.change().await?;
    }
    settled(bench).await?;
    let mut entries = site.names(Kind::Entry);
    let entry = entries.remove(rng.random_range(0..entries.len()));
    let domain = site.domain(&entry);
    let leader = site.leader().await?;
    // An entry watches the replica of its own domain.
    let near = site.names(Kind::Control).into_iter().find(|c| site.domain(c) == domain);
    let near = near.ok_or("no replica")?;
    let on_control = cell.row == CONTROL_STEP;
    let victim = if on_control { near } else { entry.clone() };
    let mut others = site.names(Kind::Control);
    others.retain(|name| *name != victim);
    let other = if leader == victim { others.remove(0) } else { leader };
    let action = match cell.column {
        Column::Kill | Column::KillAndPartition | Column::LostDisk => "panic".to_owned(),
        Column::Pause | Column::PauseAndKill => format!("sleep({PAUSE_MS})"),
        Column::LostResponse | Column::Partition => format!("sleep({HOLD_MS})"),
    };
    let before = bench.reported(&entry).await;
    site.arm(&victim, cell.row, &action)?;
    // The fail point is read from a file every 10 ms.
    sleep(Duration::from_millis(60)).await;
    bench.set_faulty(&domain, true);
    // An entry that started with another replica returns to the one of its domain after some replies, so a change may
    // bypass that replica.
    let started = Instant::now();
    bench.change().await?;
    while !site.reached(&victim, CHANGE_PAUSE).await {
        if started.elapsed() > REACH_TIMEOUT {
            return Ok(Verdict::NotRun("the step was not reached".into()));
        }
        bench.change().await?;
    }
    let places = Places { entry, domain, victim, other };
    apply(cell, bench, &places, rng).await?;
    bench.change().await?;
    let after = settled(bench).await?;
    bench.set_faulty(&places.domain, false);
    let reported = bench.reported(&places.entry).await;
    if reported < before {
        return Err(format!("control reports revision {reported} after {before}"));
    }
    let slowest = bench.slowest.get();
    if slowest > IN_FORCE {
        return Err(format!("a change took {} ms to be in force", slowest.as_millis()));
    }
    let (after, slowest) = (after.as_millis(), slowest.as_millis());
    Ok(Verdict::Passed(format!("in_force_ms={after} slowest_ms={slowest}")))
}

/// Waits until every entry serves the newest change; returns the time since its acceptance.
async fn settled(bench: &Bench) -> Result<Duration, String> {
    let wanted = bench.accepted.borrow().len();
    let accepted = bench.accepted.borrow().last().copied().unwrap_or_else(Instant::now);
    let levels = || bench.watched.iter().map(|w| w.level.get()).collect::<Vec<_>>();
    let done = wait_for(IN_FORCE, async || levels().iter().all(|level| *level >= wanted)).await;
    if done {
        return Ok(accepted.elapsed());
    }
    Err(format!("change {wanted} is not in force everywhere: {:?}", levels()))
}

struct Places {
    entry: String,
    domain: String,
    victim: String,
    /// Control replica that crashes in addition to the victim: the leader, or another one if the victim is leader.
    other: String,
}

async fn apply(
    cell: &Cell,
    bench: &Rc<Bench>,
    at: &Places,
    rng: &mut StdRng,
) -> Result<(), String> {
    let site = &bench.site;
    let down = Duration::from_millis(rng.random_range(300..1200));
    match cell.column {
        Column::Kill | Column::LostDisk => {
            changes(bench, down).await?;
            let data = match cell.column {
                Column::Kill => DataDirectory::Same,
                _ => DataDirectory::Empty,
            };
            site.restart(&at.victim, data)?;
            ready(bench, at).await
        }
        Column::Pause => paused(cell, bench, at).await,
        Column::LostResponse => {
            let controls = site.names(Kind::Control);
            site.deployment.hold_replies(controls.iter().map(String::as_str));
            sleep(Duration::from_millis(HOLD_MS + 300)).await;
            site.deployment.lose_replies(controls.iter().map(String::as_str));
            changes(bench, down).await
        }
        Column::Partition => {
            site.deployment.cut_domain(&at.domain);
            partitioned(bench, at).await?;
            site.deployment.heal_all();
            Ok(())
        }
        Column::KillAndPartition => {
            let level = bench.watched(&at.entry).map_or(0, |w| w.level.get());
            site.deployment.cut_domain(&at.domain);
            changes(bench, down).await?;
            site.restart(&at.victim, DataDirectory::Same)?;
            ready(bench, at).await?;
            // The entry must serve inside the partition what it served or acknowledged before the fault.
            let least = level.max(2);
            let serves =
                wait_for(RESTART, async || bench.serves(&at.entry, least).await == Some(true));
            if !serves.await {
                return Err(format!(
                    "{} does not serve change {least} after its restart",
                    at.entry
                ));
            }
            partitioned(bench, at).await?;
            site.deployment.heal_all();
            Ok(())
        }
        Column::PauseAndKill => {
            site.kill(&at.other)?;
            sleep(down).await;
            site.restart(&at.other, DataDirectory::Same)?;
            changes(bench, Duration::from_millis(PAUSE_MS).saturating_sub(down)).await
        }
    }
}

async fn ready(bench: &Bench, at: &Places) -> Result<(), String> {
    match bench.site.entry_ready(&at.entry, RESTART).await {
        true => Ok(()),
        false => Err(format!("{} is not ready after the fault", at.entry)),
    }
}

/// Changes the configuration repeatedly for a time.
async fn changes(bench: &Bench, time: Duration) -> Result<(), String> {
    let started = Instant::now();
    while started.elapsed() < time {
        bench.change().await?;
        sleep(CHANGE_PAUSE).await;
    }
    Ok(())
}

/// A paused entry must apply what it missed before it serves again.
async fn paused(cell: &Cell, bench: &Rc<Bench>, at: &Places) -> Result<(), String> {
    let time = Duration::from_millis(PAUSE_MS);
    if cell.row == CONTROL_STEP {
        return changes(bench, time).await;
    }
    let started = Instant::now();
    bench.change().await?;
    let (newest, caller, entry) = (bench.accepted.borrow().len(), bench.clone(), at.entry.clone());
    let call = runtime::spawn(async move { caller.serves(&entry, newest).await });
    sleep(time.saturating_sub(started.elapsed())).await;
    match call.await.map_err(|_| "the call panicked")? {
        Some(false) => Err(format!("{} served an old configuration after its pause", at.entry)),
        Some(true) => Ok(()),
        None => Err(format!("{} gave no response after its pause", at.entry)),
    }
}

/// Checks that a partitioned domain serves idempotent requests and refuses bookings as not run, while the other
/// domains receive changes.
async fn partitioned(bench: &Rc<Bench>, at: &Places) -> Result<(), String> {
    let site = &bench.site;
    let changing = bench.clone();
    let changing = runtime::spawn(async move { changes(&changing, CUT).await });
    let lookup = wait_for(RESTART, async || {
        site.call(&at.entry, "change-1", "lookup", None, "{}").await.is_ok()
    });
    if !lookup.await {
        return Err(format!("{} serves no idempotent request in the partition", at.entry));
    }
    let key = format!("{}-partition", clock::unix_ms());
    let booking = site.call(&at.entry, "gate-slot", "booking", Some(&key), "{}").await;
    if !booking.not_run {
        return Err(format!("a booking in the partition got {} {}", booking.status, booking.name));
    }
    let ran = site.ran().await?;
    if ran.iter().any(|run| run.idempotency_key == key) {
        return Err("a booking ran although the response said that it did not run".into());
    }
    changing.await.map_err(|_| text("the changes panicked"))?
}
