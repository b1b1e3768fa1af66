//! Guards against inner connections that mix up replies, block on malformed data, or report after a lost connection
//! that nothing was sent.

use std::{cell::Cell, io::Write, rc::Rc, time::Duration};

use compio::net::TcpListener;
use orioleworks_daemon::rpc;
use orioleworks_proto::inner::{self, frame::Body};
use rstest::rstest;
use tokio_util::sync::CancellationToken;

const TIMEOUT: Duration = Duration::from_secs(2);

fn status(commit_index: u64) -> Body {
    Body::StatusReply(inner::StatusReply { commit_index, ..Default::default() })
}

fn watch(applied_revision: u64, wait_ms: u32) -> Body {
    Body::Watch(inner::Watch { applied_revision, wait_ms, ..Default::default() })
}

/// Replies to a watch with its revision after its wait time, and to nothing else.
async fn start_server() -> (String, CancellationToken) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let token = CancellationToken::new();
    let served = token.clone();
    compio::runtime::spawn(rpc::serve(listener, served, |body| async move {
        let Body::Watch(watch) = body else { return None };
        compio::time::sleep(Duration::from_millis(watch.wait_ms.into())).await;
        Some(status(watch.applied_revision))
    }))
    .detach();
    (address, token)
}

#[compio::test]
async fn crossed_replies_reach_their_own_requests() {
    let (address, _token) = start_server().await;
    let client = rpc::Client::new(address);
    let calls = (0..50_u64).map(|i| {
        let client = client.clone();
        // Later requests get their responses first.
        async move { (i, client.call(watch(i, 100 - 2 * i as u32), TIMEOUT).await) }
    });
    for (i, reply) in futures_util::future::join_all(calls).await {
        assert_eq!(reply, Ok(status(i)));
    }
}

#[compio::test]
async fn a_late_reply_is_not_given_to_the_next_request() {
    let (address, _token) = start_server().await;
    let client = rpc::Client::new(address);
    let late = client.call(watch(1, 200), Duration::from_millis(50)).await;
    assert_eq!(late, Err(rpc::RpcError::Timeout));
    assert_eq!(client.call(watch(2, 300), TIMEOUT).await, Ok(status(2)));
}

#[rstest]
#[case::oversized_length(&[0xff, 0xff, 0xff, 0xff, 1, 2, 3])]
#[case::not_a_message(&[0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff])]
#[case::message_without_body(&[0, 0, 0, 2, 0x08, 0x01])]
fn garbage_closes_its_connection_and_no_other(#[case] bytes: &'static [u8]) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let (address, _token) = start_server().await;
        let client = rpc::Client::new(address.clone());
        assert_eq!(client.call(watch(1, 0), TIMEOUT).await, Ok(status(1)));
        let closed = compio::runtime::spawn_blocking(move || {
            let mut stream = std::net::TcpStream::connect(address).unwrap();
            stream.set_read_timeout(Some(TIMEOUT)).unwrap();
            stream.write_all(bytes).unwrap();
            std::io::Read::read(&mut stream, &mut [0; 8])
        })
        .await
        .unwrap();
        assert!(
            matches!(closed, Ok(0))
                || closed.is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset)
        );
        assert_eq!(client.call(watch(2, 0), TIMEOUT).await, Ok(status(2)));
    });
}

#[compio::test]
async fn only_an_unreachable_peer_promises_that_nothing_was_sent() {
    let (address, token) = start_server().await;
    let client = rpc::Client::new(address.clone());
    let outcome = Rc::new(Cell::new(None));
    let (call, seen) = (client.clone(), outcome.clone());
    let task = compio::runtime::spawn(async move {
        seen.set(Some(call.call(watch(1, 1000), TIMEOUT).await));
    });
    compio::time::sleep(Duration::from_millis(100)).await;
    token.cancel();
    task.await.unwrap();
    assert_eq!(outcome.take(), Some(Err(rpc::RpcError::ConnectionLost)));
    let unreachable = client.call(watch(2, 0), TIMEOUT).await;
    assert_eq!(unreachable, Err(rpc::RpcError::Unreachable(address)));
}

/// Guards against a call that outlasts its time because the peer reads nothing, so that the queue of its connection is full.
#[compio::test]
async fn a_call_to_a_peer_that_reads_nothing_ends_in_time() {
    const LARGE_BYTES: usize = 1024 * 1024;
    const CALLS: usize = 400;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let client = rpc::Client::new(listener.local_addr().unwrap().to_string());
    let command = inner::Command { expected_revision: None, kind: None };
    let order_id = "x".repeat(LARGE_BYTES);
    for i in 0..CALLS {
        // Only the first ones fill the buffers of the connection, the others the queue.
        let order_id = if i < 16 { order_id.clone() } else { String::new() };
        let body = Body::Propose(inner::Propose { order_id, command: Some(command.clone()) });
        let client = client.clone();
        compio::runtime::spawn(async move {
            drop(client.call(body, TIMEOUT * 10).await);
        })
        .detach();
    }
    compio::time::sleep(Duration::from_millis(200)).await;
    let call = client.call(watch(1, 0), Duration::from_millis(300));
    let ended = compio::time::timeout(TIMEOUT, call).await;
    assert_eq!(ended, Ok(Err(rpc::RpcError::Timeout)));
}

/// Guards against calls to a peer that cannot be reached that wait for each other, one connection attempt after the other.
#[compio::test]
async fn calls_to_a_peer_that_accepts_no_connection_end_in_time() {
    const CALLS: usize = 8;
    const CALL_TIME: Duration = Duration::from_millis(700);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    // Fills the queue of connections that are not accepted; further attempts get no reply.
    let connect = || std::net::TcpStream::connect_timeout(&address, Duration::from_millis(100));
    let _queued: Vec<_> = std::iter::from_fn(|| connect().ok()).collect();
    let client = rpc::Client::new(address.to_string());
    let started = std::time::Instant::now();
    let calls = (0..CALLS).map(|_| client.call(watch(1, 0), CALL_TIME));
    let ends = futures_util::future::join_all(calls).await;
    assert!(ends.iter().all(|end| matches!(end, Err(rpc::RpcError::Unreachable(_)))), "{ends:?}");
    assert!(started.elapsed() < CALL_TIME * 2, "{:?}", started.elapsed());
}
