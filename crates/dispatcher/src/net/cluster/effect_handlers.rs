//! Routes the effects of lease holders to the components that handle them.

use std::rc::Rc;

use cluster_member::endpoint_list::ENDPOINT_LIST_LEASE;
use cluster_member::slow_start::SLOW_START_LEASE;
use cluster_member::wire::Effect;
use disruption_budget::OBSERVER_LEASE;

use super::health_checks::ClusterHealthChecks;
use super::shared_list::SharedList;
use super::slow_start::SlowStartQuota;
use crate::net::planned_drain::PlannedDrain;

/// Components that handle effects; those that the settings disable are `None`.
pub(super) struct EffectHandlers {
    pub(super) shared_list: Rc<SharedList>,
    pub(super) planned_drain: Option<Rc<PlannedDrain>>,
    pub(super) slow_start: Option<Rc<SlowStartQuota>>,
    pub(super) health_checks: Option<Rc<ClusterHealthChecks>>,
}

impl EffectHandlers {
    /// Handles an effect whose token was accepted, and returns the body of the response.
    pub(super) fn handle(&self, effect: &Effect) -> Vec<u8> {
        match effect.lease.name.as_str() {
            ENDPOINT_LIST_LEASE => {
                self.shared_list.handle_event(effect);
                Vec::new()
            }
            OBSERVER_LEASE => {
                self.planned_drain.as_ref().map_or_else(Vec::new, |drain| drain.encoded_readiness())
            }
            SLOW_START_LEASE => {
                self.slow_start.as_ref().map_or_else(Vec::new, |quota| quota.handle_grants(effect))
            }
            _ => {
                if let Some(health_checks) = &self.health_checks {
                    health_checks.handle_report(effect);
                }
                Vec::new()
            }
        }
    }
}
