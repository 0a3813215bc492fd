//! After many changes of the configuration, two control instances lose their disks, one after the
//! other had time to catch up.

use std::time::Duration;

use crate::deployment::{Deployment, unusable};
use crate::operator::Operator;
use crate::record::Record;

/// Routes of one change, as many as the site's `big_config` brings.
const ROUTES: usize = 350;
/// Changes before the first disk is lost.
const CHANGES: usize = 300;
/// Time for a control instance to catch up; the deployment's `catch_up_s` is 4.
const CATCH_UP: Duration = Duration::from_secs(10);

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
        routes: ROUTES,
    };
    if operator.send_changes() < CHANGES || !operator.can_read() {
        unusable(record, "a change is not acknowledged before the disruption");
    }
    for number in [2, 1] {
        if trouble {
            deployment.kill_control(number);
            deployment.wipe_control(number);
            std::thread::sleep(Duration::from_secs(1));
            deployment.restart_control(number);
        }
        std::thread::sleep(CATCH_UP);
    }
    if operator.can_read() {
        return false;
    }
    record.line("CONFIG: what was acknowledged cannot be read back");
    for number in 0..3 {
        let name = &deployment.controls[number].name;
        record.line(format!(
            "last lines of {name}:\n{}",
            deployment.log_tail(name, 10)
        ));
    }
    true
}
