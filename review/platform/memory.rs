//! The configuration changes many times; control instances that use more memory than their machine
//! has are killed by the platform, and start again.

use std::time::Duration;

use crate::deployment::Deployment;
use crate::operator::Operator;
use crate::record::Record;

/// Routes of one change with the disruption, as many as the site's `big_config` brings.
const ROUTES: usize = 350;
/// Changes, with the disruption and without.
const CHANGES: usize = 450;
/// Memory of a machine of the core, in KiB: `memory_mb` of the settings is 256.
const MEMORY_KIB: u64 = 256 * 1024;
/// Time after the changes for which the platform watches the processes.
const WATCHED_AFTER: Duration = Duration::from_secs(10);
/// Delay before a process that was killed starts again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Ends of a process by itself that break the rule.
const ENDS: usize = 3;

pub fn run(record: &Record, trouble: bool) -> bool {
    let mut deployment = Deployment::started(3, 1, 3, record).0;
    let operator = Operator {
        controls: deployment
            .controls
            .iter()
            .map(|node| node.address)
            .collect(),
        record: record.clone(),
        changes: CHANGES,
        routes: if trouble { ROUTES } else { 1 },
    };
    let mut ends = [0; 3];
    let mut most_kib = [0; 3];
    let mut watch = |deployment: &mut Deployment| {
        for number in 0..ends.len() {
            let used_kib = deployment.controls[number].memory_kib();
            most_kib[number] = most_kib[number].max(used_kib);
            if used_kib > MEMORY_KIB {
                record.line(format!(
                    "core-{number} uses {used_kib} KiB, over its {MEMORY_KIB}"
                ));
                deployment.kill_control(number);
                std::thread::sleep(RESTART_DELAY);
                deployment.restart_control(number);
                ends[number] += 1;
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    };
    let own = operator.clone();
    let sending = std::thread::spawn(move || own.send_changes());
    while !sending.is_finished() {
        watch(&mut deployment);
    }
    let acknowledged = sending.join().unwrap_or(0);
    let until = std::time::Instant::now() + WATCHED_AFTER;
    while std::time::Instant::now() < until {
        watch(&mut deployment);
    }
    record.line(format!(
        "{acknowledged} of {CHANGES} changes are acknowledged"
    ));
    record.line(format!(
        "ends for memory: {ends:?}; most used, KiB: {most_kib:?}"
    ));
    let is_broken = ends.iter().filter(|ends| **ends >= ENDS).count() * 2 >= ends.len();
    if is_broken {
        record.line("Fault: on half of the core, processes end for memory three times or more");
    }
    is_broken
}
