//! Encoded sizes of the messages of the inner protocol, including their frames.

use orioleworks_proto::inner::{self, frame::Body};
use prost::Message;

use crate::{
    capacity_daemons::profile,
    capacity_fakes::{digest, identity},
    capacity_fit::Series,
};

/// Size of the length prefix of each frame.
const LENGTH_BYTES: usize = 4;

fn encoded_size(body: Body) -> f64 {
    let frame = inner::Frame { request_id: 1_000_000, body: Some(body) };
    (frame.encoded_len() + LENGTH_BYTES) as f64
}

fn entry_status(index: usize) -> inner::EntryStatus {
    inner::EntryStatus { entry: Some(identity(index)), applied_revision: 6300, last_seen_ms: 400 }
}

fn versioned(index: usize) -> inner::VersionedProfile {
    inner::VersionedProfile { revision: 6300, profile: Some(profile(index)) }
}

fn append() -> inner::Append {
    inner::Append {
        term: 5,
        leader_id: u64::MAX / 3,
        prev_index: 1_000_000,
        prev_term: 5,
        commit_index: 1_000_000,
        leader_commit: 1_000_000,
        target_id: u64::MAX / 2,
        ..Default::default()
    }
}

/// Size of each kind of message by the number of items that it lists.
pub fn messages() -> Vec<Series> {
    let mut all = Vec::new();
    let mut add_series = |name: &str,
                          per: &str,
                          sizes: [usize; 3],
                          message_of: &dyn Fn(usize) -> Body| {
        let mut series = Series::new(name, per, "B");
        sizes.into_iter().for_each(|size| series.add(size as f64, encoded_size(message_of(size))));
        all.push(series);
    };
    add_series("Append (heartbeat) with sightings", "entry", [0, 10, 390], &|count| {
        Body::Append(inner::Append { seen: (0..count).map(entry_status).collect(), ..append() })
    });
    add_series("AppendReply with sightings", "entry", [0, 10, 390], &|count| {
        let seen = (0..count).map(entry_status).collect();
        let (term, member_id, match_index) = (5, u64::MAX / 2, 1_000_000);
        let success = true;
        Body::AppendReply(inner::AppendReply {
            term,
            member_id,
            success,
            match_index,
            seen,
            ..Default::default()
        })
    });
    add_series("Append with profile changes", "change", [1, 10, 100], &|count| {
        let entry = |index: usize| inner::LogEntry {
            index: 1_000_000,
            term: 5,
            now_ms: 1_790_000_000_000,
            order_id: "0123456789abcdef".into(),
            command: Some(inner::Command {
                expected_revision: Some(6299),
                kind: Some(inner::command::Kind::PutProfile(profile(index))),
            }),
        };
        Body::Append(inner::Append { entries: (0..count).map(entry).collect(), ..append() })
    });
    add_series("Watch", "watch", [1, 2, 3], &|_| {
        Body::Watch(inner::Watch {
            entry: Some(identity(389)),
            applied_revision: 6300,
            wait_ms: 1000,
            entries_hash: Some(u64::MAX / 3),
        })
    });
    add_series("WatchReply with entries", "entry", [0, 56, 390], &|count| {
        let entries = (0..count).map(identity).collect();
        let leader_address = "127.0.0.1:20000".into();
        Body::WatchReply(inner::WatchReply {
            revision: 6300,
            leader_address,
            entries,
            ..Default::default()
        })
    });
    add_series("WatchReply with profile changes", "change", [1, 10, 100], &|count| {
        let change = |index: usize| inner::Change {
            revision: 6300,
            kind: Some(inner::change::Kind::Profile(versioned(index))),
        };
        let changes = (0..count).map(change).collect();
        Body::WatchReply(inner::WatchReply { revision: 6300, changes, ..Default::default() })
    });
    add_series("WatchReply with the whole configuration", "profile", [10, 100, 1000], &|count| {
        let config = inner::Config {
            revision: 6300,
            profiles: (0..count).map(versioned).collect(),
            ..Default::default()
        };
        Body::WatchReply(inner::WatchReply { config: Some(config), ..Default::default() })
    });
    add_series("Digest", "kind", [1, 3, 5], &|count| {
        let mut message = digest(389, 700);
        message.kinds.truncate(count);
        Body::Digest(message)
    });
    add_series("Digest with suspects", "suspect", [0, 10, 100], &|count| {
        let suspect = inner::Suspect {
            fingerprint: "0123456789abcdef".repeat(4),
            profile: "quality-lookup".into(),
            upstream: "sheet-app-0001#1790000000000".into(),
            crashes: 1,
            settled: true,
            dismissed: false,
        };
        Body::Digest(inner::Digest { suspects: vec![suspect; count], ..digest(389, 700) })
    });
    add_series("Digest, unchanged", "digest", [1, 2, 3], &|_| {
        let whole = digest(389, 700);
        let entry = whole.entry.map(|entry| inner::EntryIdentity {
            name: entry.name,
            incarnation: entry.incarnation,
            ..Default::default()
        });
        Body::Digest(inner::Digest { entry, revision: 6300, unchanged: true, ..Default::default() })
    });
    add_series("DigestReply", "reply", [1, 2, 3], &|_| {
        Body::DigestReply(inner::DigestReply { revision: 6300, holds: true })
    });
    add_series("Propose of a claim", "claim", [1, 2, 3], &|_| {
        let claim = inner::Claim {
            key: "1790000000000-0123456789abcdef".into(),
            profile: "gate-slot".into(),
            fingerprint: "0123456789abcdef".repeat(4),
            issued_ms: 1_790_000_000_000,
            entry: "node-389".into(),
            entry_incarnation: 1_790_000_000_000,
            attempt_id: "0123456789abcdef".into(),
            ..Default::default()
        };
        let kind = Some(inner::command::Kind::Claim(claim));
        let command = Some(inner::Command { expected_revision: None, kind });
        Body::Propose(inner::Propose { order_id: "0123456789abcdef".into(), command })
    });
    add_series("Forward by body", "byte", [100, 1000, 10_000], &|count| {
        Body::Forward(inner::Forward {
            attempt_id: "0123456789abcdef".into(),
            profile: "quality-lookup".into(),
            body: vec![0; count],
            content_type: "application/json".into(),
            deadline_ms: 3000,
            ..Default::default()
        })
    });
    all
}
