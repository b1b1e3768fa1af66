//! Requesters that send small requests on kept channels, and count channels that end without an answer.

use std::{
    collections::HashSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    cluster::{Cluster, Setup, wait_until},
    http::{self, Connection},
    replica::{Replica, Terms},
    util::{self, Record},
};

const DEADLINE: Duration = Duration::from_millis(2000);
const REPLICAS: usize = 3;

/// Host of the route.
pub const HOST: &str = "lookup.example";

/// A route that leads to plain services, with the limits of the users' examples.
pub const DOCUMENT: &str = r#"{"version":1,
"routes":[{"name":"lookup","host":"lookup.example","path_prefix":"/lookup/","kind":"safe","timeout_ms":10000,
 "target_latency_ms":400,"priority":2,"service":"sheets","max_attempts":2}],
"services":[{"name":"sheets","health_path":"/health","connection_limit":96,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// A request that a gateway read on a kept channel, which then ended without an answer.
#[derive(Clone, Debug)]
pub struct Lost {
    pub id: String,
    /// Time from the start of the run at which it was sent.
    pub sent: Duration,
    /// Time at which the channel ended.
    pub ended: Duration,
}

/// What the requesters saw.
#[derive(Default)]
pub struct Seen {
    pub answered: Mutex<u64>,
    pub lost: Mutex<Vec<Lost>>,
}

/// Starts replicas of the service and waits until a gateway reaches them.
pub fn start_replicas(
    cluster: &Cluster,
    work: Duration,
    record: &Arc<Record>,
) -> Setup<Vec<Arc<Replica>>> {
    let terms = Terms { slots: 16, queue: 16, work };
    let mut replicas = Vec::new();
    for i in 0..REPLICAS {
        let id = format!("i-sheets-{i}");
        let started = Replica::start(
            &id,
            "sheets",
            terms.clone(),
            u64::MAX,
            cluster.controls(),
            record.clone(),
        );
        replicas.push(started.map_err(|e| e.to_string())?);
    }
    let address = cluster.frontend(0);
    wait_until("a request is answered", || {
        let id = format!("{:016x}", util::random());
        let headers = [("Host", HOST), ("X-Attempt-Id", id.as_str()), ("X-Deadline-Ms", "2000")];
        let answer = http::call(&address, "POST", "/lookup/first", &headers, b"first", DEADLINE);
        answer.is_ok_and(|a| a.status == 200)
    })?;
    Ok(replicas)
}

/// Starts requesters at a gateway; each sends one request after another on a kept channel until `stop`.
pub fn start_requesters(
    address: &str,
    count: usize,
    seen: &Arc<Seen>,
    stop: &Arc<AtomicBool>,
    record: &Arc<Record>,
) -> Vec<thread::JoinHandle<()>> {
    let start = |_| {
        let (address, seen) = (address.to_owned(), seen.clone());
        let (stop, record) = (stop.clone(), record.clone());
        thread::spawn(move || requester(&address, &seen, &stop, &record))
    };
    (0..count).map(start).collect()
}

fn requester(address: &str, seen: &Seen, stop: &AtomicBool, record: &Record) {
    let mut kept: Option<Connection> = None;
    thread::sleep(Duration::from_millis(util::random() % 300));
    while !stop.load(Ordering::Relaxed) {
        let is_kept = kept.is_some();
        let connection = match kept.take() {
            Some(connection) => Ok(connection),
            None => Connection::open(address, Duration::from_secs(1)),
        };
        let Ok(mut connection) = connection else {
            // The gateway is being started again.
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let id = format!("{:016x}", util::random());
        let headers = [("X-Attempt-Id", id.as_str()), ("X-Deadline-Ms", "2000")];
        let bytes = http::request(HOST, "POST", &format!("/lookup/{id}"), &headers, b"which sheet");
        let (sent, started) = (record.now(), Instant::now());
        let result = connection
            .set_timeout(Some(DEADLINE))
            .and_then(|()| connection.write(&bytes))
            .and_then(|()| connection.read());
        match result {
            Ok(Some(answer)) => {
                record.line(format!(
                    "{id} answered {} after {:?}",
                    answer.status,
                    started.elapsed()
                ));
                *seen.answered.lock().unwrap() += 1;
                if !answer.closes() {
                    kept = Some(connection);
                }
            }
            result => {
                record.line(format!(
                    "{id} sent at {} ms on a kept channel: {is_kept}; it ended: {:?}",
                    sent.as_millis(),
                    result.err()
                ));
                if is_kept {
                    seen.lost.lock().unwrap().push(Lost { id, sent, ended: record.now() });
                }
            }
        }
    }
}

/// Lost requests that a replica ran, so that the gateway had read them and passed them on.
pub fn passed_on(lost: &[Lost], replicas: &[Arc<Replica>]) -> Vec<Lost> {
    let ran: HashSet<String> = replicas.iter().flat_map(|r| r.runs().into_keys()).collect();
    lost.iter().filter(|lost| ran.contains(&lost.id)).cloned().collect()
}
