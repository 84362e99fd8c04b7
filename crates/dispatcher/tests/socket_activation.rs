//! Taking the clients' socket from a descriptor that the platform hands over.
//!
//! One test alone in this file: taking a socket sets variables of the environment, which tests in parallel
//! threads must not share.

use std::io::{Read, Write};
use std::os::fd::{AsRawFd, IntoRawFd};

use dispatcher::net::socket_activation::{parse_descriptor, take_listener, InheritedSocketError};

#[test]
fn a_listening_socket_is_taken_and_anything_else_is_refused_by_number() {
    assert_eq!(parse_descriptor("3"), Ok(3));
    assert!(matches!(parse_descriptor("x"), Err(InheritedSocketError::InvalidNumber(_))));
    assert!(matches!(parse_descriptor("-1"), Err(InheritedSocketError::InvalidNumber(_))));
    assert!(matches!(parse_descriptor(""), Err(InheritedSocketError::InvalidNumber(_))));

    // A file is no socket.
    let file = std::fs::File::open("Cargo.toml").unwrap();
    let error = take_listener(file.as_raw_fd()).unwrap_err();
    assert!(matches!(error, InheritedSocketError::NotListening { .. }), "{error}");
    assert!(error.to_string().starts_with("BALANCER_ACCEPT_FD: descriptor "), "{error}");

    // A descriptor that is closed, or was never open.
    // Alone in its binary, nothing opens a file in between and takes the number again.
    let closed = std::fs::File::open("Cargo.toml").unwrap().as_raw_fd();
    assert!(matches!(take_listener(closed), Err(InheritedSocketError::NotListening { .. })));
    assert!(matches!(take_listener(1000), Err(InheritedSocketError::NotListening { descriptor: 1000, .. })));

    // A connected socket does not listen.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    // Handed over whole: a socket that is taken and found wanting is closed.
    // It talks to a listener of its own, whose queue the served client below does not share.
    let aside = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let client = std::net::TcpStream::connect(aside.local_addr().unwrap()).unwrap().into_raw_fd();
    let error = take_listener(client).unwrap_err();
    assert!(error.to_string().contains("does not listen"), "{error}");

    // The socket that listens serves whoever connects.
    let taken = take_listener(listener.into_raw_fd()).unwrap();
    taken.set_nonblocking(false).unwrap();
    let mut other = std::net::TcpStream::connect(address).unwrap();
    let (mut served, _) = taken.accept().unwrap();
    served.write_all(b"yes").unwrap();
    let mut word = [0; 3];
    other.read_exact(&mut word).unwrap();
    assert_eq!(&word, b"yes");
}
