//! Guards against settings mistakes that are accepted silently or refused without a location.

use orioleworks_settings::{Problems, Settings, parse};
use rstest::rstest;
use serde::Deserialize;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Sample {
    listen: Listen,
    #[serde(default)]
    peers: Vec<Peer>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Listen {
    port: u32,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Peer {
    #[allow(dead_code)]
    name: String,
}

impl Settings for Sample {
    fn check(&self, problems: &mut Problems) {
        problems.range("listen.port", self.listen.port, 1..=65_535, "(TCP port)");
    }
}

#[rstest]
#[case::unknown_key(
    "{\n  \"listen\": { \"port\": 1,\n    \"prot\": 2 }\n}",
    "f:3: key `listen.prot`: unknown field"
)]
#[case::wrong_type(
    "{\n  \"listen\": {\n    \"port\": \"x\"\n  }\n}",
    "f:3: key `listen.port`: invalid type"
)]
#[case::out_of_range(
    "{\n  // a comment\n  \"listen\": { \"port\": 70000 }\n}",
    "f:3: key `listen.port`: 70000 is outside 1..=65535 (TCP port)"
)]
#[case::missing_key("{\n  \"listen\": {}\n}", "f:2: key `listen`: missing field `port`")]
#[case::in_an_array(
    "{\n \"listen\": {\"port\": 1},\n \"peers\": [\n  {\"name\": \"a\"},\n  {\"name\": 3}\n ]\n}",
    "f:5: key `peers[1].name`: invalid type"
)]
#[case::broken_syntax("{\n  \"listen\": {\n", "f:")]
#[case::empty("", "f:1: ")]
fn a_refusal_names_file_line_key_and_reason(#[case] text: &str, #[case] expected: &str) {
    let message = parse::<Sample>("f", text).unwrap_err().to_string();
    assert!(message.starts_with(expected), "{message:?} does not start with {expected:?}");
}

#[test]
fn comments_and_trailing_commas_are_accepted() {
    let text = "{ // port\n \"listen\": { \"port\": 80, }, /* none */ }";
    let sample = parse::<Sample>("f", text).unwrap();
    assert_eq!((sample.listen.port, sample.peers.len()), (80, 0));
}
