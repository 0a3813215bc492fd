//! Fake instance that sends scripted replies on its own port.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use laburnumdeal_cli::{Client, ClientSettings, Input, Options, Session, Token, run};
use laburnumdeal_language::{OperatorReply, OperatorRequest};
use tokio::net::TcpSocket;

/// Scripted behavior of the instance on one connection.
#[derive(Clone)]
pub enum Step {
    /// Sends an HTTP response with a status and a body.
    Response(u16, String),
    /// Sends the reply that the function returns for the request.
    Reply(fn(&OperatorRequest) -> OperatorReply),
    /// Sends the first bytes of the response to the request, and closes the connection.
    Truncate(usize, fn(&OperatorRequest) -> OperatorReply),
    /// Reads the request and closes the connection.
    Close,
    /// Reads the request and sends nothing until the client closes the connection.
    Hang,
}

/// Running instance that records the requests it reads.
pub struct FakeInstance {
    pub address: String,
    requests: Arc<Mutex<Vec<(String, OperatorRequest)>>>,
}

impl FakeInstance {
    /// Starts an instance that runs one step per connection and repeats the last one.
    pub fn spawn(steps: Vec<Step>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let requests = Arc::default();
        let received = Arc::clone(&requests);
        thread::spawn(move || {
            for (position, stream) in listener.incoming().enumerate() {
                let step = &steps[position.min(steps.len() - 1)];
                let _ = serve(stream.unwrap(), step, &received);
            }
        });
        Self { address, requests }
    }

    /// Returns the size of the full HTTP response to a change, in bytes.
    pub fn response_bytes(reply: fn(&OperatorRequest) -> OperatorReply, id: &str) -> usize {
        let request = OperatorRequest {
            command_id: Some(id.parse().unwrap()),
            ..OperatorRequest::default()
        };
        response(200, &json(reply(&request))).len()
    }

    /// Returns the requests received so far.
    pub fn requests(&self) -> Vec<OperatorRequest> {
        let requests = self.requests.lock().unwrap();
        requests
            .iter()
            .map(|(_, request)| request.clone())
            .collect()
    }

    /// Returns the HTTP head of the first request.
    pub fn first_head(&self) -> String {
        self.requests.lock().unwrap()[0].0.clone()
    }
}

/// Port that refuses connections. The bound socket keeps other processes from listening on it.
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

/// Returns options with these addresses and arguments.
pub fn options(addresses: &[&str], words: &[&str]) -> Options {
    let mut args = vec!["--timeout-ms", "2000"];
    args.extend(addresses.iter().flat_map(|address| ["--address", address]));
    args.extend(words);
    Options::parse(args).unwrap()
}

/// Returns a client with a test token.
pub fn client(options: &Options) -> Client {
    Client::new(ClientSettings {
        addresses: options.addresses.clone(),
        token: Token::parse("secret-of-nadia").unwrap(),
        connect_timeout_ms: 2_000,
        timeout_ms: options.timeout_ms,
    })
}

/// Returns a session with a test client.
pub fn session(options: &Options) -> Session {
    Session::new(client(options), options.clone())
}

/// Runs a command line and returns the exit status, standard output and standard error.
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
    received: &Mutex<Vec<(String, OperatorRequest)>>,
) -> std::io::Result<()> {
    let (head, request) = read_request(&mut stream)?;
    received.lock().unwrap().push((head, request.clone()));
    match step {
        Step::Response(status, body) => stream.write_all(&response(*status, body)),
        Step::Reply(reply) => stream.write_all(&response(200, &json(reply(&request)))),
        Step::Truncate(bytes, reply) => {
            let full_response = response(200, &json(reply(&request)));
            assert!(
                *bytes < full_response.len(),
                "the response is not truncated"
            );
            stream.write_all(&full_response[..*bytes])
        }
        Step::Close => Ok(()),
        Step::Hang => stream.read(&mut [0]).map(drop),
    }
}

fn read_request(stream: &mut TcpStream) -> std::io::Result<(String, OperatorRequest)> {
    let mut bytes = Vec::new();
    loop {
        let mut chunk = [0; 4096];
        let read_bytes = stream.read(&mut chunk)?;
        bytes.extend_from_slice(&chunk[..read_bytes]);
        let text = String::from_utf8_lossy(&bytes);
        if let Some((head, body)) = text.split_once("\r\n\r\n")
            && let Ok(request) = serde_json::from_str(body)
        {
            return Ok((head.to_owned(), request));
        }
        if read_bytes == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
}

fn json(reply: OperatorReply) -> String {
    serde_json::to_string(&reply).unwrap()
}

fn response(status: u16, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} Status\r\ncontent-length: {length}\r\n\r\n{body}").into_bytes()
}
