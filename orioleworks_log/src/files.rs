//! Files of the data directory that are replaced as a whole: the vote record and the snapshot.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, BufReader, BufWriter, Read, Write},
    os::unix::fs::{OpenOptionsExt, PermissionsExt},
    path::{Path, PathBuf},
};

use bytes::Bytes;
use orioleworks_daemon::event;
use orioleworks_proto::inner;
use orioleworks_rules::log::VoteRecord;
use prost::Message;

use crate::error::LogError;

/// Name of the vote record.
pub const VOTE_FILE: &str = "vote";
/// Name of the snapshot.
pub const SNAPSHOT_FILE: &str = "snapshot";
const LOCK_FILE: &str = "lock";
/// Name of this replica's own snapshot while it is written.
pub(crate) const SNAPSHOT_TMP_FILE: &str = "snapshot.tmp";
/// Name of a leader's snapshot while it is received.
pub(crate) const SNAPSHOT_RECEIVED_FILE: &str = "snapshot.received";

/// Mode of files that only their owner may read.
const PRIVATE_MODE: u32 = 0o600;
const VOTE_MAGIC: &[u8; 8] = b"owvote01";
const SNAPSHOT_MAGIC: &[u8; 8] = b"owsnap02";
const CRC_LEN: usize = 4;
const LENGTH_LEN: usize = 4;
/// Bytes of a snapshot that are read at a time when it is restored.
const READ_BYTES: usize = 256 * 1024;
/// Bytes of a snapshot that are written at a time.
const WRITE_BYTES: usize = 64 * 1024;

/// Member ID, term and vote of a replica. The member ID is generated with the data directory and is lost with it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Identity {
    /// Random member ID.
    pub member_id: u64,
    /// Term and vote.
    pub vote: VoteRecord,
}

/// Creates the directory if needed and locks it until the returned file is dropped.
pub(crate) fn lock_directory(directory: &Path) -> Result<File, LogError> {
    fs::create_dir_all(directory).map_err(|e| LogError::io(directory, "creation", &e))?;
    let parent = directory.parent().filter(|p| !p.as_os_str().is_empty());
    // The vote record is created after the first sync of the parent, and a start after a power loss may have a slow disk.
    if let Some(parent) = parent.filter(|_| !directory.join(VOTE_FILE).exists()) {
        sync_directory(parent)?;
    }
    let path = directory.join(LOCK_FILE);
    let file = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path)
        .map_err(|e| LogError::io(&path, "open", &e))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(fs::TryLockError::WouldBlock) => {
            Err(LogError::Locked { file: path.display().to_string() })
        }
        Err(fs::TryLockError::Error(e)) => Err(LogError::io(&path, "lock", &e)),
    }
}

/// Syncs a directory, which makes created and renamed names durable.
pub(crate) fn sync_directory(directory: &Path) -> Result<(), LogError> {
    File::open(directory)
        .and_then(|f| f.sync_all())
        .map_err(|e| LogError::io(directory, "sync", &e))
}

/// Creates a file, or empties it. Only its owner may read it, because the state may contain keys of callers.
pub(crate) fn create_private(path: &Path) -> Result<File, LogError> {
    let mut options = OpenOptions::new();
    options.create(true).truncate(true).write(true).mode(PRIVATE_MODE);
    options.open(path).map_err(|e| LogError::io(path, "creation", &e))
}

/// Restricts a file that an earlier version has created for all to read. A file system without modes is no reason to stop.
pub(crate) fn make_private(file: &File, path: &Path) {
    let is_open =
        |metadata: &fs::Metadata| metadata.permissions().mode() & !PRIVATE_MODE & 0o777 != 0;
    if !file.metadata().is_ok_and(|metadata| is_open(&metadata)) {
        return;
    }
    if let Err(e) = file.set_permissions(fs::Permissions::from_mode(PRIVATE_MODE)) {
        event!(warn, "mode_not_changed", file = path.display(), reason = e);
    }
}

/// Writes and syncs a temporary file; [`commit_replacement`] renames it to its final name.
pub(crate) fn write_replacement(path: &Path, bytes: &[u8]) -> Result<(), LogError> {
    let tmp = path.with_extension("tmp");
    let mut file = create_private(&tmp)?;
    file.write_all(bytes).map_err(|e| LogError::io(&tmp, "write", &e))?;
    file.sync_all().map_err(|e| LogError::io(&tmp, "sync", &e))
}

/// Renames the temporary file to its final name and syncs the directory.
pub(crate) fn commit_replacement(path: &Path) -> Result<(), LogError> {
    rename_and_sync(&path.with_extension("tmp"), path)
}

fn rename_and_sync(tmp: &Path, path: &Path) -> Result<(), LogError> {
    fs::rename(tmp, path).map_err(|e| LogError::io(path, "rename", &e))?;
    sync_directory(path.parent().unwrap_or(path))
}

/// Reads the identity, or generates one for a new directory.
pub(crate) fn load_identity(directory: &Path) -> Result<Identity, LogError> {
    let path = directory.join(VOTE_FILE);
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => {
            return new_identity(directory, &path);
        }
        Err(e) => return Err(LogError::io(&path, "read", &e)),
    };
    let body = verify_checksum(&path, &bytes, VOTE_MAGIC)?;
    let word = |i: usize| body.get(i * 8..i * 8 + 8).and_then(|b| b.try_into().ok());
    match (word(0), word(1), word(2)) {
        (Some(id), Some(term), Some(voted)) => {
            let voted = u64::from_le_bytes(voted);
            let vote = VoteRecord {
                term: u64::from_le_bytes(term),
                voted_for: (voted != 0).then_some(voted),
            };
            Ok(Identity { member_id: u64::from_le_bytes(id), vote })
        }
        _ => Err(LogError::damaged(&path, VOTE_MAGIC.len() as u64, "vote record is too short")),
    }
}

fn new_identity(directory: &Path, path: &Path) -> Result<Identity, LogError> {
    // Without its vote record a replica could vote twice in one term, so a directory that has lost it is rejected.
    for name in [crate::journal::LOG_FILE, SNAPSHOT_FILE] {
        if directory.join(name).exists() {
            return Err(LogError::damaged(
                path,
                0,
                format!("vote record is missing although {name} exists"),
            ));
        }
    }
    let member_id = rand::random_range(1..=u64::MAX);
    let identity = Identity { member_id, vote: VoteRecord::default() };
    store_identity(directory, identity)?;
    Ok(identity)
}

/// Makes the identity durable.
pub(crate) fn store_identity(directory: &Path, identity: Identity) -> Result<(), LogError> {
    let mut body = Vec::new();
    body.extend(identity.member_id.to_le_bytes());
    body.extend(identity.vote.term.to_le_bytes());
    body.extend(identity.vote.voted_for.unwrap_or(0).to_le_bytes());
    let path = directory.join(VOTE_FILE);
    write_replacement(&path, &with_checksum(VOTE_MAGIC, &body))?;
    fail::fail_point!("log.before_vote_sync");
    commit_replacement(&path)?;
    fail::fail_point!("log.after_vote_sync");
    Ok(())
}

/// Passes the state of the snapshot to a decoder and returns the rest of it, if there is one.
pub(crate) fn load_snapshot(
    directory: &Path,
    decode: impl FnOnce(&mut dyn Read) -> Result<(), String>,
) -> Result<Option<inner::Snapshot>, LogError> {
    let Some(reader) = SnapshotReader::open(directory)? else { return Ok(None) };
    let mut r = BufReader::with_capacity(READ_BYTES, StateReader { reader, failure: None });
    let decoded = decode(&mut r);
    // The rest is read for the checksum, which tells whether anything that was decoded is right.
    let drained = io::copy(&mut r, &mut io::sink());
    let StateReader { mut reader, failure } = r.into_inner();
    if let Some(e) = failure {
        return Err(e);
    }
    if reader.total == 0 {
        reader.fill(&mut [])?;
    }
    decoded.and(drained.map_err(|e| e.to_string())).map_err(LogError::Restore)?;
    Ok(Some(reader.head))
}

/// State of a snapshot as a reader, which keeps the error for its message.
struct StateReader {
    reader: SnapshotReader,
    failure: Option<LogError>,
}

impl Read for StateReader {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let left = usize::try_from(self.reader.total - self.reader.read).unwrap_or(usize::MAX);
        let len = left.min(buf.len());
        if len > 0
            && let Err(e) = self.reader.fill(&mut buf[..len])
        {
            let reason = e.to_string();
            self.failure = Some(e);
            return Err(io::Error::other(reason));
        }
        Ok(len)
    }
}

/// Reads a snapshot in parts; the checksum is verified with the last part.
#[derive(Debug)]
pub(crate) struct SnapshotReader {
    /// The snapshot without its state.
    pub(crate) head: inner::Snapshot,
    /// Length of the state in bytes.
    pub(crate) total: u64,
    path: PathBuf,
    file: File,
    read: u64,
    crc: u32,
}

impl SnapshotReader {
    /// Opens the snapshot; `None` when there is none. The file stays readable after a newer one has replaced it.
    pub(crate) fn open(directory: &Path) -> Result<Option<Self>, LogError> {
        let path = directory.join(SNAPSHOT_FILE);
        let mut file = match File::open(&path) {
            Ok(file) => file,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(LogError::io(&path, "open", &e)),
        };
        let read_error = |e: std::io::Error| LogError::io(&path, "read", &e);
        let bad_header = || LogError::damaged(&path, 0, "the header is not of this file type");
        let file_len = file.metadata().map_err(read_error)?.len();
        let mut prefix = [0; SNAPSHOT_MAGIC.len() + LENGTH_LEN];
        if file_len < prefix.len() as u64 {
            return Err(bad_header());
        }
        file.read_exact(&mut prefix).map_err(read_error)?;
        let (magic, len) = prefix.split_at(SNAPSHOT_MAGIC.len());
        let len = len.first_chunk().map_or(0, |len| u32::from_le_bytes(*len));
        let overhead = (prefix.len() + CRC_LEN) as u64 + u64::from(len);
        if magic != SNAPSHOT_MAGIC || file_len < overhead {
            return Err(bad_header());
        }
        let mut head = vec![0; len as usize];
        file.read_exact(&mut head).map_err(read_error)?;
        let crc = crc32c::crc32c_append(crc32c::crc32c(&prefix), &head);
        let decoded = inner::Snapshot::decode(&*head);
        let damaged = |e: prost::DecodeError| LogError::damaged(&path, 0, e.to_string());
        let head = decoded.map_err(damaged)?;
        Ok(Some(Self { head, total: file_len - overhead, path, file, read: 0, crc }))
    }

    /// Reads the next part, of at most `max_len` bytes; the last one fails if the checksum of the file does not match.
    pub(crate) fn next(mut self, max_len: u64) -> Result<(Self, Bytes), LogError> {
        let len = max_len.min(self.total - self.read);
        let mut part = vec![0; usize::try_from(len).unwrap_or(0)];
        self.fill(&mut part)?;
        Ok((self, part.into()))
    }

    /// Reads as many bytes as a buffer holds, which are no more than are left.
    fn fill(&mut self, part: &mut [u8]) -> Result<(), LogError> {
        let mut read = self.file.read_exact(part);
        self.read += part.len() as u64;
        self.crc = crc32c::crc32c_append(self.crc, part);
        let mut crc = self.crc.to_le_bytes();
        if self.read == self.total && read.is_ok() {
            read = self.file.read_exact(&mut crc);
        }
        read.map_err(|e| LogError::io(&self.path, "read", &e))?;
        if crc != self.crc.to_le_bytes() {
            return Err(LogError::damaged(&self.path, 0, "the checksum does not match"));
        }
        Ok(())
    }
}

/// Writes a snapshot to a temporary file.
///
/// The state follows the head without a length, so that it can be written in parts before its total length is known.
#[derive(Debug)]
pub(crate) struct SnapshotWriter {
    directory: PathBuf,
    tmp: PathBuf,
    file: File,
    last_index: u64,
    crc: u32,
    len: usize,
}

impl SnapshotWriter {
    /// Creates the file and writes the head, a snapshot without its state.
    pub(crate) fn create(
        directory: &Path,
        name: &str,
        head: &inner::Snapshot,
    ) -> Result<Self, LogError> {
        let tmp = directory.join(name);
        let file = create_private(&tmp)?;
        let last_index = head.last_index;
        let head = head.encode_to_vec();
        let len = u32::try_from(head.len()).unwrap_or(u32::MAX).to_le_bytes();
        let writer = Self { directory: directory.into(), tmp, file, last_index, crc: 0, len: 0 };
        writer.push(SNAPSHOT_MAGIC)?.push(&len)?.push(&head)
    }

    /// Index of the last entry that the snapshot covers.
    pub(crate) fn last_index(&self) -> u64 {
        self.last_index
    }

    /// Adds a part of the state.
    pub(crate) fn push(self, part: &[u8]) -> Result<Self, LogError> {
        self.push_with(|w| w.write_all(part))
    }

    /// Adds a part of the state that writes itself.
    pub(crate) fn push_with(
        mut self,
        part: impl FnOnce(&mut dyn Write) -> io::Result<()>,
    ) -> Result<Self, LogError> {
        let mut w = BufWriter::with_capacity(WRITE_BYTES, &mut self);
        match part(&mut w).and_then(|()| w.flush()) {
            Ok(()) => {
                drop(w);
                Ok(self)
            }
            Err(e) => {
                // What is left in the buffer belongs to a file that is given up.
                drop(w.into_parts());
                Err(LogError::io(&self.tmp, "write", &e))
            }
        }
    }

    /// Syncs the file, renames it to its final name and returns its size in bytes.
    pub(crate) fn finish(self) -> Result<usize, LogError> {
        let crc = self.crc.to_le_bytes();
        let Self { directory, tmp, file, len, .. } = self.push(&crc)?;
        file.sync_all().map_err(|e| LogError::io(&tmp, "sync", &e))?;
        fail::fail_point!("log.before_snapshot_rename");
        rename_and_sync(&tmp, &directory.join(SNAPSHOT_FILE))?;
        fail::fail_point!("log.after_snapshot_rename");
        Ok(len)
    }
}

impl Write for SnapshotWriter {
    fn write(&mut self, part: &[u8]) -> io::Result<usize> {
        let written = self.file.write(part)?;
        self.crc = crc32c::crc32c_append(self.crc, &part[..written]);
        self.len += written;
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.file.flush()
    }
}

fn with_checksum(magic: &[u8; 8], body: &[u8]) -> Vec<u8> {
    let mut bytes = magic.to_vec();
    bytes.extend(body);
    bytes.extend(crc32c::crc32c(&bytes).to_le_bytes());
    bytes
}

fn verify_checksum<'a>(
    path: &Path,
    bytes: &'a [u8],
    magic: &[u8; 8],
) -> Result<&'a [u8], LogError> {
    if bytes.len() < magic.len() + CRC_LEN || !bytes.starts_with(magic) {
        return Err(LogError::damaged(path, 0, "the header is not of this file type"));
    }
    let (covered, crc) = bytes.split_at(bytes.len() - CRC_LEN);
    if crc32c::crc32c(covered).to_le_bytes() != crc {
        return Err(LogError::damaged(path, 0, "the checksum does not match"));
    }
    Ok(&covered[magic.len()..])
}
