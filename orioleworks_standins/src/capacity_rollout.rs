//! Measures how the cost of an entry grows with open steps and with samples that wait for their trainer.

use std::{
    io,
    time::{Duration, Instant},
};

use compio::time;
use serde_json::json;

use crate::{
    capacity_daemons::{Bench, sample},
    capacity_entry::start_with_profiles,
    capacity_fakes::{FakeUpstreams, StreamSettings},
    capacity_fit::Series,
    client::Client,
};

/// Longest time for the production of all samples of one measurement.
const PRODUCTION_TIMEOUT: Duration = Duration::from_secs(90);
/// Samples in a group.
const SAMPLES_PER_GROUP: usize = 8;
/// Tokens of a sample.
const SAMPLE_TOKENS: u32 = 128;
/// Bytes of text of a token.
const BYTES_PER_TOKEN: usize = 4;

async fn open_step(entry: &str, run: &str, groups: usize, max_tokens: u32) -> io::Result<()> {
    let http = Client::new().map_err(|e| io::Error::other(e.to_string()))?;
    let group_list: Vec<_> = (0..groups)
        .map(|index| {
            let prompt = format!("{run} prompt {index} {}", "p".repeat(200));
            json!({"group": format!("g{index}"), "prompt": prompt, "samples": SAMPLES_PER_GROUP})
        })
        .collect();
    let body = json!({"step": 1, "profile": "scorer", "model": "scorer", "trainer_version": 1,
        "max_tokens": max_tokens, "groups": group_list});
    let url = format!("http://{entry}/v1/runs/{run}/steps");
    let response = http.post(&url, &body, Duration::from_secs(10)).await;
    match response {
        Ok(response) if response.status == 200 => Ok(()),
        Ok(response) => Err(io::Error::other(String::from_utf8_lossy(&response.body).into_owned())),
        Err(e) => Err(io::Error::other(e.to_string())),
    }
}

/// Measures the memory of finished samples that wait for the trainer, and the rate at which they are produced.
///
/// # Errors
///
/// Returns an error if a daemon cannot be started or a step cannot be opened.
pub async fn samples(bench: &mut Bench) -> io::Result<Vec<Series>> {
    let mut memory = Series::new("entry, held samples: memory", "sample", "MB");
    let mut rate = Series::new("entry, held samples: produced", "sample", "1/s");
    // With one chunk for each sample, the measured memory is that of the sample and not of its stream.
    let stream = StreamSettings {
        pause: Duration::from_millis(1),
        chunk_tokens: SAMPLE_TOKENS,
        token_bytes: BYTES_PER_TOKEN,
    };
    for count in [1024_usize, 4096, 8192] {
        for _ in 0..bench.repeats {
            let (_controls, entry) = start_with_profiles(bench, &[]).await?;
            let upstreams = FakeUpstreams::start(stream).await?;
            upstreams.announce(8, "scorer-llm", true, &entry.daemon.http);
            time::sleep(Duration::from_secs(1)).await;
            let resident = || entry.process.usage().map_or(0, |usage| usage.memory_bytes);
            let (before, started) = (resident(), Instant::now());
            open_step(&entry.daemon.http, "run", count / SAMPLES_PER_GROUP, SAMPLE_TOKENS).await?;
            while upstreams.responses.get() < count as u64 {
                if started.elapsed() > PRODUCTION_TIMEOUT {
                    return Err(io::Error::other("the samples were not produced in time"));
                }
                time::sleep(Duration::from_millis(20)).await;
            }
            rate.add(count as f64, count as f64 / started.elapsed().as_secs_f64());
            time::sleep(Duration::from_millis(500)).await;
            memory.add(count as f64, resident().saturating_sub(before) as f64 / 1e6);
        }
    }
    Ok(vec![memory, rate])
}

/// Measures memory and CPU time of open steps whose samples cannot start, because there is no engine.
///
/// # Errors
///
/// Returns an error if a daemon cannot be started or a step cannot be opened.
pub async fn steps(bench: &mut Bench) -> io::Result<Vec<Series>> {
    let mut memory = Series::new("entry, open steps of 512 slots: memory", "step", "MB");
    let mut cpu = Series::new("entry, open steps of 512 slots: CPU", "step", "% of a core");
    for count in [1_usize, 4, 16] {
        let (_controls, entry) = start_with_profiles(bench, &[]).await?;
        let resident = || entry.process.usage().map_or(0, |usage| usage.memory_bytes);
        let before = resident();
        for index in 0..count {
            open_step(
                &entry.daemon.http,
                &format!("run-{index}"),
                512 / SAMPLES_PER_GROUP,
                SAMPLE_TOKENS,
            )
            .await?;
        }
        time::sleep(Duration::from_secs(1)).await;
        for _ in 0..bench.repeats {
            let samples = sample(&[&entry], bench.window).await;
            samples.iter().for_each(|s| cpu.add(count as f64, s.cpu_percent));
            memory.add(count as f64, resident().saturating_sub(before) as f64 / 1e6);
        }
    }
    Ok(vec![memory, cpu])
}
