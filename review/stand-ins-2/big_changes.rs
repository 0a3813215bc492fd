//! An operator adds many routes and then changes them hundreds of times, each time all of them. The
//! configuration stays small, but every change is kept until 4,096 changes have been made.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Answer};
use crate::platform::Platform;
use crate::record::Record;

/// Routes that the configuration grows by; the dose of `big_config` in the site file.
const ROUTES: usize = 350;

/// Changes of these routes.
const CHANGES: u64 = 800;

/// Shortest time between two changes; the `gap_s` of `config_storm` in the site file.
const CHANGE_INTERVAL: Duration = Duration::from_millis(60);

/// Time by which the operator stops sending changes.
const SENDING_ENDS_S: f64 = 70.0;

/// Time for which one change is sent again until it is acknowledged.
const RESEND_TIME: Duration = Duration::from_secs(12);

/// Time for which the configuration is requested at the end; longer than `recovery_s`.
const READING_TIME: Duration = Duration::from_secs(20);

/// Runs the case; returns whether the rule held.
pub fn run(record: &Record, is_disturbed: bool) -> io::Result<bool> {
    // The watching thread needs a record that outlives it.
    let record: Arc<Record> = Arc::new(record.clone_handle()?);
    let platform = Platform::start(&record)?;
    let held = operate(&record, &platform, is_disturbed);
    platform.end();
    held
}

fn operate(record: &Record, platform: &Platform, is_disturbed: bool) -> io::Result<bool> {
    let mut operator = Operator {
        record,
        platform,
        next: 0,
    };
    let first = first_change();
    if !operator.change("the first call", &first, Duration::from_secs(15)) {
        return Err(io::Error::other("the first call was not acknowledged"));
    }
    let all: Vec<usize> = (0..ROUTES).collect();
    let mut newest = 2;
    if !operator.change("350 routes more", &change_of(&all, newest), RESEND_TIME) {
        return Err(io::Error::other("the routes were not acknowledged"));
    }
    let mut versions = vec![newest; ROUTES];
    let mut pending = None;
    while newest < CHANGES + 2 && record.elapsed_s() < SENDING_ENDS_S {
        let next_at = Instant::now() + CHANGE_INTERVAL;
        newest += 1;
        let changed = match is_disturbed {
            true => all.clone(),
            false => vec![newest as usize % ROUTES],
        };
        let text = format!("version {newest} of {} routes", changed.len());
        if !operator.change(&text, &change_of(&changed, newest), RESEND_TIME) {
            pending = Some((changed, newest));
            break;
        }
        for index in changed {
            versions[index] = newest;
        }
        thread::sleep(next_at.saturating_duration_since(Instant::now()));
    }
    record.add(&format!("memory: {:?} MB", platform.memory_mb()));
    operator.read_back(&versions, pending)
}

struct Operator<'a> {
    record: &'a Record,
    platform: &'a Platform,
    next: usize,
}

impl Operator<'_> {
    /// Sends a change until it is acknowledged, to one machine after the other.
    fn change(&mut self, text: &str, body: &str, time: Duration) -> bool {
        let until = Instant::now() + time;
        let mut pause = Duration::from_millis(50);
        while Instant::now() < until {
            let (index, answer) = self.send("PATCH", body);
            let status = answer.as_ref().map_or(0, |answer| answer.status);
            let shown = outcome(&answer);
            self.record.add(&format!("PATCH {text} to core-{index}: {shown}"));
            if status == 200 {
                return true;
            }
            thread::sleep(pause);
            pause = (pause * 2).min(Duration::from_millis(500));
        }
        false
    }

    /// Requests the configuration for a while; returns whether it came, was never older than what was
    /// acknowledged, and the processes of the core stayed. A change without a clear answer may be in
    /// force or not.
    fn read_back(&mut self, versions: &[u64], pending: Option<(Vec<usize>, u64)>) -> io::Result<bool> {
        let until = Instant::now() + READING_TIME;
        let (mut requests, mut current, mut older) = (0, 0, 0);
        while Instant::now() < until {
            let (index, answer) = self.send("GET", "");
            requests += 1;
            self.record.add(&format!("GET /config from core-{index}: {}", outcome(&answer)));
            if let Ok(Answer { status: 200, body }) = answer {
                let is_current = |(route, acknowledged): (usize, &u64)| {
                    let found = version_of(&body, route);
                    let is_pending = pending.as_ref().is_some_and(|(changed, version)| {
                        changed.contains(&route) && found == Some(*version)
                    });
                    found == Some(*acknowledged) || is_pending
                };
                match versions.iter().enumerate().all(is_current) {
                    true => current += 1,
                    false => older += 1,
                }
            }
            thread::sleep(Duration::from_millis(300));
        }
        self.record.add(&format!(
            "read back: {requests} requests, {current} answers with all acknowledged versions, \
             {older} without"
        ));
        let has_fault = self.has_fault();
        Ok(current > 0 && older == 0 && !has_fault)
    }

    /// Returns whether processes on half of the core ended three times or more.
    fn has_fault(&self) -> bool {
        let machines = self.platform.machines();
        let ends: Vec<u32> = machines
            .iter()
            .map(|machine| machine.memory_kills + machine.own_ends)
            .collect();
        self.record.add(&format!("ends of processes on the core: {ends:?}"));
        ends.iter().filter(|ends| **ends >= 3).count() * 2 >= ends.len()
    }

    fn send(&mut self, method: &str, body: &str) -> (usize, io::Result<Answer>) {
        let index = self.next % self.platform.machine_count();
        self.next += 1;
        let address = self.platform.control_address(index);
        let timeout = Duration::from_secs(3);
        (index, http::send(address, method, "/config", body, timeout))
    }
}

fn outcome(answer: &io::Result<Answer>) -> String {
    match answer {
        Ok(answer) if answer.status == 200 => "200".to_owned(),
        Ok(answer) => format!("{} {}", answer.status, answer.body),
        Err(error) => error.to_string(),
    }
}

fn first_change() -> String {
    r#"{"upsert":{"services":{"huvo11a":{"health_check_path":"/health","max_connections":390,
"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":18.0,"version":1}},"routes":{},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,
"idle_timeout_s":15,"version":1}},"remove":{"routes":[]}}"#
        .to_owned()
}

/// Returns the call that sets routes to a version, which changes their timeout.
fn change_of(routes: &[usize], version: u64) -> String {
    let timeout_s = 1.0 + (version % 8) as f64 / 10.0;
    let items = routes.iter().map(|index| {
        format!(
            r#""r-{index:03}":{{"hostname":"jepu{}.example","path_prefix":"/lepu{index}/2f/",
"type":"safe","timeout_s":{timeout_s:.1},"target_latency_s":0.4,"priority":2,"service":"huvo11a",
"max_attempts":2,"cache_affinity":true,"allowed_regions":[],"version":{version}}}"#,
            index % 9,
        )
    });
    let items: Vec<String> = items.collect();
    format!(
        r#"{{"upsert":{{"routes":{{{}}},"services":{{}}}},"remove":{{"routes":[]}}}}"#,
        items.join(",")
    )
}

/// Returns the version of a route in a configuration.
fn version_of(configuration: &str, route: usize) -> Option<u64> {
    let start = configuration.find(&format!(r#""r-{route:03}":{{"#))?;
    let item = &configuration[start..];
    let item = &item[..item.find('}')?];
    let number = item.split(r#""version":"#).nth(1)?;
    let digits: String = number.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
