//! Measures how the cost of an entry grows with requests, tokens, upstreams and peers.

use std::{
    cell::Cell,
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::{runtime, time};
use orioleworks_daemon::rpc;
use orioleworks_proto::inner::{self, frame::Body};
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::{
    capacity_daemons::{
        Bench, MeasuredDaemon, add_sample, client, domain, put_profile, sample, sample_series,
    },
    capacity_fakes::{FakeUpstreams, StreamSettings, digest, peer_server},
    capacity_fit::Series,
    client::Client,
    scenario,
};

/// Delay between a change of the load and its measurement.
const SETTLE_TIME: Duration = Duration::from_millis(2000);
/// Interval between two digests of a peer in another failure domain.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Stream of small chunks, one token in each.
pub const SMALL_CHUNKS: StreamSettings =
    StreamSettings { pause: Duration::from_millis(20), chunk_tokens: 1, token_bytes: 4 };

async fn measure(bench: &Bench, entry: &MeasuredDaemon, series: &mut [Series; 4], size: f64) {
    for _ in 0..bench.repeats {
        let samples = sample(&[entry], bench.window).await;
        samples.into_iter().for_each(|s| add_sample(series, size, s));
    }
}

/// Starts one control replica with the profiles of the local deployment and an entry.
///
/// # Errors
///
/// Returns an error if a daemon cannot be started or an order fails.
pub async fn start_with_profiles(
    bench: &mut Bench,
    peers: &[(String, String, String)],
) -> io::Result<(Vec<MeasuredDaemon>, MeasuredDaemon)> {
    let controls = bench.start_controls(1).await?;
    let orders = client(&controls);
    for profile in scenario::profiles() {
        let name = profile.name.clone();
        let profile = inner::Profile { judge_kind: String::new(), deadline_ms: 20_000, ..profile };
        put_profile(&orders, &name, profile).await?;
    }
    let entry = bench.start_entry(&controls, peers).await?;
    Ok((controls, entry))
}

/// Measures an entry by calls of plain services per second.
///
/// # Errors
///
/// See [`start_with_profiles`].
pub async fn requests(bench: &mut Bench) -> io::Result<Vec<Series>> {
    let mut series = sample_series("entry, plain requests", "request/s");
    let mut success_rate = Series::new("entry, plain requests: answered", "request/s", "1/s");
    let (_controls, entry) = start_with_profiles(bench, &[]).await?;
    let upstreams = FakeUpstreams::start(SMALL_CHUNKS).await?;
    upstreams.announce(8, "sheet-app", false, &entry.daemon.http);
    let url = format!("http://{}/v1/call/quality-lookup", entry.daemon.http);
    time::sleep(SETTLE_TIME).await;
    for rate in [200.0, 500.0, 1000.0] {
        let token = CancellationToken::new();
        let successes = send_calls(rate, &url, &token)?;
        time::sleep(SETTLE_TIME).await;
        let (before, started) = (successes.get(), Instant::now());
        measure(bench, &entry, &mut series, rate).await;
        success_rate.add(rate, (successes.get() - before) as f64 / started.elapsed().as_secs_f64());
        token.cancel();
        time::sleep(Duration::from_millis(500)).await;
    }
    let mut all: Vec<Series> = series.into();
    all.push(success_rate);
    Ok(all)
}

/// Sends calls at a constant rate until the token is cancelled. Returns the count of the successful ones.
fn send_calls(rate: f64, url: &str, token: &CancellationToken) -> io::Result<Rc<Cell<u64>>> {
    let successes = Rc::new(Cell::new(0));
    let http = Client::new().map_err(|e| io::Error::other(e.to_string()))?;
    let (url, token, count) = (url.to_owned(), token.clone(), successes.clone());
    runtime::spawn(async move {
        let started = Instant::now();
        let body = json!({"dairy": "latte-0042", "padding": "x".repeat(200)}).to_string();
        for number in 0_u64.. {
            if token.is_cancelled() {
                return;
            }
            let due = Duration::from_secs_f64(number as f64 / rate);
            time::sleep(due.saturating_sub(started.elapsed())).await;
            let (http, url, count) = (http.clone(), url.clone(), count.clone());
            let body = format!("{number}{body}");
            runtime::spawn(async move {
                let sent = http.send(::http::Method::POST, &url, &[], body, CALL_TIMEOUT).await;
                count.set(count.get() + u64::from(sent.is_ok_and(|a| a.status == 200)));
            })
            .detach();
        }
    })
    .detach();
    Ok(successes)
}

/// Measures an entry by tokens per second of engine streams, with 1 and with 8 tokens in a chunk.
///
/// # Errors
///
/// See [`start_with_profiles`].
pub async fn tokens(bench: &mut Bench) -> io::Result<Vec<Series>> {
    let mut all = Vec::new();
    for chunk_tokens in [1_u32, 8] {
        let name = format!("entry, engine streams with {chunk_tokens} tokens in a chunk");
        let mut series = sample_series(&name, "token/s");
        let (_controls, entry) = start_with_profiles(bench, &[]).await?;
        let upstreams =
            FakeUpstreams::start(StreamSettings { chunk_tokens, ..SMALL_CHUNKS }).await?;
        upstreams.announce(8, "scorer-llm", true, &entry.daemon.http);
        let url = format!("http://{}/v1/call/scorer", entry.daemon.http);
        time::sleep(SETTLE_TIME).await;
        let token = CancellationToken::new();
        let mut callers = 0;
        for streams in [10_u32, 30, 60] {
            for _ in callers..streams {
                call_repeatedly(&url, 100 * chunk_tokens, &token)?;
            }
            callers = streams;
            time::sleep(SETTLE_TIME).await;
            for _ in 0..bench.repeats {
                let (before, started) = (upstreams.tokens.get(), Instant::now());
                let samples = sample(&[&entry], bench.window).await;
                let rate = (upstreams.tokens.get() - before) as f64;
                let rate = rate / started.elapsed().as_secs_f64();
                // Rounding gives all repeats at one number of streams the same size; they differ by less than 500.
                let rate = (rate / 500.0).round() * 500.0;
                samples.into_iter().for_each(|s| add_sample(&mut series, rate, s));
            }
        }
        token.cancel();
        all.extend(series);
    }
    Ok(all)
}

fn call_repeatedly(url: &str, max_tokens: u32, token: &CancellationToken) -> io::Result<()> {
    let http = Client::new().map_err(|e| io::Error::other(e.to_string()))?;
    let (url, token) = (url.to_owned(), token.clone());
    runtime::spawn(async move {
        while !token.is_cancelled() {
            let number: u64 = rand::random();
            let body = json!({"prompt": format!("prompt {number}"), "max_tokens": max_tokens});
            if !matches!(http.post(&url, &body, CALL_TIMEOUT).await, Ok(reply) if reply.status == 200) {
                time::sleep(Duration::from_millis(50)).await;
            }
        }
    })
    .detach();
    Ok(())
}

/// Measures an entry by the number of upstreams that announce themselves to it.
///
/// # Errors
///
/// See [`start_with_profiles`].
pub async fn upstreams(bench: &mut Bench) -> io::Result<Vec<Series>> {
    let mut series = sample_series("entry, upstreams announcing", "upstream");
    for count in [10_usize, 100, 400] {
        let (_controls, entry) = start_with_profiles(bench, &[]).await?;
        let upstreams = FakeUpstreams::start(SMALL_CHUNKS).await?;
        upstreams.announce(count, "scorer-llm", true, &entry.users_address);
        time::sleep(SETTLE_TIME).await;
        measure(bench, &entry, &mut series, count as f64).await;
    }
    Ok(series.into())
}

/// Measures an entry by its number of peers, with the bytes of the digests that it receives and sends. `user_bytes`
/// holds the sent bytes, which an extra relay in front of the fake peers counts.
///
/// # Errors
///
/// See [`start_with_profiles`].
pub async fn peers(bench: &mut Bench) -> io::Result<Vec<Series>> {
    let mut series = sample_series("entry, peers", "peer");
    series[2].name = "entry, peers: bytes of digests received".into();
    series[3].name = "entry, peers: bytes of digests sent".into();
    for count in [6_usize, 60, 390] {
        let token = CancellationToken::new();
        let server = peer_server(&token).await?;
        let relay_address = bench.ports.next_free_address()?;
        let sent_to_peers =
            crate::relay::Relay::start(&relay_address, &server, Rc::new(|_| None)).await?;
        let peer = |index| (format!("node-{index:03}"), domain(index), relay_address.clone());
        let peers: Vec<_> = (1..=count).map(peer).collect();
        let (_controls, entry) = start_with_profiles(bench, &peers).await?;
        let upstreams = FakeUpstreams::start(SMALL_CHUNKS).await?;
        for kind in ["scorer-llm", "planner-lm", "sheet-app", "booking-portal", "judge"] {
            upstreams.announce(2, kind, kind.ends_with('m'), &entry.daemon.http);
        }
        // As with real entries, all peers of the own failure domain send digests, and at most two of each other domain.
        let in_domain = (1..=count).filter(|index| domain(*index) == domain(0)).count();
        let interval =
            DIGEST_INTERVAL.max(DIGEST_INTERVAL * u32::try_from(in_domain).unwrap_or(0) / 8);
        for index in 1..=count {
            if domain(index) == domain(0) {
                send_digests(index, interval, &entry.daemon.advertised_inner, &token);
            } else if index < 2 * 7 {
                send_digests(index, DIGEST_INTERVAL, &entry.daemon.advertised_inner, &token);
            }
        }
        time::sleep(SETTLE_TIME).await;
        for _ in 0..bench.repeats {
            let (before, started) = (sent_to_peers.bytes(), Instant::now());
            // Digests to peers of the own failure domain are sent in bursts. The window holds several of them.
            for mut s in sample(&[&entry], bench.window.max(interval * 3)).await {
                s.user_bytes =
                    (sent_to_peers.bytes() - before) as f64 / started.elapsed().as_secs_f64();
                add_sample(&mut series, count as f64, s);
            }
        }
        token.cancel();
    }
    Ok(series.into())
}

fn send_digests(index: usize, interval: Duration, address: &str, token: &CancellationToken) {
    let (client, token) = (rpc::Client::new(address), token.clone());
    runtime::spawn(async move {
        time::sleep(interval.mul_f64(index as f64 % 50.0 / 50.0)).await;
        let full = digest(index, 50);
        let mut receiver_has_digest = false;
        while !token.is_cancelled() {
            let entry = short_identity(&full);
            let unchanged = inner::Digest { entry, unchanged: true, ..Default::default() };
            let body = Body::Digest(if receiver_has_digest { unchanged } else { full.clone() });
            let reply = client.call(body, Duration::from_millis(900)).await;
            receiver_has_digest = matches!(reply, Ok(Body::DigestReply(reply)) if reply.holds);
            time::sleep(interval).await;
        }
    })
    .detach();
}

/// Name and incarnation of the sender; the receiver of an unchanged digest already holds its other fields.
fn short_identity(digest: &inner::Digest) -> Option<inner::EntryIdentity> {
    digest.entry.as_ref().map(|entry| inner::EntryIdentity {
        name: entry.name.clone(),
        incarnation: entry.incarnation,
        ..Default::default()
    })
}
