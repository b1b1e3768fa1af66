//! One attempt to run a request at an upstream.

use std::{rc::Rc, time::Instant};

use bytes::Bytes;
use http::{HeaderMap, header, response};
use http_body_util::Full;
use orioleworks_daemon::clock;
use orioleworks_fleet::pool::{Exchange, SendError};
use orioleworks_platform::{
    caller,
    upstream::{self, Verdict},
};
use orioleworks_routing::{crashes::Observation, fleet::Upstream, outlier::Key};

use crate::{
    carrier::{Carrier, Failure, Outbound},
    forward::Content,
    path, relay, responses, usage,
    view::View,
};

/// Hop-by-hop headers.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// How an attempt ended.
pub enum AttemptEnd {
    /// The upstream's complete response.
    Complete(response::Parts, Bytes),
    /// A response that is streamed to the caller; its head has arrived.
    Stream(Box<Exchange>),
    /// The beginning of a response that is too large to be buffered.
    Large(Box<Exchange>, Bytes),
    /// The upstream did not run the request.
    NotRun(String),
    /// The request may have run.
    Unknown(String),
    /// The request may have run, and its upstream may have crashed under it.
    NoResponse(Observation, String),
}

/// One attempt; runs in its own task, independent of the caller's.
pub struct Attempt {
    /// State of the gateway.
    pub view: View,
    /// Name of the route.
    pub route: Rc<str>,
    /// Whether a response is passed on as it arrives.
    pub streaming: bool,
    /// The request.
    pub content: Rc<Content>,
    /// End of the attempt.
    pub deadline: Instant,
    /// Upstream that runs the request.
    pub upstream: Rc<Upstream>,
    /// Its key.
    pub key: Key,
    /// The way on which it begins.
    pub carrier: Carrier,
    /// Number of the attempt among those of its request.
    pub number: usize,
    /// Count of the request, if it is counted.
    pub usage: Option<Rc<usage::Request>>,
}

impl Attempt {
    /// Sends the request and waits for the end of the attempt.
    pub async fn send(self) -> AttemptEnd {
        let (started, sent_at) = (Instant::now(), clock::since_boot());
        let build = |remaining| {
            let mut req = http::Request::builder()
                .method(self.content.head.method.clone())
                .uri(self.content.path_and_query());
            if let Some(headers) = req.headers_mut() {
                *headers = end_to_end_headers(&self.content.head.headers);
                headers.remove(header::CONTENT_LENGTH);
                upstream::set_upstream_headers(headers, &self.upstream.id, Some(remaining));
            }
            req.body(Full::new(self.content.body.clone()))
        };
        let on_send = || {
            if let Some(usage) = &self.usage {
                usage.record_sent(self.number);
            }
        };
        let outbound = Outbound {
            view: &self.view,
            upstream: &self.upstream,
            key: &self.key,
            attempt: caller::attempt_id(&self.content.head.headers),
            deadline: self.deadline,
            on_send: &on_send,
        };
        let exchange = match outbound.send(self.carrier, build).await {
            Ok(exchange) => exchange,
            Err(e) => return self.without_response(e).await,
        };
        match responses::read_head(&self.view, &self.key, sent_at, &exchange.head) {
            Verdict::NotRun => {
                self.view.outliers.borrow_mut().record_dropped(&self.key);
                let why = format!("refused with status {}", exchange.head.status.as_u16());
                exchange.discard();
                AttemptEnd::NotRun(why)
            }
            Verdict::Unverified => {
                self.record_failure();
                AttemptEnd::Unknown("the response has no signature".into())
            }
            Verdict::Answered if self.streaming && exchange.head.status.is_success() => {
                self.begin_stream(exchange, started)
            }
            Verdict::Answered => self.read_response(exchange, started).await,
        }
    }

    fn begin_stream(&self, exchange: Exchange, started: Instant) -> AttemptEnd {
        if !upstream::is_event_stream(&exchange.head.headers) {
            self.record_failure();
            exchange.discard();
            return AttemptEnd::Unknown("the response is no stream of events".into());
        }
        self.view.outliers.borrow_mut().record_response(&self.key, started.elapsed());
        AttemptEnd::Stream(Box::new(exchange))
    }

    /// End of an attempt without a response. What the gateway's own path may have caused is no evidence against the upstream
    /// or the request.
    async fn without_response(&self, failure: Failure) -> AttemptEnd {
        let Failure { error: e, confirmed } = failure;
        let heard = matches!(e, SendError::Unmatched(_));
        let own_fault = !confirmed && !heard && path::verdict(&self.view).await;
        if own_fault {
            self.view.outliers.borrow_mut().record_dropped(&self.key);
        } else {
            self.record_failure();
        }
        match &e {
            SendError::NotSent(why) => AttemptEnd::NotRun(why.clone()),
            SendError::Refused(why) => {
                if !own_fault {
                    self.view.crashes.record_refusal(&self.key);
                }
                AttemptEnd::NotRun(why.clone())
            }
            SendError::Invalid(_) | SendError::Unmatched(_) => AttemptEnd::Unknown(e.to_string()),
            SendError::Timeout | SendError::Broken(_) if own_fault => {
                AttemptEnd::Unknown(e.to_string())
            }
            SendError::Timeout => AttemptEnd::NoResponse(Observation::Silence, e.to_string()),
            SendError::Broken(_) => {
                AttemptEnd::NoResponse(Observation::BrokenAtStart, e.to_string())
            }
        }
    }

    async fn read_response(&self, mut exchange: Exchange, started: Instant) -> AttemptEnd {
        let head = response_head(&exchange.head);
        let mut buffered = self.view.buffers.start();
        loop {
            let remaining = self.deadline.saturating_duration_since(Instant::now());
            let next = compio::time::timeout(remaining, exchange.next()).await;
            match next.unwrap_or(Err(SendError::Timeout)) {
                Ok(Some(part)) if buffered.has_room_for(&part) => buffered.push(&part),
                Ok(Some(_)) if head.status.is_server_error() => {
                    self.record_failure();
                    return AttemptEnd::Unknown("a failure without end".into());
                }
                Ok(Some(part)) => {
                    self.view.outliers.borrow_mut().record_dropped(&self.key);
                    return AttemptEnd::Large(Box::new(exchange), buffered.finish(Some(&part)));
                }
                Ok(None) => break,
                Err(e) => {
                    self.record_failure();
                    let observation = match &e {
                        SendError::Broken(_) => Observation::BrokenMidway,
                        _ => Observation::Silence,
                    };
                    return AttemptEnd::NoResponse(observation, e.to_string());
                }
            }
        }
        exchange.return_to_pool();
        if head.status.is_server_error() {
            self.record_failure();
        } else {
            self.view.outliers.borrow_mut().record_response(&self.key, started.elapsed());
        }
        AttemptEnd::Complete(head, buffered.finish(None))
    }

    fn record_failure(&self) {
        self.view.outliers.borrow_mut().record_failure(&self.key, clock::since_boot());
    }
}

/// Metric label for the result of an attempt; `None` stands for a cancelled attempt.
pub fn outcome(end: Option<&AttemptEnd>) -> &'static str {
    match end {
        Some(AttemptEnd::Complete(head, _)) if head.status.is_server_error() => "failed",
        Some(AttemptEnd::Complete(..) | AttemptEnd::Stream(_) | AttemptEnd::Large(..)) => {
            "answered"
        }
        Some(AttemptEnd::NotRun(_)) => "not_run",
        Some(AttemptEnd::Unknown(_) | AttemptEnd::NoResponse(..)) => "unknown",
        None => "cancelled",
    }
}

/// Copies the headers without hop-by-hop headers.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_options: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let kept = headers.iter().filter(|(name, _)| {
        !HOP_BY_HOP_HEADERS.contains(&name.as_str())
            && !connection_options.iter().any(|n| n == name.as_str())
    });
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// Head of a response as it is passed on.
pub fn response_head(head: &response::Parts) -> response::Parts {
    let mut response = http::Response::new(());
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end_headers(&head.headers);
    relay::remove_mark(response.headers_mut());
    response.into_parts().0
}
