//! HTTP interface for operators, trainers and upstreams.

use std::time::Duration;

use bytes::Bytes;
use orioleworks_daemon::{event, http, memory::Budget};
use orioleworks_platform::{
    DecodeError,
    control::{self, ControlCall},
};
use orioleworks_proto::{codes::ResultCode, inner::command::Kind};

use crate::service::Store;

/// Longest time to process a call; its sender tries another store after a second.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Bounds of the HTTP server.
pub fn limits() -> http::Limits {
    /// Largest route document that the operator may send.
    const BODY_BYTES: usize = 32 * 1024 * 1024;
    http::Limits {
        body_bytes: BODY_BYTES,
        buffer_bytes: http::Limits::SMALL_BUFFER_BYTES,
        ..http::Limits::default()
    }
}

/// Responds to one call.
pub async fn respond(store: Store, memory: Budget, req: http::Request) -> http::Response {
    let (head, body) = req.into_parts();
    let body = match http::read_body_within(body, &limits(), &memory).await {
        Ok(body) => body,
        Err(ResultCode::BodyMemoryShort) => return http::memory_short(),
        Err(code) => return http::error(code, "", 0),
    };
    match control::decode(&head.method, head.uri.path(), &body) {
        Ok(call) => execute(&store, call).await,
        Err(DecodeError::UnknownCall) => http::error(ResultCode::UnknownPath, head.uri.path(), 0),
        Err(e) => {
            event!(info, "call_refused", path = head.uri.path(), reason = e);
            http::error(ResultCode::BadRequest, &e.to_string(), 0)
        }
    }
}

async fn execute(store: &Store, call: ControlCall) -> http::Response {
    match call {
        ControlCall::Announce(up) => {
            let leaves = up.leaving.then(|| (up.id.clone(), up.incarnation));
            store.announce(up);
            match leaves {
                Some((id, incarnation)) => acknowledge_leaving(store, &id, incarnation).await,
                None => done(),
            }
        }
        ControlCall::Leave { id, incarnation } => {
            if store.leave(&id, incarnation) {
                acknowledge_leaving(store, &id, incarnation).await
            } else {
                outcome(ResultCode::NotReady)
            }
        }
        ControlCall::PutDocument(document) => {
            let version = document.version;
            let code = store.propose(Kind::PutDocument(document), CALL_TIMEOUT).await;
            event!(info, "document_put", version = version, outcome = code.name());
            outcome(code)
        }
        ControlCall::ReadDocument => match store.read_document(CALL_TIMEOUT).await {
            Ok(document) if document.version > 0 => {
                http::full_response(200, "application/json", document.content)
            }
            Ok(_) => http::error(ResultCode::NotReady, "no route document was put yet", 0),
            Err(code) => outcome(code),
        },
        ControlCall::BeginRetirement(name) => {
            let code = store.propose(Kind::RetireStore(name.clone()), CALL_TIMEOUT).await;
            event!(info, "retirement_begun", store = name, outcome = code.name());
            outcome(code)
        }
        ControlCall::ReadRetirement(name) => match store.retirement(&name) {
            Some(complete) => http::json(200, &control::retirement(complete)),
            // A store that is behind may not have applied the retirement yet.
            None if !store.log().is_current() => outcome(ResultCode::NoQuorum),
            None => outcome(ResultCode::UnknownObject),
        },
        ControlCall::PublishVersion(named) => {
            let (model, version) = (named.model.clone(), named.version);
            let code = store.propose(Kind::PublishVersion(named), CALL_TIMEOUT).await;
            event!(info, "version_named", model = model, version = version, outcome = code.name());
            outcome(code)
        }
    }
}

/// The time in which requests may still arrive begins with the acknowledgement.
async fn acknowledge_leaving(store: &Store, id: &str, incarnation: u64) -> http::Response {
    if store.spread_leaving(id, incarnation).await { done() } else { outcome(ResultCode::NoQuorum) }
}

fn done() -> http::Response {
    http::full_response(200, "application/json", Bytes::from_static(b"{}"))
}

fn outcome(code: ResultCode) -> http::Response {
    if code == ResultCode::Ok {
        return done();
    }
    let mut response = http::error(code, "", 0);
    if let Ok(status) = ::http::StatusCode::from_u16(control::status(code)) {
        *response.status_mut() = status;
    }
    response
}
