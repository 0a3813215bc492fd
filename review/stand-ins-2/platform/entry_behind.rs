//! An edge machine stands still for some seconds, while the operator changes 350 routes over a hundred
//! times and moves one more route to another service. Requests on that route are sent to the machine
//! after it has woken up.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::platform::{self, Platform};
use crate::record::Record;
use crate::server::{self, Runs};

const OLD_SERVICE: &str = "huvo11a";
const NEW_SERVICE: &str = "kafi81c";
const OLD_SERVER: (&str, u8) = ("i-7f3a91c2", 50);
const NEW_SERVER: (&str, u8) = ("i-2c81d9a4", 51);
const SERVER_PORT: u16 = 8080;

/// Routes that the configuration grows by; the dose of `big_config` in the site file.
const ROUTES: usize = 350;

/// Changes of these routes, of which the first one adds them.
const CHANGES: u64 = 116;

/// Length of the end of a route's name. Names go to entry instances, with the other values that
/// requests need.
const NAME_END_LENGTH: usize = 780;

/// Orders of the operator that are in progress at once; the pages allow eight.
const ORDERS_AT_ONCE: usize = 4;

/// Time for which the machine stands still; the default of `node_freeze`.
const FREEZE_TIME: Duration = Duration::from_secs(5);

/// `contact_s` and `config_apply_s` after the machine has woken up, and 1.5 s more.
const TIME_TO_KNOW: Duration = Duration::from_millis(8_000);

/// Time for which requests are sent then, and their interval.
const SENDING_TIME: Duration = Duration::from_secs(20);
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Runs the case; returns whether the rule held.
pub fn run(record: &Record, is_disturbed: bool) -> io::Result<bool> {
    let record: Arc<Record> = Arc::new(record.clone_handle()?);
    let platform = Platform::start(&record, list)?;
    let held = Case::new(&record, &platform).and_then(|case| case.run(is_disturbed));
    platform.end();
    held
}

struct Case<'a> {
    record: &'a Arc<Record>,
    platform: &'a Platform,
    runs: Runs,
    next_request: AtomicU64,
}

impl<'a> Case<'a> {
    fn new(record: &'a Arc<Record>, platform: &'a Platform) -> io::Result<Self> {
        let runs = Runs::default();
        let servers = [(OLD_SERVER, OLD_SERVICE), (NEW_SERVER, NEW_SERVICE)];
        for ((id, host), service) in servers {
            let address = server_address(platform.network(), host);
            server::start(address, id, service, &runs, record)?;
        }
        Ok(Self {
            record,
            platform,
            runs,
            next_request: AtomicU64::new(0),
        })
    }

    fn run(&self, is_disturbed: bool) -> io::Result<bool> {
        self.order("the first call", &first_call(), Duration::from_secs(20))?;
        self.platform.start_edge()?;
        self.wait_for_service()?;
        thread::sleep(Duration::from_secs(5));
        if is_disturbed {
            self.platform.signal_edge("-STOP")?;
            self.record.add("the edge machine stands still");
        }
        let stopped_at = Instant::now();
        self.change_routes()?;
        let text = "the route moves to the other service";
        self.order(text, &move_route(), Duration::from_secs(4))?;
        let took = stopped_at.elapsed();
        if took > FREEZE_TIME {
            let reason = format!("the changes took {} ms", took.as_millis());
            return Err(io::Error::other(reason));
        }
        thread::sleep(FREEZE_TIME - took);
        if is_disturbed {
            self.platform.signal_edge("-CONT")?;
            self.record.add("the edge machine has woken up");
        }
        thread::sleep(TIME_TO_KNOW);
        self.judge()
    }

    /// Sends requests for a while; returns whether none was run by the old service.
    fn judge(&self) -> io::Result<bool> {
        self.record.add("requests from here on count");
        let (mut old, mut new, mut other) = (0, 0, 0);
        let until = Instant::now() + SENDING_TIME;
        while Instant::now() < until {
            let id = self.request();
            let runs = self.runs.lock().expect("no holder panics");
            match runs.iter().find(|(run, _)| *run == id) {
                Some((_, service)) if *service == OLD_SERVICE => old += 1,
                Some(_) => new += 1,
                None => other += 1,
            }
            drop(runs);
            let readiness = self.platform.readiness();
            self.record.add(&format!("GET /readiness: {readiness}"));
            thread::sleep(REQUEST_INTERVAL);
        }
        let (ends, most_mb) = self.platform.core_ends();
        self.record.add(&format!(
            "run by the old service: {old}, by the new one: {new}, by none: {other}; \
             ends of core processes: {ends}, most memory of one: {most_mb} MB"
        ));
        match ends {
            0 if old + new > 0 => Ok(old == 0),
            0 => Err(io::Error::other("no request was run")),
            _ => Err(io::Error::other("a process of the core ended")),
        }
    }

    /// Sends a request on the route that moves; returns its id.
    fn request(&self) -> String {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let id = format!("{number:016x}");
        let headers = format!(
            "Host: jepu9.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1200\r\nX-Affinity-Key: 17\r\n"
        );
        let address = self.platform.front_address();
        let timeout = Duration::from_millis(1_200);
        let answer = http::send_with(address, "GET", "/lepu270/2f", &headers, "", timeout);
        let shown = match answer {
            Ok(answer) => format!("{} {}", answer.status, answer.body),
            Err(error) => error.to_string(),
        };
        self.record.add(&format!("request {id}: {shown}"));
        id
    }

    fn wait_for_service(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let id = self.request();
            let runs = self.runs.lock().expect("no holder panics");
            if runs
                .iter()
                .any(|(run, service)| *run == id && *service == OLD_SERVICE)
            {
                return Ok(());
            }
            drop(runs);
            thread::sleep(Duration::from_millis(200));
        }
        Err(io::Error::other("no request was run in the beginning"))
    }

    /// Adds the routes and changes them, several orders at once.
    fn change_routes(&self) -> io::Result<()> {
        let next = AtomicU64::new(0);
        let send_all = || {
            loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                if number >= CHANGES {
                    return Ok(());
                }
                let version = 2 + number;
                let text = format!("version {version} of {ROUTES} routes");
                self.order(&text, &change_of_routes(version), Duration::from_secs(4))?;
            }
        };
        thread::scope(|scope| {
            let threads: Vec<_> = (0..ORDERS_AT_ONCE).map(|_| scope.spawn(send_all)).collect();
            let mut results = threads.into_iter().map(|thread| thread.join());
            results.try_for_each(|result| result.expect("no thread panics"))
        })
    }

    /// Sends an order until it is acknowledged, to one machine after the other.
    fn order(&self, text: &str, body: &str, time: Duration) -> io::Result<()> {
        let until = Instant::now() + time;
        for index in (0..self.platform.machine_count()).cycle() {
            let address = self.platform.control_address(index);
            let answer = http::send(address, "PATCH", "/config", body, Duration::from_secs(3));
            let status = answer.map_or(0, |answer| answer.status);
            self.record
                .add(&format!("PATCH {text} to core-{index}: {status}"));
            if status == 200 {
                return Ok(());
            }
            if Instant::now() >= until {
                break;
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(io::Error::other(format!("not acknowledged: {text}")))
    }
}

fn server_address(network: u8, host: u8) -> SocketAddr {
    SocketAddr::new(platform::address(network, host), SERVER_PORT)
}

/// Returns the list of upstreams.
fn list(network: u8) -> String {
    let entry = |(id, host): (&str, u8), service: &str| {
        let address = server_address(network, host);
        format!(
            r#"{{"service":"{service}","address":"{address}","version":"v1","slots":8,
"state":"ready","cold_remaining_s":0,"id":"{id}"}}"#
        )
    };
    let entries = [
        entry(OLD_SERVER, OLD_SERVICE),
        entry(NEW_SERVER, NEW_SERVICE),
    ];
    format!(
        r#"{{"instances":{{"mtl-a":[{}]}},"next_page_token":null}}"#,
        entries.join(",")
    )
}

fn first_call() -> String {
    let service = r#"{"health_check_path":"/health","max_connections":390,"protocol":"h1",
"tls":false,"warmup_s":3.0,"warmup_per_s":18.0,"version":1}"#;
    let route = moving_route(OLD_SERVICE, 1);
    format!(
        r#"{{"upsert":{{"services":{{"{OLD_SERVICE}":{service},"{NEW_SERVICE}":{service}}},
"routes":{{{route}}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,
"header_timeout_s":3,"idle_timeout_s":15,"version":1}}}},"remove":{{"routes":[]}}}}"#
    )
}

fn move_route() -> String {
    let route = moving_route(NEW_SERVICE, 2);
    format!(r#"{{"upsert":{{"routes":{{{route}}}}},"remove":{{"routes":[]}}}}"#)
}

fn moving_route(service: &str, version: u64) -> String {
    format!(
        r#""r-b9wu3fe":{{"hostname":"jepu9.example","path_prefix":"/lepu270/","type":"safe",
"timeout_s":1.2,"target_latency_s":0.25,"priority":2,"service":"{service}","max_attempts":2,
"cache_affinity":true,"allowed_regions":[],"version":{version}}}"#
    )
}

/// Returns the call that sets the routes to a version, which changes their timeout.
fn change_of_routes(version: u64) -> String {
    let timeout_s = 1.0 + (version % 8) as f64 / 10.0;
    let end = "u".repeat(NAME_END_LENGTH);
    let items = (0..ROUTES).map(|index| {
        format!(
            r#""route-of-chain-{index:05}{end}":{{"hostname":"hulo{}.example",
"path_prefix":"/xapu{index}/2f/","type":"safe","timeout_s":{timeout_s:.1},"target_latency_s":0.25,
"priority":2,"service":"{OLD_SERVICE}","max_attempts":2,"cache_affinity":true,
"allowed_regions":[],"version":{version}}}"#,
            index % 9,
        )
    });
    let items: Vec<String> = items.collect();
    format!(
        r#"{{"upsert":{{"routes":{{{}}}}},"remove":{{"routes":[]}}}}"#,
        items.join(",")
    )
}
