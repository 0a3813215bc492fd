//! Stand-ins of the platform, of servers, clients and an operator for the cases of the second review, and the cases
//! themselves. Each case is a subcommand; it starts the project's own programs as processes.

mod entry_behind;
mod http;
mod platform;
mod record;
mod server;
mod zero_version;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: stand-in CASE FOLDER");
        return ExitCode::from(2);
    };
    let is_disturbed = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::create(&PathBuf::from(folder).join("record.txt"));
    let outcome = record.and_then(|record| match case.as_str() {
        "entry-behind" => entry_behind::run(&record, is_disturbed),
        "zero-version" => zero_version::run(&record, is_disturbed),
        _ => Err(std::io::Error::other("there is no such case")),
    });
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
