//! Guards against orders that are carried out twice, conflicts that are not shown, and `--wait` that ends too early.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use argh::FromArgs;
use compio::{net::TcpListener, runtime::Runtime};
use orioleworks_ctl::{app, cli::Options};
use orioleworks_daemon::rpc;
use orioleworks_proto::{
    codes::{ResultCode, exit},
    inner::{self, command::Kind, frame::Body},
};
use rstest::rstest;
use tokio_util::sync::CancellationToken;

/// Control replica that stores profiles with their revisions and order results by ID.
#[derive(Default)]
struct FakeControl {
    revision: u64,
    profiles: Vec<inner::VersionedProfile>,
    results: HashMap<String, inner::ProposeReply>,
    /// Revision that the entry `entry-b1` has applied; `entry-a1` always has the newest one.
    lagging: u64,
}

impl FakeControl {
    fn handle(&mut self, body: Body) -> Option<Body> {
        match body {
            Body::Propose(propose) => {
                if let Some(reply) = self.results.get(&propose.order_id) {
                    return Some(Body::ProposeReply(reply.clone()));
                }
                let reply = self.apply(propose.command?);
                self.results.insert(propose.order_id, reply.clone());
                Some(Body::ProposeReply(reply))
            }
            Body::Status(_) => Some(Body::StatusReply(self.status())),
            _ => None,
        }
    }

    fn apply(&mut self, command: inner::Command) -> inner::ProposeReply {
        let named =
            |v: &inner::VersionedProfile, name: &str| v.profile.as_ref().unwrap().name == name;
        if let Some(Kind::PutProfile(profile)) = command.kind {
            let held =
                self.profiles.iter().find(|v| named(v, &profile.name)).map_or(0, |v| v.revision);
            if command.expected_revision.is_some_and(|expected| expected != held) {
                let code = ResultCode::Conflict.number();
                return inner::ProposeReply { code, revision: held, ..Default::default() };
            }
            self.revision += 1;
            self.profiles.retain(|v| !named(v, &profile.name));
            let versioned =
                inner::VersionedProfile { revision: self.revision, profile: Some(profile) };
            self.profiles.push(versioned);
        } else {
            self.revision += 1;
        }
        inner::ProposeReply { revision: self.revision, ..Default::default() }
    }

    fn status(&self) -> inner::StatusReply {
        let entry = |name: &str, applied_revision| inner::EntryStatus {
            entry: Some(inner::EntryIdentity { name: name.into(), ..Default::default() }),
            applied_revision,
            last_seen_ms: 10,
        };
        inner::StatusReply {
            is_leader: true,
            term: 3,
            config: Some(inner::Config {
                revision: self.revision,
                profiles: self.profiles.clone(),
                ..Default::default()
            }),
            entries: vec![entry("entry-a1", self.revision), entry("entry-b1", self.lagging)],
            ..Default::default()
        }
    }
}

/// Runs commands one after the other against one fake control replica.
fn run(fake: FakeControl, commands: &[&str]) -> Vec<app::Output> {
    Runtime::new().unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let fake = Rc::new(RefCell::new(fake));
        let handler = move |body| {
            let reply = fake.borrow_mut().handle(body);
            async move { reply }
        };
        let token = CancellationToken::new();
        compio::runtime::spawn(rpc::serve(listener, token, handler)).detach();
        let mut outputs = Vec::new();
        for command in commands {
            let line = format!("--control {address} {command}");
            let args: Vec<&str> = line.split(' ').collect();
            let options = Options::from_args(&["orioleworksctl"], &args).unwrap();
            outputs.push(app::execute(&options, Duration::from_millis(300)).await);
        }
        outputs
    })
}

const ADD: &str = "add-profile scorer --upstream-kind scorer-llm --class rollout --idempotent true";

#[test]
fn a_resend_with_the_same_order_id_is_carried_out_once() {
    let add = format!("{ADD} --order-id o-1");
    let outputs = run(FakeControl::default(), &[&add, &add]);
    for output in outputs {
        assert_eq!(output.code, exit::OK);
        assert_eq!(output.text, "order o-1\n0 ok: done\nrevision 1\n");
    }
}

#[test]
fn a_generated_order_id_is_printed() {
    let outputs = run(FakeControl::default(), &[ADD]);
    let first = outputs[0].text.lines().next().unwrap();
    assert_eq!(first.len(), "order ".len() + 32);
}

#[rstest]
#[case::added_twice(ADD, 1)]
#[case::old_revision("change-profile scorer --share 4 --expect 7", 1)]
fn a_conflict_names_the_revision_of_the_winner(#[case] second: &str, #[case] winner: u64) {
    let outputs = run(FakeControl::default(), &[ADD, second]);
    assert_eq!(outputs[1].code, exit::REFUSED);
    let expected = format!("5001 conflict: {}\nwinner's revision {winner}\n", ResultCode::Conflict);
    assert!(outputs[1].text.ends_with(&expected), "{}", outputs[1].text);
}

#[test]
fn a_change_keeps_what_it_does_not_name() {
    let outputs = run(
        FakeControl::default(),
        &[ADD, "change-profile scorer --share 4", "--json list profiles"],
    );
    let listed: serde_json::Value = serde_json::from_str(&outputs[2].text).unwrap();
    assert_eq!(listed[0]["share"], 4);
    assert_eq!(listed[0]["class"], "rollout");
    assert_eq!(listed[0]["revision"], 2);
}

#[rstest]
#[case::behind(0, exit::NOT_IN_FORCE, "not in force\nmissing entry-b1 at revision 0\n")]
#[case::reached(1, exit::OK, "in force on every live entry\n")]
fn waiting_ends_when_every_live_entry_has_the_revision(
    #[case] lagging: u64,
    #[case] code: i32,
    #[case] end: &str,
) {
    let outputs =
        run(FakeControl { lagging, ..FakeControl::default() }, &[&format!("{ADD} --wait")]);
    assert_eq!(outputs[0].code, code);
    assert!(outputs[0].text.ends_with(end), "{}", outputs[0].text);
}

#[test]
fn tables_and_json_show_the_revision_of_each_entry() {
    let outputs = run(
        FakeControl::default(),
        &[
            "stop-upstream scorer-7",
            "list entries",
            "--json list entries",
            "--json stop-upstream a --wait",
        ],
    );
    let expected = "entry     domain  http_address  revision  behind  last_seen_ms\n\
                    entry-a1  -       -             1         0       10\n\
                    entry-b1  -       -             0         1       10\n";
    assert_eq!(outputs[1].text, expected);
    let listed: serde_json::Value = serde_json::from_str(&outputs[2].text).unwrap();
    assert_eq!(listed[1]["behind"], 1);
    let waited: serde_json::Value = serde_json::from_str(&outputs[3].text).unwrap();
    assert_eq!(waited["wait"]["missing"][0]["entry"], "entry-b1");
}

#[rstest]
#[case::unknown_list("list lists", exit::FAILED, "cannot list `lists`")]
#[case::missing_value("add-profile x --class lookup", exit::FAILED, "needs upstream_kind")]
#[case::wrong_class("change-profile x --class fast", exit::FAILED, "accepted are lookup")]
#[case::unknown_profile("change-profile x --share 2", exit::FAILED, "no profile `x`")]
fn a_wrong_command_says_what_is_accepted(
    #[case] command: &str,
    #[case] code: i32,
    #[case] reason: &str,
) {
    let outputs = run(FakeControl::default(), &[command]);
    assert_eq!(outputs[0].code, code);
    assert!(outputs[0].error.contains(reason), "{}", outputs[0].error);
}

/// Guards against a list of upstreams that looks complete although no entry of a domain responds.
#[test]
fn a_silent_failure_domain_is_named() {
    let outputs = run(FakeControl::default(), &["list live"]);
    assert_eq!(outputs[0].code, exit::FAILED);
    assert!(outputs[0].error.starts_with("no entry answers in"), "{}", outputs[0].error);
}

#[test]
fn an_unreachable_control_is_a_failure_with_the_order_id() {
    // Port 9 of the loopback address has no listener.
    let args = [
        "--control",
        "127.0.0.1:9",
        "--timeout-ms",
        "200",
        "stop-upstream",
        "u",
        "--order-id",
        "o",
    ];
    let options = Options::from_args(&["orioleworksctl"], &args).unwrap();
    let output = Runtime::new().unwrap().block_on(app::execute(&options, Duration::from_millis(1)));
    assert_eq!(output.code, exit::FAILED);
    assert!(output.text.starts_with("order o\n5003 no_quorum"), "{}", output.text);
}

#[test]
fn an_order_is_named_before_it_is_sent() {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_orioleworksctl"))
        .args(["--control", "127.0.0.1:9", "--timeout-ms", "100"])
        .args(["retire-profile", "scorer", "--order-id", "o-7"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(exit::FAILED));
    assert!(String::from_utf8(output.stderr).unwrap().starts_with("sending order o-7\n"));
}

#[test]
fn the_example_files_are_valid() {
    let example = |name| format!("{}/examples/{name}", env!("CARGO_MANIFEST_DIR"));
    let add = format!("add-profile --file {}", example("profile.jsonc"));
    let outputs = run(FakeControl::default(), &[&add, "list profiles"]);
    assert_eq!(outputs[0].code, exit::OK, "{}", outputs[0].error);
    assert!(outputs[1].text.contains("scorer-llm"), "{}", outputs[1].text);
    let args = ["--config", &example("ctl.jsonc"), "status"];
    let options = Options::from_args(&["orioleworksctl"], &args).unwrap();
    assert_eq!(orioleworks_ctl::config::addresses(&options).unwrap().len(), 3);
}
