//! Follows discovery: a watch that is opened again from the last revision whenever it ends or falls silent.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::http::{Decoder, Head, Lines, Piece, Start};
use super::{read_more, write_whole};
use crate::config::{self, Config};
use crate::engine::{Handle, Input};
use crate::log;

/// An empty line comes every 2 s; a watch that is silent for longer is dead, whatever its connection says.
const SILENCE: Duration = Duration::from_millis(2800);
/// The agent is on this machine: it takes a connection at once or not at all.
const DIAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Between two watches.
const PAUSE: Duration = Duration::from_millis(100);
/// The longest line: a whole list of some thousands of workers.
const LONGEST_LINE: usize = 4 * 1024 * 1024;

/// Watches for ever. `ready` turns true with the first list.
pub async fn follow(config: Rc<Config>, handle: Handle, ready: watch::Sender<bool>) {
    let revision = Rc::new(Cell::new(config.known.0));
    let mut failing = false;
    loop {
        let before = revision.get();
        // A task of its own: a panic ends this watch, not the following.
        let watch = watch_once(config.clone(), handle.clone(), ready.clone(), revision.clone());
        let end = spawn_local(watch).await.unwrap_or_else(|error| error.to_string());
        if revision.get() == before && !failing {
            log::line(&format!("discovery: {end}"));
        }
        failing = revision.get() == before;
        tokio::time::sleep(PAUSE).await;
    }
}

/// One watch, to its end.
async fn watch_once(
    config: Rc<Config>,
    handle: Handle,
    ready: watch::Sender<bool>,
    revision: Rc<Cell<u64>>,
) -> String {
    let mut stream = match timeout(DIAL_TIMEOUT, TcpStream::connect(config.discovery)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return format!("cannot connect: {error}"),
        Err(_) => return "no connection in time".to_owned(),
    };
    let _ = stream.set_nodelay(true);
    let (from, host) = (revision.get(), config.discovery);
    let request = format!("GET /v1/servers?stream=1&index={from} HTTP/1.1\r\nHost: {host}\r\n\r\n");
    if let Err(error) = write_whole(&mut stream, &mut Bytes::from(request)).await {
        return format!("cannot ask: {error}");
    }
    let mut buf = BytesMut::new();
    let mut body = None;
    let mut lines = Lines::default();
    loop {
        let piece = match &mut body {
            None => match Head::response(&mut buf) {
                Ok(Some(head)) if head.start == Start::Response(200) => {
                    body = Some(Decoder::new(head.framing));
                    continue;
                }
                Ok(Some(head)) => return format!("answered {:?}", head.start),
                Ok(None) => Ok(Piece::More),
                Err(error) => Err(error),
            },
            Some(body) => body.next(&mut buf),
        };
        match piece {
            Ok(Piece::Data(data)) => {
                if let Err(error) = lines.add(data, LONGEST_LINE) {
                    return error.to_string();
                }
                while let Some(line) = lines.next_line() {
                    if let Err(error) = take_line(&line, &config, &handle, &revision) {
                        // The state is unknown from here on: ask for all of it.
                        revision.set(0);
                        return error;
                    }
                    ready.send_replace(true);
                }
            }
            Ok(Piece::End) => return "the watch ended".to_owned(),
            Ok(Piece::More) => match timeout(SILENCE, read_more(&mut stream, &mut buf)).await {
                Ok(Ok(true)) => {}
                Ok(Ok(false)) => return "the connection ended".to_owned(),
                Ok(Err(error)) => return format!("the connection broke: {error}"),
                Err(_) => return "the watch fell silent".to_owned(),
            },
            Err(error) => return error.to_string(),
        }
    }
}

/// Takes one line; an empty one says that nothing changed.
fn take_line(line: &Bytes, config: &Config, handle: &Handle, revision: &Cell<u64>) -> Result<(), String> {
    if line.trim_ascii().is_empty() {
        return Ok(());
    }
    let value: Value = serde_json::from_slice(line).map_err(|error| error.to_string())?;
    let list = config::list(&value, &config.names).map_err(|error| error.to_string())?;
    revision.set(list.revision);
    handle.tell(Input::List(list.scope, list.members));
    Ok(())
}
