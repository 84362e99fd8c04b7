//! The handshake: who connects, and whether it is accepted.

use serde::{Deserialize, Serialize};

/// The version of the messages.
pub const SCHEMA_VERSION: u16 = 3;
/// The oldest version that is still spoken, with an end that knows no later one.
pub const OLDEST_SCHEMA_VERSION: u16 = 2;

/// The first frame of whoever connects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientHello {
    /// The version of the messages that the client sends, at most [`SCHEMA_VERSION`].
    pub schema_version: u16,
    /// The installation, as both ends are configured.
    pub installation: String,
    /// Who connects.
    pub identity: ClientIdentity,
}

/// Who connects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClientIdentity {
    /// A replica of the coordinator, to another.
    Replica(StoreIdentity),
    /// A member, to a replica.
    Member {
        /// Its name.
        name: String,
    },
    /// An operator, to a replica.
    Operator,
    /// A lease holder, to a receiver of its effects.
    LeaseHolder {
        /// Its name.
        name: String,
        /// Which process of that name.
        incarnation: u64,
    },
}

/// What the store of a replica states of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreIdentity {
    /// The replica's number.
    pub replica_id: u64,
    /// A number drawn when the store was set up.
    pub store_id: u64,
    /// How often it was started.
    pub start_count: u64,
    /// The last term of Raft that it knew at this start.
    pub raft_term: u64,
}

/// The response to [`ClientHello`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerHello {
    /// The connection is accepted.
    Accepted {
        /// The name of the replica or member that accepts it.
        name: String,
    },
    /// The connection is rejected.
    Rejected(HandshakeRejection),
}

/// Why a connection is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum HandshakeRejection {
    /// The client sends a version of the messages that is not supported.
    #[error(
        "it speaks version {latest_supported} of the messages, this program {oldest} to {latest}",
        oldest = OLDEST_SCHEMA_VERSION,
        latest = SCHEMA_VERSION
    )]
    UnsupportedSchema {
        /// The latest that is supported by the server.
        latest_supported: u16,
    },
    /// The client names another installation.
    #[error("it belongs to installation {expected:?}")]
    WrongInstallation {
        /// The server's.
        expected: String,
    },
    /// The client is a replica that the server does not know.
    #[error("it knows no keeper of this number")]
    UnknownReplica,
    /// The replica was known with another store.
    #[error("it knows this keeper with another disk; set the keeper up as a new one")]
    StoreMismatch,
    /// The store was known with more starts or a later term: it is an old copy.
    #[error(
        "it saw this disk with {start_count} starts and term {raft_term}: what is on it now is an old copy, which may \
         not vote; set the keeper up as a new one"
    )]
    StaleStore {
        /// The starts that were seen.
        start_count: u64,
        /// The term that was seen.
        raft_term: u64,
    },
    /// There are too many connections.
    #[error("it has no room for another connection")]
    TooManyConnections,
    /// The client's kind is not served at this address.
    #[error("it does not speak with the likes of this at that address")]
    WrongService,
}

/// Checks the hello of a client.
///
/// # Errors
/// Its schema version is not supported, or it names another installation.
pub fn validate_client_hello(hello: &ClientHello, installation: &str) -> Result<(), HandshakeRejection> {
    validate_client_hello_for_version(SCHEMA_VERSION, hello, installation)
}

/// The same at a server that supports no later schema version than this.
///
/// # Errors
/// Its schema version is not supported, or it names another installation.
pub fn validate_client_hello_for_version(
    latest_supported: u16,
    hello: &ClientHello,
    installation: &str,
) -> Result<(), HandshakeRejection> {
    if !(OLDEST_SCHEMA_VERSION..=latest_supported).contains(&hello.schema_version) {
        return Err(HandshakeRejection::UnsupportedSchema { latest_supported });
    }
    if hello.installation != installation {
        return Err(HandshakeRejection::WrongInstallation { expected: installation.to_owned() });
    }
    Ok(())
}
