//! Stand-in for a replica that answers with streams of events, of one software version.

use std::{
    io::{self, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{self, Connection, Message},
    util::{self, Record},
};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);
/// Events of a stream.
pub const EVENTS: u64 = 40;
/// Time to the first event: this, and 1 ms for each stream that runs. The more requests run, the slower a replica is.
const FIRST_EVENT_MS: u64 = 10;
/// Time between two events.
const EVENT_GAP: Duration = Duration::from_millis(60);

/// One replica.
pub struct Speaker {
    pub id: String,
    pub address: SocketAddr,
    version: String,
    born: u64,
    record: Arc<Record>,
    /// Streams that it has begun.
    pub streams: AtomicUsize,
    /// Streams that run.
    running: AtomicUsize,
    down: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

/// A stream that runs until this is dropped.
struct Running<'a>(&'a AtomicUsize);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Speaker {
    /// Starts a replica that sends its heartbeats to the first of these stores that acknowledges them.
    pub fn start(
        id: &str,
        version: &str,
        stores: Vec<String>,
        record: Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let anywhere = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::start_at(anywhere, id, version, stores, Duration::ZERO, record)
    }

    /// As [`Self::start`], at an address; its heartbeats arrive this late.
    pub fn start_at(
        address: SocketAddr,
        id: &str,
        version: &str,
        stores: Vec<String>,
        late: Duration,
        record: Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let speaker = Arc::new(Self {
            id: id.into(),
            address: listener.local_addr()?,
            version: version.into(),
            born: util::unix_ms(),
            record,
            streams: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            down: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        let serving = speaker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.down.load(Ordering::Relaxed) {
                    return;
                }
                if let Ok(clone) = stream.try_clone() {
                    serving.connections.lock().unwrap().push(clone);
                }
                let speaker = serving.clone();
                thread::spawn(move || {
                    if let Ok(connection) = Connection::new(stream) {
                        drop(speaker.serve(connection));
                    }
                });
            }
        });
        let announcing = speaker.clone();
        thread::spawn(move || announcing.announce(stores, late));
        Ok(speaker)
    }

    /// Crashes: its connections break in the middle of what they carry, and its port is closed. Returns once it is.
    pub fn crash(&self) {
        self.record.say(format!("{} ({}) crashes", self.id, self.version));
        self.down.store(true, Ordering::Relaxed);
        for connection in self.connections.lock().unwrap().drain(..) {
            drop(connection.shutdown(Shutdown::Both));
        }
        // Wakes the listener, which then closes.
        drop(TcpStream::connect(self.address));
        thread::sleep(Duration::from_millis(50));
    }

    fn announce(&self, mut stores: Vec<String>, late: Duration) {
        let mut sequence = 0;
        // What was sent before a crash still arrives.
        thread::sleep(late);
        while !self.down.load(Ordering::Relaxed) {
            sequence += 1;
            let body = format!(
                r#"{{"service":"speaker","address":"{}","zone":"zone-a","version":"{}","slots":12,"state":"ready","cold_remaining_ms":0,"sequence":{sequence},"born":{}}}"#,
                self.address, self.version, self.born
            );
            let path = format!("/v1/Instances.Heartbeat/{}", self.id);
            for i in 0..stores.len() {
                let timeout = Duration::from_secs(1);
                let answer = http::call(&stores[i], "POST", &path, &[], body.as_bytes(), timeout);
                if answer.is_ok_and(|a| a.status == 200) {
                    if sequence == 1 || i > 0 {
                        self.record
                            .line(format!("{} sends its heartbeats to {}", self.id, stores[i]));
                    }
                    // It stays with a store that acknowledges.
                    stores.rotate_left(i);
                    break;
                }
            }
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    }

    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        while let Some(req) = connection.read()? {
            let mut writer = connection.writer()?;
            let id = req.header("x-attempt-id").unwrap_or_default().to_owned();
            if req.header("x-expected-instance").is_some_and(|expected| expected != self.id) {
                let headers = [("X-Attempt-Id", id.as_str()), ("X-Not-Executed", "1")];
                writer.write_all(&http::answer(421, &headers, b""))?;
                continue;
            }
            self.stream(&mut writer, &req, &id)?;
            if req.closes() {
                break;
            }
        }
        Ok(())
    }

    /// Sends the events after the one that the request names.
    fn stream(&self, writer: &mut TcpStream, req: &Message, id: &str) -> io::Result<()> {
        let after: u64 = req.header("last-event-id").and_then(|n| n.parse().ok()).unwrap_or(0);
        self.streams.fetch_add(1, Ordering::Relaxed);
        self.record.line(format!("{} ({}) runs {id} after event {after}", self.id, self.version));
        let running = self.running.fetch_add(1, Ordering::Relaxed) as u64;
        let _running = Running(&self.running);
        thread::sleep(Duration::from_millis(FIRST_EVENT_MS + running));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: {}.{id}\r\nKeep-Alive: timeout=15\r\n\r\n",
            self.id
        );
        writer.write_all(head.as_bytes())?;
        for event in after + 1..=EVENTS {
            let text = format!("id: {event}\ndata: {} word {event}\n\n", self.version);
            writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            thread::sleep(EVENT_GAP);
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
