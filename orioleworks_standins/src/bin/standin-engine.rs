//! Stand-in engine.

use std::time::Duration;

use argh::FromArgs;
use orioleworks_standins::{
    engine::{Engine, EngineConfig, serve},
    fault::FaultSwitch,
    host,
};

/// Stand-in model engine with a prefix cache, weight swaps and faults.
#[derive(FromArgs)]
struct Options {
    /// IP and port to listen on; port 0 takes a free one
    #[argh(option, default = "\"127.0.0.1:0\".into()")]
    listen: String,
    /// unique name
    #[argh(option, default = "\"engine\".into()")]
    name: String,
    /// failure domain, for logs
    #[argh(option, default = "String::new()")]
    domain: String,
    /// entries to announce to, IP and port, separated by commas
    #[argh(option, default = "String::new()")]
    entries: String,
    /// seed of the texts
    #[argh(option, default = "1")]
    seed: u64,
    /// kind of upstream
    #[argh(option, default = "\"scorer-llm\".into()")]
    kind: String,
    /// model
    #[argh(option, default = "\"scorer\".into()")]
    model: String,
    /// weight version at the start
    #[argh(option, default = "1")]
    weight_version: u64,
    /// time per token in microseconds up to the knee
    #[argh(option, default = "4000")]
    token_us: u64,
    /// running streams above which tokens take longer
    #[argh(option, default = "8")]
    knee: u32,
    /// time to the first token in milliseconds without a cached prefix
    #[argh(option, default = "40")]
    prefill_ms: u64,
    /// prefixes in the cache
    #[argh(option, default = "32")]
    cache_entries: usize,
    /// time of a weight swap in milliseconds
    #[argh(option, default = "200")]
    swap_ms: u64,
    /// announced number of requests that can run concurrently
    #[argh(option, default = "16")]
    capacity: u32,
    /// delay of the announced load figures in milliseconds
    #[argh(option, default = "400")]
    lag_ms: u64,
    /// weight store, IP and port
    #[argh(option)]
    weights: Option<String>,
    /// ignore fencing tokens
    #[argh(switch)]
    ignore_fencing: bool,
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
        println!("standin-engine {}", env!("CARGO_PKG_VERSION"));
        return;
    }
    std::process::exit(host::run(|| run(options)));
}

async fn run(options: Options) -> i32 {
    let faults = FaultSwitch::default();
    if let Err(code) = host::set_faults(&faults, options.fault.as_deref()) {
        return code;
    }
    let config = EngineConfig {
        name: options.name,
        kind: options.kind,
        model: options.model,
        version: options.weight_version,
        seed: options.seed,
        token_time: Duration::from_micros(options.token_us),
        knee: options.knee,
        prefill_time: Duration::from_millis(options.prefill_ms),
        cache_entries: options.cache_entries,
        swap_time: Duration::from_millis(options.swap_ms),
        weights: options.weights,
        checks_fencing: !options.ignore_fencing,
        capacity: options.capacity,
        entries: host::split_list(&options.entries),
        lag: Duration::from_millis(options.lag_ms),
        ..EngineConfig::default()
    };
    let (listener, address) = match host::listen(&options.listen).await {
        Ok(bound) => bound,
        Err(code) => return code,
    };
    println!("{address}");
    orioleworks_daemon::event!(info, "started", address = address, domain = options.domain);
    let engine = Engine::new(config, faults);
    let shutdown = host::watch_signals(&engine.membership);
    serve(engine, listener, shutdown).await;
    0
}
