//! Small files of the data directory: the vote record and the snapshot, each replaced as a whole.

use std::{
    fs::{self, File, OpenOptions},
    io::Write,
    path::Path,
};

use bytes::Bytes;
use orioleworks_proto::inner;
use orioleworks_rules::log::VoteRecord;
use prost::{
    Message,
    encoding::{self, WireType},
};

use crate::error::LogError;

/// Name of the vote record.
pub const VOTE_FILE: &str = "vote";
/// Name of the snapshot.
pub const SNAPSHOT_FILE: &str = "snapshot";
const LOCK_FILE: &str = "lock";

const VOTE_MAGIC: &[u8; 8] = b"owvote01";
const SNAPSHOT_MAGIC: &[u8; 8] = b"owsnap01";
const CRC_LEN: usize = 4;

/// Identity and promises of a replica; the identity is drawn with the directory and shares its fate.
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
    if let Some(parent) = directory.parent().filter(|p| !p.as_os_str().is_empty()) {
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

/// Writes a file beside its final name and syncs it; [`commit_replacement`] puts it in place.
pub(crate) fn write_replacement(path: &Path, parts: &[&[u8]]) -> Result<(), LogError> {
    let tmp = path.with_extension("tmp");
    let mut file = File::create(&tmp).map_err(|e| LogError::io(&tmp, "creation", &e))?;
    for part in parts {
        file.write_all(part).map_err(|e| LogError::io(&tmp, "write", &e))?;
    }
    file.sync_all().map_err(|e| LogError::io(&tmp, "sync", &e))
}

/// Renames a replacement into place and syncs the directory.
pub(crate) fn commit_replacement(path: &Path) -> Result<(), LogError> {
    let tmp = path.with_extension("tmp");
    fs::rename(&tmp, path).map_err(|e| LogError::io(path, "rename", &e))?;
    sync_directory(path.parent().unwrap_or(path))
}

/// Reads the identity, or draws one for a new directory.
pub(crate) fn load_identity(directory: &Path) -> Result<Identity, LogError> {
    let path = directory.join(VOTE_FILE);
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => {
            return new_identity(directory, &path);
        }
        Err(e) => return Err(LogError::io(&path, "read", &e)),
    };
    let body = checked(&path, &bytes, VOTE_MAGIC)?;
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
    // Without its vote record a replica could vote twice in one term, so what is left of a directory is not used.
    for name in [crate::journal::LOG_FILE, SNAPSHOT_FILE] {
        if directory.join(name).exists() {
            return Err(LogError::damaged(
                path,
                0,
                format!("vote record is missing beside {name}"),
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
    write_replacement(&path, &[&sealed(VOTE_MAGIC, &body)])?;
    fail::fail_point!("log.before_vote_sync");
    commit_replacement(&path)?;
    fail::fail_point!("log.after_vote_sync");
    Ok(())
}

/// Reads the snapshot, if there is one.
pub(crate) fn load_snapshot(directory: &Path) -> Result<Option<inner::Snapshot>, LogError> {
    let path = directory.join(SNAPSHOT_FILE);
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(LogError::io(&path, "read", &e)),
    };
    checked(&path, &bytes, SNAPSHOT_MAGIC)?;
    let end = bytes.len() - CRC_LEN;
    inner::Snapshot::decode(Bytes::from(bytes).slice(SNAPSHOT_MAGIC.len()..end))
        .map(Some)
        .map_err(|e| LogError::damaged(&path, SNAPSHOT_MAGIC.len() as u64, e.to_string()))
}

/// Makes a snapshot durable and returns its size in bytes; the state, which may be large, is not copied.
pub(crate) fn store_snapshot(
    directory: &Path,
    snapshot: &inner::Snapshot,
) -> Result<usize, LogError> {
    /// Number of the field `Snapshot.state`, which is written last.
    const STATE_FIELD: u32 = 4;
    let path = directory.join(SNAPSHOT_FILE);
    let mut head = SNAPSHOT_MAGIC.to_vec();
    let without_state = inner::Snapshot { state: Bytes::new(), ..snapshot.clone() };
    head.extend(without_state.encode_to_vec());
    if !snapshot.state.is_empty() {
        encoding::encode_key(STATE_FIELD, WireType::LengthDelimited, &mut head);
        encoding::encode_varint(snapshot.state.len() as u64, &mut head);
    }
    let crc = crc32c::crc32c_append(crc32c::crc32c(&head), &snapshot.state);
    let parts = [&head[..], &snapshot.state, &crc.to_le_bytes()];
    write_replacement(&path, &parts)?;
    fail::fail_point!("log.before_snapshot_rename");
    commit_replacement(&path)?;
    fail::fail_point!("log.after_snapshot_rename");
    Ok(parts.iter().map(|part| part.len()).sum())
}

fn sealed(magic: &[u8; 8], body: &[u8]) -> Vec<u8> {
    let mut bytes = magic.to_vec();
    bytes.extend(body);
    bytes.extend(crc32c::crc32c(&bytes).to_le_bytes());
    bytes
}

fn checked<'a>(path: &Path, bytes: &'a [u8], magic: &[u8; 8]) -> Result<&'a [u8], LogError> {
    if bytes.len() < magic.len() + CRC_LEN || !bytes.starts_with(magic) {
        return Err(LogError::damaged(path, 0, "the header is not of this file type"));
    }
    let (covered, crc) = bytes.split_at(bytes.len() - CRC_LEN);
    if crc32c::crc32c(covered).to_le_bytes() != crc {
        return Err(LogError::damaged(path, 0, "the checksum does not match"));
    }
    Ok(&covered[magic.len()..])
}
