//! Default values of the settings, each with its reason.

use resources::Floor;

/// The operators' limit on the memory of a node in a fleet of the designed size.
pub(super) fn memory_mb() -> u32 {
    256
}

/// One thread can accept connections while the other sends; current VMs have less than one core.
pub(super) fn threads() -> usize {
    2
}

/// The operators' limit on request bodies.
pub(super) fn max_body_bytes() -> u64 {
    64 * 1024 * 1024
}

/// Just below the limit of 4,100 file descriptors on the smallest VMs in use.
pub(super) fn max_in_flight() -> usize {
    4_096
}

/// Several times what a caller on a slow connection needs to submit a form.
pub(super) fn read_timeout_ms() -> u64 {
    10_000
}

/// Connecting takes about 1 ms; the remainder allows for the loss of the first packet.
pub(super) fn connect_timeout_ms() -> u64 {
    250
}

/// The operators' rule for both of their sites.
pub(super) fn floor() -> Floor {
    Floor::Percent(70)
}

/// A round trip between failure domains takes 1 to 3 ms; scheduling delays of a node with a fifth of a core add
/// some tens of milliseconds.
pub(super) fn ask_timeout_ms() -> u64 {
    40
}

/// The operators' limit on both of their sites.
pub(super) fn repeat_ratio() -> f64 {
    0.2
}

/// The operators' limit on the smaller of their sites.
pub(super) fn repeat_extra() -> f64 {
    58.0
}

/// The window to which the operators' limits on repeats apply.
pub(super) fn repeat_window_ms() -> u64 {
    10_000
}

/// The balancer probes readiness every second and removes a node after two failed probes.
pub(super) fn lag_ms() -> u64 {
    5_000
}

/// More than the 61 requests a second of a node in a fleet of the designed size, so that every failure is logged.
pub(super) fn lines_per_s() -> u32 {
    200
}

/// More than the 3 requests a second of a node on the operators' sites, and a third of the requests of a node in
/// a fleet of the designed size.
pub(super) fn healthy_requests_per_s() -> u32 {
    20
}

/// Long enough for the longest common download.
pub(super) fn grace_ms() -> u64 {
    120_000
}

/// A common link speed; the settings of a VM with another link state its speed.
pub(super) fn link_mbps() -> f64 {
    1_000.0
}

/// The smallest common VM.
pub(super) fn cores() -> f64 {
    1.0
}

/// By default nothing else runs on the VM of a node.
pub(super) fn cpu_share() -> f64 {
    1.0
}
