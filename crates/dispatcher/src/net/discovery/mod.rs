//! Follows discovery: a watch that is opened again from the last revision whenever it ends or falls silent,
//! and elsewhere once the configuration names another address.

mod connection;
mod notified;
mod watch_session;

use std::rc::Rc;
use std::time::Duration;

use cluster_member::endpoint_list::WatchEvent;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::cluster::{SharedList, SharedListSubscription};
use super::ConfigReceiver;
use crate::config::{self, Config};
use crate::engine::{Handle, Input, Micros};
use dispatch_core::poll_schedule::PollSchedule;
use notified::NotifiedState;
use watch_session::{source_changed, Watch, WatchEnded};

/// Watches for ever. `ready` turns true with the first list. In a fleet it pauses while another member's word is
/// relied on.
pub(super) async fn run_watch(
    mut configs: ConfigReceiver,
    handle: Handle,
    ready: watch::Sender<bool>,
    shared_list: Option<SharedListSubscription>,
) {
    let mut saved = configs.borrow().saved_list.clone();
    let notified = Rc::new(NotifiedState::from_saved(saved.revision, &mut saved.endpoints));
    let lists = shared_list.map(|SharedListSubscription { list: lists, events: news }| {
        let (notified, configs) = (notified.clone(), configs.clone());
        spawn_local(follow_cluster_list(
            lists.clone(),
            news,
            notified,
            configs,
            handle.clone(),
            ready.clone(),
        ));
        lists
    });
    // Without a fleet the sender is gone, and it stays at asking.
    let mut asks = lists.as_ref().map_or_else(|| watch::channel(true).1, |lists| lists.polls_discovery());
    let mut failing = false;
    let mut schedule = poll_schedule(&configs.borrow());
    loop {
        if !*asks.borrow() {
            let before = configs.borrow().clone();
            tokio::select! {
                _ = asks.wait_for(|asks| *asks) => {}
                _ = configs.wait_for(|now| source_changed(&before, now)) => {}
            }
            if source_changed(&before, &configs.borrow()) {
                notified.revision.set(None);
                lists.iter().for_each(|lists| lists.source_changed(configs.borrow().discovery));
            }
            continue;
        }
        let config = configs.borrow_and_update().clone();
        let before = notified.revision.get();
        let watch = Watch::new(&config, &handle, &notified, &lists);
        // A task of its own: a panic ends this watch, not the following.
        let watch = spawn_local(watch.run(configs.clone(), ready.clone(), asks.clone()));
        let WatchEnded { reason: why, answered, retry_after, without_watch_since } =
            watch.await.unwrap_or_else(|panic| WatchEnded::now(panic.to_string()));
        if source_changed(&config, &configs.borrow()) {
            // Revisions are those of the place that told them: elsewhere the same number may stand for more.
            notified.revision.set(None);
            failing = false;
            schedule = poll_schedule(&configs.borrow());
            lists.iter().for_each(|lists| lists.source_changed(configs.borrow().discovery));
            continue;
        }
        if !*asks.borrow() {
            failing = false;
            continue;
        }
        if notified.revision.get() == before && !failing {
            tracing::warn!("discovery: {why}");
        }
        failing = notified.revision.get() == before;
        if answered {
            schedule.record_success();
        }
        let without_watch = without_watch_since.elapsed().as_micros() as Micros;
        let pause = Duration::from_micros(schedule.next_delay(without_watch, retry_after));
        let _ = timeout(pause, configs.wait_for(|now| source_changed(&config, now))).await;
    }
}

fn poll_schedule(config: &Config) -> PollSchedule {
    PollSchedule::new(&config.settings, config.drain_grace, config.seed)
}

/// Takes what an owner in the fleet says of the list. What is not newer than what is known here changes nothing, so
/// that neither a late word nor one that lags behind brings anything back.
async fn follow_cluster_list(
    lists: Rc<SharedList>,
    mut news: mpsc::Receiver<WatchEvent>,
    notified: Rc<NotifiedState>,
    configs: ConfigReceiver,
    handle: Handle,
    ready: watch::Sender<bool>,
) {
    while let Some(news) = news.recv().await {
        if !lists.is_same_source(&news) {
            tracing::debug!(source = news.source, "shared list of another source ignored");
            continue;
        }
        if news.is_complete() && news.revision() > notified.newest_revision.get() {
            let list = config::parse_endpoint_list(&news.list, &configs.borrow().names);
            match list {
                Ok(mut list) => {
                    notified.record(list.revision, &mut list.endpoints);
                    handle.send(Input::EndpointList { scope: list.scope, endpoints: list.endpoints });
                    ready.send_replace(true);
                }
                Err(error) => {
                    tracing::warn!(%error, "shared list cannot be decoded");
                    continue;
                }
            }
        }
        // One that knows less than the owner goes on by itself until it is told the whole.
        if notified.newest_revision.get() >= news.revision() && *ready.borrow() {
            lists.accept_event(&news);
        }
    }
}
