//! Blocking HTTP client: one request on one connection.

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

/// Response of a server.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Response {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }
}

/// Sends a request; `None` if there is no response.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Response> {
    const TIMEOUT: Duration = Duration::from_secs(15);
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head += "Host: test.example\r\n";
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(head.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).ok()?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Response { status, head: head.to_ascii_lowercase(), body: body.to_owned() })
}
