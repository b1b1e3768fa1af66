//! Tests of sample placement across failure domains.

use std::rc::Rc;

use orioleworks_routing::spread::{PeerCapacity, Placement, Spread};
use rstest::rstest;

fn peer(name: &str, share: u32, others: u32) -> PeerCapacity {
    PeerCapacity { name: name.into(), share, in_flight_for_others: others }
}

fn at(name: &str) -> Placement {
    Placement::Peer(name.into())
}

/// Guards against placing samples in another domain while the local one has capacity, or beyond the share of a peer.
#[rstest]
fn local_first_then_the_least_loaded_peer_up_to_its_bound() {
    let mut spread = Spread::default();
    let peers = [peer("b", 2, 1), peer("c", 2, 0)];
    let mut place = |n: u32| spread.place(&Rc::from(n.to_string()), 2, &peers);
    let placed: Vec<Option<Placement>> = (0..6).map(&mut place).collect();
    let expected = [
        Some(Placement::Local),
        Some(Placement::Local),
        Some(at("c")),
        Some(at("b")),
        Some(at("c")),
        None,
    ];
    assert_eq!(placed, expected);
    spread.release(&at("b"));
    assert_eq!(spread.place(&"7".into(), 2, &peers), Some(at("b")));
}

/// Guards against a prompt that crashes upstreams of several failure domains at once.
#[rstest]
fn group_that_never_finished_stays_in_one_place() {
    let mut spread = Spread::default();
    let peers = [peer("b", 1, 0)];
    let group: Rc<str> = "g".into();
    assert_eq!(spread.place(&group, 0, &peers), Some(at("b")));
    for _ in 0..3 {
        assert_eq!(
            spread.place(&group, 8, &peers),
            Some(at("b")),
            "beyond the share, despite local capacity"
        );
    }
    spread.mark_completed(&group);
    assert_eq!(spread.place(&group, 8, &peers), Some(Placement::Local), "the peer is full");
}

/// Guards against samples that wait for a lost peer, or that return to a peer that refused them.
#[rstest]
#[case::lost(false)]
#[case::refused(true)]
fn group_leaves_a_peer_that_cannot_run_it(#[case] refused: bool) {
    let mut spread = Spread::default();
    let group: Rc<str> = "g".into();
    let both = [peer("b", 1, 0), peer("c", 1, 1)];
    assert_eq!(spread.place(&group, 0, &both), Some(at("b")));
    if refused {
        spread.refused(&group);
        assert_eq!(spread.place(&group, 0, &both), Some(Placement::Local));
    } else {
        assert_eq!(spread.place(&group, 0, &both[1..]), None, "the other peer is full");
        assert_eq!(spread.place(&group, 0, &[]), Some(Placement::Local), "no peer is left");
    }
}
