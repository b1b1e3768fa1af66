//! Stand-in weight store.

use std::time::Duration;

use argh::FromArgs;
use orioleworks_standins::{
    fault::FaultSwitch,
    host,
    weights::{Store, StoreConfig, serve},
};

/// Stand-in weight store with a rate limit.
#[derive(FromArgs)]
struct Options {
    /// IP and port to listen on; port 0 takes a free one
    #[argh(option, default = "\"127.0.0.1:0\".into()")]
    listen: String,
    /// fetches per second
    #[argh(option, default = "20.0")]
    per_second: f64,
    /// number of fetches that may start at once after an idle time
    #[argh(option, default = "6.0")]
    burst: f64,
    /// time of one transfer in milliseconds
    #[argh(option, default = "100")]
    transfer_ms: u64,
    /// size of the weights in bytes
    #[argh(option, default = "65536")]
    bytes: usize,
    /// highest version that exists at the start
    #[argh(option, default = "1")]
    versions: u64,
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
        println!("standin-weights {}", env!("CARGO_PKG_VERSION"));
        return;
    }
    std::process::exit(host::run(|| run(options)));
}

async fn run(options: Options) -> i32 {
    let faults = FaultSwitch::default();
    if let Err(code) = host::set_faults(&faults, options.fault.as_deref()) {
        return code;
    }
    let config = StoreConfig {
        per_second: options.per_second,
        burst: options.burst,
        transfer_time: Duration::from_millis(options.transfer_ms),
        bytes: options.bytes,
        initial_version: options.versions,
    };
    let (listener, address) = match host::listen(&options.listen).await {
        Ok(bound) => bound,
        Err(code) => return code,
    };
    println!("{address}");
    let store = Store::new(config, faults);
    let shutdown = host::watch_signals(store.membership());
    serve(store, listener, shutdown).await;
    0
}
