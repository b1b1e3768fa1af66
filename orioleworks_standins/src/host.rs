//! Common parts of the stand-in processes: runtime, listener, faults at run time, and shutdown.

use std::{future::Future, time::Duration};

use compio::net::TcpListener;
use orioleworks_daemon::{
    event,
    http::{self, Limits, Request, Response},
    logging,
    shutdown::Shutdown,
};
use orioleworks_proto::codes::{ResultCode, exit};

use crate::{announce::Membership, fault::FaultSwitch};

/// Time during which a leaving stand-in still accepts connections, until the entries know that it leaves.
const LEAVE_GRACE: Duration = Duration::from_secs(1);
/// Longest time of the drain.
const DRAIN_DEADLINE: Duration = Duration::from_secs(10);

/// Runs a stand-in program in its own runtime and returns its exit code.
pub fn run<F: Future<Output = i32>>(program: impl FnOnce() -> F) -> i32 {
    logging::start("info");
    match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime.block_on(program()),
        Err(e) => {
            eprintln!("cannot start the runtime: {e}");
            exit::FAILED
        }
    }
}

/// Binds the listener of a stand-in and returns it with its local address.
///
/// # Errors
///
/// Returns the exit code for an address that cannot be bound.
pub async fn listen(address: &str) -> Result<(TcpListener, String), i32> {
    let bound = match http::bind(address).await {
        Ok(listener) => listener.local_addr().map(|local| (listener, local.to_string())),
        Err(e) => Err(e),
    };
    bound.map_err(|e| {
        eprintln!("cannot listen on {address}: {e}");
        exit::LISTEN
    })
}

/// Shutdown of a stand-in: the first signal marks it as leaving, and the drain starts 1 s later.
pub fn watch_signals(membership: &Membership) -> Shutdown {
    let (signals, shutdown) = (Shutdown::default(), Shutdown::default());
    signals.watch_signals(DRAIN_DEADLINE);
    let (membership, delayed) = (membership.clone(), shutdown.clone());
    compio::runtime::spawn(async move {
        signals.drain.cancelled().await;
        membership.leave();
        compio::time::sleep(LEAVE_GRACE).await;
        delayed.drain.cancel();
        signals.stop.cancelled().await;
        delayed.stop.cancel();
    })
    .detach();
    shutdown
}

/// Sets the faults given on the command line.
///
/// # Errors
///
/// Returns the exit code for invalid JSON or unknown faults.
pub fn set_faults(faults: &FaultSwitch, json: Option<&str>) -> Result<(), i32> {
    let Some(json) = json else { return Ok(()) };
    faults.merge(json.as_bytes()).map(|_| ()).map_err(|e| {
        eprintln!("invalid option --fault: {e}");
        exit::FAILED
    })
}

/// Handles `/fault`, `/rejoin`, `/live` and `/ready`; returns any other request to the caller.
///
/// # Errors
///
/// Returns the request if it has another path.
pub async fn handle_common(
    req: Request,
    faults: &FaultSwitch,
    membership: &Membership,
) -> Result<Response, Request> {
    match req.uri().path() {
        "/live" | "/ready" => Ok(http::full_response(200, "text/plain", "ready\n")),
        "/rejoin" => {
            membership.rejoin();
            Ok(http::json(200, &serde_json::json!({"incarnation": membership.incarnation()})))
        }
        "/fault" => {
            let body = match http::read_body(req.into_body(), &Limits::default()).await {
                Ok(body) => body,
                Err(code) => return Ok(http::error(code, "", 0)),
            };
            let body = if body.is_empty() { bytes::Bytes::from_static(b"{}") } else { body };
            match faults.merge(&body) {
                Ok(faults) => {
                    event!(info, "faults_set", faults = String::from_utf8_lossy(&body));
                    Ok(http::json(200, &faults))
                }
                Err(e) => Ok(http::error(ResultCode::BadRequest, &e.to_string(), 0)),
            }
        }
        _ => Err(req),
    }
}

/// Response that refuses a request without running it.
pub fn refused_response() -> Response {
    let mut response = http::error(ResultCode::RefusedByUpstream, "", 100);
    response.headers_mut().insert("x-not-run", ::http::HeaderValue::from_static("true"));
    response
}

/// Splits a comma-separated list of the command line.
pub fn split_list(text: &str) -> Vec<String> {
    text.split(',').map(str::trim).filter(|part| !part.is_empty()).map(String::from).collect()
}

/// Writes a report as JSON to a file or to standard output and returns whether it was written.
pub fn write_report(report: &impl serde::Serialize, path: Option<&std::path::Path>) -> bool {
    let json = serde_json::to_string_pretty(report).unwrap_or_default();
    match path {
        Some(path) => std::fs::write(path, json)
            .inspect_err(|e| eprintln!("cannot write the report: {e}"))
            .is_ok(),
        None => {
            println!("{json}");
            true
        }
    }
}
