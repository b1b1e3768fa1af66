//! Guards against truncating acknowledged records like a torn tail, and against torn tails that stop a replica.

use std::{fs, path::Path};

use orioleworks_log::{
    LogError,
    journal::{Journal, LOG_FILE, SYNCED_FILE},
};
use orioleworks_proto::inner;
use orioleworks_rules::log::LogPosition;
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;

fn entry(index: u64) -> inner::LogEntry {
    inner::LogEntry {
        index,
        term: 1,
        now_ms: 1000 + index,
        order_id: format!("order-{index}"),
        command: None,
    }
}

fn filled(directory: &Path, count: u64) -> u64 {
    let (mut journal, loaded) = Journal::open(directory).unwrap();
    assert!(loaded.entries.is_empty());
    for index in 1..=count {
        journal.append(&[entry(index)]).unwrap();
    }
    fs::metadata(directory.join(LOG_FILE)).unwrap().len()
}

fn append_bytes(directory: &Path, bytes: &[u8]) {
    let path = directory.join(LOG_FILE);
    let mut all = fs::read(&path).unwrap();
    all.extend(bytes);
    fs::write(path, all).unwrap();
}

/// Guards against an incomplete unsynced record that stops the replica or is read as a record.
#[rstest]
#[case::half_header(&[9, 0, 0])]
#[case::wrong_checksum(&[4, 0, 0, 0, 1, 2, 3, 4, 8, 1, 16, 1])]
#[case::length_beyond_the_end(&[255, 255, 255, 255, 0, 0, 0, 0, 1])]
fn torn_tail_is_cut(#[case] tail: &[u8]) {
    let dir = tempfile::tempdir().unwrap();
    let len = filled(dir.path(), 5);
    append_bytes(dir.path(), tail);
    let (mut journal, loaded) = Journal::open(dir.path()).unwrap();
    assert_eq!(loaded.entries, (1..=5).map(entry).collect::<Vec<_>>());
    assert_eq!(fs::metadata(dir.path().join(LOG_FILE)).unwrap().len(), len);
    journal.append(&[entry(6)]).unwrap();
    let (_, loaded) = Journal::open(dir.path()).unwrap();
    assert_eq!(loaded.entries.len(), 6);
}

/// Guards against a synced log that lost its end, which looks like a torn tail.
#[rstest]
fn shortened_synced_log_is_refused() {
    let dir = tempfile::tempdir().unwrap();
    let len = filled(dir.path(), 5);
    let file = fs::File::options().write(true).open(dir.path().join(LOG_FILE)).unwrap();
    file.set_len(len - 1).unwrap();
    assert!(matches!(Journal::open(dir.path()), Err(LogError::Damaged { .. })));
}

/// Guards against a torn synced mark that hides the older one, also after a restart, which writes a mark of its own.
#[rstest]
#[case::second_place(false, 512)]
#[case::first_place_after_a_restart(true, 0)]
fn torn_mark_falls_back_to_the_older_one(#[case] restarted: bool, #[case] newest: usize) {
    let dir = tempfile::tempdir().unwrap();
    filled(dir.path(), 5);
    if restarted {
        let (mut journal, _) = Journal::open(dir.path()).unwrap();
        assert!(!journal.needs_mark(), "the mark of the last append covers it");
        journal.mark_synced().unwrap();
    }
    let mark = dir.path().join(SYNCED_FILE);
    let mut bytes = fs::read(&mark).unwrap();
    let sequence = |at: usize| u64::from_le_bytes(bytes[at..at + 8].try_into().unwrap());
    assert!(sequence(newest) > sequence(512 - newest), "the newest mark");
    bytes[newest + 20] ^= 1;
    fs::write(&mark, bytes).unwrap();
    let len = fs::metadata(dir.path().join(LOG_FILE)).unwrap().len();
    let file = fs::File::options().write(true).open(dir.path().join(LOG_FILE)).unwrap();
    file.set_len(len / 2).unwrap();
    assert!(matches!(Journal::open(dir.path()), Err(LogError::Damaged { .. })));
}

/// Guards against a mark that stays behind after a process ended between the sync of its entries and that of the mark.
#[rstest]
fn an_opened_log_whose_mark_is_behind_needs_one() {
    let dir = tempfile::tempdir().unwrap();
    filled(dir.path(), 4);
    let mark = fs::read(dir.path().join(SYNCED_FILE)).unwrap();
    let (mut journal, _) = Journal::open(dir.path()).unwrap();
    journal.append(&[entry(5)]).unwrap();
    fs::write(dir.path().join(SYNCED_FILE), mark).unwrap();
    let (mut journal, loaded) = Journal::open(dir.path()).unwrap();
    assert_eq!(loaded.entries.len(), 5);
    assert!(journal.needs_mark());
    journal.mark_synced().unwrap();
    let len = fs::metadata(dir.path().join(LOG_FILE)).unwrap().len();
    let file = fs::File::options().write(true).open(dir.path().join(LOG_FILE)).unwrap();
    file.set_len(len - 1).unwrap();
    assert!(matches!(Journal::open(dir.path()), Err(LogError::Damaged { .. })));
}

/// Guards against a replaced log that loses its base or its entries.
#[rstest]
fn replaced_log_keeps_base_and_entries() {
    let dir = tempfile::tempdir().unwrap();
    filled(dir.path(), 5);
    let base = LogPosition { term: 1, index: 3 };
    let mut journal = Journal::create(dir.path(), base, &[entry(4), entry(5)]).unwrap();
    journal.append(&[entry(6)]).unwrap();
    let (_, loaded) = Journal::open(dir.path()).unwrap();
    assert_eq!(loaded.base, base);
    assert_eq!(loaded.entries, vec![entry(4), entry(5), entry(6)]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261),
        failure_persistence: None,
        ..ProptestConfig::with_cases(128)
    })]

    /// Guards against an undetected single damaged byte before the synced end.
    #[test]
    fn damage_before_the_synced_end_is_refused_with_its_place(at in 0.0_f64..1.0, bit in 0_u8..8) {
        let dir = tempfile::tempdir().unwrap();
        let len = filled(dir.path(), 6);
        let path = dir.path().join(LOG_FILE);
        let mut bytes = fs::read(&path).unwrap();
        let at = (at * len as f64) as usize;
        bytes[at] ^= 1_u8 << bit;
        fs::write(&path, bytes).unwrap();
        match Journal::open(dir.path()) {
            Err(LogError::Damaged { file, offset, repair, .. }) => {
                prop_assert!(file.ends_with(LOG_FILE));
                prop_assert!(offset as usize <= at);
                prop_assert!(repair.starts_with("mv "));
            }
            other => prop_assert!(false, "damage at {} was accepted: {:?}", at, other.is_ok()),
        }
    }
}
