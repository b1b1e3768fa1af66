//! Measures how the cost of the control replicas and of `orioleworksctl` grows with each size.

use std::{
    cell::Cell,
    io,
    process::Stdio,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::{runtime, time};
use orioleworks_daemon::{clock, control::ControlClient};
use orioleworks_proto::inner::{self, command::Kind};
use tokio_util::sync::CancellationToken;

use crate::{
    capacity_daemons::{
        Bench, MeasuredDaemon, ORDER_TIMEOUT, Sample, add_sample, client, command, domain, order,
        profile, put_profile, put_profiles, sample, sample_series, user_client,
    },
    capacity_fakes::Watchers,
    capacity_fit::Series,
};

/// Delay between a change of the load and its measurement.
const SETTLE_TIME: Duration = Duration::from_millis(1500);

/// Largest CPU time and memory over the replicas, since the leader has the most work, and the sums of their bytes.
fn busiest(samples: &[Sample]) -> Sample {
    let largest = |f: fn(&Sample) -> f64| samples.iter().map(f).fold(0.0, f64::max);
    Sample {
        cpu_percent: largest(|s| s.cpu_percent),
        memory_mb: largest(|s| s.memory_mb),
        // The relay of the receiver counts each byte between replicas once; both ends use resources for it.
        peer_bytes: samples.iter().map(|s| s.peer_bytes).sum::<f64>(),
        user_bytes: samples.iter().map(|s| s.user_bytes).sum::<f64>(),
    }
}

async fn measure(bench: &Bench, controls: &[MeasuredDaemon], series: &mut [Series; 4], size: f64) {
    let all: Vec<&MeasuredDaemon> = controls.iter().collect();
    for _ in 0..bench.repeats {
        add_sample(series, size, busiest(&sample(&all, bench.window).await));
    }
}

fn user_addresses(controls: &[MeasuredDaemon]) -> Vec<String> {
    controls.iter().map(|c| c.users_address.clone()).collect()
}

/// Measures idle replicas, which exchange only heartbeats.
///
/// # Errors
///
/// Returns an error if a daemon cannot be started or becomes ready too late.
pub async fn idle(bench: &mut Bench) -> io::Result<Vec<Series>> {
    let mut series = sample_series("control idle", "replica");
    for count in [3_usize, 5, 7] {
        let controls = bench.start_controls(count).await?;
        time::sleep(SETTLE_TIME).await;
        measure(bench, &controls, &mut series, count as f64).await;
    }
    Ok(series.into())
}

/// Measures replicas by the number of watching entries, and the time until an order takes effect on all of them.
///
/// # Errors
///
/// See [`idle`].
pub async fn entries(bench: &mut Bench) -> io::Result<Vec<Series>> {
    let mut series = sample_series("control, entries watching", "entry");
    let mut effect_delay = Series::new("order accepted to in force on all", "entry", "ms");
    let mut accept_delay = Series::new("order sent to accepted", "entry", "ms");
    let controls = bench.start_controls(3).await?;
    let orders = client(&controls);
    for count in [10_usize, 50, 150, 390] {
        let watchers = Watchers::start(count, &user_addresses(&controls));
        time::sleep(SETTLE_TIME).await;
        measure(bench, &controls, &mut series, count as f64).await;
        for round in 0..bench.repeats * 5 {
            let sent = Instant::now();
            let revision =
                put_profile(&orders, &format!("force-{count}-{round}"), profile(0)).await?;
            let accepted_at = Instant::now();
            accept_delay.add(count as f64, accepted_at.duration_since(sent).as_secs_f64() * 1e3);
            if !watchers.wait_applied(revision, ORDER_TIMEOUT).await {
                return Err(io::Error::other(
                    "the order did not reach all watching entries in time",
                ));
            }
            effect_delay.add(count as f64, accepted_at.elapsed().as_secs_f64() * 1e3);
        }
    }
    let mut all: Vec<Series> = series.into();
    all.extend([effect_delay, accept_delay]);
    Ok(all)
}

/// Sends orders at a constant rate until the token is cancelled. Returns the count of the accepted ones.
fn send_orders(
    rate: f64,
    client: &ControlClient,
    commands: impl Fn(u64) -> Vec<Kind> + Clone + 'static,
    token: &CancellationToken,
) -> Rc<Cell<u64>> {
    let accepted = Rc::new(Cell::new(0));
    let (client, token, count) = (client.clone(), token.clone(), accepted.clone());
    runtime::spawn(async move {
        let started = Instant::now();
        for number in 0_u64.. {
            if token.is_cancelled() {
                return;
            }
            let due = Duration::from_secs_f64(number as f64 / rate);
            time::sleep(due.saturating_sub(started.elapsed())).await;
            let (client, count, commands) = (client.clone(), count.clone(), commands.clone());
            runtime::spawn(async move {
                for (index, kind) in commands(number).into_iter().enumerate() {
                    let order = format!("load-{rate}-{number}-{index}");
                    let reply = client.propose(order, command(kind), ORDER_TIMEOUT).await;
                    if reply.is_ok_and(|reply| reply.code == 0) {
                        count.set(count.get() + 1);
                    }
                }
            })
            .detach();
        }
    })
    .detach();
    accepted
}

async fn measure_by_rate(
    bench: &mut Bench,
    name: &str,
    per: &str,
    rates: [f64; 3],
    commands: impl Fn(u64) -> Vec<Kind> + Clone + 'static,
) -> io::Result<Vec<Series>> {
    let mut series = sample_series(name, per);
    let mut accepted_rate = Series::new(&format!("{name}: accepted orders"), per, "1/s");
    let controls = bench.start_controls(3).await?;
    let _watchers = Watchers::start(50, &user_addresses(&controls));
    let client = user_client(&controls);
    for rate in rates {
        let token = CancellationToken::new();
        let accepted = send_orders(rate, &client, commands.clone(), &token);
        time::sleep(SETTLE_TIME).await;
        let (before, started) = (accepted.get(), Instant::now());
        measure(bench, &controls, &mut series, rate).await;
        accepted_rate.add(rate, (accepted.get() - before) as f64 / started.elapsed().as_secs_f64());
        token.cancel();
        time::sleep(SETTLE_TIME).await;
    }
    let mut all: Vec<Series> = series.into();
    all.push(accepted_rate);
    Ok(all)
}

/// Measures configuration changes with 50 entries watching.
///
/// # Errors
///
/// See [`idle`].
pub async fn changes(bench: &mut Bench) -> io::Result<Vec<Series>> {
    let commands = |number: u64| vec![Kind::PutProfile(profile((number % 10) as usize))];
    measure_by_rate(
        bench,
        "control, configuration changes",
        "change/s",
        [2.0, 10.0, 30.0],
        commands,
    )
    .await
}

/// Measures lease requests of up to 390 entries in 7 failure domains, with 50 entries watching.
///
/// # Errors
///
/// See [`idle`].
pub async fn leases(bench: &mut Bench) -> io::Result<Vec<Series>> {
    let commands = |number: u64| {
        let request = inner::AcquireOrderLease {
            domain: domain((number % 7) as usize),
            entry: format!("node-{:03}", number % 390),
            entry_incarnation: 1_790_000_000_000,
        };
        vec![Kind::AcquireOrderLease(request)]
    };
    measure_by_rate(bench, "control, lease requests", "request/s", [20.0, 100.0, 390.0], commands)
        .await
}

/// Measures claims that are finished at once, with 50 entries watching.
///
/// # Errors
///
/// See [`idle`].
pub async fn claims(bench: &mut Bench) -> io::Result<Vec<Series>> {
    let rates = [20.0, 100.0, 300.0];
    measure_by_rate(bench, "control, claims with finish", "claim/s", rates, claim_commands).await
}

/// Measures the memory of finished claims during their retention, on the replica that uses the most.
///
/// # Errors
///
/// See [`idle`].
pub async fn claims_held(bench: &mut Bench) -> io::Result<Vec<Series>> {
    const BATCH_SIZE: u64 = 100;
    let mut memory = Series::new("control, claims held: memory", "claim", "MB");
    let controls = bench.start_controls(3).await?;
    let client = client(&controls);
    let all: Vec<&MeasuredDaemon> = controls.iter().collect();
    let mut claim_count = 0;
    // From 5000 claims on, the stored order results and the log before its first snapshot have reached their full size,
    // so that only the claims add memory.
    for count in [5000_u64, 10_000, 20_000] {
        while claim_count < count {
            let batch = (claim_count..claim_count + BATCH_SIZE).map(|number| {
                let client = client.clone();
                async move {
                    for (index, kind) in claim_commands(number).into_iter().enumerate() {
                        order(&client, &format!("held-{number}-{index}"), kind, ORDER_TIMEOUT)
                            .await?;
                    }
                    io::Result::Ok(())
                }
            });
            futures_util::future::try_join_all(batch).await?;
            claim_count += BATCH_SIZE;
        }
        for _ in 0..bench.repeats {
            let samples = sample(&all, SETTLE_TIME).await;
            memory.add(count as f64, busiest(&samples).memory_mb);
        }
    }
    Ok(vec![memory])
}

/// Commands that make a claim and finish it.
fn claim_commands(number: u64) -> Vec<Kind> {
    let issued_ms = clock::unix_ms();
    let key = format!("{issued_ms}-{number}");
    let claim = inner::Claim {
        key: key.clone(),
        profile: "gate-slot".into(),
        fingerprint: "0123456789abcdef".repeat(4),
        issued_ms,
        entry: "node-000".into(),
        entry_incarnation: 1,
        attempt_id: key.clone(),
        ..Default::default()
    };
    let finish = inner::FinishClaim {
        key: key.clone(),
        attempt_id: key,
        state: inner::ClaimState::Finished.into(),
        http_status: 200,
        answer: vec![b'a'; 256],
        content_type: "application/json".into(),
    };
    vec![Kind::Claim(claim), Kind::FinishClaim(finish)]
}

/// Measures replicas by the number of profiles, and the operators' command that lists them.
///
/// # Errors
///
/// See [`idle`].
pub async fn profiles(bench: &mut Bench) -> io::Result<Vec<Series>> {
    let mut series = sample_series("control, profiles", "profile");
    let mut list_time = Series::new("operator, list profiles: time", "profile", "ms");
    let mut list_bytes = Series::new("operator, list profiles: bytes", "profile", "B");
    let controls = bench.start_controls(3).await?;
    let watchers = Watchers::start(50, &user_addresses(&controls));
    let orders = client(&controls);
    let mut profile_count = 0;
    for count in [10_usize, 100, 1000] {
        put_profiles(&orders, profile_count..count).await?;
        profile_count = count;
        time::sleep(SETTLE_TIME).await;
        measure(bench, &controls, &mut series, count as f64).await;
    }
    drop(watchers);
    // Without watchers, the `users` relays count only the bytes of the list command.
    time::sleep(SETTLE_TIME).await;
    measure_list(bench, &controls, 1000, &mut list_time, &mut list_bytes).await?;
    for count in [100_usize, 10] {
        for index in count..profile_count {
            let kind = Kind::RetireProfile(profile(index).name);
            order(&orders, &format!("retire-{index}"), kind, ORDER_TIMEOUT).await?;
        }
        profile_count = count;
        measure_list(bench, &controls, count, &mut list_time, &mut list_bytes).await?;
    }
    let mut all: Vec<Series> = series.into();
    all.extend([list_time, list_bytes]);
    Ok(all)
}

async fn measure_list(
    bench: &Bench,
    controls: &[MeasuredDaemon],
    count: usize,
    times: &mut Series,
    bytes: &mut Series,
) -> io::Result<()> {
    let addresses = user_addresses(controls).join(",");
    let total = || controls.iter().map(|c| c.users.bytes()).sum::<u64>();
    for _ in 0..bench.repeats {
        let (before, started) = (total(), Instant::now());
        let mut child = std::process::Command::new(bench.bin_dir.join("orioleworksctl"))
            .args(["--control", &addresses, "list", "profiles"])
            .stdout(Stdio::null())
            .spawn()?;
        // The relays run on this thread, so the wait must not block it.
        let status = loop {
            match child.try_wait()? {
                Some(status) => break status,
                None => time::sleep(Duration::from_millis(1)).await,
            }
        };
        if !status.success() {
            return Err(io::Error::other("`orioleworksctl list profiles` failed"));
        }
        times.add(count as f64, started.elapsed().as_secs_f64() * 1e3);
        time::sleep(Duration::from_millis(50)).await;
        bytes.add(count as f64, (total() - before) as f64);
    }
    Ok(())
}
