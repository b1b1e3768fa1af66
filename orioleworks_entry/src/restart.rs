//! Gets a configuration after a start while control does not respond.
//!
//! See `docs/design.md`, section 5.

use std::{rc::Rc, time::Duration};

use compio::time;
use orioleworks_daemon::{event, rpc};
use orioleworks_proto::inner::{self, frame::Body};
use tokio_util::sync::CancellationToken;

use crate::configuration::Configuration;

/// Time to wait for control before the peers are asked.
const CONTROL_WAIT: Duration = Duration::from_millis(1500);
/// Longest wait for a peer's response.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two rounds of requests to the peers.
const ROUND_PAUSE: Duration = Duration::from_millis(500);

/// Waits for control's configuration; without it, uses the highest revision among the peers and the copy on disk.
pub async fn run(
    peers: Rc<[rpc::Client]>,
    configuration: Configuration,
    has_copy: bool,
    token: CancellationToken,
) {
    time::sleep(CONTROL_WAIT).await;
    while !configuration.is_ready() && !token.is_cancelled() {
        let requests = peers
            .iter()
            .map(|peer| peer.call(Body::FetchConfig(inner::FetchConfig {}), PEER_TIMEOUT));
        let mut has_configuration = has_copy;
        for reply in futures_util::future::join_all(requests).await {
            if let Ok(Body::FetchConfigReply(inner::FetchConfigReply { config: Some(config) })) =
                reply
            {
                configuration.apply_full(config);
                has_configuration = true;
            }
        }
        if has_configuration && !configuration.is_ready() {
            event!(warn, "started_without_control", revision = configuration.revision());
            configuration.set_ready();
        }
        time::sleep(ROUND_PAUSE).await;
    }
}
