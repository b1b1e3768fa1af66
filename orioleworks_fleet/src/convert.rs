//! Conversion of upstreams and of their crashes between the inner protocol and the routing types.

use std::{rc::Rc, time::Duration};

use orioleworks_proto::inner;
use orioleworks_routing::{
    crashes::{Observation, Report, SuspectRun},
    fleet::{Known, Left, Served, Upstream},
    helpers::Helper,
    permits::Permit,
    rates,
    streams::Origin,
};

/// Message for a known upstream.
pub fn to_message(known: &Known, now: Duration) -> inner::Upstream {
    let up = &known.upstream;
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
        software: up.software.to_string(),
        slots: up.slots,
        leaving: up.leaving,
        cold_ms: millis(up.cold),
        models: models.collect(),
        age_ms: millis(now.saturating_sub(known.last_seen)),
    }
}

/// Message for a silent upstream.
pub fn to_silent_message(known: &Known) -> inner::SilentUpstream {
    let up = &known.upstream;
    inner::SilentUpstream { upstream: up.id.to_string(), incarnation: up.incarnation }
}

/// Message for a gateway, with the time since its last sign.
pub fn to_gateway_message(
    name: &str,
    helper: Option<&Helper>,
    age: Duration,
) -> inner::GatewaySign {
    inner::GatewaySign {
        name: name.to_owned(),
        age_ms: millis(age),
        relay_address: helper.map_or_else(String::new, |helper| helper.address.to_string()),
        domain: helper.map_or_else(String::new, |helper| helper.domain.to_string()),
    }
}

/// Where the gateway of a message takes requests of others; `None` if it does not.
pub fn from_gateway_message(sign: inner::GatewaySign) -> Option<Helper> {
    let inner::GatewaySign { name, relay_address, domain, .. } = sign;
    let helper = Helper { name: name.into(), address: relay_address.into(), domain: domain.into() };
    (!helper.address.is_empty()).then_some(helper)
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
        software: message.software.into(),
        slots: message.slots,
        leaving: message.leaving,
        cold: Duration::from_millis(message.cold_ms.into()),
        models: models.collect(),
    };
    (up, last_seen)
}

/// Message for what is known of a content.
pub fn to_crash_message(report: &Report, now: Duration) -> inner::ContentCrashes {
    let age = |at: Duration| millis(now.saturating_sub(at));
    let crashes = report.crashes.iter().map(|((upstream, observation), at)| inner::UpstreamCrash {
        upstream: upstream.0.to_string(),
        incarnation: upstream.1,
        age_ms: age(*at),
        observation: match observation {
            Observation::Silence => inner::CrashObservation::Silence,
            Observation::BrokenMidway => inner::CrashObservation::BrokenMidway,
            Observation::BrokenAtStart => inner::CrashObservation::BrokenAtStart,
            Observation::Refused => inner::CrashObservation::Refused,
        }
        .into(),
    });
    inner::ContentCrashes {
        fingerprint: report.fingerprint.to_string(),
        crashes: crashes.collect(),
        completed_age_ms: report.completed_at.map(age),
        run: report.run.map(|run| inner::SuspectRun {
            age_ms: age(run.at),
            remaining_ms: millis(run.until.saturating_sub(now)),
        }),
    }
}

/// What a message tells of a content. An observation that this version does not know counts as silence.
pub fn from_crash_message(message: inner::ContentCrashes, now: Duration) -> Report {
    let time = |age_ms: u32| now.saturating_sub(Duration::from_millis(age_ms.into()));
    let crashes = message.crashes.into_iter().map(|crash| {
        let observation = match crash.observation() {
            inner::CrashObservation::Silence => Observation::Silence,
            inner::CrashObservation::BrokenMidway => Observation::BrokenMidway,
            inner::CrashObservation::BrokenAtStart => Observation::BrokenAtStart,
            inner::CrashObservation::Refused => Observation::Refused,
        };
        let upstream = (Rc::from(crash.upstream), crash.incarnation);
        ((upstream, observation), time(crash.age_ms))
    });
    Report {
        fingerprint: message.fingerprint.into(),
        crashes: crashes.collect(),
        completed_at: message.completed_age_ms.map(time),
        run: message.run.map(|run| SuspectRun {
            at: time(run.age_ms),
            until: now + Duration::from_millis(run.remaining_ms.into()),
        }),
    }
}

/// Message for the limit of an upstream.
pub fn to_limit_message(report: &rates::Report, now: Duration) -> inner::NamedRate {
    let (id, incarnation) = &report.upstream;
    inner::NamedRate {
        upstream: id.to_string(),
        incarnation: *incarnation,
        per_second: report.per_second,
        age_ms: millis(now.saturating_sub(report.since)),
    }
}

/// Limit of a message.
pub fn from_limit_message(message: inner::NamedRate, now: Duration) -> rates::Report {
    rates::Report {
        upstream: (message.upstream.into(), message.incarnation),
        per_second: message.per_second,
        since: now.saturating_sub(Duration::from_millis(message.age_ms.into())),
    }
}

/// Message for an upstream that leaves.
pub fn to_leaving_message(left: &Left, now: Duration) -> inner::LeavingUpstream {
    let (id, incarnation) = &left.upstream;
    inner::LeavingUpstream {
        upstream: id.to_string(),
        incarnation: *incarnation,
        age_ms: millis(now.saturating_sub(left.since)),
    }
}

/// Upstream of a message that leaves.
pub fn from_leaving_message(message: inner::LeavingUpstream, now: Duration) -> Left {
    Left {
        upstream: (message.upstream.into(), message.incarnation),
        since: now.saturating_sub(Duration::from_millis(message.age_ms.into())),
    }
}

/// Message for a software version.
pub fn to_served_message(served: &Served, now: Duration) -> inner::ServedSoftware {
    inner::ServedSoftware {
        service: served.service.to_string(),
        software: served.software.to_string(),
        age_ms: millis(now.saturating_sub(served.last_seen)),
    }
}

/// Software version of a message.
pub fn from_served_message(message: inner::ServedSoftware, now: Duration) -> Served {
    Served {
        service: message.service.into(),
        software: message.software.into(),
        last_seen: now.saturating_sub(Duration::from_millis(message.age_ms.into())),
    }
}

/// Message for what began the stream of an attempt.
pub fn to_stream_message(attempt: &str, origin: &Origin) -> inner::BegunStream {
    inner::BegunStream {
        attempt: attempt.to_owned(),
        service: origin.service.to_string(),
        software: origin.software.to_string(),
    }
}

/// What began the stream of a message.
pub fn from_stream_message(begun: &inner::BegunStream) -> Origin {
    Origin { service: (&*begun.service).into(), software: (&*begun.software).into() }
}

/// Permit of a reply with [`ResultCode::Ok`](orioleworks_proto::codes::ResultCode::Ok).
pub fn from_permit_reply(reply: &inner::AcquirePermitReply) -> Permit {
    let wait = Duration::from_millis(reply.wait_ms.into());
    if reply.granted { Permit::After(wait) } else { Permit::Denied(wait) }
}

/// Time in whole milliseconds, for messages.
pub fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
