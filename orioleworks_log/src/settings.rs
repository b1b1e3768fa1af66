//! Settings of the log.

use std::{path::PathBuf, time::Duration};

/// A replica as configured.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Name of the replica.
    pub name: String,
    /// Address of its inner protocol; it takes precedence over the address in the membership.
    pub address: String,
}

/// Settings of one replica.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the replica; at most one identity per name remains a member.
    pub name: String,
    /// Failure domain of the replica.
    pub domain: String,
    /// Address of the replica's inner protocol.
    pub address: String,
    /// All replicas, this one included.
    pub replicas: Vec<Replica>,
    /// Whether this replica may bootstrap a cluster.
    pub bootstrap: bool,
    /// Data directory.
    pub directory: PathBuf,
    /// Interval of heartbeats.
    pub heartbeat: Duration,
    /// Shortest time without a leader before an election.
    pub election_min: Duration,
    /// Longest time without a leader before an election.
    pub election_max: Duration,
    /// Applied log entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Log entries kept behind a snapshot, so that a replica that is slightly behind needs no snapshot.
    pub tail_entries: u64,
    /// Largest encoded size of these entries in bytes.
    pub tail_bytes: usize,
    /// Largest encoded size in bytes, these included, up to which more entries are kept behind a snapshot because a member that
    /// is live still needs them.
    pub catch_up_bytes: usize,
    /// Bytes of applied log entries after which a snapshot is taken.
    pub snapshot_bytes: usize,
    /// Largest number of voters; further replicas stay learners until a voter is lost.
    pub max_voters: usize,
    /// Whether voters are spread so that the loss of a failure domain leaves a quorum.
    pub spread_voters: bool,
    /// Losses of voters at the same time, with their disks, that the cluster is to survive.
    pub tolerated_losses: usize,
    /// Time after a loss, or after the lost replica is back, within which the cluster is to survive as many further ones.
    pub catch_up: Duration,
    /// Longest time without a leader after a loss that the cluster is to survive; a longer one is reported.
    pub recovery: Duration,
    /// Time without a reply from a voter after which a learner may replace it; `None` reserves its place for a
    /// replica of the same name.
    pub replace_after: Option<Duration>,
    /// Whether a failed write is retried; otherwise the replica stops, so that an operator checks its disk.
    pub retry_writes: bool,
}

impl Settings {
    /// Settings with default times and limits.
    pub fn new(name: &str, address: &str, directory: impl Into<PathBuf>) -> Self {
        Self {
            name: name.into(),
            domain: String::new(),
            address: address.into(),
            replicas: Vec::new(),
            bootstrap: false,
            directory: directory.into(),
            heartbeat: Duration::from_millis(100),
            election_min: Duration::from_millis(400),
            election_max: Duration::from_millis(800),
            snapshot_entries: 1000,
            tail_entries: 100,
            tail_bytes: usize::MAX,
            catch_up_bytes: 0,
            snapshot_bytes: usize::MAX,
            max_voters: usize::MAX,
            spread_voters: false,
            tolerated_losses: 0,
            catch_up: Duration::from_secs(6),
            recovery: Duration::from_secs(12),
            replace_after: None,
            retry_writes: false,
        }
    }

    /// Sets the number of losses that the cluster is to survive at the same time, the time within which it is to survive as many
    /// further ones, and the bounds on the voters that follow.
    ///
    /// `4 * losses + 1` voters survive as many losses twice before any voter is replaced. With `2 * losses + 1`, each step of a
    /// replacement had to end before the next losses, and its time grows with the state, the load and the disk; see
    /// `docs/incidents/waves-of-lost-disks.md`.
    pub fn tolerating(self, losses: usize, catch_up: Duration) -> Self {
        /// Longer than a restart, which takes seconds, so that a restarted replica stays a voter.
        const LONGEST_SILENCE: Duration = Duration::from_secs(5);
        // The other half is for an election and the two changes that replace the voter.
        let silence = (catch_up / 2).min(LONGEST_SILENCE);
        Self {
            max_voters: 4 * losses + 1,
            spread_voters: true,
            tolerated_losses: losses,
            catch_up,
            replace_after: Some(silence),
            ..self
        }
    }
}
