use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Head and body of a message.
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer; 0 if it has none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message with a body of stated length, or in chunks. Returns `None` if the connection ends before.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let first_line = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut message = Message {
        first_line,
        headers,
        body: Vec::new(),
    };
    if message.header("transfer-encoding") == Some("chunked") {
        loop {
            let length = usize::from_str_radix(read_line(reader)?.trim(), 16).ok()?;
            let mut chunk = vec![0; length];
            reader.read_exact(&mut chunk).ok()?;
            read_line(reader)?;
            if length == 0 {
                return Some(message);
            }
            message.body.append(&mut chunk);
        }
    }
    let length = message.header("content-length");
    let length = length.map_or(Some(0), |length| length.parse().ok())?;
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    let length = reader.read_line(&mut line).ok()?;
    (length > 0).then(|| line.trim_end_matches(['\r', '\n']).to_owned())
}

/// Sends a request on a new connection and returns its answer.
pub fn call(
    address: SocketAddr,
    head: &str,
    body: &str,
    timeout: Duration,
) -> Result<Message, String> {
    let mut stream =
        TcpStream::connect_timeout(&address, timeout).map_err(|error| error.to_string())?;
    let _ = stream.set_read_timeout(Some(timeout));
    let _ = stream.set_nodelay(true);
    let length = body.len();
    let text = format!("{head}Content-Length: {length}\r\nConnection: close\r\n\r\n{body}");
    stream
        .write_all(text.as_bytes())
        .map_err(|error| error.to_string())?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader).ok_or_else(|| "no whole answer".to_owned())
}
