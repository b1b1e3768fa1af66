//! Replicas of two program versions in one log.

mod support;

use std::{cell::Cell, rc::Rc, time::Duration};

use compio::time;
use orioleworks_daemon::http;
use orioleworks_proto::{PROTOCOL, inner::frame::Body};
use support::{command, leader, replica, run, settings, start, start_with};
use tokio_util::sync::CancellationToken;

/// Replies of a replica that says nothing of what it understands.
fn without_protocol(reply: Body) -> Body {
    match reply {
        Body::AppendReply(mut reply) => {
            reply.protocol = 0;
            Body::AppendReply(reply)
        }
        Body::StatusReply(mut reply) => {
            reply.protocol = 0;
            Body::StatusReply(reply)
        }
        other => other,
    }
}

/// Guards against entries that a voter of an earlier version would lose, and against a gate that stays closed after its update.
#[test]
fn a_voter_of_an_earlier_version_is_known_until_it_is_updated() {
    run(async {
        let directories = [tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap()];
        let a = http::bind("127.0.0.1:0").await.unwrap();
        let b = http::bind("127.0.0.1:0").await.unwrap();
        let replicas = [replica("a", &a), replica("b", &b)];
        let token = CancellationToken::new();
        let updated = Rc::new(Cell::new(false));
        let is_updated = updated.clone();
        let change = move |reply| if is_updated.get() { reply } else { without_protocol(reply) };
        let mut later = settings("b", directories[1].path(), &replicas);
        // The replica of the current version leads.
        (later.election_min, later.election_max) =
            (Duration::from_secs(20), Duration::from_secs(25));
        let logs = [
            start(settings("a", directories[0].path(), &replicas), a, Duration::ZERO, &token),
            start_with(later, b, Duration::ZERO, &token, change),
        ];
        let (log, _) = leader(&logs).await;
        log.propose("first", command(String::new())).await.unwrap();
        assert!(log.voters_understand(0));
        assert!(!log.voters_understand(PROTOCOL));
        updated.set(true);
        while !log.voters_understand(PROTOCOL) {
            time::sleep(Duration::from_millis(20)).await;
        }
        token.cancel();
    });
}

/// Guards against a gate that is closed at the start of a cluster whose voters are all of the current version, one of which
/// may be down.
#[test]
fn founders_are_recorded_with_what_they_understand() {
    run(async {
        let directories = [tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap()];
        let a = http::bind("127.0.0.1:0").await.unwrap();
        let b = http::bind("127.0.0.1:0").await.unwrap();
        let replicas = [replica("a", &a), replica("b", &b)];
        let token = CancellationToken::new();
        let settings = |name, i: usize| settings(name, directories[i].path(), &replicas);
        let logs = [
            start(settings("a", 0), a, Duration::ZERO, &token),
            start(settings("b", 1), b, Duration::ZERO, &token),
        ];
        let (log, _) = leader(&logs).await;
        assert!(log.voters_understand(PROTOCOL));
        let members = log.membership().members;
        assert!(members.iter().all(|m| m.protocol == PROTOCOL), "{members:?}");
        token.cancel();
    });
}
