//! Calls to the coordinator that replicas answer by naming another one.

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

/// What a call is given.
const CALL_TIME: Duration = Duration::from_millis(400);
/// The client's pause before another replica is called.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// A replica that names another one as the leader, or leads where it names none; its calls are counted.
async fn replica(named_leader: Option<u64>) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = calls.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (mut connection, _) = Connection::accept(stream).await.unwrap();
            connection.send_server_hello(&ServerHello::Accepted { name: "k".to_owned() }).await.unwrap();
            let Ok(Request { id, .. }) = connection.receive::<Request>().await else { continue };
            counted.fetch_add(1, Ordering::Relaxed);
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

/// What happened: a replica that names a leader was followed at once, so two that name each other, as around a change of
/// leader, were called in a tight loop up to the deadline.
#[tokio::test]
async fn replicas_that_name_each_other_are_called_with_pauses() {
    let (first, first_calls) = replica(Some(2)).await;
    let (second, second_calls) = replica(Some(1)).await;
    let error = client([(1, first), (2, second)])
        .call(&Operation::Status, Instant::now() + CALL_TIME)
        .await
        .unwrap_err();
    assert!(matches!(error, CallError::NoLeader), "{error}");
    let calls = first_calls.load(Ordering::Relaxed) + second_calls.load(Ordering::Relaxed);
    // A replica and the one that it names in each pause, and one more of each.
    let most = 2 * (CALL_TIME.as_millis() / RETRY_DELAY.as_millis()) as usize + 2;
    assert!((2..=most).contains(&calls), "{calls} calls, wanted at most {most}");
}

/// The leader that a replica names is called at once.
#[tokio::test]
async fn a_named_leader_is_followed() {
    let (first, first_calls) = replica(Some(2)).await;
    let (second, second_calls) = replica(None).await;
    let response =
        client([(1, first), (2, second)]).call(&Operation::Status, Instant::now() + CALL_TIME).await;
    assert!(matches!(response, Ok(Response::Done)), "{response:?}");
    assert_eq!((first_calls.load(Ordering::Relaxed), second_calls.load(Ordering::Relaxed)), (1, 1));
}
