//! In-memory control replica and entries for the rollout tests.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    future::Future,
    rc::Rc,
    time::Duration,
};

use futures_util::future::LocalBoxFuture;
use orioleworks_daemon::{control::ControlClient, http, rpc, shutdown::Shutdown};
use orioleworks_entry::{
    configuration::Configuration,
    dispatch::{Completed, Job, Refused},
    runs::{OwnIdentity, Runs},
    runs_dispatch::Deps,
    runs_messages::{Group, OpenStep},
};
use orioleworks_proto::{
    codes::ResultCode,
    inner::{self, command::Kind, frame::Body},
};
use tokio_util::sync::CancellationToken;

pub fn block_on(test: impl Future<Output = ()>) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        compio::time::timeout(Duration::from_secs(30), test).await.expect("the test exceeds 30 s")
    });
}

/// In-memory control replica; while `unreachable` is set, it sends no replies.
#[derive(Clone, Default)]
pub struct FakeControl {
    pub runs: Rc<RefCell<HashMap<String, inner::RunRecord>>>,
    pub lease: Rc<RefCell<Option<(String, u64)>>>,
    pub versions: Rc<RefCell<Vec<(String, inner::ModelVersion)>>>,
    pub unreachable: Rc<Cell<bool>>,
    pub address: Rc<RefCell<String>>,
}

impl FakeControl {
    pub async fn start() -> Self {
        let control = Self::default();
        let listener = http::bind("127.0.0.1:0").await.unwrap();
        *control.address.borrow_mut() = listener.local_addr().unwrap().to_string();
        let handler = control.clone();
        let token = CancellationToken::new();
        compio::runtime::spawn(rpc::serve(listener, token, move |body| {
            let reply = (!handler.unreachable.get()).then(|| handler.handle(body)).flatten();
            async move { reply }
        }))
        .detach();
        control
    }

    pub fn client(&self) -> ControlClient {
        ControlClient::new([self.address.borrow().as_str()])
    }

    fn handle(&self, body: Body) -> Option<Body> {
        match body {
            Body::Propose(propose) => Some(Body::ProposeReply(self.propose(propose))),
            Body::Status(_) => {
                let runs = self.runs.borrow().values().cloned().collect();
                Some(Body::StatusReply(inner::StatusReply { runs, ..Default::default() }))
            }
            _ => None,
        }
    }

    fn propose(&self, propose: inner::Propose) -> inner::ProposeReply {
        let mut reply = inner::ProposeReply::default();
        match propose.command.and_then(|command| command.kind) {
            Some(Kind::OpenRun(open)) => {
                let mut runs = self.runs.borrow_mut();
                let record = runs.entry(open.run.clone()).or_default();
                record.epoch += 1;
                (record.run, record.owner) = (open.run, open.owner);
                record.owner_address = open.owner_address;
                reply.epoch = record.epoch;
            }
            Some(Kind::AcquireOrderLease(acquire)) => {
                let mut lease = self.lease.borrow_mut();
                let (holder, epoch) = lease.get_or_insert((acquire.entry.clone(), 1));
                if *holder != acquire.entry {
                    reply.code = ResultCode::LeaseHeld.number();
                }
                (reply.holder, reply.epoch) = (holder.clone(), *epoch);
            }
            Some(Kind::PublishVersion(version)) => {
                let mut versions = self.versions.borrow_mut();
                if !versions.iter().any(|(id, _)| *id == propose.order_id) {
                    versions.push((propose.order_id, version));
                }
                reply.revision = versions.len() as u64;
            }
            _ => reply.code = ResultCode::InvalidOrder.number(),
        }
        reply
    }
}

pub fn profile() -> inner::Profile {
    inner::Profile {
        name: "scorer".into(),
        upstream_kind: "scorer-llm".into(),
        class: inner::Class::Rollout.into(),
        idempotent: true,
        engine: true,
        deadline_ms: 5000,
        max_staleness: 1,
        share: 1,
        second_attempt_permille: 0,
        ..Default::default()
    }
}

pub fn configuration(profile: inner::Profile, version: u64) -> Configuration {
    let configuration = Configuration::default();
    configuration.apply_full(inner::Config {
        revision: 1,
        profiles: vec![inner::VersionedProfile { revision: 1, profile: Some(profile) }],
        versions: vec![inner::ModelVersion { model: "m".into(), version }],
        ..Default::default()
    });
    configuration
}

/// Returns an engine's response with one span.
pub fn completed(text: impl Into<String>, version: u64, tokens: u32) -> Completed {
    Completed {
        status: 200,
        body: text.into().into(),
        content_type: "text/plain".into(),
        spans: vec![inner::Span { version, tokens }],
        upstream: "engine".into(),
    }
}

pub fn refused(code: ResultCode) -> Refused {
    Refused { code, detail: String::new(), retry_after_ms: 0 }
}

/// Entry that serves runs on a loopback port; the engine is a closure.
#[derive(Clone)]
pub struct TestEntry {
    pub runs: Runs,
    pub address: String,
    pub shutdown: Shutdown,
    /// Drains the runs while the server keeps accepting requests.
    pub runs_drain: CancellationToken,
    /// This many further responses are replaced by an error, after the request was processed.
    pub responses_to_drop: Rc<Cell<u32>>,
}

impl TestEntry {
    pub async fn start<F>(
        name: &str,
        control: &FakeControl,
        profile: inner::Profile,
        engine: impl Fn(Job) -> F + 'static,
    ) -> Self
    where
        F: Future<Output = Result<Completed, Refused>> + 'static,
    {
        let listener = http::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let own = OwnIdentity {
            name: name.into(),
            incarnation: 1,
            http_address: address.as_str().into(),
        };
        let deps = Deps {
            run: Rc::new(move |job| {
                Box::pin(engine(job)) as LocalBoxFuture<'static, Result<Completed, Refused>>
            }),
            running_on: Rc::new(|_| Some("first".into())),
        };
        let shutdown = Shutdown::default();
        let configuration = configuration(profile, 1);
        let runs_shutdown = Shutdown::default();
        let runs_drain = runs_shutdown.drain.clone();
        let runs = Runs::new(own, control.client(), configuration, deps, runs_shutdown);
        let entry = Self { runs, address, shutdown, runs_drain, responses_to_drop: Rc::default() };
        let (handler, limits) = (entry.clone(), http::Limits::default());
        let stop = entry.shutdown.clone();
        compio::runtime::spawn(http::serve(listener, limits, stop, move |req| {
            let entry = handler.clone();
            async move { entry.handle(req).await }
        }))
        .detach();
        entry
    }

    async fn handle(&self, req: http::Request) -> http::Response {
        let path = req.uri().path().to_owned();
        let parts: Vec<&str> = path.split('/').collect();
        let body = http::read_body(req.into_body(), &http::Limits::default()).await.unwrap();
        let response = match parts.as_slice() {
            ["", "v1", "runs", run, "steps"] => self.runs.handle_open(run, &body).await,
            ["", "v1", "runs", run, "batches"] => self.runs.handle_fetch(run, &body).await,
            _ => http::error(ResultCode::UnknownPath, &path, 0),
        };
        if self.responses_to_drop.get() > 0 {
            self.responses_to_drop.set(self.responses_to_drop.get() - 1);
            return http::error(ResultCode::OutcomeUnknown, "the response was lost", 0);
        }
        response
    }

    /// Closes every connection and accepts no further one.
    pub fn kill(&self) {
        self.shutdown.drain.cancel();
        self.shutdown.stop.cancel();
    }
}

pub fn open_step(step: u64, groups: u32, samples: u32) -> OpenStep {
    OpenStep {
        step,
        profile: "scorer".into(),
        model: "m".into(),
        trainer_version: 1,
        max_tokens: 10,
        groups: (0..groups)
            .map(|i| Group { group: format!("g{i}"), prompt: format!("prompt {i}"), samples })
            .collect(),
        taken: Vec::new(),
        last_epoch: 0,
    }
}
