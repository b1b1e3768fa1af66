//! Routes HTTP requests to their handlers by path.
//!
//! See `docs/design.md`, section 11.

use std::rc::Rc;

use orioleworks_daemon::{
    event,
    http::{self, Request, Response},
};
use orioleworks_proto::codes::ResultCode;

use crate::{announce, app::Entry, calls, upstreams};

/// Longest request ID in bytes that is accepted from a caller; a longer one is replaced.
const MAX_REQUEST_ID: usize = 128;

/// Handles one request.
pub async fn handle(entry: Rc<Entry>, req: Request) -> Response {
    let request_id = request_id(&req);
    if let Some(response) = http::platform_endpoint(&req, entry.readiness(), || entry.render()) {
        return response;
    }
    let req = match entry.extend_http(req) {
        Ok(response) => return with_request_id(response.await, &request_id),
        Err(req) => req,
    };
    let response = route(&entry, *req, &request_id).await;
    with_request_id(response, &request_id)
}

async fn route(entry: &Rc<Entry>, req: Request, request_id: &Rc<str>) -> Response {
    let (head, body) = req.into_parts();
    let path = head.uri.path();
    if path == "/v1/upstreams" && head.method == ::http::Method::GET {
        return upstreams::handle(&entry.members);
    }
    let profile = path.strip_prefix("/v1/call/").filter(|p| !p.is_empty() && !p.contains('/'));
    if profile.is_none() && path != "/v1/announce" {
        return refuse(ResultCode::UnknownPath, path, request_id);
    }
    if head.method != ::http::Method::POST {
        let mut response = refuse(ResultCode::MethodNotAllowed, path, request_id);
        calls::set_header(&mut response, "allow", "POST");
        return response;
    }
    let body = match http::read_body_within(body, &entry.http_limits(), &entry.memory).await {
        Ok(body) => body,
        Err(ResultCode::BodyMemoryShort) => return http::memory_short(),
        Err(code) => return refuse(code, path, request_id),
    };
    let Some(profile) = profile else {
        return announce::handle(&body, &entry.configuration, &entry.members, &entry.slots);
    };
    let header = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
    let call = calls::Head {
        request_id: request_id.clone(),
        deadline_ms: header("x-deadline-ms").map(Into::into),
        idempotency_key: header("idempotency-key").map(Into::into),
        content_type: header("content-type").unwrap_or("application/octet-stream").into(),
    };
    calls::handle(entry, profile, call, body).await
}

fn refuse(code: ResultCode, path: &str, request_id: &str) -> Response {
    event!(
        info,
        "request_refused",
        request_id = request_id,
        path = path,
        code = code.number(),
        name = code.name()
    );
    http::error(code, "", 0)
}

fn with_request_id(mut response: Response, request_id: &str) -> Response {
    calls::set_header(&mut response, "x-request-id", request_id);
    response
}

fn request_id(req: &Request) -> Rc<str> {
    let given = req.headers().get("x-request-id").and_then(|v| v.to_str().ok());
    match given.filter(|id| !id.is_empty() && id.len() <= MAX_REQUEST_ID) {
        Some(id) => id.into(),
        None => format!("{:016x}", rand::random::<u64>()).into(),
    }
}
