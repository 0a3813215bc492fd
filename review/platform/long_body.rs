//! A server crashes; long requests that were meant for it go to another server.

use std::time::{Duration, Instant};

use crate::deployment::Deployment;
use crate::http;
use crate::record::Record;

/// Servers of the service; one of them crashes, which is a share of 0.14.
const SERVERS: usize = 7;
/// Objects that requests are for.
const OBJECTS: usize = 14;
/// Length of a body, far below the limit of the configuration.
const BODY_BYTES: usize = 200_000;
/// Time for which a crashed server stays on the list.
const LISTED_AFTER_CRASH: Duration = Duration::from_secs(3);

pub fn run(record: &Record, trouble: bool) -> bool {
    let (deployment, upstreams) = Deployment::started(3, 1, SERVERS, record);
    let mut number = 0;
    let mut send = |object: usize| {
        number += 1;
        let (id, key) = (format!("{number:016x}"), object.to_string());
        let headers = [
            ("Host", "shop.example"),
            ("X-Request-Id", id.as_str()),
            ("X-Affinity-Key", key.as_str()),
            ("X-Deadline-Ms", "3000"),
        ];
        let body = vec![b'a' + object as u8; BODY_BYTES];
        let request = http::chunked_request("POST", "/unsafe/charge", &headers, &body);
        record.line(format!(
            "client sends request {id} with {BODY_BYTES} bytes in chunks"
        ));
        let answer = http::call(
            deployment.entries[0].address,
            &request,
            Duration::from_secs(4),
        );
        let status = answer.as_ref().map_or(0, http::Message::status);
        record.line(format!("client gets {status} for request {id}"));
        let runs = upstreams.runs.lock().expect("no holder panics");
        let run = runs
            .iter()
            .find(|run| run.request.header("x-request-id") == Some(&id));
        run.map(|run| run.server.clone()).unwrap_or_default()
    };
    let servers: Vec<String> = (0..OBJECTS).map(&mut send).collect();
    // The server that most objects go to.
    let count = |id: &String| servers.iter().filter(|other| *other == id).count();
    let crashed = servers
        .iter()
        .max_by_key(|id| count(id))
        .cloned()
        .unwrap_or_default();
    std::thread::sleep(Duration::from_secs(1));
    if trouble {
        upstreams.crash(&crashed);
    }
    let crashed_at = Instant::now();
    while crashed_at.elapsed() < LISTED_AFTER_CRASH {
        for object in (0..OBJECTS).filter(|object| servers[*object] == crashed) {
            send(object);
            std::thread::sleep(Duration::from_millis(150));
        }
    }
    if trouble {
        deployment.remove_server(&crashed);
    }
    let mut is_broken = false;
    for run in upstreams.runs.lock().expect("no holder panics").iter() {
        let id = run.request.header("x-request-id").unwrap_or("");
        let sent = run
            .request
            .header("x-affinity-key")
            .and_then(|key| key.parse::<u8>().ok());
        let is_own = |byte: &u8| Some(*byte) == sent.map(|object| b'a' + object);
        if run.request.body.len() != BODY_BYTES || !run.request.body.iter().all(is_own) {
            is_broken = true;
            record.line(format!(
                "UNASKED: {} ran request {id} with a body of {} bytes; the client sent {BODY_BYTES}",
                run.server,
                run.request.body.len()
            ));
        }
    }
    is_broken
}
