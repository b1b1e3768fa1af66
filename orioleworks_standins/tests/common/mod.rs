//! In-process stand-ins for tests.
#![allow(dead_code)]

use std::{rc::Rc, time::Duration};

use futures_util::StreamExt;
use orioleworks_daemon::{http, shutdown::Shutdown};
use orioleworks_standins::{
    client::{Client, CompleteResponse},
    engine::{self, Engine, EngineConfig},
    fault::FaultSwitch,
    provenance::{Span, push_span},
    service::{self, RunRecords, Service, ServiceConfig},
};
use serde_json::{Value, json};

pub const TIMEOUT: Duration = Duration::from_secs(10);

pub fn run<F: Future>(test: F) -> F::Output {
    compio::runtime::Runtime::new().expect("runtime").block_on(test)
}

pub fn fast_engine_config() -> EngineConfig {
    EngineConfig {
        token_time: Duration::from_millis(1),
        prefill_time: Duration::from_millis(20),
        swap_time: Duration::from_millis(20),
        fetch_time: Duration::from_millis(10),
        ..EngineConfig::default()
    }
}

/// Serves an engine; returns its state and its address.
pub async fn start_engine(config: EngineConfig) -> (Rc<Engine>, String) {
    let engine = Engine::new(config, FaultSwitch::default());
    let listener = http::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    compio::runtime::spawn(engine::serve(engine.clone(), listener, Shutdown::default())).detach();
    (engine, address)
}

/// Serves a plain service; returns its state and its address.
pub async fn start_service(config: ServiceConfig) -> (Rc<Service>, String) {
    let service = Service::new(config, FaultSwitch::default());
    let listener = http::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    compio::runtime::spawn(service::serve(service.clone(), listener, Shutdown::default())).detach();
    (service, address)
}

pub async fn post(address: &str, path: &str, body: Value) -> CompleteResponse {
    let client = Client::new().expect("client");
    client.post(&format!("http://{address}{path}"), &body, TIMEOUT).await.expect("response")
}

pub async fn get(address: &str, path: &str) -> CompleteResponse {
    let client = Client::new().expect("client");
    client.get(&format!("http://{address}{path}"), TIMEOUT).await.expect("response")
}

pub async fn run_records(address: &str) -> RunRecords {
    get(address, "/ran").await.json().expect("records")
}

/// Content of a stream, as read so far.
#[derive(Debug, Default)]
pub struct StreamRead {
    pub text: String,
    pub spans: Vec<Span>,
    pub lacks_version: bool,
    pub done: bool,
}

pub fn completion(prompt: &str, max_tokens: u64, request_id: &str) -> Value {
    json!({"model": "scorer", "prompt": prompt, "max_tokens": max_tokens, "stream": true, "request_id": request_id})
}

/// Reads a stream to its end and calls `seen` after every chunk of bytes.
pub async fn read_stream(
    address: &str,
    body: Value,
    mut seen: impl FnMut(&StreamRead),
) -> StreamRead {
    let client = Client::new().expect("client");
    let url = format!("http://{address}/v1/completions");
    let request = client.inner().post(url).expect("url").body(body.to_string());
    let response = request.send().await.expect("head");
    assert_eq!(response.status().as_u16(), 200);
    let mut stream = std::pin::pin!(response.bytes_stream());
    let (mut read, mut buffered) = (StreamRead::default(), String::new());
    while let Some(chunk) = stream.next().await {
        buffered.push_str(std::str::from_utf8(&chunk.expect("chunk")).expect("text"));
        while let Some((event, tail)) = buffered.split_once("\n\n") {
            apply_event(&mut read, event);
            buffered = tail.to_owned();
        }
        seen(&read);
    }
    read
}

fn apply_event(read: &mut StreamRead, event: &str) {
    let data = event.strip_prefix("data: ").expect("event");
    if data == "[DONE]" {
        read.done = true;
        return;
    }
    let completion_chunk: Value = serde_json::from_str(data).expect("chunk");
    read.text.push_str(completion_chunk["choices"][0]["text"].as_str().expect("text"));
    let tokens = completion_chunk["tokens"].as_u64().expect("tokens");
    match completion_chunk["weight_version"].as_u64() {
        Some(version) => push_span(&mut read.spans, Span { version, tokens }),
        None => read.lacks_version = true,
    }
}
