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
const MOST_OWNERS: usize = 256;
/// How long an owner waits for a receiver's answer before it connects anew.
const ANSWER: Duration = Duration::from_secs(2);

/// Takes connections of owners for as long as the listener lasts. `apply` gets what was taken, in the order taken, and
/// gives what is said back.
pub async fn receive(member: Member, listener: TcpListener, apply: impl Fn(Effect) -> Vec<u8> + 'static) {
    let apply = Rc::new(apply);
    let room = Rc::new(Semaphore::new(MOST_OWNERS));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of descriptors, most likely: what is open may end meanwhile.
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let (member, apply, room) = (member.clone(), apply.clone(), room.clone());
        tokio::task::spawn_local(async move {
            let Ok(_room) = room.try_acquire() else { return };
            if let Err(error) = of_one_owner(&member, stream, &*apply).await {
                tracing::debug!(%error, "a connection of an owner ended");
            }
        });
    }
}

async fn of_one_owner(
    member: &Member,
    stream: tokio::net::TcpStream,
    apply: &impl Fn(Effect) -> Vec<u8>,
) -> io::Result<()> {
    let (mut link, hello) = Connection::accept(stream).await?;
    let owner = match (validate_client_hello(&hello, &member.settings().installation), hello.identity) {
        (Ok(()), ClientIdentity::LeaseHolder { name, .. }) => name,
        (Err(why), _) => return link.send_server_hello(&ServerHello::Rejected(why)).await,
        (Ok(()), _) => {
            return link.send_server_hello(&ServerHello::Rejected(HandshakeRejection::WrongService)).await
        }
    };
    link.send_server_hello(&ServerHello::Accepted { name: member.settings().name.clone() }).await?;
    loop {
        let effect: Effect = link.receive().await?;
        let now = clock::now();
        let verdict = member.holder().borrow_mut().accept_effect(&effect.lease, effect.token, now);
        let what = serde_json::json!({
            "duty": effect.lease.to_string(), "token": effect.token.0, "version": effect.sequence, "from": owner,
        });
        let answer = match verdict {
            Ok(()) => {
                member.record().put(now, "taken", what);
                EffectResponse::Accepted(apply(effect))
            }
            Err(refusal) => {
                member.record().put(now, "refused", what);
                tracing::info!(from = owner, duty = %effect.lease, token = effect.token.0, %refusal, "effect refused");
                EffectResponse::Rejected(refusal)
            }
        };
        link.send(&answer).await?;
    }
}

/// What an owner has to say in one term; the latest counts.
#[derive(Debug, Clone, Default)]
pub struct Said {
    /// Counted from one within the term.
    pub version: u64,
    /// What.
    pub body: Rc<Vec<u8>>,
}

/// Gets what receivers say back.
type Hears = Rc<dyn Fn(&[u8])>;

/// The effects of one term, sent to every other member. Ends when dropped.
pub struct Publisher {
    said: watch::Sender<Said>,
    tasks: BTreeMap<Peer, JoinHandle<()>>,
    member: Member,
    duty: LeaseId,
    token: FencingToken,
    hears: Hears,
}

impl std::fmt::Debug for Publisher {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Publisher")
            .field("duty", &self.duty)
            .field("token", &self.token)
            .finish_non_exhaustive()
    }
}

impl Publisher {
    /// For the term that this member holds with this token.
    pub fn new(member: &Member, duty: LeaseId, token: FencingToken) -> Publisher {
        Publisher::hearing(member, duty, token, |_| {})
    }

    /// The same; `hears` gets what receivers say back to what they take.
    pub fn hearing(
        member: &Member,
        duty: LeaseId,
        token: FencingToken,
        hears: impl Fn(&[u8]) + 'static,
    ) -> Publisher {
        Publisher {
            said: watch::Sender::default(),
            tasks: BTreeMap::new(),
            member: member.clone(),
            duty,
            token,
            hears: Rc::new(hears),
        }
    }

    /// The term's token.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Says something to all members that are known now, and returns its version. What was said before and not sent yet
    /// is left out; what was sent and not answered may come twice.
    pub fn say(&mut self, body: Vec<u8>) -> u64 {
        let own = &self.member.settings().name;
        let peers: Vec<Peer> = self.member.roster().into_iter().filter(|peer| peer.name != *own).collect();
        self.tasks.retain(|peer, task| {
            let there = peers.binary_search(peer).is_ok() && !task.is_finished();
            if !there {
                task.abort();
            }
            there
        });
        self.said.send_modify(|said| *said = Said { version: said.version + 1, body: Rc::new(body) });
        for peer in peers {
            self.tasks.entry(peer.clone()).or_insert_with(|| {
                let (member, said) = (self.member.clone(), self.said.subscribe());
                let term = (self.duty.clone(), self.token, self.hears.clone());
                tokio::task::spawn_local(to_one_receiver(member, peer, term, said))
            });
        }
        self.said.borrow().version
    }
}

impl Drop for Publisher {
    fn drop(&mut self) {
        self.tasks.values().for_each(JoinHandle::abort);
    }
}

async fn to_one_receiver(
    member: Member,
    peer: Peer,
    term: (LeaseId, FencingToken, Hears),
    mut said: watch::Receiver<Said>,
) {
    let Ok(address) = peer.address.parse::<SocketAddr>() else { return };
    said.mark_changed();
    loop {
        if let Err(error) = on_one_link(&member, address, &term, &mut said).await {
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

async fn on_one_link(
    member: &Member,
    address: SocketAddr,
    (duty, token, hears): &(LeaseId, FencingToken, Hears),
    said: &mut watch::Receiver<Said>,
) -> io::Result<()> {
    let (settings, token) = (member.settings(), *token);
    let incarnation = member.holder().borrow().last_session().map_or(0, |session| session.incarnation);
    let who = ClientIdentity::LeaseHolder { name: settings.name.clone(), incarnation };
    let hello = ClientHello {
        schema_version: SCHEMA_VERSION,
        installation: settings.installation.clone(),
        identity: who,
    };
    let (mut link, _) = Connection::connect(address, settings.bind, &hello).await?;
    let once = member.holder().borrow().injected_bug() == Some(InjectedBug::SkipExpiryCheck);
    let mut looked = false;
    loop {
        said.changed().await.map_err(|_| io::Error::from(io::ErrorKind::BrokenPipe))?;
        let Said { version, body } = said.borrow_and_update().clone();
        let effect = Effect { lease: duty.clone(), token, sequence: version, body: body.to_vec() };
        let packed = crate::wire::encode(&effect)?;
        // The look at the clock is the last thing before the write.
        let now = clock::now();
        let skip_look = once && looked;
        if !skip_look && !member.holder().borrow().holds_lease(duty, token, now) {
            continue;
        }
        looked = true;
        member.record().put(now, "acted", serde_json::json!({"duty": duty.to_string(), "token": token.0}));
        link.send_encoded(packed).await?;
        match timeout(ANSWER, link.receive::<EffectResponse>()).await?? {
            EffectResponse::Accepted(back) => hears(&back),
            EffectResponse::Rejected(why) => {
                tracing::warn!(duty = %duty, token = token.0, %why, "an effect of this process was refused");
            }
        }
    }
}
