//! Start, wiring and graceful shutdown of the control daemon.

use std::{net::SocketAddr, time::Duration};

use compio::runtime::{self, Runtime};
use futures_util::{FutureExt, select};
use metrics_exporter_prometheus::PrometheusHandle;
use orioleworks_daemon::{event, http, logging, metrics, rpc, shutdown::Shutdown};
use orioleworks_proto::codes::{ResultCode, exit};
use orioleworks_settings as settings;
use tokio_util::sync::CancellationToken;

use crate::{cli, config, service::Service, telemetry};

/// Longest graceful shutdown; a transfer of leadership takes up to 1 s of it.
const SHUTDOWN_DEADLINE: Duration = Duration::from_secs(5);
/// Time allowed to finish writing replies before the process exits.
const REPLY_GRACE: Duration = Duration::from_millis(50);

/// Runs the daemon and returns its exit code.
pub fn run(options: &cli::Options) -> i32 {
    if options.version {
        println!("orioleworks-control {}", env!("CARGO_PKG_VERSION"));
        return exit::OK;
    }
    let Some(path) = &options.config else {
        eprintln!("option --config is required; see --help");
        return exit::SETTINGS;
    };
    let cfg: config::Config = match settings::load(path) {
        Ok(cfg) => cfg,
        Err(e) => {
            eprintln!("{e}");
            return exit::SETTINGS;
        }
    };
    if options.check {
        println!("{}: settings are valid", path.display());
        return exit::OK;
    }
    logging::start(&cfg.log.filter);
    logging::abort_on_panic();
    #[cfg(feature = "failpoints")]
    let _scenario = start_fail_points();
    match Runtime::new() {
        Ok(runtime) => runtime.block_on(serve(cfg)),
        Err(e) => {
            eprintln!("the runtime cannot be started: {e}");
            exit::FAILED
        }
    }
}

/// Reads the fail points of the environment and of the file in which a test enables more of them later.
#[cfg(feature = "failpoints")]
fn start_fail_points() -> fail::FailScenario<'static> {
    let scenario = fail::FailScenario::setup();
    orioleworks_daemon::failpoints::watch_file();
    scenario
}

async fn serve(cfg: config::Config) -> i32 {
    let handle = metrics::install();
    let token = CancellationToken::new();
    let service = match Service::open(cfg.log_settings(), token.clone()) {
        Ok(service) => service,
        Err(e) => {
            event!(error, "data_refused", reason = e);
            eprintln!("{e}");
            return exit::DATA;
        }
    };
    let (inner_listener, http_listener) = match (
        bind("listen.inner", cfg.listen.inner).await,
        bind("listen.http", cfg.listen.http).await,
    ) {
        (Some(inner), Some(http)) => (inner, http),
        _ => return exit::LISTEN,
    };
    let member_id = format!("{:016x}", service.log().status().member_id);
    event!(info, "control_started", name = cfg.instance.name, member_id = member_id);
    let shutdown = Shutdown::default();
    shutdown.watch_signals(SHUTDOWN_DEADLINE);
    let rpc_service = service.clone();
    let handler = move |body| {
        let service = rpc_service.clone();
        async move { service.handle(body).await }
    };
    runtime::spawn(rpc::serve(inner_listener, token.clone(), handler)).detach();
    let platform = platform_handler(service.clone(), handle, shutdown.clone());
    let http = http::serve(http_listener, http::Limits::default(), shutdown.clone(), platform);
    runtime::spawn(http).detach();
    telemetry::start(&service);
    service.log().start();
    wait(&service, &shutdown).await
}

async fn wait(service: &Service, shutdown: &Shutdown) -> i32 {
    let mut drained = std::pin::pin!(shutdown.drain.cancelled().fuse());
    let mut failed = std::pin::pin!(service.log().stopped().fuse());
    select! {
        () = drained => {
            let mut transferred = std::pin::pin!(service.log().transfer_leadership().fuse());
            let mut stop = std::pin::pin!(shutdown.stop.cancelled().fuse());
            select! { () = transferred => (), () = stop => () }
            compio::time::sleep(REPLY_GRACE).await;
            event!(info, "control_stopped");
            exit::OK
        }
        () = failed => {
            if let Some(reason) = service.log().failure() {
                eprintln!("{reason}");
            }
            exit::DATA
        }
    }
}

async fn bind(key: &str, address: SocketAddr) -> Option<compio::net::TcpListener> {
    match http::bind(&address.to_string()).await {
        Ok(listener) => Some(listener),
        Err(e) => {
            eprintln!("{key}: cannot listen on {address}: {e}");
            None
        }
    }
}

fn platform_handler(
    service: Service,
    handle: PrometheusHandle,
    shutdown: Shutdown,
) -> impl Fn(http::Request) -> std::future::Ready<http::Response> + Clone + 'static {
    move |req| {
        let ready = if shutdown.draining() {
            Err("shutting down")
        } else if service.log().is_current() {
            Ok(())
        } else {
            Err("no leader is known, or the log is not caught up")
        };
        let response = http::platform_endpoint(&req, ready, || handle.render());
        std::future::ready(
            response.unwrap_or_else(|| http::error(ResultCode::UnknownPath, req.uri().path(), 0)),
        )
    }
}
