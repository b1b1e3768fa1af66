//! Measures the time without a leader after the leader is killed, by heartbeat interval.

use std::{
    io,
    time::{Duration, Instant},
};

use compio::time;

use crate::{
    capacity_daemons::{Bench, client, order, profile, publish_version, put_profile},
    capacity_fakes::Watchers,
    capacity_fit::Series,
};

/// Longest wait for one order, including an election.
const ORDER_TIMEOUT: Duration = Duration::from_secs(20);
/// Heartbeat intervals to compare, in milliseconds.
const HEARTBEATS_MS: [u64; 4] = [50, 100, 200, 400];

/// Measures idle bytes and the time until an order takes effect; then kills the leader and measures the time until the
/// next order is accepted.
///
/// # Errors
///
/// Returns an error if a daemon cannot be started or an order fails.
pub async fn elections(bench: &mut Bench) -> io::Result<Vec<Series>> {
    let mut outage = Series::new("leader killed to next order accepted", "heartbeat ms", "ms");
    let mut effect_delay =
        Series::new("order sent to in force on 30 entries", "heartbeat ms", "ms");
    let mut bytes = Series::new("idle bytes between 3 replicas", "heartbeat ms", "B/s");
    let configured = bench.heartbeat_ms;
    for heartbeat in HEARTBEATS_MS {
        bench.heartbeat_ms = Some(heartbeat);
        for _ in 0..bench.repeats * 2 {
            let mut controls = bench.start_controls(3).await?;
            let orders = client(&controls);
            let (before, started) =
                (controls.iter().map(|c| c.peers.bytes()).sum::<u64>(), Instant::now());
            time::sleep(bench.window).await;
            let after = controls.iter().map(|c| c.peers.bytes()).sum::<u64>();
            bytes.add(heartbeat as f64, (after - before) as f64 / started.elapsed().as_secs_f64());
            let addresses: Vec<String> = controls.iter().map(|c| c.users_address.clone()).collect();
            let watchers = Watchers::start(30, &addresses);
            time::sleep(Duration::from_secs(1)).await;
            for number in 0..5 {
                let sent = Instant::now();
                let revision = put_profile(&orders, &format!("put-{number}"), profile(0)).await?;
                if !watchers.wait_applied(revision, ORDER_TIMEOUT).await {
                    return Err(io::Error::other(
                        "the order did not reach all watching entries in time",
                    ));
                }
                effect_delay.add(heartbeat as f64, sent.elapsed().as_secs_f64() * 1e3);
            }
            drop(watchers);
            let leader = find_leader(&orders, controls.len()).await?;
            controls[leader].process.kill()?;
            let killed = Instant::now();
            order(&orders, "after", publish_version(2), ORDER_TIMEOUT).await?;
            outage.add(heartbeat as f64, killed.elapsed().as_secs_f64() * 1e3);
        }
    }
    bench.heartbeat_ms = configured;
    Ok(vec![outage, effect_delay, bytes])
}

async fn find_leader(
    orders: &orioleworks_daemon::control::ControlClient,
    count: usize,
) -> io::Result<usize> {
    for index in 0..count {
        let status = orders.status(index, false, Duration::from_secs(1)).await;
        if status.is_ok_and(|status| status.is_leader) {
            return Ok(index);
        }
    }
    Err(io::Error::other("no replica reports itself as the leader"))
}
