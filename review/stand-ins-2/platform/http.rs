//! Minimal HTTP/1.1 client and server, one exchange per connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

pub struct Answer {
    pub status: u16,
    pub body: String,
}

/// Sends a request on a new connection and returns its answer.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<Answer> {
    let headers = format!("Host: {address}\r\nContent-Type: application/json\r\n");
    send_with(address, method, path, &headers, body, timeout)
}

/// Sends a request with header lines on a new connection and returns its answer.
pub fn send_with(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<Answer> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(timeout))?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(timeout))?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\n{headers}Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body.as_bytes())?;
    let mut bytes = Vec::new();
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        match stream.read(&mut buffer)? {
            0 => break,
            length => bytes.extend_from_slice(&buffer[..length]),
        }
    }
    parse(&bytes).ok_or_else(|| io::Error::other("no whole answer"))
}

fn parse(bytes: &[u8]) -> Option<Answer> {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        let is_length = name.eq_ignore_ascii_case("content-length");
        is_length.then(|| value.trim().parse::<usize>().ok())?
    });
    if length.is_some_and(|length| body.len() < length) {
        return None;
    }
    Some(Answer {
        status,
        body: body.to_owned(),
    })
}

/// Serves requests without a body on an address; `answer` gets the head of each and returns the bytes
/// of its answer.
pub fn serve(
    address: SocketAddr,
    answer: impl Fn(&str) -> String + Clone + Send + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || answer_all(stream, answer));
        }
    });
    Ok(())
}

/// Returns an answer with header lines and a body.
pub fn format_answer(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}

/// Returns the value of a header in a head; empty if it has none.
pub fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let value = head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then_some(value.trim())
    });
    value.unwrap_or("")
}

fn answer_all(mut stream: TcpStream, answer: impl Fn(&str) -> String) {
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(length) = stream.read(&mut buffer) {
        if length == 0 {
            return;
        }
        received.extend_from_slice(&buffer[..length]);
        if received.windows(4).any(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&received).into_owned();
            received.clear();
            if stream.write_all(answer(&head).as_bytes()).is_err() {
                return;
            }
        }
    }
}
