//! Reads and writes HTTP/1.1 messages on blocking sockets.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
    time::{Duration, Instant},
};

/// A request with its whole body.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of a header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name).unwrap_or("")
    }

    /// Returns the value of a parameter of the query; empty if there is none.
    pub fn param(&self, name: &str) -> &str {
        let query = self.path.split_once('?').map_or("", |(_, query)| query);
        let mut params = query.split('&').filter_map(|param| param.split_once('='));
        params.find(|(key, _)| *key == name).map_or("", |(_, value)| value)
    }
}

/// An answer with the part of its body that has arrived.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the whole body has arrived.
    pub is_complete: bool,
}

impl Answer {
    /// Returns the value of a header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name).unwrap_or("")
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

/// Connection with the bytes that were read ahead.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    /// Reads more bytes. Returns `false` at the end of the stream.
    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 << 10];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    /// Reads the first line and the headers of a message; `None` at the end of the
    /// stream.
    fn head(&mut self) -> io::Result<Option<(String, Vec<(String, String)>)>> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break end;
            }
            if !self.fill()? {
                return if self.buffer.is_empty() { Ok(None) } else { Err(invalid("head broke off")) };
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&head).into_owned();
        let mut lines = text.split("\r\n").filter(|line| !line.is_empty());
        let first = lines.next().unwrap_or("").to_owned();
        let header =
            |line: &str| line.split_once(':').map(|(k, v)| (k.trim().to_owned(), v.trim().to_owned()));
        Ok(Some((first, lines.filter_map(header).collect())))
    }

    fn take(&mut self, count: usize, body: &mut Vec<u8>) -> io::Result<()> {
        let mut left = count;
        while left > 0 {
            if self.buffer.is_empty() && !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let now = left.min(self.buffer.len());
            body.extend(self.buffer.drain(..now));
            left -= now;
        }
        Ok(())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> io::Result<()> {
        loop {
            let line = self.line()?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| invalid("bad chunk"))?;
            self.take(size, body)?;
            self.line()?;
            if size == 0 {
                return Ok(());
            }
        }
    }

    fn body(&mut self, headers: &[(String, String)], body: &mut Vec<u8>) -> io::Result<bool> {
        if find(headers, "transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
            return self.chunks(body).map(|()| true);
        }
        match find(headers, "content-length") {
            Some(text) => {
                let length = text.parse().map_err(|_| invalid("bad length"))?;
                self.take(length, body).map(|()| true)
            }
            None => Ok(false),
        }
    }

    /// Reads a request; `None` at the end of the stream.
    pub fn request(&mut self) -> io::Result<Option<Request>> {
        let Some((first, headers)) = self.head()? else { return Ok(None) };
        let mut words = first.split(' ');
        let (method, path) = (words.next().unwrap_or("").to_owned(), words.next().unwrap_or("").to_owned());
        let mut body = Vec::new();
        self.body(&headers, &mut body)?;
        Ok(Some(Request { method, path, headers, body }))
    }

    /// Reads an answer until it is complete, the connection ends or `until`. Returns
    /// `None` if not even its head has arrived. `has_body` is whether answers to the
    /// method have bodies.
    pub fn answer(&mut self, until: Instant, has_body: bool) -> Option<Answer> {
        let mut answer = loop {
            self.limit(until)?;
            let (first, headers) = self.head().ok()??;
            let status: u16 = first.split(' ').nth(1)?.parse().ok()?;
            if status >= 200 {
                break Answer { status, headers, body: Vec::new(), is_complete: false };
            }
        };
        if !has_body || matches!(answer.status, 204 | 304) {
            answer.is_complete = true;
            return Some(answer);
        }
        let mut body = Vec::new();
        let headers = answer.headers.clone();
        let mut stepped = Stepped { conn: self, until };
        let read = stepped.body(&headers, &mut body);
        answer.is_complete = matches!(read, Ok(true));
        answer.body = body;
        Some(answer)
    }

    /// Bounds the time of reads. Returns `None` if none is left.
    fn limit(&self, until: Instant) -> Option<()> {
        let left = until.checked_duration_since(Instant::now()).filter(|left| *left > Duration::ZERO)?;
        self.stream.set_read_timeout(Some(left)).ok()
    }
}

/// Reads a body with a bound on the whole time, not on each read.
struct Stepped<'a> {
    conn: &'a mut Conn,
    until: Instant,
}

impl Stepped<'_> {
    fn body(&mut self, headers: &[(String, String)], body: &mut Vec<u8>) -> io::Result<bool> {
        // A read that ends in time may be followed by another, so the bytes are read
        // in small steps, each with the rest of the time.
        let until = self.until;
        let is_chunked =
            find(headers, "transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        let length = find(headers, "content-length").map(|text| text.parse::<usize>());
        if is_chunked {
            loop {
                self.conn.limit(until).ok_or(io::ErrorKind::TimedOut)?;
                let line = self.conn.line()?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
                let size = size.map_err(|_| invalid("bad chunk"))?;
                self.conn.take(size, body)?;
                self.conn.line()?;
                if size == 0 {
                    return Ok(true);
                }
            }
        }
        if let Some(length) = length {
            let length = length.map_err(|_| invalid("bad length"))?;
            while body.len() < length {
                self.conn.limit(until).ok_or(io::ErrorKind::TimedOut)?;
                let step = (length - body.len()).min(4 << 10);
                self.conn.take(step, body)?;
            }
            return Ok(true);
        }
        loop {
            self.conn.limit(until).ok_or(io::ErrorKind::TimedOut)?;
            let buffered = std::mem::take(&mut self.conn.buffer);
            body.extend(buffered);
            if !self.conn.fill()? {
                return Ok(true);
            }
        }
    }
}

/// Writes a message: the first line, headers and a body with its length.
pub fn write(stream: &mut TcpStream, first: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
    let mut text = format!("{first}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("content-length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
