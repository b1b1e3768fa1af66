//! Texts of results on the disks of the stores: what has left the memory reads the same for ever.

mod support;

use std::{
    fs,
    io::{Read, Seek, SeekFrom, Write},
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use support::{
    client,
    deployment::{Deployment, Process},
    routes::{self, MODEL},
    upstream::{Upstream, padded_item_text},
};

/// Memory limit of a store in the tests, in megabytes. A tenth of it is kept for texts.
const MEMORY_MB: usize = 32;
/// Length of the text that is added to each event; a text is about 48 KB long once compressed.
const EVENT_PADDING: u64 = 8 * 1024;
const ITEMS: usize = 100;
/// Batches whose results exceed twice the size of the log from which a snapshot is taken, so that entries are dropped.
const BATCHES: usize = 7;

fn start() -> (Deployment, Vec<Upstream>) {
    let document = routes::document(1, 5000).to_string();
    let d = Deployment::start_sized(3, 1, &document, false, MEMORY_MB);
    let engine = |i| {
        let engine =
            Upstream::start(&format!("e-{i}"), "engines", Some(MODEL), d.control_addresses());
        engine.behaviour.event_padding.store(EVENT_PADDING, Ordering::Relaxed);
        engine
    };
    let engines = (0..6).map(engine).collect();
    (d, engines)
}

fn submit(d: &Deployment, batch: usize) {
    let id = format!("batch-{batch}");
    let items: Vec<String> = (0..ITEMS).map(|i| format!("b{batch}-{i}")).collect();
    let body = routes::submission(&items, 1, |_| "g1");
    d.wait_until("the batch is accepted", || {
        let response = d.send(0, "POST", &format!("/batch/{id}"), &id, &body);
        response.is_some_and(|response| response.status == 202)
    });
}

/// Reads all results of a batch, checks their texts and returns the IDs by position.
fn read(d: &Deployment, batch: usize) -> Vec<String> {
    let until = Instant::now() + Duration::from_secs(60);
    let mut listed = Vec::new();
    while listed.len() < ITEMS {
        assert!(Instant::now() < until, "{} of {ITEMS} results\n{}", listed.len(), d.logs());
        let path = format!("/v1/lots/batch-{batch}?after={}", listed.len());
        let headers = [("X-Wait-Ms", "1000")];
        let response = client::call(&d.gateway_address(0), "GET", &path, &headers, "").unwrap();
        if response.status != 200 {
            assert!(
                [503, 504].contains(&response.status),
                "a batch that exists: {}",
                response.body
            );
            thread::sleep(Duration::from_millis(50));
            continue;
        }
        for result in response.json()["results"].as_array().unwrap() {
            let id = result["id"].as_str().unwrap();
            let text = result["event_data"].as_str().unwrap();
            assert!(text == padded_item_text(id, EVENT_PADDING), "the text of {id} differs");
            listed.push(id.to_owned());
        }
    }
    listed
}

fn text_files(d: &Deployment, store: usize) -> Vec<fs::DirEntry> {
    let files = fs::read_dir(d.store_data(store).join("texts"));
    files.into_iter().flatten().map(Result::unwrap).collect()
}

/// Restarts the other stores until a given one leads.
fn make_leader(d: &mut Deployment, wanted: usize) {
    let until = Instant::now() + Duration::from_secs(60);
    while d.leader() != Some(wanted) {
        assert!(Instant::now() < until, "store {wanted} does not lead\n{}", d.logs());
        let others: Vec<usize> = (0..d.stores.len()).filter(|store| *store != wanted).collect();
        for other in &others {
            d.stores[*other] = None;
        }
        // Without a leader it stands for election all the time, and the others wait after their start.
        thread::sleep(Duration::from_secs(1));
        for other in &others {
            d.start_store(*other, false);
        }
        thread::sleep(Duration::from_secs(2));
    }
}

/// Guards against a listed result that reads otherwise after a restart, from another leader, or from a store that installed a
/// snapshot, once its text is on disk.
#[test]
fn texts_on_disk_read_the_same_at_every_store_and_after_restarts() {
    let (mut d, _engines) = start();
    let listed: Vec<Vec<String>> = (0..BATCHES)
        .map(|batch| {
            submit(&d, batch);
            read(&d, batch)
        })
        .collect();
    let read_all = |d: &Deployment| (0..BATCHES).map(|batch| read(d, batch)).collect::<Vec<_>>();
    for store in 0..3 {
        d.wait_until("each store has texts on disk", || !text_files(&d, store).is_empty());
    }
    assert!(read_all(&d) == listed, "from the same leader");
    let first = d.leader().unwrap();
    d.stores[first] = None;
    assert!(read_all(&d) == listed, "from the next leader");
    d.wipe_store(first);
    d.start_store(first, false);
    let name = format!("store-{first}/");
    d.wait_until("the wiped store installed a snapshot and votes again", || {
        let installed = |p: &Process| p.log().contains("event=snapshot_installed");
        let logs = d.stores.iter().flatten().map(Process::log);
        let promoted = |log: String| {
            log.lines().any(|l| l.contains("step=learner_promoted") && l.contains(&name))
        };
        installed(d.stores[first].as_ref().unwrap()) && logs.into_iter().any(promoted)
    });
    make_leader(&mut d, first);
    assert!(read_all(&d) == listed, "from the store that installed a snapshot");
    for store in 0..3 {
        d.stores[store] = None;
    }
    for store in 0..3 {
        d.start_store(store, false);
    }
    assert!(read_all(&d) == listed, "after a restart of all");
}

/// Guards against figures of memory that do not tell texts in memory from texts on disk.
#[test]
fn figures_tell_texts_in_memory_from_texts_on_disk() {
    let (d, _engines) = start();
    submit(&d, 0);
    read(&d, 0);
    let leader = d.leader().unwrap();
    let figure = |name: &str| {
        let metrics = client::call(&d.control_address(leader), "GET", "/metrics", &[], "").unwrap();
        let name = format!(r#"orioleworks_memory_bytes{{use="{name}"}} "#);
        let value = metrics.body.lines().find_map(|line| line.strip_prefix(&name))?;
        Some(value.parse::<f64>().unwrap() as u64)
    };
    let size = |file: fs::DirEntry| file.metadata().unwrap().len();
    d.wait_until("the texts on disk are counted", || {
        let on_disk: u64 = text_files(&d, leader).into_iter().map(size).sum();
        on_disk > 0 && figure("texts_on_disk") == Some(on_disk)
    });
    let in_memory = figure("texts").unwrap();
    assert!(in_memory > 0 && in_memory <= (MEMORY_MB << 20) as u64 / 10, "{in_memory} bytes");
    let log = d.stores[leader].as_ref().unwrap().log();
    let grown = log.lines().filter(|line| line.contains("event=memory_grown"));
    assert!(grown.clone().count() > 0);
    assert!(grown.clone().all(|line| line.contains(" texts_on_disk_kb=")), "{log}");
}

/// Guards against a wrong text, or results that are denied, after a disk damaged the file of texts.
#[test]
fn a_damaged_text_is_refused_until_the_store_has_restored_it() {
    let (mut d, _engines) = start();
    submit(&d, 0);
    let listed = read(&d, 0);
    let leader = d.leader().unwrap();
    d.wait_until("the leader has texts on disk", || !text_files(&d, leader).is_empty());
    let path = text_files(&d, leader)[0].path();
    let mut file = fs::File::options().read(true).write(true).open(&path).unwrap();
    let mut byte = [0];
    file.seek(SeekFrom::Start(100)).unwrap();
    file.read_exact(&mut byte).unwrap();
    file.seek(SeekFrom::Start(100)).unwrap();
    file.write_all(&[byte[0] ^ 1]).unwrap();
    assert!(read(&d, 0) == listed, "from the next leader");
    let store = d.stores[leader].as_ref().unwrap();
    assert_eq!(store.wait(Duration::from_secs(10)), Some(12), "{}", store.log());
    assert!(store.log().contains("event=text_file_failed"), "{}", store.log());
    d.start_store(leader, false);
    make_leader(&mut d, leader);
    assert!(read(&d, 0) == listed, "from the same store after its restart");
}
