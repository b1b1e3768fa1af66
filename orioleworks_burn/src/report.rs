//! Report as text and as JSON.

use std::fmt::Write as _;

use serde::Serialize;

use crate::{
    burn::{self, ProfileBurn},
    config::Config,
    history::History,
    requests::{self, Request, Spenders},
};

/// Report of all profiles with an objective.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Time of the report in milliseconds since the epoch.
    pub at_ms: u64,
    /// Number of samples in the history.
    pub samples: usize,
    /// Numbers of the damaged lines of the history, which are skipped.
    pub damaged_lines: Vec<usize>,
    /// Profiles in the order of the settings.
    pub profiles: Vec<ProfileReport>,
}

/// Report of one profile.
#[derive(Clone, Debug, Serialize)]
pub struct ProfileReport {
    /// Budget and burn rates.
    #[serde(flatten)]
    pub burn: ProfileBurn,
    /// Requests that spent the budget.
    pub requests: Spenders,
}

/// Builds the report for `at_ms`, or for the time of the newest sample.
pub fn build(cfg: &Config, history: &History, requests: &[Request], at_ms: Option<u64>) -> Report {
    let newest = history.samples.last().map_or(0, |s| s.at_ms);
    let at_ms = at_ms.unwrap_or(newest);
    let profile = |objective| ProfileReport {
        burn: burn::profile_burn(&history.samples, objective, at_ms),
        requests: requests::spenders(requests, objective),
    };
    Report {
        at_ms,
        samples: history.samples.len(),
        damaged_lines: history.damaged.clone(),
        profiles: cfg.objectives.iter().map(profile).collect(),
    }
}

impl Report {
    /// Report as text for operators.
    pub fn text(&self) -> String {
        let mut text = format!("burn report at {} ms, {} samples\n", self.at_ms, self.samples);
        if !self.damaged_lines.is_empty() {
            let _ = writeln!(text, "damaged history lines passed over: {:?}", self.damaged_lines);
        }
        for profile in &self.profiles {
            profile.write(&mut text);
        }
        text
    }
}

impl ProfileReport {
    fn write(&self, text: &mut String) {
        let _ = writeln!(text, "\nprofile {}, {} days", self.burn.profile, self.burn.period_days);
        for part in &self.burn.parts {
            let _ = writeln!(
                text,
                "  {}: objective {:.3}%, {} of {} requests missed it, budget left {:.1}%",
                part.part,
                part.share * 100.0,
                part.spent.bad,
                part.spent.total,
                part.budget_left * 100.0
            );
            let rates: Vec<String> = part
                .windows
                .iter()
                .map(|w| match w.rate {
                    Some(rate) => format!("{} {rate:.2}", w.window),
                    None => format!("{} no requests", w.window),
                })
                .collect();
            let _ = writeln!(text, "    burn rate: {}", rates.join(", "));
        }
        for (code, count) in &self.burn.bad_by_code {
            let _ = writeln!(text, "  failed: {count} with {}", requests::code_name(*code));
        }
        for (code, failed) in &self.requests.failed {
            for r in failed {
                let _ =
                    writeln!(text, "  request {} failed with {code} after {} ms", r.request, r.ms);
            }
        }
        for r in &self.requests.slowest {
            let _ = writeln!(text, "  request {} took {} ms", r.request, r.ms);
        }
    }
}
