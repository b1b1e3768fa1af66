//! Case 4: a few requests as large as the config allows, at the same time, take more memory than a gateway may use.

use std::{
    fs,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    cluster::{Cluster, Setup, wait_until},
    http,
    lookups::{self, DOCUMENT, HOST, Seen},
    util::{self, Record},
};

/// Memory of a gateway's machine in megabytes, as the smallest site with 260 MB states it.
const MEMORY_MB: u64 = 260;
/// Body of a large request; `max_body_bytes` is 33,554,432.
const LARGE_BYTES: usize = 33_000_000;
/// Large requests that come at the same time.
const LARGE_AT_ONCE: usize = 5;
const ROUNDS: usize = 4;
const REQUESTERS: usize = 20;

/// Runs the case; returns whether the rule held.
pub fn run() -> Setup<bool> {
    let record = Arc::new(Record::create()?);
    let cluster = Arc::new(Mutex::new(Cluster::start(3, 2, DOCUMENT)?));
    let (replicas, address) = {
        let cluster = cluster.lock().unwrap();
        let work = Duration::from_millis(300);
        (lookups::start_replicas(&cluster, work, &record)?, cluster.frontend(0))
    };
    let (seen, stop) = (Arc::new(Seen::default()), Arc::new(AtomicBool::new(false)));
    let (peak_kb, kills) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let platform = {
        let (cluster, stop, record) = (cluster.clone(), stop.clone(), record.clone());
        let (peak_kb, kills) = (peak_kb.clone(), kills.clone());
        thread::spawn(move || enforce_memory(&cluster, &stop, &peak_kb, &kills, &record))
    };
    let requesters = lookups::start_requesters(&address, REQUESTERS, &seen, &stop, &record);
    thread::sleep(Duration::from_secs(3));
    let mut large_answered = 0;
    for _ in 0..ROUNDS {
        let upload = |i: usize| {
            let (address, record) = (address.clone(), record.clone());
            move || send_large(&address, i, &record)
        };
        if util::trouble() {
            record.say(format!("{LARGE_AT_ONCE} requests of {LARGE_BYTES} bytes at the same time"));
            let uploads: Vec<_> = (0..LARGE_AT_ONCE).map(|i| thread::spawn(upload(i))).collect();
            large_answered +=
                uploads.into_iter().filter_map(|u| u.join().ok()).filter(|ok| *ok).count();
        } else {
            record
                .say(format!("{LARGE_AT_ONCE} requests of {LARGE_BYTES} bytes one after another"));
            large_answered += (0..LARGE_AT_ONCE).filter(|i| upload(*i)()).count();
        }
        thread::sleep(Duration::from_secs(2));
        wait_until("the gateway is ready", || cluster.lock().unwrap().is_ready(0))?;
        thread::sleep(Duration::from_secs(2));
    }
    stop.store(true, Ordering::Relaxed);
    requesters.into_iter().for_each(|requester| drop(requester.join()));
    drop(platform.join());
    let lost = lookups::passed_on(&seen.lost.lock().unwrap(), &replicas);
    let kills = kills.load(Ordering::Relaxed);
    let answered = *seen.answered.lock().unwrap();
    record.say(format!(
        "{answered} small requests answered, {large_answered} of {} large ones; gateway 0 had {} MB at most and was killed {kills} times",
        ROUNDS * LARGE_AT_ONCE, peak_kb.load(Ordering::Relaxed) / 1024
    ));
    for lost in &lost {
        record.line(format!(
            "LOST: {} was passed on to a replica, and its channel ended without an answer",
            lost.id
        ));
    }
    record.say(format!(
        "LOST: {} small requests from kept channels were passed on and not answered; 3 are allowed",
        lost.len()
    ));
    if answered < 200 {
        return Err("the system served too little for the case to count".into());
    }
    Ok(lost.len() <= 3)
}

/// The platform: a process that uses more than `memory_mb` is killed, and started again after a short delay.
fn enforce_memory(
    cluster: &Mutex<Cluster>,
    stop: &AtomicBool,
    peak_kb: &AtomicU64,
    kills: &AtomicU64,
    record: &Record,
) {
    let Some(pid) = cluster.lock().unwrap().gateways[0].as_ref().map(|g| g.id()) else { return };
    let mut pid = pid;
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(2));
        let Some(kb) = resident_kb(pid) else { continue };
        peak_kb.fetch_max(kb, Ordering::Relaxed);
        if kb <= MEMORY_MB * 1024 {
            continue;
        }
        let mut cluster = cluster.lock().unwrap();
        if let Some(gateway) = cluster.gateways[0].take() {
            gateway.kill();
        }
        kills.fetch_add(1, Ordering::Relaxed);
        record.say(format!("gateway 0 uses {} MB and is killed by the platform", kb / 1024));
        thread::sleep(Duration::from_millis(500));
        if cluster.start_gateway(0).is_err() {
            return;
        }
        if let Some(gateway) = &cluster.gateways[0] {
            pid = gateway.id();
        }
    }
}

fn resident_kb(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Sends one large request; whether it was answered.
fn send_large(address: &str, number: usize, record: &Record) -> bool {
    let id = format!("{:016x}", util::random());
    let headers = [("Host", HOST), ("X-Attempt-Id", id.as_str()), ("X-Deadline-Ms", "9000")];
    let body = vec![b'a' + number as u8; LARGE_BYTES];
    let timeout = Duration::from_secs(9);
    let answer = http::call(address, "POST", &format!("/lookup/{id}"), &headers, &body, timeout);
    let status = answer.as_ref().map(|a| a.status);
    record.line(format!("large request {id}: {status:?}"));
    status.is_ok_and(|status| status == 200)
}
