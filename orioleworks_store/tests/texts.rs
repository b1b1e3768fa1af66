//! Texts of results in memory and on disk.

use std::{
    fs,
    io::{self, Read},
    os::unix::fs::symlink,
    path::Path,
    thread,
    time::Duration,
};

use bytes::Bytes;
use orioleworks_proto::inner::{self, command::Kind};
use orioleworks_store::{
    snapshot,
    state::State,
    texts::{self, DIRECTORY, SEGMENT_BYTES, Text, Texts},
};
use prost::Message;
use rand::{Rng, SeedableRng, rngs::StdRng};

const NOW_MS: u64 = 1_000_000;
const RETENTION_MS: u32 = 120_000;
/// Most bytes of texts in memory in these tests.
const LIMIT: usize = 256 * 1024;
const TEXT_BYTES: usize = 20_000;
/// Longer than the pause after a failed write.
const AFTER_RETRY_DELAY: Duration = Duration::from_millis(1100);

fn text_of(n: usize) -> Vec<u8> {
    let mut text = vec![0; TEXT_BYTES + n % 7];
    StdRng::seed_from_u64(n as u64).fill_bytes(&mut text);
    text
}

fn add(texts: &Texts, count: usize) -> Vec<Text> {
    (0..count).map(|n| texts.add(&text_of(n))).collect()
}

fn assert_reads_back(added: &[Text]) {
    let read = texts::read(added).unwrap();
    assert_eq!(read.len(), added.len());
    for (n, text) in read.iter().enumerate() {
        assert!(*text == text_of(n), "text {n} differs");
    }
}

fn files(data: &Path) -> Vec<fs::DirEntry> {
    fs::read_dir(data.join(DIRECTORY)).unwrap().map(Result::unwrap).collect()
}

fn apply(state: &mut State, kind: Kind, now_ms: u64) {
    let command = inner::Command { expected_revision: None, kind: Some(kind) };
    let entry = inner::LogEntry { now_ms, command: Some(command), ..Default::default() };
    assert_eq!(state.apply(&entry).code, 0);
}

/// Submits a batch and lists a result of each item, with the texts from a number on.
fn fill(state: &mut State, id: &str, from: usize, count: usize, now_ms: u64) {
    let numbers = from..from + count;
    let item = |n| inner::BatchItem { id: format!("item-{n}"), ..Default::default() };
    let batch = inner::Batch {
        id: id.into(),
        items: numbers.clone().map(item).collect(),
        status_retention_ms: RETENTION_MS,
        ..Default::default()
    };
    apply(state, Kind::PutBatch(batch), now_ms);
    for n in numbers {
        let (id_of_item, text) = (format!("item-{n}"), Bytes::from(text_of(n)));
        let result = inner::ItemResult {
            id: id_of_item,
            completed: true,
            text,
            versions: vec![1],
            ..Default::default()
        };
        let record = inner::RecordResults {
            batch_id: id.into(),
            results: vec![result],
            ..Default::default()
        };
        apply(state, Kind::RecordResults(record), now_ms);
    }
}

fn encoded(state: &State) -> Vec<u8> {
    let mut bytes = Vec::new();
    for part in state.snapshot() {
        part(&mut bytes).unwrap();
    }
    bytes
}

fn assert_lists(state: &State, id: &str, from: usize, count: usize) {
    let reply = state.results(id, 0, usize::MAX).unwrap().read().unwrap();
    assert_eq!(reply.results.len(), count);
    for (i, result) in reply.results.iter().enumerate() {
        assert_eq!(result.id, format!("item-{}", from + i));
        assert!(result.text == text_of(from + i), "the text of {} differs", result.id);
    }
}

/// Guards against memory that grows with the results, and texts that differ once they are on disk.
#[test]
fn texts_beyond_the_limit_leave_the_memory_and_read_the_same() {
    let dir = tempfile::tempdir().unwrap();
    let texts = Texts::new(dir.path(), LIMIT);
    let added = add(&texts, 400);
    assert_eq!(texts.memory_bytes(), added.iter().map(Text::len).sum::<usize>());
    texts.spill();
    assert!(texts.memory_bytes() <= LIMIT, "{} bytes", texts.memory_bytes());
    assert!(texts.memory_bytes() > LIMIT / 2, "recent texts stay in memory");
    assert!(!added[0].is_in_memory() && added[399].is_in_memory(), "the oldest are written");
    assert!(files(dir.path()).len() > 1, "several files");
    assert_reads_back(&added);
    let every_third: Vec<Text> = added.iter().step_by(3).cloned().collect();
    let read = texts::read(&every_third).unwrap();
    assert!(read.iter().enumerate().all(|(i, text)| *text == text_of(3 * i)));
}

/// Guards against files that outlive their process, and files of another process that are removed before its lock on the
/// directory is tested.
#[test]
fn files_of_an_earlier_process_are_removed_but_not_too_early() {
    let dir = tempfile::tempdir().unwrap();
    let earlier = Texts::new(dir.path(), LIMIT);
    let added = add(&earlier, 20);
    earlier.spill();
    assert_eq!(files(dir.path()).len(), 1);
    let texts = Texts::new(dir.path(), LIMIT);
    assert_reads_back(&added);
    texts.prepare().unwrap();
    assert_eq!(files(dir.path()).len(), 0);
}

/// Guards against texts that are lost, or unreadable, because the disk is full for a time.
#[test]
fn a_full_disk_loses_no_text() {
    let dir = tempfile::tempdir().unwrap();
    let texts = Texts::new(dir.path(), LIMIT);
    texts.prepare().unwrap();
    symlink("/dev/full", dir.path().join(DIRECTORY).join("0")).unwrap();
    let added = add(&texts, 40);
    let before = texts.memory_bytes();
    texts.spill();
    assert_eq!((texts.memory_bytes(), texts.disk_bytes()), (before, 0));
    assert_reads_back(&added);
    texts.spill();
    assert_eq!(texts.memory_bytes(), before, "no write before the delay");
    thread::sleep(AFTER_RETRY_DELAY);
    texts.spill();
    assert!(texts.memory_bytes() <= LIMIT, "{} bytes", texts.memory_bytes());
    assert_reads_back(&added);
    assert_eq!(texts.failure(), None);
}

/// Guards against a store that cannot start or go on because its directory for texts cannot be made.
#[test]
fn an_unusable_directory_loses_no_text() {
    let dir = tempfile::tempdir().unwrap();
    fs::write(dir.path().join(DIRECTORY), "a file in its place").unwrap();
    let texts = Texts::new(dir.path(), LIMIT);
    assert!(texts.prepare().is_err());
    let added = add(&texts, 40);
    texts.spill();
    assert_reads_back(&added);
    fs::remove_file(dir.path().join(DIRECTORY)).unwrap();
    thread::sleep(AFTER_RETRY_DELAY);
    texts.spill();
    assert!(texts.memory_bytes() <= LIMIT);
    assert_reads_back(&added);
}

/// Guards against texts that stay in memory for good after the directory was removed under a running store.
#[test]
fn a_removed_directory_is_made_again() {
    let dir = tempfile::tempdir().unwrap();
    let texts = Texts::new(dir.path(), LIMIT);
    let added = add(&texts, 400);
    texts.spill();
    fs::remove_dir_all(dir.path().join(DIRECTORY)).unwrap();
    assert_reads_back(&added);
    drop(added);
    let added = add(&texts, 400);
    texts.spill();
    thread::sleep(AFTER_RETRY_DELAY);
    texts.spill();
    assert!(texts.memory_bytes() <= LIMIT, "{} bytes", texts.memory_bytes());
    assert_reads_back(&added);
}

/// Guards against a wrong text after the disk damaged a file, and a store that goes on with it.
#[test]
fn a_damaged_file_is_never_read_as_a_text() {
    let damages: [fn(&mut Vec<u8>); 2] =
        [|bytes| bytes[TEXT_BYTES / 2] ^= 1, |bytes| bytes.clear()];
    for damage in damages {
        let dir = tempfile::tempdir().unwrap();
        let texts = Texts::new(dir.path(), LIMIT);
        let mut state = State::new(texts.clone());
        fill(&mut state, "b", 0, 40, NOW_MS);
        texts.spill();
        let path = files(dir.path())[0].path();
        let mut bytes = fs::read(&path).unwrap();
        damage(&mut bytes);
        fs::write(&path, bytes).unwrap();
        assert_eq!(texts.failure(), None);
        assert!(state.results("b", 0, usize::MAX).unwrap().read().is_err());
        assert!(texts.failure().unwrap().contains(path.to_str().unwrap()));
        let mut parts = state.snapshot();
        assert!(parts.any(|part| part(&mut io::sink()).is_err()), "no snapshot of it either");
    }
}

/// Guards against a disk that fills up with the texts of batches whose retention has expired.
#[test]
fn the_files_of_dropped_batches_are_removed() {
    let dir = tempfile::tempdir().unwrap();
    let texts = Texts::new(dir.path(), 0);
    let mut state = State::new(texts.clone());
    let step_ms = u64::from(RETENTION_MS) / 4;
    let (mut highest, per_batch) = (0, 100 * (TEXT_BYTES + 7));
    for batch in 0..40 {
        fill(&mut state, &format!("b{batch}"), batch * 100, 100, NOW_MS + batch as u64 * step_ms);
        texts.spill();
        highest = highest.max(texts.disk_bytes());
        let on_disk: u64 = files(dir.path()).iter().map(|f| f.metadata().unwrap().len()).sum();
        assert_eq!(on_disk, texts.disk_bytes() as u64, "after batch {batch}");
    }
    // Retention and slack cover six batches; the oldest file holds up to a file of dropped ones.
    let bound = 7 * per_batch + SEGMENT_BYTES as usize;
    assert!(highest <= bound, "{highest} of {bound} bytes");
    assert_lists(&state, "b39", 3900, 100);
    apply(&mut state, Kind::PublishVersion(inner::ModelVersion::default()), u64::MAX / 2);
    texts.spill();
    assert!(texts.disk_bytes() <= SEGMENT_BYTES as usize && files(dir.path()).len() <= 1);
}

/// Guards against a text that goes with the batch that generated it while a later batch lists it too.
#[test]
fn a_text_that_a_later_batch_took_over_stays() {
    let dir = tempfile::tempdir().unwrap();
    let texts = Texts::new(dir.path(), 0);
    let mut state = State::new(texts.clone());
    fill(&mut state, "b1", 0, 30, NOW_MS);
    texts.spill();
    let later_ms = NOW_MS + u64::from(RETENTION_MS);
    fill(&mut state, "b2", 0, 30, later_ms);
    assert_eq!(texts.memory_bytes(), 0, "taken over without being read");
    apply(&mut state, Kind::PublishVersion(inner::ModelVersion::default()), later_ms + 40_000);
    assert!(state.batch("b1").is_none());
    texts.spill();
    assert_lists(&state, "b2", 0, 30);
}

/// Guards against a snapshot that lacks batches which are dropped while it is written.
#[test]
fn a_snapshot_holds_what_is_dropped_while_it_is_written() {
    let dir = tempfile::tempdir().unwrap();
    let texts = Texts::new(dir.path(), LIMIT);
    let mut state = State::new(texts.clone());
    fill(&mut state, "b1", 0, 100, NOW_MS);
    texts.spill();
    let expected = encoded(&state);
    let parts = state.snapshot();
    apply(&mut state, Kind::PublishVersion(inner::ModelVersion::default()), NOW_MS + 1_000_000);
    assert!(state.batch("b1").is_none());
    texts.spill();
    let mut bytes = Vec::new();
    for part in parts {
        part(&mut bytes).unwrap();
    }
    assert!(bytes == expected);
    texts.spill();
    assert!(texts.disk_bytes() <= SEGMENT_BYTES as usize);
}

/// Guards against snapshots that another version of the program cannot read, in either direction.
#[test]
fn snapshots_of_earlier_versions_are_read_and_read_the_same_there() {
    let mut state = State::default();
    fill(&mut state, "b1", 0, 10, NOW_MS);
    fill(&mut state, "b2", 10, 10, NOW_MS);
    let bytes = encoded(&state);
    let message = inner::StoreState::decode(&*bytes).unwrap();
    assert_eq!(message.batches.len(), 2);
    assert!(message.batches[1].results[9].text == text_of(19));
    // Earlier versions encode the fields of a batch in the order of their numbers.
    let earlier = message.encode_to_vec();
    let texts = Texts::default();
    let saved = snapshot::read(&mut &*earlier, &texts).unwrap();
    let restored = State::restore(saved, texts).unwrap();
    assert_lists(&restored, "b2", 10, 10);
    assert!(encoded(&restored) == bytes);
    for cut in [1, TEXT_BYTES, earlier.len() / 2, earlier.len() - 1] {
        assert!(snapshot::read(&mut &earlier[..cut], &Texts::default()).is_err(), "cut at {cut}");
    }
}

/// Notes the memory of the texts at each read.
struct Watched<'a> {
    bytes: &'a [u8],
    texts: Texts,
    highest: usize,
}

impl Read for Watched<'_> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        self.highest = self.highest.max(self.texts.memory_bytes());
        self.bytes.read(buf)
    }
}

/// Guards against a store whose memory exceeds its limit while it installs a snapshot or starts from one.
#[test]
fn a_state_is_restored_within_the_limit_of_texts() {
    let mut state = State::default();
    fill(&mut state, "b1", 0, 400, NOW_MS);
    let bytes = encoded(&state);
    let dir = tempfile::tempdir().unwrap();
    let texts = Texts::new(dir.path(), LIMIT);
    let mut r = Watched { bytes: &bytes, texts: texts.clone(), highest: 0 };
    let saved = snapshot::read(&mut r, &texts).unwrap();
    assert!(r.highest <= LIMIT + TEXT_BYTES, "{} of {LIMIT} bytes", r.highest);
    let restored = State::restore(saved, texts).unwrap();
    assert_lists(&restored, "b1", 0, 400);
    assert!(encoded(&restored) == bytes);
}
