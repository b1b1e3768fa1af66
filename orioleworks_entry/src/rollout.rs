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
    app::{Entry, Extended},
    forward,
    peers::{self, Peers},
    runs::{Own, Runs},
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
    entry.set_http_extension(Rc::new(move |req| answer_http(&owner, &runs, req)));
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
            let answer = server.handle(body).await;
            drop(guard);
            answer
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
    let foreign = suspects.clone();
    let peers = Peers::new(domain, known, move |messages| suspects.absorb(&messages));
    peers.set_on_foreign_suspects(move |messages| foreign.absorb_foreign(&messages));
    let own = entry.clone();
    let digest = move || inner::Digest {
        entry: Some(own.identity.clone()),
        revision: own.configuration.revision(),
        kinds: own.dispatcher.loads(),
        suspects: own.suspects.to_messages(),
        unchanged: false,
    };
    peers.start(Rc::new(digest), token);
    let pushing = peers.clone();
    entry.suspects.set_on_change(move || pushing.push());
    let forwards = peers.clone();
    entry.dispatcher.set_forward(move |job| {
        let peers = forwards.clone();
        Box::pin(async move { forward::forward(&peers, job).await })
    });
    peers
}

fn start_runs(entry: &Rc<Entry>, peers: &Peers, token: &CancellationToken) -> Runs {
    let own = Own {
        name: entry.identity.name.as_str().into(),
        incarnation: entry.identity.incarnation,
        http_address: entry.identity.http_address.as_str().into(),
    };
    let spread = Spread::new(entry.dispatcher.clone(), peers.clone());
    let (dispatcher, placed) = (entry.dispatcher.clone(), spread.clone());
    let run: runs_dispatch::Run = if entry.cfg.routing.local_samples {
        Rc::new(move |job| {
            let dispatcher = dispatcher.clone();
            Box::pin(async move { dispatcher.run(job).await })
        })
    } else {
        runtime::spawn(spread.clone().poll(token.clone())).detach();
        Rc::new(runs_spread::run(spread))
    };
    let running_on = Rc::new(move |request_id: &str| placed.running_on(request_id));
    let deps = runs_dispatch::Deps { run, running_on };
    let control = entry.control.clone();
    let configuration = entry.configuration.clone();
    let runs = Runs::new(own, control, configuration, deps, entry.shutdown.clone());
    let expiring = runs.clone();
    runtime::spawn(crate::orders::until(token.clone(), async move { expiring.expire().await }))
        .detach();
    // A draining entry keeps running until the trainers have reopened the open steps at other entries.
    let (draining, idle) = (entry.shutdown.drain.clone(), runs.clone());
    let open_steps = entry.open_steps.clone();
    runtime::spawn(async move {
        draining.cancelled().await;
        let _guard = open_steps.enter();
        idle.idle().await;
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
enum Path {
    Open(String),
    Fetch(String),
    Publish(String),
}

fn parse(path: &str) -> Option<Path> {
    let parts: Vec<&str> = path.strip_prefix("/v1/")?.split('/').collect();
    match parts[..] {
        ["runs", run, "steps"] if !run.is_empty() => Some(Path::Open(run.into())),
        ["runs", run, "batches"] if !run.is_empty() => Some(Path::Fetch(run.into())),
        ["models", model, "versions"] if !model.is_empty() => Some(Path::Publish(model.into())),
        _ => None,
    }
}

fn answer_http(entry: &Rc<Entry>, runs: &Runs, req: Request) -> Extended {
    let Some(path) = parse(req.uri().path()) else { return Err(Box::new(req)) };
    let (entry, runs) = (entry.clone(), runs.clone());
    Ok(Box::pin(answer_trainer(entry, runs, path, req)) as LocalBoxFuture<'static, Response>)
}

async fn answer_trainer(entry: Rc<Entry>, runs: Runs, path: Path, req: Request) -> Response {
    if req.method() != ::http::Method::POST {
        return http::error(ResultCode::MethodNotAllowed, "", 0);
    }
    let body = match http::read_body(req.into_body(), &entry.http_limits()).await {
        Ok(body) => body,
        Err(code) => return http::error(code, "", 0),
    };
    match path {
        Path::Open(run) => runs.handle_open(&run, &body).await,
        Path::Fetch(run) => runs.handle_fetch(&run, &body).await,
        Path::Publish(model) => weights_publish::handle(&entry.control, &model, &body).await,
    }
}
