//! Stand-in infrastructure API.

use std::time::Duration;

use argh::FromArgs;
use orioleworks_daemon::{event, shutdown::Shutdown};
use orioleworks_proto::codes::exit;
use orioleworks_standins::{
    host,
    infrastructure::{Infrastructure, Modes, serve},
};

/// Longest time of the drain; a call without a response does not end by itself.
const DRAIN_DEADLINE: Duration = Duration::from_secs(1);

/// Stand-in infrastructure API that records the calls of duty holders.
#[derive(FromArgs)]
struct Options {
    /// IP and port to listen on; port 0 takes a free one
    #[argh(option, default = "\"127.0.0.1:0\".into()")]
    listen: String,
    /// modes as JSON, as for POST /modes
    #[argh(option, default = "\"{}\".into()")]
    modes: String,
    /// print the version and exit
    #[argh(switch, short = 'V')]
    version: bool,
}

fn main() {
    let options: Options = argh::from_env();
    if options.version {
        println!("standin-infrastructure {}", env!("CARGO_PKG_VERSION"));
        return;
    }
    std::process::exit(host::run(|| run(options)));
}

async fn run(options: Options) -> i32 {
    let modes = match serde_json::from_str::<Modes>(&options.modes) {
        Ok(modes) => modes,
        Err(e) => {
            eprintln!("invalid option --modes: {e}");
            return exit::FAILED;
        }
    };
    let (listener, address) = match host::listen(&options.listen).await {
        Ok(bound) => bound,
        Err(code) => return code,
    };
    println!("{address}");
    event!(info, "started", address = address);
    let shutdown = Shutdown::default();
    shutdown.watch_signals(DRAIN_DEADLINE);
    serve(Infrastructure::new(modes), listener, shutdown).await;
    0
}
