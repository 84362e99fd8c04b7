//! All that touches sockets. Each part turns what it reads into an [`Input`](crate::engine::Input) on the
//! engine's queue and carries out a [`Command`](crate::engine::Command) or an
//! [`Answer`](crate::engine::Answer); none of them decides anything.

pub mod client;
pub mod discovery;
pub mod http;
pub mod signal;
pub mod worker;

use std::rc::Rc;

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

use crate::config::Config;
use crate::engine::{Clock, Engine, Handle};

/// What one read asks for; a buffer grows by this.
const READ: usize = 8 * 1024;

/// Reads some more into the buffer; false where the other side has ended its sending.
pub(crate) async fn read_more(stream: &mut TcpStream, buf: &mut BytesMut) -> std::io::Result<bool> {
    buf.reserve(READ);
    Ok(stream.read_buf(buf).await? > 0)
}

/// Writes a message whole; its parts leave together, in one call where the socket takes it.
pub(crate) async fn write_whole(stream: &mut TcpStream, message: &mut impl Buf) -> std::io::Result<()> {
    stream.write_all_buf(message).await
}

/// Runs a dispatcher until it is told to end and all is answered. Belongs on a [`tokio::task::LocalSet`].
///
/// # Errors
/// A task that it cannot do without has ended.
pub async fn serve(
    config: Config,
    listener: tokio::net::TcpListener,
    phase: watch::Receiver<signal::Phase>,
) -> std::io::Result<()> {
    let clock = Clock::start();
    let (handle, inputs) = Handle::queue();
    let (commands, orders) = mpsc::unbounded_channel();
    let config = Rc::new(config);
    let engine = Engine::new(config.settings.clone(), config.seed, config.known.1.clone(), clock, commands);
    let limits = worker::Limits {
        sockets: config.worker_sockets,
        dial_timeout: config.dial_timeout,
        idle: config.idle,
    };
    let mut pool = spawn_local(worker::run(limits, clock, handle.clone(), orders));
    let mut engine = spawn_local(engine.run(inputs));
    let (ready, is_ready) = watch::channel(false);
    let mut follow = spawn_local(discovery::follow(config.clone(), handle.clone(), ready));
    // None of the three ends while clients are served: without any of them the program must not go on as if.
    tokio::select! {
        () = client::accept(config, listener, handle, phase, is_ready) => Ok(()),
        _ = &mut pool => Err(std::io::Error::other("the task that reaches workers ended")),
        _ = &mut engine => Err(std::io::Error::other("the task that owns the module ended")),
        _ = &mut follow => Err(std::io::Error::other("the task that follows discovery ended")),
    }
}
