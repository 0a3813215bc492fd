//! The operator and the clients.

use std::thread::sleep;
use std::time::Duration;

use crate::cluster::Cluster;
use crate::http::call;
use crate::record::Record;

/// First configuration: one route and its service.
pub const CONFIGURATION: &str = r#"{"upsert":{"routes":{"r-1":{"hostname":"gate.example","path_prefix":"/unlock/","type":"unsafe","timeout_s":1.0,"target_latency_s":0.4,"priority":1,"service":"s-1","max_attempts":2,"cache_affinity":true,"allowed_regions":[],"version":7}},"services":{"s-1":{"health_check_path":"/health","max_connections":330,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":18.0,"version":7}},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15,"version":7}},"remove":{"routes":[]}}"#;

/// Longest wait for an answer before the operator moves on to another machine.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends the first configuration to the first `controls` control machines in turn until one acknowledges it, at most
/// until a time of the case; returns the machine.
pub fn send_configuration(
    cluster: &Cluster,
    record: &Record,
    controls: usize,
    until_s: f64,
) -> Option<usize> {
    let mut pause = Duration::from_millis(50);
    let mut index = 0;
    while record.elapsed_s() < until_s {
        let address = cluster.control_address(index);
        let head = format!(
            "PATCH /config HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
        );
        let answer = call(address, &head, CONFIGURATION, OPERATOR_TIMEOUT);
        let name = &cluster.machines[index].name;
        match answer {
            Ok(answer) => {
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                record.add(&format!(
                    "PATCH /config to {name}: {} {body}",
                    answer.status()
                ));
                if (200..300).contains(&answer.status()) {
                    return Some(index);
                }
            }
            Err(reason) => record.add(&format!("PATCH /config to {name}: {reason}")),
        }
        index = (index + 1) % controls;
        sleep(pause);
        pause = (pause * 5 / 4).min(Duration::from_millis(500));
    }
    None
}

/// Sends a change of the route to some control machines in turn until one acknowledges it; returns whether one did.
pub fn change_configuration(
    cluster: &Cluster,
    record: &Record,
    version: u64,
    machines: &[usize],
) -> bool {
    let item = CONFIGURATION.replace("\"version\":7", &format!("\"version\":{version}"));
    for attempt in 0..20 {
        let index = machines[attempt % machines.len()];
        let address = cluster.control_address(index);
        let head = format!(
            "PATCH /config HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
        );
        let answer = call(address, &head, &item, OPERATOR_TIMEOUT);
        let status = answer.map(|answer| answer.status());
        let name = &cluster.machines[index].name;
        record.add(&format!(
            "PATCH /config with version {version} to {name}: {status:?}"
        ));
        if status == Ok(200) {
            return true;
        }
        sleep(Duration::from_millis(200));
    }
    false
}

/// Reads the configuration from the control machines in turn for a time; returns whether one answered with the route.
pub fn read_configuration(
    cluster: &Cluster,
    record: &Record,
    controls: usize,
    time_s: f64,
) -> bool {
    let until_s = record.elapsed_s() + time_s;
    let mut index = 0;
    while record.elapsed_s() < until_s {
        let address = cluster.control_address(index);
        let head = format!("GET /config HTTP/1.1\r\nHost: {address}\r\n");
        let name = &cluster.machines[index].name;
        match call(address, &head, "", OPERATOR_TIMEOUT) {
            Ok(answer) => {
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                record.add(&format!(
                    "GET /config from {name}: {} {body}",
                    answer.status()
                ));
                if answer.status() == 200 {
                    return body.contains("\"r-1\"");
                }
            }
            Err(reason) => record.add(&format!("GET /config from {name}: {reason}")),
        }
        index = (index + 1) % controls;
        sleep(Duration::from_millis(300));
    }
    false
}

/// Sends requests to the entry machines, which follow the control machines, in turn; returns how many were sent and
/// answered with 200.
pub fn send_requests(
    cluster: &Cluster,
    record: &Record,
    controls: usize,
    time_s: f64,
) -> (usize, usize) {
    let entries = cluster.machines.len() - controls;
    let until_s = record.elapsed_s() + time_s;
    let (mut sent, mut answered) = (0, 0);
    while record.elapsed_s() < until_s {
        let index = controls + sent % entries;
        let head = format!(
            "POST /unlock/{sent} HTTP/1.1\r\nHost: gate.example\r\nX-Request-Id: {sent:016x}\r\nX-Deadline-Ms: 3000\r\n"
        );
        let answer = call(
            cluster.front_address(index),
            &head,
            "",
            Duration::from_secs(3),
        );
        let result = match &answer {
            Ok(answer) => answer.status().to_string(),
            Err(reason) => reason.clone(),
        };
        let name = &cluster.machines[index].name;
        record.add(&format!("request {sent:016x} to {name}: {result}"));
        sent += 1;
        answered += usize::from(result == "200");
        sleep(Duration::from_millis(200));
    }
    (sent, answered)
}
