//! Handler of `GET /v1/upstreams`: lists the upstreams of the failure domain for operators.

use orioleworks_daemon::http;
use serde::Serialize;

use crate::members::{Member, Members};

#[derive(Serialize)]
struct Upstream<'a> {
    name: &'a str,
    incarnation: u64,
    kind: &'a str,
    model: &'a str,
    address: &'a str,
    state: &'a str,
    weight_version: u64,
    pending_version: u64,
    checks_fencing: bool,
    running: u32,
    queued: u32,
}

/// Handles `GET /v1/upstreams`.
pub fn handle(members: &Members) -> http::Response {
    members.read(|members| {
        let state = |member: &Member| match () {
            () if member.is_lost() => "lost",
            () if members.is_stopped(&member.last.name) => "stopped",
            () if member.leaving => "leaving",
            () => "live",
        };
        let upstreams: Vec<Upstream<'_>> = members
            .all()
            .map(|member| Upstream {
                name: &member.last.name,
                incarnation: member.last.incarnation,
                kind: &member.last.kind,
                model: &member.last.model,
                address: &member.last.address,
                state: state(member),
                weight_version: member.last.weight_version,
                pending_version: member.last.pending_version,
                checks_fencing: member.last.checks_fencing,
                running: member.last.running,
                queued: member.last.queued,
            })
            .collect();
        http::json(200, &upstreams)
    })
}
