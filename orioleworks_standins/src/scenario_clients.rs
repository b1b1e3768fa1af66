//! Command lines of the trainer and the load generator of a scenario.

use std::{path::Path, time::Duration};

use crate::{
    deployment::{Deployment, Kind},
    layout::args,
    scenario::{MAX_STALENESS, Options},
};

/// Part of the training deadline that is reserved for the trainer's report.
const REPORT_MARGIN: Duration = Duration::from_secs(5);

/// Adds trainer and load generator without starting them.
pub fn add_clients(deployment: &mut Deployment, options: &Options) {
    let directory = deployment.options().directory.clone();
    add_trainer(deployment, options, &directory.join("trainer.json"));
    add_load(deployment, options, &directory.join("load.json"));
}

fn add_trainer(deployment: &mut Deployment, options: &Options, report: &Path) {
    // The steps end before the training deadline, so that the trainer can still write its report.
    let training = options.training_deadline.saturating_sub(REPORT_MARGIN);
    let step_ms = training.as_millis() / u128::from(options.steps.max(1));
    let arguments = args(&[
        ("entries", &deployment.addresses(Kind::Entry)),
        ("weights", &deployment.addresses(Kind::Weights)),
        ("run", "nightly"),
        ("steps", &options.steps.to_string()),
        ("groups", &options.groups.to_string()),
        ("samples", &options.samples.to_string()),
        ("max-tokens", &options.max_tokens.to_string()),
        ("max-staleness", &MAX_STALENESS.to_string()),
        ("seed", &options.seed.to_string()),
        ("prompts", &options.prompts.to_string()),
        ("train-ms", &options.train_time.as_millis().to_string()),
        ("step-deadline-ms", &step_ms.to_string()),
        ("report", &report.display().to_string()),
    ]);
    deployment.add_client("trainer", "standin-trainer", arguments);
}

fn add_load(deployment: &mut Deployment, options: &Options, report: &Path) {
    let mut arguments = args(&[
        ("entries", &deployment.addresses(Kind::Entry)),
        ("services", &deployment.addresses(Kind::Service)),
        ("rate", &options.rate.to_string()),
        ("duration-ms", &options.duration.as_millis().to_string()),
        ("seed", &options.seed.to_string()),
        ("report", &report.display().to_string()),
    ]);
    if !options.mix.is_empty() {
        arguments.extend(args(&[("mix", &options.mix)]));
    }
    deployment.add_client("load", "orioleworks-load", arguments);
}
