//! Asking the keepers: whichever leads, on a connection of one's own, within a time.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::time::{sleep, timeout_at, Instant};

use crate::wire::{
    ClientHello, ClientIdentity, Connection, CoordinatorMessage, Operation, Request, Response, SCHEMA_VERSION,
};

/// One keeper gets so long for an answer before another one is asked.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(400);
/// Before the next keeper is asked.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// The keepers of an installation, for whoever asks them something now and then.
#[derive(Debug)]
pub struct CoordinatorClient {
    installation: String,
    identity: ClientIdentity,
    local_address: Option<IpAddr>,
    replicas: BTreeMap<u64, SocketAddr>,
    connection: Option<Connection>,
    current: u64,
    last_request_id: u64,
}

impl CoordinatorClient {
    /// Asked by whom, and from which address.
    pub fn new(
        installation: &str,
        who: ClientIdentity,
        keepers: BTreeMap<u64, SocketAddr>,
        bind: Option<IpAddr>,
    ) -> CoordinatorClient {
        let at = keepers.keys().next().copied().unwrap_or(0);
        CoordinatorClient {
            installation: installation.to_owned(),
            identity: who,
            local_address: bind,
            replicas: keepers,
            connection: None,
            current: at,
            last_request_id: 0,
        }
    }

    /// Asks whichever keeper leads. What changes something may have been done although no answer came.
    ///
    /// # Errors
    /// No keeper that leads answers by then: a majority is not there, or not reached.
    pub async fn call(&mut self, ask: &Operation, by: Instant) -> Result<Response, String> {
        let mut why = String::from("no time was left");
        while Instant::now() < by {
            let call = by.min(Instant::now() + ATTEMPT_TIMEOUT);
            match timeout_at(call, self.call_current(ask)).await {
                Ok(Ok(Response::NotLeader { leader, address })) => {
                    why = "no keeper leads".to_owned();
                    self.connection = None;
                    match leader.filter(|leader| *leader != self.current) {
                        Some(leader) => {
                            if let Some(address) = address.and_then(|address| address.parse().ok()) {
                                self.replicas.insert(leader, address);
                            }
                            self.current = leader;
                            continue;
                        }
                        None => self.select_next(),
                    }
                }
                Ok(Ok(Response::Busy)) => why = "the keeper that leads is busy".to_owned(),
                Ok(Ok(answer)) => return Ok(answer),
                Ok(Err(error)) => {
                    why = format!("keeper {}: {error}", self.current);
                    self.select_next();
                }
                Err(_) => {
                    why = format!("keeper {}: no answer", self.current);
                    self.select_next();
                }
            }
            sleep(RETRY_DELAY.min(by.saturating_duration_since(Instant::now()))).await;
        }
        Err(why)
    }

    /// The next keeper, and a connection to it.
    fn select_next(&mut self) {
        self.connection = None;
        let next = self.replicas.range(self.current + 1..).next().or(self.replicas.iter().next());
        self.current = next.map_or(0, |(number, _)| *number);
    }

    async fn call_current(&mut self, ask: &Operation) -> io::Result<Response> {
        let mut link = match self.connection.take() {
            Some(link) => link,
            None => {
                let address = self.replicas.get(&self.current).copied().ok_or(io::ErrorKind::NotFound)?;
                let (installation, who) = (self.installation.clone(), self.identity.clone());
                Connection::connect(
                    address,
                    self.local_address,
                    &ClientHello { schema_version: SCHEMA_VERSION, installation, identity: who },
                )
                .await?
                .0
            }
        };
        self.last_request_id += 1;
        link.send(&Request { id: self.last_request_id, operation: ask.clone() }).await?;
        loop {
            if let CoordinatorMessage::Response(id, answer) = link.receive().await? {
                if id == self.last_request_id {
                    self.connection = Some(link);
                    return Ok(answer);
                }
            }
        }
    }
}
