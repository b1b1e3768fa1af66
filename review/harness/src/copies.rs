//! Case 1: a replica sends a second copy of an answer, late, and the answer was a refusal.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
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

const REPLICAS: usize = 3;
const GATEWAYS: usize = 2;
const REQUESTERS: usize = 40;
/// Each 34th answer is sent once more: 2.94 %, at most 3 % are allowed.
const COPY_EVERY: u64 = 34;
/// Replicas that send copies: a third of them; 60 % are allowed.
const AFFECTED: usize = 1;
/// Length of one disruption; 5 s are allowed.
const WINDOW: Duration = Duration::from_millis(5000);
const WINDOWS: usize = 5;
const PAUSE: Duration = Duration::from_millis(3000);
const DEADLINE: Duration = Duration::from_millis(2000);

const DOCUMENT: &str = r#"{"version":1,
"routes":[{"name":"book","host":"portal.example","path_prefix":"/book/","kind":"unsafe","timeout_ms":2000,
 "target_latency_ms":150,"priority":2,"service":"portal","max_attempts":2}],
"services":[{"name":"portal","health_path":"/health","connection_limit":96,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Answers by request ID; 0 for none.
type Answers = Arc<Mutex<HashMap<String, u16>>>;

/// Runs the case; returns whether the rule held.
pub fn run() -> Setup<bool> {
    let record = Arc::new(Record::create()?);
    let cluster = Cluster::start(3, GATEWAYS, DOCUMENT)?;
    let terms = Terms { slots: 6, queue: 4, work: Duration::from_millis(25) };
    let mut replicas = Vec::new();
    for i in 0..REPLICAS {
        let id = format!("i-portal-{i}");
        let started = Replica::start(
            &id,
            "portal",
            terms.clone(),
            COPY_EVERY,
            cluster.controls(),
            record.clone(),
        );
        replicas.push(started.map_err(|e| e.to_string())?);
    }
    for i in 0..GATEWAYS {
        let address = cluster.frontend(i);
        wait_until("a request is answered", || {
            let id = format!("{:016x}", util::random());
            let headers = [
                ("Host", "portal.example"),
                ("X-Attempt-Id", id.as_str()),
                ("X-Deadline-Ms", "2000"),
            ];
            let answer = http::call(&address, "POST", "/book/warm", &headers, b"warm", DEADLINE);
            answer.is_ok_and(|a| a.status == 200)
        })?;
    }
    let (answers, stop) = (Answers::default(), Arc::new(AtomicBool::new(false)));
    let sent = Arc::new(AtomicU64::new(0));
    let requesters: Vec<_> = (0..REQUESTERS)
        .map(|i| {
            let (address, answers) = (cluster.frontend(i % GATEWAYS), answers.clone());
            let (stop, sent, record) = (stop.clone(), sent.clone(), record.clone());
            thread::spawn(move || requester(&address, &answers, &stop, &sent, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    for _ in 0..WINDOWS {
        if util::trouble() {
            record
                .say("replica i-portal-0 begins to send copies of 2.94 % of its answers, for 5 s");
            replicas[..AFFECTED].iter().for_each(|r| r.copies.store(true, Ordering::Relaxed));
        }
        thread::sleep(WINDOW);
        replicas.iter().for_each(|r| r.copies.store(false, Ordering::Relaxed));
        thread::sleep(PAUSE);
    }
    stop.store(true, Ordering::Relaxed);
    for requester in requesters {
        requester.join().map_err(|_| "a requester failed")?;
    }
    // Whatever was accepted has run by then.
    thread::sleep(Duration::from_secs(3));
    let mut runs: HashMap<String, u32> = HashMap::new();
    for replica in &replicas {
        for (id, count) in replica.runs() {
            *runs.entry(id).or_default() += count;
        }
    }
    let answers = answers.lock().unwrap().clone();
    let mut twice = 0;
    for (id, count) in runs.iter().filter(|(_, count)| **count > 1) {
        twice += 1;
        record.line(format!("TWICE: {id} ran {count} times, answered {:?}", answers.get(id)));
    }
    let mut refused = 0;
    let promised = |status: &u16| matches!(status, 408 | 421 | 429 | 503);
    for (id, status) in answers.iter().filter(|(_, status)| promised(status)) {
        if let Some(count) = runs.get(id) {
            refused += 1;
            record.line(format!("REFUSED: {id} was answered {status} and ran {count} times"));
        }
    }
    for r in &replicas[..AFFECTED] {
        let of = |n: &AtomicU64| n.load(Ordering::Relaxed);
        record.say(format!(
            "{}: {} answers during the disruption, {} copies sent, {} refusals chosen for a copy",
            r.id,
            of(&r.answers_in_window),
            of(&r.copies_sent),
            of(&r.refusals_copied)
        ));
    }
    let count = |status: u16| answers.values().filter(|s| **s == status).count();
    record.say(format!(
        "{} requests sent: {} answered 200, {} 503, {} 502, {} 504, {} without an answer",
        sent.load(Ordering::Relaxed),
        count(200),
        count(503),
        count(502),
        count(504),
        count(0)
    ));
    record.say(format!("TWICE broken by {twice} requests, REFUSED by {refused}"));
    if count(200) < 500 {
        return Err("the system served too little for the case to count".into());
    }
    Ok(twice == 0 && refused == 0)
}

/// Sends one request after another on a kept connection. After a promise that a request has not run it waits as long as
/// it is told and sends a new attempt with an ID of its own.
fn requester(
    address: &str,
    answers: &Answers,
    stop: &AtomicBool,
    sent: &AtomicU64,
    record: &Record,
) {
    let mut kept: Option<Connection> = None;
    while !stop.load(Ordering::Relaxed) {
        let id = format!("{:016x}", util::random());
        let headers = [("X-Attempt-Id", id.as_str()), ("X-Deadline-Ms", "2000")];
        let body = format!("booking {id}");
        let bytes = http::request(
            "portal.example",
            "POST",
            &format!("/book/{id}"),
            &headers,
            body.as_bytes(),
        );
        sent.fetch_add(1, Ordering::Relaxed);
        let started = Instant::now();
        let connection = match kept.take() {
            Some(connection) => Ok(connection),
            None => Connection::open(address, Duration::from_secs(1)),
        };
        let result = connection.and_then(|mut connection| {
            connection.set_timeout(Some(DEADLINE))?;
            connection.write(&bytes)?;
            Ok((connection.read()?, connection))
        });
        let ms = started.elapsed().as_millis();
        let Ok((Some(answer), connection)) = result else {
            record.line(format!("{id} sent, no answer after {ms} ms"));
            answers.lock().unwrap().insert(id, 0);
            continue;
        };
        record.line(format!("{id} sent, answered {} after {ms} ms", answer.status));
        answers.lock().unwrap().insert(id, answer.status);
        if !answer.closes() {
            kept = Some(connection);
        }
        if answer.status == 503 {
            let wait =
                answer.header("retry-after").and_then(|s| s.parse::<f64>().ok()).unwrap_or(0.1);
            thread::sleep(Duration::from_secs_f64(wait.clamp(0.0, DEADLINE.as_secs_f64() / 3.0)));
        }
    }
}
