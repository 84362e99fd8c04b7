//! One watch, from its connection to its end.

use std::collections::VecDeque;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{timeout, timeout_at, Instant};

use super::connection::DiscoveryConnection;
use super::error::WatchError;
use super::notified::NotifiedState;
use crate::config::{self, Config};
use crate::engine::{Handle, Input, Micros};
use crate::net::cluster::SharedList;
use crate::net::http::Piece;
use crate::net::json_framing::Token;
use crate::net::ConfigReceiver;
use dispatch_core::poll_schedule::standby_watch_delay;

/// Maximum number of concurrent connection attempts while discovery does not respond; one more closes the oldest.
const MAX_STANDBY_WATCHES: usize = 8;
/// Maximum length of an endpoint list in bytes, enough for some thousands of workers.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;
/// Maximum length of an endpoint list as a fraction of the memory limit, because its parsed form is several times as
/// large.
const MEMORY_PER_LIST: usize = 16;
/// Maximum time for reading what the socket has received by the end of a watch.
const FINAL_READ_TIMEOUT: Duration = Duration::from_millis(20);

/// Returns whether a list read under the old configuration may be invalid under the new one: the address of discovery,
/// or the number of zones or kinds, by which lists are parsed, has changed.
pub(super) fn source_changed(old: &Config, new: &Config) -> bool {
    old.discovery != new.discovery
        || old.names.zones.len() != new.names.zones.len()
        || old.names.kinds.len() != new.names.kinds.len()
}

/// State that all watches share.
pub(super) struct WatchContext {
    pub(super) configs: ConfigReceiver,
    pub(super) handle: Handle,
    pub(super) notified: NotifiedState,
    pub(super) shared_list: Option<Rc<SharedList>>,
    /// Set once a list was received.
    pub(super) ready: watch::Sender<bool>,
    /// Whether this process polls discovery itself.
    pub(super) polls_discovery: watch::Receiver<bool>,
}

/// Result of a watch that ended.
pub(super) struct WatchEnded {
    pub(super) error: WatchError,
    /// A response with status 200 began.
    pub(super) answered: bool,
    /// `Retry-After` of discovery's response.
    pub(super) retry_after: Option<Micros>,
    /// Time since which changes may have been missed.
    pub(super) without_watch_since: Instant,
}

impl WatchEnded {
    /// Returns the end of a watch that missed nothing until now.
    pub(super) fn now(error: WatchError) -> WatchEnded {
        WatchEnded { error, answered: false, retry_after: None, without_watch_since: Instant::now() }
    }
}

/// A watch under one configuration.
pub(super) struct Watch {
    config: Rc<Config>,
    context: Rc<WatchContext>,
}

impl Watch {
    pub(super) fn new(config: Rc<Config>, context: Rc<WatchContext>) -> Watch {
        Watch { config, context }
    }

    /// Runs the watch until it ends, the configuration changes the source, or the member relies on the shared list.
    pub(super) async fn run(self) -> WatchEnded {
        let mut stopped = pin!(self.stopped());
        let started_at = Instant::now();
        let mut connection = tokio::select! {
            biased;
            connection = self.connect() => match connection {
                Ok(connection) => connection,
                Err(error) => {
                    return WatchEnded { without_watch_since: started_at, ..WatchEnded::now(error) };
                }
            },
            () = &mut stopped => return WatchEnded::now(WatchError::Stopped),
        };
        tokio::select! {
            biased;
            () = &mut stopped => {}
            error = self.listen(&mut connection) => return watch_failed(&connection, error),
        }
        // Lists that the source has already sent are still valid, even if they were not read yet.
        let _ = timeout(FINAL_READ_TIMEOUT, connection.read_received(self.max_list_bytes())).await;
        let _ = self.process_buffer(&mut connection);
        WatchEnded { answered: connection.answered, ..WatchEnded::now(WatchError::Stopped) }
    }

    fn max_list_bytes(&self) -> usize {
        MAX_LIST_BYTES.min(self.config.memory_limit / MEMORY_PER_LIST)
    }

    /// Waits until the configuration changes the source, or the member relies on the shared list.
    async fn stopped(&self) {
        let mut configs = self.context.configs.clone();
        let mut polls_discovery = self.context.polls_discovery.clone();
        let source_changes = async {
            if configs.wait_for(|config| source_changed(&self.config, config)).await.is_err() {
                std::future::pending().await
            }
        };
        let polling_stops = async {
            if polls_discovery.wait_for(|polls| !polls).await.is_err() {
                std::future::pending().await
            }
        };
        tokio::select! {
            () = source_changes => {}
            () = polling_stops => {}
        }
    }

    /// Connects and sends the request. Unless the list is polled, waits until discovery responds, and opens further
    /// connections in parallel while it does not.
    async fn connect(&self) -> Result<DiscoveryConnection, WatchError> {
        let address = self.config.discovery;
        let query = self.query();
        if self.config.settings.polls_endpoint_list {
            return DiscoveryConnection::open(address, &query).await;
        }
        let next_attempt_delay = Duration::from_micros(standby_watch_delay(self.config.drain_grace));
        let mut attempts = JoinSet::new();
        let mut oldest_first: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            if oldest_first.len() == MAX_STANDBY_WATCHES {
                if let Some(oldest) = oldest_first.pop_front() {
                    oldest.abort();
                }
            }
            let query = query.clone();
            let attempt = async move { DiscoveryConnection::open_answered(address, &query).await };
            oldest_first.push_back(attempts.spawn_local(attempt));
            if let Ok(result) = timeout(next_attempt_delay, first_answered(&mut attempts)).await {
                return result;
            }
        }
    }

    /// Returns the query of the next request: a watch from the last revision on, or empty for the complete list.
    fn query(&self) -> String {
        let revision = self.context.notified.revision.get();
        revision.map_or_else(String::new, |revision| format!("?stream=1&index={revision}"))
    }

    /// Processes what arrives on the connection until the watch fails.
    async fn listen(&self, connection: &mut DiscoveryConnection) -> WatchError {
        loop {
            if let Err(error) = self.process_buffer(connection) {
                return error;
            }
            // Discovery may send lists faster than the engine handles them, and is not read meanwhile.
            self.context.handle.wait_until_handled().await;
            if connection.response_complete {
                // The complete list was received; the watch continues from it.
                if let Err(error) = connection.send_request(&self.query()).await {
                    return error;
                }
            }
            // Measured from the last complete value, because a list that never ends carries no information.
            let deadline = connection.idle_deadline();
            match timeout_at(deadline, connection.read_more()).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => return error,
                Err(_) => return WatchError::IdleTimeout,
            }
        }
    }

    /// Processes what was read from the connection.
    fn process_buffer(&self, connection: &mut DiscoveryConnection) -> Result<(), WatchError> {
        while !connection.response_complete {
            match connection.next_piece()? {
                Piece::More => return Ok(()),
                Piece::Data(data) => {
                    connection.json.push(&data, self.max_list_bytes())?;
                    self.process_tokens(connection)?;
                }
                Piece::End => self.process_end(connection)?,
            }
        }
        Ok(())
    }

    fn process_tokens(&self, connection: &mut DiscoveryConnection) -> Result<(), WatchError> {
        while let Some(token) = connection.json.next_token() {
            connection.last_value_at = Instant::now();
            self.handle_token(&token)?;
        }
        Ok(())
    }

    /// Ends the current response. Another request follows on the connection only after a complete list.
    fn process_end(&self, connection: &mut DiscoveryConnection) -> Result<(), WatchError> {
        let incomplete_value = connection.json.take_rest();
        if !incomplete_value.is_empty() {
            // The parser reports the error of an incomplete value.
            self.handle_token(&Token::Value(incomplete_value))?;
        }
        connection.response_complete = true;
        if !connection.keep_alive || connection.is_watch {
            return Err(WatchError::ResponseEnded);
        }
        Ok(())
    }

    /// Handles a list, or an empty line, with which discovery reports that nothing changed.
    fn handle_token(&self, token: &Token) -> Result<(), WatchError> {
        match token {
            Token::Value(text) => {
                if let Err(error) = self.handle_list(text) {
                    // The state is unknown from here on: the complete list is requested next.
                    self.context.notified.revision.set(None);
                    return Err(error);
                }
            }
            Token::Blank => self.record_for_cluster(None),
        }
        self.context.ready.send_replace(true);
        Ok(())
    }

    fn handle_list(&self, text: &[u8]) -> Result<(), WatchError> {
        let value: Value = serde_json::from_slice(text)?;
        let mut list = config::parse_endpoint_list(&value, &self.config.names)?;
        self.context.notified.record(list.revision, &mut list.endpoints);
        self.record_for_cluster(Some(&value));
        self.context.handle.send(Input::EndpointList { scope: list.scope, endpoints: list.endpoints });
        Ok(())
    }

    fn record_for_cluster(&self, list: Option<&Value>) {
        if let Some(shared_list) = &self.context.shared_list {
            shared_list.record_discovery(list);
        }
    }
}

/// Returns the first connection that is answered, or the error of the last attempt if all fail.
async fn first_answered(
    attempts: &mut JoinSet<Result<DiscoveryConnection, WatchError>>,
) -> Result<DiscoveryConnection, WatchError> {
    loop {
        match attempts.join_next().await {
            Some(Ok(Ok(connection))) => return Ok(connection),
            Some(Ok(Err(error))) if attempts.is_empty() => return Err(error),
            Some(_) => {}
            None => return Err(WatchError::NoAttempt),
        }
    }
}

fn watch_failed(connection: &DiscoveryConnection, error: WatchError) -> WatchEnded {
    let is_idle_timeout = matches!(error, WatchError::IdleTimeout);
    // If the watch was not answered, it may have missed changes since its request was sent. If it timed out, it may
    // have missed them since its last complete value. `last_value_at` holds the time for both cases.
    let without_watch_since =
        if is_idle_timeout || !connection.answered { connection.last_value_at } else { Instant::now() };
    WatchEnded {
        error,
        answered: connection.answered,
        retry_after: connection.retry_after,
        without_watch_since,
    }
}
