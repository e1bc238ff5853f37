//! Memory and descriptors that the process may use.

use std::fs;

use endivestile_config::HostSettings;
use endivestile_kernel::intake::Machine;

/// Memory if neither the settings nor the system tell it, in bytes.
const DEFAULT_MEMORY_BYTES: u64 = 256 << 20;
/// Descriptors if neither the settings nor the system tell them.
const DEFAULT_FILES: u64 = 1_024;
/// Bytes per MiB and KiB.
const MIB: u64 = 1 << 20;
const KIB: u64 = 1 << 10;

/// Returns the machine of the settings; what they leave out is the least of the system's limits.
pub(crate) fn detect(settings: &HostSettings) -> Machine {
    let memory = if settings.memory_mb > 0 {
        Some(settings.memory_mb * MIB)
    } else {
        let limits = [
            machine_memory(),
            group_memory(),
            process_limit("Max data size"),
            process_limit("Max address space"),
        ];
        limits.into_iter().flatten().min()
    };
    let files =
        if settings.files > 0 { Some(settings.files) } else { process_limit("Max open files") };
    Machine {
        memory_bytes: memory.unwrap_or(DEFAULT_MEMORY_BYTES),
        files: files.unwrap_or(DEFAULT_FILES),
    }
}

/// Returns the memory of the machine, in bytes.
fn machine_memory() -> Option<u64> {
    let text = fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kib: u64 = line.trim().trim_end_matches(" kB").parse().ok()?;
    Some(kib * KIB)
}

/// Returns the memory limit of the control group, in bytes.
fn group_memory() -> Option<u64> {
    fs::read_to_string("/sys/fs/cgroup/memory.max").ok()?.trim().parse().ok()
}

/// Returns a soft limit of the process, or `None` if it is unlimited.
fn process_limit(name: &str) -> Option<u64> {
    let text = fs::read_to_string("/proc/self/limits").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}
