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
        "log.before_append_sync@leader",
        "log.before_append_sync@follower",
        "log.after_append_sync@leader",
        "log.after_append_sync@follower",
        "log.before_append_reply",
        "log.before_commit@leader",
        "log.before_commit@follower",
        "log.before_snapshot_rename@leader",
        "log.before_snapshot_rename@follower",
        "log.after_snapshot_rename@leader",
        "log.after_snapshot_rename@follower",
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
