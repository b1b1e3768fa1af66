//! Memory of idle connections to upstreams; alone in its process, because other tests would take and free memory.

mod support;

use std::fs;

use orioleworks_fleet::pool::Pool;
use support::{Upstream, finish, run, send};

fn resident() -> usize {
    let status = fs::read_to_string("/proc/self/statm").unwrap();
    status.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() * 4096
}

/// Guards against a store that is killed for its memory, which the buffers of connections to all slots of its engines take.
#[test]
fn connections_to_all_slots_of_48_engines_take_little_memory() {
    run(async {
        let (pool, upstream) = (Pool::default(), Upstream::start());
        let before = resident();
        for _ in 0..3 {
            finish(send(&pool, &upstream.address, 48, 12).await).await;
        }
        let each = resident().saturating_sub(before) / (48 * 12);
        println!("connection of the pool: {each} B");
        assert_eq!(upstream.open().await, 48 * 12);
        assert!(each <= 28 * 1024, "{each} B for a connection");
    });
}
