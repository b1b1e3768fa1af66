//! Tests of how gateways follow the stores.

mod support;

use std::{fs, thread, time::Duration};

use nix::sys::signal::Signal;
use support::{
    deployment::{Deployment, Process},
    routes,
};

/// Guards against a gateway that asks one store after the other without a pause, because the stores tell their addresses in
/// different orders.
#[test]
fn a_gateway_follows_one_store() {
    let d = Deployment::start(3, 8, &routes::document(1, 2000).to_string());
    // Moves gateways from one store to the next.
    for store in d.stores.iter().flatten() {
        store.signal(Signal::SIGSTOP);
        thread::sleep(Duration::from_millis(1500));
        store.signal(Signal::SIGCONT);
        thread::sleep(Duration::from_millis(1500));
    }
    let ticks = |p: &Process| {
        let stat = fs::read_to_string(format!("/proc/{}/stat", p.id())).unwrap();
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
        // Ticks of 10 ms in user and in system mode.
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    };
    let all = || d.gateways.iter().chain(&d.stores).flatten().map(ticks).collect::<Vec<u64>>();
    let before = all();
    thread::sleep(Duration::from_secs(3));
    let used: Vec<u64> = all().iter().zip(&before).map(|(after, before)| after - before).collect();
    println!("ticks of idle processes in 3 s: {used:?}");
    assert!(used.iter().all(|ticks| *ticks < 30), "{used:?}");
}

/// Guards against a final 404 for a path that a newer document has, from a gateway that no store with a leader has told for
/// seconds which document is the newest.
#[test]
fn a_gateway_without_a_leading_store_does_not_deny_a_path() {
    let mut d = Deployment::start(3, 1, &routes::document(1, 2000).to_string());
    let status = |d: &Deployment| d.send(0, "GET", "/unknown/a", "a", "").map(|r| r.status);
    assert_eq!(status(&d), Some(404));
    for store in &mut d.stores {
        *store = None;
    }
    d.wait_until("the path is not denied", || status(&d) == Some(503));
    for i in 0..d.stores.len() {
        d.start_store(i, false);
    }
    d.wait_until("the path is denied again", || status(&d) == Some(404));
}
