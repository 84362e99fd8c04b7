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
const CALL: Duration = Duration::from_millis(400);
/// Before the next keeper is asked.
const PAUSE: Duration = Duration::from_millis(20);

/// The keepers of an installation, for whoever asks them something now and then.
#[derive(Debug)]
pub struct Keepers {
    installation: String,
    who: ClientIdentity,
    bind: Option<IpAddr>,
    keepers: BTreeMap<u64, SocketAddr>,
    link: Option<Connection>,
    at: u64,
    next: u64,
}

impl Keepers {
    /// Asked by whom, and from which address.
    pub fn new(
        installation: &str,
        who: ClientIdentity,
        keepers: BTreeMap<u64, SocketAddr>,
        bind: Option<IpAddr>,
    ) -> Keepers {
        let at = keepers.keys().next().copied().unwrap_or(0);
        Keepers { installation: installation.to_owned(), who, bind, keepers, link: None, at, next: 0 }
    }

    /// Asks whichever keeper leads. What changes something may have been done although no answer came.
    ///
    /// # Errors
    /// No keeper that leads answers by then: a majority is not there, or not reached.
    pub async fn ask(&mut self, ask: &Operation, by: Instant) -> Result<Response, String> {
        let mut why = String::from("no time was left");
        while Instant::now() < by {
            let call = by.min(Instant::now() + CALL);
            match timeout_at(call, self.once(ask)).await {
                Ok(Ok(Response::NotLeader { leader, address })) => {
                    why = "no keeper leads".to_owned();
                    self.link = None;
                    match leader.filter(|leader| *leader != self.at) {
                        Some(leader) => {
                            if let Some(address) = address.and_then(|address| address.parse().ok()) {
                                self.keepers.insert(leader, address);
                            }
                            self.at = leader;
                            continue;
                        }
                        None => self.other(),
                    }
                }
                Ok(Ok(Response::Busy)) => why = "the keeper that leads is busy".to_owned(),
                Ok(Ok(answer)) => return Ok(answer),
                Ok(Err(error)) => {
                    why = format!("keeper {}: {error}", self.at);
                    self.other();
                }
                Err(_) => {
                    why = format!("keeper {}: no answer", self.at);
                    self.other();
                }
            }
            sleep(PAUSE.min(by.saturating_duration_since(Instant::now()))).await;
        }
        Err(why)
    }

    /// The next keeper, and a connection to it.
    fn other(&mut self) {
        self.link = None;
        let next = self.keepers.range(self.at + 1..).next().or(self.keepers.iter().next());
        self.at = next.map_or(0, |(number, _)| *number);
    }

    async fn once(&mut self, ask: &Operation) -> io::Result<Response> {
        let mut link = match self.link.take() {
            Some(link) => link,
            None => {
                let address = self.keepers.get(&self.at).copied().ok_or(io::ErrorKind::NotFound)?;
                let (installation, who) = (self.installation.clone(), self.who.clone());
                Connection::connect(
                    address,
                    self.bind,
                    &ClientHello { schema_version: SCHEMA_VERSION, installation, identity: who },
                )
                .await?
                .0
            }
        };
        self.next += 1;
        link.send(&Request { id: self.next, operation: ask.clone() }).await?;
        loop {
            if let CoordinatorMessage::Response(id, answer) = link.receive().await? {
                if id == self.next {
                    self.link = Some(link);
                    return Ok(answer);
                }
            }
        }
    }
}
