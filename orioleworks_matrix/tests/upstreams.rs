//! Fault matrix of upstreams against real processes: requests that crash them, stop orders, graceful shutdown and
//! weight orders; see `docs/MATRIX-samples.md`.

use orioleworks_matrix::{poison, stops, swaps};
use rstest::rstest;

/// Guards against a request that crashes more than two upstreams, and against a refusal that is late or not permanent.
#[rstest]
#[case::one_entry(poison::Caller::OneEntry, poison::Fault::None)]
#[case::each_entry_in_turn(poison::Caller::EachEntryInTurn, poison::Fault::None)]
#[case::whole_domain_at_once(poison::Caller::WholeDomainAtOnce, poison::Fault::None)]
#[case::all_entries_at_once(poison::Caller::AllEntriesAtOnce, poison::Fault::None)]
#[case::entry_kill(poison::Caller::EachEntryInTurn, poison::Fault::EntryKill)]
#[case::leader_pause(poison::Caller::EachEntryInTurn, poison::Fault::LeaderPause)]
fn poison_cell(#[case] caller: poison::Caller, #[case] fault: poison::Fault) {
    poison::run(caller, fault);
}

/// Guards against harmless requests that are refused because all engines of a failure domain were killed while the
/// requests were in flight.
#[test]
fn poison_innocent_requests_survive_a_domain_loss() {
    poison::run_domain_loss();
}

/// Guards against new requests at a stopped upstream, against aborted running requests, and against a delayed
/// announcement that brings the upstream back into use.
#[rstest]
#[case::partition(stops::Fault::Partition)]
#[case::late_announcement(stops::Fault::LateAnnouncement)]
#[case::leader_kill(stops::Fault::LeaderKill)]
fn stop_cell(#[case] fault: stops::Fault) {
    stops::run(fault);
}

/// Guards against requests that a graceful shutdown aborts, and against a load balancer that detects the shutdown too
/// late.
#[test]
fn shutdown_cuts_off_no_request() {
    stops::run_shutdown();
}

/// Guards against wrong labels, stale samples, engines that stay on an old version, and orders of a former lease holder
/// that override newer ones.
#[rstest]
#[case::mid_stream("engine.swap", swaps::Fault::MidStream, false)]
#[case::failed_swap("engine.swap", swaps::Fault::FailedSwap, false)]
#[case::late_swap("engine.swap", swaps::Fault::LateSwap, false)]
#[case::engine_restart("engine.swap", swaps::Fault::EngineRestart, false)]
#[case::kill_before_order("weights.before_order", swaps::Fault::HolderKill, false)]
#[case::kill_after_order("weights.after_order", swaps::Fault::HolderKill, true)]
#[case::pause_before_order("weights.before_order", swaps::Fault::HolderPause, false)]
#[case::late_order("weights.before_order", swaps::Fault::HolderPause, true)]
#[case::pause_after_order("weights.after_order", swaps::Fault::HolderPause, true)]
fn weights_cell(
    #[case] row: &'static str,
    #[case] fault: swaps::Fault,
    #[case] ignore_fencing: bool,
) {
    swaps::run(row, fault, ignore_fencing);
}
