//! What the system says of this process and of the loopback interface.

use std::time::Duration;

const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_BYTES: u64 = 4_096;

/// Processor time that this process has used.
pub(super) fn processor_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The second field may hold blanks; what follows its bracket does not.
    let after_name = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = after_name.split(' ').collect();
    let ticks = |place: usize| -> f64 {
        let field = fields.get(place).and_then(|field| field.parse().ok());
        field.unwrap_or(0.0)
    };
    Duration::from_secs_f64((ticks(11) + ticks(12)) / TICKS_PER_SECOND)
}

/// Resident memory of this process, in bytes.
pub(super) fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|field| field.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Memory of the machine, in bytes.
pub(super) fn machine_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("MemTotal:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024
}

/// Bytes that have crossed the loopback interface, headers included.
pub(super) fn loopback_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find(|line| line.trim().starts_with("lo:"));
    let sent = line.and_then(|line| line.split_whitespace().nth(9)?.parse().ok());
    sent.unwrap_or(0)
}
