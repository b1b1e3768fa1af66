//! Snapshots of the state, written and read one text at a time.
//!
//! The bytes are a `StoreState` message. Protobuf fields may come in any order and a message in several parts, so that no
//! message has to be in memory as a whole.

use std::io::{self, Read, Write};

use orioleworks_log::Part;
use orioleworks_proto::inner;
use prost::{
    Message,
    encoding::{self, WireType},
};

use crate::{
    state::Listed,
    texts::{self, RUN_BYTES, Text, Texts},
};

/// Number of `StoreState.batches`.
const BATCHES_FIELD: u32 = 3;
/// Number of `BatchState.results`.
const RESULTS_FIELD: u32 = 4;
/// Number of `BatchState.unscored`.
const UNSCORED_FIELD: u32 = 8;
/// Number of `ItemResult.text`.
const TEXT_FIELD: u32 = 3;
/// Bits of the key of a field that tell its type.
const WIRE_TYPE_BITS: u32 = 3;

/// A batch as saved, with results and complete texts apart.
#[derive(Debug)]
pub struct SavedBatch {
    /// The batch without results and complete texts.
    pub state: inner::BatchState,
    /// Its results by position.
    pub results: Vec<Listed>,
    /// Complete texts whose reward calls are owed.
    pub unscored: Vec<Listed>,
}

/// A state as saved.
#[derive(Debug)]
pub struct Saved {
    /// The state without batches.
    pub head: inner::StoreState,
    /// Its batches in their order.
    pub batches: Vec<SavedBatch>,
}

/// Part with everything but batches.
pub fn head_part(head: &inner::StoreState) -> Part {
    let head = head.encode_to_vec();
    Box::new(move |w| w.write_all(&head))
}

/// Part with one batch, which reads the texts back while it is written.
pub fn batch_part(batch: SavedBatch) -> Part {
    Box::new(move |w| write_batch(w, &batch))
}

fn write_batch(w: &mut dyn Write, batch: &SavedBatch) -> io::Result<()> {
    let fields = [(RESULTS_FIELD, &batch.results), (UNSCORED_FIELD, &batch.unscored)];
    let len = |(field, all): &(u32, &Vec<Listed>)| -> usize {
        all.iter().map(|listed| field_len(*field, result_len(listed))).sum()
    };
    let head = batch.state.encode_to_vec();
    write_key(w, BATCHES_FIELD, head.len() + fields.iter().map(len).sum::<usize>())?;
    w.write_all(&head)?;
    for (field, all) in fields {
        write_results(w, field, all)?;
    }
    Ok(())
}

fn write_results(w: &mut dyn Write, field: u32, mut rest: &[Listed]) -> io::Result<()> {
    while !rest.is_empty() {
        let mut bytes = 0;
        let fitting = rest.iter().take_while(|listed| {
            bytes += listed.text.len();
            bytes <= RUN_BYTES
        });
        let (run, after) = rest.split_at(fitting.count().max(1));
        rest = after;
        let texts: Vec<Text> = run.iter().map(|listed| listed.text.clone()).collect();
        for (listed, text) in run.iter().zip(texts::read(&texts)?) {
            let result = inner::ItemResult { text, ..listed.result.clone() };
            write_key(w, field, result.encoded_len())?;
            w.write_all(&result.encode_to_vec())?;
        }
    }
    Ok(())
}

fn result_len(listed: &Listed) -> usize {
    let text = match listed.text.len() {
        0 => 0,
        len => field_len(TEXT_FIELD, len),
    };
    listed.result.encoded_len() + text
}

fn field_len(number: u32, len: usize) -> usize {
    encoding::key_len(number) + encoding::encoded_len_varint(len as u64) + len
}

fn write_key(w: &mut dyn Write, number: u32, len: usize) -> io::Result<()> {
    let mut buf = Vec::new();
    encoding::encode_key(number, WireType::LengthDelimited, &mut buf);
    encoding::encode_varint(len as u64, &mut buf);
    w.write_all(&buf)
}

/// Reads a state, whose texts are written to their files when they exceed what is kept in memory. Blocks.
///
/// # Errors
///
/// Fails if the bytes are not a state.
pub fn read(r: &mut dyn Read, texts: &Texts) -> io::Result<Saved> {
    let mut batches = Vec::new();
    let head = read_message(r, &[BATCHES_FIELD], |_, r| {
        batches.push(read_batch(r, texts)?);
        Ok(())
    })?;
    Ok(Saved { head: inner::StoreState::decode(&*head)?, batches })
}

fn read_batch(r: &mut dyn Read, texts: &Texts) -> io::Result<SavedBatch> {
    let (mut results, mut unscored) = (Vec::new(), Vec::new());
    let state = read_message(r, &[RESULTS_FIELD, UNSCORED_FIELD], |field, r| {
        let mut result = Vec::new();
        r.read_to_end(&mut result)?;
        let all = if field == RESULTS_FIELD { &mut results } else { &mut unscored };
        all.push(Listed::new(inner::ItemResult::decode(&*result)?, texts));
        texts.spill();
        Ok(())
    })?;
    Ok(SavedBatch { state: inner::BatchState::decode(&*state)?, results, unscored })
}

/// Reads a message: passes on the fields with certain numbers, and returns all others as they are encoded.
fn read_message(
    r: &mut dyn Read,
    numbers: &[u32],
    mut each: impl FnMut(u32, &mut dyn Read) -> io::Result<()>,
) -> io::Result<Vec<u8>> {
    let mut others = Vec::new();
    while let Some(key) = read_varint(r)? {
        let wire_type = key & ((1 << WIRE_TYPE_BITS) - 1);
        let passed_on = numbers.iter().find(|n| key >> WIRE_TYPE_BITS == u64::from(**n));
        if wire_type == WireType::LengthDelimited as u64
            && let Some(number) = passed_on
        {
            let len = read_value(r)?;
            let mut field = Read::take(&mut *r, len);
            each(*number, &mut field)?;
            if field.limit() > 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            continue;
        }
        encoding::encode_varint(key, &mut others);
        let len = if wire_type == WireType::Varint as u64 {
            encoding::encode_varint(read_value(r)?, &mut others);
            0
        } else if wire_type == WireType::LengthDelimited as u64 {
            let len = read_value(r)?;
            encoding::encode_varint(len, &mut others);
            len
        } else {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "a field of an unknown type"));
        };
        if Read::take(&mut *r, len).read_to_end(&mut others)? as u64 != len {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(others)
}

fn read_value(r: &mut dyn Read) -> io::Result<u64> {
    read_varint(r)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Reads a number; `None` at the end.
fn read_varint(r: &mut dyn Read) -> io::Result<Option<u64>> {
    let (mut value, mut shift) = (0_u64, 0);
    loop {
        let mut byte = [0];
        match r.read_exact(&mut byte) {
            Ok(()) => {}
            Err(e) if e.kind() == io::ErrorKind::UnexpectedEof && shift == 0 => return Ok(None),
            Err(e) => return Err(e),
        }
        value |= u64::from(byte[0] & 0x7f) << shift;
        if byte[0] & 0x80 == 0 {
            return Ok(Some(value));
        }
        shift += 7;
        if shift >= u64::BITS {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "a number is too long"));
        }
    }
}
