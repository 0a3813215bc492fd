//! A control machine is silent until the group has given it up, and the one that should take its place falls silent just
//! before. Then two of the others lose their disks.

use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::clients::{change_configuration, read_configuration, send_configuration};
use crate::cluster::{Cluster, ZONES, require_repository};
use crate::record::Record;
use crate::server::Server;

const CONTROLS: usize = 6;
const ENTRIES: usize = 2;

/// Time from the loss of the first machine to that of the second.
const SECOND_LOSS: Duration = Duration::from_millis(1_680);

/// Time after the first loss at which the members are looked at.
const LOOK: Duration = Duration::from_millis(3_400);

/// Time for which machines without power are dark; the site file has 7 s for two machines of the core.
const DARK: Duration = Duration::from_millis(7_000);

/// Time that machines have to catch up before the next attempt.
const CATCH_UP: Duration = Duration::from_millis(4_500);

/// Time after which no further attempt is begun.
const LAST_ATTEMPT_S: f64 = 68.0;

/// `recovery_s`, counted from the return of all machines.
const RECOVERY: Duration = Duration::from_secs(15);

pub fn run(folder: &Path, has_trouble: bool) -> Result<bool, String> {
    require_repository()?;
    let record = Record::create(folder)?;
    record.add(&format!("disruption: {has_trouble}"));
    let mut cluster = Cluster::new(record.clone(), CONTROLS, ENTRIES)?;
    let address = cluster.server_address(0);
    let servers = [Server::start(
        "i-0",
        "s-1",
        ZONES[0].0,
        address,
        record.clone(),
    )?];
    cluster.serve_list(&servers)?;
    for index in 0..cluster.machines.len() {
        cluster.start(index, true)?;
    }
    send_configuration(&cluster, &record, 3, 20.0).ok_or("the configuration was refused")?;
    sleep(Duration::from_secs(6));
    let mut version = 8;
    loop {
        let members = Members::read(&cluster)?;
        record.add(&format!(
            "leader {}, observer {:?}",
            members.leader, members.observer
        ));
        let Some(observer) = members.observer else {
            return Err("there is no observer".to_owned());
        };
        let others = (0..CONTROLS).filter(|index| ![members.leader, observer].contains(index));
        let others: Vec<usize> = others.collect();
        let silent = others[0];
        let lost_at = Instant::now();
        if has_trouble {
            cluster.kill(silent);
            sleep(SECOND_LOSS);
            cluster.kill(observer);
        }
        sleep(LOOK.saturating_sub(lost_at.elapsed()));
        let now = Members::read(&cluster)?;
        let is_small = now.retired > members.retired && now.promoted == members.promoted;
        record.add(&format!("the group has four voters: {is_small}"));
        if is_small || !has_trouble {
            version += 1;
            if !change_configuration(&cluster, &record, version, &[members.leader, others[1]]) {
                return Err("the change was not acknowledged".to_owned());
            }
            if has_trouble {
                cluster.lose_disk(members.leader);
                cluster.lose_disk(others[1]);
                sleep(DARK.saturating_sub(lost_at.elapsed()));
                for index in [members.leader, others[1], silent, observer] {
                    cluster.start(index, false)?;
                }
            }
            break;
        }
        sleep(DARK.saturating_sub(lost_at.elapsed()));
        cluster.start(silent, false)?;
        cluster.start(observer, false)?;
        sleep(CATCH_UP);
        if record.elapsed_s() > LAST_ATTEMPT_S {
            return Err("the moment was not met".to_owned());
        }
    }
    sleep(RECOVERY);
    let is_read_back = read_configuration(&cluster, &record, CONTROLS, 8.0);
    for index in 0..CONTROLS {
        cluster.record_log(index, 3);
    }
    record.add(&format!(
        "result: acknowledged configuration read back: {is_read_back}"
    ));
    Ok(is_read_back)
}

/// Members of the group, as the log of its leader tells them.
struct Members {
    leader: usize,
    observer: Option<usize>,
    retired: usize,
    promoted: usize,
}

impl Members {
    fn read(cluster: &Cluster) -> Result<Self, String> {
        let mut lines: Vec<(String, usize, String)> = Vec::new();
        for index in 0..CONTROLS {
            for line in cluster.log_lines(index) {
                let Some(at) = field(&line, "\"ts\":\"", "\"") else {
                    continue;
                };
                lines.push((at, index, line));
            }
        }
        lines.sort();
        let mut members = Self {
            leader: 0,
            observer: None,
            retired: 0,
            promoted: 0,
        };
        let mut candidates: Vec<(String, usize)> = Vec::new();
        for (_, index, line) in &lines {
            if line.contains("\"msg\":\"leads\"") {
                members.leader = *index;
            }
            let Some(change) = field(line, "\"change\":\"", "}") else {
                continue;
            };
            let identity = field(line, "ReplicaIdentity(", ")").unwrap_or_default();
            if change.starts_with("AddObserver") {
                let name = field(line, "instance: \\\"", ":").unwrap_or_default();
                let machine = cluster
                    .machines
                    .iter()
                    .position(|machine| machine.ip == name);
                candidates.push((identity, machine.ok_or("an unknown machine")?));
            } else if change.starts_with("PromoteObserver") {
                members.promoted += 1;
                candidates.retain(|(known, _)| *known != identity);
            } else if change.starts_with("RetireVoter") {
                members.retired += 1;
            } else if change.starts_with("RemoveFollower") {
                candidates.retain(|(known, _)| *known != identity);
            }
        }
        members.observer = candidates.last().map(|(_, machine)| *machine);
        Ok(members)
    }
}

/// Returns what stands between two texts in a line.
fn field(line: &str, before: &str, after: &str) -> Option<String> {
    let start = line.find(before)? + before.len();
    let length = line[start..].find(after)?;
    Some(line[start..start + length].to_owned())
}
