//! Follows the shared list and passes its events to the engine, unless their revision is already known.

use std::rc::Rc;

use cluster_member::endpoint_list::WatchEvent;

use super::watch_session::WatchContext;
use crate::config::{self, ConfigError};
use crate::engine::Input;
use crate::net::cluster::{SharedList, SharedListSubscription};

/// Follows the events of the lease holder.
pub(super) async fn follow_shared_list(context: Rc<WatchContext>, subscription: SharedListSubscription) {
    let SharedListSubscription { list, mut events } = subscription;
    while let Some(event) = events.recv().await {
        if !list.is_same_source(&event) {
            tracing::debug!(source = event.source, "shared list of another source ignored");
            continue;
        }
        match apply_event(&context, &event) {
            Ok(()) => rely_on_event(&context, &list, &event),
            Err(error) => tracing::warn!(%error, "shared list cannot be decoded"),
        }
    }
}

/// Passes a complete list to the engine, unless its revision is already known.
fn apply_event(context: &WatchContext, event: &WatchEvent) -> Result<(), ConfigError> {
    if !event.is_complete() || event.revision() <= context.notified.newest_revision.get() {
        return Ok(());
    }
    let mut list = config::parse_endpoint_list(&event.list, &context.configs.borrow().names)?;
    context.notified.record(list.revision, &mut list.endpoints);
    context.handle.send(Input::EndpointList { scope: list.scope, endpoints: list.endpoints });
    context.ready.send_replace(true);
    Ok(())
}

/// Relies on the lease holder, unless the event names a revision that this member has not received: then the member
/// keeps polling until it receives a complete list.
fn rely_on_event(context: &WatchContext, list: &SharedList, event: &WatchEvent) {
    let is_current = context.notified.newest_revision.get() >= event.revision();
    if is_current && *context.ready.borrow() {
        list.accept_event(event);
    }
}
