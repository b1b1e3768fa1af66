//! Guards against a booking that runs twice, or that is reported as not run although it ran, after a fault at any step.

use orioleworks_matrix::{
    cell::{self, Cell, Column},
    claims,
};
use rstest::rstest;

#[rstest]
fn claims_cell(
    #[values(
        "claims.before_claim",
        "claims.after_claim",
        "dispatch.before_send",
        "dispatch.after_send",
        "claims.before_finish",
        "claims.after_finish",
        "dispatch.before_answer"
    )]
    row: &'static str,
    #[values(
        Column::Kill,
        Column::Pause,
        Column::LostResponse,
        Column::LostDisk,
        Column::Partition,
        Column::KillAndPartition,
        Column::PauseAndKill
    )]
    column: Column,
) {
    let cell = Cell::new(claims::PROTOCOL, row, column);
    cell::run(&cell, || claims::run(&cell));
}
