//! Stand-ins of clients.

use {
    crate::http::{self, Message},
    std::{
        io::{self, BufReader, Write},
        net::{SocketAddr, TcpStream},
        time::Duration,
    },
};

/// A kept connection.
pub struct Conn {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

/// A request of a client.
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub key: Option<u16>,
    pub deadline: Duration,
    pub body: &'a [u8],
}

impl Conn {
    pub fn open(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self { writer: stream.try_clone()?, reader: BufReader::new(stream) })
    }

    /// Sends a request and waits for the answer until shortly after its
    /// deadline.
    pub fn send(&mut self, request: &Request<'_>) -> io::Result<Message> {
        let Request { method, path, id, key, deadline, body } = request;
        let mut text = format!(
            "{method} {path} HTTP/1.1\r\nHost: hulo84.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\n",
            deadline.as_millis()
        );
        if let Some(key) = key {
            text += &format!("X-Shard-Key: {key}\r\n");
        }
        if !body.is_empty() {
            text += &format!("Content-Length: {}\r\n", body.len());
        }
        text += "\r\n";
        self.writer.write_all(&[text.as_bytes(), body].concat())?;
        self.reader.get_ref().set_read_timeout(Some(*deadline + Duration::from_millis(700)))?;
        http::read(&mut self.reader)
    }
}

/// Sends bytes on a connection of its own and reads one answer.
pub fn once(addr: SocketAddr, text: &str, timeout: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    http::read(&mut BufReader::new(stream)).ok()
}
