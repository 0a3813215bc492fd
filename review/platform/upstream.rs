//! A server of a service, as the pages describe it.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{self, Connection, Message, Serving};
use crate::record::Record;

/// Request that a server began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub server: String,
    pub request: Message,
}

/// Time for which a server runs a request.
const RUN_TIME: Duration = Duration::from_millis(20);

#[derive(Clone)]
pub struct Upstreams {
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub record: Record,
    serving: Arc<Mutex<HashMap<String, Serving>>>,
}

impl Upstreams {
    pub fn new(record: Record) -> Self {
        Self {
            runs: Arc::default(),
            record,
            serving: Arc::default(),
        }
    }

    /// Starts a server and returns its address.
    pub fn start(&self, id: &str, ip: IpAddr) -> SocketAddr {
        let listener = http::listen(ip);
        let address = listener.local_addr().expect("it is bound");
        let (own, id) = (self.clone(), id.to_owned());
        let name = id.clone();
        let serving = http::serve(listener, move |connection| own.serve(&name, connection));
        self.serving
            .lock()
            .expect("no holder panics")
            .insert(id, serving);
        address
    }

    /// Ends a server at once: its connections and its port close.
    pub fn crash(&self, id: &str) {
        if let Some(serving) = self.serving.lock().expect("no holder panics").remove(id) {
            serving.stop();
            self.record.line(format!("server {id} crashes"));
        }
    }

    fn serve(&self, id: &str, mut connection: Connection) {
        while let Some(mut request) = connection.read_head() {
            connection.read_body(&mut request);
            let request_id = request.header("x-request-id").unwrap_or("").to_owned();
            if request.path() == "/health" {
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nX-Instance-Id: {id}\r\nX-Server-Load: 0,0,8\r\nContent-Length: 0\r\n\r\n"
                );
                if connection.write(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let shown = format!(
                "request {request_id} {} with {} bytes{}",
                request.start,
                request.body.len(),
                if request.is_cut {
                    " of a body that broke off"
                } else {
                    ""
                }
            );
            if request.is_cut {
                self.record.line(format!("{id} does not run {shown}"));
                return;
            }
            let head = format!("X-Request-Id: {request_id}\r\nX-Server-Load: 1,0,8\r\n");
            let expected = request.header("x-expect-instance").unwrap_or(id).to_owned();
            let answer = if expected != id {
                format!(
                    "HTTP/1.1 421 Misdirected Request\r\n{head}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                )
            } else {
                self.record.line(format!("{id} runs {shown}"));
                let run = Run {
                    server: id.to_owned(),
                    request: request.clone(),
                };
                self.runs.lock().expect("no holder panics").push(run);
                std::thread::sleep(RUN_TIME);
                format!(
                    "HTTP/1.1 200 OK\r\n{head}X-Server-Stamp: {id}.{request_id}\r\nContent-Length: 3\r\n\r\nok\n"
                )
            };
            if connection.write(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}
