//! 6. **List.** Follows the worker list, which may be late, silent or out of reach.

use super::*;

/// The list is asked for again after this at the least, and at the most where nothing is stated.
const RETRY: (Seconds, Seconds) = (0.2, 2.0);

impl Dispatcher {
    pub(super) fn ask(&mut self, actions: &mut Vec<Action>) {
        self.list.waiting = true;
        actions.push(Action::Watch(true));
    }

    pub(super) fn on_list(&mut self, scope: ListScope, members: &[Endpoint]) {
        match scope {
            ListScope::Failed => {
                (self.list.waiting, self.list.watching) = (false, false);
                let longest =
                    if self.cfg.max_poll_interval > 0.0 { self.cfg.max_poll_interval / 4.0 } else { RETRY.1 };
                self.list.retry = (self.list.retry * 2.0).clamp(RETRY.0.min(longest), longest);
                let jitter = 0.5 + self.rng.f64();
                self.wake(self.list.retry * jitter, Wake::List);
                return;
            }
            ListScope::Cached => {}
            ListScope::Full | ListScope::Incremental => {
                (self.list.waiting, self.list.watching, self.list.retry) = (false, true, 0.0)
            }
        }
        if scope != ListScope::Incremental {
            self.fleet.remove_absent(members);
        }
        for m in members {
            let kind = (m.kind as usize).min(MAX_KIND);
            self.fleet.kinds.resize(self.fleet.kinds.len().max(kind + 1), Kind::default());
            self.fleet.enlist(m, kind, self.now);
        }
        self.fleet.rebuild(self.cfg.zone, (scope != ListScope::Cached).then_some(self.now));
        self.room.divide(&self.fleet.workers);
    }
}
