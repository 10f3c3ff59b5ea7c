//! Processor time of threads and memory of the process, from `/proc`
//! (proc(5): `schedstat`, `statm`).

use std::time::Duration;

/// Returns the total processor time of all threads whose name starts with `prefix`.
pub fn thread_time(prefix: &str) -> Duration {
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let nanoseconds = tasks
        .filter_map(Result::ok)
        .filter(|task| {
            let name = std::fs::read_to_string(task.path().join("comm")).unwrap_or_default();
            name.trim().starts_with(prefix)
        })
        .filter_map(|task| std::fs::read_to_string(task.path().join("schedstat")).ok())
        .filter_map(|text| text.split_whitespace().next()?.parse::<u64>().ok())
        .sum();
    Duration::from_nanos(nanoseconds)
}

/// Returns the resident memory of the process in bytes.
pub fn resident_bytes() -> u64 {
    const PAGE: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|word| word.parse().ok());
    pages.unwrap_or(0) * PAGE
}
