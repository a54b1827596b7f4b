//! HTTP/1.1 messages over a blocking socket.

use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;

/// Greatest head and body that are read.
const MAX_HEAD: usize = 64 * 1024;
const MAX_BODY: usize = 64 << 20;

/// A request or a response: its first line, its headers with names in lower case, and its body.
#[derive(Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The word of the first line at a position.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
pub struct Conn {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut buffer = [0; 16 * 1024];
        let length = self.stream.read(&mut buffer)?;
        if length == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        self.ahead.extend_from_slice(&buffer[..length]);
        Ok(())
    }

    /// Reads one message. `is_response`: a body without a length goes on to the end of the connection.
    pub fn read(&mut self, is_response: bool) -> io::Result<Message> {
        let end = loop {
            if let Some(end) = find(&self.ahead, b"\r\n\r\n") {
                break end;
            }
            if self.ahead.len() > MAX_HEAD {
                return Err(ErrorKind::InvalidData.into());
            }
            self.fill()?;
        };
        let head: Vec<u8> = self.ahead.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&head[..end]).into_owned();
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()));
        let mut message = Message {
            line,
            headers: headers.collect(),
            body: Vec::new(),
        };
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value.to_ascii_lowercase().contains("chunked"));
        let length = message.header("content-length").map(str::to_owned);
        if is_chunked {
            message.body = self.read_chunks()?;
        } else if let Some(length) = length {
            let length = length.parse().map_err(|_| ErrorKind::InvalidData)?;
            message.body = self.read_exact(length)?;
        } else if is_response && !matches!(message.status(), 204 | 304) {
            while message.body.len() < MAX_BODY {
                match self.fill() {
                    Ok(()) => message.body.append(&mut self.ahead),
                    Err(error) if error.kind() == ErrorKind::UnexpectedEof => break,
                    Err(error) => return Err(error),
                }
            }
        }
        Ok(message)
    }

    fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        if length > MAX_BODY {
            return Err(ErrorKind::InvalidData.into());
        }
        while self.ahead.len() < length {
            self.fill()?;
        }
        Ok(self.ahead.drain(..length).collect())
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = find(&self.ahead, b"\r\n") {
                    break end;
                }
                self.fill()?;
            };
            let line: Vec<u8> = self.ahead.drain(..end + 2).collect();
            let size = String::from_utf8_lossy(&line[..end]).into_owned();
            let size = size.split(';').next().unwrap_or_default().trim().to_owned();
            let size = usize::from_str_radix(&size, 16).map_err(|_| ErrorKind::InvalidData)?;
            let chunk = self.read_exact(size + 2)?;
            body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Ok(body);
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes a response with a length.
    pub fn respond(
        &mut self,
        status: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {status}\r\n");
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += &format!("Content-Length: {}\r\n\r\n", body.len());
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }
}

pub fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|part| part == pattern)
}
