//! Numbered result codes, shared by every process and tabulated in `docs/result-codes.md`.

use displaydoc::Display;

/// Result of a request or an order; the display text is the message that goes to the requester.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[repr(u32)]
pub enum ResultCode {
    /// done
    Ok = 0,
    /// the request is malformed
    BadRequest = 1001,
    /// the body is larger than the limit
    BodyTooLarge = 1002,
    /// no profile of this name is in force
    UnknownProfile = 1003,
    /// the method is not allowed on this path
    MethodNotAllowed = 1004,
    /// a non-idempotent profile requires an idempotency key
    KeyMissing = 1005,
    /// the idempotency key is older than the retention, so a repeat cannot be told from a new request
    KeyExpired = 1006,
    /// the idempotency key was used for a request with another profile or content
    KeyReused = 1007,
    /// no such path
    UnknownPath = 1008,
    /// the request was not received in time
    RequestTimeout = 1009,
    /// the request has no key of a tenant
    ApiKeyUnknown = 1010,
    /// no live upstream of the required kind
    NoUpstream = 2001,
    /// the queue is full
    Overloaded = 2002,
    /// claims cannot be replicated now, so a non-idempotent request cannot run
    ClaimsUnavailable = 2003,
    /// the instance is shutting down
    ShuttingDown = 2004,
    /// the instance has no configuration yet
    NotReady = 2005,
    /// the upstream refused the request without running it
    RefusedByUpstream = 2006,
    /// the request is quarantined because it crashed upstreams
    Quarantined = 2007,
    /// the deadline passed before the request was sent to an upstream
    DeadlineBeforeDispatch = 2008,
    /// the upstreams name limits that leave no room for the request in time
    RateLimited = 2009,
    /// nothing is known of what began the stream, so that nothing can go on with it
    StreamUnknown = 2010,
    /// the leading store has no memory for another batch now
    MemoryShort = 2011,
    /// no route serves a reward call of the batch
    RewardCallUnroutable = 2012,
    /// a store does not understand the batch until it is updated
    UpdatePending = 2013,
    /// the instance cannot tell which keys are valid now
    ApiKeysUnconfirmed = 2014,
    /// the instance has no memory for the request now
    BodyMemoryShort = 2015,
    /// the outcome of the request is unknown; it may have run
    OutcomeUnknown = 3001,
    /// the deadline passed after the request was sent; it may have run
    DeadlineExceeded = 3002,
    /// the same request is still in progress
    InProgress = 3003,
    /// every attempt failed; the request may have run
    AttemptsExhausted = 3004,
    /// another entry owns the run
    NotOwner = 4001,
    /// the epoch is not the current epoch of the run
    StaleEpoch = 4002,
    /// the step is not open at this entry
    UnknownStep = 4003,
    /// the cursor is neither the current one nor the previous one
    BadCursor = 4004,
    /// the object has another revision than the order expected
    Conflict = 5001,
    /// this replica is not the leader
    NotLeader = 5002,
    /// no quorum of control replicas is reachable
    NoQuorum = 5003,
    /// no object of this name exists
    UnknownObject = 5004,
    /// the order is invalid
    InvalidOrder = 5005,
    /// another membership change is in progress
    MembershipBusy = 5006,
    /// the order was not confirmed in time; resend it with the same order ID
    OrderUnconfirmed = 5007,
    /// another holder has the lease
    LeaseHeld = 5008,
}

/// Codes in the order of the documentation table.
pub const ALL: &[ResultCode] = &[
    ResultCode::Ok,
    ResultCode::BadRequest,
    ResultCode::BodyTooLarge,
    ResultCode::UnknownProfile,
    ResultCode::MethodNotAllowed,
    ResultCode::KeyMissing,
    ResultCode::KeyExpired,
    ResultCode::KeyReused,
    ResultCode::UnknownPath,
    ResultCode::RequestTimeout,
    ResultCode::ApiKeyUnknown,
    ResultCode::NoUpstream,
    ResultCode::Overloaded,
    ResultCode::ClaimsUnavailable,
    ResultCode::ShuttingDown,
    ResultCode::NotReady,
    ResultCode::RefusedByUpstream,
    ResultCode::Quarantined,
    ResultCode::DeadlineBeforeDispatch,
    ResultCode::RateLimited,
    ResultCode::StreamUnknown,
    ResultCode::MemoryShort,
    ResultCode::RewardCallUnroutable,
    ResultCode::UpdatePending,
    ResultCode::ApiKeysUnconfirmed,
    ResultCode::BodyMemoryShort,
    ResultCode::OutcomeUnknown,
    ResultCode::DeadlineExceeded,
    ResultCode::InProgress,
    ResultCode::AttemptsExhausted,
    ResultCode::NotOwner,
    ResultCode::StaleEpoch,
    ResultCode::UnknownStep,
    ResultCode::BadCursor,
    ResultCode::Conflict,
    ResultCode::NotLeader,
    ResultCode::NoQuorum,
    ResultCode::UnknownObject,
    ResultCode::InvalidOrder,
    ResultCode::MembershipBusy,
    ResultCode::OrderUnconfirmed,
    ResultCode::LeaseHeld,
];

impl ResultCode {
    /// Number on the wire and in logs.
    pub fn number(self) -> u32 {
        self as u32
    }

    /// Code of a number from the wire, if this version knows it.
    pub fn from_number(number: u32) -> Option<Self> {
        ALL.iter().copied().find(|code| code.number() == number)
    }

    /// Code of a stable name, if this version knows it.
    pub fn from_name(name: &str) -> Option<Self> {
        ALL.iter().copied().find(|code| code.name() == name)
    }

    /// Stable name in JSON responses, metrics and logs.
    pub fn name(self) -> String {
        let mut name = String::new();
        for (i, c) in format!("{self:?}").chars().enumerate() {
            if c.is_ascii_uppercase() && i > 0 {
                name.push('_');
            }
            name.push(c.to_ascii_lowercase());
        }
        name
    }

    /// Whether the code guarantees that the request did not run on any upstream.
    pub fn not_run(self) -> bool {
        matches!(self.number(), 1000..=2999)
    }

    /// HTTP status that carries the code to callers and trainers.
    pub fn http_status(self) -> u16 {
        match self {
            Self::Ok => 200,
            Self::BadRequest | Self::KeyMissing | Self::InvalidOrder => 400,
            Self::ApiKeyUnknown => 401,
            Self::UnknownProfile | Self::UnknownPath | Self::UnknownObject => 404,
            Self::MethodNotAllowed => 405,
            Self::RequestTimeout => 408,
            Self::KeyReused | Self::InProgress | Self::Conflict | Self::StaleEpoch => 409,
            Self::BadCursor | Self::UnknownStep | Self::LeaseHeld => 409,
            Self::KeyExpired => 410,
            Self::BodyTooLarge => 413,
            Self::NotOwner | Self::NotLeader => 421,
            Self::Quarantined => 422,
            Self::Overloaded => 429,
            Self::OutcomeUnknown | Self::AttemptsExhausted => 502,
            Self::NoUpstream | Self::ClaimsUnavailable | Self::ShuttingDown => 503,
            Self::NotReady | Self::RefusedByUpstream | Self::NoQuorum => 503,
            Self::MembershipBusy | Self::RateLimited | Self::StreamUnknown => 503,
            Self::MemoryShort | Self::RewardCallUnroutable | Self::UpdatePending => 503,
            Self::ApiKeysUnconfirmed | Self::BodyMemoryShort => 503,
            Self::DeadlineBeforeDispatch | Self::DeadlineExceeded | Self::OrderUnconfirmed => 504,
        }
    }
}

/// Exit codes of the programs; see `docs/result-codes.md`.
pub mod exit {
    /// Everything asked for was done.
    pub const OK: i32 = 0;
    /// The command failed; the message says why.
    pub const FAILED: i32 = 1;
    /// The settings file was refused.
    pub const SETTINGS: i32 = 10;
    /// An address could not be bound.
    pub const LISTEN: i32 = 11;
    /// The data directory is damaged or cannot be used.
    pub const DATA: i32 = 12;
    /// An order was refused; the output names the result code.
    pub const REFUSED: i32 = 13;
    /// An order was accepted but is not yet in force on every live entry.
    pub const NOT_IN_FORCE: i32 = 14;
}
