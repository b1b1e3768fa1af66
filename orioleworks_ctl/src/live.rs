//! Upstreams as the entries of each failure domain know them.

use std::time::Duration;

use compio::time;
use indexmap::IndexMap;
use orioleworks_proto::inner;
use serde_json::{Value, json};

use crate::views::{self, Listing};

/// Longest wait for the response of one entry.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Lists the upstreams of each domain in which an entry responds, and returns the domains in which none does.
pub async fn list(status: &inner::StatusReply) -> (Listing, Vec<String>) {
    let mut domains: IndexMap<&str, Vec<&inner::EntryIdentity>> = IndexMap::new();
    for entry in status.entries.iter().filter_map(|e| e.entry.as_ref()) {
        domains.entry(&entry.domain).or_default().push(entry);
    }
    let (mut rows, mut unanswered) = (Vec::new(), Vec::new());
    for (domain, entries) in domains {
        match first_response(&entries).await {
            Some((entry, upstreams)) => rows.extend(upstreams.into_iter().map(|mut upstream| {
                upstream["domain"] = json!(domain);
                upstream["entry"] = json!(entry);
                upstream
            })),
            None => unanswered.push(domain.to_owned()),
        }
    }
    (views::live_upstreams(rows), unanswered)
}

async fn first_response<'a>(entries: &[&'a inner::EntryIdentity]) -> Option<(&'a str, Vec<Value>)> {
    for entry in entries {
        let url = format!("http://{}/v1/upstreams", entry.http_address);
        if let Ok(Ok(upstreams)) = time::timeout(FETCH_TIMEOUT, fetch(&url)).await {
            return Some((&entry.name, upstreams));
        }
    }
    None
}

async fn fetch(url: &str) -> cyper::Result<Vec<Value>> {
    cyper::Client::new()?.get(url)?.send().await?.json().await
}
