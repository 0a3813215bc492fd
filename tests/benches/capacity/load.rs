//! What the operating system says of this machine and this process.

use std::fs;

use laburnumdeal_tests::INSTANCE_THREAD_NAME;

/// Returns the load average of the last minute.
pub fn average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().unwrap_or("unknown").to_owned()
}

/// Returns the resident memory of this process.
pub fn resident_kib() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
        .unwrap_or(0)
}

/// Returns the processor time that the threads of all instances of this process have used.
pub fn instances_cpu_ns() -> u64 {
    let tasks = fs::read_dir("/proc/self/task").expect("the process has threads");
    tasks
        .filter_map(|task| {
            let folder = task.ok()?.path();
            let name = fs::read_to_string(folder.join("comm")).ok()?;
            if name.trim() != INSTANCE_THREAD_NAME {
                return None;
            }
            let stat = fs::read_to_string(folder.join("schedstat")).ok()?;
            stat.split(' ').next()?.parse::<u64>().ok()
        })
        .sum()
}

/// Returns the processor time of all instances since `before_ns`. Threads of a cluster that ended
/// meanwhile are taken away from it, so that only one cluster may run in a measurement.
pub fn instances_cpu_us_since(before_ns: u64) -> f64 {
    instances_cpu_ns().saturating_sub(before_ns) as f64 / 1_000.0
}

/// Returns the value below which `permille` thousandths of the samples lie.
pub fn quantile(samples: &mut [u64], permille: usize) -> u64 {
    samples.sort_unstable();
    samples[(samples.len() - 1) * permille / 1_000]
}
