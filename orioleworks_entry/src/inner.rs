//! Answers of this entry to other entries.
//!
//! See `docs/design.md`, section 3.

use orioleworks_proto::inner::{self, frame::Body};

use crate::configuration::Configuration;

/// Answers `FetchConfig`; an entry without a configuration says so with an empty reply.
pub fn fetch_config(configuration: &Configuration) -> Body {
    let config = configuration.is_ready().then(|| configuration.to_message());
    Body::FetchConfigReply(inner::FetchConfigReply { config })
}
