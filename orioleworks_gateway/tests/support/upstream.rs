//! Stand-in for the platform's replicas: a plain service, and an engine with weight versions and resumable streams.

use std::{
    collections::{BTreeSet, HashMap},
    hash::{DefaultHasher, Hash, Hasher},
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::{client, proxy::Proxy};

/// Bytes without end, sent until the connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endless {
    /// Header lines.
    Head,
    /// A body after a proper head.
    Body,
    /// The body of a refusal as not run.
    Refusal,
    /// The body of a failure.
    Failure,
    /// One event of a stream.
    Event,
    /// Comments between the events of a stream.
    Comments,
    /// Events of a stream.
    Events,
}

/// Response in place of a stream.
#[derive(Clone, Copy, Debug)]
pub struct OtherResponse {
    pub status: &'static str,
    pub content_type: &'static str,
    pub body: &'static str,
}

/// Bytes in place of a response; `{id}` stands for the attempt ID of the request, and what follows `{pause}` is sent a little
/// later.
#[derive(Clone, Copy, Debug)]
pub struct RawResponse {
    pub bytes: &'static str,
    /// Whether the bytes are sent until the connection is closed.
    pub endless: bool,
}

/// Faults and announcements of a stand-in.
#[derive(Default)]
pub struct Behaviour {
    /// Bytes in place of each response, to requests, reports and orders.
    pub raw_response: Mutex<Option<RawResponse>>,
    /// Accepts requests and does not respond.
    pub silent: AtomicBool,
    /// Closes the connection of each request without a response, like a crash.
    pub crashes: AtomicBool,
    /// Part of the path of requests that crash the replica when it begins to run them; empty for none.
    pub crash_path: Mutex<String>,
    /// How many more of these requests crash a replica; shared by the replicas under test.
    pub crashes_left: Mutex<Arc<AtomicU64>>,
    /// Time from the start of a run to its response or crash, in milliseconds.
    pub delay_ms: AtomicU64,
    /// Refuses requests as not run.
    pub refuses: AtomicBool,
    /// Aborts the next stream after this many events; 0 for none.
    pub break_after: AtomicU64,
    /// Number of the next requests that get a failure as response.
    pub failures: AtomicU64,
    /// Announces that it is draining.
    pub leaving: AtomicBool,
    /// Announces itself.
    pub announces: AtomicBool,
    /// Requests a second that it names as its limit in each response, without refusing more.
    pub rate_limit: Mutex<Option<f64>>,
    /// Says in each response that it leaves, whatever it announces.
    pub says_leaving: AtomicBool,
    /// Bytes without end in place of responses.
    pub endless: Mutex<Option<Endless>>,
    /// Number of connections on which it sends bytes without end now.
    pub endless_connections: AtomicU64,
    /// Version of its software; events name it, unless it is empty.
    pub software: Mutex<String>,
    /// Length of the text that is added to each event.
    pub event_padding: AtomicU64,
    /// Part of the path of requests that get a failure as response; empty for none.
    pub fail_path: Mutex<String>,
    /// Breaks off this many of the next responses of a plain service halfway.
    pub breaks_responses: AtomicU64,
    /// Response to the next requests that resume a stream, and their number.
    pub resumed_response: Mutex<Option<OtherResponse>>,
    pub resumed_responses: AtomicU64,
    /// Sends this many responses once more, when the next request arrives on the connection; not those that are streams.
    pub late_copies: AtomicU64,
}

#[derive(Default)]
struct State {
    /// Runs by request ID, each with the event after which it resumed.
    runs: HashMap<String, Vec<Option<u64>>>,
    versions: HashMap<String, u64>,
    orders: u64,
    accepted_orders: Vec<serde_json::Value>,
    /// Weight versions under which events of a request ID were generated.
    generated: HashMap<String, BTreeSet<u64>>,
    /// Arrival times of all requests, refused ones, reports and orders included.
    arrivals: Vec<Instant>,
    /// Start times of the runs of a request ID.
    starts: HashMap<String, Vec<Instant>>,
    /// Time of the last event of each complete stream by request ID.
    completions: HashMap<String, Instant>,
    /// Headers of the newest request of an ID.
    headers: HashMap<String, HashMap<String, String>>,
    /// Last response by the peer of the connection.
    answered: HashMap<SocketAddr, String>,
}

/// What ends with a crash of the replica, and what tells its starts apart.
#[derive(Default)]
struct Process {
    listen_address: String,
    connections: Mutex<Vec<TcpStream>>,
    /// Start time in Unix milliseconds.
    born: AtomicU64,
    down: AtomicBool,
    crashes: Mutex<Vec<Instant>>,
}

impl Process {
    fn set_born(&self) {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        self.born.store(now.as_millis() as u64, Ordering::Relaxed);
    }
}

/// One replica; clones share its state.
#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    pub address: String,
    pub behaviour: Arc<Behaviour>,
    state: Arc<Mutex<State>>,
    stopped: Arc<AtomicBool>,
    process: Arc<Process>,
    /// Proxy in front of the replica, if any.
    pub proxy: Option<Proxy>,
}

/// Events of every stream.
pub const EVENTS: u64 = 12;
/// Time between two events.
pub const EVENT_GAP: Duration = Duration::from_millis(25);
/// Time from a crash to the next start.
pub const RESTART_TIME: Duration = Duration::from_millis(1500);
/// Time between two parts of a raw response: longer than a caller takes to send its next request.
const RAW_PAUSE: Duration = Duration::from_millis(30);
/// Duration of a load of weights.
const LOAD_TIME: Duration = Duration::from_millis(200);

impl Upstream {
    /// Starts a replica of a service that announces itself to the stores; one with a model is an engine.
    pub fn start(id: &str, service: &str, model: Option<&str>, stores: Vec<String>) -> Self {
        Self::start_with(id, service, model, stores, false)
    }

    /// Starts an engine with a version of its software.
    pub fn start_engine(id: &str, model: &str, stores: Vec<String>, software: &str) -> Self {
        Self::start_all(id, "engines", Some(model), stores, false, software)
    }

    /// Like [`Self::start`]; with `proxied` it announces the address of a proxy.
    pub fn start_with(
        id: &str,
        service: &str,
        model: Option<&str>,
        stores: Vec<String>,
        proxied: bool,
    ) -> Self {
        Self::start_all(id, service, model, stores, proxied, "")
    }

    fn start_all(
        id: &str,
        service: &str,
        model: Option<&str>,
        stores: Vec<String>,
        proxied: bool,
        software: &str,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let listen_address = listener.local_addr().unwrap().to_string();
        let proxy = proxied.then(|| Proxy::start("127.0.0.1:0", listen_address.clone()));
        let upstream = Self {
            id: id.into(),
            address: proxy
                .as_ref()
                .map_or_else(|| listen_address.clone(), |proxy| proxy.address.clone()),
            proxy,
            behaviour: Arc::default(),
            state: Arc::default(),
            stopped: Arc::default(),
            process: Arc::new(Process { listen_address, ..Process::default() }),
        };
        upstream.process.set_born();
        upstream.behaviour.announces.store(true, Ordering::Relaxed);
        software.clone_into(&mut upstream.behaviour.software.lock().unwrap());
        if let Some(model) = model {
            upstream.state.lock().unwrap().versions.insert(model.into(), 1);
        }
        let serving = upstream.clone();
        thread::spawn(move || serving.accept(listener));
        let (announcing, service) = (upstream.clone(), service.to_owned());
        thread::spawn(move || announcing.announce(&service, &stores));
        upstream
    }

    /// Runs of a request ID, each with the event after which it resumed.
    pub fn runs(&self, id: &str) -> Vec<Option<u64>> {
        self.state.lock().unwrap().runs.get(id).cloned().unwrap_or_default()
    }

    /// Value of a header of the newest request of an ID; the name is in lower case.
    pub fn header(&self, id: &str, name: &str) -> Option<String> {
        self.state.lock().unwrap().headers.get(id)?.get(name).cloned()
    }

    /// Start times of the runs of a request ID.
    pub fn starts(&self, id: &str) -> Vec<Instant> {
        self.state.lock().unwrap().starts.get(id).cloned().unwrap_or_default()
    }

    /// Time of the last event of a complete stream.
    pub fn completion(&self, id: &str) -> Option<Instant> {
        self.state.lock().unwrap().completions.get(id).copied()
    }

    /// Number of all requests that it ran.
    pub fn total_runs(&self) -> usize {
        self.state.lock().unwrap().runs.values().map(Vec::len).sum()
    }

    /// Arrival times of all requests.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.state.lock().unwrap().arrivals.clone()
    }

    /// Start time in Unix milliseconds.
    pub fn born(&self) -> u64 {
        self.process.born.load(Ordering::Relaxed)
    }

    /// Connections that are open now.
    pub fn open_connections(&self) -> usize {
        self.process.connections.lock().unwrap().len()
    }

    /// Weight version of a model.
    pub fn version(&self, model: &str) -> u64 {
        self.state.lock().unwrap().versions.get(model).copied().unwrap_or(0)
    }

    /// Weight versions under which events of a request ID were generated.
    pub fn generated_versions(&self, id: &str) -> BTreeSet<u64> {
        self.state.lock().unwrap().generated.get(id).cloned().unwrap_or_default()
    }

    /// Orders that it accepted.
    pub fn orders(&self) -> Vec<serde_json::Value> {
        self.state.lock().unwrap().accepted_orders.clone()
    }

    /// Times of the crashes.
    pub fn crashes(&self) -> Vec<Instant> {
        self.process.crashes.lock().unwrap().clone()
    }

    /// Ends the replica: its connections are closed and its address refuses connections until the next start, which
    /// has the same ID and another start time.
    pub fn crash(&self) {
        if self.process.down.swap(true, Ordering::Relaxed) {
            return;
        }
        self.process.crashes.lock().unwrap().push(Instant::now());
        for connection in self.process.connections.lock().unwrap().drain(..) {
            drop(connection.shutdown(Shutdown::Both));
        }
        // Wakes the thread that accepts connections.
        drop(TcpStream::connect(&self.process.listen_address));
    }

    /// Closes all connections; new ones are accepted.
    pub fn close_connections(&self) {
        for connection in self.process.connections.lock().unwrap().iter() {
            drop(connection.shutdown(Shutdown::Both));
        }
    }

    fn is_down(&self) -> bool {
        self.process.down.load(Ordering::Relaxed)
    }

    /// Accepts connections; after a crash, closes the listener until the next start.
    fn accept(&self, listener: TcpListener) {
        let mut listener = listener;
        loop {
            for stream in listener.incoming().flatten() {
                if self.stopped.load(Ordering::Relaxed) {
                    return;
                }
                if self.is_down() {
                    break;
                }
                self.process.connections.lock().unwrap().extend(stream.try_clone());
                let serving = self.clone();
                thread::spawn(move || {
                    let peer = stream.peer_addr().ok();
                    drop(serving.serve(&stream));
                    // The connection stays open as long as a clone of the stream exists.
                    let mut connections = serving.process.connections.lock().unwrap();
                    connections.retain(|connection| connection.peer_addr().ok() != peer);
                    drop(stream.shutdown(Shutdown::Both));
                });
            }
            drop(listener);
            thread::sleep(RESTART_TIME);
            listener = loop {
                match TcpListener::bind(&self.process.listen_address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(20)),
                }
            };
            self.process.set_born();
            self.process.down.store(false, Ordering::Relaxed);
        }
    }

    fn announce(&self, service: &str, stores: &[String]) {
        const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(300);
        let started = Instant::now();
        let mut sequence = 0;
        while !self.stopped.load(Ordering::Relaxed) && started.elapsed() < Duration::from_secs(300)
        {
            if self.behaviour.announces.load(Ordering::Relaxed) && !self.is_down() {
                let born = self.process.born.load(Ordering::Relaxed);
                sequence += 1;
                let readiness = if self.behaviour.leaving.load(Ordering::Relaxed) {
                    "draining"
                } else {
                    "ready"
                };
                let models: Vec<serde_json::Value> = self
                    .state
                    .lock()
                    .unwrap()
                    .versions
                    .iter()
                    .map(|(name, version)| serde_json::json!({"name": name, "version": version}))
                    .collect();
                let heartbeat = serde_json::json!({
                    "service": service, "address": self.address, "zone": "zone-a", "slots": 8,
                    "version": *self.behaviour.software.lock().unwrap(),
                    "state": readiness, "cold_remaining_ms": 0, "models": models,
                    "sequence": sequence, "born": born,
                });
                let path = format!("/v1/Instances.Heartbeat/{}", self.id);
                let heartbeat = heartbeat.to_string();
                let accepted = |store: &String| {
                    client::call(store, "POST", &path, &[], &heartbeat)
                        .is_some_and(|a| a.status == 200)
                };
                stores.iter().find(|store| accepted(store));
            }
            thread::sleep(ANNOUNCE_INTERVAL);
        }
    }

    fn serve(&self, stream: &TcpStream) -> std::io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut out = stream.try_clone()?;
        loop {
            let mut first = String::new();
            if reader.read_line(&mut first)? == 0 {
                return Ok(());
            }
            let mut headers = HashMap::new();
            loop {
                let mut line = String::new();
                reader.read_line(&mut line)?;
                let Some((name, value)) = line.trim_end().split_once(": ") else { break };
                headers.insert(name.to_ascii_lowercase(), value.to_owned());
            }
            let length = headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            let path = first.split(' ').nth(1).unwrap_or_default().to_owned();
            if self.stopped.load(Ordering::Relaxed) {
                return Ok(());
            }
            self.state.lock().unwrap().arrivals.push(Instant::now());
            match path.as_str() {
                "/v1/report" | "/v1/order" if self.raw_response().is_some() => {
                    self.respond_raw(&mut out, "")?;
                }
                "/v1/report" => self.report(&mut out)?,
                "/v1/order" => self.order(&mut out, &body)?,
                _ => self.run(&mut out, &path, &headers)?,
            }
        }
    }

    fn report(&self, out: &mut TcpStream) -> std::io::Result<()> {
        let body = {
            let state = self.state.lock().unwrap();
            let models: Vec<serde_json::Value> = state
                .versions
                .iter()
                .map(|(name, version)| serde_json::json!({"name": name, "version": version}))
                .collect();
            serde_json::json!({"busy": false, "sequence": state.orders, "models": models})
                .to_string()
        };
        self.respond(out, "200 OK", &[], &body)
    }

    fn order(&self, out: &mut TcpStream, body: &[u8]) -> std::io::Result<()> {
        let order: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
        let model = order["model"].as_str().unwrap_or_default().to_owned();
        let version = order["version"].as_u64().unwrap_or(0);
        {
            let mut state = self.state.lock().unwrap();
            if order["expected"].as_u64() != Some(state.orders) {
                drop(state);
                return self.respond(out, "409 Conflict", &[], "");
            }
            state.orders += 1;
            state.accepted_orders.push(order);
        }
        let state = self.state.clone();
        thread::spawn(move || {
            thread::sleep(LOAD_TIME);
            state.lock().unwrap().versions.insert(model, version);
        });
        self.respond(out, "202 Accepted", &[], "")
    }

    fn run(
        &self,
        out: &mut TcpStream,
        path: &str,
        headers: &HashMap<String, String>,
    ) -> std::io::Result<()> {
        let id = headers.get("x-attempt-id").cloned().unwrap_or_default();
        self.state.lock().unwrap().headers.insert(id.clone(), headers.clone());
        let decrement = |left: u64| left.checked_sub(1);
        let earlier = self.state.lock().unwrap().answered.remove(&out.peer_addr()?);
        let copies = &self.behaviour.late_copies;
        if let Some(earlier) = earlier
            && copies.fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement).is_ok()
        {
            out.write_all(earlier.as_bytes())?;
        }
        if headers.get("x-expected-instance").is_some_and(|expected| *expected != self.id) {
            return self.respond(
                out,
                "421 Misdirected Request",
                &[("X-Attempt-Id", &id), ("X-Instance-Id", &self.id)],
                "",
            );
        }
        if self.behaviour.refuses.load(Ordering::Relaxed) {
            let headers = [("X-Attempt-Id", &*id), ("X-Not-Executed", "1")];
            return self.respond(out, "503 Service Unavailable", &headers, "");
        }
        let after = headers.get("last-event-id").and_then(|v| v.parse().ok());
        {
            let mut state = self.state.lock().unwrap();
            state.runs.entry(id.clone()).or_default().push(after);
            state.starts.entry(id.clone()).or_default().push(Instant::now());
        }
        thread::sleep(Duration::from_millis(self.behaviour.delay_ms.load(Ordering::Relaxed)));
        if self.must_crash(path) {
            self.crash();
            return Err(std::io::Error::other("injected crash of the replica"));
        }
        if self.behaviour.crashes.load(Ordering::Relaxed) {
            return Err(std::io::Error::other("injected crash"));
        }
        if self.behaviour.silent.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_secs(20));
            return Ok(());
        }
        let endless = *self.behaviour.endless.lock().unwrap();
        if let Some(endless) = endless {
            self.behaviour.endless_connections.fetch_add(1, Ordering::Relaxed);
            let end = send_without_end(out, &id, endless);
            self.behaviour.endless_connections.fetch_sub(1, Ordering::Relaxed);
            return end;
        }
        if self.raw_response().is_some() {
            return self.respond_raw(out, &id);
        }
        let signature = signature(&id);
        let stamp: &[(&str, &str)] = &[("X-Attempt-Id", &id), ("X-Server-Stamp", &signature)];
        let fail_path = self.behaviour.fail_path.lock().unwrap().clone();
        if !fail_path.is_empty() && path.contains(&fail_path) {
            return self.respond(out, "500 Internal Server Error", stamp, "failed");
        }
        let failures = &self.behaviour.failures;
        if failures.fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement).is_ok() {
            return self.respond(out, "500 Internal Server Error", stamp, "failed");
        }
        let other = *self.behaviour.resumed_response.lock().unwrap();
        let others = &self.behaviour.resumed_responses;
        if let Some(other) = other.filter(|_| after.is_some())
            && others.fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement).is_ok()
        {
            let content_type = [("Content-Type", other.content_type)];
            return self.respond(out, other.status, &[stamp, &content_type].concat(), other.body);
        }
        match headers.get("x-model") {
            Some(model) => self.stream(out, &id, model, after.unwrap_or(0)),
            None if self
                .behaviour
                .breaks_responses
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement)
                .is_ok() =>
            {
                let half = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: 100\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: broken-off\r\n\r\nhalf"
                );
                out.write_all(half.as_bytes())?;
                Err(std::io::Error::other("injected end of the response"))
            }
            None => self.respond(out, "200 OK", stamp, &format!("answer to {id}")),
        }
    }

    fn raw_response(&self) -> Option<RawResponse> {
        *self.behaviour.raw_response.lock().unwrap()
    }

    fn respond_raw(&self, out: &mut TcpStream, id: &str) -> std::io::Result<()> {
        let Some(raw) = self.raw_response() else { return Ok(()) };
        let bytes = raw.bytes.replace("{id}", id);
        loop {
            for (n, part) in bytes.split("{pause}").enumerate() {
                thread::sleep(RAW_PAUSE * u32::from(n > 0));
                out.write_all(part.as_bytes())?;
            }
            if !raw.endless {
                return Ok(());
            }
        }
    }

    fn respond(
        &self,
        out: &mut TcpStream,
        status: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> std::io::Result<()> {
        let notices = self.notice_headers();
        let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{notices}", body.len());
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        let response = format!("{head}\r\n{body}");
        out.write_all(response.as_bytes())?;
        self.state.lock().unwrap().answered.insert(out.peer_addr()?, response);
        Ok(())
    }

    /// Headers about the replica itself.
    fn notice_headers(&self) -> String {
        let limit = *self.behaviour.rate_limit.lock().unwrap();
        let limit = limit.map_or(String::new(), |rate| format!("Server-Limit: {rate}\r\n"));
        let leaves = self.behaviour.says_leaving.load(Ordering::Relaxed);
        limit + if leaves { "Server-Leaving: 1\r\n" } else { "" }
    }

    fn must_crash(&self, path: &str) -> bool {
        let crash_path = self.behaviour.crash_path.lock().unwrap().clone();
        let left = self.behaviour.crashes_left.lock().unwrap().clone();
        let decrement = |left: u64| left.checked_sub(1);
        !crash_path.is_empty()
            && path.contains(&crash_path)
            && left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement).is_ok()
    }

    fn stream(
        &self,
        out: &mut TcpStream,
        id: &str,
        model: &str,
        after: u64,
    ) -> std::io::Result<()> {
        let mut version = self.version(model);
        let software = self.behaviour.software.lock().unwrap().clone();
        let suffix = if software.is_empty() { software } else { format!(" by {software}") };
        let padding = self.behaviour.event_padding.load(Ordering::Relaxed);
        let notices = self.notice_headers();
        write!(
            out,
            "HTTP/1.1 200 OK\r\n{notices}Content-Type: text/event-stream\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: \
             stamp\r\nX-Weight-Versions: {version}\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        let break_after = self.behaviour.break_after.swap(0, Ordering::Relaxed);
        for (sent, event) in (after + 1..=EVENTS).enumerate() {
            if break_after > 0 && sent as u64 == break_after {
                return Err(std::io::Error::other("injected abort of the stream"));
            }
            thread::sleep(EVENT_GAP);
            let current = self.version(model);
            let changed = (current != version).then(|| format!("x-weight-versions: {current}\n"));
            version = current;
            self.state.lock().unwrap().generated.entry(id.into()).or_default().insert(version);
            let text = format!(
                "{}id: {event}\ndata: {}\n\n",
                changed.unwrap_or_default(),
                event_data(id, event) + &suffix + &event_padding(id, event, padding)
            );
            write!(out, "{:x}\r\n{text}\r\n", text.len())?;
        }
        self.state.lock().unwrap().completions.insert(id.into(), Instant::now());
        write!(out, "0\r\n\r\n")
    }
}

/// Signature of a plain service over its response to a request.
pub fn signature(id: &str) -> String {
    format!("signature-of-{id}")
}

/// Data of one event of an item.
pub fn event_data(id: &str, event: u64) -> String {
    format!("{id} event {event}")
}

/// Text that is added to an event: hexadecimal digits, which compression shortens by half at most.
fn event_padding(id: &str, event: u64, len: u64) -> String {
    let mut padding = String::new();
    for n in 0_u64.. {
        if padding.len() as u64 >= len {
            break;
        }
        let mut hasher = DefaultHasher::new();
        (id, event, n).hash(&mut hasher);
        padding += &format!("{:016x}", hasher.finish());
    }
    padding.truncate(usize::try_from(len).unwrap());
    padding
}

/// Complete text of an item.
pub fn item_text(id: &str) -> String {
    padded_item_text(id, 0)
}

/// Complete text of an item whose events have padding of this length.
pub fn padded_item_text(id: &str, padding: u64) -> String {
    let text = |event| event_data(id, event) + &event_padding(id, event, padding);
    let events: Vec<String> = (1..=EVENTS).map(text).collect();
    events.join("\n")
}

/// Sends bytes until the receiver closes the connection.
fn send_without_end(out: &mut TcpStream, id: &str, endless: Endless) -> std::io::Result<()> {
    const CHUNK: usize = 16 * 1024;
    let signed = format!(
        "X-Attempt-Id: {id}\r\nX-Server-Stamp: stamp\r\nContent-Type: text/event-stream\r\n"
    );
    let (status, headers) = match endless {
        Endless::Refusal => ("503 Service Unavailable", "X-Not-Executed: 1\r\n"),
        Endless::Failure => ("500 Internal Server Error", signed.as_str()),
        _ => ("200 OK", signed.as_str()),
    };
    write!(out, "HTTP/1.1 {status}\r\n{headers}")?;
    if endless == Endless::Head {
        for n in 0_u64.. {
            write!(out, "X-Padding-{n}: {}\r\n", "x".repeat(CHUNK))?;
        }
    }
    write!(out, "Transfer-Encoding: chunked\r\n\r\n")?;
    for n in 1_u64.. {
        let text = match endless {
            Endless::Event if n == 1 => "id: 1\ndata: ".to_owned(),
            Endless::Comments => ": nothing yet\n\n".repeat(CHUNK / 16),
            Endless::Events => format!("id: {n}\ndata: {}\n\n", "x".repeat(CHUNK)),
            _ => "x".repeat(CHUNK),
        };
        write!(out, "{:x}\r\n{text}\r\n", text.len())?;
    }
    Ok(())
}
