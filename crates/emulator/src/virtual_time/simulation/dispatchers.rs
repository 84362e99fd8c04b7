//! Dispatchers: start, delivery of events to their routers, and execution of the actions that the routers return.

use dispatch_core::api::{
    Action, Class, Endpoint, Event, ListScope, Outcome, RequestId, Seconds, Settings, Tenant, WorkerState,
};

use super::clients::Response;
use super::events::SimulationEvent;
use super::Simulation;
use crate::day::{micros, seconds};
use crate::worker::progress_interval;

/// Resolution of a dispatcher's clock and timers, in seconds, as its settings state it.
const CLOCK_RESOLUTION: Seconds = 0.005;

impl Simulation<'_> {
    /// Returns the settings of a dispatcher.
    pub(super) fn dispatcher_settings(&self, dispatcher: usize) -> Settings {
        let rules = &self.experiment.rules;
        let classes = self.experiment.traffic.classes.iter();
        let tenants = self.experiment.traffic.tenants.iter().zip(&self.day.quotas);
        Settings {
            instance: dispatcher as u32,
            instances: self.day.dispatchers.len() as u32,
            zone: self.day.dispatchers[dispatcher].zone,
            classes: classes
                .map(|class| Class {
                    idempotency: class.idempotency,
                    key_window: class.retry_window,
                    latency_objective: class.latency_objective,
                    run_time_allowance: class.stretch,
                    late_weight: class.late_weight,
                    required_kind: None,
                })
                .collect(),
            tenants: tenants
                .map(|(tenant, quota)| Tenant { share: tenant.share, quota: quota * self.arm.quota })
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
            clock_resolution: CLOCK_RESOLUTION,
            capacity_reservation: self.arm.capacity_reservation,
            ..Settings::default()
        }
    }

    /// Starts a dispatcher with its saved list, followed immediately by the complete list from its agent.
    pub(super) fn start_dispatcher(&mut self, dispatcher: u32) {
        let settings = self.dispatcher_settings(dispatcher as usize);
        let host = &mut self.dispatchers[dispatcher as usize];
        let seed = self.day.seed ^ (u64::from(dispatcher) << 32) ^ (u64::from(host.incarnation) << 48);
        host.router = Some((self.make_router)(settings.clone(), seed));
        host.settings = settings;
        let endpoints: Vec<Endpoint> = host.agent_list.values().copied().collect();
        let mut actions = std::mem::take(&mut self.actions);
        if let Some(router) = &mut host.router {
            router.start(seconds(self.now), &mut actions);
        }
        self.execute(dispatcher, actions);
        self.deliver(dispatcher, Event::EndpointList { scope: ListScope::Cached, endpoints: &endpoints });
        self.record_drain_notices(dispatcher, &endpoints);
        self.deliver(dispatcher, Event::EndpointList { scope: ListScope::Full, endpoints: &endpoints });
    }

    /// Records for the rule checker that a dispatcher is notified of the drains among these endpoints.
    pub(super) fn record_drain_notices(&mut self, dispatcher: u32, endpoints: &[Endpoint]) {
        let incarnation = self.incarnation_id(dispatcher);
        for endpoint in endpoints.iter().filter(|endpoint| endpoint.state != WorkerState::Serving) {
            self.checker.record_drain_notice(incarnation, endpoint.worker.0, self.now);
        }
    }

    /// Returns a number of the dispatcher's incarnation that is unique among all dispatchers.
    pub(super) fn incarnation_id(&self, dispatcher: u32) -> u32 {
        self.dispatchers[dispatcher as usize].incarnation * self.dispatchers.len() as u32 + dispatcher
    }

    /// Applies a publication to the list of a dispatcher's agent, and delivers it to the router if the dispatcher runs.
    pub(super) fn on_list_arrives(&mut self, dispatcher: u32, publication: u32) {
        let endpoints = std::mem::take(&mut self.publications[publication as usize]);
        let host = &mut self.dispatchers[dispatcher as usize];
        host.agent_list.extend(endpoints.iter().map(|endpoint| (endpoint.worker.0, *endpoint)));
        if host.router.is_some() {
            self.record_drain_notices(dispatcher, &endpoints);
            let event = Event::EndpointList { scope: ListScope::Incremental, endpoints: &endpoints };
            self.deliver(dispatcher, event);
        }
        self.publications[publication as usize] = endpoints;
    }

    /// Delivers an event to the router of a dispatcher, and executes the resulting actions.
    pub(super) fn deliver(&mut self, dispatcher: u32, event: Event<'_>) {
        let Some(mut router) = self.dispatchers[dispatcher as usize].router.take() else { return };
        let mut actions = std::mem::take(&mut self.actions);
        router.on_event(seconds(self.now), event, &mut actions, self);
        self.dispatchers[dispatcher as usize].router = Some(router);
        self.execute(dispatcher, actions);
    }

    /// Executes the actions of a dispatcher's router.
    pub(super) fn execute(&mut self, dispatcher: u32, mut actions: Vec<Action>) {
        let incarnation = self.dispatchers[dispatcher as usize].incarnation;
        for action in actions.drain(..) {
            match action {
                Action::Send { request, worker, timeout } => self.send(dispatcher, request, worker, timeout),
                Action::Reject { request, retry_after } => {
                    self.respond((request.0 - 1) as u32, Response::Rejected { retry_after });
                    self.close_if_complete(dispatcher, request);
                }
                Action::Fail { request } => {
                    self.respond((request.0 - 1) as u32, Response::Failed);
                    self.close_if_complete(dispatcher, request);
                }
                Action::Cancel { request, attempt } => {
                    let open = self.dispatchers[dispatcher as usize].open_requests.get(&request);
                    let cancelled = open.and_then(|open| open.attempts.get(attempt as usize)).copied();
                    if let Some(cancelled) = cancelled {
                        self.abandon_attempt(cancelled, Outcome::Cancelled);
                    }
                }
                Action::SetTimer { after, token } => {
                    self.schedule(
                        self.now + micros(after).max(1),
                        SimulationEvent::Timer { dispatcher, incarnation, token },
                    );
                }
                Action::CloseIdle(worker) => {
                    if let Some(worker_index) = self.worker_indices.get(&worker) {
                        self.dispatchers[dispatcher as usize].idle_connections.remove(worker_index);
                    }
                }
                Action::Watch(_)
                | Action::FetchEndpointList
                | Action::Probe(_)
                | Action::SendToPeer { .. }
                | Action::Log(_) => {}
            }
        }
        // Executing an action may deliver further events, whose actions used another buffer. Keep the larger one.
        if actions.capacity() > self.actions.capacity() {
            self.actions = actions;
        }
    }

    /// Closes a request that needs no further response and has no attempt in flight.
    pub(super) fn close_if_complete(&mut self, dispatcher: u32, id: RequestId) {
        let is_complete = self.dispatchers[dispatcher as usize].open_requests.get(&id).is_some_and(|open| {
            let in_flight = |attempt: &u32| self.attempts[*attempt as usize].in_flight;
            open.answered && !open.attempts.iter().any(in_flight)
        });
        if is_complete {
            self.dispatchers[dispatcher as usize].open_requests.remove(&id);
            self.checker.close_request(id.0);
        }
    }
}
