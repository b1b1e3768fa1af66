//! A small HTTP/1.1 client and server side, on blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Status of an answer.
    pub status: u16,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Path of a request.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Whether the sender closes the connection after it.
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// A connection that is kept for further messages.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Connects to an address.
    pub fn open(address: &str, timeout: Duration) -> io::Result<Self> {
        let address: SocketAddr = address.parse().map_err(io::Error::other)?;
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        Self::new(stream)
    }

    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    /// Sets the longest wait of a read.
    pub fn set_timeout(&self, timeout: Option<Duration>) -> io::Result<()> {
        self.reader.get_ref().set_read_timeout(timeout)
    }

    /// Another handle of the socket, for writing.
    pub fn writer(&self) -> io::Result<TcpStream> {
        self.reader.get_ref().try_clone()
    }

    /// Writes bytes.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads one message; `None` if the connection was closed before it.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        if is_chunked(&message) {
            let mut body = Vec::new();
            self.chunks(|chunk| body.extend_from_slice(chunk))?;
            message.body = body;
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().map_err(io::Error::other)?;
            message.body.resize(length, 0);
            self.reader.read_exact(&mut message.body)?;
        }
        Ok(Some(message))
    }

    /// Passes on the body of an answer as it arrives, and returns its status once it is complete.
    pub fn read_stream(&mut self, each: impl FnMut(&[u8])) -> io::Result<u16> {
        let message = self.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if is_chunked(&message) {
            self.chunks(each)?;
        }
        Ok(message.status)
    }

    fn head(&mut self) -> io::Result<Option<Message>> {
        let mut message = Message::default();
        if self.line(&mut message.start)? == 0 {
            return Ok(None);
        }
        message.status =
            message.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or_default();
        loop {
            let mut line = String::new();
            if self.line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        Ok(Some(message))
    }

    fn chunks(&mut self, mut each: impl FnMut(&[u8])) -> io::Result<()> {
        loop {
            let mut line = String::new();
            if self.line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            self.reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            each(&chunk[..size]);
        }
    }

    /// Reads a line without its end, and returns its length with the end.
    fn line(&mut self, line: &mut String) -> io::Result<usize> {
        let len = self.reader.read_line(line)?;
        while line.ends_with(['\r', '\n']) {
            line.pop();
        }
        Ok(len)
    }
}

fn is_chunked(message: &Message) -> bool {
    message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
}

/// Bytes of a request.
pub fn request(
    host: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// Bytes of an answer.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} {status}\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// Sends a request on a connection of its own.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let host = headers.iter().find(|(n, _)| *n == "Host").map_or(address, |(_, v)| v);
    let rest: Vec<(&str, &str)> = headers.iter().filter(|(n, _)| *n != "Host").copied().collect();
    let mut connection = Connection::open(address, timeout)?;
    connection.set_timeout(Some(timeout))?;
    connection.write(&request(host, method, path, &rest, body))?;
    connection.read()?.ok_or(io::ErrorKind::UnexpectedEof.into())
}
