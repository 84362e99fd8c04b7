//! Bytes of frames and handshakes on the socket, and the texts of connection errors.

mod support;

use std::net::SocketAddr;

use cluster_member::wire::{
    encode, validate_client_hello, validate_client_hello_for_version, ClientHello, ClientIdentity,
    Connection, HandshakeRejection, Operation, Request, ServerHello, SCHEMA_VERSION,
};
use support::{assert_pinned, hex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

fn hello(schema: u16) -> ClientHello {
    ClientHello {
        schema_version: schema,
        installation: "north".to_owned(),
        identity: ClientIdentity::Member { name: "d1".to_owned() },
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Reads a frame with its length prefix of four bytes in big-endian order.
async fn read_frame(stream: &mut TcpStream) -> Vec<u8> {
    let mut frame = vec![0; 4];
    stream.read_exact(&mut frame).await.unwrap();
    let length = u32::from_be_bytes([frame[0], frame[1], frame[2], frame[3]]) as usize;
    frame.resize(4 + length, 0);
    stream.read_exact(&mut frame[4..]).await.unwrap();
    frame
}

async fn write_frame(stream: &mut TcpStream, body: &[u8]) {
    let length = u32::try_from(body.len()).unwrap();
    stream.write_all(&length.to_be_bytes()).await.unwrap();
    stream.write_all(body).await.unwrap();
}

#[tokio::test]
async fn frames_are_length_prefixed() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut text = format!("client hello: {}\n", hex(&read_frame(&mut stream).await));
        // Server hello: accepted by a server named "k".
        stream.write_all(&[0, 0, 0, 3, 0, 1, b'k']).await.unwrap();
        text += &format!("request: {}\n", hex(&read_frame(&mut stream).await));
        text += &format!("encoded before: {}\n", hex(&read_frame(&mut stream).await));
        text
    });
    let (mut connection, name) = Connection::connect(address, None, &hello(SCHEMA_VERSION)).await.unwrap();
    assert_eq!(name, "k");
    let request = Request { id: 300, operation: Operation::Status };
    connection.send(&request).await.unwrap();
    connection.send_encoded(encode(&request).unwrap()).await.unwrap();
    assert_pinned("frames", &server.await.unwrap());
}

#[tokio::test]
async fn a_client_retries_with_the_schema_version_of_an_older_server() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(async move {
        let mut schemas = Vec::new();
        for server_hello in [
            ServerHello::Rejected(HandshakeRejection::UnsupportedSchema { latest_supported: 2 }),
            ServerHello::Accepted { name: "k".to_owned() },
        ] {
            let (mut stream, _) = listener.accept().await.unwrap();
            // The first field of the body is the schema version.
            schemas.push(read_frame(&mut stream).await[4]);
            write_frame(&mut stream, &encode(&server_hello).unwrap()).await;
        }
        schemas
    });
    Connection::connect(address, None, &hello(SCHEMA_VERSION)).await.unwrap();
    assert_eq!(server.await.unwrap(), [3, 2]);
}

#[tokio::test]
async fn a_rejected_client_receives_the_reason() {
    for (rejection, text) in [
        (
            HandshakeRejection::TooManyConnections,
            "handshake rejected: the server has reached its limit of connections",
        ),
        (
            HandshakeRejection::UnsupportedSchema { latest_supported: 1 },
            "handshake rejected: the server supports message versions up to 1, this program 2 to 3",
        ),
        (
            HandshakeRejection::UnsupportedSchema { latest_supported: 9 },
            "handshake rejected: the server supports message versions up to 9, this program 2 to 3",
        ),
        (
            HandshakeRejection::WrongInstallation { expected: "south".to_owned() },
            "handshake rejected: the server belongs to installation \"south\"",
        ),
    ] {
        let (listener, address) = listen().await;
        let server_hello = ServerHello::Rejected(rejection.clone());
        tokio::spawn(async move {
            let (stream, _) = listener.accept().await.unwrap();
            let (mut connection, client_hello) = Connection::accept(stream).await.unwrap();
            assert_eq!(client_hello, hello(SCHEMA_VERSION));
            connection.send_server_hello(&server_hello).await.unwrap();
        });
        let error = Connection::connect(address, None, &hello(SCHEMA_VERSION)).await.unwrap_err();
        assert_eq!(error.handshake_rejection(), Some(&rejection));
        assert_eq!(error.to_string(), text);
    }
}

#[tokio::test]
async fn other_errors_are_not_handshake_rejections() {
    // A socket that is bound but does not listen: connections to it are refused, and no other test can bind its port.
    let refusing = TcpSocket::new_v4().unwrap();
    refusing.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = refusing.local_addr().unwrap();
    let error = Connection::connect(address, None, &hello(SCHEMA_VERSION)).await.unwrap_err();
    assert_eq!(error.handshake_rejection(), None);
    assert_eq!(error.to_string(), "Connection refused (os error 111)");
    let (listener, address) = listen().await;
    tokio::spawn(async move { drop(listener.accept().await.unwrap()) });
    let error = Connection::connect(address, None, &hello(SCHEMA_VERSION)).await.unwrap_err();
    assert_eq!(error.handshake_rejection(), None);
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_frame(&mut stream).await;
        write_frame(&mut stream, &[9]).await;
        let _ = stream.read_u8().await;
    });
    let error = Connection::connect(address, None, &hello(SCHEMA_VERSION)).await.unwrap_err();
    assert_eq!(error.handshake_rejection(), None);
    assert_eq!(error.to_string(), "Serde Deserialization Error");
}

#[tokio::test]
async fn the_frame_limit_is_raised_after_the_handshake() {
    let mut longest_hello = hello(SCHEMA_VERSION);
    longest_hello.installation = "n".repeat(4_096 - encode(&longest_hello).unwrap().len() + 4);
    assert_eq!(encode(&longest_hello).unwrap().len(), 4_096);
    let too_long =
        ClientHello { installation: format!("n{}", longest_hello.installation), ..longest_hello.clone() };
    for (hello, is_accepted) in [(longest_hello, true), (too_long, false)] {
        let (listener, address) = listen().await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        write_frame(&mut stream, &encode(&hello).unwrap()).await;
        let accepted = Connection::accept(listener.accept().await.unwrap().0).await;
        assert_eq!(accepted.is_ok(), is_accepted);
        let Ok((mut connection, _)) = accepted else { continue };
        connection.send_server_hello(&ServerHello::Accepted { name: "k".to_owned() }).await.unwrap();
        let long = "x".repeat(100_000);
        write_frame(&mut stream, &encode(&long).unwrap()).await;
        assert_eq!(connection.receive::<String>().await.unwrap(), long);
    }
}

#[test]
fn schema_version_and_installation_are_checked() {
    let check = |schema, installation: &str| validate_client_hello(&hello(schema), installation);
    assert_eq!([check(2, "north"), check(3, "north")], [Ok(()), Ok(())]);
    assert_eq!(
        [check(1, "north"), check(4, "north")],
        [
            Err(HandshakeRejection::UnsupportedSchema { latest_supported: 3 }),
            Err(HandshakeRejection::UnsupportedSchema { latest_supported: 3 })
        ]
    );
    assert_eq!(
        check(3, "south"),
        Err(HandshakeRejection::WrongInstallation { expected: "south".to_owned() })
    );
    assert_eq!(check(4, "south"), Err(HandshakeRejection::UnsupportedSchema { latest_supported: 3 }));
    // A server that supports schema versions up to 2 only.
    assert_eq!(validate_client_hello_for_version(2, &hello(2), "north"), Ok(()));
    assert_eq!(
        validate_client_hello_for_version(2, &hello(3), "north"),
        Err(HandshakeRejection::UnsupportedSchema { latest_supported: 2 })
    );
}
