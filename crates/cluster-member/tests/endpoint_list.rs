//! The endpoint list as it is put together from events, and when a member polls discovery itself.

use cluster_member::discovery_fallback::DiscoveryFallback;
use cluster_member::endpoint_list::EndpointSnapshot;
use serde_json::{json, Value};

fn entry(id: &str, phase: &str) -> Value {
    json!({"id": id, "phase": phase, "host_port": "127.0.0.1:1"})
}

#[test]
fn a_snapshot_follows_the_order_of_revisions_and_not_of_arrival() {
    let mut snapshot = EndpointSnapshot::default();
    snapshot.apply(&json!({"revision": 4, "complete": false, "members": [entry("a", "in_service")]}));
    assert_eq!(snapshot.complete_list(), None, "changes alone are not the whole");
    snapshot.apply(&json!({"revision": 5, "complete": true, "members": [entry("a", "in_service"), entry("b", "in_service")]}));
    snapshot.apply(&json!({"revision": 7, "complete": false, "members": [entry("a", "terminating"), entry("b", "terminated")]}));
    snapshot.apply(&json!({"revision": 6, "complete": true, "members": [entry("a", "in_service")]}));
    let list = json!({"revision": 7, "complete": true, "members": [entry("a", "terminating")]});
    assert_eq!(snapshot.complete_list(), Some(list));
    snapshot.apply(&json!({"revision": "x", "members": []}));
    assert_eq!(snapshot.revision(), 7);
}

#[test]
fn members_that_lose_their_lease_holder_poll_again_spread_out() {
    let polls_from = |position| {
        let mut fallback = DiscoveryFallback::new(3_000_000, 20.0, position);
        assert!(fallback.should_poll(0, false), "one that has received nothing polls");
        fallback.record_event(1_000_000, 300);
        assert!(!fallback.should_poll(3_999_999, false));
        assert!(fallback.should_poll(1_000_001, true), "a lease holder polls");
        fallback.polls_from()
    };
    assert_eq!(polls_from(0.0), 4_000_000);
    assert_eq!(polls_from(0.5), 11_500_000);
    assert_eq!(polls_from(1.0), 19_000_000, "300 members at 20 a second take 15 s");
}
