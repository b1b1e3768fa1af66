//! Stand-in judge.

use std::time::Duration;

use argh::FromArgs;
use orioleworks_standins::{
    fault::FaultSwitch,
    host,
    service::{Service, ServiceConfig, serve},
};

/// Stand-in judge that returns a deterministic score.
#[derive(FromArgs)]
struct Options {
    /// IP and port to listen on; port 0 takes a free one
    #[argh(option, default = "\"127.0.0.1:0\".into()")]
    listen: String,
    /// unique name
    #[argh(option, default = "\"judge\".into()")]
    name: String,
    /// failure domain, for logs
    #[argh(option, default = "String::new()")]
    domain: String,
    /// entries to announce to, IP and port, separated by commas
    #[argh(option, default = "String::new()")]
    entries: String,
    /// seed, for logs; the responses depend only on the requests
    #[argh(option, default = "1")]
    seed: u64,
    /// kind of upstream
    #[argh(option, default = "\"judge\".into()")]
    kind: String,
    /// time of one request in milliseconds
    #[argh(option, default = "5")]
    work_ms: u64,
    /// announced number of requests that can run concurrently
    #[argh(option, default = "64")]
    capacity: u32,
    /// delay of the announced load figures in milliseconds
    #[argh(option, default = "400")]
    lag_ms: u64,
    /// faults as JSON, as for POST /fault
    #[argh(option)]
    fault: Option<String>,
    /// print the version and exit
    #[argh(switch, short = 'V')]
    version: bool,
}

fn main() {
    let options: Options = argh::from_env();
    if options.version {
        println!("standin-judge {}", env!("CARGO_PKG_VERSION"));
        return;
    }
    std::process::exit(host::run(|| run(options)));
}

async fn run(options: Options) -> i32 {
    let faults = FaultSwitch::default();
    if let Err(code) = host::set_faults(&faults, options.fault.as_deref()) {
        return code;
    }
    let config = ServiceConfig {
        name: options.name,
        kind: options.kind,
        work_time: Duration::from_millis(options.work_ms),
        capacity: options.capacity,
        entries: host::split_list(&options.entries),
        lag: Duration::from_millis(options.lag_ms),
        judge: true,
        workers: 0,
        refuse_over: 0,
    };
    let (listener, address) = match host::listen(&options.listen).await {
        Ok(bound) => bound,
        Err(code) => return code,
    };
    println!("{address}");
    orioleworks_daemon::event!(
        info,
        "started",
        address = address,
        domain = options.domain,
        seed = options.seed
    );
    let service = Service::new(config, faults);
    let shutdown = host::watch_signals(&service.membership);
    serve(service, listener, shutdown).await;
    0
}
