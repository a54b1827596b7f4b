//! HTTP/1.1 over blocking sockets: a server with one thread for each connection, and calls of a client.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Headers by lower-case name.
pub type Headers = HashMap<String, String>;

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The value of a parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(known, _)| *known == name)
            .map(|(_, value)| value)
    }
}

pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    pub fn with(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }
}

/// Reads a line without its end, which is CR LF.
fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 || !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    line.truncate(line.trim_end_matches(['\r', '\n']).len());
    Ok(line)
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Headers> {
    let mut headers = Headers::new();
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(':') else {
            return Ok(headers);
        };
        headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
    }
}

/// Reads a body with a length or in chunks.
fn read_body(reader: &mut impl BufRead, headers: &Headers) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if headers
        .get("transfer-encoding")
        .is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
    {
        loop {
            let line = read_line(reader)?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            body.extend_from_slice(&chunk);
            if size == 0 {
                while !read_line(reader)?.is_empty() {}
                return Ok(body);
            }
            read_line(reader)?;
        }
    }
    let length = headers
        .get("content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    body.resize(length, 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// A running server. `stop` closes its listener and all its connections, as the end of its process would.
pub struct Server {
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
    open: Arc<Mutex<HashMap<u64, TcpStream>>>,
}

impl Server {
    pub fn start(
        address: SocketAddr,
        handler: impl Fn(Request) -> Response + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let stopped = Arc::new(AtomicBool::new(false));
        let open: Arc<Mutex<HashMap<u64, TcpStream>>> = Arc::default();
        let handler = Arc::new(handler);
        let last = AtomicU64::new(0);
        let (is_stopped, streams) = (Arc::clone(&stopped), Arc::clone(&open));
        thread::spawn(move || {
            for stream in listener.incoming() {
                if is_stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let id = last.fetch_add(1, Ordering::SeqCst);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    streams.lock().unwrap().insert(id, copy);
                }
                let (handler, streams) = (Arc::clone(&handler), Arc::clone(&streams));
                thread::spawn(move || {
                    let _ = serve(stream, &*handler);
                    streams.lock().unwrap().remove(&id);
                });
            }
        });
        Ok(Self {
            address,
            stopped,
            open,
        })
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which then drops the listener.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        for stream in self.open.lock().unwrap().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(stream: TcpStream, handler: &(impl Fn(Request) -> Response + ?Sized)) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let line = read_line(&mut reader)?;
        let mut words = line.split(' ');
        let (method, target) = (
            words.next().unwrap_or_default(),
            words.next().unwrap_or_default(),
        );
        let (method, target) = (method.to_owned(), target.to_owned());
        let headers = read_headers(&mut reader)?;
        let body = read_body(&mut reader, &headers)?;
        let response = handler(Request {
            method,
            target,
            headers,
            body,
        });
        let mut text = format!(
            "HTTP/1.1 {} -\r\nContent-Length: {}\r\n",
            response.status,
            response.body.len()
        );
        for (name, value) in &response.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&response.body);
        writer.write_all(&bytes)?;
    }
}

/// A kept connection of a client.
pub struct Connection {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

/// The answer to a call.
pub struct Answer {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// Whether the connection can take another request.
    pub is_kept: bool,
}

impl Connection {
    pub fn open(address: SocketAddr, time: Duration) -> io::Result<Self> {
        let writer = TcpStream::connect_timeout(&address, time)?;
        writer.set_nodelay(true)?;
        let reader = BufReader::new(writer.try_clone()?);
        Ok(Self { writer, reader })
    }

    /// Sends a request and reads its whole answer before `deadline`.
    pub fn call(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        deadline: Instant,
    ) -> io::Result<Answer> {
        let mut text = format!("{method} {target} HTTP/1.1\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        let left = deadline
            .saturating_duration_since(Instant::now())
            .max(Duration::from_millis(1));
        self.reader.get_ref().set_read_timeout(Some(left))?;
        self.writer.set_write_timeout(Some(left))?;
        self.writer.write_all(&bytes)?;
        let line = read_line(&mut self.reader)?;
        let status = line.split(' ').nth(1).and_then(|word| word.parse().ok());
        let status = status.ok_or_else(|| io::Error::other("no status"))?;
        let headers = read_headers(&mut self.reader)?;
        let body = read_body(&mut self.reader, &headers)?;
        let is_kept = !headers
            .get("connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close"));
        Ok(Answer {
            status,
            headers,
            body,
            is_kept,
        })
    }
}
