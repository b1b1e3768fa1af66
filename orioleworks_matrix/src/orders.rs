//! Operators that send conflicting orders, and checks that the log keeps what it acknowledged.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use compio::{
    runtime::{self, JoinHandle},
    time::sleep,
};
use orioleworks_daemon::control::ControlClient;
use orioleworks_proto::{
    codes::ResultCode,
    inner::{self, command::Kind as Command},
};

use crate::cluster::Cluster;

/// Number of objects for which operators send conflicting orders.
pub const OBJECTS: u32 = 2;
/// Time limit of one attempt; an operator resends until the order has a result.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);
/// Every this many rounds, an operator resends orders that already have a result.
const RESEND_ROUNDS: u32 = 8;
/// Interval between two reads that must see every acknowledged order.
const READ_INTERVAL: Duration = Duration::from_millis(150);

/// Order that control accepted.
#[derive(Clone, Debug)]
struct Accepted {
    order_id: String,
    command: inner::Command,
    revision: u64,
}

/// Operators of one cell and the results that they got.
#[derive(Default)]
pub struct Operators {
    accepted: RefCell<Vec<Accepted>>,
    /// Last accepted order of each object.
    newest: RefCell<Vec<Option<Accepted>>>,
    /// Highest acknowledged revision.
    highest_revision: Cell<u64>,
    rounds: Cell<u32>,
    last_result: Cell<Option<Instant>>,
    longest_gap: Cell<Duration>,
    stopping: Cell<bool>,
    violation: RefCell<Option<String>>,
}

impl Operators {
    /// Starts the operators and the reader; they end after [`Operators::stop`].
    pub fn start(cluster: &Rc<Cluster>) -> (Rc<Self>, Vec<JoinHandle<()>>) {
        let this = Rc::new(Self::default());
        *this.newest.borrow_mut() = vec![None; OBJECTS as usize];
        let mut tasks = Vec::new();
        for object in 0..OBJECTS {
            let (operators, a, b) = (this.clone(), cluster.control(), cluster.control());
            tasks.push(runtime::spawn(async move {
                operators.send_conflicting_orders(object, &a, &b).await
            }));
        }
        let (operators, cluster) = (this.clone(), cluster.clone());
        tasks.push(runtime::spawn(async move { operators.check_reads(&cluster).await }));
        (this, tasks)
    }

    /// Number of completed rounds.
    pub fn rounds(&self) -> u32 {
        self.rounds.get()
    }

    /// Makes the operators end after their current rounds.
    pub fn stop(&self) {
        self.stopping.set(true);
    }

    /// Restarts the measurement of the longest time without a result.
    pub fn measure_gap(&self) {
        self.last_result.set(Some(Instant::now()));
        self.longest_gap.set(Duration::ZERO);
    }

    /// Longest time without a result.
    pub fn longest_gap(&self) -> Duration {
        let open = self.last_result.get().map_or(Duration::ZERO, |at| at.elapsed());
        self.longest_gap.get().max(open)
    }

    /// First violation that an operator observed.
    pub fn violation(&self) -> Option<String> {
        self.violation.borrow().clone()
    }

    fn record_violation(&self, violation: String) {
        self.violation.borrow_mut().get_or_insert(violation);
        self.stop();
    }

    /// In each round, two operators send orders with equal expected revisions; exactly one must be accepted.
    async fn send_conflicting_orders(&self, object: u32, a: &ControlClient, b: &ControlClient) {
        let name = format!("race-{object}");
        let mut round = 0;
        while !self.stopping.get() {
            let newest = self.newest.borrow()[object as usize].clone();
            let expected = newest.map_or(0, |accepted| accepted.revision);
            let order = |side: u32| {
                let profile = inner::Profile {
                    name: name.clone(),
                    upstream_kind: "sheet-app".into(),
                    class: inner::Class::Lookup.into(),
                    idempotent: true,
                    // Identifies the order in the profile, so that a reverted order is detected.
                    deadline_ms: 1000 + round * 2 + side,
                    share: 1,
                    ..inner::Profile::default()
                };
                let kind = Some(Command::PutProfile(profile));
                let command = inner::Command { expected_revision: Some(expected), kind };
                (format!("{name}-{round}-{side}"), command)
            };
            let orders = [order(0), order(1)];
            let (first, second) =
                futures_util::join!(self.send(a, &orders[0]), self.send(b, &orders[1]));
            let replies = [first, second];
            if let Err(violation) = self.record_round(object, &orders, &replies) {
                return self.record_violation(violation);
            }
            if round % RESEND_ROUNDS == 0 {
                for (order, first) in orders.iter().zip(&replies) {
                    let again = self.send(b, order).await;
                    if (again.code, again.revision) != (first.code, first.revision) {
                        let id = &order.0;
                        let violation = format!("resent {id} got {again:?}, first {first:?}");
                        return self.record_violation(violation);
                    }
                }
            }
            round += 1;
            self.rounds.set(self.rounds.get() + 1);
        }
    }

    /// Sends an order until it has a result.
    async fn send(
        &self,
        client: &ControlClient,
        (order_id, command): &(String, inner::Command),
    ) -> inner::ProposeReply {
        loop {
            let reply = client.propose(order_id.clone(), command.clone(), ATTEMPT_TIMEOUT).await;
            if let Ok(reply) = reply {
                if let Some(last) = self.last_result.replace(Some(Instant::now())) {
                    self.longest_gap.set(self.longest_gap.get().max(last.elapsed()));
                }
                return reply;
            }
        }
    }

    fn record_round(
        &self,
        object: u32,
        orders: &[(String, inner::Command); 2],
        replies: &[inner::ProposeReply; 2],
    ) -> Result<(), String> {
        let won = |reply: &inner::ProposeReply| reply.code == ResultCode::Ok.number();
        let winner = match (won(&replies[0]), won(&replies[1])) {
            (true, false) => 0,
            (false, true) => 1,
            _ => return Err(format!("{} has no single winner: {replies:?}", orders[0].0)),
        };
        let (won, lost) = (&replies[winner], &replies[1 - winner]);
        if lost.code != ResultCode::Conflict.number() || lost.revision != won.revision {
            return Err(format!("the order that conflicts with {} got {lost:?}", orders[winner].0));
        }
        let (order_id, command) = orders[winner].clone();
        let accepted = Accepted { order_id, command, revision: won.revision };
        self.newest.borrow_mut()[object as usize] = Some(accepted.clone());
        self.highest_revision.set(self.highest_revision.get().max(won.revision));
        self.accepted.borrow_mut().push(accepted);
        Ok(())
    }

    /// Reads through a quorum; a read must see every order acknowledged before it started.
    async fn check_reads(&self, cluster: &Cluster) {
        let mut replica = 0;
        while !self.stopping.get() {
            let acknowledged = self.highest_revision.get();
            if let Some(status) = cluster.status(replica, true).await {
                let seen = status.config.map_or(0, |config| config.revision);
                if seen < acknowledged {
                    let violation = format!("a read saw revision {seen} after {acknowledged}");
                    self.record_violation(violation);
                }
            }
            replica = (replica + 1) % 3;
            sleep(READ_INTERVAL).await;
        }
    }

    /// Checks that a replica holds exactly the acknowledged orders.
    ///
    /// # Errors
    ///
    /// Returns the first difference.
    pub fn check_config(&self, config: &inner::Config) -> Result<(), String> {
        let accepted = self.accepted.borrow().len() as u64;
        if config.revision != accepted {
            return Err(format!("revision {} after {accepted} accepted orders", config.revision));
        }
        for newest in self.newest.borrow().iter().flatten() {
            let Some(Command::PutProfile(put)) = &newest.command.kind else { continue };
            let held = config.profiles.iter().find(|held| {
                held.revision == newest.revision && held.profile.as_ref() == Some(put)
            });
            if held.is_none() {
                return Err(format!("{} is lost or reverted", newest.order_id));
            }
        }
        Ok(())
    }

    /// Resends accepted orders from the whole cell; each must get its original result.
    ///
    /// # Errors
    ///
    /// Returns the first order with a different result.
    pub async fn resend(&self, cluster: &Cluster, count: usize) -> Result<(), String> {
        let accepted = self.accepted.borrow().clone();
        let step = (accepted.len() / count.max(1)).max(1);
        let client = cluster.control();
        for order in accepted.iter().step_by(step) {
            let again = self.send(&client, &(order.order_id.clone(), order.command.clone())).await;
            if again.code != ResultCode::Ok.number() || again.revision != order.revision {
                return Err(format!("resent {} got {again:?}", order.order_id));
            }
        }
        Ok(())
    }
}
