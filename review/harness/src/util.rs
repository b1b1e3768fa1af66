//! Small helpers: the record of a run, random numbers, base64.

use std::{
    fs::File,
    hash::{BuildHasher, Hasher, RandomState},
    io::Write,
    sync::Mutex,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// What was sent, answered and run, with the time in milliseconds since the start.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    /// Creates the file that `REVIEW_RECORD` names.
    pub fn create() -> Result<Self, String> {
        let path = std::env::var("REVIEW_RECORD").map_err(|_| "REVIEW_RECORD is not set")?;
        let file = File::create(path).map_err(|e| e.to_string())?;
        Ok(Self { file: Mutex::new(file), started: Instant::now() })
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.started.elapsed().as_millis();
        if let Ok(mut file) = self.file.lock() {
            drop(writeln!(file, "{ms:>7} {}", text.as_ref()));
        }
    }

    /// Writes a line here and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// A random number.
pub fn random() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Whether the disruption takes place.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Whether one of several disruptions takes place; `TROUBLE=NAME` leaves only that one.
pub fn trouble_of(name: &str) -> bool {
    trouble()
        && std::env::var("TROUBLE")
            .map_or(true, |only| only == "1" || only.is_empty() || only == name)
}
