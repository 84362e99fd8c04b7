//! Socket activation: takes the listening socket for clients from an inherited descriptor.
//!
//! This file must contain only one test, because taking a socket sets environment variables, which parallel tests would
//! share.

use std::io::{Read, Write};
use std::os::fd::{AsRawFd, IntoRawFd};

use dispatcher::net::socket_activation::{parse_descriptor, take_listener, InheritedSocketError};

#[test]
fn only_a_listening_socket_is_taken() {
    assert_eq!(parse_descriptor("3"), Ok(3));
    assert!(matches!(parse_descriptor("x"), Err(InheritedSocketError::InvalidNumber(_))));
    assert!(matches!(parse_descriptor("-1"), Err(InheritedSocketError::InvalidNumber(_))));
    assert!(matches!(parse_descriptor(""), Err(InheritedSocketError::InvalidNumber(_))));

    // A regular file is rejected.
    let file = std::fs::File::open("Cargo.toml").unwrap();
    let error = take_listener(file.as_raw_fd()).unwrap_err();
    assert!(matches!(error, InheritedSocketError::NotListening { .. }), "{error}");
    assert!(error.to_string().starts_with("BALANCER_ACCEPT_FD: descriptor "), "{error}");

    // A descriptor that was closed, and one that was never open, are rejected. The test is alone in its process, so
    // that no other code reuses the number of the closed one.
    let closed = std::fs::File::open("Cargo.toml").unwrap().as_raw_fd();
    assert!(matches!(take_listener(closed), Err(InheritedSocketError::NotListening { .. })));
    assert!(matches!(take_listener(1000), Err(InheritedSocketError::NotListening { descriptor: 1000, .. })));

    // A connected socket is rejected.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    // `into_raw_fd` gives up ownership, because `take_listener` closes a TCP socket that does not listen. The socket is
    // connected to a separate listener, so that it is not in the accept queue of the one that is taken below.
    let other_listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let client = std::net::TcpStream::connect(other_listener.local_addr().unwrap()).unwrap().into_raw_fd();
    let error = take_listener(client).unwrap_err();
    assert!(error.to_string().contains("does not listen"), "{error}");

    // A listening socket is taken and accepts a client.
    let taken = take_listener(listener.into_raw_fd()).unwrap();
    taken.set_nonblocking(false).unwrap();
    let mut client = std::net::TcpStream::connect(address).unwrap();
    let (mut served, _) = taken.accept().unwrap();
    served.write_all(b"yes").unwrap();
    let mut word = [0; 3];
    client.read_exact(&mut word).unwrap();
    assert_eq!(&word, b"yes");
}
