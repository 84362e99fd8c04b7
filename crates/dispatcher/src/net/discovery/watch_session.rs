//! One watch from its opening to its end.

use std::collections::VecDeque;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout, timeout_at, Instant};

use super::connection::{DiscoveryConnection, WATCH_SILENCE_TIMEOUT};
use super::notified::NotifiedState;
use crate::config::{self, Config, Names};
use crate::engine::{micros, Handle, Input, Micros};
use crate::net::cluster::SharedList;
use crate::net::http::{Decoder, Head, Piece, Start};
use crate::net::json_framing::Token;
use crate::net::{has_unread_bytes, read_more, ConfigReceiver};
use dispatch_core::poll_schedule::standby_watch_delay;

/// So many watches are opened beside each other at the most where an agent does not answer; the oldest goes first.
const MAX_STANDBY_WATCHES: usize = 8;
/// The longest list: some thousands of workers.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;
/// What has come of a watch by its end is read within this.
const FINAL_READ_TIMEOUT: Duration = Duration::from_millis(20);

/// What was told under one of them need not hold under the other: it comes of another place, or was read by
/// other names.
pub(super) fn source_changed(old: &Config, new: &Config) -> bool {
    let names = |names: &Names| (names.zones.len(), names.kinds.len());
    old.discovery != new.discovery || names(&old.names) != names(&new.names)
}

/// How a watch ended.
pub(super) struct WatchEnded {
    pub(super) reason: String,
    /// Discovery had begun to tell something.
    pub(super) answered: bool,
    /// When discovery wants to be asked again.
    pub(super) retry_after: Option<Micros>,
    /// From when on nothing may have been heard.
    pub(super) without_watch_since: Instant,
}

impl WatchEnded {
    pub(super) fn now(why: impl Into<String>) -> WatchEnded {
        WatchEnded {
            reason: why.into(),
            answered: false,
            retry_after: None,
            without_watch_since: Instant::now(),
        }
    }
}

/// One watch.
pub(super) struct Watch {
    pub(super) config: Rc<Config>,
    pub(super) handle: Handle,
    pub(super) notified: Rc<NotifiedState>,
    pub(super) shared_list: Option<Rc<SharedList>>,
}

impl Watch {
    pub(super) fn new(
        config: &Rc<Config>,
        handle: &Handle,
        notified: &Rc<NotifiedState>,
        shared_list: &Option<Rc<SharedList>>,
    ) -> Watch {
        Watch {
            config: config.clone(),
            handle: handle.clone(),
            notified: notified.clone(),
            shared_list: shared_list.clone(),
        }
    }

    /// Follows it to its end, or until the configuration names another place or the fleet is relied on.
    pub(super) async fn run(
        self,
        mut configs: ConfigReceiver,
        ready: watch::Sender<bool>,
        mut asks: watch::Receiver<bool>,
    ) -> WatchEnded {
        let config = self.config.clone();
        let moves = async {
            let moves = async {
                if configs.wait_for(|now| source_changed(&config, now)).await.is_err() {
                    std::future::pending().await
                }
            };
            let relied_on = async {
                if asks.wait_for(|asks| !asks).await.is_err() {
                    std::future::pending().await
                }
            };
            tokio::select! {
                () = moves => {}
                () = relied_on => {}
            }
        };
        tokio::pin!(moves);
        let begun = Instant::now();
        let mut talk = tokio::select! {
            biased;
            talk = self.connect() => match talk {
                Ok(talk) => talk,
                Err(why) => return WatchEnded { without_watch_since: begun, ..WatchEnded::now(why) },
            },
            () = &mut moves => return WatchEnded::now("moved"),
        };
        let why = tokio::select! {
            biased;
            () = &mut moves => "moved".to_owned(),
            ListenEnded { reason: why, timed_out: silent } = self.listen(&mut talk, &ready) => {
                // A call that was never answered may have begun just before discovery could be reached.
                let deaf_since = if silent || !talk.answered { talk.last_heard_at } else { Instant::now() };
                return WatchEnded { reason: why, answered: talk.answered, retry_after: talk.retry_after, without_watch_since: deaf_since };
            }
        };
        // What this place has written counts as told, also what nobody has read so far.
        let rest = async {
            while has_unread_bytes(&talk.stream) && read_more(&mut talk.stream, &mut talk.buf).await.is_ok() {
            }
        };
        let _ = timeout(FINAL_READ_TIMEOUT, rest).await;
        let _ = self.process_buffer(&mut talk, &ready);
        WatchEnded { answered: talk.answered, ..WatchEnded::now(why) }
    }

    /// Opens a watch, or asks for the whole list where all must be asked for. An agent has begun to answer then.
    async fn connect(&self) -> Result<DiscoveryConnection, String> {
        let (host, query) = (self.config.discovery, self.query());
        if self.config.settings.polls_endpoint_list {
            return DiscoveryConnection::open(host, &query).await;
        }
        let beside = Duration::from_micros(standby_watch_delay(self.config.drain_grace));
        let mut tries = JoinSet::new();
        let mut order = VecDeque::new();
        loop {
            if order.len() == MAX_STANDBY_WATCHES {
                order.pop_front().iter().for_each(AbortHandle::abort);
            }
            let query = query.clone();
            order.push_back(
                tries.spawn_local(async move { DiscoveryConnection::open_answered(host, &query).await }),
            );
            let mut next = pin!(sleep(beside));
            loop {
                tokio::select! {
                    biased;
                    tried = tries.join_next() => match tried {
                        Some(Ok(Ok(talk))) => return Ok(talk),
                        Some(Ok(Err(why))) if tries.is_empty() => return Err(why),
                        None => return Err("nothing was tried".to_owned()),
                        Some(_) => {}
                    },
                    () = &mut next => break,
                }
            }
        }
    }

    /// What is to be asked next: the whole list, or what comes after what is known.
    fn query(&self) -> String {
        let after = self.notified.revision.get().map(|revision| format!("?stream=1&index={revision}"));
        after.unwrap_or_default()
    }

    async fn listen(&self, talk: &mut DiscoveryConnection, ready: &watch::Sender<bool>) -> ListenEnded {
        loop {
            if let Err(why) = self.process_buffer(talk, ready) {
                return ListenEnded { reason: why, timed_out: false };
            }
            if talk.response_complete {
                // The whole list was asked for and is here; the watch goes on after it.
                if let Err(why) = talk.send_request(&self.query()).await {
                    return ListenEnded { reason: why, timed_out: false };
                }
            }
            // Not counted from the last byte: a list that never comes to its end tells nothing.
            let dead = talk.last_heard_at + WATCH_SILENCE_TIMEOUT;
            let (why, silent) = match timeout_at(dead, read_more(&mut talk.stream, &mut talk.buf)).await {
                Ok(Ok(true)) => continue,
                Ok(Ok(false)) => ("the connection ended".to_owned(), false),
                Ok(Err(error)) => (format!("the connection broke: {error}"), false),
                Err(_) => ("the watch fell silent".to_owned(), true),
            };
            return ListenEnded { reason: why, timed_out: silent };
        }
    }

    /// Takes what has been read.
    fn process_buffer(
        &self,
        talk: &mut DiscoveryConnection,
        ready: &watch::Sender<bool>,
    ) -> Result<(), String> {
        while !talk.response_complete {
            let piece = match &mut talk.body {
                None => match Head::response(&mut talk.buf).map_err(|error| error.to_string())? {
                    Some(head) if head.start == Start::Response(200) => {
                        talk.answered = true;
                        talk.keep_alive = head.keep_alive;
                        talk.body = Some(Decoder::new(head.framing));
                        continue;
                    }
                    Some(head) => {
                        let wait = head.header_text("Retry-After").and_then(|text| text.trim().parse().ok());
                        talk.retry_after = wait.map(micros);
                        return Err(format!("answered {:?}", head.start));
                    }
                    None => Piece::More,
                },
                Some(body) => body.next(&mut talk.buf).map_err(|error| error.to_string())?,
            };
            let end = match piece {
                Piece::More => return Ok(()),
                Piece::Data(data) => {
                    talk.json.push(&data, MAX_LIST_BYTES).map_err(|error| error.to_string())?;
                    None
                }
                Piece::End => Some(talk.json.take_rest()),
            };
            while let Some(token) = talk.json.next_token() {
                talk.last_heard_at = Instant::now();
                self.handle_token(token, ready)?;
            }
            if let Some(rest) = end {
                if !rest.is_empty() {
                    // A value without its end, which the parser tells.
                    self.handle_token(Token::Value(rest), ready)?;
                }
                talk.response_complete = true;
                if !talk.keep_alive || talk.is_watch {
                    return Err("the watch ended".to_owned());
                }
            }
        }
        Ok(())
    }

    /// Takes a list; an empty line says that nothing changed.
    fn handle_token(&self, token: Token, ready: &watch::Sender<bool>) -> Result<(), String> {
        if let Token::Value(text) = &token {
            let list = serde_json::from_slice::<Value>(text).map_err(|error| error.to_string());
            let list = list.and_then(|value| {
                config::parse_endpoint_list(&value, &self.config.names).map_err(|error| error.to_string())
            });
            match list {
                Ok(mut list) => {
                    self.notified.record(list.revision, &mut list.endpoints);
                    if let Some(lists) = &self.shared_list {
                        lists.record_discovery(serde_json::from_slice(text).ok().as_ref());
                    }
                    self.handle.send(Input::EndpointList { scope: list.scope, endpoints: list.endpoints });
                }
                Err(error) => {
                    // The state is unknown from here on: ask for all of it.
                    self.notified.revision.set(None);
                    return Err(error);
                }
            }
        } else if let Some(lists) = &self.shared_list {
            lists.record_discovery(None);
        }
        ready.send_replace(true);
        Ok(())
    }
}

/// How listening ended.
struct ListenEnded {
    reason: String,
    /// The connection stands, and nothing comes.
    timed_out: bool,
}
