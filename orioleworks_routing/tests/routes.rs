//! Tests of route tables: matching, validation and weighted targets.

use std::time::{Duration, Instant};

use orioleworks_routing::routes::{CallerLimits, Route, RouteTable, Service, TableError, Target};

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        idempotent: true,
        batch: None,
        streaming: false,
        resumable: false,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(100),
        priority: 0,
        targets: vec![Target { service: "s".into(), weight: 1 }],
        public: false,
        max_attempts: 2,
    }
}

fn table(routes: Vec<Route>) -> Result<RouteTable, TableError> {
    let services = vec![Service { name: "s".into(), ..Default::default() }];
    RouteTable::new(1, CallerLimits::default(), services, routes)
}

/// Guards against matching the wrong route for nested prefixes, or for hosts that differ in case or port.
#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table =
        table(vec![route("outer", "/a/"), route("inner", "/a/b/"), route("root", "/")]).unwrap();
    let found = |host, path| table.find(host, path).map(|r| r.name.to_string());
    assert_eq!(found("a.example", "/a/b/c").as_deref(), Some("inner"));
    assert_eq!(found("A.Example:8080", "/a/x").as_deref(), Some("outer"));
    assert_eq!(found("a.example", "/a").as_deref(), Some("root"));
    assert_eq!(found("b.example", "/a/b/c"), None);
}

/// Guards against accepting invalid route documents.
#[test]
fn invalid_documents_are_rejected() {
    let unknown =
        Route { targets: vec![Target { service: "t".into(), weight: 1 }], ..route("r", "/a/") };
    assert!(matches!(table(vec![unknown]), Err(TableError::UnknownService { .. })));
    let shared = table(vec![route("r", "/a/"), route("q", "/a/")]);
    assert!(matches!(shared, Err(TableError::DuplicatePrefix { .. })));
    let zero_weight =
        Route { targets: vec![Target { service: "s".into(), weight: 0 }], ..route("r", "/a/") };
    assert!(matches!(table(vec![zero_weight]), Err(TableError::NoWeight(_))));
    let zero_timeout = Route { timeout: Duration::ZERO, ..route("r", "/a/") };
    assert!(matches!(table(vec![zero_timeout]), Err(TableError::NoTimeout(_))));
    assert!(matches!(table(vec![route("r", "/a")]), Err(TableError::BadPrefix(_))));
}

/// Guards against traffic shares that ignore the weights, and against requests to a target of weight 0.
#[test]
fn targets_share_by_weight() {
    let service = |name: &str| Service { name: name.into(), ..Default::default() };
    let target = |name: &str, weight| Target { service: name.into(), weight };
    let split = Route {
        targets: vec![target("s", 90), target("t", 10), target("u", 0)],
        ..route("r", "/")
    };
    let services = vec![service("s"), service("t"), service("u")];
    let table = RouteTable::new(1, CallerLimits::default(), services, vec![split]).unwrap();
    let route = table.find("a.example", "/x").unwrap();
    let mut rng = rand::rng();
    let picks: Vec<String> = (0..2000).map(|_| route.pick(&mut rng).unwrap().to_string()).collect();
    let share = picks.iter().filter(|s| *s == "s").count() as f64 / picks.len() as f64;
    assert!((0.85..0.95).contains(&share), "{share}");
    assert!(picks.iter().all(|s| s != "u"));
}

/// Guards against lookups that slow down with the number of routes.
#[test]
fn many_routes_match_as_fast_as_few() {
    let lookups = |count: usize| {
        let routes = (0..count).map(|i| route(&format!("r{i}"), &format!("/p{i}/x/"))).collect();
        let table = table(routes).unwrap();
        let started = Instant::now();
        for i in 0..20_000 {
            let path = format!("/p{}/x/y", i % count);
            assert!(table.find("a.example", &path).is_some());
        }
        started.elapsed()
    };
    lookups(10);
    let (few, many) = (lookups(10), lookups(4000));
    assert!(many < few * 10, "{few:?} for 10 routes, {many:?} for 4000");
}
