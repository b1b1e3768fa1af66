//! Table of a scenario's outcome.

use std::fmt::Write as _;

use crate::scenario::Outcome;

/// Renders the outcome as one table with a row for each figure.
pub fn render(outcome: &Outcome) -> String {
    let mut table = Table::default();
    add_training_rows(outcome, &mut table);
    add_call_rows(outcome, &mut table);
    for node in &outcome.control {
        let figures = format!(
            "CPU {:.1}%, memory {:.1} MB, {:.0} bytes/s",
            node.cpu * 100.0,
            node.memory_bytes as f64 / 1e6,
            node.bytes_per_second
        );
        table.row(&node.name, figures);
    }
    table.text
}

/// Smallest value that is not exceeded by the given share of the values; 0 without values.
pub fn quantile(values: &[u64], share: f64) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let rank = (share * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.max(1) - 1).copied().unwrap_or(0)
}

/// Mean; 0 without values.
pub fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len();
    if count == 0 { 0.0 } else { values.sum::<f64>() / count as f64 }
}

#[derive(Default)]
struct Table {
    text: String,
}

impl Table {
    fn row(&mut self, name: &str, value: impl std::fmt::Display) {
        let written = writeln!(self.text, "{name:<36} {value}");
        debug_assert!(written.is_ok());
    }
}

fn add_training_rows(outcome: &Outcome, table: &mut Table) {
    let (report, findings) = (&outcome.trainer, &outcome.trainer.findings);
    table.row("steps", format!("{} of {}", report.steps, report.steps_wanted));
    table.row("samples", findings.samples);
    let idle = report.idle_ms as f64 / (report.total_ms.max(1)) as f64;
    table.row("trainer idle share", format!("{:.1}%", idle * 100.0));
    let staleness = &report.staleness;
    let figures = format!(
        "mean {:.2}, p95 {}, max {}, over bound {}",
        mean(staleness.iter().map(|value| *value as f64)),
        quantile(staleness, 0.95),
        staleness.iter().max().unwrap_or(&0),
        findings.over_bound
    );
    table.row("staleness in versions", figures);
    let steps: Vec<String> = report.step_ms.iter().map(|ms| format!("{ms} ms")).collect();
    table.row("time per step", steps.join(", "));
    let attempts = mean(report.attempts.iter().map(|value| f64::from(*value)));
    table.row("attempts per sample", format!("{attempts:.2}"));
    table.row("doubled", findings.doubled);
    table.row("lost", findings.lost);
    table.row("mislabelled", findings.mislabelled);
    table.row("crossed samples", findings.crossed);
    table.row("incomplete samples", findings.broken);
    table.row("misjudged", findings.misjudged);
    table.row("step opens", report.delivery.opens);
    let delivery = report.delivery;
    table.row(
        "refused batches / samples",
        format!("{} / {}", delivery.ignored_batches, delivery.ignored_samples),
    );
}

fn add_call_rows(outcome: &Outcome, table: &mut Table) {
    let load = &outcome.load;
    table.row("calls / repeats", format!("{} / {}", load.requests, load.repeats));
    for (class, latency) in &load.latency {
        let ms = |us: u64| us as f64 / 1000.0;
        let figures = format!("p50 {:.1} ms, p99 {:.1} ms", ms(latency.p50_us), ms(latency.p99_us));
        table.row(&format!("latency {class}"), figures);
    }
    let codes: Vec<String> = load.codes.iter().map(|(name, n)| format!("{name} {n}")).collect();
    table.row("result codes", codes.join(", "));
    table.row("attempts per request", format!("{:.3}", load.attempts_per_request()));
    table.row("crossed answers", load.crossed);
    table.row("unreadable answers", load.broken);
    table.row("mislabelled answers", load.mislabelled);
    table.row("calls without an answer", load.unanswered);
    table.row("repeats with another answer", load.repeats_differ);
    table.row("non-idempotent double runs", load.double_runs);
    table.row("not-run answers that ran", load.not_run_ran);
}
