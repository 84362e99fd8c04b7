//! Timeouts of permits by the leading replica's clock.

use disruption_budget::{
    BegunPermit, DisruptionCommand, DisruptionState, PermitTimeouts, Target, TargetKind, BEGIN_TIMEOUT,
    RENEWAL_TIMEOUT,
};

#[test]
fn permits_expire_unless_they_are_begun() {
    let mut state = DisruptionState::default();
    let mut timeouts = PermitTimeouts::default();
    let target = Target { kind: TargetKind::Worker, name: "w".into() };
    let request = |force| {
        let target = target.clone();
        let reason = "r".into();
        let requester = "a".into();
        DisruptionCommand::RequestPermit { target, reason, requester, force }
    };
    state.apply(1, &request(false));
    timeouts.update(0, &state);
    timeouts.renew(1, 50_000_000);
    assert!(timeouts.expired(RENEWAL_TIMEOUT + 1).is_empty(), "the repeated request restarted the timeout");
    let cancel = DisruptionCommand::CancelPermit { permit: 1 };
    assert_eq!(timeouts.expired(50_000_001 + RENEWAL_TIMEOUT), std::slice::from_ref(&cancel));
    state.apply(2, &request(true));
    timeouts.update(60_000_000, &state);
    assert!(timeouts.expired(60_000_000 + BEGIN_TIMEOUT).is_empty());
    assert_eq!(timeouts.expired(60_000_001 + BEGIN_TIMEOUT), [cancel]);
    state.apply(3, &DisruptionCommand::BeginPermit { permit: 1, incarnation: 0 });
    timeouts.update(60_000_002, &state);
    assert!(timeouts.expired(u64::MAX).is_empty());
    let begun: Vec<BegunPermit> = timeouts.begun_permits(60_000_005).collect();
    assert_eq!(begun, [BegunPermit { id: 1, duration: 3 }]);
}
