//! Orders to control and their results.

use std::time::Duration;

use orioleworks_daemon::control::ControlClient;
use orioleworks_proto::{
    codes::{ResultCode, exit},
    inner,
};
use serde::Serialize;

/// Result of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct OrderResult {
    /// Order ID; an order that is resent with the same ID is carried out only once.
    pub order_id: String,
    /// Number of the result code.
    pub code: u32,
    /// Name of the result code.
    pub name: String,
    /// What happened.
    pub message: String,
    /// Configuration revision of an accepted order; on a conflict, the revision that the object has.
    pub revision: u64,
}

impl OrderResult {
    fn new(order_id: String, code: ResultCode, message: String, revision: u64) -> Self {
        let message = if message.is_empty() { code.to_string() } else { message };
        Self { order_id, code: code.number(), name: code.name(), message, revision }
    }

    /// Whether the order was carried out.
    pub fn is_accepted(&self) -> bool {
        self.code == ResultCode::Ok.number()
    }

    /// Exit code of the result.
    pub fn exit_code(&self) -> i32 {
        match ResultCode::from_number(self.code) {
            Some(ResultCode::Ok) => exit::OK,
            // Control did not refuse these orders: the order was not sent, or its outcome is unknown.
            Some(ResultCode::NoQuorum | ResultCode::OrderUnconfirmed) => exit::FAILED,
            _ => exit::REFUSED,
        }
    }

    /// Result as text for operators.
    pub fn text(&self) -> String {
        let revision = match ResultCode::from_number(self.code) {
            Some(ResultCode::Ok) => format!("\nrevision {}", self.revision),
            Some(ResultCode::Conflict) => format!("\nwinner's revision {}", self.revision),
            _ => String::new(),
        };
        format!(
            "order {}\n{} {}: {}{revision}\n",
            self.order_id, self.code, self.name, self.message
        )
    }
}

/// New order ID.
pub fn new_order_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

/// Sends an order; a resend must use the ID of the first attempt.
pub async fn send(
    control: &ControlClient,
    order_id: String,
    command: inner::Command,
    timeout: Duration,
) -> OrderResult {
    match control.propose(order_id.clone(), command, timeout).await {
        Ok(reply) => match ResultCode::from_number(reply.code) {
            Some(code) => OrderResult::new(order_id, code, reply.message, reply.revision),
            None => OrderResult {
                order_id,
                code: reply.code,
                name: "unknown".to_owned(),
                message: reply.message,
                revision: reply.revision,
            },
        },
        Err(e) => OrderResult::new(order_id, e.code(), e.to_string(), 0),
    }
}
