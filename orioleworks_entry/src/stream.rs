//! Reads an engine's response from server-sent events.
//!
//! A stream is complete only with its end marker. Its spans are valid only if every chunk has a weight version and the
//! engine's incarnation did not change. See `docs/design.md`, sections 9 and 14.

use orioleworks_proto::inner;
use serde::Deserialize;

/// End marker of a stream.
const END_MARKER: &str = "[DONE]";

#[derive(Debug, Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    weight_version: Option<u64>,
    #[serde(default)]
    tokens: u32,
    incarnation: Option<u64>,
    request_id: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
}

/// Error in a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// An event is not the JSON of a chunk.
    Malformed,
    /// A chunk belongs to another request.
    Crossed,
    /// The response exceeds the size limit.
    TooLarge,
}

/// Collects the chunks of a stream.
#[derive(Debug)]
pub struct Reader {
    request_id: String,
    max_bytes: usize,
    line: Vec<u8>,
    text: String,
    spans: Vec<inner::Span>,
    /// Tokens of all spans.
    tokens: u32,
    incarnation: Option<u64>,
    conclusive: bool,
    done: bool,
}

impl Reader {
    /// Creates a reader for the response to one attempt.
    pub fn new(request_id: impl Into<String>, max_bytes: usize) -> Self {
        Self {
            request_id: request_id.into(),
            max_bytes,
            line: Vec::new(),
            text: String::new(),
            spans: Vec::new(),
            tokens: 0,
            incarnation: None,
            conclusive: true,
            done: false,
        }
    }

    /// Parses the next bytes of the stream.
    ///
    /// # Errors
    ///
    /// Returns the first error in the stream.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), StreamError> {
        for piece in bytes.split_inclusive(|b| *b == b'\n') {
            if self.line.len() + piece.len() + self.text.len() > self.max_bytes {
                return Err(StreamError::TooLarge);
            }
            self.line.extend_from_slice(piece);
            if piece.ends_with(b"\n") {
                let line = std::mem::take(&mut self.line);
                self.parse_line(&line)?;
            }
        }
        Ok(())
    }

    /// Whether the end marker has arrived.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Number of tokens received so far.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Text and spans of a complete stream; the spans are `None` if a weight version is missing or the incarnation
    /// changed.
    pub fn finish(self) -> Option<(String, Option<Vec<inner::Span>>)> {
        let conclusive = self.conclusive && !self.spans.is_empty();
        self.done.then_some((self.text, conclusive.then_some(self.spans)))
    }

    fn parse_line(&mut self, line: &[u8]) -> Result<(), StreamError> {
        let line = std::str::from_utf8(line).map_err(|_| StreamError::Malformed)?.trim_end();
        let Some(data) = line.strip_prefix("data:").map(str::trim_start) else { return Ok(()) };
        if self.done {
            return Ok(());
        }
        if data == END_MARKER {
            self.done = true;
            return Ok(());
        }
        let chunk: Chunk = serde_json::from_str(data).map_err(|_| StreamError::Malformed)?;
        if chunk.request_id.is_some_and(|id| id != self.request_id) {
            return Err(StreamError::Crossed);
        }
        if let Some(incarnation) = chunk.incarnation
            && *self.incarnation.get_or_insert(incarnation) != incarnation
        {
            self.conclusive = false;
        }
        for choice in &chunk.choices {
            self.text.push_str(&choice.text);
        }
        match chunk.weight_version {
            Some(version) => self.add_tokens(version, chunk.tokens)?,
            None => self.conclusive = false,
        }
        Ok(())
    }

    /// Counts tokens; no response has as many as a sum that overflows.
    fn add_tokens(&mut self, version: u64, tokens: u32) -> Result<(), StreamError> {
        self.tokens = self.tokens.checked_add(tokens).ok_or(StreamError::Malformed)?;
        match self.spans.last_mut() {
            Some(span) if span.version == version => span.tokens += tokens,
            _ => self.spans.push(inner::Span { version, tokens }),
        }
        Ok(())
    }
}
