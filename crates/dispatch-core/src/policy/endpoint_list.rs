//! 6. **Endpoint list.** Follows the list of workers, which may be late, silent or out of reach.

use super::Dispatcher;
use crate::api::{Action, Endpoint, ListScope};
use crate::timers::TimerEvent;

impl Dispatcher {
    pub(super) fn watch_endpoint_list(&mut self, actions: &mut Vec<Action>) {
        self.endpoint_list.record_call();
        actions.push(Action::Watch(true));
    }

    pub(super) fn on_endpoint_list(&mut self, scope: ListScope, endpoints: &[Endpoint]) {
        match scope {
            ListScope::Failed => {
                let delay = self.endpoint_list.record_failure(self.settings.max_poll_interval);
                let jitter = 0.5 + self.rng.f64();
                return self.schedule(delay * jitter, TimerEvent::EndpointListRetry);
            }
            ListScope::Cached => {}
            ListScope::Full | ListScope::Incremental => self.endpoint_list.record_answer(),
        }
        if scope != ListScope::Incremental {
            self.fleet.remove_absent(endpoints);
        }
        for endpoint in endpoints {
            self.fleet.upsert(endpoint, self.now);
        }
        self.fleet.rebuild_indexes(self.settings.zone, (scope != ListScope::Cached).then_some(self.now));
        self.reserved_workers.assign(&self.fleet.workers);
    }
}
