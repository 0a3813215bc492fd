//! The operator: sends changes of the configuration and reads it back.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// Orders that the operator has in progress at once.
const ORDERS: usize = 8;
/// Time for which the operator sends a change, or reads the configuration, again and again.
const PATIENCE: Duration = Duration::from_secs(30);
/// Version of the first of the changes.
const FIRST_VERSION: usize = 10;

/// Operator that knows the addresses of the control instances.
#[derive(Clone)]
pub struct Operator {
    pub controls: Vec<SocketAddr>,
    pub record: Record,
    /// Number of changes, and of the routes of each.
    pub changes: usize,
    pub routes: usize,
}

impl Operator {
    fn change(&self, version: usize) -> String {
        let route = |number: usize| {
            format!(
                r#""r-big-{number}":{{"hostname":"shop.example","path_prefix":"/lepu{number}/ny95/","type":"safe","timeout_s":1.2,"target_latency_s":0.3,"priority":1,"traffic_split":[{{"service":"gatekeeper","weight":90}},{{"service":"catalog","weight":10}}],"max_attempts":2,"cache_affinity":true,"allowed_regions":["cairo","alex","delta"],"version":{version}}}"#
            )
        };
        let routes: Vec<String> = (0..self.routes).map(route).collect();
        format!(
            r#"{{"upsert":{{"routes":{{{}}}}},"remove":{{"routes":[]}}}}"#,
            routes.join(",")
        )
    }

    /// Sends a request to the control instances in turn until one answers 200.
    fn until_success(&self, request: &[u8]) -> Option<(SocketAddr, http::Message)> {
        let until = Instant::now() + PATIENCE;
        let mut pause = Duration::from_millis(20);
        while Instant::now() < until {
            for to in &self.controls {
                let answer = http::call(*to, request, Duration::from_millis(1_500));
                if let Some(answer) = answer.filter(|answer| answer.status() == 200) {
                    return Some((*to, answer));
                }
            }
            std::thread::sleep(pause);
            pause = (pause * 2).min(Duration::from_secs(1));
        }
        None
    }

    /// Sends all changes, several at a time; returns how many were acknowledged before one was not.
    pub fn send_changes(&self) -> usize {
        let (next, acknowledged) = (AtomicUsize::new(0), AtomicUsize::new(0));
        let send = || {
            loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                if number >= self.changes {
                    return;
                }
                let version = FIRST_VERSION + number;
                let headers = [("Host", "control"), ("Content-Type", "application/json")];
                let change = self.change(version);
                let request = http::request("PATCH", "/config", &headers, change.as_bytes());
                let Some((by, _)) = self.until_success(&request) else {
                    self.record.line(format!(
                        "version {version} is not acknowledged in {PATIENCE:?}"
                    ));
                    next.store(self.changes, Ordering::Relaxed);
                    return;
                };
                acknowledged.fetch_add(1, Ordering::Relaxed);
                if number % 25 == 0 || number + 1 == self.changes {
                    let bytes = change.len();
                    self.record.line(format!(
                        "{by} acknowledges version {version} of {} routes, {bytes} bytes",
                        self.routes
                    ));
                }
            }
        };
        std::thread::scope(|scope| {
            (0..ORDERS).for_each(|_| drop(scope.spawn(send)));
        });
        acknowledged.into_inner()
    }

    /// Returns whether the newest version can be read.
    pub fn can_read(&self) -> bool {
        let last = FIRST_VERSION + self.changes - 1;
        let request = http::request("GET", "/config", &[("Host", "control")], b"");
        let Some((by, answer)) = self.until_success(&request) else {
            self.record.line(format!(
                "operator reads the configuration for {PATIENCE:?}, and gets none"
            ));
            return false;
        };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let count = text.matches(&format!("\"version\":{last}")).count();
        self.record
            .line(format!("{by} shows {count} routes of version {last}"));
        count == self.routes
    }
}
