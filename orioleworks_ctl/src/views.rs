//! Listings of control's state, as tables and as JSON.

use orioleworks_proto::inner;
use serde::Serialize;
use serde_json::{Value, json};

use crate::{profile::ProfileView, table};

/// One listing in both formats.
#[derive(Debug)]
pub struct Listing {
    /// Plain table.
    pub table: String,
    /// JSON array of objects.
    pub json: Value,
}

/// Kinds of objects that can be listed.
pub const KINDS: &str =
    "profiles, upstreams, live, versions, entries, runs, leases, members, quarantine";

fn listing<T: Serialize>(headings: &[&str], objects: impl IntoIterator<Item = T>) -> Listing {
    let objects: Vec<Value> = objects.into_iter().map(|object| json!(object)).collect();
    let cell = |object: &Value, key: &str| match &object[key] {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        other => other.to_string(),
    };
    let rows: Vec<Vec<String>> = objects
        .iter()
        .map(|object| headings.iter().map(|key| cell(object, key)).collect())
        .collect();
    Listing { table: table::render(headings, &rows), json: Value::Array(objects) }
}

/// Listing of upstreams as entries know them.
pub fn live_upstreams(rows: Vec<Value>) -> Listing {
    let keys = [
        "name",
        "domain",
        "kind",
        "state",
        "incarnation",
        "address",
        "model",
        "weight_version",
        "pending_version",
        "checks_fencing",
        "running",
        "queued",
        "entry",
    ];
    listing(&keys, rows)
}

/// Listing of one kind, or `None` for an unknown kind.
pub fn list(what: &str, status: &inner::StatusReply) -> Option<Listing> {
    let config = status.config.clone().unwrap_or_default();
    Some(match what {
        "profiles" => {
            let keys = [
                "name",
                "revision",
                "upstream_kind",
                "class",
                "idempotent",
                "engine",
                "deadline_ms",
                "max_staleness",
                "objective",
                "share",
                "judge_kind",
                "second_attempt_permille",
            ];
            listing(&keys, config.profiles.iter().map(ProfileView::from))
        }
        "upstreams" => listing(
            &["name", "order", "revision"],
            config
                .stopped_upstreams
                .iter()
                .map(|u| json!({"name": u.name, "order": "stop", "revision": u.revision})),
        ),
        "versions" => listing(
            &["model", "version"],
            config.versions.iter().map(|v| json!({"model": v.model, "version": v.version})),
        ),
        "entries" => entries(status, config.revision),
        "runs" => listing(
            &["run", "owner", "owner_address", "epoch"],
            status.runs.iter().map(|r| {
                json!({"run": r.run, "owner": r.owner, "owner_address": r.owner_address,
                    "epoch": r.epoch})
            }),
        ),
        "leases" => listing(
            &["domain", "entry", "epoch", "renewed_ms"],
            status.order_leases.iter().map(|l| {
                json!({"domain": l.domain, "entry": l.entry, "epoch": l.epoch,
                    "renewed_ms": l.renewed_ms})
            }),
        ),
        "members" => members(status),
        "quarantine" => listing(
            &["fingerprint", "profile", "until_ms", "reason"],
            config.quarantined.iter().map(|q| {
                json!({"fingerprint": q.fingerprint, "profile": q.profile,
                    "until_ms": q.until_ms, "reason": q.reason})
            }),
        ),
        _ => return None,
    })
}

fn entries(status: &inner::StatusReply, revision: u64) -> Listing {
    let entry = |e: &inner::EntryStatus| {
        let id = e.entry.clone().unwrap_or_default();
        json!({"entry": id.name, "domain": id.domain, "http_address": id.http_address,
            "revision": e.applied_revision, "behind": revision.saturating_sub(e.applied_revision),
            "last_seen_ms": e.last_seen_ms})
    };
    let keys = ["entry", "domain", "http_address", "revision", "behind", "last_seen_ms"];
    listing(&keys, status.entries.iter().map(entry))
}

fn members(status: &inner::StatusReply) -> Listing {
    let membership = status.membership.clone().unwrap_or_default();
    let member = |m: &inner::Member| {
        let role = if m.learner { "learner" } else { "voter" };
        let leader = m.address == status.leader_address;
        // A member ID has 64 bits; many JSON parsers do not keep such a number exactly.
        json!({"member_id": format!("{:016x}", m.member_id), "name": m.name, "domain": m.domain,
            "address": m.address, "role": role, "leader": leader})
    };
    let keys = ["member_id", "name", "domain", "address", "role", "leader"];
    listing(&keys, membership.members.iter().map(member))
}

/// Status of one control replica, or the reason why there is none.
pub fn replica(address: &str, status: Result<&inner::StatusReply, String>) -> Value {
    match status {
        Ok(s) => {
            json!({"address": address, "state": if s.is_leader { "leader" } else { "follower" },
            "leader_address": s.leader_address, "term": s.term, "commit_index": s.commit_index,
            "last_index": s.last_index,
            "revision": s.config.as_ref().map_or(0, |config| config.revision)})
        }
        Err(reason) => json!({"address": address, "state": reason}),
    }
}

/// Status of all replicas.
pub fn replicas(rows: Vec<Value>) -> Listing {
    let keys =
        ["address", "state", "leader_address", "term", "commit_index", "last_index", "revision"];
    listing(&keys, rows)
}
