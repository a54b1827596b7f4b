//! HTTP/1.1 messages over blocking sockets, as far as the stand-ins need them.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A connection with the bytes that were read and not used yet.
pub struct Wire {
    pub stream: TcpStream,
    unread: Vec<u8>,
    /// Requests whose first line has this text are returned once 64 KB of their body have arrived.
    pub begins_early: Option<String>,
}

/// A request or a response.
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// A word of the first line: method and target of a request, status of a response.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

fn failure(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, unread: Vec::new(), begins_early: None }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16 * 1024];
        let count = self.stream.read(&mut buffer)?;
        self.unread.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    /// Reads a message. `None` if the other side closed the connection before it.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.unread.windows(4).position(|four| four == b"\r\n\r\n") {
                break at + 4;
            }
            if self.unread.len() > 64 * 1024 {
                return Err(failure("the head is too long"));
            }
            if self.fill()? == 0 {
                if self.unread.is_empty() {
                    return Ok(None);
                }
                return Err(failure("the head broke off"));
            }
        };
        let head: Vec<u8> = self.unread.drain(..end).collect();
        let head = String::from_utf8(head).map_err(|_| failure("the head is no text"))?;
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let headers: Vec<_> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let mut message = Message { start, headers, body: Vec::new() };
        if self.begins_early.as_ref().is_some_and(|text| message.start.contains(text)) {
            message.body = self.take(64 * 1024)?;
            return Ok(Some(message));
        }
        if message.header("transfer-encoding").is_some() {
            loop {
                let line = self.line()?;
                let length = usize::from_str_radix(line.trim(), 16).map_err(|_| failure("chunk"))?;
                let chunk = self.take(length)?;
                message.body.extend(chunk);
                self.line()?;
                if length == 0 {
                    break;
                }
            }
        } else {
            let length = message.header("content-length").and_then(|value| value.parse().ok());
            message.body = self.take(length.unwrap_or(0))?;
        }
        Ok(Some(message))
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.unread.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.unread.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(failure("the body broke off"));
            }
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.unread.len() < length {
            if self.fill()? == 0 {
                return Err(failure("the body broke off"));
            }
        }
        Ok(self.unread.drain(..length).collect())
    }

    pub fn write(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }
}
