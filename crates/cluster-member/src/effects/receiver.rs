//! Receiver of effects: accepts connections of lease holders and checks the fencing token of each effect.

use std::rc::Rc;
use std::time::Duration;

use coordination::EffectRejection;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::clock;
use crate::member::Member;
use crate::record::RecordKind;
use crate::wire::{
    validate_client_hello, ClientHello, ClientIdentity, Connection, ConnectionError, Effect, EffectResponse,
    HandshakeRejection, ServerHello,
};

/// Maximum number of connections of lease holders.
const MAX_PUBLISHER_CONNECTIONS: usize = 256;
/// Delay after a failed accept, most likely due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Record of an accepted or rejected effect.
#[derive(Serialize)]
struct EffectRecord<'a> {
    #[serde(rename = "duty")]
    lease: String,
    from: &'a str,
    token: u64,
    #[serde(rename = "version")]
    sequence: u64,
}

/// Serves connections of lease holders. `apply` is called with each accepted effect, in the order of acceptance, and
/// returns the payload of the response.
pub async fn serve_effects(
    member: Member,
    listener: TcpListener,
    apply: impl Fn(Effect) -> Vec<u8> + 'static,
) {
    let apply = Rc::new(apply);
    let connections = Rc::new(Semaphore::new(MAX_PUBLISHER_CONNECTIONS));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let member = member.clone();
        let apply = apply.clone();
        let connections = connections.clone();
        tokio::task::spawn_local(async move {
            let Ok(_permit) = connections.try_acquire() else { return };
            if let Err(error) = serve_publisher(&member, stream, &*apply).await {
                tracing::debug!(%error, "connection of lease holder ended");
            }
        });
    }
}

/// Serves one connection until it fails or the lease holder closes it.
async fn serve_publisher(
    member: &Member,
    stream: TcpStream,
    apply: &impl Fn(Effect) -> Vec<u8>,
) -> Result<(), ConnectionError> {
    let (mut connection, hello) = Connection::accept(stream).await?;
    let holder = match lease_holder_name(member, hello) {
        Ok(holder) => holder,
        Err(rejection) => return connection.send_server_hello(&ServerHello::Rejected(rejection)).await,
    };
    let accepted = ServerHello::Accepted { name: member.config().name.clone() };
    connection.send_server_hello(&accepted).await?;
    loop {
        let effect: Effect = connection.receive().await?;
        let response = match check_token(member, &effect, &holder) {
            Ok(()) => EffectResponse::Accepted(apply(effect)),
            Err(rejection) => EffectResponse::Rejected(rejection),
        };
        connection.send(&response).await?;
    }
}

/// Validates the hello and returns the name of the lease holder.
fn lease_holder_name(member: &Member, hello: ClientHello) -> Result<String, HandshakeRejection> {
    validate_client_hello(&hello, &member.config().installation)?;
    match hello.identity {
        ClientIdentity::LeaseHolder { name, .. } => Ok(name),
        _ => Err(HandshakeRejection::WrongService),
    }
}

/// Checks the fencing token of an effect and records the result.
fn check_token(member: &Member, effect: &Effect, holder: &str) -> Result<(), EffectRejection> {
    let now = clock::now();
    let checked = member.lease_client().borrow_mut().accept_effect(&effect.lease, effect.token, now);
    let kind = if checked.is_ok() { RecordKind::EffectAccepted } else { RecordKind::EffectRejected };
    let record = EffectRecord {
        lease: effect.lease.to_string(),
        from: holder,
        token: effect.token.0,
        sequence: effect.sequence,
    };
    member.recorder().record(now, kind, record);
    if let Err(rejection) = &checked {
        tracing::info!(
            from = holder,
            lease = %effect.lease,
            token = effect.token.0,
            %rejection,
            "effect rejected"
        );
    }
    checked
}
