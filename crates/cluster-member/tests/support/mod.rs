//! Helpers of several tests: hexadecimal text of messages, snapshots, and a simulated coordinator.

#![allow(dead_code)]

use std::fmt::Debug;

use cluster_member::wire::{decode, encode, Connection, CoordinatorMessage, Request, Response, ServerHello};
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::net::TcpListener;

/// Compares a text with the snapshot of this name. The snapshot contains no Rust expression, so that renaming an item
/// does not change it.
pub fn assert_pinned(name: &str, text: &str) {
    let mut settings = insta::Settings::clone_current();
    settings.set_omit_expression(true);
    settings.set_prepend_module_to_snapshot(false);
    settings.set_snapshot_path("../snapshots");
    settings.bind(|| insta::assert_snapshot!(name, text));
}

/// Returns bytes as hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns a line with the encoded message, after checking that decoding the bytes gives the same message.
pub fn encoded<T>(label: &str, message: &T) -> String
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let bytes = encode(message).unwrap();
    assert_eq!(decode::<T>(&bytes).unwrap(), *message, "{label}");
    format!("{label}: {}\n", hex(&bytes))
}

/// Simulates a coordinator that accepts every client and sends the responses that `respond` returns. It does not
/// respond to a request for which `respond` returns `None`.
pub async fn simulate_coordinator(
    listener: TcpListener,
    mut respond: impl FnMut(&Request) -> Option<Response>,
) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let (mut connection, _) = Connection::accept(stream).await.unwrap();
        connection
            .send_server_hello(&ServerHello::Accepted { name: "coordinator 1".to_owned() })
            .await
            .unwrap();
        while let Ok(request) = connection.receive::<Request>().await {
            let Some(response) = respond(&request) else { continue };
            if connection.send(&CoordinatorMessage::Response { id: request.id, response }).await.is_err() {
                break;
            }
        }
    }
}
