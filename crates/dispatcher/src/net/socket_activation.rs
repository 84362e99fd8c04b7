//! Socket activation: the clients' listening socket as handed over by the platform, where the platform holds the address
//! itself so that an old and a new process can serve it in turn.
//!
//! The platform names the descriptor in [`VARIABLE`]. Converting a number into a socket takes `unsafe`, which this
//! project forbids in its own code, so the check and the conversion are left to `listenfd`. That crate reads descriptors
//! from its own environment variables, which are set here once, before the program starts any thread.

use std::net::TcpListener;

/// Environment variable with the number of the inherited descriptor.
pub const VARIABLE: &str = "BALANCER_ACCEPT_FD";
/// Environment variables that `listenfd` reads.
const LISTEN_COUNT_VARIABLE: &str = "LISTEN_FDS";
const LISTEN_FIRST_VARIABLE: &str = "LISTEN_FDS_FIRST_FD";
const LISTEN_PROCESS_VARIABLE: &str = "LISTEN_PID";

/// Error of an inherited descriptor.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum InheritedSocketError {
    /// The variable holds no descriptor number.
    #[error("{VARIABLE}: '{0}' is no descriptor number")]
    InvalidNumber(String),
    /// The descriptor is no listening TCP socket: not open, or another kind of file.
    #[error("{VARIABLE}: descriptor {descriptor} is no listening TCP socket: {reason}")]
    NotListening {
        /// Number of the descriptor.
        descriptor: i32,
        /// Reason why it cannot be used.
        reason: String,
    },
}

/// Parses the variable's text as a descriptor number.
///
/// # Errors
/// Returns [`InheritedSocketError::InvalidNumber`] if the text is no whole number from 0 on.
pub fn parse_descriptor(text: &str) -> Result<i32, InheritedSocketError> {
    text.trim()
        .parse::<i32>()
        .ok()
        .filter(|descriptor| *descriptor >= 0)
        .ok_or_else(|| InheritedSocketError::InvalidNumber(text.to_owned()))
}

/// Takes the listening socket at the descriptor and makes it non-blocking for the runtime. Must be called before any
/// thread starts, since it sets environment variables.
///
/// # Errors
/// Returns [`InheritedSocketError::NotListening`] if the descriptor is no listening TCP socket.
pub fn take_listener(descriptor: i32) -> Result<TcpListener, InheritedSocketError> {
    let not_listening =
        |reason: &dyn ToString| InheritedSocketError::NotListening { descriptor, reason: reason.to_string() };
    std::env::set_var(LISTEN_COUNT_VARIABLE, "1");
    std::env::set_var(LISTEN_FIRST_VARIABLE, descriptor.to_string());
    std::env::remove_var(LISTEN_PROCESS_VARIABLE);
    let listener = listenfd::ListenFd::from_env()
        .take_tcp_listener(0)
        .map_err(|error| not_listening(&error))?
        .ok_or_else(|| not_listening(&"not handed over"))?;
    // A connected socket is a TCP socket too, but accepts no clients.
    let is_listening =
        socket2::SockRef::from(&listener).is_listener().map_err(|error| not_listening(&error))?;
    if !is_listening {
        return Err(not_listening(&"it does not listen"));
    }
    listener.set_nonblocking(true).map_err(|error| not_listening(&error))?;
    Ok(listener)
}
