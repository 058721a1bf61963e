//! The little of HTTP/1.1 that stand-ins need: heads, bodies and chunks on blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
};

/// Head of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// First line.
    pub start: String,
    /// Header fields, with names in lower case.
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns a parameter of the query of a request.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let (_, query) = self.word(1).split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(known, _)| *known == name).map(|(_, value)| value)
    }

    fn is_chunked(&self) -> bool {
        self.field("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }
}

/// A connection with what was read ahead of it.
#[derive(Debug)]
pub struct Connection {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Connection {
    /// Takes over a connected socket.
    ///
    /// # Errors
    /// The error if the socket cannot be shared.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            writer: stream.try_clone()?,
            reader: BufReader::new(stream),
        })
    }

    /// Returns the socket.
    pub fn socket(&self) -> &TcpStream {
        &self.writer
    }

    /// Reads a head; `None` if the peer closed the connection before it.
    ///
    /// # Errors
    /// The error if the connection breaks.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        let mut head = Head::default();
        if self.read_line(&mut head.start)? == 0 {
            return Ok(None);
        }
        loop {
            let mut line = String::new();
            if self.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let Some((name, value)) = line.split_once(':') else {
                return Ok(Some(head));
            };
            head.fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }

    /// Reads the body that belongs to a head.
    ///
    /// # Errors
    /// The error if the body is not whole.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        if head.is_chunked() {
            while let Some(chunk) = self.read_chunk()? {
                body.extend(chunk);
            }
            return Ok(body);
        }
        let length = head.field("content-length").and_then(|value| value.parse().ok());
        body.resize(length.unwrap_or(0), 0);
        self.reader.read_exact(&mut body)?;
        Ok(body)
    }

    /// Reads one chunk; `None` is the end of the body.
    ///
    /// # Errors
    /// The error if the connection ends before the body does.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let mut line = String::new();
        if self.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let length = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; length + 2];
        self.reader.read_exact(&mut chunk)?;
        chunk.truncate(length);
        Ok((length > 0).then_some(chunk))
    }

    /// Writes bytes.
    ///
    /// # Errors
    /// The error if the connection breaks.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.writer.write_all(bytes)
    }

    /// Writes one chunk; an empty one ends the body.
    ///
    /// # Errors
    /// The error if the connection breaks.
    pub fn write_chunk(&mut self, content: &[u8]) -> io::Result<()> {
        let mut bytes = format!("{:x}\r\n", content.len()).into_bytes();
        bytes.extend(content);
        bytes.extend(b"\r\n");
        self.write(&bytes)
    }

    /// Writes an answer whose body has a length.
    ///
    /// # Errors
    /// The error if the connection breaks.
    pub fn answer(&mut self, status: u16, fields: &str, body: &[u8]) -> io::Result<()> {
        let mut bytes = format!("HTTP/1.1 {status} -\r\n{fields}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
        bytes.extend(body);
        self.write(&bytes)
    }

    /// Fills a buffer.
    ///
    /// # Errors
    /// The error if the connection ends before that.
    pub fn read_exact(&mut self, buffer: &mut [u8]) -> io::Result<()> {
        self.reader.read_exact(buffer)
    }

    fn read_line(&mut self, line: &mut String) -> io::Result<usize> {
        let length = self.reader.read_line(line)?;
        line.truncate(line.trim_end().len());
        Ok(length)
    }
}

/// Serves each connection to a free port on loopback in a thread of its own; returns the address.
///
/// # Errors
/// The error if no port can be bound.
pub fn serve<F>(handler: F) -> io::Result<SocketAddr>
where
    F: Fn(Connection) -> io::Result<()> + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            // A broken connection concerns its peer only.
            thread::spawn(move || Connection::new(stream).and_then(|connection| handler(connection)));
        }
    });
    Ok(address)
}
