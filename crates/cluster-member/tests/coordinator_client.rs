//! Calls to replicas that respond with a hint to another leader.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use cluster_member::coordinator_client::{CallError, CoordinatorClient};
use cluster_member::wire::{
    ClientIdentity, Connection, CoordinatorMessage, Operation, Request, Response, ServerHello,
};
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Time from a call until its deadline.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay of the client before it calls another replica.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Starts a replica that responds with a hint to `named_leader`, or as the leader if it is `None`. Returns its address
/// and the number of calls so far.
async fn replica(named_leader: Option<u64>) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let calls = Arc::new(AtomicUsize::new(0));
    let call_count = calls.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (mut connection, _) = Connection::accept(stream).await.unwrap();
            connection.send_server_hello(&ServerHello::Accepted { name: "k".to_owned() }).await.unwrap();
            let Ok(Request { id, .. }) = connection.receive::<Request>().await else { continue };
            call_count.fetch_add(1, Ordering::Relaxed);
            let response = match named_leader {
                Some(_) => Response::NotLeader { leader: named_leader, address: None },
                None => Response::Done,
            };
            let _ = connection.send(&CoordinatorMessage::Response { id, response }).await;
        }
    });
    (address, calls)
}

fn client(replicas: [(u64, SocketAddr); 2]) -> CoordinatorClient {
    let identity = ClientIdentity::Member { name: "d1".to_owned() };
    CoordinatorClient::new("north", identity, BTreeMap::from(replicas), None)
}

/// Guards against a busy loop: every leader hint was followed without a delay, so that two replicas that named each
/// other, as they may around an election, were called in a tight loop until the deadline.
#[tokio::test]
async fn replicas_that_name_each_other_are_called_with_delays() {
    let (first, first_calls) = replica(Some(2)).await;
    let (second, second_calls) = replica(Some(1)).await;
    let error = client([(1, first), (2, second)])
        .call(&Operation::Status, Instant::now() + CALL_TIMEOUT)
        .await
        .unwrap_err();
    assert!(matches!(error, CallError::NoLeader), "{error}");
    let calls = first_calls.load(Ordering::Relaxed) + second_calls.load(Ordering::Relaxed);
    // At most two calls per delay, one to a replica and one to the replica that it names, and one more pair of calls
    // before the first delay.
    let max_calls = 2 * (CALL_TIMEOUT.as_millis() / RETRY_DELAY.as_millis()) as usize + 2;
    assert!((2..=max_calls).contains(&calls), "{calls} calls, expected 2 to {max_calls}");
}

/// The leader that a replica names is called immediately, and each of the two replicas only once.
#[tokio::test]
async fn a_leader_hint_is_followed() {
    let (first, first_calls) = replica(Some(2)).await;
    let (second, second_calls) = replica(None).await;
    let response =
        client([(1, first), (2, second)]).call(&Operation::Status, Instant::now() + CALL_TIMEOUT).await;
    assert!(matches!(response, Ok(Response::Done)), "{response:?}");
    assert_eq!((first_calls.load(Ordering::Relaxed), second_calls.load(Ordering::Relaxed)), (1, 1));
}
