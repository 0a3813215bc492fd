//! Load of the machine, and memory and CPU time of this process, from `/proc`.

use std::fs;

use laburnumdeal_tests::INSTANCE_THREAD_NAME;

/// Returns the one-minute load average, or "unknown".
pub fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().unwrap_or("unknown").to_owned()
}

/// Returns the resident memory of this process, or 0 if it is unknown.
pub fn resident_kib() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
        .unwrap_or(0)
}

/// Returns the CPU time that the threads of all instances in this process have used.
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

/// Returns the CPU time of all instances since `before_ns`. Threads that ended meanwhile reduce it,
/// so only one cluster may run during a measurement.
pub fn instances_cpu_us_since(before_ns: u64) -> f64 {
    instances_cpu_ns().saturating_sub(before_ns) as f64 / 1_000.0
}

/// Returns the quantile of the samples at `permille` thousandths.
pub fn quantile(samples: &mut [u64], permille: usize) -> u64 {
    samples.sort_unstable();
    samples[(samples.len() - 1) * permille / 1_000]
}
