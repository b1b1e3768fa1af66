//! Fields that the generator maps to shared buffers.

/// Held once by the log and the state machine.
pub const SHARED: [&str; 6] = [
    ".inner.BatchItem.body",
    ".inner.ItemResult.text",
    ".inner.Document.content",
    ".inner.ReadItemReply.body",
    ".inner.ItemProgress.events",
    ".inner.Snapshot.state",
];
