//! Guards against wrong budgets after a restart of an entry, lost samples, and a picture without readable text.

use std::{
    fs,
    io::{Read, Write},
    net::TcpListener,
    thread,
};

use orioleworks_burn::{app, burn, config::Config, exposition, history, picture, report, requests};
use orioleworks_settings as settings;
use rstest::rstest;

const EXAMPLE: &str = include_str!("../examples/burn.jsonc");
const MINUTE_MS: u64 = 60_000;

/// Metrics of an entry with `ok` successes, of which `slow` took more than 250 ms, and `failed` failures.
fn metrics(ok: u64, slow: u64, failed: u64) -> String {
    let (fast, all) = (ok - slow, ok);
    format!(
        "# TYPE orioleworks_requests_total counter\n\
         orioleworks_requests_total{{profile=\"quality-lookup\",class=\"lookup\",code=\"ok\"}} {ok}\n\
         orioleworks_requests_total{{profile=\"quality-lookup\",class=\"lookup\",code=\"no_upstream\"}} {failed}\n\
         orioleworks_requests_total{{profile=\"quality-lookup\",class=\"lookup\",code=\"bad_request\"}} 7\n\
         orioleworks_request_seconds_bucket{{profile=\"quality-lookup\",class=\"lookup\",le=\"0.25\"}} {fast}\n\
         orioleworks_request_seconds_bucket{{profile=\"quality-lookup\",class=\"lookup\",le=\"+Inf\"}} {all}\n\
         orioleworks_request_seconds_sum{{profile=\"quality-lookup\",class=\"lookup\"}} 1.5\n\
         orioleworks_request_seconds_count{{profile=\"quality-lookup\",class=\"lookup\"}} {all}\n\
         other_metric 3\n"
    )
}

fn sample(minute: u64, entry: &str, text: &str) -> history::Sample {
    let profiles = exposition::parse(text).unwrap();
    history::Sample { at_ms: minute * MINUTE_MS, entry: entry.into(), profiles }
}

fn fixed_history() -> history::History {
    let samples = vec![
        sample(0, "entry-a1", &metrics(1000, 0, 0)),
        sample(59, "entry-a1", &metrics(2000, 20, 1)),
        // The entry restarted, which reset its counters.
        sample(64, "entry-a1", &metrics(100, 10, 2)),
        sample(64, "entry-b1", &metrics(5000, 5000, 500)),
    ];
    history::History { samples, damaged: Vec::new() }
}

fn config() -> Config {
    settings::parse("burn.jsonc", EXAMPLE).unwrap()
}

#[test]
fn a_restart_and_a_first_sample_do_not_distort_the_budget() {
    let cfg = config();
    let burn = burn::profile_burn(&fixed_history().samples, &cfg.objectives[0], 64 * MINUTE_MS);
    // 1000 + 1 before the restart; 100 + 2 and 7 refusals after it; the first sample of entry-b1 is only a baseline.
    let availability = &burn.parts[0];
    assert_eq!(availability.spent, burn::Spent { total: 1110, bad: 3 });
    let expected = 1.0 - 3.0 / 1110.0 / 0.001;
    assert!((availability.budget_left - expected).abs() < 1e-9, "{}", availability.budget_left);
    assert_eq!(burn.parts[1].spent, burn::Spent { total: 1100, bad: 30 });
    assert_eq!(burn.bad_by_code.into_iter().collect::<Vec<_>>(), [(2001, 3)]);
}

#[rstest]
#[case::five_minutes(0, 109.0, 2.0)]
#[case::three_days(3, 1110.0, 3.0)]
fn a_window_takes_in_only_what_is_recent(#[case] at: usize, #[case] total: f64, #[case] bad: f64) {
    let cfg = config();
    let burn = burn::profile_burn(&fixed_history().samples, &cfg.objectives[0], 64 * MINUTE_MS);
    let rate = burn.parts[0].windows[at].rate;
    let expected = bad / total / 0.001;
    assert!(rate.is_some_and(|rate| (rate - expected).abs() < 1e-9), "{rate:?}");
}

#[rstest]
#[case::ok(0, false)]
#[case::fault_of_the_caller(1001, false)]
#[case::in_progress(3003, false)]
#[case::quarantined(2007, false)]
#[case::no_upstream(2001, true)]
#[case::unknown_outcome(3001, true)]
#[case::unknown_code(9999, true)]
fn only_faults_of_the_service_spend_budget(#[case] code: u32, #[case] spends: bool) {
    assert_eq!(burn::spends_budget(code), spends);
}

#[test]
fn the_log_names_the_slowest_and_the_failed_requests() {
    let log = "ts_ms=1 level=info event=request_finished request_id=r1 profile=quality-lookup code=0 ms=300\n\
               ts_ms=2 level=info event=request_finished request_id=\"r 2\" profile=quality-lookup code=2001 ms=5\n\
               ts_ms=3 level=info event=request_finished request_id=r3 profile=quality-lookup code=0 ms=900.5\n\
               ts_ms=4 level=info event=request_finished request_id=r4 profile=gate-slot code=2001 ms=5\n\
               ts_ms=5 level=warn event=other request=r5\n";
    let spenders = requests::spenders(&requests::parse(log), &config().objectives[0]);
    let slowest: Vec<&str> = spenders.slowest.iter().map(|r| r.request.as_str()).collect();
    assert_eq!(slowest, ["r3", "r1"]);
    assert_eq!(spenders.failed["2001 no_upstream"][0].request, "r 2");
}

#[rstest]
#[case::no_value("orioleworks_requests_total{profile=\"p\",code=\"ok\"}")]
#[case::open_quote("orioleworks_requests_total{profile=\"p} 1")]
#[case::no_code("orioleworks_requests_total{profile=\"p\"} 1")]
fn malformed_metrics_are_refused_with_the_line(#[case] text: &str) {
    let error = exposition::parse(text).unwrap_err();
    assert!(error.starts_with("line 1:"), "{error}");
}

#[test]
fn a_line_cut_off_by_a_crash_loses_only_itself() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("history.jsonl");
    let samples = fixed_history().samples;
    history::append(&path, &samples[..1]).unwrap();
    let mut text = fs::read_to_string(&path).unwrap();
    text.push_str("{\"at_ms\": 5, \"ent");
    fs::write(&path, text).unwrap();
    history::append(&path, &samples[1..]).unwrap();
    let read = history::read(&path).unwrap();
    assert_eq!(read.damaged, [2]);
    assert_eq!(read.samples, samples);
}

#[test]
fn the_report_is_the_same_in_text_and_json() {
    let report = report::build(&config(), &fixed_history(), &[], None);
    let text = report.text();
    assert!(
        text.contains("availability: objective 99.900%, 3 of 1110 requests missed it"),
        "{text}"
    );
    assert!(text.contains("failed: 3 with 2001 no_upstream"), "{text}");
    assert!(text.contains("5m no requests"), "{text}");
    let json = serde_json::to_value(&report).unwrap();
    assert_eq!(json["profiles"][0]["parts"][0]["spent"]["bad"], 3);
}

#[test]
fn the_picture_has_its_text_as_text() {
    let svg = picture::draw(&config(), &fixed_history(), 64 * MINUTE_MS).unwrap();
    assert!(svg.starts_with("<svg") && svg.trim_end().ends_with("</svg>"));
    for text in ["Error budget left", "quality-lookup availability", "hours before the report"] {
        assert!(svg.contains(text), "no text `{text}`");
    }
    assert!(svg.contains("<text") && !svg.contains("href"));
}

#[test]
fn a_threshold_between_buckets_is_refused() {
    let text = EXAMPLE.replace("\"threshold_ms\": 250", "\"threshold_ms\": 300");
    let error = settings::parse::<Config>("burn.jsonc", &text).unwrap_err().to_string();
    assert!(error.contains("objectives[0].latency.threshold_ms"), "{error}");
}

#[test]
fn an_entry_without_metrics_does_not_hide_the_others() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let read = stream.read(&mut [0; 4096]).unwrap();
        let body = metrics(10, 1, 2);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes()).unwrap();
        read
    });
    let dir = tempfile::tempdir().unwrap();
    let mut cfg = config();
    cfg.history = dir.path().join("history.jsonl");
    cfg.entries[0].http = address;
    // Port 9 of the loopback address has no listener.
    cfg.entries[1].http = "127.0.0.1:9".parse().unwrap();
    let runtime = compio::runtime::Runtime::new().unwrap();
    let missing = runtime.block_on(app::sample_round(&cfg)).unwrap();
    assert!(server.join().unwrap() > 0);
    assert_eq!(missing, 1);
    let read = history::read(&cfg.history).unwrap();
    assert_eq!(read.samples.len(), 1);
    assert_eq!(read.samples[0].profiles["quality-lookup"].by_code[&2001], 2);
}
