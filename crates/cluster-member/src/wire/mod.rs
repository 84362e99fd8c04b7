//! Messages between processes, and the connections that carry them: postcard in length-prefixed frames.
//!
//! The order of variants and fields defines the format. A connection begins with a [`ClientHello`] and a
//! [`ServerHello`], after which both ends use the schema version of the client's hello. Messages that were added in a
//! later version are not sent to a client with an older version, because they are responses to operations that it
//! cannot request.

mod codec;
mod connection;
mod effect;
mod handshake;
mod messages;
mod status;

pub use codec::{decode, encode, MessageError, MAX_FRAME_BYTES};
pub use connection::{Connection, ConnectionError, ConnectionReader, ConnectionWriter, IO_TIMEOUT};
pub use effect::{Effect, EffectResponse};
pub use handshake::{
    validate_client_hello, validate_client_hello_for_version, ClientHello, ClientIdentity,
    HandshakeRejection, ServerHello, StoreIdentity, OLDEST_SCHEMA_VERSION, SCHEMA_VERSION,
};
pub use messages::{CoordinatorMessage, LeaderHint, MemberList, Operation, Request, Response};
pub use status::{
    CommitLatency, HolderStatus, LeaseStatus, MemberStatus, Peer, ReplacementStatus, ReplicaStarts,
    ReplicaStatus,
};
