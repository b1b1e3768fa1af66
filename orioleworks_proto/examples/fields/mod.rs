//! Fields that the generator maps to shared buffers.

/// Fields whose bytes the log and the state machine share without a copy.
pub const BYTES_FIELDS: [&str; 7] = [
    ".inner.BatchItem.body",
    ".inner.RewardCall.body",
    ".inner.ItemResult.text",
    ".inner.Document.content",
    ".inner.ReadItemReply.body",
    ".inner.ItemProgress.events",
    ".inner.Snapshot.state",
];
