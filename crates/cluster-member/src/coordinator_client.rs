//! Client that calls the leader among the replicas of the coordinator, with retries until a deadline.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::time::{sleep, timeout_at, Instant};

use crate::wire::{
    ClientHello, ClientIdentity, Connection, ConnectionError, CoordinatorMessage, LeaderHint, Operation,
    Request, Response, SCHEMA_VERSION,
};

/// Timeout of a call to one replica, after which the next one is called.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before the next replica is called.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Error of a call. The operation may have been carried out nevertheless.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The deadline had already passed when the call was made.
    #[error("the deadline had passed before a replica was called")]
    DeadlinePassed,
    /// The last replica that responded is not the leader; there may be no leader or no majority. A retry may succeed.
    #[error("no replica leads")]
    NoLeader,
    /// The leader has as many pending requests as it accepts. A retry may succeed.
    #[error("the leader is busy")]
    LeaderBusy,
    /// The connection to the last replica that was called failed.
    #[error("replica {replica}: {error}")]
    Connection {
        /// Number of the replica.
        replica: u64,
        /// Cause.
        error: ConnectionError,
    },
    /// The last replica that was called did not respond in time.
    #[error("replica {replica}: no response")]
    NoResponse {
        /// Number of the replica.
        replica: u64,
    },
}

/// Client of the coordinator for single calls; keeps its connection between them.
#[derive(Debug)]
pub struct CoordinatorClient {
    installation: String,
    identity: ClientIdentity,
    local_address: Option<IpAddr>,
    replicas: BTreeMap<u64, SocketAddr>,
    connection: Option<Connection>,
    /// Number of the replica that is called next.
    current: u64,
    last_request_id: u64,
}

impl CoordinatorClient {
    /// Creates a client that connects with this identity from this local address.
    pub fn new(
        installation: &str,
        identity: ClientIdentity,
        replicas: BTreeMap<u64, SocketAddr>,
        local_address: Option<IpAddr>,
    ) -> CoordinatorClient {
        let current = replicas.keys().next().copied().unwrap_or(0);
        CoordinatorClient {
            installation: installation.to_owned(),
            identity,
            local_address,
            replicas,
            connection: None,
            current,
            last_request_id: 0,
        }
    }

    /// Calls the leader. An operation may have been carried out even if the call fails.
    ///
    /// # Errors
    /// Returns the [`CallError`] of the last attempt if no leader responds by the deadline.
    pub async fn call(&mut self, operation: &Operation, deadline: Instant) -> Result<Response, CallError> {
        let mut last_error = CallError::DeadlinePassed;
        // Around an election two replicas may name each other as leader, so only the first of consecutive hints is
        // followed without a delay.
        let mut followed_hint = false;
        while Instant::now() < deadline {
            let replica = self.current;
            let attempt_deadline = deadline.min(Instant::now() + ATTEMPT_TIMEOUT);
            match timeout_at(attempt_deadline, self.call_current(operation)).await {
                Ok(Ok(Response::NotLeader { leader, address })) => {
                    last_error = CallError::NoLeader;
                    let selected_leader = self.follow_leader(LeaderHint::new(leader, address.as_deref()));
                    if selected_leader && !std::mem::replace(&mut followed_hint, true) {
                        continue;
                    }
                }
                Ok(Ok(Response::Busy)) => last_error = CallError::LeaderBusy,
                Ok(Ok(response)) => return Ok(response),
                Ok(Err(error)) => {
                    last_error = CallError::Connection { replica, error };
                    self.select_next();
                }
                Err(_) => {
                    last_error = CallError::NoResponse { replica };
                    self.select_next();
                }
            }
            followed_hint = false;
            sleep(RETRY_DELAY.min(deadline.saturating_duration_since(Instant::now()))).await;
        }
        Err(last_error)
    }

    /// Selects the named leader and returns true if it is not the current replica; otherwise selects the next replica
    /// and returns false.
    fn follow_leader(&mut self, leader: Option<LeaderHint>) -> bool {
        self.connection = None;
        let Some(leader) = leader.filter(|leader| leader.replica_id != self.current) else {
            self.select_next();
            return false;
        };
        if let Some(address) = leader.address {
            self.replicas.insert(leader.replica_id, address);
        }
        self.current = leader.replica_id;
        true
    }

    /// Drops the connection and selects the next replica by number.
    fn select_next(&mut self) {
        self.connection = None;
        let next = self.replicas.range(self.current + 1..).next().or(self.replicas.iter().next());
        self.current = next.map_or(0, |(replica, _)| *replica);
    }

    async fn call_current(&mut self, operation: &Operation) -> Result<Response, ConnectionError> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => self.connect_current().await?,
        };
        self.last_request_id += 1;
        connection.send(&Request { id: self.last_request_id, operation: operation.clone() }).await?;
        loop {
            if let CoordinatorMessage::Response { id, response } = connection.receive().await? {
                if id == self.last_request_id {
                    self.connection = Some(connection);
                    return Ok(response);
                }
            }
        }
    }

    async fn connect_current(&self) -> Result<Connection, ConnectionError> {
        let address = self.replicas.get(&self.current).copied().ok_or(io::ErrorKind::NotFound)?;
        let hello = ClientHello {
            schema_version: SCHEMA_VERSION,
            installation: self.installation.clone(),
            identity: self.identity.clone(),
        };
        let (connection, _) = Connection::connect(address, self.local_address, &hello).await?;
        Ok(connection)
    }
}
