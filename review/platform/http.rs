//! The part of HTTP/1.1 that the stand-ins need.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Head of a message with its whole body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended before its announced end.
    pub is_cut: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut matching = self
            .headers
            .iter()
            .filter(|(other, _)| other.eq_ignore_ascii_case(name));
        matching.next().map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }
}

/// Connection with its read buffer.
pub struct Connection {
    pub reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            reader: BufReader::new(stream),
        }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }

    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads the head of a message; `None` at the end of the connection.
    pub fn read_head(&mut self) -> Option<Message> {
        let mut message = Message::default();
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end();
            match (line.is_empty(), message.start.is_empty()) {
                (true, true) => {}
                (true, false) => return Some(message),
                (false, true) => message.start = line.to_owned(),
                (false, false) => {
                    let (name, value) = line.split_once(':').unwrap_or((line, ""));
                    message
                        .headers
                        .push((name.to_owned(), value.trim().to_owned()));
                }
            }
        }
    }

    /// Reads the body that follows a head.
    pub fn read_body(&mut self, message: &mut Message) {
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|v| v.contains("chunked"));
        if is_chunked {
            message.is_cut = self.read_chunks(&mut message.body).is_none();
            return;
        }
        let length = message
            .header("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let mut body = Vec::new();
        let read = self.reader.by_ref().take(length).read_to_end(&mut body);
        message.is_cut = read.is_err() || body.len() as u64 != length;
        message.body = body;
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> Option<()> {
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let length = u64::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; length as usize + 2];
            self.reader.read_exact(&mut chunk).ok()?;
            if length == 0 {
                return Some(());
            }
            body.extend_from_slice(&chunk[..length as usize]);
        }
    }

    pub fn read_message(&mut self) -> Option<Message> {
        let mut message = self.read_head()?;
        self.read_body(&mut message);
        Some(message)
    }
}

/// Sends one request on a connection of its own and returns the answer.
pub fn call(address: SocketAddr, request: &[u8], timeout: Duration) -> Option<Message> {
    let mut connection = Connection::open(address, timeout).ok()?;
    connection.write(request).ok()?;
    connection.read_message()
}

/// Returns a request with a body of a known length.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    headers
        .iter()
        .for_each(|(name, value)| text += &format!("{name}: {value}\r\n"));
    if !body.is_empty() || !matches!(method, "GET" | "DELETE") {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    [text.as_bytes(), body].concat()
}

/// Returns a request with a body in chunks.
pub fn chunked_request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{method} {path} HTTP/1.1\r\n").into_bytes();
    let lines = headers
        .iter()
        .map(|(name, value)| format!("{name}: {value}\r\n"));
    lines.for_each(|line| bytes.extend_from_slice(line.as_bytes()));
    bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
    for chunk in body.chunks(16 * 1024) {
        bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

/// Listener that serves, until it is stopped.
#[derive(Clone, Default)]
pub struct Serving {
    is_stopped: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Serving {
    /// Closes the listener and all connections, as the end of the process would.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        let streams = self.streams.lock().expect("no holder panics");
        for stream in streams.iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Serves each connection of a listener in a thread of its own.
pub fn serve(
    listener: TcpListener,
    serve_one: impl Fn(Connection) + Clone + Send + 'static,
) -> Serving {
    let serving = Serving::default();
    let own = serving.clone();
    listener.set_nonblocking(true).expect("it is a socket");
    std::thread::spawn(move || {
        while !own.is_stopped.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            if let Ok(copy) = stream.try_clone() {
                own.streams.lock().expect("no holder panics").push(copy);
            }
            let serve_one = serve_one.clone();
            std::thread::spawn(move || serve_one(Connection::new(stream)));
        }
    });
    serving
}

/// Finds a free port of an address; the listener keeps it.
pub fn listen(ip: IpAddr) -> TcpListener {
    TcpListener::bind((ip, 0)).expect("a port is free")
}

/// Finds a port of an address for another process.
pub fn free_address(ip: IpAddr) -> SocketAddr {
    listen(ip).local_addr().expect("it is bound")
}
