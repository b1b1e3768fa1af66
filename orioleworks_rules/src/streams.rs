//! Rules of streams that are taken up again; see `docs/platform.md`, "Streams and software versions".

use crate::log;

/// What one voter tells of the software versions of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VoterReply<V> {
    /// Whether the voter misses no version that was recorded at it and may have begun a stream.
    pub complete: bool,
    /// Versions that it knows.
    pub versions: Vec<V>,
}

/// Whether so many voters are a majority; there is none of no voters.
pub fn is_majority(count: usize, voters: usize) -> bool {
    voters > 0 && count >= log::quorum(voters)
}

/// Whether a version may begin streams: a majority of the voters has recorded it and, asked again after that, has not been
/// restarted in between. Then every majority that is asked later tells of it.
pub fn may_begin(confirmed: usize, voters: usize) -> bool {
    is_majority(confirmed, voters)
}

/// Version that began a stream of which no record is found: the only one that a majority of complete voters knows.
pub fn only_version<V: Clone + PartialEq>(replies: &[VoterReply<V>], voters: usize) -> Option<V> {
    let complete = replies.iter().filter(|reply| reply.complete).count();
    if !is_majority(complete, voters) {
        return None;
    }
    let mut versions = replies.iter().flat_map(|reply| &reply.versions);
    let first = versions.next()?;
    versions.all(|version| version == first).then(|| first.clone())
}

/// Whether a voter that lost its memory is complete again: it has the versions of so many other voters that are complete.
pub fn is_complete_again(told_by: usize, voters: usize) -> bool {
    is_majority(told_by, voters)
}
