//! Placement of samples across failure domains; see `docs/design.md`, section 8.
//!
//! ```
//! use orioleworks_routing::spread::{PeerCapacity, Placement, Spread};
//!
//! let mut spread = Spread::default();
//! let peer = PeerCapacity { name: "entry-b1".into(), share: 8, in_flight_for_others: 0 };
//! assert_eq!(spread.place(&"group-1".into(), 1, &[peer.clone()]), Some(Placement::Local));
//! assert_eq!(spread.place(&"group-2".into(), 1, &[peer]), Some(Placement::Peer("entry-b1".into())));
//! ```

use std::rc::Rc;

use indexmap::IndexMap;

/// Largest number of remembered groups; the oldest are evicted first.
const MAX_GROUPS: usize = 16_384;

/// Where a sample runs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Placement {
    /// In the failure domain of this entry.
    Local,
    /// In another failure domain, through this peer.
    Peer(Rc<str>),
}

/// Capacity of a peer, from its last digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerCapacity {
    /// Name of the peer.
    pub name: Rc<str>,
    /// Requests that it may have in flight.
    pub share: u32,
    /// Requests that it has in flight for other entries.
    pub in_flight_for_others: u32,
}

#[derive(Clone, Debug)]
struct Group {
    placement: Placement,
    /// A sample of the group has finished, so its prompt does not crash upstreams.
    completed: bool,
}

/// Number of samples in flight by placement, and the placement of each group.
#[derive(Clone, Debug, Default)]
pub struct Spread {
    in_flight: IndexMap<Placement, u32>,
    groups: IndexMap<Rc<str>, Group>,
}

impl Spread {
    /// Samples in flight at a placement.
    pub fn in_flight(&self, placement: &Placement) -> u32 {
        self.in_flight.get(placement).copied().unwrap_or(0)
    }

    /// Reserves a placement for one more sample of a group; `None` while all are full.
    ///
    /// A group whose prompt has never finished keeps its placement even when that is full: a prompt that crashes
    /// upstreams would otherwise crash more than two of them, in several domains at once. Other groups run where their
    /// prompt is cached, else locally while there is capacity, else at the least loaded peer.
    pub fn place(
        &mut self,
        group: &Rc<str>,
        local_share: u32,
        peers: &[PeerCapacity],
    ) -> Option<Placement> {
        let placement = self.choose(group, local_share, peers)?;
        *self.in_flight.entry(placement.clone()).or_default() += 1;
        if self.groups.len() >= MAX_GROUPS && !self.groups.contains_key(group) {
            // Evicts half at a time, because removal from the front moves every later element.
            drop(self.groups.drain(..MAX_GROUPS / 2));
        }
        let new_group = || Group { placement: placement.clone(), completed: false };
        self.groups.entry(group.clone()).or_insert_with(new_group).placement = placement.clone();
        Some(placement)
    }

    fn choose(&self, group: &str, local_share: u32, peers: &[PeerCapacity]) -> Option<Placement> {
        if peers.is_empty() {
            return Some(Placement::Local);
        }
        let load = |peer: &PeerCapacity| {
            self.in_flight(&Placement::Peer(peer.name.clone())) + peer.in_flight_for_others
        };
        let has_capacity = |placement: &Placement| match placement {
            Placement::Local => self.in_flight(placement) < local_share,
            Placement::Peer(name) => peers.iter().any(|p| p.name == *name && load(p) < p.share),
        };
        let reachable = |placement: &Placement| match placement {
            Placement::Local => true,
            Placement::Peer(name) => peers.iter().any(|peer| peer.name == *name),
        };
        let known = self.groups.get(group).filter(|group| reachable(&group.placement));
        match known {
            Some(group) if !group.completed || has_capacity(&group.placement) => {
                return Some(group.placement.clone());
            }
            _ => {}
        }
        if has_capacity(&Placement::Local) {
            return Some(Placement::Local);
        }
        let relative_load = |peer: &&PeerCapacity| load(peer) * 1000 / peer.share.max(1);
        let free = peers.iter().filter(|peer| load(peer) < peer.share).min_by_key(relative_load);
        free.map(|peer| Placement::Peer(peer.name.clone()))
    }

    /// Releases a reserved placement.
    pub fn release(&mut self, placement: &Placement) {
        if let Some(count) = self.in_flight.get_mut(placement) {
            *count = count.saturating_sub(1);
        }
    }

    /// Records that a sample of a group has finished.
    pub fn mark_completed(&mut self, group: &str) {
        if let Some(group) = self.groups.get_mut(group) {
            group.completed = true;
        }
    }

    /// Resets a group to local placement after a peer refused its sample without running it.
    pub fn refused(&mut self, group: &str) {
        if let Some(group) = self.groups.get_mut(group) {
            group.placement = Placement::Local;
        }
    }
}
