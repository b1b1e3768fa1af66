//! Calls of an engine profile and checks of their responses.

use std::time::{Duration, Instant};

use orioleworks_proto::{codes::ResultCode, inner};
use orioleworks_standins::{
    client::Client,
    deployment::{Deployment, Kind},
    provenance, scenario,
};
use serde_json::{Value, json};

use crate::verdicts::text;

/// Profile of the calls.
pub const PROFILE: &str = "scorer";

/// Outcome of a call.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP status; 0 without a response.
    pub status: u16,
    /// Result code of a refusal, or the failure of the connection.
    pub reason: String,
    /// Number of the result code, 0 for none.
    pub code: u32,
    /// Whether the text is complete and belongs to this prompt.
    pub complete: bool,
    /// Upstream that ran the call.
    pub upstream: String,
    /// Time at which the call was sent.
    pub sent: Instant,
    /// Duration of the call.
    pub took: Duration,
}

impl Call {
    /// Whether the request was refused with this code.
    pub fn has(&self, code: ResultCode) -> bool {
        self.code == code.number()
    }

    /// Whether the caller got the complete response to its own request.
    pub fn is_good(&self) -> bool {
        self.status == 200 && self.complete
    }
}

/// Calls an entry with a prompt and waits for the complete response.
pub async fn call(client: &Client, entry: &str, prompt: &str, tokens: u64, seed: u64) -> Call {
    const CALL_TIMEOUT: Duration = Duration::from_secs(25);
    let sent = Instant::now();
    let body = json!({"prompt": prompt, "max_tokens": tokens});
    let response =
        client.post(&format!("http://{entry}/v1/call/{PROFILE}"), &body, CALL_TIMEOUT).await;
    let took = sent.elapsed();
    let mut call = Call {
        status: 0,
        reason: String::new(),
        code: 0,
        complete: false,
        upstream: String::new(),
        sent,
        took,
    };
    match response {
        Ok(response) => {
            let body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
            let sample = body["text"].as_str().unwrap_or_default();
            let upstream = response.headers.get("x-upstream").and_then(|value| value.to_str().ok());
            call.status = response.status;
            call.upstream = upstream.unwrap_or_default().to_owned();
            call.complete = provenance::verify_complete(prompt, seed, tokens, sample).is_ok();
            call.code =
                body["code"].as_u64().and_then(|code| u32::try_from(code).ok()).unwrap_or(0);
            call.reason = body["name"].as_str().unwrap_or_default().to_owned();
        }
        Err(e) => call.reason = e.to_string(),
    }
    call
}

/// Names and HTTP addresses of the entries.
pub fn entries(deployment: &Deployment) -> Vec<(String, String)> {
    deployment.nodes(Kind::Entry).map(|(name, node)| (name.into(), node.http.clone())).collect()
}

/// Sends an order to control.
///
/// # Errors
///
/// Returns why the order was not accepted.
pub async fn send_order(
    deployment: &Deployment,
    order_id: &str,
    kind: inner::command::Kind,
) -> Result<(), String> {
    let command = inner::Command { expected_revision: None, kind: Some(kind) };
    let control = deployment.control_client();
    let reply = control.propose(order_id, command, Duration::from_secs(10)).await.map_err(text)?;
    match reply.code == ResultCode::Ok.number() {
        true => Ok(()),
        false => Err(format!("order {order_id} refused: {} {}", reply.code, reply.message)),
    }
}

/// Starts all processes, puts the profile without a judge, and waits until each entry completes a call.
///
/// # Errors
///
/// Returns the part of the deployment that did not become ready.
pub async fn bring_up(deployment: &Deployment, max_staleness: u32) -> Result<(), String> {
    const READY: Duration = Duration::from_secs(15);
    deployment.start_all().map_err(text)?;
    deployment.wait_ready(READY).await.map_err(text)?;
    for profile in scenario::profiles().into_iter().filter(|profile| profile.name == PROFILE) {
        let own = inner::Profile { judge_kind: String::new(), max_staleness, ..profile };
        send_order(deployment, "profile-scorer", inner::command::Kind::PutProfile(own)).await?;
    }
    let client = Client::new().map_err(text)?;
    let until = Instant::now() + READY;
    for (name, address) in entries(deployment) {
        loop {
            let probe = call(&client, &address, &format!("probe {name}"), 2, 0).await;
            if probe.status == 200 {
                break;
            }
            if Instant::now() >= until {
                return Err(format!("{name} does not complete calls: {}", probe.reason));
            }
            compio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}
