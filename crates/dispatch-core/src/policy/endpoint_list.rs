//! 6. **List.** Follows the worker list, which may be late, silent or out of reach.

use super::*;

/// The list is asked for again after this at the least, and at the most where nothing is stated.
const RETRY_DELAY: (Seconds, Seconds) = (0.2, 2.0);

impl Dispatcher {
    pub(super) fn watch_endpoint_list(&mut self, actions: &mut Vec<Action>) {
        self.endpoint_list.awaiting_answer = true;
        actions.push(Action::Watch(true));
    }

    pub(super) fn on_endpoint_list(&mut self, scope: ListScope, members: &[Endpoint]) {
        match scope {
            ListScope::Failed => {
                (self.endpoint_list.awaiting_answer, self.endpoint_list.watching) = (false, false);
                let longest = if self.cfg.max_poll_interval > 0.0 {
                    self.cfg.max_poll_interval / 4.0
                } else {
                    RETRY_DELAY.1
                };
                self.endpoint_list.retry_delay =
                    (self.endpoint_list.retry_delay * 2.0).clamp(RETRY_DELAY.0.min(longest), longest);
                let jitter = 0.5 + self.rng.f64();
                self.schedule(self.endpoint_list.retry_delay * jitter, TimerEvent::EndpointListRetry);
                return;
            }
            ListScope::Cached => {}
            ListScope::Full | ListScope::Incremental => {
                (
                    self.endpoint_list.awaiting_answer,
                    self.endpoint_list.watching,
                    self.endpoint_list.retry_delay,
                ) = (false, true, 0.0)
            }
        }
        if scope != ListScope::Incremental {
            self.fleet.remove_absent(members);
        }
        for m in members {
            let kind = (m.kind as usize).min(MAX_KIND);
            self.fleet.kinds.resize(self.fleet.kinds.len().max(kind + 1), MachineKind::default());
            self.fleet.upsert(m, kind, self.now);
        }
        self.fleet.rebuild_indexes(self.cfg.zone, (scope != ListScope::Cached).then_some(self.now));
        self.reserved_workers.assign(&self.fleet.workers);
    }
}
