//! Log file: appended in batches, replaced as a whole when entries at its start or end are removed.
//!
//! A record is a length, the CRC-32C of length and payload, and the payload, an encoded [`inner::LogEntry`]. The file
//! [`SYNCED_FILE`] holds the synced mark, the length of the log file up to the last synced record. It distinguishes a
//! torn tail, which is truncated, from damage to acknowledged records, which is an error. The mark is written and synced
//! after its batch, which is acknowledged before that: after a power loss it may be one batch behind, never ahead.

use std::{
    fs::{self, File, OpenOptions},
    io::{BufReader, BufWriter, ErrorKind, Read, Write},
    os::unix::fs::FileExt,
    path::{Path, PathBuf},
};

use orioleworks_daemon::event;
use orioleworks_proto::inner;
use orioleworks_rules::log::LogPosition;
use prost::Message;

use crate::{
    error::LogError,
    files::{self, commit_replacement, sync_directory},
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
/// Size in bytes of the buffer between records and the file.
const FILE_BUFFER_BYTES: usize = 64 * 1024;
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
    /// Whether the newest mark may not be durable. It has to be before the older one is overwritten.
    has_unsynced_mark: bool,
    /// Whether the newest mark does not cover all entries.
    is_mark_behind: bool,
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
        let mut reader = RecordReader::open(&path)?;
        let header = reader.header()?;
        let (mark_sequence, marked) = read_mark(directory, header.file_id);
        let synced = header.synced_len.max(marked);
        let entries = reader.entries(header.base, synced)?;
        let (end, file_len) = (reader.at, reader.file_len);
        drop(reader);
        let mut journal = Self::attach(directory, header.file_id, end, mark_sequence)?;
        if end < file_len {
            event!(warn, "torn_tail_cut", file = path.display(), offset = end, end = file_len);
            journal.file.set_len(end).map_err(|e| LogError::io(&path, "truncate", &e))?;
        }
        // Records at the end may be readable without being durable.
        journal.sync()?;
        journal.has_unsynced_mark = true;
        journal.is_mark_behind = synced < end;
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
        JournalWriter::create(directory, base)?.push(entries)?.finish()
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
        files::make_private(&file, &path);
        let mark_path = directory.join(SYNCED_FILE);
        let mark_file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&mark_path)
            .map_err(|e| LogError::io(&mark_path, "open", &e))?;
        sync_directory(directory)?;
        Ok(Self {
            directory: directory.into(),
            file,
            mark_file,
            file_id,
            len,
            mark_sequence,
            has_unsynced_mark: false,
            is_mark_behind: false,
        })
    }

    /// Appends entries and syncs them and the mark.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system; the journal must not be used afterwards.
    pub fn append(&mut self, entries: &[inner::LogEntry]) -> Result<(), LogError> {
        self.append_then(entries, || ())
    }

    /// As [`Self::append`]; `on_durable` is called as soon as the entries are synced. They do not depend on the mark, so that nobody has
    /// to wait for its sync.
    ///
    /// # Errors
    ///
    /// As [`Self::append`].
    pub fn append_then(
        &mut self,
        entries: &[inner::LogEntry],
        on_durable: impl FnOnce(),
    ) -> Result<(), LogError> {
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
        on_durable();
        self.mark_synced()
    }

    fn sync(&self) -> Result<(), LogError> {
        let path = self.directory.join(LOG_FILE);
        self.file.sync_data().map_err(|e| LogError::io(&path, "sync", &e))
    }

    /// Whether the mark does not cover the entries that were read at the opening.
    pub fn needs_mark(&self) -> bool {
        self.is_mark_behind
    }

    /// Writes and syncs the mark.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system; the journal must not be used afterwards.
    pub fn mark_synced(&mut self) -> Result<(), LogError> {
        let path = self.directory.join(SYNCED_FILE);
        let sync = |file: &File| file.sync_data().map_err(|e| LogError::io(&path, "sync", &e));
        if self.has_unsynced_mark {
            sync(&self.mark_file)?;
        }
        self.mark_sequence += 1;
        let mut slot = Vec::with_capacity(SLOT_LEN);
        for word in [self.mark_sequence, self.file_id, self.len] {
            slot.extend(word.to_le_bytes());
        }
        slot.extend(crc32c::crc32c(&slot).to_le_bytes());
        self.mark_file
            .write_all_at(&slot, (self.mark_sequence % 2) * SLOT_DISTANCE)
            .map_err(|e| LogError::io(&path, "write", &e))?;
        fail::fail_point!("log.before_mark_sync");
        sync(&self.mark_file)?;
        (self.has_unsynced_mark, self.is_mark_behind) = (false, false);
        Ok(())
    }
}

/// Writes a log file to a temporary file, which replaces the log file once it is complete.
///
/// The header holds the length of the file and is written last, so that the entries can be passed in parts.
#[derive(Debug)]
pub struct JournalWriter {
    directory: PathBuf,
    tmp: PathBuf,
    file: BufWriter<File>,
    base: LogPosition,
    len: u64,
    /// Record that is being written.
    record: Vec<u8>,
}

impl JournalWriter {
    /// Creates the temporary file of a log that begins after `base`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn create(directory: &Path, base: LogPosition) -> Result<Self, LogError> {
        let tmp = directory.join(LOG_FILE).with_extension("tmp");
        let file = files::create_private(&tmp)?;
        let mut file = BufWriter::with_capacity(FILE_BUFFER_BYTES, file);
        file.write_all(&[0; HEADER_LEN]).map_err(|e| LogError::io(&tmp, "write", &e))?;
        let (directory, len) = (directory.into(), HEADER_LEN as u64);
        Ok(Self { directory, tmp, file, base, len, record: Vec::new() })
    }

    /// Adds the next entries.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn push(mut self, entries: &[inner::LogEntry]) -> Result<Self, LogError> {
        for entry in entries {
            self.record.clear();
            append_record(&mut self.record, entry);
            self.file.write_all(&self.record).map_err(|e| LogError::io(&self.tmp, "write", &e))?;
            self.len += self.record.len() as u64;
        }
        Ok(self)
    }

    /// Makes the file durable and replaces the log file by it.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn finish(self) -> Result<Journal, LogError> {
        let Self { directory, tmp, file, base, len, .. } = self;
        let file = file.into_inner().map_err(|e| LogError::io(&tmp, "write", e.error()))?;
        let file_id = rand::random();
        let mut header = MAGIC.to_vec();
        for word in [file_id, len, base.index, base.term] {
            header.extend(word.to_le_bytes());
        }
        header.extend(crc32c::crc32c(&header).to_le_bytes());
        file.write_all_at(&header, 0).map_err(|e| LogError::io(&tmp, "write", &e))?;
        fail::fail_point!("log.before_append_sync");
        file.sync_all().map_err(|e| LogError::io(&tmp, "sync", &e))?;
        commit_replacement(&directory.join(LOG_FILE))?;
        fail::fail_point!("log.after_append_sync");
        Journal::attach(&directory, file_id, len, 0)
    }
}

fn append_record(buf: &mut Vec<u8>, entry: &inner::LogEntry) {
    let start = buf.len();
    buf.extend([0; RECORD_HEADER_LEN]);
    // Encoding into a vector cannot fail.
    entry.encode(buf).unwrap_or_default();
    let (header, payload) = buf[start..].split_at_mut(RECORD_HEADER_LEN);
    let len = u32::try_from(payload.len()).unwrap_or(u32::MAX).to_le_bytes();
    header[..4].copy_from_slice(&len);
    header[4..].copy_from_slice(&record_crc(&len, payload).to_le_bytes());
}

fn record_crc(len: &[u8], payload: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(len), payload)
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

/// Reads a log file record by record, so that its bytes and its decoded entries are not both in memory.
struct RecordReader {
    path: PathBuf,
    file: BufReader<File>,
    file_len: u64,
    /// Offset of the next record.
    at: u64,
    /// Payload of the current record.
    payload: Vec<u8>,
}

impl RecordReader {
    fn open(path: &Path) -> Result<Self, LogError> {
        let file = File::open(path).map_err(|e| LogError::io(path, "open", &e))?;
        let file_len = file.metadata().map_err(|e| LogError::io(path, "read", &e))?.len();
        let file = BufReader::with_capacity(FILE_BUFFER_BYTES, file);
        Ok(Self { path: path.into(), file, file_len, at: 0, payload: Vec::new() })
    }

    fn header(&mut self) -> Result<Header, LogError> {
        let mut bytes = [0; HEADER_LEN];
        if !self.read_exact(&mut bytes)? {
            return parse_header(&self.path, &[]);
        }
        self.at = HEADER_LEN as u64;
        parse_header(&self.path, &bytes)
    }

    /// Reads the entries up to the end of the file or to the first invalid record.
    fn entries(
        &mut self,
        base: LogPosition,
        synced: u64,
    ) -> Result<Vec<inner::LogEntry>, LogError> {
        let mut entries: Vec<inner::LogEntry> = Vec::new();
        while let Some((entry, len)) = self.record()? {
            if entry.index != base.index + entries.len() as u64 + 1 {
                break;
            }
            entries.push(entry);
            self.at += len;
        }
        if self.at < synced {
            let reason = format!("no valid record here, but records are synced up to {synced}");
            return Err(LogError::damaged(&self.path, self.at, reason));
        }
        Ok(entries)
    }

    /// Reads the next record and its length; `None` if there is no valid one.
    fn record(&mut self) -> Result<Option<(inner::LogEntry, u64)>, LogError> {
        let mut header = [0; RECORD_HEADER_LEN];
        if !self.read_exact(&mut header)? {
            return Ok(None);
        }
        let (Some(len), Some(crc)) = (read_u32(&header, 0), read_u32(&header, 4)) else {
            return Ok(None);
        };
        let record_len = RECORD_HEADER_LEN as u64 + u64::from(len);
        // A damaged length must not allocate more than the file has.
        if self.at + record_len > self.file_len {
            return Ok(None);
        }
        let mut payload = std::mem::take(&mut self.payload);
        payload.resize(len as usize, 0);
        let read = self.read_exact(&mut payload)?;
        let valid = read && record_crc(&header[..4], &payload) == crc;
        let entry = valid.then(|| inner::LogEntry::decode(&*payload).ok()).flatten();
        self.payload = payload;
        Ok(entry.map(|entry| (entry, record_len)))
    }

    /// Fills a buffer; returns false if the file ends before.
    fn read_exact(&mut self, buf: &mut [u8]) -> Result<bool, LogError> {
        match self.file.read_exact(buf) {
            Ok(()) => Ok(true),
            Err(e) if e.kind() == ErrorKind::UnexpectedEof => Ok(false),
            Err(e) => Err(LogError::io(&self.path, "read", &e)),
        }
    }
}
