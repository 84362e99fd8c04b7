//! Handshake: the client states its identity, and the server accepts or rejects it.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Latest supported version of the message schema.
pub const SCHEMA_VERSION: u16 = 3;
/// Oldest supported version of the message schema, for peers that support no later one.
pub const OLDEST_SCHEMA_VERSION: u16 = 2;

/// First frame of a client.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientHello {
    /// Schema version that the client uses, at most [`SCHEMA_VERSION`].
    pub schema_version: u16,
    /// Name of the installation; the same at both ends.
    pub installation: String,
    /// Identity of the client.
    pub identity: ClientIdentity,
}

/// Identity of a client.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClientIdentity {
    /// Replica that connects to another replica.
    Replica(StoreIdentity),
    /// Member that connects to a replica.
    Member {
        /// Name of the member.
        name: String,
    },
    /// Operator that connects to a replica.
    Operator,
    /// Lease holder that connects to a receiver of its effects.
    LeaseHolder {
        /// Name of the member.
        name: String,
        /// Incarnation of the member: the number of its process.
        incarnation: u64,
    },
}

/// Names are quoted and escaped, because clients are not trusted before the handshake.
impl fmt::Display for ClientIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClientIdentity::Replica(identity) => write!(f, "replica {}", identity.replica_id),
            ClientIdentity::Member { name } => write!(f, "member {name:?}"),
            ClientIdentity::Operator => f.write_str("operator"),
            ClientIdentity::LeaseHolder { name, incarnation } => {
                write!(f, "lease holder {name:?}, incarnation {incarnation}")
            }
        }
    }
}

/// Identity of a replica's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreIdentity {
    /// Number of the replica.
    pub replica_id: u64,
    /// Random number drawn when the store was set up.
    pub store_id: u64,
    /// Number of starts of the replica on this store.
    pub start_count: u64,
    /// Raft term in the store at this start.
    pub raft_term: u64,
}

/// Response to [`ClientHello`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerHello {
    /// The connection is accepted.
    Accepted {
        /// Name of the replica or member that accepts it.
        name: String,
    },
    /// The connection is rejected.
    Rejected(HandshakeRejection),
}

/// Reason to reject a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum HandshakeRejection {
    /// The schema version of the client is not supported.
    #[error(
        "the server supports message versions up to {latest_supported}, this program {oldest} to {latest}",
        oldest = OLDEST_SCHEMA_VERSION,
        latest = SCHEMA_VERSION
    )]
    UnsupportedSchema {
        /// Latest schema version that the server supports.
        latest_supported: u16,
    },
    /// The client belongs to another installation.
    #[error("the server belongs to installation {expected:?}")]
    WrongInstallation {
        /// Installation of the server.
        expected: String,
    },
    /// The client is a replica that is not in the configuration of the server.
    #[error("the server knows no replica with this number")]
    UnknownReplica,
    /// The replica used another store before.
    #[error("the server has recorded another store for this replica; set it up as a new replica")]
    StoreMismatch,
    /// The server has seen the store with more starts or a later Raft term, so the store is an old copy.
    #[error(
        "the server has seen this store with {start_count} starts and Raft term {raft_term}: the replica now uses an \
         old copy of it, which must not vote; set it up as a new replica"
    )]
    StaleStore {
        /// Highest number of starts that the server has seen.
        start_count: u64,
        /// Highest Raft term that the server has seen.
        raft_term: u64,
    },
    /// The server has as many connections as it accepts.
    #[error("the server has reached its limit of connections")]
    TooManyConnections,
    /// The server does not serve clients of this kind.
    #[error("the server does not accept clients of this kind at this address")]
    WrongService,
}

/// Checks the schema version and the installation of a client.
///
/// # Errors
/// Returns [`HandshakeRejection::UnsupportedSchema`] or [`HandshakeRejection::WrongInstallation`].
pub fn validate_client_hello(hello: &ClientHello, installation: &str) -> Result<(), HandshakeRejection> {
    validate_client_hello_for_version(SCHEMA_VERSION, hello, installation)
}

/// Checks the schema version and the installation of a client for a server that supports schema versions up to
/// `latest_supported`.
///
/// # Errors
/// Returns [`HandshakeRejection::UnsupportedSchema`] or [`HandshakeRejection::WrongInstallation`].
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
