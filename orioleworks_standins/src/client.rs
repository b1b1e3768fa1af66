//! HTTP client of the stand-ins: requests with a timeout that return complete responses.

use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::HeaderMap;
use serde::{Serialize, de::DeserializeOwned};

/// Why a request has no complete response.
#[derive(Clone, Debug, Display)]
pub enum ClientError {
    /// connection: {0}
    Connection(String),
    /// no answer in time
    Timeout,
    /// status {0}: {1}
    Status(u16, String),
    /// answer cannot be read: {0}
    InvalidBody(String),
}

impl std::error::Error for ClientError {}

/// Complete response.
#[derive(Clone, Debug)]
pub struct CompleteResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl CompleteResponse {
    /// Parses the body of a successful response as JSON.
    ///
    /// # Errors
    ///
    /// Returns the status of an unsuccessful response, or why the body cannot be parsed.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, ClientError> {
        if self.status != 200 {
            let text = String::from_utf8_lossy(&self.body).into_owned();
            return Err(ClientError::Status(self.status, text));
        }
        serde_json::from_slice(&self.body).map_err(|e| ClientError::InvalidBody(e.to_string()))
    }
}

/// Client with a connection pool; clones share it.
#[derive(Clone, Debug)]
pub struct Client {
    inner: cyper::Client,
}

impl Client {
    /// New client.
    ///
    /// # Errors
    ///
    /// Returns why the client cannot be set up.
    pub fn new() -> Result<Self, ClientError> {
        // A redirect would send a request a second time, and a proxy would hide a refused connection.
        let builder = cyper::Client::builder().redirect(cyper::redirect::Policy::none());
        let inner = builder.no_proxy().build().map_err(connection)?;
        Ok(Self { inner })
    }

    /// The underlying client, for streams.
    pub fn inner(&self) -> &cyper::Client {
        &self.inner
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns why there is no complete response; the request may have run.
    pub async fn send(
        &self,
        method: http::Method,
        url: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
        timeout: Duration,
    ) -> Result<CompleteResponse, ClientError> {
        let mut builder = self.inner.request(method, url).map_err(connection)?;
        for (name, value) in headers {
            builder = builder.header(*name, *value).map_err(connection)?;
        }
        let body: Bytes = body.into();
        let exchange = async {
            let response = builder.body(body).send().await.map_err(connection)?;
            let (status, headers) = (response.status().as_u16(), response.headers().clone());
            let body = response.bytes().await.map_err(connection)?;
            Ok(CompleteResponse { status, headers, body })
        };
        compio::time::timeout(timeout, exchange).await.map_err(|_| ClientError::Timeout)?
    }

    /// Posts JSON and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns why there is no complete response; the request may have run.
    pub async fn post(
        &self,
        url: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<CompleteResponse, ClientError> {
        let bytes = serde_json::to_vec(body).map_err(connection)?;
        let headers = [("content-type", "application/json")];
        self.send(http::Method::POST, url, &headers, bytes, timeout).await
    }

    /// Sends a GET request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns why there is no complete response.
    pub async fn get(&self, url: &str, timeout: Duration) -> Result<CompleteResponse, ClientError> {
        self.send(http::Method::GET, url, &[], Bytes::new(), timeout).await
    }
}

fn connection(e: impl std::fmt::Display) -> ClientError {
    ClientError::Connection(e.to_string())
}
