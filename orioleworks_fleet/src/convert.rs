//! Conversion of upstreams between the inner protocol and the routing types.

use std::{rc::Rc, time::Duration};

use orioleworks_proto::inner;
use orioleworks_routing::fleet::{Known, Upstream};

/// Message for a known upstream.
pub fn to_message(known: &Known, now: Duration) -> inner::Upstream {
    let up = &known.upstream;
    let ms = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
    let models = up.models.iter().map(|(model, version)| inner::ModelVersion {
        model: model.to_string(),
        version: *version,
    });
    inner::Upstream {
        id: up.id.to_string(),
        incarnation: up.incarnation,
        sequence: up.sequence,
        service: up.service.to_string(),
        address: up.address.to_string(),
        domain: up.domain.to_string(),
        slots: up.slots,
        leaving: up.leaving,
        cold_ms: ms(up.cold),
        models: models.collect(),
        age_ms: ms(now.saturating_sub(known.last_seen)),
    }
}

/// Upstream of a message, and the time of its newest announcement.
pub fn from_message(message: inner::Upstream, now: Duration) -> (Upstream, Duration) {
    let last_seen = now.saturating_sub(Duration::from_millis(message.age_ms.into()));
    let models = message.models.into_iter().map(|m| (Rc::from(m.model), m.version));
    let up = Upstream {
        id: message.id.into(),
        incarnation: message.incarnation,
        sequence: message.sequence,
        service: message.service.into(),
        address: message.address.into(),
        domain: message.domain.into(),
        slots: message.slots,
        leaving: message.leaving,
        cold: Duration::from_millis(message.cold_ms.into()),
        models: models.collect(),
    };
    (up, last_seen)
}
