//! Results, failed attempts and saved output of a batch that wait to be committed.

use std::rc::Rc;

use bytes::Bytes;
use indexmap::IndexMap;
use orioleworks_fleet::texts;
use orioleworks_proto::inner;
use prost::Message;

/// Size in bytes up to which a record takes further results. With a result of the largest size on top it stays below the
/// largest command, and far below a frame; an entry larger than a frame could reach no follower.
pub const MAX_RECORD_BYTES: usize = 1024 * 1024;
/// Largest size in bytes of the field number and the length before a part of a record.
const FIELD_HEADER_BYTES: usize = 6;

/// Batch and item.
pub type ItemKey = (Rc<str>, Rc<str>);
/// Records by batch.
pub type Records = IndexMap<Rc<str>, inner::RecordResults>;

/// Record of a batch, which is added if there is none.
pub fn record_for<'a>(records: &'a mut Records, batch: &Rc<str>) -> &'a mut inner::RecordResults {
    records.entry(batch.clone()).or_insert_with(|| empty(batch))
}

/// Adds the result of an item; `None` for one that was given up.
pub fn add_result(records: &mut Records, key: &ItemKey, done: Option<(Bytes, Vec<u64>)>) {
    let result = match done {
        Some((text, versions)) => completed(key, text, versions),
        None => inner::ItemResult { id: key.1.to_string(), ..Default::default() },
    };
    record_for(records, &key.0).results.push(result);
}

/// Adds the complete text of an item whose reward call is owed from then on.
pub fn add_unscored(records: &mut Records, key: &ItemKey, text: Bytes, versions: Vec<u64>) {
    record_for(records, &key.0).unscored.push(completed(key, text, versions));
}

fn completed(key: &ItemKey, text: Bytes, versions: Vec<u64>) -> inner::ItemResult {
    let (text, text_len) = texts::pack(text);
    let id = key.1.to_string();
    inner::ItemResult { id, completed: true, text, versions, text_len, ..Default::default() }
}

/// Puts a record that was not committed before what has been added meanwhile.
pub fn put_back(records: &mut Records, record: inner::RecordResults) {
    let pending = record_for(records, &Rc::from(record.batch_id.as_str()));
    pending.results.splice(0..0, record.results);
    pending.failed.splice(0..0, record.failed);
    pending.failed_reward_calls.splice(0..0, record.failed_reward_calls);
    pending.unscored.splice(0..0, record.unscored);
    pending.scores.splice(0..0, record.scores);
    // Progress that was saved in the meantime continues the progress that is recorded again.
    pending.progress.splice(0..0, record.progress);
}

/// Splits a record into records of at most `max_bytes`, or of a single part that is larger. Applied one after another,
/// they have the effect of the whole.
pub fn split(record: inner::RecordResults, max_bytes: usize) -> Vec<inner::RecordResults> {
    let mut split =
        Split { current: empty(&record.batch_id), bytes: 0, full: Vec::new(), max_bytes };
    for failed in record.failed {
        split.record_for(&failed).failed.push(failed);
    }
    for failed in record.failed_reward_calls {
        split.record_for(&failed).failed_reward_calls.push(failed);
    }
    for progress in record.progress {
        split.record_for(&progress).progress.push(progress);
    }
    for text in record.unscored {
        split.record_for(&text).unscored.push(text);
    }
    for score in record.scores {
        split.record_for(&score).scores.push(score);
    }
    for result in record.results {
        split.record_for(&result).results.push(result);
    }
    split.full.push(split.current);
    split.full
}

/// A record that is being split.
struct Split {
    current: inner::RecordResults,
    /// Size of the parts in `current`.
    bytes: usize,
    full: Vec<inner::RecordResults>,
    max_bytes: usize,
}

impl Split {
    /// Record with room for a part.
    fn record_for(&mut self, part: &impl Message) -> &mut inner::RecordResults {
        let bytes = part.encoded_len() + FIELD_HEADER_BYTES;
        if self.bytes > 0 && self.bytes + bytes > self.max_bytes {
            let next = empty(&self.current.batch_id);
            self.full.push(std::mem::replace(&mut self.current, next));
            self.bytes = 0;
        }
        self.bytes += bytes;
        &mut self.current
    }
}

fn empty(batch: &str) -> inner::RecordResults {
    inner::RecordResults { batch_id: batch.into(), ..Default::default() }
}
