//! Errors of the data directory.

use std::{io, path::Path};

use displaydoc::Display;

/// Why the data directory cannot be used.
#[derive(Debug, Display)]
pub enum LogError {
    /// {file}: {action} failed: {reason}
    Io {
        /// File or directory.
        file: String,
        /// What was attempted.
        action: &'static str,
        /// Message of the operating system.
        reason: String,
    },
    /// {file}: damaged at offset {offset}: {reason}; repair with `{repair}` and start again, see docs/control.md
    Damaged {
        /// Damaged file.
        file: String,
        /// Offset of the first damaged byte range.
        offset: u64,
        /// What is wrong there.
        reason: String,
        /// Command that makes the replica join again under a new identity.
        repair: String,
    },
    /// {file}: another process uses this data directory
    Locked {
        /// Lock file.
        file: String,
    },
    /// the state in the snapshot cannot be restored: {0}
    Restore(String),
    /// the state machine cannot go on; a restart restores it from snapshot and log: {0}
    StateMachine(String),
}

impl std::error::Error for LogError {}

impl LogError {
    pub(crate) fn io(file: &Path, action: &'static str, e: &io::Error) -> Self {
        Self::Io { file: file.display().to_string(), action, reason: e.to_string() }
    }

    pub(crate) fn damaged(file: &Path, offset: u64, reason: impl Into<String>) -> Self {
        let directory = file.parent().unwrap_or(file).display().to_string();
        Self::Damaged {
            file: file.display().to_string(),
            offset,
            reason: reason.into(),
            repair: format!("mv {directory} {directory}.damaged"),
        }
    }
}
