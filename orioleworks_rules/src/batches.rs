//! Rules of replicated batches; see `docs/platform.md`.

/// Outcome to report to a caller for a submission that no store has confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SubmissionOutcome {
    /// No copy can ever be accepted.
    NotRun,
    /// A copy may still be accepted.
    Unknown,
}

/// Outcome of a submission that no store has confirmed; `maybe_accepted` means that a store may have accepted it.
pub fn submission_outcome(maybe_accepted: bool) -> SubmissionOutcome {
    if maybe_accepted { SubmissionOutcome::Unknown } else { SubmissionOutcome::NotRun }
}

/// Whether a result is listed: only the first result of an item is, and only if the batch allows its weight version.
pub fn accepts_result(listed: bool, weights_allowed: bool) -> bool {
    !listed && weights_allowed
}

/// Whether an item may be started.
pub fn may_start(ended: bool, listed: bool) -> bool {
    !ended && !listed
}

/// Whether saved events can extend the known ones: they start at or before the end of the known events, without a gap.
pub fn continues(known: usize, from: usize) -> bool {
    from <= known
}
