//! Idle connections to upstreams.

mod support;

use orioleworks_fleet::pool::Pool;
use support::{Upstream, finish, run, send};

/// Guards against a process that keeps more idle connections after a burst than it will use again.
#[test]
fn a_burst_leaves_no_more_idle_connections_than_are_useful() {
    run(async {
        let (pool, upstream) = (Pool::default(), Upstream::start());
        finish(send(&pool, &upstream.address, 1, 100).await).await;
        let open = upstream.open().await;
        assert!(open <= 32, "{open} idle connections to one upstream");
        finish(send(&pool, &upstream.address, 40, 25).await).await;
        let open = upstream.open().await;
        assert!(open <= 600, "{open} idle connections");
    });
}

/// Guards against closed connections to engines that are all used again a few seconds later; some sites price new ones.
#[test]
fn connections_to_all_slots_of_48_engines_are_used_again() {
    run(async {
        let (pool, upstream) = (Pool::default(), Upstream::start());
        for _ in 0..3 {
            finish(send(&pool, &upstream.address, 48, 12).await).await;
        }
        assert_eq!(upstream.accepted(), 48 * 12);
        assert_eq!(upstream.open().await, 48 * 12);
    });
}

/// Guards against upstreams that go on generating for a response that nobody reads any more.
#[test]
fn a_dropped_exchange_closes_its_connection() {
    run(async {
        let (pool, upstream) = (Pool::default(), Upstream::start());
        let exchanges = send(&pool, &upstream.address, 1, 10).await;
        assert_eq!(upstream.open().await, 10);
        drop(exchanges);
        assert_eq!(upstream.open().await, 0);
    });
}
