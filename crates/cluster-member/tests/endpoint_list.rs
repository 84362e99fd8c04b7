//! Assembly of the endpoint list from events, and the fallback of members to polling discovery.

use cluster_member::discovery_fallback::DiscoveryFallback;
use cluster_member::endpoint_list::EndpointSnapshot;
use serde_json::{json, Value};

fn entry(id: &str, phase: &str) -> Value {
    json!({"id": id, "phase": phase, "host_port": "127.0.0.1:1"})
}

#[test]
fn a_snapshot_ignores_lists_with_older_revisions() {
    let mut snapshot = EndpointSnapshot::default();
    snapshot.apply(&json!({"revision": 4, "complete": false, "members": [entry("a", "in_service")]}));
    assert_eq!(snapshot.complete_list(), None, "changes alone are not a complete list");
    snapshot.apply(&json!({"revision": 5, "complete": true, "members": [entry("a", "in_service"), entry("b", "in_service")]}));
    snapshot.apply(&json!({"revision": 7, "complete": false, "members": [entry("a", "terminating"), entry("b", "terminated")]}));
    snapshot.apply(&json!({"revision": 6, "complete": true, "members": [entry("a", "in_service")]}));
    let list = json!({"revision": 7, "complete": true, "members": [entry("a", "terminating")]});
    assert_eq!(snapshot.complete_list(), Some(list));
    snapshot.apply(&json!({"revision": "x", "members": []}));
    assert_eq!(snapshot.revision(), 7);
}

#[test]
fn members_return_to_polling_spread_over_time() {
    let polls_from = |position| {
        let mut fallback = DiscoveryFallback::new(3_000_000, 20.0, position);
        assert!(fallback.should_poll(0, false), "a member without any event polls");
        fallback.record_event(1_000_000, 300);
        assert!(!fallback.should_poll(3_999_999, false));
        assert!(fallback.should_poll(1_000_001, true), "a lease holder polls");
        fallback.polls_from()
    };
    assert_eq!(polls_from(0.0), 4_000_000);
    assert_eq!(polls_from(0.5), 11_500_000);
    assert_eq!(polls_from(1.0), 19_000_000, "300 members at 20 per second return within 15 s");
}
