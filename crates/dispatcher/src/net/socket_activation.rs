//! Socket activation: takes over the listening socket for clients from the platform. The platform keeps the address
//! bound, so that a new process can serve it after an old one.
//!
//! The platform passes the descriptor number in [`VARIABLE`]. Converting a number into a socket requires `unsafe`,
//! which this project forbids in its own code, so `listenfd` does the check and the conversion. That crate reads
//! descriptors from its own environment variables, which are set here once, before the program starts any thread.

use std::net::TcpListener;

/// Environment variable with the number of the inherited descriptor.
pub const VARIABLE: &str = "BALANCER_ACCEPT_FD";
/// Environment variables that `listenfd` reads.
const LISTEN_COUNT_VARIABLE: &str = "LISTEN_FDS";
const LISTEN_FIRST_VARIABLE: &str = "LISTEN_FDS_FIRST_FD";
const LISTEN_PROCESS_VARIABLE: &str = "LISTEN_PID";

/// An inherited descriptor that cannot be used.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum InheritedSocketError {
    /// The value of the variable is not a descriptor number.
    #[error("{VARIABLE}: '{0}' is not a descriptor number")]
    InvalidNumber(String),
    /// The descriptor is not open, or it is not a listening TCP socket.
    #[error("{VARIABLE}: descriptor {descriptor} is not a listening TCP socket: {reason}")]
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
/// Returns [`InheritedSocketError::InvalidNumber`] if the text is not a whole number of at least 0.
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
/// Returns [`InheritedSocketError::NotListening`] if the descriptor is not a listening TCP socket.
pub fn take_listener(descriptor: i32) -> Result<TcpListener, InheritedSocketError> {
    let not_listening =
        |reason: &dyn ToString| InheritedSocketError::NotListening { descriptor, reason: reason.to_string() };
    std::env::set_var(LISTEN_COUNT_VARIABLE, "1");
    std::env::set_var(LISTEN_FIRST_VARIABLE, descriptor.to_string());
    std::env::remove_var(LISTEN_PROCESS_VARIABLE);
    let listener = listenfd::ListenFd::from_env()
        .take_tcp_listener(0)
        .map_err(|error| not_listening(&error))?
        .ok_or_else(|| not_listening(&"it was not passed to this process"))?;
    // A connected TCP socket passes the check of `listenfd`, but cannot accept clients.
    let is_listening =
        socket2::SockRef::from(&listener).is_listener().map_err(|error| not_listening(&error))?;
    if !is_listening {
        return Err(not_listening(&"it does not listen"));
    }
    listener.set_nonblocking(true).map_err(|error| not_listening(&error))?;
    Ok(listener)
}
