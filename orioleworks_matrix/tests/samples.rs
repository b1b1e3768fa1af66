//! Fault matrix of sample delivery against real processes; see `docs/MATRIX-samples.md`.

use orioleworks_matrix::samples::{self, Fault};
use rstest::rstest;

/// Guards against lost, duplicated, mislabelled and stale samples, and against a training step that does not recover.
#[rstest]
fn samples_cell(
    #[values(
        "runs.after_open",
        "runs.before_dispatch",
        "runs.after_sample",
        "delivery.before_send",
        "delivery.after_send",
        "delivery.before_next",
        "trainer.before_persist",
        "trainer.after_persist"
    )]
    row: &'static str,
    #[values(
        Fault::OwnerKill,
        Fault::OwnerPause,
        Fault::LostResponse,
        Fault::TrainerKill,
        Fault::OwnerPartition,
        Fault::EngineKill,
        Fault::BothOwnersKill,
        Fault::OwnerKillLeaderPause
    )]
    fault: Fault,
) {
    samples::run(row, fault);
}
