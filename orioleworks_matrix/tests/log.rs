//! Guards against an acknowledged order that is lost, reverted or accepted twice after a fault at any step of the log.

use orioleworks_matrix::{
    cell::{self, Cell, Column},
    log,
};
use rstest::rstest;

#[rstest]
fn log_cell(
    #[values(
        "log.before_vote_sync",
        "log.after_vote_sync",
        "log.before_append_sync",
        "log.after_append_sync",
        "log.before_append_reply",
        "log.before_commit",
        "log.before_snapshot_rename",
        "log.after_snapshot_rename",
        "log.before_install_reply",
        "log.before_promote"
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
    let cell = Cell::new(log::PROTOCOL, row, column);
    cell::run(&cell, || log::run(&cell));
}
