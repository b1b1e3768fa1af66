//! Rules of replicated batches; see `docs/platform.md`.

/// What a caller may be told of a submission for which no acceptance has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Unaccepted {
    /// No copy can ever be accepted.
    NotRun,
    /// A copy may still be accepted.
    Unknown,
}

/// Decides what is known of a submission that nobody has accepted; `unanswered` says that a store may have taken it.
pub fn unaccepted(unanswered: bool) -> Unaccepted {
    if unanswered { Unaccepted::Unknown } else { Unaccepted::NotRun }
}

/// Whether a result gets a position: the first one of an item does, under weights that the batch allows.
pub fn takes_result(listed: bool, weights_allowed: bool) -> bool {
    !listed && weights_allowed
}

/// Whether an item may be started.
pub fn may_start(ended: bool, listed: bool) -> bool {
    !ended && !listed
}

/// Whether saved events continue those that are known: they begin at the end of these or before it.
pub fn continues(known: usize, from: usize) -> bool {
    from <= known
}
