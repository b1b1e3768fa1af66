//! Start, wiring and graceful shutdown of the gateway daemon.

use std::{
    path::PathBuf,
    time::{Duration, Instant},
};

use compio::runtime;
use futures_util::{FutureExt, select};
use orioleworks_daemon::{
    event, http, metrics, reload,
    shutdown::{ANSWER_TIME, Shutdown},
    start::{self, StartOptions},
};
use orioleworks_platform::caller::READINESS_PATH;
use orioleworks_proto::codes::exit;
use tokio_util::sync::CancellationToken;

use crate::{
    callers, cli,
    config::Config,
    path, relay, reports, usage,
    view::{Stop, View},
    watch,
};

/// Time for which new connections are accepted after the signal. The platform checks readiness once a second and sends
/// new callers until the second failed check.
const ACCEPT_TIME: Duration = Duration::from_millis(3000);
/// Longest graceful shutdown; less than the eight seconds after which the platform kills the process.
const SHUTDOWN_DEADLINE: Duration = Duration::from_millis(7300);
/// Timeout for the head of a request, also on an idle connection; callers reuse connections that have been idle for up
/// to four fifths of 15 s.
const HEAD_TIMEOUT: Duration = Duration::from_secs(20);
/// Open connections of the platform's checks and of metrics; when none is free, the one that has been idle for longest is closed.
const READINESS_CONNECTIONS: usize = 32;

/// Runs the daemon and returns its exit code.
pub fn run(options: &cli::Options) -> i32 {
    let start = StartOptions {
        program: "orioleworks-gateway",
        config: options.config.clone(),
        check: options.check,
        version: options.version,
    };
    start::run(start, |cfg: &Config| &cfg.log.filter, serve)
}

async fn serve(cfg: Config, path: PathBuf) -> i32 {
    let handle = metrics::install();
    let token = CancellationToken::new();
    let signals = Shutdown::default();
    signals.watch_signals(SHUTDOWN_DEADLINE);
    let listeners = (
        http::bind(&cfg.listen.callers.to_string()).await,
        http::bind(&cfg.listen.readiness.to_string()).await,
    );
    let (callers_listener, readiness_listener) = match listeners {
        (Ok(callers), Ok(readiness)) => (callers, readiness),
        (Err(e), _) | (_, Err(e)) => {
            eprintln!("listen: {e}");
            return exit::LISTEN;
        }
    };
    let relay_listener = match cfg.listen.relay {
        Some(address) => match http::bind(&address.to_string()).await {
            Ok(listener) => Some(listener),
            Err(e) => {
                eprintln!("listen: {e}");
                return exit::LISTEN;
            }
        },
        None => None,
    };
    event!(info, "gateway_started", name = cfg.instance.name, domain = cfg.instance.failure_domain);
    let view = View::new(cfg);
    runtime::spawn(watch::follow(view.clone(), token.clone())).detach();
    runtime::spawn(reports::run(view.clone(), token.clone())).detach();
    runtime::spawn(usage::run(view.clone(), token.clone())).detach();
    runtime::spawn(path::run(view.clone(), token.clone())).detach();
    if let Some(listener) = relay_listener {
        runtime::spawn(relay::serve(view.clone(), listener)).detach();
    }
    let reload_view = view.clone();
    reload::watch(path, token.clone(), move |cfg: Config| {
        reload_view.stores.set_seeds(cfg.seed_addresses());
    });
    let readiness_view = view.clone();
    let readiness = move |req: http::Request| {
        let ready = readiness_view.readiness();
        let status = if ready.is_ok() { 200 } else { 503 };
        let text = ready.err().unwrap_or("ready");
        let response = match req.uri().path() {
            READINESS_PATH => http::full_response(status, "text/plain", text),
            _ => http::platform_endpoint(&req, ready, || handle.render())
                .unwrap_or_else(|| http::full_response(404, "text/plain", "no such path")),
        };
        std::future::ready(response)
    };
    let limits = http::Limits { head_timeout: HEAD_TIMEOUT, ..http::Limits::default() };
    let readiness_shutdown = Shutdown::default();
    let readiness_limits = http::Limits { connections: READINESS_CONNECTIONS, ..limits };
    let serving = http::serve(readiness_listener, readiness_limits, readiness_shutdown, readiness);
    runtime::spawn(serving).detach();
    let callers_limits = http::Limits {
        connections: view.cfg.limits.connections(),
        buffer_bytes: http::Limits::SMALL_BUFFER_BYTES,
        ..limits
    };
    let callers_view = view.clone();
    let handler = move |req| callers::handle(callers_view.clone(), req);
    let callers_shutdown = Shutdown { answer: signals.answer.clone(), ..Shutdown::default() };
    let budget = view.memory.clone();
    let serving = http::serve_within(
        callers_listener,
        callers_limits,
        budget,
        callers_shutdown.clone(),
        handler,
    );
    let mut serving = std::pin::pin!(serving.fuse());
    let mut draining = std::pin::pin!(drain(&view, &signals, &callers_shutdown).fuse());
    select! { () = serving => (), () = draining => () }
    token.cancel();
    usage::finish(&view).await;
    event!(info, "gateway_stopped");
    exit::OK
}

/// Shuts down in steps after the signal; returns only at the shutdown deadline.
async fn drain(view: &View, signals: &Shutdown, callers: &Shutdown) {
    signals.drain.cancelled().await;
    let now = Instant::now();
    let answers_until = now + SHUTDOWN_DEADLINE.saturating_sub(ANSWER_TIME);
    view.start_drain(Stop { accepts_until: now + ACCEPT_TIME, answers_until });
    compio::time::sleep(ACCEPT_TIME).await;
    callers.drain.cancel();
    signals.stop.cancelled().await;
}
