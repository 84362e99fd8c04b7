//! Durations that contradict each other.

use coordination::Timing;

#[test]
fn contradicting_durations_name_both_settings() {
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
    // Two clocks at the far ends of the bound: the member's slow, the leader's fast.
    let member_takes = (good.lease_duration as f64) / 0.999;
    assert!(good.expiry_wait() as f64 / 1.001 >= member_takes - 5.0);
}
