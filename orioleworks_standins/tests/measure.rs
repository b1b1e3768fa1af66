//! Policies, workloads and table of the measurement command.

use orioleworks_proto::inner;
use orioleworks_standins::{
    load_report::LoadReport,
    measure_figures::{Counters, Figures, render},
    measure_policy::Policy,
    measure_workload,
    scenario::Outcome,
    trainer::{Findings, TrainerReport},
};
use rstest::rstest;
use serde_json::json;

/// Guards against a policy that sets other values than its name says.
#[rstest]
#[case("default", json!(null), None)]
#[case("fifo+fixed-limit=16", json!({"fifo_queue": true, "fixed_limit": 16}), None)]
#[case("local-samples+second-attempts=0", json!({"local_samples": true}), Some(0))]
fn policy_sets_what_it_names(
    #[case] text: &str,
    #[case] routing: serde_json::Value,
    #[case] permille: Option<u32>,
) {
    let policy: Policy = text.parse().unwrap();
    assert_eq!(policy.routing(), routing);
    let mut profiles = measure_workload::find("steady", 1).unwrap().profiles();
    let before = profiles.clone();
    policy.apply_to(&mut profiles);
    for (profile, before) in profiles.iter().zip(before) {
        let expected = permille.filter(|_| profile.engine);
        let expected = expected.unwrap_or(before.second_attempt_permille);
        assert_eq!(profile.second_attempt_permille, expected, "{}", profile.name);
    }
}

/// Guards against a misspelt policy that is measured as the default.
#[rstest]
#[case("")]
#[case("fifos")]
#[case("fixed-limit")]
#[case("fifo=1")]
#[case("default+")]
fn unknown_policy_is_refused(#[case] text: &str) {
    assert!(text.parse::<Policy>().is_err());
}

/// Guards against a workload without a baseline, with a duplicate profile, or with settings that an entry refuses.
#[rstest]
fn every_workload_is_complete() {
    for name in measure_workload::NAMES {
        let workload = measure_workload::find(name, 7).unwrap();
        let policy: Policy = workload.baseline.parse().unwrap();
        let routing = serde_json::from_value::<orioleworks_entry::config::Routing>(
            serde_json::Value::Object(policy.routing),
        );
        assert!(routing.is_ok(), "{name}: {routing:?}");
        let mut names: Vec<String> = workload.profiles().into_iter().map(|p| p.name).collect();
        names.sort();
        names.dedup();
        assert_eq!(names.len(), workload.profiles().len(), "{name}");
        assert!(19 + 3 * workload.engines_per_domain <= 40, "{name}");
        let bookings = workload.profiles().into_iter().find(|p| p.name == "gate-slot").unwrap();
        assert_eq!((bookings.idempotent, bookings.class()), (false, inner::Class::Booking));
    }
    assert!(measure_workload::find("other", 1).is_none());
}

fn outcome(idle_ms: u64, doubled: u64) -> Outcome {
    let findings = Findings { samples: 10, doubled, ..Findings::default() };
    let trainer = TrainerReport {
        steps: 1,
        steps_wanted: 1,
        findings,
        idle_ms,
        total_ms: 1000,
        ..TrainerReport::default()
    };
    let load = LoadReport { requests: 100, ..LoadReport::default() };
    Outcome { trainer, load, ..Outcome::default() }
}

/// Guards against figures that include other profiles or only one entry, and against a fault that is not reported.
#[rstest]
fn figures_sum_the_counters_of_all_entries() {
    let mut counters = Counters::default();
    for _ in 0..2 {
        counters.add_exposition(concat!(
            "# TYPE orioleworks_attempts_total counter\n",
            "orioleworks_attempts_total{profile=\"audit\",result=\"finished\"} 50\n",
            "orioleworks_attempts_total{profile=\"audit\",result=\"not_run\"} 5\n",
            "orioleworks_attempts_total{profile=\"scorer\",result=\"finished\"} 900\n",
            "orioleworks_extra_tokens_total 32\n",
        ));
    }
    let figures = Figures::new(&outcome(250, 3), &counters);
    assert_eq!(figures.values["attempts per request"], 1.1);
    assert_eq!(figures.values["extra tokens per sample"], 6.4);
    assert_eq!(figures.values["trainer idle share, %"], 25.0);
    assert_eq!(figures.violations, ["double: 3"]);
}

/// Guards against a table that omits the spread over the seeds.
#[rstest]
fn table_shows_mean_and_range() {
    let runs = |idle: [u64; 2]| idle.map(|ms| Figures::new(&outcome(ms, 0), &Counters::default()));
    let (a, b) = (runs([200, 400]), runs([100, 100]));
    let table = render(("left", &a), ("right", &b));
    let row = table.lines().find(|line| line.contains("idle")).unwrap();
    let cells: Vec<&str> = row.split('|').map(str::trim).collect();
    assert_eq!(cells[1..4], ["trainer idle share, %", "30 (20 to 40)", "10"]);
}
