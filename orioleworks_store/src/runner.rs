//! One run of an item on one engine.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::{FutureExt, select};
use http_body_util::Full;
use orioleworks_fleet::pool::{Exchange, Pool, SendError};
use orioleworks_platform::{
    events::{Decoder, Event},
    upstream::{self, Verdict},
};
use orioleworks_proto::inner;
use orioleworks_routing::{
    fleet::{LeavingNotice, Upstream},
    outlier::Key,
    rates,
};

/// Silence of an engine after which an item resumes on another engine: several times the usual gap between events of a
/// slow engine, and longer than the engine takes to read the prompts of a full batch.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Largest event in bytes; an engine in trouble may send bytes without end.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// Largest text of an item in bytes; a caller reads results of as much at a time.
const MAX_TEXT_BYTES: usize = 1024 * 1024;

/// Output generated for an item so far.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    events: Vec<Bytes>,
    last_id: Option<u64>,
    versions: Vec<u64>,
    /// Size of the events with a separator after each.
    bytes: usize,
    /// Software version of the engines that generated the events.
    software: Rc<str>,
    /// Number of events that [`Progress::take_unsaved`] has returned.
    saved: usize,
}

impl Progress {
    /// Restores saved progress.
    pub fn restore(saved: &inner::ItemProgress) -> Self {
        Self {
            events: saved.events.clone(),
            last_id: saved.last_id,
            versions: saved.versions.clone(),
            bytes: saved.events.iter().map(|event| event.len() + 1).sum(),
            software: saved.software.as_str().into(),
            saved: saved.events.len(),
        }
    }

    /// Number of events that are not saved yet.
    pub fn unsaved(&self) -> usize {
        self.events.len() - self.saved
    }

    /// Returns the events that are not saved yet and marks them as saved.
    pub fn take_unsaved(&mut self, id: &str) -> inner::ItemProgress {
        let from = std::mem::replace(&mut self.saved, self.events.len());
        inner::ItemProgress {
            id: id.into(),
            from: u32::try_from(from).unwrap_or(u32::MAX),
            events: self.events[from..].to_vec(),
            last_id: self.last_id,
            versions: self.versions.clone(),
            software: self.software.to_string(),
        }
    }

    /// Software version that must generate the rest; `None` before the first event.
    pub fn software(&self) -> Option<Rc<str>> {
        (!self.events.is_empty()).then(|| self.software.clone())
    }

    /// Number of events.
    pub fn event_count(&self) -> usize {
        self.events.len()
    }

    /// Size of the text in bytes.
    pub fn text_bytes(&self) -> usize {
        self.bytes
    }

    /// Full text: the data of all events, separated by line feeds.
    pub fn text(&self) -> Bytes {
        if let [only] = self.events.as_slice() {
            return only.clone();
        }
        self.events.join(&b'\n').into()
    }

    /// Weight versions that generated the text.
    pub fn versions(&self) -> Vec<u64> {
        self.versions.clone()
    }

    /// Whether a run on an engine with this software and weight version can resume from here.
    pub fn can_resume(&self, single_version: bool, software: &str, version: Option<u64>) -> bool {
        if self.software().is_some_and(|begun| *begun != *software) {
            return false;
        }
        !single_version || self.versions.is_empty() || version.is_some_and(|v| self.versions == [v])
    }

    /// ID of the event after which a run resumes.
    fn resume_after(&self) -> Option<u64> {
        self.last_id.filter(|_| !self.events.is_empty())
    }

    /// Appends an event; returns false for one that it already holds.
    ///
    /// # Errors
    ///
    /// Returns the gap if events are missing before it.
    fn push(
        &mut self,
        event: Event,
        software: &Rc<str>,
        version: Option<u64>,
    ) -> Result<bool, String> {
        match (event.id, self.last_id) {
            (Some(id), Some(before)) if id <= before => return Ok(false),
            (Some(id), Some(before)) if id != before + 1 => {
                return Err(format!("event {id} follows event {before}"));
            }
            _ => {}
        }
        if self.events.is_empty() {
            self.software = software.clone();
        }
        self.bytes += event.data.len() + 1;
        self.last_id = event.id.or(self.last_id);
        self.events.push(event.data);
        if let Some(version) = version
            && !self.versions.contains(&version)
        {
            self.versions.push(version);
        }
        Ok(true)
    }

    /// Drops all events.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The item is complete.
    Completed,
    /// The engine reports that the item can never be completed.
    Impossible,
    /// The engine responded with a failure that counts as an attempt.
    Failed,
    /// The engine did not run it.
    NotRun,
    /// The engine uses weights that the batch does not allow.
    WrongVersion,
    /// The run was stopped, because the item ends sooner on another engine.
    Moved,
    /// There was no connection, or the response was invalid.
    Lost(String),
    /// The engine refused the connection, so that its process has ended.
    Refused(String),
    /// The connection broke before the end of the response; the engine may have crashed.
    Broken(String),
    /// Nothing came back in time.
    Silent(String),
    /// The engine sent more than a part of a response can have.
    Endless(&'static str),
}

impl RunEnd {
    /// Name of the end in metrics and log lines.
    pub fn outcome(&self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::Impossible => "impossible",
            Self::Failed => "failed",
            Self::NotRun => "not_run",
            Self::WrongVersion => "wrong_version",
            Self::Moved => "slow_engine",
            Self::Endless(_) => "endless",
            Self::Lost(_) | Self::Refused(_) | Self::Broken(_) | Self::Silent(_) => "lost",
        }
    }

    /// Reason for log lines.
    pub fn reason(&self) -> &str {
        match self {
            Self::Lost(reason)
            | Self::Refused(reason)
            | Self::Broken(reason)
            | Self::Silent(reason) => reason,
            other => other.outcome(),
        }
    }
}

/// Item and engine of a run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Engine that runs it.
    pub upstream: Rc<Upstream>,
    /// Key of the engine.
    pub key: Key,
    /// Batch of the item.
    pub batch: Rc<inner::Batch>,
    /// The item.
    pub item: Rc<inner::BatchItem>,
}

/// Callbacks of a run.
pub struct RunObserver<'a> {
    /// Receives what the run observes of its engine.
    pub observe: &'a dyn Fn(Observation),
    /// Returns the silence after which the run ends.
    pub stall_timeout: &'a dyn Fn() -> Duration,
    /// Returns whether the item should move to another engine.
    pub should_move: &'a dyn Fn() -> bool,
}

impl std::fmt::Debug for RunObserver<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RunObserver").finish_non_exhaustive()
    }
}

/// What a run observes of its engine.
#[derive(Clone, Copy, Debug)]
pub enum Observation {
    /// An event arrived, this long after the one before.
    Event(Option<Duration>),
    /// The engine uses a weight version.
    Version(u64),
    /// A response says this of the engine's limit, and of whether the engine leaves.
    Head(rates::Notice, LeavingNotice),
}

/// Runs an item on an engine, from where its progress ends.
pub async fn run(
    pool: &Pool,
    run: &Run,
    progress: &RefCell<Progress>,
    observer: &RunObserver<'_>,
) -> RunEnd {
    let head = upstream::item_request(
        &run.batch.host,
        &run.batch.tenant,
        &run.item,
        &run.upstream.id,
        progress.borrow().resume_after(),
    );
    let req = match head.map(|head| head.body(Full::new(run.item.body.clone()))) {
        Ok(Ok(req)) => req,
        // The item makes no valid request, on any engine.
        Ok(Err(_)) | Err(_) => return RunEnd::Impossible,
    };
    let sent = pool.send(&run.upstream.address, &run.key, req, (observer.stall_timeout)()).await;
    let exchange = match sent {
        Ok(exchange) => exchange,
        Err(e) => return failed_run(&e),
    };
    let (status, headers) = (exchange.head.status, &exchange.head.headers);
    let verdict = upstream::classify_response(status, headers);
    let leaving = upstream::leaving_notice(verdict, status, headers);
    (observer.observe)(Observation::Head(upstream::rate_notice(verdict, status, headers), leaving));
    match verdict {
        Verdict::NotRun => return without_events(exchange, RunEnd::NotRun),
        Verdict::Unverified => {
            return RunEnd::Lost("the response is not signed".into());
        }
        Verdict::Answered => {}
    }
    match status.as_u16() {
        200..=299 if !upstream::is_event_stream(headers) => {
            without_events(exchange, RunEnd::Lost("the response is no stream of events".into()))
        }
        200..=299 => read_events(exchange, run, progress, observer).await,
        422 => without_events(exchange, RunEnd::Impossible),
        500 => without_events(exchange, RunEnd::Failed),
        other => without_events(exchange, RunEnd::Lost(format!("status {other}"))),
    }
}

/// End of a run that got no complete response.
pub fn failed_run(error: &SendError) -> RunEnd {
    let reason = error.to_string();
    match error {
        SendError::NotSent(_) | SendError::Invalid(_) | SendError::Unmatched(_) => {
            RunEnd::Lost(reason)
        }
        SendError::Refused(_) => RunEnd::Refused(reason),
        SendError::Broken(_) => RunEnd::Broken(reason),
        SendError::Timeout => RunEnd::Silent(reason),
    }
}

fn without_events(exchange: Exchange, end: RunEnd) -> RunEnd {
    exchange.discard();
    end
}

async fn read_events(
    mut exchange: Exchange,
    run: &Run,
    progress: &RefCell<Progress>,
    observer: &RunObserver<'_>,
) -> RunEnd {
    let mut decoder = Decoder::default();
    let mut version = match upstream::weight_version(&exchange.head.headers) {
        Ok(version) => version,
        Err(e) => return RunEnd::Lost(e.to_string()),
    };
    if let Some(version) = version {
        (observer.observe)(Observation::Version(version));
    }
    let mut last = Instant::now();
    // The first event arrives with the head, and its gap says nothing of the time for an event.
    let mut timed = false;
    loop {
        // Bytes that complete no event are no progress.
        let timeout = (observer.stall_timeout)().saturating_sub(last.elapsed());
        let part = match next_part(&mut exchange, timeout).await {
            Ok(part) => part,
            Err(e) => return failed_run(&e),
        };
        let Some(part) = part else { break };
        decoder.push(&part);
        while let Some(event) = decoder.next_event() {
            let event = match event {
                Ok(event) => event,
                Err(e) => return RunEnd::Lost(e.to_string()),
            };
            if let Some(changed) = event.version {
                version = Some(changed);
                (observer.observe)(Observation::Version(changed));
            }
            if let Some(end) = check_version(run, progress, version) {
                return end;
            }
            match progress.borrow_mut().push(event, &run.upstream.software, version) {
                Ok(true) => {}
                Ok(false) => continue,
                Err(gap) => return RunEnd::Lost(gap),
            }
            (observer.observe)(Observation::Event(timed.then(|| last.elapsed())));
            (timed, last) = (true, Instant::now());
        }
        if decoder.partial_event_bytes() > MAX_EVENT_BYTES {
            return RunEnd::Endless("an event");
        }
        if is_too_long(&progress.borrow(), &run.item) {
            progress.borrow_mut().clear();
            return RunEnd::Endless("the text");
        }
        if (observer.should_move)() {
            return RunEnd::Moved;
        }
    }
    if decoder.has_partial_event() {
        return RunEnd::Lost("the stream ended inside an event".into());
    }
    if progress.borrow().event_count() == 0 {
        return RunEnd::Lost("the stream has no events".into());
    }
    exchange.return_to_pool();
    RunEnd::Completed
}

/// Whether a text is longer than its item allows; each event holds a token at least.
fn is_too_long(progress: &Progress, item: &inner::BatchItem) -> bool {
    let most_events = if item.tokens == 0 { usize::MAX } else { item.tokens as usize };
    progress.text_bytes() > MAX_TEXT_BYTES || progress.event_count() > most_events
}

fn check_version(run: &Run, progress: &RefCell<Progress>, version: Option<u64>) -> Option<RunEnd> {
    let mut progress = progress.borrow_mut();
    let version = version?;
    if version < run.batch.min_version {
        return Some(RunEnd::WrongVersion);
    }
    if progress.can_resume(run.batch.single_version, &run.upstream.software, Some(version)) {
        return None;
    }
    progress.clear();
    Some(RunEnd::WrongVersion)
}

async fn next_part(exchange: &mut Exchange, timeout: Duration) -> Result<Option<Bytes>, SendError> {
    let mut timer = std::pin::pin!(compio::time::sleep(timeout).fuse());
    let mut next = std::pin::pin!(exchange.next().fuse());
    select! { part = next => part, () = timer => Err(SendError::Timeout) }
}
