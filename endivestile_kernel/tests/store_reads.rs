//! How many reads of the store a fleet makes as it grows.

use endivestile_kernel::fleet::ReadShare;
use test_case::test_case;

/// The watches of all hosts return at the same change. If each host watched again at once, the
/// calls would exceed the store's rate from some number of hosts on.
#[test_case(ReadShare::Records, 40; "records")]
#[test_case(ReadShare::OperatorKeys, 20; "operator_keys")]
#[test_case(ReadShare::Background, 2; "background")]
fn interval_keeps_share(share: ReadShare, percent: u32) {
    for (hosts, reads_per_s) in [(1, 2_000), (8, 2_000), (237, 16_000), (997, 16_000), (4_427, 700)]
    {
        let interval_ms = share.interval_ms(hosts, reads_per_s);
        let calls_per_s = f64::from(hosts) * 1_000.0 / interval_ms as f64;
        assert!(calls_per_s <= f64::from(reads_per_s * percent) / 100.0, "{hosts} hosts");
    }
}

#[test]
fn interval_unlimited() {
    assert_eq!(ReadShare::Unlimited.interval_ms(1_000, 16_000), 0);
    assert_eq!(ReadShare::Records.interval_ms(1_000, 0), 0, "the rate is unknown");
}
