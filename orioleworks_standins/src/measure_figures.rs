//! Figures of measured runs and their table.

use std::{collections::BTreeMap, fmt::Write as _};

use indexmap::IndexMap;

use crate::{
    scenario::Outcome,
    table::{mean, quantile},
};

/// Counters of the processes at the end of a run.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Sums over the entries, by metric name with its labels.
    sums: BTreeMap<String, f64>,
    /// Number of prompts that the engines looked up in their prefix caches.
    pub prefix_lookups: f64,
    /// Number of these prompts that were cached.
    pub prefix_hits: f64,
}

impl Counters {
    /// Adds the counters of one process, given in the Prometheus exposition format.
    pub fn add_exposition(&mut self, text: &str) {
        for line in text.lines().filter(|line| !line.starts_with('#')) {
            if let Some((key, value)) = line.rsplit_once(' ')
                && let Ok(value) = value.parse::<f64>()
            {
                *self.sums.entry(key.to_owned()).or_default() += value;
            }
        }
    }

    /// Sum of the series of a metric whose labels contain each of these texts.
    pub fn sum(&self, name: &str, labels: &[&str]) -> f64 {
        let matches = |key: &str| {
            key.split('{').next() == Some(name) && labels.iter().all(|label| key.contains(label))
        };
        self.sums.iter().filter(|(key, _)| matches(key)).fold(0.0, |sum, (_, value)| sum + value)
    }
}

/// Profiles of the callers' requests.
const CALLER_PROFILES: [&str; 5] =
    ["quality-lookup", "gate-slot", "audit", "audit-slots", "scorer-lookup"];

/// Figures of one run by name; a figure that does not apply is absent.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Figures in the order of the table's rows.
    pub values: IndexMap<String, f64>,
    /// Violations of guarantees, such as a sample that was delivered twice.
    pub violations: Vec<String>,
}

impl Figures {
    /// Figures of an outcome.
    pub fn new(outcome: &Outcome, counters: &Counters) -> Self {
        let mut figures = Self::default();
        figures.add_training(outcome, counters);
        figures.add_calls(outcome, counters);
        figures.add_violations(outcome);
        figures
    }

    fn put(&mut self, name: &str, value: f64) {
        self.values.insert(name.to_owned(), value);
    }

    fn add_training(&mut self, outcome: &Outcome, counters: &Counters) {
        let report = &outcome.trainer;
        self.put("steps completed", report.steps as f64);
        let idle = 100.0 * report.idle_ms as f64 / report.total_ms.max(1) as f64;
        self.put("trainer idle share, %", idle);
        self.put("step time mean, ms", mean(report.step_ms.iter().map(|ms| *ms as f64)));
        self.put("step time max, ms", report.step_ms.iter().max().map_or(0.0, |ms| *ms as f64));
        let staleness = &report.staleness;
        self.put("staleness mean, versions", mean(staleness.iter().map(|value| *value as f64)));
        self.put("staleness p95, versions", quantile(staleness, 0.95) as f64);
        self.put("samples over bound", report.findings.over_bound as f64);
        let stale = counters.sum("orioleworks_samples_discarded_total", &["\"stale\""]);
        self.put("samples discarded as stale", stale);
        self.put("attempts per sample", mean(report.attempts.iter().map(|n| f64::from(*n))));
        let second_attempts = counters.sum("orioleworks_second_attempts_total", &[]);
        self.put("second attempts", second_attempts);
        let extra_tokens = counters.sum("orioleworks_extra_tokens_total", &[]);
        let samples = report.findings.samples.max(1) as f64;
        self.put("extra tokens per sample", extra_tokens / samples);
        self.put("forwards", counters.sum("orioleworks_forwards_total", &[]));
        let hits = 100.0 * counters.prefix_hits / counters.prefix_lookups.max(1.0);
        self.put("prefix hit share, %", hits);
    }

    fn add_calls(&mut self, outcome: &Outcome, counters: &Counters) {
        let load = &outcome.load;
        for (class, latency) in &load.latency {
            self.put(&format!("{class} p50, ms"), latency.p50_us as f64 / 1000.0);
            self.put(&format!("{class} p99, ms"), latency.p99_us as f64 / 1000.0);
            self.put(&format!("{class} successes"), latency.count as f64);
        }
        let attempts: f64 = CALLER_PROFILES
            .iter()
            .map(|name| format!("profile=\"{name}\""))
            .map(|label| counters.sum("orioleworks_attempts_total", &[&label]))
            .sum();
        self.put("requests", load.requests as f64);
        self.put("attempts per request", attempts / load.requests.max(1) as f64);
        let not_run = counters.sum("orioleworks_attempts_total", &["\"not_run\""]);
        self.put("attempts refused by upstreams", not_run);
        let responses: u64 = load.codes.values().sum();
        let ok = load.codes.get("ok").copied().unwrap_or(0);
        self.put("refused or failed, %", 100.0 * (responses - ok) as f64 / responses.max(1) as f64);
    }

    fn add_violations(&mut self, outcome: &Outcome) {
        let (findings, load) = (&outcome.trainer.findings, &outcome.load);
        // Slots of an unfinished step do not count as lost; the number of completed steps shows them.
        let finished = outcome.trainer.steps == outcome.trainer.steps_wanted;
        let lost = if finished { findings.lost } else { 0 };
        let violations = [
            ("double", findings.doubled + load.double_runs),
            ("lost", lost),
            ("mislabelled", findings.mislabelled + load.mislabelled),
            ("crossed", findings.crossed + load.crossed),
            ("not run, yet ran", load.not_run_ran),
        ];
        for (name, count) in violations {
            self.put(name, count as f64);
            if count > 0 {
                self.violations.push(format!("{name}: {count}"));
            }
        }
        if findings.over_bound > 0 {
            self.violations.push(format!("over the staleness bound: {}", findings.over_bound));
        }
        self.violations
            .extend(outcome.missing.iter().map(|name| format!("{name} wrote no report")));
    }
}

/// Mean and range of one figure over the runs that contain it.
fn mean_and_range(runs: &[Figures], name: &str) -> String {
    let values: Vec<f64> = runs.iter().filter_map(|run| run.values.get(name).copied()).collect();
    if values.is_empty() {
        return "-".into();
    }
    let minimum = values.iter().copied().fold(f64::INFINITY, f64::min);
    let maximum = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let text = format_number(mean(values.iter().copied()));
    if minimum == maximum {
        text
    } else {
        format!("{text} ({} to {})", format_number(minimum), format_number(maximum))
    }
}

fn format_number(value: f64) -> String {
    match value {
        v if v == v.trunc() && v.abs() < 1e9 => format!("{v:.0}"),
        v if v.abs() >= 100.0 => format!("{v:.0}"),
        v => format!("{v:.2}"),
    }
}

/// Renders a table of two policies side by side: the mean over the seeds, and the range in brackets.
pub fn render(a: (&str, &[Figures]), b: (&str, &[Figures])) -> String {
    let mut names: IndexMap<&str, ()> = IndexMap::new();
    for run in a.1.iter().chain(b.1) {
        names.extend(run.values.keys().map(|name| (name.as_str(), ())));
    }
    let mut text = String::new();
    let mut row = |name: &str, left: &str, right: &str| {
        let written = writeln!(text, "| {name:<30} | {left:<30} | {right:<30} |");
        debug_assert!(written.is_ok());
    };
    row("figure", a.0, b.0);
    row(&"-".repeat(30), &"-".repeat(30), &"-".repeat(30));
    for name in names.keys() {
        row(name, &mean_and_range(a.1, name), &mean_and_range(b.1, name));
    }
    text
}
