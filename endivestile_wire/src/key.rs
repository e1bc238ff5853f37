//! Keys in the platform's store.

/// Prefix of all keys that belong to this system.
pub const ROOT: &str = "endivestile/";
/// Key of the current configuration: one value with a revision.
pub const CONFIG: &str = "endivestile/config";
/// Prefix of the entry hosts' registrations, each with a lease.
pub const HOSTS: &str = "endivestile/hosts/";
/// Prefix of the shard records.
pub const SHARDS: &str = "endivestile/shards/";
/// Prefix of planned stops, one key for each stopping host or backend server.
pub const STOPS: &str = "endivestile/stops/";
/// Prefix of the audit trail, one key for each accepted change.
pub const AUDIT: &str = "endivestile/audit/";
/// Key of the audit trail's head: the serial number of its next entry.
pub const AUDIT_HEAD: &str = "endivestile/audit-head";
/// Prefix of the platform's own list of live and leaving hosts.
pub const PLATFORM_HOSTS: &str = "platform/hosts/";

/// Returns the exclusive end of the range of all keys with a prefix.
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
