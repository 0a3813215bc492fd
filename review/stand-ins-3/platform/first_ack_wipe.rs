//! The control machine that acknowledged the first configuration loses its disk right after that.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use crate::clients::{read_configuration, send_configuration, send_requests};
use crate::cluster::{Cluster, ZONES, require_repository};
use crate::record::Record;
use crate::server::Server;

const CONTROLS: usize = 6;
const ENTRIES: usize = 3;

/// Machines to which the operator sends: those that the settings name as seeds.
const SEEDS: usize = 3;

/// Time after which the machine is back, with an empty disk.
const DOWN: Duration = Duration::from_millis(3_000);

/// `recovery_s`, counted from their return.
const RECOVERY: Duration = Duration::from_secs(15);

/// Time for which the operator asks for the configuration; `contact_s` is 3.
const READ_S: f64 = 12.0;

/// Time for which clients send requests.
const CLIENTS_S: f64 = 6.0;

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
    for index in 0..cluster.machines.len() {
        cluster.start(index, true)?;
    }
    let Some(acknowledged_by) = send_configuration(&cluster, &record, SEEDS, 20.0) else {
        return Err("the first configuration was not acknowledged".to_owned());
    };
    if has_trouble {
        cluster.lose_disk(acknowledged_by);
        sleep(DOWN);
        cluster.start(acknowledged_by, false)?;
    }
    sleep(RECOVERY);
    let is_read_back = read_configuration(&cluster, &record, CONTROLS, READ_S);
    let (sent, answered) = send_requests(&cluster, &record, CONTROLS, CLIENTS_S);
    let runs: usize = servers.iter().map(Server::run_count).sum();
    for index in 0..CONTROLS {
        cluster.record_log(index, 3);
    }
    record.add(&format!(
        "result: acknowledged configuration read back: {is_read_back}; requests sent {sent}, answered with 200 {answered}, run {runs}"
    ));
    Ok(is_read_back)
}
