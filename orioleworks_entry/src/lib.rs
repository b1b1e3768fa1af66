//! Entry daemon: routes the traffic between callers, trainers and the upstreams of a failure domain.
//!
//! See `docs/design.md`, sections 5 to 12. The daemon is also a library, so that other programs can embed it.

pub mod announce;
pub mod app;
pub mod attempt;
pub mod calls;
pub mod claims;
pub mod cli;
pub mod config;
pub mod configuration;
pub mod crash_detection;
pub mod delivery;
pub mod dispatch;
pub mod dispatcher;
pub mod forward;
pub mod members;
pub mod orders;
pub mod peers;
pub mod persist;
pub mod placement;
pub mod policies;
pub mod responses;
pub mod restart;
pub mod rollout;
pub mod router;
pub mod runs;
pub mod runs_dispatch;
pub mod runs_hedge;
pub mod runs_judge;
pub mod runs_messages;
pub mod runs_spread;
pub mod runs_step;
pub mod signal;
pub mod slots;
pub mod stream;
pub mod suspects;
pub mod telemetry;
pub mod upstreams;
pub mod watch;
pub mod weights;
pub mod weights_engine;
pub mod weights_http;
pub mod weights_lease;
pub mod weights_publish;
