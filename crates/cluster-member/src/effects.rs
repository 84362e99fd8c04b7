//! Effects of owners: sent with their token, after a look at the clock immediately before each; taken or refused.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use coordination::{FencingToken, InjectedBug, LeaseId};
use tokio::net::TcpListener;
use tokio::sync::{watch, Semaphore};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::member::Member;
use crate::wire::{
    validate_client_hello, ClientHello, ClientIdentity, Connection, Effect, EffectResponse,
    HandshakeRejection, Peer, ServerHello, SCHEMA_VERSION,
};

/// The most connections of owners that a receiver has.
const MAX_PUBLISHER_CONNECTIONS: usize = 256;
/// How long an owner waits for a receiver's answer before it connects anew.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Takes connections of owners for as long as the listener lasts. `apply` gets what was taken, in the order taken, and
/// gives what is said back.
pub async fn serve_effects(
    member: Member,
    listener: TcpListener,
    apply: impl Fn(Effect) -> Vec<u8> + 'static,
) {
    let apply = Rc::new(apply);
    let room = Rc::new(Semaphore::new(MAX_PUBLISHER_CONNECTIONS));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of descriptors, most likely: what is open may end meanwhile.
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let (member, apply, room) = (member.clone(), apply.clone(), room.clone());
        tokio::task::spawn_local(async move {
            let Ok(_room) = room.try_acquire() else { return };
            if let Err(error) = serve_publisher(&member, stream, &*apply).await {
                tracing::debug!(%error, "a connection of an owner ended");
            }
        });
    }
}

async fn serve_publisher(
    member: &Member,
    stream: tokio::net::TcpStream,
    apply: &impl Fn(Effect) -> Vec<u8>,
) -> io::Result<()> {
    let (mut link, hello) = Connection::accept(stream).await?;
    let owner = match (validate_client_hello(&hello, &member.config().installation), hello.identity) {
        (Ok(()), ClientIdentity::LeaseHolder { name, .. }) => name,
        (Err(why), _) => return link.send_server_hello(&ServerHello::Rejected(why)).await,
        (Ok(()), _) => {
            return link.send_server_hello(&ServerHello::Rejected(HandshakeRejection::WrongService)).await
        }
    };
    link.send_server_hello(&ServerHello::Accepted { name: member.config().name.clone() }).await?;
    loop {
        let effect: Effect = link.receive().await?;
        let now = clock::now();
        let verdict = member.lease_client().borrow_mut().accept_effect(&effect.lease, effect.token, now);
        let what = serde_json::json!({
            "duty": effect.lease.to_string(), "token": effect.token.0, "version": effect.sequence, "from": owner,
        });
        let answer = match verdict {
            Ok(()) => {
                member.recorder().record(now, "taken", what);
                EffectResponse::Accepted(apply(effect))
            }
            Err(refusal) => {
                member.recorder().record(now, "refused", what);
                tracing::info!(from = owner, duty = %effect.lease, token = effect.token.0, %refusal, "effect refused");
                EffectResponse::Rejected(refusal)
            }
        };
        link.send(&answer).await?;
    }
}

/// What an owner has to say in one term; the latest counts.
#[derive(Debug, Clone, Default)]
pub struct PublishedEffect {
    /// Counted from one within the term.
    pub sequence: u64,
    /// What.
    pub body: Rc<Vec<u8>>,
}

/// Gets what receivers say back.
type ResponseHandler = Rc<dyn Fn(&[u8])>;

/// The effects of one term, sent to every other member. Ends when dropped.
pub struct Publisher {
    latest: watch::Sender<PublishedEffect>,
    tasks: BTreeMap<Peer, JoinHandle<()>>,
    member: Member,
    lease: LeaseId,
    token: FencingToken,
    on_response: ResponseHandler,
}

impl std::fmt::Debug for Publisher {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Publisher")
            .field("duty", &self.lease)
            .field("token", &self.token)
            .finish_non_exhaustive()
    }
}

impl Publisher {
    /// For the term that this member holds with this token.
    pub fn new(member: &Member, duty: LeaseId, token: FencingToken) -> Publisher {
        Publisher::with_response_handler(member, duty, token, |_| {})
    }

    /// The same; `hears` gets what receivers say back to what they take.
    pub fn with_response_handler(
        member: &Member,
        duty: LeaseId,
        token: FencingToken,
        hears: impl Fn(&[u8]) + 'static,
    ) -> Publisher {
        Publisher {
            latest: watch::Sender::default(),
            tasks: BTreeMap::new(),
            member: member.clone(),
            lease: duty,
            token,
            on_response: Rc::new(hears),
        }
    }

    /// The term's token.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Says something to all members that are known now, and returns its version. What was said before and not sent yet
    /// is left out; what was sent and not answered may come twice.
    pub fn publish(&mut self, body: Vec<u8>) -> u64 {
        let own = &self.member.config().name;
        let peers: Vec<Peer> = self.member.members().into_iter().filter(|peer| peer.name != *own).collect();
        self.tasks.retain(|peer, task| {
            let there = peers.binary_search(peer).is_ok() && !task.is_finished();
            if !there {
                task.abort();
            }
            there
        });
        self.latest
            .send_modify(|said| *said = PublishedEffect { sequence: said.sequence + 1, body: Rc::new(body) });
        for peer in peers {
            self.tasks.entry(peer.clone()).or_insert_with(|| {
                let (member, said) = (self.member.clone(), self.latest.subscribe());
                let term = (self.lease.clone(), self.token, self.on_response.clone());
                tokio::task::spawn_local(publish_to(member, peer, term, said))
            });
        }
        self.latest.borrow().sequence
    }
}

impl Drop for Publisher {
    fn drop(&mut self) {
        self.tasks.values().for_each(JoinHandle::abort);
    }
}

async fn publish_to(
    member: Member,
    peer: Peer,
    term: (LeaseId, FencingToken, ResponseHandler),
    mut said: watch::Receiver<PublishedEffect>,
) {
    let Ok(address) = peer.address.parse::<SocketAddr>() else { return };
    said.mark_changed();
    loop {
        if let Err(error) = publish_over_connection(&member, address, &term, &mut said).await {
            tracing::debug!(to = peer.name, %error, "a receiver is not reached");
        }
        if said.has_changed().is_err() {
            return;
        }
        sleep(Duration::from_millis(100)).await;
        // What was sent last may not have arrived.
        said.mark_changed();
    }
}

async fn publish_over_connection(
    member: &Member,
    address: SocketAddr,
    (duty, token, hears): &(LeaseId, FencingToken, ResponseHandler),
    said: &mut watch::Receiver<PublishedEffect>,
) -> io::Result<()> {
    let (settings, token) = (member.config(), *token);
    let incarnation = member.lease_client().borrow().last_session().map_or(0, |session| session.incarnation);
    let who = ClientIdentity::LeaseHolder { name: settings.name.clone(), incarnation };
    let hello = ClientHello {
        schema_version: SCHEMA_VERSION,
        installation: settings.installation.clone(),
        identity: who,
    };
    let (mut link, _) = Connection::connect(address, settings.local_address, &hello).await?;
    let once = member.lease_client().borrow().injected_bug() == Some(InjectedBug::SkipExpiryCheck);
    let mut looked = false;
    loop {
        said.changed().await.map_err(|_| io::Error::from(io::ErrorKind::BrokenPipe))?;
        let PublishedEffect { sequence: version, body } = said.borrow_and_update().clone();
        let effect = Effect { lease: duty.clone(), token, sequence: version, body: body.to_vec() };
        let packed = crate::wire::encode(&effect)?;
        // The look at the clock is the last thing before the write.
        let now = clock::now();
        let skip_look = once && looked;
        if !skip_look && !member.lease_client().borrow().holds_lease(duty, token, now) {
            continue;
        }
        looked = true;
        member.recorder().record(
            now,
            "acted",
            serde_json::json!({"duty": duty.to_string(), "token": token.0}),
        );
        link.send_encoded(packed).await?;
        match timeout(RESPONSE_TIMEOUT, link.receive::<EffectResponse>()).await?? {
            EffectResponse::Accepted(back) => hears(&back),
            EffectResponse::Rejected(why) => {
                tracing::warn!(duty = %duty, token = token.0, %why, "an effect of this process was refused");
            }
        }
    }
}
