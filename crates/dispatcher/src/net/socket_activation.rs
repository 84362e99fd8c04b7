//! The clients' listening socket as handed over by the platform, where it holds the address itself so that an old
//! and a new process can serve it in turn.
//!
//! The platform names the descriptor in `BALANCER_ACCEPT_FD`. Turning a number into a socket takes `unsafe`, which
//! this project forbids in its own code, so the check and the conversion are left to `listenfd`, which is made for
//! sockets handed over by whoever starts a process. It reads the descriptors from variables of its own (those of
//! socket activation); they are set here for it, once, before the program starts any thread.

use std::net::TcpListener;

/// The variable that names the inherited descriptor.
pub const VARIABLE: &str = "BALANCER_ACCEPT_FD";

/// What is wrong with an inherited descriptor, and how far taking it got.
#[derive(Debug, PartialEq, Eq)]
pub enum InheritedSocketError {
    /// The variable holds no descriptor number.
    InvalidNumber(String),
    /// The number names no TCP socket that listens: none at all, a closed one, or another kind of file.
    NotListening(i32, String),
}

impl std::fmt::Display for InheritedSocketError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            InheritedSocketError::InvalidNumber(text) => {
                write!(f, "{VARIABLE}: '{text}' is no descriptor number")
            }
            InheritedSocketError::NotListening(fd, why) => {
                write!(f, "{VARIABLE}: descriptor {fd} is no listening TCP socket: {why}")
            }
        }
    }
}

impl std::error::Error for InheritedSocketError {}

/// Reads the variable's text as a descriptor number.
///
/// # Errors
/// The text is no whole number from 0 on.
pub fn parse_descriptor(text: &str) -> Result<i32, InheritedSocketError> {
    text.trim()
        .parse::<i32>()
        .ok()
        .filter(|fd| *fd >= 0)
        .ok_or_else(|| InheritedSocketError::InvalidNumber(text.to_owned()))
}

/// Takes the listening socket at the descriptor, non-blocking, for the runtime. Call it before any thread starts:
/// it sets variables of the environment.
///
/// # Errors
/// The descriptor is no TCP socket that listens.
pub fn take_listener(fd: i32) -> Result<TcpListener, InheritedSocketError> {
    let no_socket = |why: String| InheritedSocketError::NotListening(fd, why);
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", fd.to_string());
    std::env::remove_var("LISTEN_PID");
    let listener = listenfd::ListenFd::from_env()
        .take_tcp_listener(0)
        .map_err(|error| no_socket(error.to_string()))?
        .ok_or_else(|| no_socket("not handed over".to_owned()))?;
    // A connected socket is a TCP socket too; only one that listens has clients to accept.
    match socket2::SockRef::from(&listener).is_listener() {
        Ok(true) => {}
        Ok(false) => return Err(no_socket("it does not listen".to_owned())),
        Err(error) => return Err(no_socket(error.to_string())),
    }
    listener.set_nonblocking(true).map_err(|error| no_socket(error.to_string()))?;
    Ok(listener)
}
