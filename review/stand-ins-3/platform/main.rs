//! Stand-ins of the platform, servers, clients and the operator, and the cases that use them. Standard library only.
//!
//! Usage: `stand-ins-3 CASE FOLDER`; FOLDER gets `record.txt`. The variable TROUBLE=0 leaves the disruption out. The
//! exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod clients;
mod cluster;
mod first_ack_wipe;
mod first_start;
mod http;
mod record;
mod server;
mod small_group;

use std::path::PathBuf;
use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: stand-ins-3 CASE FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(folder);
    let verdict = match case.as_str() {
        "first-ack-wipe" => first_ack_wipe::run(&folder, has_trouble),
        "first-start" => first_start::run(&folder, has_trouble),
        "small-group" => small_group::run(&folder, has_trouble),
        other => Err(format!("there is no case {other:?}")),
    };
    match verdict {
        Ok(true) => exit(0),
        Ok(false) => exit(1),
        Err(reason) => {
            eprintln!("the case could not run: {reason}");
            exit(2);
        }
    }
}
