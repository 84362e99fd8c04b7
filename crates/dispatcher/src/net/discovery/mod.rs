//! Discovery of workers: follows the endpoint list by a watch, which is opened again from the last revision when it
//! ends or times out, and at the new address when the configuration changes the address.

mod connection;
mod error;
mod notified;
mod shared_list;
mod watch_session;

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::cluster::SharedListSubscription;
use super::ConfigReceiver;
use crate::config::Config;
use crate::engine::{Handle, Micros};
use dispatch_core::poll_schedule::PollSchedule;
use notified::NotifiedState;
use shared_list::follow_shared_list;
use watch_session::{source_changed, Watch, WatchContext, WatchEnded};

/// Follows the endpoint list and passes it to the engine. Never returns. Sets `ready` to true at the first list. In a
/// cluster, the watch pauses while the member relies on the shared list.
pub(super) async fn follow_endpoint_list(
    configs: ConfigReceiver,
    handle: Handle,
    ready: watch::Sender<bool>,
    shared_list: Option<SharedListSubscription>,
) {
    let mut saved = configs.borrow().saved_list.clone();
    let polls_discovery = match &shared_list {
        Some(subscription) => subscription.list.polls_discovery(),
        // Without a cluster the sender is dropped, and the value stays true.
        None => watch::channel(true).1,
    };
    let context = Rc::new(WatchContext {
        configs,
        handle,
        notified: NotifiedState::from_saved(saved.revision, &mut saved.endpoints),
        shared_list: shared_list.as_ref().map(|subscription| subscription.list.clone()),
        ready,
        polls_discovery,
    });
    if let Some(subscription) = shared_list {
        spawn_local(follow_shared_list(context.clone(), subscription));
    }
    WatchLoop::new(context).run().await;
}

/// Runs one watch after another.
struct WatchLoop {
    context: Rc<WatchContext>,
    configs: ConfigReceiver,
    polls_discovery: watch::Receiver<bool>,
    schedule: PollSchedule,
    /// The last watch brought no new revision. Only the first failure of a series is logged.
    failing: bool,
}

impl WatchLoop {
    fn new(context: Rc<WatchContext>) -> WatchLoop {
        let configs = context.configs.clone();
        let schedule = poll_schedule(&configs.borrow());
        let polls_discovery = context.polls_discovery.clone();
        WatchLoop { context, configs, polls_discovery, schedule, failing: false }
    }

    async fn run(mut self) {
        loop {
            if *self.polls_discovery.borrow() {
                self.run_watch().await;
            } else {
                self.wait_while_list_is_shared().await;
            }
        }
    }

    /// Waits until discovery is polled again, or the configuration changes the source.
    async fn wait_while_list_is_shared(&mut self) {
        let before = self.configs.borrow().clone();
        tokio::select! {
            _ = self.polls_discovery.wait_for(|polls| *polls) => {}
            _ = self.configs.wait_for(|config| source_changed(&before, config)) => {}
        }
        if source_changed(&before, &self.configs.borrow()) {
            self.forget_source();
        }
    }

    /// Runs one watch, and waits until the next one is due.
    async fn run_watch(&mut self) {
        let config = self.configs.borrow_and_update().clone();
        let revision_before = self.context.notified.revision.get();
        // A task of its own, so that a panic ends this watch only.
        let watch = spawn_local(Watch::new(config.clone(), self.context.clone()).run());
        let ended = watch.await.unwrap_or_else(|panic| WatchEnded::now(panic.into()));
        if source_changed(&config, &self.configs.borrow()) {
            self.failing = false;
            self.schedule = poll_schedule(&self.configs.borrow());
            self.forget_source();
            return;
        }
        if !*self.polls_discovery.borrow() {
            self.failing = false;
            return;
        }
        let made_progress = self.context.notified.revision.get() != revision_before;
        if !made_progress && !self.failing {
            tracing::warn!("discovery: {}", ended.error);
        }
        self.failing = !made_progress;
        if ended.answered {
            self.schedule.record_success();
        }
        let delay = self.delay_after(&ended);
        let _ = timeout(delay, self.configs.wait_for(|now| source_changed(&config, now))).await;
    }

    fn delay_after(&mut self, ended: &WatchEnded) -> Duration {
        let without_watch = ended.without_watch_since.elapsed().as_micros() as Micros;
        Duration::from_micros(self.schedule.next_delay(without_watch, ended.retry_after))
    }

    /// Discards the revision, which is valid for one source only, and passes the new source to the shared list.
    fn forget_source(&self) {
        self.context.notified.revision.set(None);
        if let Some(shared_list) = &self.context.shared_list {
            shared_list.source_changed(self.configs.borrow().discovery);
        }
    }
}

fn poll_schedule(config: &Config) -> PollSchedule {
    PollSchedule::new(&config.settings, config.drain_grace, config.seed)
}
