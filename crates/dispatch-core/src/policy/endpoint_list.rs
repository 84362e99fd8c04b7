//! 6. **Endpoint list.** Follows the list of workers, which may be late, silent or out of reach.

use super::Dispatcher;
use crate::api::{Action, Endpoint, ListScope};
use crate::timers::TimerEvent;

/// Shortest delay before the next call with jitter, as a part of its length; the jitter spans the whole
/// length.
const MIN_DELAY_PART: f64 = 0.5;

impl Dispatcher {
    /// Begins to watch the endpoint list.
    pub(super) fn watch_endpoint_list(&mut self, actions: &mut Vec<Action>) {
        self.endpoint_list.record_call();
        actions.push(Action::Watch(true));
    }

    /// Takes the endpoint list, a change of it, or the failure of a call or watch.
    pub(super) fn on_endpoint_list(&mut self, scope: ListScope, endpoints: &[Endpoint]) {
        match scope {
            ListScope::Failed => return self.retry_endpoint_list(),
            ListScope::Cached => {}
            ListScope::Full | ListScope::Incremental => self.endpoint_list.record_answer(),
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
        let jitter = MIN_DELAY_PART + self.rng.f64();
        self.schedule(delay * jitter, TimerEvent::EndpointListRetry);
    }
}
