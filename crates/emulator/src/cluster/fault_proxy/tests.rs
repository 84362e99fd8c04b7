//! Tests of the fault proxy.

use super::*;
use tokio::task::LocalSet;
use tokio::time::timeout;

/// Guards against a descriptor leak: a connection that one end had closed stayed open at the other end forever, and
/// schedules ran out of descriptors.
#[test]
fn closing_one_end_closes_the_other_after_all_bytes_are_delivered() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let (target, listener) = (
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
        );
        let address = listener.local_addr().unwrap();
        spawn_local(run_proxy(
            FaultyNetwork::new(BTreeMap::new(), 1),
            listener,
            0,
            target.local_addr().unwrap(),
        ));
        let mut client = TcpStream::connect(address).await.unwrap();
        let (mut server, _) = target.accept().await.unwrap();
        client.write_all(b"last bytes").await.unwrap();
        drop(client);
        let mut received = Vec::new();
        let read = timeout(Duration::from_secs(5), server.read_to_end(&mut received)).await;
        assert!(read.is_ok(), "the connection was not closed at the other end");
        assert_eq!(received, b"last bytes");
    });
}
