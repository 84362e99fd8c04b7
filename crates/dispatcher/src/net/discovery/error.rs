//! Errors that end a watch on discovery.

use std::io;

use tokio::task::JoinError;

use crate::config::ConfigError;
use crate::net::http::status::Status;
use crate::net::http::Malformed;

/// Reason for which a watch ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum WatchError {
    /// The connection was refused or failed.
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    /// No connection was established in time.
    #[error("cannot connect: timed out")]
    ConnectTimeout,
    /// The request could not be written.
    #[error("cannot send the request: {0}")]
    Send(#[source] io::Error),
    /// No byte of a response arrived in time.
    #[error("discovery did not respond in time")]
    ResponseTimeout,
    /// No connection was attempted.
    #[error("no connection was attempted")]
    NoAttempt,
    /// Discovery closed the connection.
    #[error("discovery closed the connection")]
    ConnectionClosed,
    /// The connection failed, for example by a reset.
    #[error("the connection failed: {0}")]
    ConnectionFailed(#[source] io::Error),
    /// The response has a status other than 200.
    #[error("discovery answered with status {0}")]
    UnexpectedStatus(Status),
    /// The response violates the protocol or exceeds a limit.
    #[error(transparent)]
    Malformed(#[from] Malformed),
    /// A value of the response is not valid JSON.
    #[error(transparent)]
    InvalidJson(#[from] serde_json::Error),
    /// A value of the response is not a valid endpoint list.
    #[error(transparent)]
    InvalidList(#[from] ConfigError),
    /// Discovery ended the response of a watch.
    #[error("discovery ended the response of the watch")]
    ResponseEnded,
    /// No complete value arrived in time.
    #[error("the watch timed out without a complete value")]
    IdleTimeout,
    /// The configuration changed the source, or the member relies on the shared list.
    #[error("the watch was stopped")]
    Stopped,
    /// The task of the watch panicked.
    #[error(transparent)]
    Panicked(#[from] JoinError),
}
