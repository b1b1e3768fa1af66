//! What the stores replied to a call for the leader that none took; see `docs/OPERATIONS.md`.

use std::time::{Duration, Instant};

use futures_util::{StreamExt, stream::FuturesUnordered};
use indexmap::{IndexMap, IndexSet};
use orioleworks_daemon::{
    event,
    rpc::{self, RpcError},
};
use orioleworks_proto::{
    codes::ResultCode,
    inner::{self, frame::Body},
};

/// Shortest time between two reports of one process.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Shortest search that is reported; an election ends shorter ones.
pub const REPORTED_SEARCH: Duration = Duration::from_secs(1);
/// Longest wait for the status of a store.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);

/// Replies of the stores to one call, over all passes.
#[derive(Debug)]
pub struct LeaderSearch {
    started: Instant,
    /// Times that all stores were asked in turn.
    pub passes: u32,
    stores: IndexSet<String>,
    named: IndexSet<String>,
    codes: IndexMap<ResultCode, u32>,
    errors: IndexMap<&'static str, u32>,
}

impl Default for LeaderSearch {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            passes: 0,
            stores: IndexSet::new(),
            named: IndexSet::new(),
            codes: IndexMap::new(),
            errors: IndexMap::new(),
        }
    }
}

impl LeaderSearch {
    /// Counts a result code of a store, which may name the leader.
    pub fn add_reply(&mut self, store: &str, code: ResultCode, leader: Option<&str>) {
        if let Some(leader) = leader.filter(|leader| !leader.is_empty()) {
            self.named.insert(leader.to_owned());
        }
        self.add_store(store);
        *self.codes.entry(code).or_default() += 1;
    }

    /// Counts a call without a reply.
    pub fn add_error(&mut self, store: &str, e: &RpcError) {
        let name = match e {
            RpcError::Unreachable(_) => "unreachable",
            RpcError::ConnectionLost => "connection_lost",
            RpcError::Timeout => "timeout",
            RpcError::Unexpected => "unexpected",
        };
        self.add_store(store);
        *self.errors.entry(name).or_default() += 1;
    }

    fn add_store(&mut self, store: &str) {
        if !self.stores.contains(store) {
            self.stores.insert(store.to_owned());
        }
    }

    /// Logs the replies, and the state of each store as it reports it now.
    pub async fn report(self, clients: impl IntoIterator<Item = (String, rpc::Client)>) {
        let ms = self.started.elapsed().as_millis();
        let ask = async |(address, client): (String, rpc::Client)| {
            let status = Body::Status(inner::Status { current: false });
            let reply = client.call(status, STATUS_TIMEOUT).await;
            describe(&address, reply)
        };
        let replies: FuturesUnordered<_> = clients.into_iter().map(ask).collect();
        let mut statuses: Vec<String> = replies.collect().await;
        statuses.sort();
        let codes = self.codes.iter().map(|(code, count)| format!("{}:{count}", code.name()));
        let errors = self.errors.iter().map(|(name, count)| format!("{name}:{count}"));
        let replies: Vec<String> = codes.chain(errors).collect();
        let named: Vec<&str> = self.named.iter().map(String::as_str).collect();
        event!(
            warn,
            "leader_not_found",
            ms = ms,
            passes = self.passes,
            stores = self.stores.len(),
            replies = replies.join(","),
            named = named.join(","),
            statuses = statuses.join(","),
        );
    }
}

/// Status of a store for a log line: who leads and for how long nobody has, and the latest votes that the store asked for.
fn describe(address: &str, reply: Result<Body, RpcError>) -> String {
    let status = match reply {
        Ok(Body::StatusReply(status)) => status,
        Ok(_) => return format!("{address}/unexpected"),
        Err(e) => return format!("{address}/{}", e.to_string().replace([' ', ','], "_")),
    };
    let members = status.membership.map(|m| m.members).unwrap_or_default();
    let voters = members.iter().filter(|m| !m.learner).count();
    let votes = members.iter().any(|m| !m.learner && m.member_id == status.member_id);
    let leader = match (status.is_leader, status.leader_address.as_str()) {
        (true, _) => "self",
        (false, "") => "none",
        (false, leader) => leader,
    };
    let (name, term, last) = (&status.name, status.term, status.last_index);
    let leaderless_ms = status.leaderless_ms;
    let text = format!(
        "{name}/term:{term}/last:{last}/voter:{votes}/voters:{voters}/leader:{leader}/leaderless_ms:{leaderless_ms}"
    );
    let Some(round) = status.vote_round else { return text };
    let kind = if round.pre_vote { "pre_vote" } else { "vote" };
    let (granted, refused) = (round.granted.len(), round.refused.len());
    let (silent, sync_ms) = (round.silent.len(), round.vote_sync_ms);
    format!("{text}/{kind}:{granted}+{refused}-{silent}/vote_sync_ms:{sync_ms}")
}
