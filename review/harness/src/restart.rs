//! Case 3: a replica starts again under its ID with newer software, and its heartbeats arrive late.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    cluster::{Cluster, Setup, wait_until},
    speaker::{EVENTS, Speaker},
    util::{self, Record},
    versions::{self, ALLOWED, DOCUMENT, Seen},
};

const GATEWAYS: usize = 2;
/// Requesters of each gateway.
const REQUESTERS: usize = 50;
/// One of six replicas crashes: 17 %.
const REPLICAS: usize = 6;
/// Time from the crash to the next start of the replica.
const DOWN: Duration = Duration::from_millis(500);
/// How late its heartbeats arrive then.
const LATE: Duration = Duration::from_millis(3500);
/// Time from its start to its next crash.
const UP: Duration = Duration::from_millis(3000);

/// Runs the case; returns whether the rule held.
pub fn run() -> Setup<bool> {
    let record = Arc::new(Record::create()?);
    let mut cluster = Cluster::start(3, GATEWAYS, DOCUMENT)?;
    let stores = |i: usize| {
        let mut stores = cluster.controls();
        let count = stores.len();
        stores.rotate_left(i % count);
        stores
    };
    let mut replicas = Vec::new();
    for i in 0..REPLICAS {
        let started = Speaker::start(&format!("i-{i}"), "v1", stores(i), record.clone());
        replicas.push(started.map_err(|e| e.to_string())?);
    }
    let addresses: Vec<String> = (0..GATEWAYS).map(|g| cluster.frontend(g)).collect();
    for address in &addresses {
        wait_until("a stream is answered", || {
            let (id, mut events) = (format!("{:016x}", util::random()), Vec::new());
            let last = Some((EVENTS - 1, None));
            versions::stream(address, &id, last, Duration::from_secs(5), &mut events)
                .is_ok_and(|s| s == 200)
        })?;
    }
    let (seen, stop) = (Arc::new(Seen::default()), Arc::new(AtomicBool::new(false)));
    let requesters: Vec<_> = (0..GATEWAYS * REQUESTERS)
        .map(|i| {
            let (addresses, seen) = (addresses.clone(), seen.clone());
            let (stop, record) = (stop.clone(), record.clone());
            thread::spawn(move || {
                // Requesters come at different times.
                thread::sleep(Duration::from_millis(util::random() % 2400));
                while !stop.load(Ordering::Relaxed) {
                    versions::request(&addresses, i % GATEWAYS, &seen, &record);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let mut newer_streams = 0;
    if util::trouble() {
        replicas[0].crash();
        thread::sleep(DOWN);
        let late = if util::trouble_of("late") { LATE } else { Duration::ZERO };
        record.say(format!("it starts again as version v2; its heartbeats arrive {late:?} late"));
        let (address, id) = (replicas[0].address, &replicas[0].id);
        let newer = Speaker::start_at(address, id, "v2", stores(0), late, record.clone());
        let newer = newer.map_err(|e| e.to_string())?;
        thread::sleep(UP);
        newer_streams = newer.streams.load(Ordering::Relaxed);
        newer.crash();
    }
    thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::Relaxed);
    for requester in requesters {
        requester.join().map_err(|_| "a requester failed")?;
    }
    let mut processes = cluster.stores.iter_mut().chain(&mut cluster.gateways).flatten();
    let ended = processes.any(|p| p.has_ended());
    let of = |n: &AtomicU64| n.load(Ordering::Relaxed);
    record.say(format!(
        "v2 began {newer_streams} streams; {} streams complete, {} taken up again, {} take-ups refused, {} failed; a process has ended: {ended}",
        of(&seen.complete), of(&seen.resumed), of(&seen.refused), of(&seen.failed)
    ));
    let joined = of(&seen.joined) as usize;
    record.say(format!(
        "ORDER: {joined} streams are joined from two versions; {ALLOWED} are allowed"
    ));
    record.say(format!("{} streams lack an event or have one twice", of(&seen.broken)));
    if of(&seen.complete) < 50 {
        return Err("the system served too little for the case to count".into());
    }
    Ok(joined <= ALLOWED && of(&seen.broken) == 0)
}
