//! Stand-in for a replica of a plain service, as the platform's pages describe it.

use std::{
    collections::HashMap,
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{self, Connection, Message},
    util::{self, Record},
};

/// Interval of heartbeats, as in the settings of small deployments.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);
/// Idle time that the replica states.
const KEEP_ALIVE_S: u64 = 15;

/// How a replica works.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Requests that it runs at the same time.
    pub slots: usize,
    /// Requests that it queues; it refuses further ones.
    pub queue: usize,
    /// Time that a request takes.
    pub work: Duration,
}

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

/// One replica.
pub struct Replica {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    terms: Terms,
    born: u64,
    record: Arc<Record>,
    load: Mutex<Load>,
    freed: Condvar,
    /// Runs by request ID.
    runs: Mutex<HashMap<String, u32>>,
    /// While set, each `copy_every`-th answer is sent once more.
    pub copies: AtomicBool,
    copy_every: u64,
    answers: AtomicU64,
    /// Answers during the disruption, and those of them that were sent once more.
    pub answers_in_window: AtomicU64,
    pub copies_sent: AtomicU64,
    /// Of those copies, refusals.
    pub refusals_copied: AtomicU64,
}

impl Replica {
    /// Starts a replica that sends heartbeats to the stores.
    pub fn start(
        id: &str,
        service: &str,
        terms: Terms,
        copy_every: u64,
        stores: Vec<String>,
        record: Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let replica = Arc::new(Self {
            id: id.into(),
            service: service.into(),
            address: listener.local_addr()?,
            terms,
            born: util::unix_ms(),
            record,
            load: Mutex::default(),
            freed: Condvar::new(),
            runs: Mutex::default(),
            copies: AtomicBool::new(false),
            copy_every,
            answers: AtomicU64::new(0),
            answers_in_window: AtomicU64::new(0),
            copies_sent: AtomicU64::new(0),
            refusals_copied: AtomicU64::new(0),
        });
        let serving = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = serving.clone();
                thread::spawn(move || {
                    if let Ok(connection) = Connection::new(stream) {
                        drop(replica.serve(connection));
                    }
                });
            }
        });
        let announcing = replica.clone();
        thread::spawn(move || announcing.announce(&stores));
        Ok(replica)
    }

    /// Runs by request ID.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.runs.lock().unwrap().clone()
    }

    fn announce(&self, stores: &[String]) {
        let mut sequence = 0;
        loop {
            sequence += 1;
            let body = format!(
                r#"{{"service":"{}","address":"{}","zone":"zone-a","version":"v1","slots":{},"state":"ready","cold_remaining_ms":0,"sequence":{sequence},"born":{}}}"#,
                self.service, self.address, self.terms.slots, self.born
            );
            let path = format!("/v1/Instances.Heartbeat/{}", self.id);
            for store in stores {
                let timeout = Duration::from_secs(1);
                let answer = http::call(store, "POST", &path, &[], body.as_bytes(), timeout);
                if answer.is_ok_and(|a| a.status == 200) {
                    break;
                }
            }
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    }

    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        // A second copy of an earlier answer on this connection, which is still to be sent.
        let mut copy: Option<Vec<u8>> = None;
        while let Some(req) = connection.read()? {
            let mut writer = connection.writer()?;
            if let Some(copy) = copy.take() {
                self.copies_sent.fetch_add(1, Ordering::Relaxed);
                writer.write_all(&copy)?;
            }
            let id = req.header("x-attempt-id").unwrap_or_default().to_owned();
            let (answer, refused) = self.respond(&req, &id);
            let number = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
            if self.copies.load(Ordering::Relaxed) {
                self.answers_in_window.fetch_add(1, Ordering::Relaxed);
                if number % self.copy_every == 0 {
                    self.refusals_copied.fetch_add(u64::from(refused), Ordering::Relaxed);
                    self.record.line(format!(
                        "{} will send its answer to {id} again, refused={refused}",
                        self.id
                    ));
                    copy = Some(answer.clone());
                }
            }
            writer.write_all(&answer)?;
            if req.closes() {
                break;
            }
        }
        Ok(())
    }

    /// Answer to a request, and whether it is a refusal.
    fn respond(&self, req: &Message, id: &str) -> (Vec<u8>, bool) {
        let keep = format!("timeout={KEEP_ALIVE_S}");
        if req.header("x-expected-instance").is_some_and(|expected| expected != self.id) {
            let headers = [("X-Attempt-Id", id), ("X-Not-Executed", "1"), ("Keep-Alive", &keep)];
            return (http::answer(421, &headers, b""), true);
        }
        if !self.enter() {
            self.record.line(format!("{} refuses {id}: full", self.id));
            let headers = [("X-Attempt-Id", id), ("X-Not-Executed", "1"), ("Keep-Alive", &keep)];
            return (http::answer(503, &headers, b""), true);
        }
        *self.runs.lock().unwrap().entry(id.to_owned()).or_default() += 1;
        self.record.line(format!("{} runs {id} {}", self.id, req.path()));
        thread::sleep(self.terms.work);
        self.leave();
        let body = format!("answer of {} to {id}", self.id);
        let stamp = format!("stamp.{}.{id}", self.id);
        let headers = [("X-Attempt-Id", id), ("X-Server-Stamp", &stamp), ("Keep-Alive", &keep)];
        (http::answer(200, &headers, body.as_bytes()), false)
    }

    /// Waits for a slot; false if the queue is full.
    fn enter(&self) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.running >= self.terms.slots {
            if load.waiting >= self.terms.queue {
                return false;
            }
            load.waiting += 1;
            while load.running >= self.terms.slots {
                load = self.freed.wait(load).unwrap();
            }
            load.waiting -= 1;
        }
        load.running += 1;
        true
    }

    fn leave(&self) {
        self.load.lock().unwrap().running -= 1;
        self.freed.notify_one();
    }
}
