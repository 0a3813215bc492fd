//! Stand-in of a server: runs each request at once, unless it expects another server.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use crate::http::{self, header};
use crate::record::Record;

/// Requests that servers ran, by id, with the service that ran each.
pub type Runs = Arc<Mutex<Vec<(String, &'static str)>>>;

/// Starts a server with the ID `id` of a service.
pub fn start(
    address: SocketAddr,
    id: &'static str,
    service: &'static str,
    runs: &Runs,
    record: &Arc<Record>,
) -> io::Result<()> {
    let (runs, record) = (runs.clone(), record.clone());
    http::serve(address, move |head| {
        let request = header(head, "x-request-id");
        let expected = header(head, "x-expect-instance");
        let headers = format!("X-Request-Id: {request}\r\nX-Server-Load: 0,0,8\r\n");
        if !expected.is_empty() && expected != id {
            return http::format_answer("421 Misdirected Request", &headers, "");
        }
        if head.starts_with("GET /health ") {
            return http::format_answer("200 OK", &format!("X-Instance-Id: {id}\r\n"), "");
        }
        record.add(&format!("server {id} of {service} runs {request}"));
        let mut runs = runs.lock().expect("no holder panics");
        runs.push((request.to_owned(), service));
        http::format_answer(
            "200 OK",
            &format!("{headers}X-Server-Stamp: {id}\r\n"),
            service,
        )
    })
}
