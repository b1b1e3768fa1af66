//! Log file: appended in batches, replaced as a whole when entries at its start or end are removed.
//!
//! A record is a length, the CRC-32C of length and payload, and the payload, an encoded [`inner::LogEntry`]. The file
//! [`SYNCED_FILE`] holds the synced mark, the length of the log file up to the last synced record. It distinguishes a
//! torn tail, which is truncated, from damage to acknowledged records, which is an error. The mark itself is synced
//! together with the next batch: after a power loss it may be one batch behind, never ahead.

use std::{
    fs::{self, File, OpenOptions},
    io::{Read, Write},
    os::unix::fs::FileExt,
    path::{Path, PathBuf},
};

use orioleworks_daemon::event;
use orioleworks_proto::inner;
use orioleworks_rules::log::LogPosition;
use prost::Message;

use crate::{
    error::LogError,
    files::{commit_replacement, sync_directory, write_replacement},
};

/// Name of the log file.
pub const LOG_FILE: &str = "log";
/// Name of the file that holds the synced mark.
pub const SYNCED_FILE: &str = "synced";

const MAGIC: &[u8; 8] = b"owlog_01";
/// Length in bytes of magic, file ID, synced length at creation, base index, base term and CRC-32C.
const HEADER_LEN: usize = 8 + 4 * 8 + 4;
/// Length in bytes of the length and CRC-32C before a payload.
const RECORD_HEADER_LEN: usize = 8;
/// Length of a mark in bytes. Two slots are written alternately, so that a torn write leaves the older mark intact.
const SLOT_LEN: usize = 28;
/// Offset of the second slot in bytes.
const SLOT_DISTANCE: u64 = 512;

/// Open log file.
#[derive(Debug)]
pub struct Journal {
    directory: PathBuf,
    file: File,
    mark_file: File,
    file_id: u64,
    len: u64,
    mark_sequence: u64,
}

/// Contents of a log file.
#[derive(Debug, Default)]
pub struct Loaded {
    /// Position before the first entry.
    pub base: LogPosition,
    /// Entries in order.
    pub entries: Vec<inner::LogEntry>,
}

struct Header {
    file_id: u64,
    synced_len: u64,
    base: LogPosition,
}

impl Journal {
    /// Opens the log file, truncates a torn tail and returns an error for damage before the synced mark.
    ///
    /// # Errors
    ///
    /// Returns what is damaged, where, and how to repair it.
    pub fn open(directory: &Path) -> Result<(Self, Loaded), LogError> {
        let path = directory.join(LOG_FILE);
        if !path.exists() {
            let journal = Self::create(directory, LogPosition::default(), &[])?;
            return Ok((journal, Loaded::default()));
        }
        let mut bytes = Vec::new();
        File::open(&path)
            .and_then(|mut f| f.read_to_end(&mut bytes))
            .map_err(|e| LogError::io(&path, "read", &e))?;
        let header = parse_header(&path, &bytes)?;
        let (mark_sequence, marked) = read_mark(directory, header.file_id);
        let synced = header.synced_len.max(marked);
        let (entries, end) = scan(&path, &bytes, header.base, synced)?;
        let mut journal = Self::attach(directory, header.file_id, end as u64, mark_sequence)?;
        if end < bytes.len() {
            event!(warn, "torn_tail_cut", file = path.display(), offset = end, end = bytes.len());
            journal.file.set_len(end as u64).map_err(|e| LogError::io(&path, "truncate", &e))?;
        }
        // Records at the end may be readable without being durable.
        journal.sync()?;
        Ok((journal, Loaded { base: header.base, entries }))
    }

    /// Replaces the log file by one that holds exactly these entries.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn create(
        directory: &Path,
        base: LogPosition,
        entries: &[inner::LogEntry],
    ) -> Result<Self, LogError> {
        let mut records = Vec::new();
        for entry in entries {
            append_record(&mut records, entry);
        }
        let len = (HEADER_LEN + records.len()) as u64;
        let file_id = rand::random();
        let mut bytes = MAGIC.to_vec();
        for word in [file_id, len, base.index, base.term] {
            bytes.extend(word.to_le_bytes());
        }
        bytes.extend(crc32c::crc32c(&bytes).to_le_bytes());
        bytes.extend(records);
        let path = directory.join(LOG_FILE);
        fail::fail_point!("log.before_append_sync");
        write_replacement(&path, &bytes)?;
        commit_replacement(&path)?;
        fail::fail_point!("log.after_append_sync");
        Self::attach(directory, file_id, len, 0)
    }

    fn attach(
        directory: &Path,
        file_id: u64,
        len: u64,
        mark_sequence: u64,
    ) -> Result<Self, LogError> {
        let path = directory.join(LOG_FILE);
        let file = OpenOptions::new()
            .write(true)
            .open(&path)
            .map_err(|e| LogError::io(&path, "open", &e))?;
        let mark_path = directory.join(SYNCED_FILE);
        let mark_file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&mark_path)
            .map_err(|e| LogError::io(&mark_path, "open", &e))?;
        sync_directory(directory)?;
        Ok(Self { directory: directory.into(), file, mark_file, file_id, len, mark_sequence })
    }

    /// Appends entries and syncs them.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system; the journal must not be used afterwards.
    pub fn append(&mut self, entries: &[inner::LogEntry]) -> Result<(), LogError> {
        let mut bytes = Vec::new();
        for entry in entries {
            append_record(&mut bytes, entry);
        }
        self.file
            .write_all_at(&bytes, self.len)
            .map_err(|e| LogError::io(&self.directory.join(LOG_FILE), "write", &e))?;
        self.len += bytes.len() as u64;
        fail::fail_point!("log.before_append_sync");
        self.sync()?;
        fail::fail_point!("log.after_append_sync");
        Ok(())
    }

    fn sync(&mut self) -> Result<(), LogError> {
        let mark_path = self.directory.join(SYNCED_FILE);
        self.mark_file.sync_data().map_err(|e| LogError::io(&mark_path, "sync", &e))?;
        self.file
            .sync_data()
            .map_err(|e| LogError::io(&self.directory.join(LOG_FILE), "sync", &e))?;
        self.mark_sequence += 1;
        let mut slot = Vec::with_capacity(SLOT_LEN);
        for word in [self.mark_sequence, self.file_id, self.len] {
            slot.extend(word.to_le_bytes());
        }
        slot.extend(crc32c::crc32c(&slot).to_le_bytes());
        self.mark_file
            .write_all_at(&slot, (self.mark_sequence % 2) * SLOT_DISTANCE)
            .map_err(|e| LogError::io(&mark_path, "write", &e))
    }
}

fn append_record(buf: &mut Vec<u8>, entry: &inner::LogEntry) {
    let payload = entry.encode_to_vec();
    let len = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    let mut covered = len.to_le_bytes().to_vec();
    covered.extend(&payload);
    buf.extend(len.to_le_bytes());
    buf.extend(crc32c::crc32c(&covered).to_le_bytes());
    // Writing to a vector cannot fail.
    drop(buf.write_all(&payload));
}

fn read_u64(bytes: &[u8], at: usize) -> Option<u64> {
    bytes.get(at..at + 8).and_then(|b| b.try_into().ok()).map(u64::from_le_bytes)
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    bytes.get(at..at + 4).and_then(|b| b.try_into().ok()).map(u32::from_le_bytes)
}

fn parse_header(path: &Path, bytes: &[u8]) -> Result<Header, LogError> {
    let damaged = |reason: &str| LogError::damaged(path, 0, reason);
    if bytes.len() < HEADER_LEN || !bytes.starts_with(MAGIC) {
        return Err(damaged("the header is not of this file type"));
    }
    if read_u32(bytes, HEADER_LEN - 4) != Some(crc32c::crc32c(&bytes[..HEADER_LEN - 4])) {
        return Err(damaged("the checksum of the header does not match"));
    }
    match (read_u64(bytes, 8), read_u64(bytes, 16), read_u64(bytes, 24), read_u64(bytes, 32)) {
        (Some(file_id), Some(synced_len), Some(index), Some(term)) => {
            Ok(Header { file_id, synced_len, base: LogPosition { term, index } })
        }
        _ => Err(damaged("the header is too short")),
    }
}

/// Sequence number and synced length of the newest valid mark for this log file; zeros without one.
fn read_mark(directory: &Path, file_id: u64) -> (u64, u64) {
    let bytes = fs::read(directory.join(SYNCED_FILE)).unwrap_or_default();
    let slot = |start: usize| -> Option<(u64, u64)> {
        let slot = bytes.get(start..start + SLOT_LEN)?;
        let valid = read_u32(slot, SLOT_LEN - 4)? == crc32c::crc32c(&slot[..SLOT_LEN - 4]);
        (valid && read_u64(slot, 8)? == file_id)
            .then_some((read_u64(slot, 0)?, read_u64(slot, 16)?))
    };
    [slot(0), slot(SLOT_DISTANCE as usize)].into_iter().flatten().max().unwrap_or_default()
}

/// Entries of the file and the offset at which they end.
fn scan(
    path: &Path,
    bytes: &[u8],
    base: LogPosition,
    synced: u64,
) -> Result<(Vec<inner::LogEntry>, usize), LogError> {
    let mut entries: Vec<inner::LogEntry> = Vec::new();
    let mut at = HEADER_LEN;
    while at < bytes.len() {
        let next = base.index + entries.len() as u64 + 1;
        match read_record(bytes, at).filter(|(entry, _)| entry.index == next) {
            Some((entry, end)) => {
                entries.push(entry);
                at = end;
            }
            None => break,
        }
    }
    if (at as u64) < synced {
        let reason = format!("no valid record here, but records are synced up to {synced}");
        return Err(LogError::damaged(path, at as u64, reason));
    }
    Ok((entries, at))
}

fn read_record(bytes: &[u8], at: usize) -> Option<(inner::LogEntry, usize)> {
    let len = read_u32(bytes, at)? as usize;
    let crc = read_u32(bytes, at + 4)?;
    let start = at + RECORD_HEADER_LEN;
    let payload = bytes.get(start..start.checked_add(len)?)?;
    let mut covered = bytes[at..at + 4].to_vec();
    covered.extend(payload);
    if crc32c::crc32c(&covered) != crc {
        return None;
    }
    Some((inner::LogEntry::decode(payload).ok()?, start + len))
}
