//! Stand-ins for clients, servers, the platform and the operator, and the cases that use them.
//!
//! `review-standin CASE RECORD`; exits with 1 if the rule was broken, 0 if it held, 2 if the case
//! could not run. TROUBLE=0 leaves the disruption out.

mod deployment;
mod http;
mod long_body;
mod long_log;
mod memory;
mod operator;
mod record;
mod upstream;
mod weights;

use record::Record;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("review-standin CASE RECORD");
        std::process::exit(2);
    };
    let record = Record::create(path);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(format!(
        "case {case}, {}",
        if trouble {
            "with the disruption"
        } else {
            "without"
        }
    ));
    let run: fn(&Record, bool) -> bool = match case.as_str() {
        "long-body" => long_body::run,
        "long-log" => long_log::run,
        "memory" => memory::run,
        "weights" => weights::run,
        _ => std::process::exit(2),
    };
    let result = std::panic::catch_unwind(|| run(&record, trouble));
    let status = match result {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(_) => 2,
    };
    record.line(format!("exit status {status}"));
    std::process::exit(status);
}
