//! Minimal HTTP/1.1 for the stand-ins: reading of requests and answers, and
//! text to write them.

use std::{
    io::{self, BufRead, BufReader, Read},
    net::TcpStream,
};

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    /// Names, in lower case, and values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| &**value)
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, v)| v)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

fn line(reader: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut text = String::new();
    if reader.read_line(&mut text)? == 0 || !text.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(text.trim_end().to_owned())
}

/// Reads a complete message.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let mut message = Message { first: line(reader)?, ..Message::default() };
    loop {
        let text = line(reader)?;
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    if message.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        loop {
            let size = usize::from_str_radix(&line(reader)?, 16).map_err(io::Error::other)?;
            let start = message.body.len();
            message.body.resize(start + size, 0);
            reader.read_exact(&mut message.body[start..])?;
            line(reader)?;
            if size == 0 {
                return Ok(message);
            }
        }
    }
    let length = message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body)?;
    Ok(message)
}

/// Returns the bytes of an answer.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    [text.as_bytes(), body].concat()
}
