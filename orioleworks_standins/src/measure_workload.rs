//! Workloads: sizes, load, and faults at fixed times.

use std::time::Duration;

use orioleworks_proto::inner;

use crate::scenario;

/// Action on the deployment at a given time.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    /// Sets faults, given as JSON, on every upstream whose name has this prefix.
    Fault(&'static str, &'static str),
    /// Kills the entries, engines and plain services of this failure domain.
    KillDomain(&'static str),
}

/// Sizes, arguments, load and faults of one workload.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Number of engines in each failure domain; a deployment has 19 other processes.
    pub engines_per_domain: usize,
    /// Arguments of the weight store.
    pub weights_args: Vec<String>,
    /// Arguments of the engines.
    pub engine_args: Vec<String>,
    /// Arguments of the plain services.
    pub service_args: Vec<String>,
    /// Trainer and load.
    pub scenario: scenario::Options,
    /// Whether the plain services for lookups also judge the samples.
    pub shared_judge: bool,
    /// Actions, ordered by their time since the start of the traffic.
    pub actions: Vec<(Duration, Action)>,
    /// Policy that the default policy is compared with, unless another one is given.
    pub baseline: &'static str,
}

/// Names of the workloads.
pub const NAMES: [&str; 11] = [
    "steady",
    "overload",
    "refusals",
    "knee",
    "stragglers",
    "skewed",
    "lag",
    "slow-engine",
    "domain-loss",
    "swaps",
    "swaps-fast-store",
];

/// Mix with mostly rollout calls, on the services for lookups and for bookings.
const OVERLOAD_MIX: &str =
    "quality-lookup:lookup:1,gate-slot:booking:1:once,audit:rollout:6,audit-slots:rollout:6";
/// Mix with completions for callers, which run on engines beside the samples of the trainer.
const ENGINE_MIX: &str = "scorer-lookup:lookup:1:engine,gate-slot:booking:1:once";
/// Longest duration of all steps together, including 5 s for the trainer's report. Most runs need half of it.
const TRAINING_DEADLINE: Duration = Duration::from_secs(25);

/// Returns the workload with the given name.
pub fn find(name: &str, seed: u64) -> Option<Workload> {
    let base = base(seed);
    let scenario = base.scenario.clone();
    Some(match name {
        "steady" => base,
        // Each service runs 4 requests of 40 ms at a time, 100 per second; three domains run 300 per second of a kind.
        // The mix sends half of the 1200 requests per second to each kind, twice what the services can run.
        "overload" => Workload {
            service_args: split_args("--work-ms 40 --workers 4 --capacity 4"),
            scenario: scenario::Options {
                rate: 1200.0,
                mix: OVERLOAD_MIX.into(),
                duration: Duration::from_secs(5),
                steps: 3,
                groups: 12,
                ..scenario
            },
            shared_judge: true,
            baseline: "fifo",
            ..base
        },
        // The services announce a capacity of 16 but run 4 requests at a time, and refuse requests over 6.
        "refusals" => Workload {
            service_args: split_args("--work-ms 40 --workers 4 --capacity 16 --refuse-over 6"),
            scenario: scenario::Options {
                rate: 1200.0,
                mix: OVERLOAD_MIX.into(),
                duration: Duration::from_secs(5),
                steps: 3,
                groups: 12,
                ..scenario
            },
            baseline: "unlimited-retries",
            ..base
        },
        // The engines announce a capacity of 64, but slow down from 8 requests on.
        "knee" => Workload {
            engine_args: split_args("--capacity 64 --knee 8"),
            scenario: scenario::Options { rate: 60.0, mix: ENGINE_MIX.into(), ..scenario },
            baseline: "fixed-limit=64",
            ..base
        },
        "stragglers" => Workload {
            actions: vec![(
                Duration::ZERO,
                Action::Fault("scorer-", r#"{"straggle_permille":40,"straggle_factor":6.0}"#),
            )],
            baseline: "second-attempts=0",
            ..base
        },
        "skewed" => Workload {
            engine_args: split_args("--cache-entries 4 --prefill-ms 150"),
            scenario: scenario::Options { prompts: 40, ..scenario },
            baseline: "no-affinity",
            ..base
        },
        "lag" => Workload {
            engine_args: split_args("--lag-ms 3000"),
            scenario: scenario::Options { rate: 60.0, mix: ENGINE_MIX.into(), ..scenario },
            baseline: "random-choice",
            ..base
        },
        "slow-engine" => Workload {
            actions: vec![(
                Duration::from_secs(1),
                Action::Fault("scorer-a1", r#"{"slow_factor":10.0}"#),
            )],
            baseline: "fixed-limit=16",
            ..base
        },
        "domain-loss" => Workload {
            actions: vec![(Duration::from_millis(1500), Action::KillDomain("sicilia-c"))],
            baseline: "local-samples",
            ..base
        },
        // The trainer publishes a version after each step of 1 to 2 s.
        "swaps" | "swaps-fast-store" => Workload {
            engines_per_domain: 4,
            weights_args: match name {
                "swaps" => Vec::new(),
                _ => split_args("--per-second 1000 --burst 1000"),
            },
            scenario: scenario::Options {
                steps: 6,
                train_time: Duration::from_millis(800),
                ..scenario
            },
            baseline: "objective-idle",
            ..base
        },
        _ => return None,
    })
}

fn base(seed: u64) -> Workload {
    Workload {
        engines_per_domain: 2,
        weights_args: Vec::new(),
        engine_args: Vec::new(),
        service_args: Vec::new(),
        scenario: scenario::Options {
            seed,
            steps: 5,
            groups: 24,
            samples: 4,
            max_tokens: 64,
            rate: 60.0,
            duration: Duration::from_secs(6),
            training_deadline: TRAINING_DEADLINE,
            train_time: Duration::from_millis(300),
            ..scenario::Options::default()
        },
        shared_judge: false,
        actions: Vec::new(),
        baseline: "local-samples",
    }
}

fn split_args(text: &str) -> Vec<String> {
    text.split_whitespace().map(String::from).collect()
}

impl Workload {
    /// Profiles of the local deployment and of the mixes.
    pub fn profiles(&self) -> Vec<inner::Profile> {
        let mut profiles = scenario::profiles();
        let base_profile = |name: &str| {
            let found = profiles.iter().find(|profile| profile.name == name);
            found.cloned().unwrap_or_default()
        };
        let (scorer, lookup, booking) =
            (base_profile("scorer"), base_profile("quality-lookup"), base_profile("gate-slot"));
        let rollout = i32::from(inner::Class::Rollout);
        let added = [
            inner::Profile { name: "audit".into(), class: rollout, ..lookup },
            inner::Profile {
                name: "audit-slots".into(),
                class: rollout,
                idempotent: true,
                ..booking
            },
            inner::Profile {
                name: "scorer-lookup".into(),
                class: inner::Class::Lookup.into(),
                judge_kind: String::new(),
                deadline_ms: 5000,
                ..scorer
            },
        ];
        profiles.extend(added);
        if self.shared_judge {
            for profile in profiles.iter_mut().filter(|profile| profile.judge_kind == "judge") {
                profile.judge_kind = "sheet-app".into();
            }
        }
        profiles
    }
}
