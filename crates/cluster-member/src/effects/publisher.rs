//! Publisher of effects: sends the latest effect of a term to every other member.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use coordination::{FencingToken, InjectedBug, LeaseId, Micros};
use serde::Serialize;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::member::Member;
use crate::record::RecordKind;
use crate::wire::{
    encode, ClientHello, ClientIdentity, Connection, ConnectionError, Effect, EffectResponse, Peer,
    SCHEMA_VERSION,
};

/// Timeout of a receiver's response, after which the publisher reconnects.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before the publisher reconnects to a receiver.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Latest effect of a term.
#[derive(Debug, Clone, Default)]
struct PublishedEffect {
    /// Sequence number within the term, from 1.
    sequence: u64,
    body: Rc<Vec<u8>>,
}

/// Record of a sent effect.
#[derive(Serialize)]
struct SentEffectRecord {
    #[serde(rename = "duty")]
    lease: String,
    token: u64,
}

/// Handler that is called with the payload of the response of each receiver that accepted an effect.
type ResponseHandler = Box<dyn Fn(&[u8])>;

/// Term of a lease, and the handler of responses to its effects.
struct Term {
    lease: LeaseId,
    token: FencingToken,
    on_response: ResponseHandler,
}

/// Publisher of the effects of one term to every other member. Stops when dropped.
pub struct Publisher {
    member: Member,
    term: Rc<Term>,
    latest: watch::Sender<PublishedEffect>,
    receivers: BTreeMap<Peer, JoinHandle<()>>,
}

impl fmt::Debug for Publisher {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Publisher")
            .field("lease", &self.term.lease)
            .field("token", &self.term.token)
            .finish_non_exhaustive()
    }
}

impl Publisher {
    /// Creates a publisher for the term with this token.
    pub fn new(member: &Member, lease: LeaseId, token: FencingToken) -> Publisher {
        Publisher::with_response_handler(member, lease, token, |_| {})
    }

    /// Creates a publisher that calls `on_response` with the payload of each response of a receiver that accepted an
    /// effect.
    pub fn with_response_handler(
        member: &Member,
        lease: LeaseId,
        token: FencingToken,
        on_response: impl Fn(&[u8]) + 'static,
    ) -> Publisher {
        Publisher {
            member: member.clone(),
            term: Rc::new(Term { lease, token, on_response: Box::new(on_response) }),
            latest: watch::Sender::default(),
            receivers: BTreeMap::new(),
        }
    }

    /// Returns the fencing token of the term.
    pub fn token(&self) -> FencingToken {
        self.term.token
    }

    /// Sends an effect to all other members and returns its sequence number. The effect replaces earlier ones that were
    /// not sent yet. If no response to it arrives, it is sent again and may be delivered twice.
    pub fn publish(&mut self, body: Vec<u8>) -> u64 {
        let own_name = &self.member.config().name;
        let peers: Vec<Peer> =
            self.member.members().into_iter().filter(|peer| peer.name != *own_name).collect();
        self.retain_receivers(&peers);
        self.latest.send_modify(|latest| {
            *latest = PublishedEffect { sequence: latest.sequence + 1, body: Rc::new(body) };
        });
        for peer in peers {
            self.receivers.entry(peer.clone()).or_insert_with(|| {
                let publishing =
                    publish_to(self.member.clone(), peer, self.term.clone(), self.latest.subscribe());
                tokio::task::spawn_local(publishing)
            });
        }
        self.latest.borrow().sequence
    }

    /// Stops sending to receivers that are not in `peers`, which must be sorted.
    fn retain_receivers(&mut self, peers: &[Peer]) {
        self.receivers.retain(|peer, task| {
            let wanted = peers.binary_search(peer).is_ok() && !task.is_finished();
            if !wanted {
                task.abort();
            }
            wanted
        });
    }
}

impl Drop for Publisher {
    fn drop(&mut self) {
        self.receivers.values().for_each(JoinHandle::abort);
    }
}

/// Sends the effects to one receiver until the publisher is dropped, and reconnects when a connection fails.
async fn publish_to(
    member: Member,
    peer: Peer,
    term: Rc<Term>,
    mut latest: watch::Receiver<PublishedEffect>,
) {
    let Ok(address) = peer.address.parse::<SocketAddr>() else { return };
    latest.mark_changed();
    loop {
        if let Err(error) = publish_over_connection(&member, address, &term, &mut latest).await {
            tracing::debug!(to = peer.name, %error, "connection to receiver failed");
        }
        if latest.has_changed().is_err() {
            return;
        }
        sleep(RECONNECT_DELAY).await;
        // The last effect may not have been delivered, so it is sent again.
        latest.mark_changed();
    }
}

/// Sends the effects to one receiver until the connection fails or the publisher is dropped.
async fn publish_over_connection(
    member: &Member,
    address: SocketAddr,
    term: &Term,
    latest: &mut watch::Receiver<PublishedEffect>,
) -> Result<(), ConnectionError> {
    let (mut connection, _) =
        Connection::connect(address, member.config().local_address, &client_hello(member)).await?;
    let mut lease_check = LeaseCheck::new(member);
    while latest.changed().await.is_ok() {
        let PublishedEffect { sequence, body } = latest.borrow_and_update().clone();
        let effect = Effect { lease: term.lease.clone(), token: term.token, sequence, body: body.to_vec() };
        let encoded = encode(&effect)?;
        // The lease may expire between this check and the write, so nothing but the record may come between them.
        let now = clock::now();
        if !lease_check.permits(member, term, now) {
            continue;
        }
        let record = SentEffectRecord { lease: term.lease.to_string(), token: term.token.0 };
        member.recorder().record(now, RecordKind::EffectSent, record);
        connection.send_encoded(encoded).await?;
        match timeout(RESPONSE_TIMEOUT, connection.receive::<EffectResponse>()).await?? {
            EffectResponse::Accepted(response) => (term.on_response)(&response),
            EffectResponse::Rejected(rejection) => {
                tracing::warn!(lease = %term.lease, token = term.token.0, %rejection, "effect rejected by receiver");
            }
        }
    }
    Ok(())
}

/// Checks, before each effect on one connection, that the lease is still held.
struct LeaseCheck {
    /// Whether the check is skipped after it has passed once; set by [`InjectedBug::SkipExpiryCheck`].
    skip_after_first: bool,
    passed: bool,
}

impl LeaseCheck {
    fn new(member: &Member) -> LeaseCheck {
        let injected_bug = member.lease_client().borrow().injected_bug();
        LeaseCheck { skip_after_first: injected_bug == Some(InjectedBug::SkipExpiryCheck), passed: false }
    }

    /// Returns whether an effect of the term may be sent at this reading of the clock.
    fn permits(&mut self, member: &Member, term: &Term, now: Micros) -> bool {
        if self.skip_after_first && self.passed {
            return true;
        }
        let holds_lease = member.lease_client().borrow().holds_lease(&term.lease, term.token, now);
        self.passed |= holds_lease;
        holds_lease
    }
}

fn client_hello(member: &Member) -> ClientHello {
    let config = member.config();
    let incarnation = member.lease_client().borrow().last_session().map_or(0, |session| session.incarnation);
    let identity = ClientIdentity::LeaseHolder { name: config.name.clone(), incarnation };
    ClientHello { schema_version: SCHEMA_VERSION, installation: config.installation.clone(), identity }
}
