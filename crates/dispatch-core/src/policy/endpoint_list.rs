//! **Endpoint list.** Applies changes of the list of workers, and requests the list again after a failure.
//! Discovery may be late, unresponsive or unreachable.

use super::Dispatcher;
use crate::api::{Action, Endpoint, ListScope};
use crate::timers::TimerEvent;

/// Minimum delay before the next call, as a fraction of the delay without jitter. The jitter adds up to one
/// whole delay.
const MIN_DELAY_FACTOR: f64 = 0.5;

impl Dispatcher {
    /// Requests a watch on the endpoint list.
    pub(super) fn watch_endpoint_list(&mut self, actions: &mut Vec<Action>) {
        self.endpoint_list.record_watch_request();
        actions.push(Action::Watch(true));
    }

    /// Applies the endpoint list, a change of it, or the failure of a call or watch.
    pub(super) fn on_endpoint_list(&mut self, scope: ListScope, endpoints: &[Endpoint]) {
        match scope {
            ListScope::Failed => return self.retry_endpoint_list(),
            ListScope::Cached => {}
            ListScope::Full | ListScope::Incremental => self.endpoint_list.record_update(),
        }
        if scope != ListScope::Incremental {
            self.fleet.remove_absent(endpoints);
        }
        for endpoint in endpoints {
            self.fleet.upsert(endpoint, self.now);
        }
        let received_at = (scope != ListScope::Cached).then_some(self.now);
        self.fleet.rebuild_indexes(self.settings.zone, received_at);
        self.reserved_workers.assign(&self.fleet.workers);
    }

    /// Schedules the next call after a failure.
    fn retry_endpoint_list(&mut self) {
        let delay = self.endpoint_list.record_failure(self.settings.max_poll_interval);
        let jitter = MIN_DELAY_FACTOR + self.rng.f64();
        self.schedule(delay * jitter, TimerEvent::EndpointListRetry);
    }
}
