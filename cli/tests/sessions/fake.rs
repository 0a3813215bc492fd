//! Instance that gives scripted answers on a port of its own.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use laburnumdeal_cli::{Client, ClientSettings, Input, Options, Session, Token, run};
use laburnumdeal_language::{OperatorReply, OperatorRequest};
use tokio::net::TcpSocket;

/// What the instance does with one connection.
#[derive(Clone)]
pub enum Step {
    /// Sends a status and a body.
    Answer(u16, String),
    /// Sends a reply made from the request.
    Reply(fn(&OperatorRequest) -> OperatorReply),
    /// Sends so many bytes of a reply made from the request, and closes.
    Cut(usize, fn(&OperatorRequest) -> OperatorReply),
    /// Reads the request and closes.
    Close,
    /// Reads the request and keeps silent until the client leaves.
    Silence,
}

/// Running instance and the requests that it has read.
pub struct Fake {
    pub address: String,
    requests: Arc<Mutex<Vec<(String, OperatorRequest)>>>,
}

impl Fake {
    /// Runs one step a connection, the last one over and over.
    pub fn spawn(steps: Vec<Step>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let requests = Arc::default();
        let seen = Arc::clone(&requests);
        thread::spawn(move || {
            for (position, stream) in listener.incoming().enumerate() {
                let step = &steps[position.min(steps.len() - 1)];
                let _ = serve(stream.unwrap(), step, &seen);
            }
        });
        Self { address, requests }
    }

    /// Returns the length of the whole answer to a change.
    pub fn answer_bytes(reply: fn(&OperatorRequest) -> OperatorReply, id: &str) -> usize {
        let request = OperatorRequest {
            command_id: Some(id.parse().unwrap()),
            ..OperatorRequest::default()
        };
        answer(200, &json(reply(&request))).len()
    }

    /// Returns the requests so far.
    pub fn requests(&self) -> Vec<OperatorRequest> {
        let requests = self.requests.lock().unwrap();
        requests
            .iter()
            .map(|(_, request)| request.clone())
            .collect()
    }

    /// Returns the head of the first request.
    pub fn first_head(&self) -> String {
        self.requests.lock().unwrap()[0].0.clone()
    }
}

/// Port that refuses connections, held so that nothing else listens on it.
pub struct ClosedPort {
    pub address: String,
    _socket: TcpSocket,
}

impl ClosedPort {
    pub fn bind() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        Self {
            address: socket.local_addr().unwrap().to_string(),
            _socket: socket,
        }
    }
}

/// Returns options for some addresses.
pub fn options(addresses: &[&str], words: &[&str]) -> Options {
    let mut args = vec!["--timeout-ms", "2000"];
    args.extend(addresses.iter().flat_map(|address| ["--address", address]));
    args.extend(words);
    Options::parse(args).unwrap()
}

/// Returns a client with a token of its own.
pub fn client(options: &Options) -> Client {
    Client::new(ClientSettings {
        addresses: options.addresses.clone(),
        token: Token::parse("secret-of-nadia").unwrap(),
        connect_timeout_ms: 2_000,
        timeout_ms: options.timeout_ms,
    })
}

/// Returns a session of that client.
pub fn session(options: &Options) -> Session {
    Session::new(client(options), options.clone())
}

/// Runs a command line and returns exit status, output and errors.
pub async fn run_with(options: &Options, kind: Input, input: &str) -> (u8, String, String) {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let session = session(options);
    let exit = run(
        &session,
        options,
        (kind, input.as_bytes()),
        &mut out,
        &mut err,
    );
    let status = exit.await.unwrap().status();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (status, text(out), text(err))
}

fn serve(
    mut stream: TcpStream,
    step: &Step,
    seen: &Mutex<Vec<(String, OperatorRequest)>>,
) -> std::io::Result<()> {
    let (head, request) = read_request(&mut stream)?;
    seen.lock().unwrap().push((head, request.clone()));
    match step {
        Step::Answer(status, body) => stream.write_all(&answer(*status, body)),
        Step::Reply(reply) => stream.write_all(&answer(200, &json(reply(&request)))),
        Step::Cut(bytes, reply) => {
            let whole = answer(200, &json(reply(&request)));
            assert!(*bytes < whole.len(), "the answer is whole");
            stream.write_all(&whole[..*bytes])
        }
        Step::Close => Ok(()),
        Step::Silence => stream.read(&mut [0]).map(drop),
    }
}

fn read_request(stream: &mut TcpStream) -> std::io::Result<(String, OperatorRequest)> {
    let mut bytes = Vec::new();
    loop {
        let mut part = [0; 4096];
        let count = stream.read(&mut part)?;
        bytes.extend_from_slice(&part[..count]);
        let text = String::from_utf8_lossy(&bytes);
        if let Some((head, body)) = text.split_once("\r\n\r\n")
            && let Ok(request) = serde_json::from_str(body)
        {
            return Ok((head.to_owned(), request));
        }
        if count == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
}

fn json(reply: OperatorReply) -> String {
    serde_json::to_string(&reply).unwrap()
}

fn answer(status: u16, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} Status\r\ncontent-length: {length}\r\n\r\n{body}").into_bytes()
}
