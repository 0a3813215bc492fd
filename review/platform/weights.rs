//! The operator sets weights that are fractions, and reads them back.

use std::time::Duration;

use crate::deployment::Deployment;
use crate::http;
use crate::record::Record;

/// Routes that the change sets.
const ROUTES: usize = 300;
/// Requests of which each route's weight is a part, in percent.
const WHOLE: f64 = 977.0;

fn weight(number: usize, trouble: bool) -> f64 {
    match trouble {
        true => 100.0 * (number + 1) as f64 / WHOLE,
        false => (number % 100 + 1) as f64,
    }
}

pub fn run(record: &Record, trouble: bool) -> bool {
    let (deployment, _upstreams) = Deployment::started(3, 1, 3, record);
    let route = |number: usize| {
        // The shortest text that names exactly this number, as JSON encoders write it.
        let weight = weight(number, trouble);
        format!(
            r#""r-{number}":{{"hostname":"shop.example","path_prefix":"/w{number}/","type":"safe","timeout_s":3.0,"target_latency_s":0.4,"priority":1,"traffic_split":[{{"service":"gatekeeper","weight":{weight:?}}},{{"service":"catalog","weight":10}}],"max_attempts":2,"cache_affinity":false,"allowed_regions":[],"version":9}}"#
        )
    };
    let routes: Vec<String> = (0..ROUTES).map(route).collect();
    let body = format!(
        r#"{{"upsert":{{"routes":{{{}}}}},"remove":{{"routes":[]}}}}"#,
        routes.join(",")
    );
    let headers = [("Host", "control"), ("Content-Type", "application/json")];
    let request = http::request("PATCH", "/config", &headers, body.as_bytes());
    let read = http::request("GET", "/config", &[("Host", "control")], b"");
    let until_success = |request: &[u8]| {
        for turn in 0..20 {
            let to = deployment.controls[turn % deployment.controls.len()].address;
            let answer = http::call(to, request, Duration::from_secs(1));
            if let Some(answer) = answer.filter(|answer| answer.status() == 200) {
                return answer;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        crate::deployment::unusable(record, "no control instance answers 200")
    };
    until_success(&request);
    record.line(format!("a change of {ROUTES} routes is acknowledged"));
    let text = String::from_utf8_lossy(&until_success(&read).body).into_owned();
    let mut different = 0;
    for number in 0..ROUTES {
        let own = text.split(&format!("\"r-{number}\":")).nth(1).unwrap_or("");
        let weights = own.split("\"weight\":").skip(1);
        let mut numbers =
            weights.filter_map(|text| text.split(['}', ',']).next()?.parse::<f64>().ok());
        let (got, sent) = (numbers.next(), weight(number, trouble));
        if got != Some(sent) {
            different += 1;
            record.line(format!(
                "CONFIG: weight {sent:?} of r-{number} is read back as {got:?}"
            ));
        }
    }
    record.line(format!(
        "{different} of {ROUTES} routes are not what was sent"
    ));
    different > 0
}
