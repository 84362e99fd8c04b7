//! The messages, and connections that carry them: postcard in frames with their length before them.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use coordination::{DutyId, Reason, Refusal, Revision, SessionId, Token, View};
use disruption_budget::{DisruptionCommand, DisruptionOutcome, DisruptionState};
use futures_util::{SinkExt, StreamExt};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpSocket, TcpStream};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// The version of these messages, and the oldest that is still spoken with whoever knows no later one. What a later
/// version adds is not said to an end of an older one, which would not have asked for it.
pub const SCHEMA: u16 = 3;
/// See [`SCHEMA`].
pub const OLDEST_SCHEMA: u16 = 2;
/// The longest frame, in bytes.
pub const LONGEST_FRAME: usize = 4 << 20;
/// The longest frame before the other end is known, in bytes.
const LONGEST_HELLO: usize = 4 << 10;
/// How long the other end may take to say who it is, or to take a frame.
pub const PATIENCE: Duration = Duration::from_secs(2);

/// The first frame of whoever connects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`SCHEMA`].
    pub schema: u16,
    /// The installation, as both ends are configured.
    pub installation: String,
    /// Who connects.
    pub who: Who,
}

/// Who connects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Who {
    /// A keeper, to another.
    Keeper(Disk),
    /// A member, to a keeper.
    Member {
        /// Its name.
        name: String,
    },
    /// An operator, to a keeper.
    Operator,
    /// An owner, to a receiver of its effects.
    Owner {
        /// Its name.
        name: String,
        /// Which process of that name.
        incarnation: u64,
    },
}

/// What a keeper's disk says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Disk {
    /// The keeper's number.
    pub keeper: u64,
    /// A number drawn when the disk was set up.
    pub disk: u64,
    /// How often it was started.
    pub boots: u64,
    /// The last term of Raft that it knew at this start.
    pub term: u64,
}

/// The answer to [`Hello`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Welcome {
    /// Come in; this keeper or member is the other end.
    Fine {
        /// Its name.
        name: String,
    },
    /// Not here.
    Turned(Turned),
}

/// Why somebody is turned away.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Turned {
    /// A later version of the messages.
    Schema {
        /// The latest that is spoken here.
        ours: u16,
    },
    /// Another installation.
    Installation {
        /// The one here.
        ours: String,
    },
    /// A keeper that is not one of these.
    Stranger,
    /// This keeper was known with another disk.
    WrongDisk,
    /// This disk was known with more starts or a later term: it is an old copy.
    OldDisk {
        /// The starts that were seen.
        boots: u64,
        /// The term that was seen.
        term: u64,
    },
    /// Too many connections.
    Full,
    /// Not what is spoken at this address.
    WrongDoor,
}

impl std::fmt::Display for Turned {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Turned::Schema { ours } => write!(f, "it speaks version {ours} of the messages, this program {OLDEST_SCHEMA} to {SCHEMA}"),
            Turned::Installation { ours } => write!(f, "it belongs to installation {ours:?}"),
            Turned::Stranger => write!(f, "it knows no keeper of this number"),
            Turned::WrongDisk => write!(f, "it knows this keeper with another disk; set the keeper up as a new one"),
            Turned::OldDisk { boots, term } => write!(
                f,
                "it saw this disk with {boots} starts and term {term}: what is on it now is an old copy, which may not \
                 vote; set the keeper up as a new one"
            ),
            Turned::Full => write!(f, "it has no room for another connection"),
            Turned::WrongDoor => write!(f, "it does not speak with the likes of this at that address"),
        }
    }
}

/// What a member or an operator asks a keeper.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// A number of the asker's; the answer has the same.
    pub id: u64,
    /// What is asked.
    pub ask: Ask,
}

/// What may be asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// A session.
    Join {
        /// The member's name.
        name: String,
        /// The number that its process drew.
        boot: u64,
        /// Its zone.
        zone: String,
        /// Where it is reached.
        address: String,
        /// What it may be given.
        offers: Vec<DutyId>,
    },
    /// The session is to go on.
    Renew {
        /// Which.
        session: SessionId,
        /// The last view that was applied.
        seen: Revision,
        /// The last list of members that is known, of those who need one.
        roster: Option<Revision>,
    },
    /// The session is over.
    Leave {
        /// Which.
        session: SessionId,
    },
    /// A term is over.
    Release {
        /// The duty.
        duty: DutyId,
        /// Which term; an operator leaves it out.
        token: Option<Token>,
    },
    /// How things are.
    Status,
    /// A keeper is to be replaced by a new one.
    Replace {
        /// The one that goes.
        old: u64,
        /// The one that comes.
        new: u64,
        /// Where the new one is reached.
        address: String,
    },
    /// Who may be out, where that has changed since. Since version 3.
    Account {
        /// The entry up to which the asker knows it.
        known: Revision,
    },
    /// The account is to change. Since version 3.
    Change(DisruptionCommand),
}

/// What a keeper says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromKeeper {
    /// The answer to a request.
    Answer(u64, Answer),
    /// Who owns what has changed, told to the member of this session.
    News(SessionId, View),
}

/// An answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// A session was given.
    Joined {
        /// Which.
        session: SessionId,
        /// Which process of that name.
        incarnation: u64,
        /// Who owns what.
        view: View,
    },
    /// The session goes on.
    Renewed {
        /// Who owns what, if that is later than what was seen.
        view: Option<View>,
        /// The members, if asked for and changed.
        roster: Option<(Revision, Vec<Peer>)>,
    },
    /// It was done.
    Done,
    /// Another keeper leads, this one if it is known.
    NotLeading {
        /// Its number.
        leader: Option<u64>,
        /// Where it is reached, if it came after the installation was set up: a member may not know of it.
        address: Option<String>,
    },
    /// Not now: ask again.
    Busy,
    /// It was not done.
    Refused(Reason),
    /// How things are.
    Status(Box<Status>),
    /// Who may be out, as of this entry; nothing where the asker knows it.
    Account(Revision, Option<Box<DisruptionState>>),
    /// What became of a change of the account.
    Changed(DisruptionOutcome),
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
pub struct Status {
    /// The keeper.
    pub keeper: u64,
    /// Whether it leads.
    pub leads: bool,
    /// Who leads, as far as it knows.
    pub leader: Option<u64>,
    /// The term of Raft.
    pub term: u64,
    /// The last entry that it applied.
    pub applied: u64,
    /// The last entry that it knows to be agreed.
    pub committed: u64,
    /// The first entry of the log that it still has.
    pub first: u64,
    /// How often its disk was started.
    pub boots: u64,
    /// Elections that it has seen since it started.
    pub elections: u64,
    /// From a proposal to its being applied, in microseconds: half of them, 99 of 100, the longest.
    pub commit_us: (u64, u64, u64),
    /// The members.
    pub members: Vec<MemberStatus>,
    /// The duties.
    pub duties: Vec<DutyStatus>,
    /// The keepers, and how often each one's disk was started.
    pub keepers: Vec<(u64, u64)>,
    /// Those that vote; while one is replaced, of both configurations.
    pub voters: Vec<u64>,
    /// Those that learn and do not vote yet.
    pub learners: Vec<u64>,
    /// Who is being replaced by whom.
    pub replacing: Option<(u64, u64)>,
}

/// A member as a keeper sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its session.
    pub session: SessionId,
    /// Who.
    pub peer: Peer,
    /// Whether it has stayed long enough to be given duties.
    pub settled: bool,
    /// Whether a later process of the same name is there.
    pub superseded: bool,
    /// Short lives in a row.
    pub short_lives: u8,
}

/// A duty as a keeper sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyStatus {
    /// Which.
    pub duty: DutyId,
    /// Whose, and with which token.
    pub owner: Option<(String, Token)>,
    /// Tokens below are of ended terms.
    pub floor: Token,
    /// The entry that ended the last term.
    pub fenced: Revision,
}

/// Something that an owner does at a receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effect {
    /// On behalf of which duty.
    pub duty: DutyId,
    /// In which term.
    pub token: Token,
    /// Counted within the term.
    pub version: u64,
    /// What the duty says.
    pub body: Vec<u8>,
}

/// What becomes of an effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EffectAnswer {
    /// It was taken; what the duty has the receiver say back.
    Taken(Vec<u8>),
    /// It was not.
    Refused(Refusal),
}

/// A connection that carries messages.
#[derive(Debug)]
pub struct Link(Framed<TcpStream, LengthDelimitedCodec>);

fn unreadable(error: impl std::fmt::Display) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error.to_string())
}

/// The bytes of a message. Kept apart where one message goes to many.
///
/// # Errors
/// The message is longer than a frame may be.
pub fn pack<T: Serialize>(message: &T) -> io::Result<Bytes> {
    let packed = postcard::to_stdvec(message).map_err(unreadable)?;
    match packed.len() <= LONGEST_FRAME {
        true => Ok(packed.into()),
        false => Err(unreadable(format!("a message of {} bytes, over {LONGEST_FRAME}", packed.len()))),
    }
}

/// A message out of its bytes.
///
/// # Errors
/// They are not one.
pub fn unpack<T: DeserializeOwned>(frame: &[u8]) -> io::Result<T> {
    postcard::from_bytes(frame).map_err(unreadable)
}

impl Link {
    fn over(stream: TcpStream) -> Link {
        // Small messages are answered by small messages; waiting to fill packets would only add delay.
        let _ = stream.set_nodelay(true);
        Link(Framed::new(stream, LengthDelimitedCodec::builder().max_frame_length(LONGEST_HELLO).new_codec()))
    }

    /// Connects from this address and is let in, or says why not.
    ///
    /// # Errors
    /// Nobody is there, it takes too long, or the other end turned this one away (`PermissionDenied`).
    pub async fn connect(to: SocketAddr, from: Option<IpAddr>, hello: &Hello) -> io::Result<(Link, String)> {
        let mut hello = hello.clone();
        loop {
            match tokio::time::timeout(PATIENCE, Link::enter(to, from, &hello)).await? {
                Ok((link, Welcome::Fine { name })) => return Ok((link, name)),
                // One of an older version: spoken with in its own, where that is still known here.
                Ok((_, Welcome::Turned(Turned::Schema { ours })))
                    if (OLDEST_SCHEMA..hello.schema).contains(&ours) =>
                {
                    hello.schema = ours;
                }
                Ok((_, Welcome::Turned(why))) => {
                    return Err(io::Error::new(io::ErrorKind::PermissionDenied, TurnedAway(why)));
                }
                Err(error) => return Err(error),
            }
        }
    }

    async fn enter(to: SocketAddr, from: Option<IpAddr>, hello: &Hello) -> io::Result<(Link, Welcome)> {
        let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        if let Some(from) = from {
            socket.bind(SocketAddr::new(from, 0))?;
        }
        let mut link = Link::over(socket.connect(to).await?);
        link.send(hello).await?;
        let welcome = link.next().await?;
        link.known();
        Ok((link, welcome))
    }

    /// Takes a connection and hears who it is.
    ///
    /// # Errors
    /// It does not say so in time, or not in a way that can be read.
    pub async fn accept(stream: TcpStream) -> io::Result<(Link, Hello)> {
        let mut link = Link::over(stream);
        let hello = tokio::time::timeout(PATIENCE, link.next()).await??;
        Ok((link, hello))
    }

    /// Lets the other end in, or turns it away.
    ///
    /// # Errors
    /// The connection is gone.
    pub async fn welcome(&mut self, welcome: &Welcome) -> io::Result<()> {
        self.send(welcome).await?;
        self.known();
        Ok(())
    }

    fn known(&mut self) {
        self.0.codec_mut().set_max_frame_length(LONGEST_FRAME);
    }

    /// Sends a message.
    ///
    /// # Errors
    /// The connection is gone, or takes nothing for [`PATIENCE`].
    pub async fn send<T: Serialize>(&mut self, message: &T) -> io::Result<()> {
        self.send_packed(pack(message)?).await
    }

    /// Sends a message that was packed before.
    ///
    /// # Errors
    /// The connection is gone, or takes nothing for [`PATIENCE`].
    pub async fn send_packed(&mut self, packed: Bytes) -> io::Result<()> {
        tokio::time::timeout(PATIENCE, self.0.send(packed)).await?
    }

    /// The next message, as it came. Whoever stops waiting for it loses nothing.
    ///
    /// # Errors
    /// The connection is gone.
    pub async fn next_packed(&mut self) -> io::Result<BytesMut> {
        self.0.next().await.unwrap_or_else(|| Err(io::ErrorKind::UnexpectedEof.into()))
    }

    /// The next message.
    ///
    /// # Errors
    /// The connection is gone, or what came cannot be read.
    pub async fn next<T: DeserializeOwned>(&mut self) -> io::Result<T> {
        unpack(&self.next_packed().await?)
    }

    /// The two halves, for tasks of their own.
    pub fn split(
        self,
    ) -> (futures_util::stream::SplitSink<Framed<TcpStream, LengthDelimitedCodec>, Bytes>, Frames) {
        let (sink, stream) = self.0.split();
        (sink, Frames(stream))
    }
}

/// The incoming half of a connection.
#[derive(Debug)]
pub struct Frames(futures_util::stream::SplitStream<Framed<TcpStream, LengthDelimitedCodec>>);

impl Frames {
    /// The next message.
    ///
    /// # Errors
    /// The connection is gone, or what came cannot be read.
    pub async fn next<T: DeserializeOwned>(&mut self) -> io::Result<T> {
        unpack(&self.0.next().await.unwrap_or_else(|| Err(io::ErrorKind::UnexpectedEof.into()))?)
    }
}

/// That the other end turned this one away, as the cause of an [`io::Error`].
#[derive(Debug)]
pub struct TurnedAway(pub Turned);

impl std::fmt::Display for TurnedAway {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "turned away: {}", self.0)
    }
}

impl std::error::Error for TurnedAway {}

/// Why the other end turned this one away, if that is what the error says.
pub fn turned_away(error: &io::Error) -> Option<&Turned> {
    error.get_ref()?.downcast_ref::<TurnedAway>().map(|turned| &turned.0)
}

/// What is wrong with a greeting, if anything.
pub fn check_hello(hello: &Hello, installation: &str) -> Result<(), Turned> {
    check_hello_of(SCHEMA, hello, installation)
}

/// The same at an end that speaks no later version than this.
pub fn check_hello_of(ours: u16, hello: &Hello, installation: &str) -> Result<(), Turned> {
    if !(OLDEST_SCHEMA..=ours).contains(&hello.schema) {
        return Err(Turned::Schema { ours });
    }
    match hello.installation == installation {
        true => Ok(()),
        false => Err(Turned::Installation { ours: installation.to_owned() }),
    }
}
