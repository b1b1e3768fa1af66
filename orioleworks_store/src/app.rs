//! Start, wiring and graceful shutdown of the store daemon.

use std::{path::PathBuf, time::Duration};

use compio::runtime;
use futures_util::{FutureExt, select};
use orioleworks_daemon::{
    event, http, metrics, reload, rpc,
    shutdown::Shutdown,
    start::{self, StartOptions},
};
use orioleworks_proto::codes::exit;
use tokio_util::sync::CancellationToken;

use crate::{cli, config::Config, control, service::Store};

/// Longest graceful shutdown; the transfer of leadership takes up to 1 s of it.
const SHUTDOWN_DEADLINE: Duration = Duration::from_secs(5);
/// Time to finish replies that are being written.
const REPLY_GRACE: Duration = Duration::from_millis(300);

/// Runs the daemon and returns its exit code.
pub fn run(options: &cli::Options) -> i32 {
    let start = StartOptions {
        program: "orioleworks-store",
        config: options.config.clone(),
        check: options.check,
        version: options.version,
    };
    start::run(start, |cfg: &Config| &cfg.log.filter, serve)
}

async fn serve(cfg: Config, path: PathBuf) -> i32 {
    let handle = metrics::install();
    let token = CancellationToken::new();
    let shutdown = Shutdown::default();
    shutdown.watch_signals(SHUTDOWN_DEADLINE);
    let listeners = (
        http::bind(&cfg.inner_bind().to_string()).await,
        http::bind(&cfg.listen.control.to_string()).await,
    );
    let (inner_listener, control_listener) = match listeners {
        (Ok(inner), Ok(control)) => (inner, control),
        (Err(e), _) | (_, Err(e)) => {
            eprintln!("listen: {e}");
            return exit::LISTEN;
        }
    };
    let name = cfg.instance.name.clone();
    let (memory, connections) = (cfg.limits.budget(), cfg.limits.connections());
    let store = match Store::open(cfg, token.clone()) {
        Ok(store) => store,
        Err(e) => {
            event!(error, "data_refused", reason = e);
            eprintln!("{e}");
            return exit::DATA;
        }
    };
    let member_id = format!("{:016x}", store.log().status().member_id);
    event!(info, "store_started", name = name, member_id = member_id);
    let rpc_store = store.clone();
    let handle_rpc = move |body| {
        let store = rpc_store.clone();
        async move { store.handle(body).await }
    };
    runtime::spawn(rpc::serve(inner_listener, token.clone(), handle_rpc)).detach();
    let (http_store, http_memory) = (store.clone(), memory.clone());
    let handle_http = move |req: http::Request| {
        let (store, memory, handle) = (http_store.clone(), http_memory.clone(), handle.clone());
        async move {
            let ready = if store.log().is_current() { Ok(()) } else { Err("no leader is known") };
            match http::platform_endpoint(&req, ready, || handle.render()) {
                Some(response) => response,
                None => control::respond(store, memory, req).await,
            }
        }
    };
    let limits = http::Limits { connections, ..control::limits() };
    let http = http::serve_within(control_listener, limits, memory, shutdown.clone(), handle_http);
    runtime::spawn(http).detach();
    let reload_store = store.clone();
    reload::watch(path, token.clone(), move |cfg: Config| reload_store.set_seeds(&cfg));
    store.start(&token);
    wait(&store, &shutdown).await
}

async fn wait(store: &Store, shutdown: &Shutdown) -> i32 {
    let mut drained = std::pin::pin!(shutdown.drain.cancelled().fuse());
    let mut failed = std::pin::pin!(store.log().stopped().fuse());
    select! {
        () = drained => {
            let mut transferred = std::pin::pin!(store.log().transfer_leadership().fuse());
            let mut stop = std::pin::pin!(shutdown.stop.cancelled().fuse());
            select! { () = transferred => (), () = stop => () }
            compio::time::sleep(REPLY_GRACE).await;
            event!(info, "store_stopped");
            exit::OK
        }
        () = failed => {
            if let Some(reason) = store.log().failure() {
                eprintln!("{reason}");
            }
            exit::DATA
        }
    }
}
