//! A small HTTP/1.1 reader and writer over blocking sockets.

use std::{
    io::{self, ErrorKind, Read},
    net::TcpStream,
};

/// Largest head that is read, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Head of a request or an answer.
#[derive(Clone, Debug)]
pub struct Head {
    /// First line.
    pub start: String,
    /// Fields, with names in lower case.
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Returns the first value of a field.
    pub fn get(&self, name: &str) -> Option<&str> {
        let field = self.fields.iter().find(|(known, _)| known == name);
        field.map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer, or 0.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query, as it is written.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .into_iter()
            .find(|(known, _)| *known == name)
            .map(|(_, value)| value)
    }
}

/// Reads messages from a connection.
#[derive(Debug)]
pub struct MessageReader {
    stream: TcpStream,
    pending: Vec<u8>,
}

impl MessageReader {
    /// Creates a reader of a connection.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            pending: Vec::new(),
        }
    }

    /// Reads a head; returns `None` if the peer closed the connection before it.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.pending, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.pending[..end]).into_owned();
                self.pending.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or_default().to_owned();
                let fields = lines.filter_map(|line| line.split_once(':'));
                let fields = fields.map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()));
                return Ok(Some(Head {
                    start,
                    fields: fields.collect(),
                }));
            }
            if self.pending.len() > MAX_HEAD_BYTES {
                return Err(ErrorKind::InvalidData.into());
            }
            if self.fill()? == 0 {
                return if self.pending.is_empty() {
                    Ok(None)
                } else {
                    Err(ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    /// Reads a body that has a length or comes in chunks; a message without either has none.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let mut content = Vec::new();
        if head.get("transfer-encoding").is_some() {
            while let Some(chunk) = self.chunk()? {
                content.extend(chunk);
            }
            return Ok(content);
        }
        let length = head.get("content-length").and_then(|length| length.parse().ok());
        self.exact(length.unwrap_or(0))
    }

    /// Reads one chunk; returns `None` at the end of the body.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.line()?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| io::Error::from(ErrorKind::InvalidData))?;
        let content = self.exact(size)?;
        self.line()?;
        Ok((size > 0).then_some(content))
    }

    /// Reads a number of bytes.
    pub fn exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.pending.len() < length {
            if self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.pending.drain(..length).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.pending, b"\r\n") {
                let line = String::from_utf8_lossy(&self.pending[..end]).into_owned();
                self.pending.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 4096];
        let length = self.stream.read(&mut part)?;
        self.pending.extend_from_slice(&part[..length]);
        Ok(length)
    }
}

/// Returns an answer with a body of known length; `fields` are whole lines without their ends.
pub fn answer_bytes(status: &str, fields: &[String], body: &[u8]) -> Vec<u8> {
    let mut message = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for field in fields {
        message.push_str(field);
        message.push_str("\r\n");
    }
    message.push_str("\r\n");
    let mut message = message.into_bytes();
    message.extend_from_slice(body);
    message
}

/// Returns the position of the first occurrence of a part.
pub fn find(content: &[u8], part: &[u8]) -> Option<usize> {
    content.windows(part.len()).position(|window| window == part)
}
