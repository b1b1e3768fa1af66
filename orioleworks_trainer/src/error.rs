//! Errors of the trainer client.

use displaydoc::Display;
use orioleworks_proto::codes::ResultCode;

/// Why a request of the trainer has no result.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum TrainerError {
    /// no entry address is known
    NoEntry,
    /// the entry gave no answer: {0}
    NoResponse(String),
    /// the entry refused with code {code} ({message})
    Refused {
        /// Number of the result code.
        code: u32,
        /// Human-readable message.
        message: String,
        /// Time after which a retry may succeed, 0 when the entry sent none.
        retry_after_ms: u32,
        /// HTTP address of the run's owner, for `not_owner`.
        owner: Option<String>,
    },
    /// the trainer could not persist its state: {0}
    Persist(String),
    /// no entry confirmed the request in time: {0}
    Timeout(String),
}

impl std::error::Error for TrainerError {}

impl TrainerError {
    /// Result code of a refusal.
    pub fn code(&self) -> Option<ResultCode> {
        match self {
            Self::Refused { code, .. } => ResultCode::from_number(*code),
            _ => None,
        }
    }

    /// Whether a retry cannot change the result.
    pub fn is_final(&self) -> bool {
        match self {
            Self::NoEntry | Self::Persist(_) => true,
            Self::NoResponse(_) | Self::Timeout(_) => false,
            Self::Refused { .. } => matches!(
                self.code(),
                Some(
                    ResultCode::BadRequest
                        | ResultCode::BodyTooLarge
                        | ResultCode::UnknownPath
                        | ResultCode::MethodNotAllowed
                        | ResultCode::InvalidOrder
                        | ResultCode::Conflict
                )
            ),
        }
    }
}
