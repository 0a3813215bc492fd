//! One control process is killed in the first start of the whole system and restarted at once, with the settings that
//! are then in effect.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use crate::clients::{send_configuration, send_requests};
use crate::cluster::{Cluster, ZONES, require_repository};
use crate::record::Record;
use crate::server::Server;

const CONTROLS: usize = 6;
const ENTRIES: usize = 3;

/// Time of the first start of a process after which the others start; the pages allow 0.3 s.
const OTHERS_START: Duration = Duration::from_millis(280);

/// Time of the first start at which the process is killed.
const KILL: Duration = Duration::from_millis(230);

/// Delay after which the platform restarts a process that was killed.
const RESTART: Duration = Duration::from_millis(500);

/// Time for which the operator sends the first configuration again.
const OPERATOR_S: f64 = 40.0;

/// Time for which clients send requests after that.
const CLIENTS_S: f64 = 10.0;

pub fn run(folder: &Path, has_trouble: bool) -> Result<bool, String> {
    require_repository()?;
    let record = Record::create(folder)?;
    record.add(&format!("disruption: {has_trouble}"));
    let mut cluster = Cluster::new(record.clone(), CONTROLS, ENTRIES)?;
    let mut servers = Vec::new();
    for number in 0..3 {
        let (id, zone) = (format!("i-{number}"), ZONES[number].0);
        let address = cluster.server_address(number);
        servers.push(Server::start(&id, "s-1", zone, address, record.clone())?);
    }
    cluster.serve_list(&servers)?;

    cluster.start(0, true)?;
    sleep(KILL);
    if has_trouble {
        cluster.kill(0);
    }
    sleep(OTHERS_START - KILL);
    for index in 1..cluster.machines.len() {
        cluster.start(index, true)?;
    }
    if has_trouble {
        sleep(RESTART.saturating_sub(OTHERS_START - KILL));
        // It is no longer the first start of the whole system.
        cluster.start(0, false)?;
    }

    let acknowledged = send_configuration(&cluster, &record, CONTROLS, OPERATOR_S).is_some();
    if acknowledged {
        sleep(Duration::from_secs(3));
    }
    let (sent, answered) = send_requests(&cluster, &record, CONTROLS, CLIENTS_S);
    let runs: usize = servers.iter().map(Server::run_count).sum();
    for index in 0..CONTROLS {
        cluster.record_log(index, 4);
    }
    record.add(&format!(
        "result: first configuration acknowledged: {acknowledged}; requests sent {sent}, answered with 200 {answered}, run {runs}"
    ));
    Ok(acknowledged && answered > 0)
}
