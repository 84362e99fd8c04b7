//! The lease client of a member: when it holds a lease and which effects it accepts.

use coordination::{Command, EffectRejection, FencingToken, LeaseClient, LeaseId, Timing};

use crate::cluster::{list_lease, Cluster, SECOND};

#[test]
fn session_duration_is_measured_from_the_request() {
    let mut cluster = Cluster::new();
    let a = cluster.open_session(0, "a", 1);
    cluster.run_until_idle(SECOND, &[a]);
    let (_, token) = cluster.holder().unwrap();
    let mut client = LeaseClient::new(Timing::default());
    client.on_session_opened(a, 1, 0, 5 * SECOND, cluster.state.view());
    assert!(
        !client.holds_lease(&list_lease(), token, 5 * SECOND),
        "the response arrives after the session has expired"
    );
    client.on_session_renewed(a, 5 * SECOND, 6 * SECOND, None);
    assert!(client.holds_lease(&list_lease(), token, 6_599_999));
    assert!(!client.holds_lease(&list_lease(), token, 6_600_000));
}

#[test]
fn rejects_stale_tokens_and_rejects_every_effect_without_a_session() {
    let mut cluster = Cluster::new();
    let a = cluster.open_session(0, "a", 1);
    cluster.run_until_idle(SECOND, &[a]);
    let (_, token) = cluster.holder().unwrap();
    let mut client = LeaseClient::new(Timing::default());
    assert_eq!(client.accept_effect(&list_lease(), token, 0), Err(EffectRejection::NoSession));
    client.on_session_opened(a, 1, 0, 0, cluster.state.view());
    assert_eq!(client.accept_effect(&list_lease(), token, 1), Ok(()));
    assert_eq!(client.accept_effect(&LeaseId::fleet("other"), token, 1), Err(EffectRejection::UnknownLease));
    cluster.apply(0, &Command::ReleaseLease { lease: list_lease(), token, reset_stability: true });
    assert!(client.on_view_changed(a, cluster.state.view()), "a newer view must be acknowledged at once");
    let minimum_token = FencingToken(token.0 + 1);
    assert_eq!(
        client.accept_effect(&list_lease(), token, 1),
        Err(EffectRejection::StaleToken { minimum_token })
    );
    assert_eq!(
        client.accept_effect(&list_lease(), minimum_token, Timing::default().lease_duration),
        Err(EffectRejection::NoSession)
    );
    let counts = client.effect_counts();
    assert_eq!(
        (counts.accepted, counts.stale_tokens, counts.without_session, counts.unknown_leases),
        (1, 1, 2, 1)
    );
}
