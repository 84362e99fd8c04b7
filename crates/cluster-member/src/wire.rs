//! The messages, and connections that carry them: postcard in frames with their length before them.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use coordination::{
    ClusterView, CommandRejection, EffectRejection, FencingToken, LeaseId, Revision, SessionId,
};
use disruption_budget::{DisruptionCommand, DisruptionOutcome, DisruptionState};
use futures_util::{SinkExt, StreamExt};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpSocket, TcpStream};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// The version of these messages, and the oldest that is still spoken with whoever knows no later one. What a later
/// version adds is not said to an end of an older one, which would not have asked for it.
pub const SCHEMA_VERSION: u16 = 3;
/// See [`SCHEMA`].
pub const OLDEST_SCHEMA_VERSION: u16 = 2;
/// The longest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
/// The longest frame before the other end is known, in bytes.
const MAX_HANDSHAKE_FRAME_BYTES: usize = 4 << 10;
/// How long the other end may take to say who it is, or to take a frame.
pub const IO_TIMEOUT: Duration = Duration::from_secs(2);

/// The first frame of whoever connects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientHello {
    /// [`SCHEMA`].
    pub schema_version: u16,
    /// The installation, as both ends are configured.
    pub installation: String,
    /// Who connects.
    pub identity: ClientIdentity,
}

/// Who connects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClientIdentity {
    /// A keeper, to another.
    Replica(StoreIdentity),
    /// A member, to a keeper.
    Member {
        /// Its name.
        name: String,
    },
    /// An operator, to a keeper.
    Operator,
    /// An owner, to a receiver of its effects.
    LeaseHolder {
        /// Its name.
        name: String,
        /// Which process of that name.
        incarnation: u64,
    },
}

/// What a keeper's disk says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreIdentity {
    /// The keeper's number.
    pub replica_id: u64,
    /// A number drawn when the disk was set up.
    pub store_id: u64,
    /// How often it was started.
    pub start_count: u64,
    /// The last term of Raft that it knew at this start.
    pub raft_term: u64,
}

/// The answer to [`Hello`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerHello {
    /// Come in; this keeper or member is the other end.
    Accepted {
        /// Its name.
        name: String,
    },
    /// Not here.
    Rejected(HandshakeRejection),
}

/// Why somebody is turned away.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandshakeRejection {
    /// A later version of the messages.
    UnsupportedSchema {
        /// The latest that is spoken here.
        latest_supported: u16,
    },
    /// Another installation.
    WrongInstallation {
        /// The one here.
        expected: String,
    },
    /// A keeper that is not one of these.
    UnknownReplica,
    /// This keeper was known with another disk.
    StoreMismatch,
    /// This disk was known with more starts or a later term: it is an old copy.
    StaleStore {
        /// The starts that were seen.
        start_count: u64,
        /// The term that was seen.
        raft_term: u64,
    },
    /// Too many connections.
    TooManyConnections,
    /// Not what is spoken at this address.
    WrongService,
}

impl std::fmt::Display for HandshakeRejection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            HandshakeRejection::UnsupportedSchema { latest_supported: ours } => write!(f, "it speaks version {ours} of the messages, this program {OLDEST_SCHEMA_VERSION} to {SCHEMA_VERSION}"),
            HandshakeRejection::WrongInstallation { expected: ours } => write!(f, "it belongs to installation {ours:?}"),
            HandshakeRejection::UnknownReplica => write!(f, "it knows no keeper of this number"),
            HandshakeRejection::StoreMismatch => write!(f, "it knows this keeper with another disk; set the keeper up as a new one"),
            HandshakeRejection::StaleStore { start_count: boots, raft_term: term } => write!(
                f,
                "it saw this disk with {boots} starts and term {term}: what is on it now is an old copy, which may not \
                 vote; set the keeper up as a new one"
            ),
            HandshakeRejection::TooManyConnections => write!(f, "it has no room for another connection"),
            HandshakeRejection::WrongService => write!(f, "it does not speak with the likes of this at that address"),
        }
    }
}

/// What a member or an operator asks a keeper.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// A number of the asker's; the answer has the same.
    pub id: u64,
    /// What is asked.
    pub operation: Operation,
}

/// What may be asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// A session.
    OpenSession {
        /// The member's name.
        name: String,
        /// The number that its process drew.
        boot_id: u64,
        /// Its zone.
        zone: String,
        /// Where it is reached.
        address: String,
        /// What it may be given.
        eligible_leases: Vec<LeaseId>,
    },
    /// The session is to go on.
    RenewSession {
        /// Which.
        session: SessionId,
        /// The last view that was applied.
        known_view: Revision,
        /// The last list of members that is known, of those who need one.
        known_members: Option<Revision>,
    },
    /// The session is over.
    CloseSession {
        /// Which.
        session: SessionId,
    },
    /// A term is over.
    ReleaseLease {
        /// The duty.
        lease: LeaseId,
        /// Which term; an operator leaves it out.
        token: Option<FencingToken>,
    },
    /// How things are.
    Status,
    /// A keeper is to be replaced by a new one.
    ReplaceReplica {
        /// The one that goes.
        old: u64,
        /// The one that comes.
        new: u64,
        /// Where the new one is reached.
        address: String,
    },
    /// Who may be out, where that has changed since. Since version 3.
    DisruptionState {
        /// The entry up to which the asker knows it.
        known_revision: Revision,
    },
    /// The account is to change. Since version 3.
    ChangeDisruptionState(DisruptionCommand),
}

/// What a keeper says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CoordinatorMessage {
    /// The answer to a request.
    Response(u64, Response),
    /// Who owns what has changed, told to the member of this session.
    ViewChanged(SessionId, ClusterView),
}

/// An answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// A session was given.
    SessionOpened {
        /// Which.
        session: SessionId,
        /// Which process of that name.
        incarnation: u64,
        /// Who owns what.
        view: ClusterView,
    },
    /// The session goes on.
    SessionRenewed {
        /// Who owns what, if that is later than what was seen.
        view: Option<ClusterView>,
        /// The members, if asked for and changed.
        members: Option<(Revision, Vec<Peer>)>,
    },
    /// It was done.
    Done,
    /// Another keeper leads, this one if it is known.
    NotLeader {
        /// Its number.
        leader: Option<u64>,
        /// Where it is reached, if it came after the installation was set up: a member may not know of it.
        address: Option<String>,
    },
    /// Not now: ask again.
    Busy,
    /// It was not done.
    Rejected(CommandRejection),
    /// How things are.
    Status(Box<ReplicaStatus>),
    /// Who may be out, as of this entry; nothing where the asker knows it.
    DisruptionState(Revision, Option<Box<DisruptionState>>),
    /// What became of a change of the account.
    DisruptionStateChanged(DisruptionOutcome),
}

/// A member as others reach it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Which process of that name.
    pub incarnation: u64,
    /// Its zone.
    pub zone: String,
    /// Where.
    pub address: String,
}

/// How things are at a keeper.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// The keeper.
    #[serde(rename = "keeper")]
    pub replica_id: u64,
    /// Whether it leads.
    #[serde(rename = "leads")]
    pub is_leader: bool,
    /// Who leads, as far as it knows.
    #[serde(rename = "leader")]
    pub leader_id: Option<u64>,
    /// The term of Raft.
    #[serde(rename = "term")]
    pub raft_term: u64,
    /// The last entry that it applied.
    #[serde(rename = "applied")]
    pub applied_index: u64,
    /// The last entry that it knows to be agreed.
    #[serde(rename = "committed")]
    pub committed_index: u64,
    /// The first entry of the log that it still has.
    #[serde(rename = "first")]
    pub first_log_index: u64,
    /// How often its disk was started.
    #[serde(rename = "boots")]
    pub start_count: u64,
    /// Elections that it has seen since it started.
    #[serde(rename = "elections")]
    pub election_count: u64,
    /// From a proposal to its being applied, in microseconds: half of them, 99 of 100, the longest.
    #[serde(rename = "commit_us")]
    pub commit_latency: (u64, u64, u64),
    /// The members.
    pub members: Vec<MemberStatus>,
    /// The duties.
    #[serde(rename = "duties")]
    pub leases: Vec<LeaseStatus>,
    /// The keepers, and how often each one's disk was started.
    #[serde(rename = "keepers")]
    pub replicas: Vec<(u64, u64)>,
    /// Those that vote; while one is replaced, of both configurations.
    pub voters: Vec<u64>,
    /// Those that learn and do not vote yet.
    pub learners: Vec<u64>,
    /// Who is being replaced by whom.
    #[serde(rename = "replacing")]
    pub replacement: Option<(u64, u64)>,
}

/// A member as a keeper sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its session.
    pub session: SessionId,
    /// Who.
    pub peer: Peer,
    /// Whether it has stayed long enough to be given duties.
    #[serde(rename = "settled")]
    pub stable: bool,
    /// Whether a later process of the same name is there.
    pub superseded: bool,
    /// Short lives in a row.
    #[serde(rename = "short_lives")]
    pub consecutive_short_sessions: u8,
}

/// A duty as a keeper sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// Which.
    #[serde(rename = "duty")]
    pub lease: LeaseId,
    /// Whose, and with which token.
    #[serde(rename = "owner")]
    pub holder: Option<(String, FencingToken)>,
    /// Tokens below are of ended terms.
    #[serde(rename = "floor")]
    pub minimum_token: FencingToken,
    /// The entry that ended the last term.
    #[serde(rename = "fenced")]
    pub fencing_revision: Revision,
}

/// Something that an owner does at a receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effect {
    /// On behalf of which duty.
    pub lease: LeaseId,
    /// In which term.
    pub token: FencingToken,
    /// Counted within the term.
    pub sequence: u64,
    /// What the duty says.
    pub body: Vec<u8>,
}

/// What becomes of an effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EffectResponse {
    /// It was taken; what the duty has the receiver say back.
    Accepted(Vec<u8>),
    /// It was not.
    Rejected(EffectRejection),
}

/// A connection that carries messages.
#[derive(Debug)]
pub struct Connection(Framed<TcpStream, LengthDelimitedCodec>);

fn invalid_data(error: impl std::fmt::Display) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error.to_string())
}

/// The bytes of a message. Kept apart where one message goes to many.
///
/// # Errors
/// The message is longer than a frame may be.
pub fn encode<T: Serialize>(message: &T) -> io::Result<Bytes> {
    let packed = postcard::to_stdvec(message).map_err(invalid_data)?;
    match packed.len() <= MAX_FRAME_BYTES {
        true => Ok(packed.into()),
        false => Err(invalid_data(format!("a message of {} bytes, over {MAX_FRAME_BYTES}", packed.len()))),
    }
}

/// A message out of its bytes.
///
/// # Errors
/// They are not one.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> io::Result<T> {
    postcard::from_bytes(frame).map_err(invalid_data)
}

impl Connection {
    fn from_stream(stream: TcpStream) -> Connection {
        // Small messages are answered by small messages; waiting to fill packets would only add delay.
        let _ = stream.set_nodelay(true);
        Connection(Framed::new(
            stream,
            LengthDelimitedCodec::builder().max_frame_length(MAX_HANDSHAKE_FRAME_BYTES).new_codec(),
        ))
    }

    /// Connects from this address and is let in, or says why not.
    ///
    /// # Errors
    /// Nobody is there, it takes too long, or the other end turned this one away (`PermissionDenied`).
    pub async fn connect(
        to: SocketAddr,
        from: Option<IpAddr>,
        hello: &ClientHello,
    ) -> io::Result<(Connection, String)> {
        let mut hello = hello.clone();
        loop {
            match tokio::time::timeout(IO_TIMEOUT, Connection::handshake(to, from, &hello)).await? {
                Ok((link, ServerHello::Accepted { name })) => return Ok((link, name)),
                // One of an older version: spoken with in its own, where that is still known here.
                Ok((
                    _,
                    ServerHello::Rejected(HandshakeRejection::UnsupportedSchema { latest_supported: ours }),
                )) if (OLDEST_SCHEMA_VERSION..hello.schema_version).contains(&ours) => {
                    hello.schema_version = ours;
                }
                Ok((_, ServerHello::Rejected(why))) => {
                    return Err(io::Error::new(io::ErrorKind::PermissionDenied, HandshakeRejected(why)));
                }
                Err(error) => return Err(error),
            }
        }
    }

    async fn handshake(
        to: SocketAddr,
        from: Option<IpAddr>,
        hello: &ClientHello,
    ) -> io::Result<(Connection, ServerHello)> {
        let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        if let Some(from) = from {
            socket.bind(SocketAddr::new(from, 0))?;
        }
        let mut link = Connection::from_stream(socket.connect(to).await?);
        link.send(hello).await?;
        let welcome = link.receive().await?;
        link.raise_frame_limit();
        Ok((link, welcome))
    }

    /// Takes a connection and hears who it is.
    ///
    /// # Errors
    /// It does not say so in time, or not in a way that can be read.
    pub async fn accept(stream: TcpStream) -> io::Result<(Connection, ClientHello)> {
        let mut link = Connection::from_stream(stream);
        let hello = tokio::time::timeout(IO_TIMEOUT, link.receive()).await??;
        Ok((link, hello))
    }

    /// Lets the other end in, or turns it away.
    ///
    /// # Errors
    /// The connection is gone.
    pub async fn send_server_hello(&mut self, welcome: &ServerHello) -> io::Result<()> {
        self.send(welcome).await?;
        self.raise_frame_limit();
        Ok(())
    }

    fn raise_frame_limit(&mut self) {
        self.0.codec_mut().set_max_frame_length(MAX_FRAME_BYTES);
    }

    /// Sends a message.
    ///
    /// # Errors
    /// The connection is gone, or takes nothing for [`PATIENCE`].
    pub async fn send<T: Serialize>(&mut self, message: &T) -> io::Result<()> {
        self.send_encoded(encode(message)?).await
    }

    /// Sends a message that was packed before.
    ///
    /// # Errors
    /// The connection is gone, or takes nothing for [`PATIENCE`].
    pub async fn send_encoded(&mut self, packed: Bytes) -> io::Result<()> {
        tokio::time::timeout(IO_TIMEOUT, self.0.send(packed)).await?
    }

    /// The next message, as it came. Whoever stops waiting for it loses nothing.
    ///
    /// # Errors
    /// The connection is gone.
    pub async fn receive_encoded(&mut self) -> io::Result<BytesMut> {
        self.0.next().await.unwrap_or_else(|| Err(io::ErrorKind::UnexpectedEof.into()))
    }

    /// The next message.
    ///
    /// # Errors
    /// The connection is gone, or what came cannot be read.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> io::Result<T> {
        decode(&self.receive_encoded().await?)
    }

    /// The two halves, for tasks of their own.
    pub fn split(
        self,
    ) -> (futures_util::stream::SplitSink<Framed<TcpStream, LengthDelimitedCodec>, Bytes>, ConnectionReader)
    {
        let (sink, stream) = self.0.split();
        (sink, ConnectionReader(stream))
    }
}

/// The incoming half of a connection.
#[derive(Debug)]
pub struct ConnectionReader(futures_util::stream::SplitStream<Framed<TcpStream, LengthDelimitedCodec>>);

impl ConnectionReader {
    /// The next message.
    ///
    /// # Errors
    /// The connection is gone, or what came cannot be read.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> io::Result<T> {
        decode(&self.0.next().await.unwrap_or_else(|| Err(io::ErrorKind::UnexpectedEof.into()))?)
    }
}

/// That the other end turned this one away, as the cause of an [`io::Error`].
#[derive(Debug)]
pub struct HandshakeRejected(pub HandshakeRejection);

impl std::fmt::Display for HandshakeRejected {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "turned away: {}", self.0)
    }
}

impl std::error::Error for HandshakeRejected {}

/// Why the other end turned this one away, if that is what the error says.
pub fn handshake_rejection(error: &io::Error) -> Option<&HandshakeRejection> {
    error.get_ref()?.downcast_ref::<HandshakeRejected>().map(|turned| &turned.0)
}

/// What is wrong with a greeting, if anything.
pub fn validate_client_hello(hello: &ClientHello, installation: &str) -> Result<(), HandshakeRejection> {
    validate_client_hello_for_version(SCHEMA_VERSION, hello, installation)
}

/// The same at an end that speaks no later version than this.
pub fn validate_client_hello_for_version(
    ours: u16,
    hello: &ClientHello,
    installation: &str,
) -> Result<(), HandshakeRejection> {
    if !(OLDEST_SCHEMA_VERSION..=ours).contains(&hello.schema_version) {
        return Err(HandshakeRejection::UnsupportedSchema { latest_supported: ours });
    }
    match hello.installation == installation {
        true => Ok(()),
        false => Err(HandshakeRejection::WrongInstallation { expected: installation.to_owned() }),
    }
}
