//! The replicated state machine: batches, positions, documents and snapshots.

use bytes::Bytes;
use orioleworks_proto::{
    codes::ResultCode,
    inner::{self, command::Kind},
};
use orioleworks_store::{snapshot, state::State, texts::Texts};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const NOW_MS: u64 = 1_000_000;

fn apply(state: &mut State, kind: Kind, now_ms: u64) -> ResultCode {
    let command = inner::Command { expected_revision: None, kind: Some(kind) };
    let entry = inner::LogEntry { now_ms, command: Some(command), ..Default::default() };
    ResultCode::from_number(state.apply(&entry).code).unwrap()
}

fn batch(id: &str, items: &[&str], min_version: u64) -> inner::Batch {
    let item = |id: &&str| inner::BatchItem {
        id: (*id).into(),
        body: Bytes::from(format!("body of {id}")),
        ..Default::default()
    };
    inner::Batch {
        id: id.into(),
        route: "r".into(),
        model: "m".into(),
        min_version,
        items: items.iter().map(item).collect(),
        status_retention_ms: 120_000,
        ..Default::default()
    }
}

fn result(id: &str, text: &str, versions: &[u64]) -> inner::ItemResult {
    let text = Bytes::copy_from_slice(text.as_bytes());
    let versions = versions.to_vec();
    inner::ItemResult { id: id.into(), completed: true, text, versions, ..Default::default() }
}

fn record(batch_id: &str, results: Vec<inner::ItemResult>) -> Kind {
    let batch_id = batch_id.into();
    Kind::RecordResults(inner::RecordResults { batch_id, results, ..Default::default() })
}

fn progress(batch_id: &str, id: &str, from: u32, events: &[&str], versions: &[u64]) -> Kind {
    let events: Vec<Bytes> = events.iter().map(|e| Bytes::copy_from_slice(e.as_bytes())).collect();
    let last_id = Some(u64::from(from) + events.len() as u64);
    let versions = versions.to_vec();
    let progress = inner::ItemProgress {
        id: id.into(),
        from,
        events,
        last_id,
        versions,
        ..Default::default()
    };
    Kind::RecordResults(inner::RecordResults {
        batch_id: batch_id.into(),
        progress: vec![progress],
        ..Default::default()
    })
}

fn encoded(state: &State) -> Bytes {
    let mut bytes = Vec::new();
    for part in state.snapshot() {
        part(&mut bytes).unwrap();
    }
    bytes.into()
}

fn restore(bytes: &Bytes) -> Result<State, String> {
    let texts = Texts::default();
    let saved = snapshot::read(&mut &**bytes, &texts).map_err(|e| e.to_string())?;
    State::restore(saved, texts)
}

fn listed(state: &State, id: &str, after: u64) -> Vec<String> {
    let listing = state.results(id, after, usize::MAX).unwrap();
    listing.reply.results.into_iter().map(|r| r.id).collect()
}

/// Guards against an item with two positions and a position whose result changes, after repeated or late results.
#[test]
fn an_item_keeps_its_first_position() {
    let mut state = State::default();
    assert_eq!(
        apply(&mut state, Kind::PutBatch(batch("b", &["x", "y"], 1)), NOW_MS),
        ResultCode::Ok
    );
    apply(&mut state, record("b", vec![result("y", "first", &[1])]), NOW_MS);
    apply(
        &mut state,
        record("b", vec![result("y", "second", &[1]), result("z", "none", &[1])]),
        NOW_MS,
    );
    apply(&mut state, Kind::PutBatch(batch("b", &["other"], 1)), NOW_MS);
    apply(&mut state, record("b", vec![result("x", "text", &[1])]), NOW_MS);
    assert_eq!(listed(&state, "b", 0), ["y", "x"]);
    let reply = state.results("b", 0, 1).unwrap().read().unwrap();
    assert_eq!((reply.total, reply.next, reply.results.len()), (2, 1, 1), "at least one result");
    assert_eq!(reply.results[0].text, "first");
}

/// Guards against samples of older weights than the batch allows.
#[test]
fn a_result_of_older_weights_is_not_listed() {
    let mut state = State::default();
    apply(&mut state, Kind::PutBatch(batch("b", &["x"], 5)), NOW_MS);
    apply(&mut state, record("b", vec![result("x", "old", &[4, 5])]), NOW_MS);
    assert_eq!(listed(&state, "b", 0), [""; 0]);
    apply(&mut state, record("b", vec![result("x", "new", &[5, 6])]), NOW_MS);
    assert_eq!(listed(&state, "b", 0), ["x"]);
}

/// Guards against items that are generated again although an earlier batch holds their text, and against text of weight
/// versions that the later batch does not allow.
#[test]
fn a_later_batch_takes_over_what_its_weights_allow() {
    let mut state = State::default();
    apply(&mut state, Kind::PutBatch(batch("b1", &["x", "y", "z"], 1)), NOW_MS);
    apply(&mut state, record("b1", vec![result("x", "text", &[2])]), NOW_MS);
    apply(&mut state, progress("b1", "y", 0, &["one", "two"], &[2]), NOW_MS);
    apply(&mut state, progress("b1", "z", 0, &["one"], &[1]), NOW_MS);
    assert_eq!(apply(&mut state, Kind::EndBatch("b1".into()), NOW_MS), ResultCode::Ok);
    apply(&mut state, Kind::PutBatch(batch("b2", &["x", "y", "z"], 2)), NOW_MS);
    assert_eq!(listed(&state, "b2", 0), ["x"]);
    let items = &state.batch("b2").unwrap().items;
    assert_eq!(items["y"].progress.as_ref().unwrap().events.len(), 2);
    assert!(items["z"].progress.is_none(), "its weights are too old");
    apply(&mut state, Kind::PutBatch(batch("b3", &["x"], 3)), NOW_MS);
    assert_eq!(listed(&state, "b3", 0), [""; 0]);
}

/// Guards against a text with a gap or a duplicate event after progress that was saved twice or out of order.
#[test]
fn saved_events_follow_each_other() {
    let mut state = State::default();
    apply(&mut state, Kind::PutBatch(batch("b", &["x"], 1)), NOW_MS);
    apply(&mut state, progress("b", "x", 0, &["one", "two"], &[1]), NOW_MS);
    apply(&mut state, progress("b", "x", 5, &["six"], &[1]), NOW_MS);
    apply(&mut state, progress("b", "x", 2, &["three"], &[1, 2]), NOW_MS);
    apply(&mut state, progress("b", "x", 2, &["three"], &[1, 2]), NOW_MS);
    let saved = state.batch("b").unwrap().items["x"].progress.clone().unwrap();
    assert_eq!(saved.events, ["one", "two", "three"]);
    assert_eq!((saved.last_id, saved.versions.as_slice()), (Some(3), [1, 2].as_slice()));
}

/// Guards against weights on too few engines for overlapping steps, and between two steps.
#[test]
fn the_items_of_a_model_are_those_of_its_open_batches_or_its_largest_batch() {
    let mut state = State::default();
    assert_eq!(state.items_of("m"), None);
    apply(&mut state, Kind::PutBatch(batch("b", &["x", "y"], 1)), NOW_MS);
    assert_eq!(state.items_of("m"), Some(2));
    apply(&mut state, Kind::PutBatch(batch("c", &["z"], 1)), NOW_MS);
    assert_eq!(state.items_of("m"), Some(3));
    apply(&mut state, Kind::EndBatch("b".into()), NOW_MS);
    apply(&mut state, Kind::EndBatch("c".into()), NOW_MS);
    assert_eq!(state.items_of("m"), Some(2));
    assert_eq!(state.items_of("other"), None);
}

/// Guards against an ended batch that continues, and bodies that are kept after their item is listed or the batch has
/// ended.
#[test]
fn an_ended_batch_keeps_its_list_and_drops_its_bodies() {
    let mut state = State::default();
    apply(&mut state, Kind::PutBatch(batch("b", &["x", "y"], 1)), NOW_MS);
    assert_eq!(state.batch("b").unwrap().items["y"].spec.body, "body of y");
    apply(&mut state, record("b", vec![result("x", "text", &[1])]), NOW_MS);
    assert!(state.batch("b").unwrap().items["x"].spec.body.is_empty(), "listed");
    apply(&mut state, Kind::EndBatch("b".into()), NOW_MS);
    assert_eq!(apply(&mut state, Kind::EndBatch("b".into()), NOW_MS), ResultCode::Ok, "a repeat");
    assert_eq!(apply(&mut state, Kind::EndBatch("none".into()), NOW_MS), ResultCode::UnknownObject);
    assert_eq!(state.open_batches().count(), 0);
    assert_eq!(listed(&state, "b", 0), ["x"]);
}

/// Guards against memory that grows without bound, and against results that are dropped before their retention expires.
#[test]
fn a_batch_is_forgotten_after_its_retention() {
    let mut state = State::default();
    apply(&mut state, Kind::PutBatch(batch("b", &["x"], 1)), NOW_MS);
    apply(&mut state, Kind::EndBatch("b".into()), NOW_MS);
    apply(&mut state, Kind::EndBatch("none".into()), NOW_MS + 120_000);
    assert!(state.batch("b").is_some());
    apply(&mut state, Kind::EndBatch("none".into()), NOW_MS + 300_000);
    assert!(state.batch("b").is_none());
}

/// Guards against a text that begins with the output of one software version and goes on with that of another.
#[test]
fn saved_progress_holds_one_software_version() {
    let mut state = State::default();
    apply(&mut state, Kind::PutBatch(batch("b", &["x"], 1)), NOW_MS);
    let save = |state: &mut State, from, events: &[&str], software: &str| {
        let Kind::RecordResults(mut record) = progress("b", "x", from, events, &[1]) else {
            unreachable!("progress is recorded with results")
        };
        record.progress[0].software = software.into();
        apply(state, Kind::RecordResults(record), NOW_MS);
        let saved = state.batch("b").unwrap().items["x"].progress.clone().unwrap();
        (saved.events.len(), saved.software.clone())
    };
    assert_eq!(save(&mut state, 0, &["one", "two"], "v1"), (2, "v1".into()));
    assert_eq!(save(&mut state, 2, &["three"], "v2"), (2, "v1".into()), "ignored");
    assert_eq!(save(&mut state, 0, &["one"], "v2"), (1, "v2".into()), "started over");
}

/// Guards against a route document that reverts to an older version.
#[test]
fn the_highest_document_stays() {
    let mut state = State::default();
    let document = |version, text: &'static str| {
        Kind::PutDocument(inner::Document { version, content: Bytes::from_static(text.as_bytes()) })
    };
    for (version, text) in [(3, "three"), (2, "two"), (3, "other")] {
        assert_eq!(apply(&mut state, document(version, text), NOW_MS), ResultCode::Ok);
    }
    assert_eq!((state.document().version, &*state.document().content), (3, b"three".as_slice()));
}

/// Guards against state that is lost in a snapshot.
#[test]
fn a_snapshot_holds_everything() {
    let mut state = State::default();
    apply(
        &mut state,
        Kind::PublishVersion(inner::ModelVersion { model: "m".into(), version: 4 }),
        NOW_MS,
    );
    apply(&mut state, Kind::PutBatch(batch("b1", &["x", "y", "z"], 1)), NOW_MS);
    apply(&mut state, record("b1", vec![result("x", "text", &[4])]), NOW_MS);
    apply(&mut state, progress("b1", "y", 0, &["one"], &[4]), NOW_MS);
    apply(&mut state, Kind::EndBatch("b1".into()), NOW_MS);
    apply(&mut state, Kind::PutBatch(batch("b2", &["x", "y", "w"], 4)), NOW_MS);
    apply(&mut state, record("b2", vec![result("w", "other", &[4])]), NOW_MS);
    apply(&mut state, Kind::RetireStore("store-1".into()), NOW_MS);
    let mut restored = restore(&encoded(&state)).unwrap();
    assert_eq!(listed(&restored, "b1", 0), ["x"]);
    assert_eq!(listed(&restored, "b2", 0), ["x", "w"]);
    assert!(restored.retired().contains("store-1"));
    assert_eq!(restored.models()["m"].named, 4);
    assert!(restored.batch("b1").unwrap().ended);
    assert_eq!(restored.batch("b2").unwrap().items["y"].progress.as_ref().unwrap().events, ["one"]);
    apply(&mut restored, Kind::PutBatch(batch("b3", &["x", "w"], 4)), NOW_MS);
    assert_eq!(listed(&restored, "b3", 0), ["x", "w"], "known results are found after a restore");
    assert!(restore(&Bytes::from_static(b"\xff\xff")).is_err());
}

/// A random command on a few batches and items, so that commands often refer to the same ones.
fn random_command(rng: &mut StdRng) -> Kind {
    const ITEMS: [&str; 4] = ["w", "x", "y", "z"];
    let id = format!("b{}", rng.random_range(0..6));
    let item = ITEMS[rng.random_range(0..ITEMS.len())];
    let version = rng.random_range(1..4);
    match rng.random_range(0..10) {
        0..3 => Kind::PutBatch(batch(&id, &ITEMS[rng.random_range(0..3)..], version)),
        3..6 => record(&id, vec![result(item, &format!("text {version}"), &[version])]),
        6 => progress(&id, item, rng.random_range(0..3), &["one", "two"], &[version]),
        7 => Kind::PublishVersion(inner::ModelVersion { model: "m".into(), version }),
        8 => Kind::PutDocument(inner::Document { version, ..Default::default() }),
        _ => Kind::EndBatch(id),
    }
}

/// Guards against stores that list an item at different positions because one of them was restored from a snapshot and
/// the other one was not.
#[test]
fn a_restored_state_goes_on_like_the_original() {
    for seed in 0..300 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut original, mut restored) = (State::default(), State::default());
        let mut now_ms = NOW_MS;
        for step in 0..60 {
            let kind = random_command(&mut rng);
            now_ms += rng.random_range(0..20_000);
            let codes = (
                apply(&mut original, kind.clone(), now_ms),
                apply(&mut restored, kind.clone(), now_ms),
            );
            assert_eq!(codes.0, codes.1, "seed {seed}, step {step}, {kind:?}");
            let snapshots = (encoded(&original), encoded(&restored));
            assert!(snapshots.0 == snapshots.1, "seed {seed}, step {step}, {kind:?}");
            if rng.random_bool(0.2) {
                restored = restore(&snapshots.1).unwrap();
            }
        }
    }
}

fn usage(sequence: u64, window: u64, count: u64) -> Kind {
    let counts = vec![inner::UsageCount { window, tenant: "alpha".into(), count }];
    let part = inner::UsagePart { gateway: "g-1".into(), boot: 7, sequence, counts };
    Kind::RecordUsage(inner::RecordUsage { parts: vec![part] })
}

fn document_with_tenants(version: u64) -> Kind {
    let content = format!(
        r#"{{"version": {version}, "tenants": [{{"name": "alpha", "api_keys": ["a-key"]}}], "routes": [], "services": []}}"#
    );
    Kind::PutDocument(inner::Document { version, content: content.into() })
}

/// Guards against counts that are lost or doubled by a snapshot, and windows whose counts change after they were closed.
#[test]
fn usage_counts_once_across_snapshots_and_is_fixed_once_closed() {
    let mut state = State::new(Texts::default()).with_usage_window(5000);
    apply(&mut state, document_with_tenants(1), NOW_MS);
    assert_eq!(state.windows().next, 200, "windows begin with the first document with tenants");
    apply(&mut state, document_with_tenants(2), NOW_MS + 10_000);
    assert_eq!(state.windows().next, 200);
    let count = |state: &State, window: u64| state.windows().closed[&window].get("alpha").copied();
    apply(&mut state, usage(1, 200, 3), NOW_MS);
    apply(&mut state, usage(2, 201, 1), NOW_MS);
    let mut state = restore(&encoded(&state)).unwrap().with_usage_window(5000);
    apply(&mut state, usage(1, 200, 3), NOW_MS);
    apply(&mut state, usage(3, 200, 4), NOW_MS);
    assert_eq!(apply(&mut state, Kind::CloseUsageWindow(200), NOW_MS), ResultCode::Ok);
    assert_eq!(count(&state, 200), Some(7));
    let mut state = restore(&encoded(&state)).unwrap().with_usage_window(5000);
    apply(&mut state, usage(4, 200, 5), NOW_MS);
    assert_eq!(apply(&mut state, Kind::CloseUsageWindow(200), NOW_MS), ResultCode::Conflict);
    assert_eq!(count(&state, 200), Some(7));
    apply(&mut state, Kind::UsageReported(200), NOW_MS);
    apply(&mut state, Kind::CloseUsageWindow(201), NOW_MS);
    assert_eq!(state.windows().closed.len(), 1);
    assert_eq!(count(&state, 201), Some(1));
    assert_eq!(restore(&encoded(&state)).unwrap().windows(), state.windows());
}
