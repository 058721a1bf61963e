//! Reader of server-sent events and other bodies made of lines.

use std::collections::VecDeque;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use snafu::{ResultExt, Snafu};

/// Longest line, in bytes; far above that of any event or resource.
const MAX_LINE_BYTES: usize = 16 * 1024 * 1024;

/// Why no further line was read.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The connection broke.
    #[snafu(display("{source}"))]
    Broken {
        /// Cause.
        source: hyper::Error,
    },
    /// The line is longer than allowed.
    #[snafu(display("a line is longer than {MAX_LINE_BYTES} bytes"))]
    LineTooLong,
}

/// Reads a body line by line, or as server-sent events with one `data` line each.
#[derive(Debug)]
pub struct EventReader {
    body: Incoming,
    buffer: Vec<u8>,
    lines: VecDeque<String>,
}

impl EventReader {
    /// Creates a reader for a body.
    pub fn new(body: Incoming) -> Self {
        Self {
            body,
            buffer: Vec::new(),
            lines: VecDeque::new(),
        }
    }

    /// Returns the data of the next event, or `None` at the end of the body.
    ///
    /// # Errors
    /// [`ReadError`] when the connection broke, or a line has no end.
    pub async fn next_data(&mut self) -> Result<Option<String>, ReadError> {
        while let Some(line) = self.next_line().await? {
            if let Some(data) = line.strip_prefix("data:") {
                return Ok(Some(data.trim_start().to_owned()));
            }
        }
        Ok(None)
    }

    /// Returns the next line that is not blank, or `None` at the end of the body.
    ///
    /// # Errors
    /// [`ReadError`] when the connection broke, or a line has no end.
    pub async fn next_line(&mut self) -> Result<Option<String>, ReadError> {
        loop {
            if let Some(line) = self.lines.pop_front() {
                return Ok(Some(line));
            }
            let Some(frame) = self.body.frame().await else {
                let last = String::from_utf8_lossy(&std::mem::take(&mut self.buffer))
                    .trim()
                    .to_owned();
                return Ok((!last.is_empty()).then_some(last));
            };
            if let Ok(data) = frame.context(BrokenSnafu)?.into_data() {
                self.split_lines(&data);
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(ReadError::LineTooLong);
            }
        }
    }

    fn split_lines(&mut self, chunk: &Bytes) {
        for byte in chunk {
            if *byte != b'\n' {
                self.buffer.push(*byte);
                continue;
            }
            let line = String::from_utf8_lossy(&self.buffer).trim().to_owned();
            self.buffer.clear();
            if !line.is_empty() {
                self.lines.push_back(line);
            }
        }
    }
}
