//! Settings of the error budget report.

use std::{collections::BTreeSet, net::SocketAddr, path::PathBuf};

use orioleworks_settings::{Problems, Settings};
use serde::Deserialize;

/// Settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// File that the samples are appended to.
    pub history: PathBuf,
    /// Entries whose metrics are sampled.
    #[serde(default)]
    pub entries: Vec<Entry>,
    /// Objectives, one for each profile.
    pub objectives: Vec<Objective>,
}

/// Entry that is sampled.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Name in the history.
    pub name: String,
    /// Address of its HTTP listener.
    pub http: SocketAddr,
}

/// Objective of one profile.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Name of the profile.
    pub profile: String,
    /// Share of requests that must succeed.
    pub availability: f64,
    /// Latency part of the objective.
    pub latency: Option<Latency>,
    /// Period over which the budget is counted, in days.
    #[serde(default = "default_period_days")]
    pub period_days: u32,
}

/// Share of requests that must finish within a threshold.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Latency {
    /// Threshold in milliseconds; must be a bucket bound of the entries' histogram.
    pub threshold_ms: u32,
    /// Share of requests that must be within it.
    pub share: f64,
}

fn default_period_days() -> u32 {
    28
}

/// Bucket bounds of the entries' latency histogram in milliseconds, below one minute and above it.
const BUCKETS_MS: &[u32] =
    &[1, 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10_000, 30_000, 60_000, 240_000];
/// A share of 1 leaves no budget, and the burn rate divides by the budget.
const SHARE_RANGE: std::ops::RangeInclusive<f64> = 0.5..=0.99999;

impl Settings for Config {
    fn check(&self, problems: &mut Problems) {
        problems.require("objectives", !self.objectives.is_empty(), "at least one is needed");
        let mut seen = BTreeSet::new();
        for (i, objective) in self.objectives.iter().enumerate() {
            let key = format!("objectives[{i}]");
            let unique = seen.insert(&objective.profile);
            problems.require(
                format!("{key}.profile"),
                unique,
                "the profile has an objective already",
            );
            problems.range(
                format!("{key}.availability"),
                objective.availability,
                SHARE_RANGE,
                "share",
            );
            problems.range(format!("{key}.period_days"), objective.period_days, 1..=90, "days");
            if let Some(latency) = &objective.latency {
                problems.range(format!("{key}.latency.share"), latency.share, SHARE_RANGE, "share");
                let known = BUCKETS_MS.contains(&latency.threshold_ms);
                let accepted =
                    format!("must be a bucket bound of the entries, one of {BUCKETS_MS:?}");
                problems.require(format!("{key}.latency.threshold_ms"), known, accepted);
            }
        }
    }
}
