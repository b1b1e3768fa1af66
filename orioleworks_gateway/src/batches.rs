//! Forwards batches and calls on batches to the leading store, which is responsible for accepted batches.

use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use orioleworks_daemon::{event, http as server, memory::NoRoom};
use orioleworks_fleet::{
    stores::{self, CallOutcome},
    texts,
};
use orioleworks_platform::batch::{self, BatchCall};
use orioleworks_proto::{
    codes::ResultCode,
    frames,
    inner::{self, command::Kind, frame::Body},
};
use orioleworks_routing::{
    routes::{Route, RouteTable},
    tenants::Tenant,
};
use tokio_util::sync::CancellationToken;

use crate::{
    callers::{self, Refusal, RequestContext},
    view::View,
};

/// Time for which a submission is retried at the stores; covers an election.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(3000);
/// Time beyond the caller's own wait for which the gateway searches for the leader.
const LEADER_SEARCH_SLACK: Duration = Duration::from_millis(1200);
/// Time beyond the caller's own wait in which the leader's reply must arrive.
const REPLY_SLACK: Duration = Duration::from_millis(700);
/// Retry advice when there is no leader; most elections are over by then.
const NO_LEADER_RETRY: Duration = Duration::from_millis(500);
/// Retry advice while a store waits for its update; a restart of a store takes about as long.
const UPDATE_RETRY: Duration = Duration::from_millis(1000);
/// Retry advice when a store has no memory for another batch; items of a few seconds are done by then.
const MEMORY_SHORT_RETRY: Duration = Duration::from_millis(2000);
/// Retry advice when a reward call has no route; a route document reaches all gateways within this time.
const NO_ROUTE_RETRY: Duration = Duration::from_millis(500);
/// Largest size of the texts in one reply, in bytes; the platform accepts 1 MB for the complete reply.
const MAX_RESULT_BYTES: u32 = 900_000;

/// Submits a batch.
///
/// # Errors
///
/// Returns an error if the batch is malformed, if a reward call has no route, if no store accepted it, or if its acceptance
/// was not confirmed in time.
pub async fn submit(
    view: &View,
    table: &RouteTable,
    route: &Route,
    host: &str,
    context: &RequestContext,
    body: &[u8],
) -> Result<server::Response, Refusal> {
    let service = route.pick(&mut rand::rng()).cloned().unwrap_or_default();
    let mut decoded = batch::decode(&context.id, host, route, &service, body)
        .map_err(|e| Refusal::new(ResultCode::BadRequest, e.to_string(), Duration::ZERO))?;
    // The connection to the store would end, and the outcome would be unknown.
    if !frames::fits(&decoded) {
        return Err(Refusal::new(ResultCode::BodyTooLarge, "the batch", Duration::ZERO));
    }
    check_reward_calls(table, &decoded.items)?;
    if table.tenants.is_some() {
        batch::set_owner(&mut decoded, context.tenant.as_deref());
    }
    decoded.status_retention_ms = view.cfg.batches.status_retention_s.saturating_mul(1000);
    let (items, step, model) = (decoded.items.len(), decoded.step, decoded.model.clone());
    let time_left =
        context.deadline_within(SUBMIT_TIMEOUT).saturating_duration_since(Instant::now());
    let scored = decoded.items.iter().any(|item| item.reward_call.is_some());
    let owned = !decoded.tenant.is_empty();
    let command = match (owned, scored) {
        (true, _) => Kind::PutOwnedBatch(decoded),
        (false, true) => Kind::PutScoredBatch(decoded),
        (false, false) => Kind::PutBatch(decoded),
    };
    let outcome = view.stores.propose(command, time_left).await;
    successful_reply(outcome, "the batch").map_err(|refusal| match refusal.code {
        // A store of an earlier version does not know the command.
        ResultCode::InvalidOrder if scored || owned => {
            Refusal::new(ResultCode::UpdatePending, "the batch", UPDATE_RETRY)
        }
        ResultCode::UpdatePending => Refusal { retry_after: UPDATE_RETRY, ..refusal },
        _ => refusal,
    })?;
    event!(
        info,
        "batch_accepted",
        request = context.id,
        route = route.name,
        items = items,
        model = model,
        step = step,
        ms = context.arrived.elapsed().as_millis(),
    );
    Ok(server::full_response(202, "application/json", Bytes::from_static(b"{}")))
}

/// Refuses items whose reward calls no route serves. The route may be newer than this gateway's routes, so the refusal is not
/// final.
fn check_reward_calls(table: &RouteTable, items: &[inner::BatchItem]) -> Result<(), Refusal> {
    let calls = items.iter().filter_map(|item| Some((item, item.reward_call.as_ref()?)));
    for (item, call) in calls {
        if table.find(&call.host, &call.path).is_none() {
            let (id, host, path) = (&item.id, &call.host, &call.path);
            let detail = format!("item {id}: {host}{path} in version {}", table.version);
            return Err(Refusal::new(ResultCode::RewardCallUnroutable, detail, NO_ROUTE_RETRY));
        }
    }
    Ok(())
}

/// Tenant that asks for a batch; `None` if batches have no owners. A call without a key sees batches without an owner only.
pub fn asker(table: &RouteTable, tenant: Option<&Tenant>) -> Option<String> {
    table.tenants.as_ref()?;
    Some(tenant.map_or_else(String::new, |tenant| tenant.name.to_string()))
}

/// Handles a call of a tenant on a batch.
///
/// # Errors
///
/// Returns an error if the batch or item does not exist, or if no store replied in time.
pub async fn call(
    view: &View,
    call: BatchCall,
    tenant: Option<String>,
) -> Result<server::Response, Refusal> {
    match call {
        BatchCall::Read { id, after, wait } => read(view, &id, tenant, after, wait).await,
        BatchCall::ReadItem { id, item } => {
            let message = || {
                let (batch_id, item_id, tenant) = (id.clone(), item.clone(), tenant.clone());
                Body::ReadItem(inner::ReadItem { batch_id, item_id, tenant })
            };
            let outcome = view.stores.call_leader(message, LEADER_SEARCH_SLACK, REPLY_SLACK).await;
            match read_reply(outcome, &item)? {
                Body::ReadItemReply(reply) => {
                    Ok(server::full_response(200, "application/octet-stream", reply.body))
                }
                _ => Err(no_leader(&item)),
            }
        }
        BatchCall::End { id } => {
            let owned = tenant.is_some();
            let command = match tenant {
                Some(tenant) => Kind::EndOwnedBatch(inner::OwnedBatch { id: id.clone(), tenant }),
                None => Kind::EndBatch(id.clone()),
            };
            let outcome = view.stores.propose(command, SUBMIT_TIMEOUT).await;
            successful_reply(outcome, &id).map_err(|refusal| match refusal.code {
                ResultCode::InvalidOrder if owned => {
                    Refusal::new(ResultCode::UpdatePending, &*id, UPDATE_RETRY)
                }
                _ => refusal,
            })?;
            event!(info, "batch_ended", request = id);
            Ok(server::full_response(200, "application/json", Bytes::from_static(b"{}")))
        }
    }
}

async fn read(
    view: &View,
    id: &str,
    tenant: Option<String>,
    after: u64,
    wait: Duration,
) -> Result<server::Response, Refusal> {
    let deadline = Instant::now() + wait;
    // Reserved before the call, because replies that arrive at the same time are not charged otherwise.
    let share = view.memory.open(CancellationToken::new());
    share.keep();
    share.grow(MAX_RESULT_BYTES as usize).await.map_err(|NoRoom| {
        let code = ResultCode::BodyMemoryShort;
        Refusal::new(code, "", callers::retry_of(code))
    })?;
    let message = || {
        let left = deadline.saturating_duration_since(Instant::now());
        let wait_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
        let max_bytes = MAX_RESULT_BYTES;
        let (id, tenant) = (id.to_owned(), tenant.clone());
        Body::ReadBatch(inner::ReadBatch { id, after, wait_ms, max_bytes, tenant })
    };
    let outcome =
        view.stores.call_leader(message, wait + LEADER_SEARCH_SLACK, wait + REPLY_SLACK).await;
    match read_reply(outcome, id)? {
        Body::ReadBatchReply(mut reply) => {
            for result in &mut reply.results {
                texts::unpack(result).map_err(|e| unreadable_result(id, &result.id, &e))?;
            }
            let results = batch::encode_results(&reply);
            let mut response = server::full_response(200, "application/json", results);
            // Released with the head, right before the body is charged.
            response.extensions_mut().insert(Arc::new(share));
            Ok(response)
        }
        _ => Err(no_leader(id)),
    }
}

/// Refuses a stored result that cannot be unpacked; another version of the program must have packed it.
fn unreadable_result(batch: &str, item: &str, reason: &io::Error) -> Refusal {
    event!(error, "text_unreadable", batch = batch, item = item, reason = reason);
    Refusal::new(ResultCode::NoQuorum, "a result cannot be read", NO_LEADER_RETRY)
}

fn no_leader(what: &str) -> Refusal {
    let detail = format!("no store leads; nothing was done for {what}");
    Refusal::new(ResultCode::NoQuorum, detail, NO_LEADER_RETRY)
}

/// The leader's reply to a read. A read changes nothing, so that one without a reply is refused like one without a leader.
fn read_reply(outcome: CallOutcome, what: &str) -> Result<Body, Refusal> {
    match outcome {
        CallOutcome::Unconfirmed => Err(no_leader(what)),
        CallOutcome::Replied(_) | CallOutcome::NoLeader => successful_reply(outcome, what),
    }
}

/// The leader's reply, if the call succeeded.
fn successful_reply(outcome: CallOutcome, what: &str) -> Result<Body, Refusal> {
    match outcome {
        CallOutcome::Replied(body) => match stores::result_code(&body) {
            ResultCode::Ok => Ok(*body),
            ResultCode::MemoryShort => {
                Err(Refusal::new(ResultCode::MemoryShort, what, MEMORY_SHORT_RETRY))
            }
            code => Err(Refusal::new(code, what, Duration::ZERO)),
        },
        CallOutcome::NoLeader => Err(no_leader(what)),
        // A store may still accept it, so it must not be reported as refused.
        CallOutcome::Unconfirmed => {
            let detail = format!("no store confirmed {what} in time");
            Err(Refusal::new(ResultCode::OrderUnconfirmed, detail, NO_LEADER_RETRY))
        }
    }
}
