//! Guards against a configuration that reverts, or that is not in force in time, after a fault at any step of its
//! distribution.

use orioleworks_matrix::{
    cell::{self, Cell, Column},
    configuration,
};
use rstest::rstest;

#[rstest]
fn configuration_cell(
    #[values(
        "config.before_watch_reply",
        "config.before_apply",
        "config.after_apply",
        "config.before_persist",
        "config.after_persist"
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
    let cell = Cell::new(configuration::PROTOCOL, row, column);
    cell::run(&cell, || configuration::run(&cell));
}
