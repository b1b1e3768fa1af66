//! Measures how the cost of an entry grows with open steps and with samples that wait for their trainer.

use std::{
    io,
    time::{Duration, Instant},
};

use compio::time;
use serde_json::json;

use crate::{
    capacity_daemons::{Bench, sample},
    capacity_entry::start,
    capacity_fakes::{Stream, Upstreams},
    capacity_fit::Series,
    client::Client,
};

/// Longest time for the production of all samples of one measurement.
const PRODUCED: Duration = Duration::from_secs(90);
/// Samples in a group.
const GROUP: usize = 8;
/// Tokens of a sample.
const TOKENS: u32 = 128;
/// Bytes of text of a token.
const TOKEN_BYTES: usize = 4;

async fn open(entry: &str, run: &str, groups: usize, max_tokens: u32) -> io::Result<()> {
    let http = Client::new().map_err(|e| io::Error::other(e.to_string()))?;
    let list: Vec<_> = (0..groups)
        .map(|at| {
            let prompt = format!("{run} prompt {at} {}", "p".repeat(200));
            json!({"group": format!("g{at}"), "prompt": prompt, "samples": GROUP})
        })
        .collect();
    let body = json!({"step": 1, "profile": "scorer", "model": "scorer", "trainer_version": 1,
        "max_tokens": max_tokens, "groups": list});
    let url = format!("http://{entry}/v1/runs/{run}/steps");
    let answer = http.post(&url, &body, Duration::from_secs(10)).await;
    match answer {
        Ok(answer) if answer.status == 200 => Ok(()),
        Ok(answer) => Err(io::Error::other(String::from_utf8_lossy(&answer.body).into_owned())),
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
    let stream =
        Stream { pause: Duration::from_millis(1), chunk_tokens: TOKENS, token_bytes: TOKEN_BYTES };
    for count in [1024_usize, 4096, 8192] {
        for _ in 0..bench.repeats {
            let (_controls, entry) = start(bench, &[]).await?;
            let upstreams = Upstreams::start(stream).await?;
            upstreams.announce(8, "scorer-llm", true, &entry.daemon.http);
            time::sleep(Duration::from_secs(1)).await;
            let resident = || entry.process.usage().map_or(0, |usage| usage.memory_bytes);
            let (before, started) = (resident(), Instant::now());
            open(&entry.daemon.http, "run", count / GROUP, TOKENS).await?;
            while upstreams.answered.get() < count as u64 {
                if started.elapsed() > PRODUCED {
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
        let (_controls, entry) = start(bench, &[]).await?;
        let resident = || entry.process.usage().map_or(0, |usage| usage.memory_bytes);
        let before = resident();
        for at in 0..count {
            open(&entry.daemon.http, &format!("run-{at}"), 512 / GROUP, TOKENS).await?;
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
