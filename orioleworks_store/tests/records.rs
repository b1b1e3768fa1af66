//! Records of results that collect while a quorum is slow.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use orioleworks_log::node::MAX_COMMAND_BYTES;
use orioleworks_proto::{
    frames::{FrameCodec, MAX_FRAME_BYTES},
    inner::{self, command::Kind, frame::Body},
};
use orioleworks_store::{
    records::{self, ItemKey, MAX_RECORD_BYTES, Records},
    state::State,
};
use prost::Message;
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;
use tokio_util::codec::{Decoder, Encoder};

const BATCH: &str = "b";
/// The largest text of an item; see `runner.rs`.
const MAX_TEXT_BYTES: usize = 1024 * 1024;

/// Text that does not get shorter when it is deflated.
fn noise(rng: &mut StdRng, len: usize) -> Bytes {
    let mut bytes = vec![0; len];
    rng.fill_bytes(&mut bytes);
    bytes.into()
}

fn item(i: usize) -> String {
    format!("item-{i}")
}

/// Results and saved output of items, as they collect.
fn collected(results: usize, text_len: usize, saved: usize, event_len: usize) -> Records {
    let rng = &mut StdRng::seed_from_u64(1);
    let (mut records, batch) = (Records::default(), Rc::from(BATCH));
    for i in 0..results {
        let key: ItemKey = (Rc::clone(&batch), Rc::from(item(i)));
        records::add_result(&mut records, &key, Some((noise(rng, text_len), vec![1])));
    }
    let record = records::record_for(&mut records, &batch);
    for i in 0..saved {
        // Two parts of the output of each item, in order.
        for (from, id) in [(0, 1), (1, 2)] {
            record.progress.push(inner::ItemProgress {
                id: item(results + i),
                from,
                events: vec![noise(rng, event_len)],
                last_id: Some(id),
                versions: vec![1],
                ..Default::default()
            });
        }
        record.failed.push(inner::FailedAttempts { id: item(results + i), count: 1 });
    }
    records
}

fn entry(record: inner::RecordResults) -> inner::LogEntry {
    let command =
        inner::Command { expected_revision: None, kind: Some(Kind::RecordResults(record)) };
    inner::LogEntry { index: 1, term: 1, command: Some(command), ..Default::default() }
}

/// State after entries, as a snapshot.
fn applied(items: usize, entries: &[inner::LogEntry]) -> Vec<u8> {
    let mut state = State::default();
    let item = |i| inner::BatchItem { id: item(i), ..Default::default() };
    let batch = inner::Batch {
        id: BATCH.into(),
        items: (0..items).map(item).collect(),
        status_retention_ms: 120_000,
        ..Default::default()
    };
    let command = inner::Command { expected_revision: None, kind: Some(Kind::PutBatch(batch)) };
    state.apply(&inner::LogEntry { command: Some(command), ..Default::default() });
    for entry in entries {
        state.apply(entry);
    }
    let mut bytes = Vec::new();
    for part in state.snapshot() {
        part(&mut bytes).unwrap();
    }
    bytes
}

/// Whether an entry arrives at a follower.
fn arrives(entry: &inner::LogEntry) -> bool {
    let append = inner::Append { entries: vec![entry.clone()], ..Default::default() };
    let frame = inner::Frame { request_id: 1, body: Some(Body::Append(append)) };
    let mut buf = BytesMut::new();
    let sent = FrameCodec::default().encode(frame, &mut buf).is_ok();
    sent && FrameCodec::default().decode(&mut buf).is_ok_and(|frame| frame.is_some())
}

/// Guards against results that collect while a quorum is slow and become an entry that no frame can carry to a follower.
#[rstest]
#[case::largest_texts(12, MAX_TEXT_BYTES, 4, MAX_TEXT_BYTES)]
#[case::many_texts(400, 40_000, 20, 60_000)]
#[case::many_short_ones(20_000, 700, 0, 0)]
fn collected_results_arrive_at_followers(
    #[case] results: usize,
    #[case] text_len: usize,
    #[case] saved: usize,
    #[case] event_len: usize,
) {
    let record = collected(results, text_len, saved, event_len).swap_remove(BATCH).unwrap();
    let whole = entry(record.clone());
    assert!(whole.encoded_len() > MAX_FRAME_BYTES && !arrives(&whole));
    let entries: Vec<_> = records::split(record, MAX_RECORD_BYTES).into_iter().map(entry).collect();
    for entry in &entries {
        assert!(entry.encoded_len() < MAX_COMMAND_BYTES && arrives(entry));
    }
    let most = 2 * whole.encoded_len() / MAX_RECORD_BYTES + 1;
    assert!(entries.len() <= most, "{} entries for {} B", entries.len(), whole.encoded_len());
    let items = results + saved;
    assert!(applied(items, &entries) == applied(items, &[whole]), "the states differ");
}

/// Guards against saved output that is recorded out of order after a part of a record was not committed.
#[test]
fn parts_that_were_not_committed_come_before_later_ones() {
    let mut records = collected(40, 60_000, 40, 60_000);
    let whole = records.swap_remove(BATCH).unwrap();
    let mut parts = records::split(whole.clone(), MAX_RECORD_BYTES);
    assert!(parts.len() > 4, "{} parts", parts.len());
    let committed = parts.remove(0);
    let later = inner::ItemProgress {
        id: item(79),
        from: 2,
        events: vec![Bytes::from_static(b"later")],
        last_id: Some(3),
        versions: vec![1],
        ..Default::default()
    };
    records::record_for(&mut records, &Rc::from(BATCH)).progress.push(later.clone());
    parts.into_iter().rev().for_each(|part| records::put_back(&mut records, part));
    let again = records.swap_remove(BATCH).unwrap();
    let mut expected = whole.clone();
    expected.progress.push(later);
    let entries = [entry(committed), entry(again)];
    assert!(applied(80, &entries) == applied(80, &[entry(expected)]), "the states differ");
}
