//! Requests that spent the budget, from key=value request logs.

use std::collections::BTreeMap;

use orioleworks_proto::codes::ResultCode;
use serde::Serialize;

use crate::{burn, config::Objective};

/// Most requests that are listed for a profile with one result code, or as slow.
const MAX_LISTED: usize = 10;

/// One finished request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Request {
    /// Request ID.
    pub request: String,
    /// Name of the profile.
    pub profile: String,
    /// Result code.
    pub code: u32,
    /// Duration in milliseconds.
    pub ms: f64,
}

/// Requests of one profile that spent its budget.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Spenders {
    /// Failed requests by name of the code, slowest first.
    pub failed: BTreeMap<String, Vec<Request>>,
    /// Requests above the latency threshold, slowest first.
    pub slowest: Vec<Request>,
}

/// Finished requests of a log; other lines are skipped.
pub fn parse(text: &str) -> Vec<Request> {
    text.lines().filter_map(parse_line).collect()
}

fn parse_line(line: &str) -> Option<Request> {
    let pairs = pairs(line);
    let get = |key: &str| pairs.iter().find(|(k, _)| k == key).map(|(_, value)| value.clone());
    if get("event")? != "request_finished" {
        return None;
    }
    Some(Request {
        request: get("request_id")?,
        profile: get("profile")?,
        code: get("code")?.parse().ok()?,
        ms: get("ms")?.parse().ok()?,
    })
}

/// Key-value pairs of a line; a quoted value has the escapes of a Rust or JSON string.
fn pairs(line: &str) -> Vec<(String, String)> {
    let mut parsed = Vec::new();
    let mut rest = line.trim_start();
    while let Some((key, after)) = rest.split_once('=') {
        let (value, end) = match after.strip_prefix('"') {
            Some(quoted) => unquote(quoted),
            None => {
                let end = after.find(char::is_whitespace).unwrap_or(after.len());
                (after[..end].to_owned(), &after[end..])
            }
        };
        parsed.push((key.trim().to_owned(), value));
        rest = end.trim_start();
    }
    parsed
}

fn unquote(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return (value, &text[at + 1..]),
            '\\' => value.extend(chars.next().map(|(_, escaped)| escaped)),
            c => value.push(c),
        }
    }
    (value, "")
}

/// Requests that spent the budget of a profile.
pub fn spenders(requests: &[Request], objective: &Objective) -> Spenders {
    let mut own: Vec<&Request> =
        requests.iter().filter(|r| r.profile == objective.profile).collect();
    own.sort_by(|a, b| b.ms.total_cmp(&a.ms).then_with(|| a.request.cmp(&b.request)));
    let mut spenders = Spenders::default();
    for request in own {
        if burn::spends_budget(request.code) {
            let failed = spenders.failed.entry(code_name(request.code)).or_default();
            if failed.len() < MAX_LISTED {
                failed.push(request.clone());
            }
        }
        let slow = objective.latency.as_ref().is_some_and(|l| request.ms > l.threshold_ms.into());
        if slow && spenders.slowest.len() < MAX_LISTED {
            spenders.slowest.push(request.clone());
        }
    }
    spenders
}

/// Number and name of a code.
pub fn code_name(code: u32) -> String {
    let name = ResultCode::from_number(code).map_or_else(|| "unknown".to_owned(), ResultCode::name);
    format!("{code} {name}")
}
