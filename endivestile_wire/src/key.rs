//! Keys in the platform's store.

/// Prefix of every key that belongs to the system.
pub const ROOT: &str = "endivestile/";
/// The configuration in force: one revisioned value.
pub const CONFIG: &str = "endivestile/config";
/// Prefix of the entry hosts' registrations, each under a lease.
pub const HOSTS: &str = "endivestile/hosts/";
/// Prefix of the shard records.
pub const SHARDS: &str = "endivestile/shards/";
/// Prefix of planned stops, one key per stopping host or backend server.
pub const STOPS: &str = "endivestile/stops/";
/// Prefix of the audit trail, one key per accepted change.
pub const AUDIT: &str = "endivestile/audit/";
/// Head of the audit trail: the serial number that its next entry gets.
pub const AUDIT_HEAD: &str = "endivestile/audit-head";
/// Prefix of the platform's own list of live and leaving hosts.
pub const PLATFORM_HOSTS: &str = "platform/hosts/";

/// Returns the end of the key range that covers every key under `prefix`.
pub fn range_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}
