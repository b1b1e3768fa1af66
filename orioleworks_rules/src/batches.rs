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

/// Whether a result is listed: only the first result of an item is, only if the batch allows its weight version, and only
/// with the score that the item asks for.
pub fn accepts_result(listed: bool, weights_allowed: bool, score_missing: bool) -> bool {
    !listed && weights_allowed && !score_missing
}

/// Whether a complete text is kept until its reward call is answered: the first one is, because a score belongs to one text.
pub fn accepts_text(listed: bool, has_text: bool, weights_allowed: bool) -> bool {
    !listed && !has_text && weights_allowed
}

/// Whether an item may be started: not after its batch was ended, and not for a text that exists.
pub fn may_start(ended: bool, listed: bool, has_text: bool) -> bool {
    !ended && !listed && !has_text
}

/// Whether the reward call of an item may be sent: its text is committed, so that no other text can take its place.
pub fn may_call(ended: bool, listed: bool, text_committed: bool) -> bool {
    !ended && !listed && text_committed
}

/// Whether saved events can extend the known ones: they start at or before the end of the known events, without a gap.
pub fn continues(known: usize, from: usize) -> bool {
    from <= known
}
