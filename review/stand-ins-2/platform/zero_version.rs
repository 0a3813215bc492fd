//! An operator numbers the versions of its items from 0 on. The first call and a later one are
//! acknowledged, and the configuration is read back.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::platform::Platform;
use crate::record::Record;

/// Time for which the first call is sent again until it is acknowledged.
const RESEND_TIME: Duration = Duration::from_secs(20);

/// Time for which the configuration is requested at the end; `contact_s` and a second more.
const READING_TIME: Duration = Duration::from_secs(5);

/// Runs the case; returns whether the rule held.
pub fn run(record: &Record, is_disturbed: bool) -> io::Result<bool> {
    let record: Arc<Record> = Arc::new(record.clone_handle()?);
    let platform = Platform::start(&record, |_| {
        r#"{"instances":{},"next_page_token":null}"#.to_owned()
    })?;
    let first_version = if is_disturbed { 0 } else { 1 };
    let held = operate(&record, &platform, first_version);
    platform.end();
    held
}

fn operate(record: &Record, platform: &Platform, first_version: u64) -> io::Result<bool> {
    let call = first_call(first_version);
    let until = Instant::now() + RESEND_TIME;
    let mut index = 0;
    loop {
        let address = platform.control_address(index % platform.machine_count());
        let answer = http::send(address, "PATCH", "/config", &call, Duration::from_secs(3));
        let status = answer.map_or(0, |answer| answer.status);
        record.add(&format!(
            "PATCH /config, all items at version {first_version}: {status}"
        ));
        match status {
            200 => break,
            // A call that is refused is not in force, which is no loss.
            400..=499 => return Ok(true),
            _ if Instant::now() >= until => {
                return Err(io::Error::other("the first call got no clear answer"));
            }
            _ => thread::sleep(Duration::from_millis(200)),
        }
        index += 1;
    }
    read_back(record, platform)
}

fn read_back(record: &Record, platform: &Platform) -> io::Result<bool> {
    let until = Instant::now() + READING_TIME;
    let mut is_whole = None;
    while Instant::now() < until {
        for index in 0..platform.machine_count() {
            let address = platform.control_address(index);
            let answer = http::send(address, "GET", "/config", "", Duration::from_secs(1));
            let Ok(answer) = answer else {
                continue;
            };
            record.add(&format!(
                "GET /config from core-{index}: {} {}",
                answer.status, answer.body
            ));
            if answer.status == 200 {
                let names = [r#""r-b9wu3fe""#, r#""huvo11a""#, r#""limits""#];
                is_whole = Some(names.iter().all(|name| answer.body.contains(name)));
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    is_whole.ok_or_else(|| io::Error::other("the configuration could not be read"))
}

fn first_call(version: u64) -> String {
    format!(
        r#"{{"upsert":{{"routes":{{"r-b9wu3fe":{{"hostname":"jepu9.example","path_prefix":"/lepu270/",
"type":"safe","timeout_s":1.2,"target_latency_s":0.25,"priority":2,"service":"huvo11a",
"max_attempts":2,"cache_affinity":true,"allowed_regions":[],"version":{version}}}}},
"services":{{"huvo11a":{{"health_check_path":"/health","max_connections":390,"protocol":"h1",
"tls":false,"warmup_s":3.0,"warmup_per_s":18.0,"version":{version}}}}},
"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,
"idle_timeout_s":15,"version":{version}}}}},"remove":{{"routes":[]}}}}"#
    )
}
