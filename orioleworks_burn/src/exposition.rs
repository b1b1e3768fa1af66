//! Parser of the Prometheus text format, for the two metrics that the report needs.

use std::collections::BTreeMap;

use orioleworks_proto::codes::ResultCode;
use serde::{Deserialize, Serialize};

/// Code for result codes that only newer entries know; it spends budget.
const UNKNOWN_CODE: u32 = 9999;

/// Counters of one profile at one entry, summed over classes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counters {
    /// Requests by result code.
    pub by_code: BTreeMap<u32, u64>,
    /// Cumulative histogram: requests that finished within each bound in milliseconds.
    pub within_ms: BTreeMap<u64, u64>,
    /// Requests with a known latency.
    pub timed: u64,
}

/// Counters by profile.
pub type Profiles = BTreeMap<String, Counters>;

/// Reads `orioleworks_requests_total` and `orioleworks_request_seconds`; other metrics are skipped.
///
/// # Errors
///
/// Returns the line that is malformed.
pub fn parse(text: &str) -> Result<Profiles, String> {
    let mut profiles = Profiles::new();
    for (i, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') || !line.starts_with("orioleworks_request") {
            continue;
        }
        let sample = parse_sample(line).ok_or_else(|| format!("line {}: `{line}`", i + 1))?;
        add(&mut profiles, &sample).ok_or_else(|| format!("line {}: `{line}`", i + 1))?;
    }
    Ok(profiles)
}

struct Sample {
    name: String,
    labels: BTreeMap<String, String>,
    value: u64,
}

fn add(profiles: &mut Profiles, sample: &Sample) -> Option<()> {
    let label = |name: &str| sample.labels.get(name);
    let counters = profiles.entry(label("profile")?.clone()).or_default();
    match sample.name.as_str() {
        "orioleworks_requests_total" => {
            let code =
                ResultCode::from_name(label("code")?).map_or(UNKNOWN_CODE, ResultCode::number);
            *counters.by_code.entry(code).or_default() += sample.value;
        }
        "orioleworks_request_seconds_bucket" => {
            let bound = label("le")?;
            if bound != "+Inf" {
                let bound_ms = (bound.parse::<f64>().ok()? * 1000.0).round() as u64;
                *counters.within_ms.entry(bound_ms).or_default() += sample.value;
            }
        }
        "orioleworks_request_seconds_count" => counters.timed += sample.value,
        _ => {}
    }
    Some(())
}

fn parse_sample(line: &str) -> Option<Sample> {
    let (name, rest) = match line.find('{') {
        Some(at) => (&line[..at], &line[at + 1..]),
        None => {
            let (name, value) = line.split_once(' ')?;
            return Some(Sample {
                name: name.into(),
                labels: BTreeMap::new(),
                value: number(value)?,
            });
        }
    };
    let mut labels = BTreeMap::new();
    let mut rest = rest.trim_start();
    while !rest.starts_with('}') {
        let (key, after) = rest.split_once("=\"")?;
        let (value, after) = quoted(after)?;
        labels.insert(key.trim().to_owned(), value);
        rest = after.trim_start().trim_start_matches(',').trim_start();
    }
    Some(Sample { name: name.into(), labels, value: number(&rest[1..])? })
}

/// Label value up to its closing quote, and the rest of the text.
fn quoted(text: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return Some((value, &text[at + 1..])),
            '\\' => match chars.next()?.1 {
                'n' => value.push('\n'),
                escaped => value.push(escaped),
            },
            c => value.push(c),
        }
    }
    None
}

/// Value of a counter; a time stamp may follow it.
fn number(text: &str) -> Option<u64> {
    let value: f64 = text.split_whitespace().next()?.parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value as u64)
}
