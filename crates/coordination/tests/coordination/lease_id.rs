//! Text form of lease ids.

use coordination::{LeaseId, LeaseScope};

#[test]
fn lease_ids_round_trip_as_text() {
    for (text, scope) in [
        ("list", LeaseScope::Fleet),
        ("list@zone/a", LeaseScope::Zone("a".into())),
        ("w@set/7", LeaseScope::WorkerSet(7)),
    ] {
        let id: LeaseId = text.parse().unwrap();
        assert_eq!((id.scope.clone(), id.to_string()), (scope, text.to_owned()));
    }
    assert!("@zone/".parse::<LeaseId>().is_err());
    assert!("w@set/x".parse::<LeaseId>().is_err());
}
