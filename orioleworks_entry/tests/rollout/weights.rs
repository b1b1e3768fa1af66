//! Weight orders to engines over HTTP.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use orioleworks_daemon::{http, shutdown::Shutdown};
use orioleworks_entry::{
    members::Engine,
    weights::{self, Deps},
    weights_http::{Order, Phase, Weights},
    weights_lease::{self, Acquired, Fencing, LEASE_MS, LONGEST_DELIVERY_MS, Lease},
    weights_publish,
};
use rstest::rstest;
use tokio_util::sync::CancellationToken;

use crate::fakes::{FakeControl, block_on, configuration, profile};

const PREFETCH_DURATION: Duration = Duration::from_millis(150);

#[derive(Default)]
struct FakeEngine {
    address: String,
    checks_fencing: bool,
    weights: Cell<Weights>,
    failures: Cell<u32>,
    orders: RefCell<Vec<(Instant, Order)>>,
}

impl FakeEngine {
    async fn start(
        checks_fencing: bool,
        failures: u32,
        prefetch_stats: Rc<PrefetchStats>,
    ) -> Rc<Self> {
        let listener = http::bind("127.0.0.1:0").await.unwrap();
        let engine = Rc::new(Self {
            address: listener.local_addr().unwrap().to_string(),
            checks_fencing,
            weights: Cell::new(Weights { version: 1, ..Weights::default() }),
            failures: Cell::new(failures),
            orders: RefCell::default(),
        });
        let served = engine.clone();
        let limits = http::Limits::default();
        let serve = http::serve(listener, limits, Shutdown::default(), move |req| {
            let (engine, prefetch_stats) = (served.clone(), prefetch_stats.clone());
            async move {
                if req.method() == "GET" {
                    return http::json(200, &engine.weights.get());
                }
                let body = http::read_body(req.into_body(), &limits).await.unwrap();
                let status =
                    engine.apply_order(serde_json::from_slice(&body).unwrap(), &prefetch_stats);
                http::json(status, &engine.weights.get())
            }
        });
        compio::runtime::spawn(serve).detach();
        engine
    }

    fn apply_order(self: &Rc<Self>, order: Order, prefetch_stats: &Rc<PrefetchStats>) -> u16 {
        self.orders.borrow_mut().push((Instant::now(), order));
        let mut weights = self.weights.get();
        let last = Fencing { epoch: weights.epoch, sequence: weights.sequence };
        if self.checks_fencing && order.fencing <= last {
            return 409;
        }
        if self.failures.get() > 0 {
            self.failures.set(self.failures.get() - 1);
            return 500;
        }
        (weights.epoch, weights.sequence) = (order.fencing.epoch, order.fencing.sequence);
        match order.phase {
            Phase::Prefetch => self.clone().prefetch(order.version, prefetch_stats.clone()),
            Phase::Activate if weights.prefetched < Some(order.version) => return 425,
            Phase::Activate => weights.version = order.version,
        }
        self.weights.set(weights);
        200
    }

    fn prefetch(self: Rc<Self>, version: u64, prefetch_stats: Rc<PrefetchStats>) {
        prefetch_stats.running.set(prefetch_stats.running.get() + 1);
        prefetch_stats
            .max_running
            .set(prefetch_stats.max_running.get().max(prefetch_stats.running.get()));
        compio::runtime::spawn(async move {
            compio::time::sleep(PREFETCH_DURATION).await;
            prefetch_stats.running.set(prefetch_stats.running.get() - 1);
            prefetch_stats.last_finished.set(Some(Instant::now()));
            self.weights.set(Weights { prefetched: Some(version), ..self.weights.get() });
        })
        .detach();
    }

    fn first_order_at(&self, phase: Phase) -> Option<Instant> {
        let orders = self.orders.borrow();
        orders.iter().find(|(_, order)| order.phase == phase).map(|(at, _)| *at)
    }
}

#[derive(Default)]
struct PrefetchStats {
    running: Cell<usize>,
    max_running: Cell<usize>,
    last_finished: Cell<Option<Instant>>,
}

async fn start(control: &FakeControl, engines: &[Rc<FakeEngine>]) -> CancellationToken {
    start_with(control, engines, 2).await
}

async fn start_with(
    control: &FakeControl,
    engines: &[Rc<FakeEngine>],
    max_prefetches: usize,
) -> CancellationToken {
    let announced = engines.to_vec();
    let announce = move || {
        let engine = |(i, engine): (usize, &Rc<FakeEngine>)| Engine {
            name: format!("engine-{i}").into(),
            incarnation: 1,
            model: "m".into(),
            address: engine.address.as_str().into(),
            weight_version: engine.weights.get().version,
            pending_version: 0,
            checks_fencing: engine.checks_fencing,
        };
        announced.iter().enumerate().map(engine).collect()
    };
    let deps = Deps {
        entry: "a".into(),
        incarnation: 1,
        failure_domain: "sicilia-a".into(),
        control: control.client(),
        configuration: configuration(profile(), 5),
        max_prefetches,
        engines: Rc::new(announce),
    };
    let token = CancellationToken::new();
    let run = weights::run(deps, token.clone());
    compio::runtime::spawn(async move { run.await.unwrap() }).detach();
    token
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < Duration::from_secs(10), "not within 10 s: {what}");
        compio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn is_on_version(engine: &Rc<FakeEngine>, version: u64) -> bool {
    engine.weights.get().version == version
}

/// Guards against too many concurrent prefetches from the weight store, an activation before all engines have
/// prefetched, and an engine that keeps a wrong version.
#[rstest]
#[case::one_at_a_time(1)]
#[case::two_at_a_time(2)]
fn engines_prefetch_in_turn_activate_together_and_are_repaired(#[case] max_prefetches: usize) {
    block_on(async {
        let control = FakeControl::start().await;
        let prefetch_stats = Rc::new(PrefetchStats::default());
        let mut engines = Vec::new();
        for i in 0..4 {
            engines.push(FakeEngine::start(i != 3, 0, prefetch_stats.clone()).await);
        }
        let token = start_with(&control, &engines, max_prefetches).await;
        wait_until("every engine is on version 5", || engines.iter().all(|e| is_on_version(e, 5)))
            .await;
        assert_eq!(prefetch_stats.max_running.get(), max_prefetches);
        let last_prefetch = prefetch_stats.last_finished.get().unwrap();
        assert!(
            engines.iter().all(|e| e.first_order_at(Phase::Activate).unwrap() >= last_prefetch)
        );
        // A late order of a former lease holder reaches an engine that ignores fencing tokens, and one that checks them.
        let fencing = Fencing { epoch: 0, sequence: 9 };
        let late = Order { version: 4, phase: Phase::Activate, fencing };
        assert_eq!(engines[3].apply_order(late, &prefetch_stats), 200);
        assert_eq!(engines[0].apply_order(late, &prefetch_stats), 409);
        assert!(is_on_version(&engines[3], 4) && is_on_version(&engines[0], 5));
        wait_until("the old order is corrected", || is_on_version(&engines[3], 5)).await;
        token.cancel();
    });
}

/// Guards against an engine that stays on its old version because an order failed.
#[rstest]
fn failed_orders_are_repeated() {
    block_on(async {
        let control = FakeControl::start().await;
        let engine = FakeEngine::start(true, 3, Rc::default()).await;
        let token = start(&control, std::slice::from_ref(&engine)).await;
        wait_until("the engine is on version 5", || is_on_version(&engine, 5)).await;
        let tokens: Vec<Fencing> =
            engine.orders.borrow().iter().map(|(_, order)| order.fencing).collect();
        assert!(tokens.is_sorted_by(|a, b| a < b), "each order has a higher fencing token");
        token.cancel();
    });
}

/// Guards against orders of a new lease holder that are overtaken by late orders of the former one, and against orders
/// without a lease.
#[rstest]
fn new_holder_waits_for_engines_without_fencing_and_a_lost_lease_stops_orders() {
    block_on(async {
        let control = FakeControl::start().await;
        *control.lease.borrow_mut() = Some(("b".into(), 1));
        let prefetch_stats = Rc::new(PrefetchStats::default());
        let with_fencing = FakeEngine::start(true, 0, prefetch_stats.clone()).await;
        let without_fencing = FakeEngine::start(false, 0, prefetch_stats.clone()).await;
        let token = start(&control, &[with_fencing.clone(), without_fencing.clone()]).await;
        compio::time::sleep(Duration::from_millis(1200)).await;
        assert!(with_fencing.orders.borrow().is_empty(), "another entry holds the lease");
        let acquired_at = Instant::now();
        *control.lease.borrow_mut() = Some(("a".into(), 2));
        wait_until("the engine that checks fencing tokens has an order", || {
            !with_fencing.orders.borrow().is_empty()
        })
        .await;
        wait_until("the other engine has an order", || !without_fencing.orders.borrow().is_empty())
            .await;
        let wait = Duration::from_millis(LEASE_MS + LONGEST_DELIVERY_MS);
        assert!(with_fencing.first_order_at(Phase::Prefetch).unwrap() < acquired_at + wait);
        assert!(without_fencing.first_order_at(Phase::Prefetch).unwrap() >= acquired_at + wait);
        wait_until("both are on version 5", || {
            is_on_version(&with_fencing, 5) && is_on_version(&without_fencing, 5)
        })
        .await;
        *control.lease.borrow_mut() = Some(("b".into(), 3));
        compio::time::sleep(Duration::from_millis(1500)).await;
        let orders = without_fencing.orders.borrow().len();
        without_fencing.weights.set(Weights { version: 4, ..without_fencing.weights.get() });
        compio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(without_fencing.orders.borrow().len(), orders);
        token.cancel();
    });
}

/// Guards against orders under a lease that another entry holds, or that expired while the process was suspended.
#[rstest]
#[case::renewed(100, Acquired::Held(2), true, false)]
#[case::no_answer_yet(100, Acquired::NoResponse, true, false)]
#[case::held_by_another(100, Acquired::HeldByOther, false, true)]
#[case::new_epoch(100, Acquired::Held(3), false, true)]
#[case::no_answer_until_the_end(3000, Acquired::NoResponse, false, true)]
fn orders_need_a_held_lease(
    #[case] age_ms: u64,
    #[case] acquired: Acquired,
    #[case] may_order: bool,
    #[case] cancelled: bool,
) {
    let parent = CancellationToken::new();
    let asked = weights_lease::now_ms() - age_ms;
    let lease = Rc::new(Lease::new(2, asked, asked, parent.child_token()));
    let held =
        weights_lease::apply_acquisition(Some(lease.clone()), acquired, asked + age_ms, &parent);
    assert_eq!(lease.next_order(true).is_some(), may_order);
    assert_eq!(lease.next_order(false), None, "the former holder's orders may still arrive");
    assert_eq!(lease.token.is_cancelled(), cancelled);
    let epoch = held.map(|lease| lease.epoch);
    let expected = match acquired {
        Acquired::Held(epoch) => Some(epoch),
        _ => may_order.then_some(2),
    };
    assert_eq!(epoch, expected);
}

/// Guards against an order that could arrive after the lease expires.
#[rstest]
#[case::in_time(1900, true)]
#[case::too_late(2100, false)]
fn no_order_goes_out_shortly_before_the_end_of_the_lease(
    #[case] age_ms: u64,
    #[case] is_sent: bool,
) {
    let asked = weights_lease::now_ms() - age_ms;
    let lease = Lease::new(1, asked, asked, CancellationToken::new());
    assert_eq!(lease.next_order(true).is_some(), is_sent);
}

/// Guards against a publication that is applied twice after a lost response, and against accepting malformed ones.
#[rstest]
#[case::valid(r#"{"version": 2, "order_id": "t-1"}"#, 200, 1)]
#[case::no_version(r#"{"version": 0, "order_id": "t-1"}"#, 400, 0)]
#[case::no_order_id(r#"{"version": 2, "order_id": ""}"#, 400, 0)]
fn publication_is_idempotent(#[case] body: &str, #[case] status: u16, #[case] versions: usize) {
    block_on(async {
        let control = FakeControl::start().await;
        for _ in 0..2 {
            let body = body.to_owned().into();
            let response = weights_publish::handle(&control.client(), "m", &body).await;
            assert_eq!(response.status(), status);
        }
        assert_eq!(control.versions.borrow().len(), versions);
    });
}
