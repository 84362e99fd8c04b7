//! Dispatchers: their routers, the lists that reach them and what their actions do.

use dispatch_core::api::{
    Action, Class, Endpoint, Event, ListScope, Outcome, RequestId, Seconds, Settings, Tenant, WorkerState,
};

use super::events::SimulationEvent;
use super::Simulation;
use crate::day::{micros, seconds};
use crate::worker::progress_interval;

/// A dispatcher handles what came in this often at the finest, in seconds; it is told so.
const RESOLUTION: Seconds = 0.005;

impl Simulation<'_> {
    pub(super) fn dispatcher_settings(&self, host: usize) -> Settings {
        let rules = &self.experiment.rules;
        let classes = self.experiment.traffic.classes.iter();
        let tenants = self.experiment.traffic.tenants.iter().zip(&self.day.quotas);
        Settings {
            instance: host as u32,
            instances: self.day.dispatchers.len() as u32,
            zone: self.day.dispatchers[host].zone,
            classes: classes
                .map(|c| Class {
                    idempotency: c.idempotency,
                    key_window: c.retry_window,
                    latency_objective: c.latency_objective,
                    run_time_allowance: c.stretch,
                    late_weight: c.late_weight,
                    required_kind: None,
                })
                .collect(),
            tenants: tenants
                .map(|(t, quota)| Tenant { share: t.share, quota: quota * self.arm.quota })
                .collect(),
            cancellation_allowed: true,
            max_attempts: self.arm.attempts.unwrap_or(rules.max_attempts),
            max_retry_after: self.experiment.clients.max_retry_after,
            reports_job_start: true,
            progress_interval: seconds(progress_interval()),
            hedging_allowed: self.arm.hedging,
            slow_start_min_capacity: rules.cold_share,
            slow_start_duration: rules.warm_up,
            overload_multiple: rules.overload_multiple,
            overload_window: rules.overload_window,
            cross_zone_price: rules.cross_zone_price,
            clock_resolution: RESOLUTION,
            capacity_reservation: self.arm.capacity_reservation,
            ..Settings::default()
        }
    }

    /// A dispatcher starts with its last list, and asks for the whole one at once.
    pub(super) fn start_dispatcher(&mut self, host: u32) {
        let settings = self.dispatcher_settings(host as usize);
        let h = &mut self.dispatchers[host as usize];
        let seed = self.day.seed ^ (u64::from(host) << 32) ^ (u64::from(h.incarnation) << 48);
        h.router = Some((self.make_router)(settings, seed));
        let known: Vec<Endpoint> = h.agent_list.values().copied().collect();
        let mut actions = std::mem::take(&mut self.actions);
        if let Some(router) = &mut h.router {
            router.start(seconds(self.now), &mut actions);
        }
        self.execute(host, actions);
        self.deliver(host, Event::EndpointList { scope: ListScope::Cached, endpoints: &known });
        self.record_drain_notices(host, &known);
        self.deliver(host, Event::EndpointList { scope: ListScope::Full, endpoints: &known });
    }

    pub(super) fn record_drain_notices(&mut self, host: u32, members: &[Endpoint]) {
        let incarnation = self.incarnation_id(host);
        for member in members.iter().filter(|m| m.state != WorkerState::Serving) {
            self.checker.record_drain_notice(incarnation, member.worker.0, self.now);
        }
    }

    /// A number of this incarnation of the dispatcher, for the checker.
    pub(super) fn incarnation_id(&self, host: u32) -> u32 {
        self.dispatchers[host as usize].incarnation * self.dispatchers.len() as u32 + host
    }

    pub(super) fn on_list_arrives(&mut self, host: u32, list: u32) {
        let members = std::mem::take(&mut self.list_changes[list as usize]);
        let h = &mut self.dispatchers[host as usize];
        h.agent_list.extend(members.iter().map(|m| (m.worker.0, *m)));
        if h.router.is_some() {
            self.record_drain_notices(host, &members);
            self.deliver(host, Event::EndpointList { scope: ListScope::Incremental, endpoints: &members });
        }
        self.list_changes[list as usize] = members;
    }

    pub(super) fn deliver(&mut self, host: u32, event: Event<'_>) {
        let Some(mut router) = self.dispatchers[host as usize].router.take() else { return };
        let mut actions = std::mem::take(&mut self.actions);
        router.on_event(seconds(self.now), event, &mut actions, self);
        self.dispatchers[host as usize].router = Some(router);
        self.execute(host, actions);
    }

    pub(super) fn execute(&mut self, host: u32, mut actions: Vec<Action>) {
        let incarnation = self.dispatchers[host as usize].incarnation;
        for action in actions.drain(..) {
            match action {
                Action::Send { request, worker, timeout } => self.send(host, request, worker, timeout),
                Action::Reject { request, retry_after } => {
                    self.answer((request.0 - 1) as u32, Some(retry_after));
                    self.close_if_complete(host, request);
                }
                Action::Fail { request } => {
                    self.answer((request.0 - 1) as u32, None);
                    self.close_if_complete(host, request);
                }
                Action::Cancel { request, attempt } => {
                    let open = self.dispatchers[host as usize].open_requests.get(&request);
                    if let Some(n) = open.and_then(|o| o.attempts.get(attempt as usize)).copied() {
                        self.abandon_attempt(n, Outcome::Cancelled);
                    }
                }
                Action::SetTimer { after, token } => {
                    self.schedule(
                        self.now + micros(after).max(1),
                        SimulationEvent::Timer(host, incarnation, token),
                    );
                }
                Action::CloseIdle(worker) => {
                    if let Some(w) = self.worker_index.get(&worker) {
                        self.dispatchers[host as usize].idle_connections.remove(w);
                    }
                }
                Action::Watch(_)
                | Action::FetchEndpointList
                | Action::Probe(_)
                | Action::SendToPeer { .. }
                | Action::Log(_) => {}
            }
        }
        // Actions may cause more, which were carried out with a buffer of their own.
        if actions.capacity() > self.actions.capacity() {
            self.actions = actions;
        }
    }

    /// Forgets a try that is concluded and has no attempt out.
    pub(super) fn close_if_complete(&mut self, host: u32, id: RequestId) {
        let over = self.dispatchers[host as usize]
            .open_requests
            .get(&id)
            .is_some_and(|o| o.answered && !o.attempts.iter().any(|a| self.attempts[*a as usize].in_flight));
        if over {
            self.dispatchers[host as usize].open_requests.remove(&id);
            self.checker.close_request(id.0);
        }
    }
}
