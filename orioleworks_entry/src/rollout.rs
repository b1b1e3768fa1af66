//! Starts the parts of an entry that serve training runs, and connects them: runs, weight orders, peers and forwards.
//!
//! See `docs/design.md`, sections 8 to 11.

use std::rc::Rc;

use compio::runtime;
use futures_util::future::LocalBoxFuture;
use orioleworks_daemon::{
    event,
    http::{self, Request, Response},
};
use orioleworks_proto::{codes::ResultCode, inner};
use tokio_util::sync::CancellationToken;

use crate::{
    app::{Entry, ExtensionResult},
    forward,
    peers::{self, Peers},
    runs::{OwnIdentity, Runs},
    runs_dispatch,
    runs_spread::{self, Spread},
    weights, weights_publish,
};

/// Starts the runs, weight orders and peers of an entry; they stop when the token is cancelled.
pub fn start(entry: &Rc<Entry>, token: &CancellationToken) {
    let peers = start_peers(entry, token);
    let runs = start_runs(entry, &peers, token);
    start_weights(entry, token);
    let owner = entry.clone();
    entry.set_http_extension(Rc::new(move |req| handle_http(&owner, &runs, req)));
    let dispatcher = entry.dispatcher.clone();
    let server = forward::Server {
        peers,
        configuration: entry.configuration.clone(),
        run: Rc::new(move |job| {
            let dispatcher = dispatcher.clone();
            Box::pin(async move { dispatcher.run(job).await })
        }),
    };
    let in_flight = entry.in_flight.clone();
    entry.set_inner_extension(Rc::new(move |body| {
        let (server, guard) = (server.clone(), in_flight.enter());
        Box::pin(async move {
            let response = server.handle(body).await;
            drop(guard);
            response
        })
    }));
}

fn start_peers(entry: &Rc<Entry>, token: &CancellationToken) -> Peers {
    let known = entry.cfg.peers.iter().map(|peer| peers::Peer {
        name: peer.name.as_ref().into(),
        failure_domain: peer.failure_domain.as_ref().into(),
        address: peer.inner.to_string().into(),
    });
    let suspects = entry.suspects.clone();
    let domain = entry.cfg.instance.failure_domain.as_ref();
    let remote_suspects = suspects.clone();
    let peers = Peers::new(domain, known, move |messages| suspects.merge_reports(&messages));
    peers.set_on_remote_suspects(move |messages| remote_suspects.merge_remote_reports(&messages));
    let own = entry.clone();
    let digest = move || inner::Digest {
        entry: Some(own.identity.clone()),
        revision: own.configuration.revision(),
        kinds: own.dispatcher.loads(),
        suspects: own.suspects.to_messages(),
        unchanged: false,
    };
    peers.start(Rc::new(digest), token);
    let pushing_peers = peers.clone();
    entry.suspects.set_on_change(move || pushing_peers.push());
    let forwards = peers.clone();
    entry.dispatcher.set_forward(move |job| {
        let peers = forwards.clone();
        Box::pin(async move { forward::forward(&peers, job).await })
    });
    peers
}

fn start_runs(entry: &Rc<Entry>, peers: &Peers, token: &CancellationToken) -> Runs {
    let own = OwnIdentity {
        name: entry.identity.name.as_str().into(),
        incarnation: entry.identity.incarnation,
        http_address: entry.identity.http_address.as_str().into(),
    };
    let spread = Spread::new(entry.dispatcher.clone(), peers.clone());
    let (dispatcher, placed) = (entry.dispatcher.clone(), spread.clone());
    let run: runs_dispatch::RunJob = if entry.cfg.routing.local_samples {
        Rc::new(move |job| {
            let dispatcher = dispatcher.clone();
            Box::pin(async move { dispatcher.run(job).await })
        })
    } else {
        runtime::spawn(spread.clone().run_placement_loop(token.clone())).detach();
        Rc::new(runs_spread::job_runner(spread))
    };
    let running_on = Rc::new(move |request_id: &str| placed.running_on(request_id));
    let deps = runs_dispatch::Deps { run, running_on };
    let control = entry.control.clone();
    let configuration = entry.configuration.clone();
    let runs = Runs::new(own, control, configuration, deps, entry.shutdown.clone());
    let expiring_runs = runs.clone();
    runtime::spawn(crate::orders::run_until_cancelled(token.clone(), async move {
        expiring_runs.run_expiry_loop().await
    }))
    .detach();
    // A draining entry keeps running until the trainers have reopened the open steps at other entries.
    let (draining, draining_runs) = (entry.shutdown.drain.clone(), runs.clone());
    let open_steps = entry.open_steps.clone();
    runtime::spawn(async move {
        draining.cancelled().await;
        let _guard = open_steps.enter();
        draining_runs.wait_until_idle().await;
    })
    .detach();
    runs
}

fn start_weights(entry: &Rc<Entry>, token: &CancellationToken) {
    let members = entry.members.clone();
    let deps = weights::Deps {
        entry: entry.identity.name.as_str().into(),
        incarnation: entry.identity.incarnation,
        failure_domain: entry.cfg.instance.failure_domain.as_ref().into(),
        control: entry.control.clone(),
        configuration: entry.configuration.clone(),
        max_prefetches: entry.cfg.weights.prefetches,
        engines: Rc::new(move || members.engines()),
    };
    let token = token.clone();
    runtime::spawn(async move {
        if let Err(e) = weights::run(deps, token).await {
            event!(error, "weight_orders_ended", reason = e);
        }
    })
    .detach();
}

/// Parsed path of the trainer's HTTP interface.
enum Endpoint {
    Open(String),
    Fetch(String),
    Publish(String),
}

fn parse_path(path: &str) -> Option<Endpoint> {
    let parts: Vec<&str> = path.strip_prefix("/v1/")?.split('/').collect();
    match parts[..] {
        ["runs", run, "steps"] if !run.is_empty() => Some(Endpoint::Open(run.into())),
        ["runs", run, "batches"] if !run.is_empty() => Some(Endpoint::Fetch(run.into())),
        ["models", model, "versions"] if !model.is_empty() => Some(Endpoint::Publish(model.into())),
        _ => None,
    }
}

fn handle_http(entry: &Rc<Entry>, runs: &Runs, req: Request) -> ExtensionResult {
    let Some(endpoint) = parse_path(req.uri().path()) else { return Err(Box::new(req)) };
    let (entry, runs) = (entry.clone(), runs.clone());
    Ok(Box::pin(handle_trainer_request(entry, runs, endpoint, req))
        as LocalBoxFuture<'static, Response>)
}

async fn handle_trainer_request(
    entry: Rc<Entry>,
    runs: Runs,
    endpoint: Endpoint,
    req: Request,
) -> Response {
    if req.method() != ::http::Method::POST {
        return http::error(ResultCode::MethodNotAllowed, "", 0);
    }
    let limits = entry.http_limits();
    let body = match http::read_body_within(req.into_body(), &limits, &entry.memory).await {
        Ok(body) => body,
        Err(ResultCode::BodyMemoryShort) => return http::memory_short(),
        Err(code) => return http::error(code, "", 0),
    };
    match endpoint {
        Endpoint::Open(run) => runs.handle_open(&run, &body).await,
        Endpoint::Fetch(run) => runs.handle_fetch(&run, &body).await,
        Endpoint::Publish(model) => weights_publish::handle(&entry.control, &model, &body).await,
    }
}
