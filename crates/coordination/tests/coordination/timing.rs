//! Validation of durations against each other.

use coordination::Timing;

#[test]
fn error_for_contradicting_durations_names_both_settings() {
    let good = Timing::default();
    assert_eq!(good.validate(), Ok(()));
    for (timing, key, against) in [
        (Timing { renewal_interval: 900_000, ..good }, "renew", "lease"),
        (Timing { heartbeat_interval: 200_000, ..good }, "heartbeat", "election"),
        (Timing { election_timeout: 900_000, ..good }, "election", "lease"),
        (Timing { stability_period: 1, ..good }, "stay", "renew"),
        (Timing { call_timeout: 0, ..good }, "call", "lease"),
    ] {
        let error = timing.validate().unwrap_err();
        assert_eq!((error.key, error.against), (key, against));
    }
    // The worst case of the clock skew: the member's clock is slow and the leader's is fast, each by the bound.
    let member_duration = (good.lease_duration as f64) / 0.999;
    assert!(good.expiry_wait() as f64 / 1.001 >= member_duration - 5.0);
}
