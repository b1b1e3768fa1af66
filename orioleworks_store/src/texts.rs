//! Texts of results, in memory and in files that are a cache only.
//!
//! Log and snapshot stay the only durable state: the files are removed at start and written again as texts are restored. A
//! text stays in memory until it is written, so that a disk that is full or slow loses nothing.

use std::{
    collections::VecDeque,
    fs::{self, File, OpenOptions},
    io,
    os::unix::fs::FileExt,
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use compio::{runtime, time};
use orioleworks_daemon::event;
use orioleworks_log::Log;
use tokio_util::sync::CancellationToken;

/// Name of the directory of the files in the data directory.
pub const DIRECTORY: &str = "texts";
/// Texts in memory in percent of the memory limit; above it the oldest ones are written, as the newest are read most.
pub const MEMORY_PERCENT: usize = 10;
/// Size in bytes from which a file gets no more texts; a file is removed with the last of its texts.
pub const SEGMENT_BYTES: u64 = 4 * 1024 * 1024;
/// Most bytes of one read or write, which are in memory twice for its time.
pub const RUN_BYTES: usize = 1024 * 1024;
/// Delay before a failed write is retried; the usual cause is a disk that is full for a few seconds.
const RETRY_DELAY: Duration = Duration::from_millis(1000);
/// Pause between two checks whether texts are to be written.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Figures and faults of all texts of a store.
#[derive(Debug, Default)]
struct Status {
    /// Bytes of texts in memory.
    memory: AtomicUsize,
    /// Bytes of all files.
    disk: AtomicUsize,
    /// Files that hold no text any more. They are removed later, because a removal may wait for the disk.
    unused: Mutex<Vec<PathBuf>>,
    /// Why a text could not be read back.
    failure: Mutex<Option<String>>,
}

/// A file of texts.
#[derive(Debug)]
struct Segment {
    path: PathBuf,
    file: File,
    len: AtomicUsize,
    status: Arc<Status>,
}

impl Drop for Segment {
    fn drop(&mut self) {
        self.status.disk.fetch_sub(*self.len.get_mut(), Ordering::Relaxed);
        lock(&self.status.unused).push(std::mem::take(&mut self.path));
    }
}

#[derive(Clone, Debug)]
enum Held {
    Memory(Bytes),
    File { segment: Arc<Segment>, offset: u64, crc: u32 },
}

#[derive(Debug)]
struct Slot {
    len: usize,
    held: Mutex<Held>,
    status: Arc<Status>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        if matches!(self.held.get_mut(), Ok(Held::Memory(_))) {
            self.status.memory.fetch_sub(self.len, Ordering::Relaxed);
        }
    }
}

/// Text of a result as it is stored; clones share it.
#[derive(Clone, Debug)]
pub struct Text(Arc<Slot>);

impl Text {
    /// Length in bytes.
    pub fn len(&self) -> usize {
        self.0.len
    }

    /// Whether it has no bytes.
    pub fn is_empty(&self) -> bool {
        self.0.len == 0
    }

    /// Whether it can be read without waiting for a disk.
    pub fn is_in_memory(&self) -> bool {
        matches!(*lock(&self.0.held), Held::Memory(_))
    }
}

/// File that gets the next texts.
#[derive(Debug, Default)]
struct Writer {
    /// Whether the files of an earlier process are removed.
    prepared: bool,
    segment: Option<Arc<Segment>>,
    /// Number of the next file.
    next: u64,
    /// Earliest time of the next write after a failed one.
    retry_at: Option<Instant>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Directory of the files; without one, texts stay in memory.
    directory: Option<PathBuf>,
    /// Most bytes of texts in memory.
    limit: usize,
    /// Texts in memory, oldest first.
    queue: Mutex<VecDeque<Weak<Slot>>>,
    writer: Mutex<Writer>,
    status: Arc<Status>,
}

/// All texts of a store; clones share them. By default they stay in memory.
#[derive(Clone, Debug, Default)]
pub struct Texts {
    inner: Arc<Inner>,
}

impl Texts {
    /// Texts that are written to a data directory when those in memory exceed a limit in bytes. Nothing is written before the
    /// first text is, so that the directory may be locked in between.
    pub fn new(data: &Path, limit: usize) -> Self {
        let directory = Some(data.join(DIRECTORY));
        Self { inner: Arc::new(Inner { directory, limit, ..Inner::default() }) }
    }

    /// Adds a copy of a text, because the original is a slice of a message and would keep all of it in memory.
    pub fn add(&self, text: &[u8]) -> Text {
        let status = self.inner.status.clone();
        status.memory.fetch_add(text.len(), Ordering::Relaxed);
        let held = Mutex::new(Held::Memory(Bytes::copy_from_slice(text)));
        let slot = Arc::new(Slot { len: text.len(), held, status });
        if self.inner.directory.is_some() && !text.is_empty() {
            let mut queue = lock(&self.inner.queue);
            while queue.front().is_some_and(|oldest| oldest.strong_count() == 0) {
                queue.pop_front();
            }
            queue.push_back(Arc::downgrade(&slot));
        }
        Text(slot)
    }

    /// Bytes of texts in memory.
    pub fn memory_bytes(&self) -> usize {
        self.inner.status.memory.load(Ordering::Relaxed)
    }

    /// Bytes of the files, with those of dropped texts in files that hold others.
    pub fn disk_bytes(&self) -> usize {
        self.inner.status.disk.load(Ordering::Relaxed)
    }

    /// Why a text could not be read back.
    pub fn failure(&self) -> Option<String> {
        lock(&self.inner.status.failure).clone()
    }

    fn is_over_limit(&self) -> bool {
        self.memory_bytes() > self.inner.limit && !lock(&self.inner.queue).is_empty()
    }

    /// Removes the files of an earlier process. Blocks.
    ///
    /// # Errors
    ///
    /// Fails if they cannot be removed; the next write tries it again.
    pub fn prepare(&self) -> io::Result<()> {
        match &self.inner.directory {
            Some(directory) => prepare(&mut lock(&self.inner.writer), directory),
            None => Ok(()),
        }
    }

    /// Writes the oldest texts until those in memory are within the limit, and removes unused files. Blocks. After a failed
    /// write it does nothing for a time.
    pub fn spill(&self) {
        let Some(directory) = &self.inner.directory else { return };
        let mut writer = lock(&self.inner.writer);
        if writer.retry_at.is_some_and(|at| Instant::now() < at) {
            return;
        }
        writer.retry_at = None;
        while self.is_over_limit() {
            if let Err(e) = self.write_oldest(&mut writer, directory) {
                writer.retry_at = Some(Instant::now() + RETRY_DELAY);
                event!(
                    warn,
                    "texts_not_written",
                    reason = e,
                    memory_kb = self.memory_bytes() / 1024,
                    retry_ms = RETRY_DELAY.as_millis(),
                );
                break;
            }
        }
        let unused = std::mem::take(&mut *lock(&self.inner.status.unused));
        for path in unused {
            if let Err(e) = fs::remove_file(&path)
                && e.kind() != io::ErrorKind::NotFound
            {
                writer.retry_at = Some(Instant::now() + RETRY_DELAY);
                event!(warn, "text_file_kept", file = path.display(), reason = e);
                lock(&self.inner.status.unused).push(path);
            }
        }
    }

    /// Writes the oldest texts, at most [`RUN_BYTES`] unless one is longer.
    fn write_oldest(&self, writer: &mut Writer, directory: &Path) -> io::Result<()> {
        let mut taken: Vec<(Arc<Slot>, Bytes)> = Vec::new();
        let mut run = BytesMut::new();
        {
            let mut queue = lock(&self.inner.queue);
            while let Some(oldest) = queue.front() {
                let Some(slot) = oldest.upgrade() else {
                    queue.pop_front();
                    continue;
                };
                if !run.is_empty() && run.len() + slot.len > RUN_BYTES {
                    break;
                }
                queue.pop_front();
                let held = lock(&slot.held).clone();
                if let Held::Memory(text) = held {
                    run.extend_from_slice(&text);
                    taken.push((slot, text));
                }
                if self.memory_bytes().saturating_sub(run.len()) <= self.inner.limit {
                    break;
                }
            }
        }
        if taken.is_empty() {
            return Ok(());
        }
        if let Err(e) = append(writer, directory, &self.inner.status, &run) {
            // What the file holds beyond its last text is unknown, so the next write begins another one.
            writer.segment = None;
            let mut queue = lock(&self.inner.queue);
            for (slot, _) in taken.iter().rev() {
                queue.push_front(Arc::downgrade(slot));
            }
            return Err(e);
        }
        let Some(segment) = writer.segment.clone() else { return Ok(()) };
        let mut offset = (segment.len.load(Ordering::Relaxed) - run.len()) as u64;
        for (slot, text) in taken {
            let crc = crc32c::crc32c(&text);
            *lock(&slot.held) = Held::File { segment: segment.clone(), offset, crc };
            self.inner.status.memory.fetch_sub(slot.len, Ordering::Relaxed);
            offset += slot.len as u64;
        }
        if offset >= SEGMENT_BYTES {
            writer.segment = None;
        }
        Ok(())
    }

    /// Writes texts as needed, and stops the store when one could not be read back: log and snapshot still hold it, and the
    /// next start reads it from them.
    pub async fn run(self, log: Log, token: CancellationToken) {
        while !token.is_cancelled() {
            if let Some(reason) = self.failure() {
                log.stop(reason);
                return;
            }
            if self.is_over_limit() || !lock(&self.inner.status.unused).is_empty() {
                let this = self.clone();
                // A panic leaves the texts in memory.
                drop(runtime::spawn_blocking(move || this.spill()).await);
            }
            time::sleep(CHECK_INTERVAL).await;
        }
    }
}

fn prepare(writer: &mut Writer, directory: &Path) -> io::Result<()> {
    if writer.prepared {
        return Ok(());
    }
    match fs::remove_dir_all(directory) {
        Ok(()) => {}
        Err(e) if e.kind() == io::ErrorKind::NotFound => {}
        Err(e) => return Err(in_file(directory, "removal", &e)),
    }
    fs::create_dir(directory).map_err(|e| in_file(directory, "creation", &e))?;
    writer.prepared = true;
    Ok(())
}

/// Appends to the current file, or to a new one.
fn append(
    writer: &mut Writer,
    directory: &Path,
    status: &Arc<Status>,
    bytes: &[u8],
) -> io::Result<()> {
    prepare(writer, directory)?;
    let segment = match &writer.segment {
        Some(segment) => segment.clone(),
        None => {
            let path = directory.join(writer.next.to_string());
            writer.next += 1;
            let mut options = OpenOptions::new();
            let file = options.read(true).write(true).create(true).truncate(true).open(&path);
            let file = file.map_err(|e| {
                // Someone has removed the directory, so the next write makes it again.
                writer.prepared &= e.kind() != io::ErrorKind::NotFound;
                in_file(&path, "creation", &e)
            })?;
            let (len, status) = (AtomicUsize::new(0), status.clone());
            let segment = Arc::new(Segment { path, file, len, status });
            writer.segment.insert(segment).clone()
        }
    };
    let offset = segment.len.load(Ordering::Relaxed) as u64;
    let written = segment.file.write_all_at(bytes, offset);
    written.map_err(|e| in_file(&segment.path, "write", &e))?;
    segment.len.fetch_add(bytes.len(), Ordering::Relaxed);
    status.disk.fetch_add(bytes.len(), Ordering::Relaxed);
    Ok(())
}

/// Reads texts back. Blocks unless all are in memory. Those that follow each other in a file are one read.
///
/// # Errors
///
/// Fails if a file cannot be read or differs from what was written; the store then stops, see [`Texts::run`].
pub fn read(texts: &[Text]) -> io::Result<Vec<Bytes>> {
    let held: Vec<Held> = texts.iter().map(|text| lock(&text.0.held).clone()).collect();
    let mut read = Vec::with_capacity(texts.len());
    while let Some(first) = held.get(read.len()) {
        let (segment, start) = match first {
            Held::Memory(text) => {
                read.push(text.clone());
                continue;
            }
            Held::File { segment, offset, .. } => (segment, *offset),
        };
        let mut end = start;
        let mut run: Vec<(usize, u32)> = Vec::new();
        for (text, held) in texts.iter().zip(&held).skip(read.len()) {
            let Held::File { segment: other, offset, crc } = held else { break };
            let follows = Arc::ptr_eq(segment, other) && *offset == end;
            let fits = (end - start) as usize + text.len() <= RUN_BYTES;
            if !follows || !(fits || run.is_empty()) {
                break;
            }
            run.push((text.len(), *crc));
            end += text.len() as u64;
        }
        match read_run(segment, start, &run) {
            Ok(texts) => read.extend(texts),
            Err(e) => {
                event!(error, "text_file_failed", reason = e);
                lock(&segment.status.failure).get_or_insert_with(|| e.to_string());
                return Err(e);
            }
        }
    }
    Ok(read)
}

fn read_run(segment: &Segment, offset: u64, run: &[(usize, u32)]) -> io::Result<Vec<Bytes>> {
    let mut bytes = vec![0; run.iter().map(|(len, _)| len).sum()];
    let filled = segment.file.read_exact_at(&mut bytes, offset);
    filled.map_err(|e| in_file(&segment.path, "read", &e))?;
    let mut rest = Bytes::from(bytes);
    let texts = run.iter().map(|(len, crc)| {
        let text = rest.split_to(*len);
        if crc32c::crc32c(&text) == *crc {
            return Ok(text);
        }
        let e = io::Error::new(io::ErrorKind::InvalidData, "the checksum does not match");
        Err(in_file(&segment.path, "read", &e))
    });
    texts.collect()
}

fn in_file(path: &Path, action: &str, e: &io::Error) -> io::Error {
    io::Error::new(e.kind(), format!("{}: {action} failed: {e}", path.display()))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Each change under a lock is one assignment, so that a panic leaves nothing half done.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
