//! Resource usage of a process, as the operating system reports it.

/// Index of the user time among the fields after the program name in `/proc/PID/stat`, from 0.
const USER_TIME_FIELD: usize = 11;
/// Index of the system time among the fields after the program name in `/proc/PID/stat`, from 0.
const SYSTEM_TIME_FIELD: usize = 12;

/// Returns the processor time that a process has used, in seconds.
pub(super) fn cpu_seconds(process: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
    let ticks =
        |position: usize| fields.split_whitespace().nth(position).and_then(|text| text.parse::<f64>().ok());
    let used = ticks(USER_TIME_FIELD).unwrap_or(0.0) + ticks(SYSTEM_TIME_FIELD).unwrap_or(0.0);
    used / rustix::param::clock_ticks_per_second() as f64
}

/// Returns the resident memory of a process, in megabytes.
pub(super) fn resident_mb(process: u32) -> f64 {
    let statm = std::fs::read_to_string(format!("/proc/{process}/statm")).unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|text| text.parse::<f64>().ok());
    pages.unwrap_or(0.0) * rustix::param::page_size() as f64 / 1e6
}

/// Returns the number of open file descriptors of a process.
pub(super) fn open_descriptors(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}
