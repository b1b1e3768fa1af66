//! Publishes a weight version for a trainer; see `docs/design.md`, section 14.

use std::time::Duration;

use bytes::Bytes;
use orioleworks_daemon::{control::ControlClient, http};
use orioleworks_proto::{codes::ResultCode, inner};
use serde::{Deserialize, Serialize};

/// Longest wait for control to confirm a version.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Delay in milliseconds after which a trainer may repeat an order that got no result.
const RETRY_AFTER_MS: u32 = 500;
/// Maximum length of the name of a model and of an order ID, in bytes.
const MAX_NAME_BYTES: usize = 128;

#[derive(Deserialize)]
struct Publish {
    version: u64,
    order_id: String,
}

#[derive(Serialize)]
struct Published {
    revision: u64,
}

/// Handles `POST /v1/models/{model}/versions`; a repeat with the same order ID gets the result of the first request.
pub async fn handle(control: &ControlClient, model: &str, body: &Bytes) -> http::Response {
    let req: Publish = match serde_json::from_slice(body) {
        Ok(req) => req,
        Err(e) => return http::error(ResultCode::BadRequest, &e.to_string(), 0),
    };
    let is_name = |s: &str| (1..=MAX_NAME_BYTES).contains(&s.len()) && s.is_ascii();
    if !is_name(model) || !is_name(&req.order_id) || req.version == 0 {
        let detail = format!(
            "model and order_id have 1 to {MAX_NAME_BYTES} ASCII bytes, version is at least 1"
        );
        return http::error(ResultCode::BadRequest, &detail, 0);
    }
    let version = inner::ModelVersion { model: model.into(), version: req.version };
    let kind = Some(inner::command::Kind::PublishVersion(version));
    let command = inner::Command { expected_revision: None, kind };
    match control.propose(req.order_id, command, TIMEOUT).await {
        Ok(reply) => match ResultCode::from_number(reply.code) {
            Some(ResultCode::Ok) => http::json(200, &Published { revision: reply.revision }),
            code => http::error(code.unwrap_or(ResultCode::InvalidOrder), &reply.message, 0),
        },
        Err(e) => http::error(e.code(), &e.to_string(), RETRY_AFTER_MS),
    }
}
