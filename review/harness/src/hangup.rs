//! Case 5: the settings change twice in quick succession, and the second SIGHUP ends the gateway.

use std::{
    fs,
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    cluster::{Cluster, Setup, wait_until},
    lookups::{self, DOCUMENT, Lost, Seen},
    util::{self, Record},
};

const REQUESTERS: usize = 20;
/// Changes of the settings, each in two steps with a signal each.
const CHANGES: usize = 300;
const CHANGE_INTERVAL: Duration = Duration::from_millis(180);
/// Longest time between the two signals of a change.
const MAX_GAP_US: u64 = 250;
/// `config_apply_ms` of the users' sheet.
const APPLY_TIME: Duration = Duration::from_millis(2000);
const SIGHUP: i32 = 1;

unsafe extern "C" {
    /// `kill` of the C library.
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Runs the case; returns whether the rule held.
pub fn run() -> Setup<bool> {
    let record = Arc::new(Record::create()?);
    let mut cluster = Cluster::start(3, 2, DOCUMENT)?;
    let replicas = lookups::start_replicas(&cluster, Duration::from_millis(300), &record)?;
    let (seen, stop) = (Arc::new(Seen::default()), Arc::new(AtomicBool::new(false)));
    let address = cluster.frontend(0);
    let requesters = lookups::start_requesters(&address, REQUESTERS, &seen, &stop, &record);
    thread::sleep(Duration::from_secs(2));
    let (mut signals, mut ends) = (Vec::new(), 0);
    for change in 0..CHANGES {
        let Some(pid) = cluster.gateways[0].as_ref().map(|g| g.id()) else { break };
        let steps = if util::trouble() { 2 } else { 1 };
        // The order of the seeds changes, as it does when the platform exchanges them.
        change_settings(&cluster, change)?;
        for step in 0..steps {
            signals.push(record.now());
            // SAFETY: it sends a signal to a process that this program started and has not waited for.
            unsafe { kill(pid as i32, SIGHUP) };
            if step + 1 < steps {
                let until = Instant::now() + Duration::from_micros(util::random() % MAX_GAP_US);
                while Instant::now() < until {
                    std::hint::spin_loop();
                }
            }
        }
        record.line(format!("change {change}: {steps} signals"));
        thread::sleep(CHANGE_INTERVAL);
        if cluster.gateways[0].as_mut().is_some_and(|g| g.has_ended()) {
            ends += 1;
            record.say(format!(
                "gateway 0 has ended after change {change}; the platform starts it again"
            ));
            cluster.start_gateway(0)?;
            wait_until("the gateway is ready", || cluster.is_ready(0))?;
            thread::sleep(Duration::from_secs(1));
        }
    }
    stop.store(true, Ordering::Relaxed);
    requesters.into_iter().for_each(|requester| drop(requester.join()));
    let lost = lookups::passed_on(&seen.lost.lock().unwrap(), &replicas);
    let after_signal =
        |lost: &&Lost| signals.iter().any(|at| lost.ended >= *at && lost.sent <= *at + APPLY_TIME);
    let lost: Vec<&Lost> = lost.iter().filter(after_signal).collect();
    for lost in &lost {
        record.line(format!(
            "LOST: {} was passed on to a replica, and its channel ended without an answer",
            lost.id
        ));
    }
    let answered = *seen.answered.lock().unwrap();
    record.say(format!(
        "{answered} requests answered; gateway 0 ended by itself {ends} times in {CHANGES} changes"
    ));
    record.say(format!("LOST broken by {} requests", lost.len()));
    if answered < 500 {
        return Err("the system served too little for the case to count".into());
    }
    Ok(lost.is_empty())
}

/// Rewrites the settings of gateway 0 with its seeds in another order.
fn change_settings(cluster: &Cluster, number: usize) -> Setup<()> {
    let mut seeds = cluster.controls();
    let count = seeds.len();
    seeds.rotate_left(number % count);
    let settings = cluster.gateway_settings(0, &seeds)?;
    let path = cluster.gateway_settings_file(0);
    let next = path.with_extension("next");
    fs::File::create(&next)
        .and_then(|mut file| file.write_all(settings.as_bytes()))
        .and_then(|()| fs::rename(&next, &path))
        .map_err(|e| e.to_string())
}
