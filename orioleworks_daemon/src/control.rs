//! Client of the control replicas: finds the leader, resends orders under the same order ID.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::time;
use displaydoc::Display;
use orioleworks_proto::{
    codes::ResultCode,
    inner::{self, frame::Body},
};

use crate::rpc;

/// Longest wait for one replica's reply to an order.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause between two rounds over the replicas.
const ROUND_PAUSE: Duration = Duration::from_millis(50);

/// Why an order has no result.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ControlError {
    /// no control replica could be reached; the order was not sent
    Unreachable,
    /// no quorum confirmed the order in time; it may still be accepted, so resend it with the same order ID
    Unconfirmed,
}

impl std::error::Error for ControlError {}

impl ControlError {
    /// Result code that reports this error to a requester.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Unreachable => ResultCode::NoQuorum,
            Self::Unconfirmed => ResultCode::OrderUnconfirmed,
        }
    }
}

/// Client of all control replicas. Clones share the connections.
#[derive(Clone, Debug)]
pub struct ControlClient {
    replicas: Rc<[rpc::Client]>,
    leader: Rc<Cell<usize>>,
}

impl ControlClient {
    /// Creates a client of the replicas at these addresses; the first one is tried first.
    pub fn new(addresses: impl IntoIterator<Item = impl Into<Rc<str>>>) -> Self {
        let replicas = addresses.into_iter().map(rpc::Client::new).collect();
        Self { replicas, leader: Rc::default() }
    }

    /// Connections to the replicas, in the order of the settings.
    pub fn replicas(&self) -> &[rpc::Client] {
        &self.replicas
    }

    /// Sends an order to the leader until it has a result or the timeout expires.
    ///
    /// Resending is safe: a replica replies to a repeated order ID with the first result.
    ///
    /// # Errors
    ///
    /// Returns whether the order was never sent or may still be accepted.
    pub async fn propose(
        &self,
        order_id: impl Into<String>,
        command: inner::Command,
        timeout: Duration,
    ) -> Result<inner::ProposeReply, ControlError> {
        let propose = inner::Propose { order_id: order_id.into(), command: Some(command) };
        let deadline = Instant::now() + timeout;
        let mut error = ControlError::Unreachable;
        while !self.replicas.is_empty() {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                break;
            }
            let index = self.leader.get();
            let body = Body::Propose(propose.clone());
            match self.replicas[index].call(body, remaining.min(ATTEMPT_TIMEOUT)).await {
                Ok(Body::ProposeReply(reply)) => match ResultCode::from_number(reply.code) {
                    Some(ResultCode::NotLeader) => {
                        self.switch_replica(index, &reply.leader_address).await
                    }
                    Some(ResultCode::NoQuorum | ResultCode::OrderUnconfirmed) => {
                        error = ControlError::Unconfirmed;
                        self.switch_replica(index, "").await;
                    }
                    _ => return Ok(reply),
                },
                Err(rpc::RpcError::Unreachable(_)) => self.switch_replica(index, "").await,
                Ok(_) | Err(_) => {
                    error = ControlError::Unconfirmed;
                    self.switch_replica(index, "").await;
                }
            }
        }
        Err(error)
    }

    /// Switches to the leader at `address`, or to the next replica when the address is not that of another replica.
    async fn switch_replica(&self, index: usize, address: &str) {
        let known = self.replicas.iter().position(|replica| *replica.address() == *address);
        match known.filter(|next| *next != index) {
            Some(next) => self.leader.set(next),
            None => {
                self.leader.set((index + 1) % self.replicas.len());
                time::sleep(ROUND_PAUSE).await;
            }
        }
    }

    /// Requests the status of one replica.
    ///
    /// # Errors
    ///
    /// Returns why the replica sent no status.
    pub async fn status(
        &self,
        replica: usize,
        current: bool,
        timeout: Duration,
    ) -> Result<inner::StatusReply, rpc::RpcError> {
        let body = Body::Status(inner::Status { current });
        match self.replicas[replica].call(body, timeout).await? {
            Body::StatusReply(reply) => Ok(reply),
            _ => Err(rpc::RpcError::Unexpected),
        }
    }
}
