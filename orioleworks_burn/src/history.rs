//! History file: one JSON line for each sample of an entry.

use std::{
    fs::{self, OpenOptions},
    io::{self, Write},
    path::Path,
};

use serde::{Deserialize, Serialize};

use crate::exposition::Profiles;

/// Counters of one entry at one time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Time in milliseconds since the epoch.
    pub at_ms: u64,
    /// Name of the entry.
    pub entry: String,
    /// Counters by profile.
    pub profiles: Profiles,
}

/// Appends samples and syncs the file.
///
/// # Errors
///
/// Returns the error of the operating system.
pub fn append(path: &Path, samples: &[Sample]) -> io::Result<()> {
    let mut text = String::new();
    // A crash may have cut off the last line; the next sample must start on a line of its own.
    if fs::read(path).is_ok_and(|bytes| bytes.last().is_some_and(|b| *b != b'\n')) {
        text.push('\n');
    }
    for sample in samples {
        text += &serde_json::to_string(sample)?;
        text.push('\n');
    }
    let mut file = OpenOptions::new().create(true).append(true).open(path)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()
}

/// Samples of a history file in order of time.
#[derive(Debug, Default)]
pub struct History {
    /// Samples in order of time.
    pub samples: Vec<Sample>,
    /// Numbers of the damaged lines, which are skipped.
    pub damaged: Vec<usize>,
}

/// Reads a history file.
///
/// # Errors
///
/// Returns the error of the operating system.
pub fn read(path: &Path) -> io::Result<History> {
    let mut history = History::default();
    for (i, line) in fs::read_to_string(path)?.lines().enumerate() {
        match serde_json::from_str(line) {
            Ok(sample) => history.samples.push(sample),
            Err(_) if line.trim().is_empty() => {}
            Err(_) => history.damaged.push(i + 1),
        }
    }
    history.samples.sort_by_key(|sample| sample.at_ms);
    Ok(history)
}
