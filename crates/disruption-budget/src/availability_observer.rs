//! Availability of dispatchers, derived from readiness reports and their absence.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{Availability, DisruptionState, Micros, StatusChanges, Target, TargetKind, TargetStatus};

/// Name of the availability observer's lease in settings and records.
pub const OBSERVER_LEASE: &str = "account";

/// Number of report lifetimes from the start of a term until a dispatcher without a report counts as unavailable.
const TERM_GRACE_REPORT_LIFETIMES: Micros = 2;

/// Response of a dispatcher to an observer's poll. The order of fields is the wire format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadinessReport {
    /// Name of the dispatcher.
    pub name: String,
    /// Zone of the dispatcher.
    pub zone: String,
    /// Incarnation, raised with each start and each return from standby.
    pub incarnation: u64,
    /// Whether the dispatcher is ready and accepts work.
    pub ready: bool,
}

impl ReadinessReport {
    /// Encodes the report as the body of a response to a poll.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes the body of a response to a poll; `None` if the bytes are not a report.
    pub fn decode(bytes: &[u8]) -> Option<ReadinessReport> {
        postcard::from_bytes(bytes).ok()
    }

    /// Returns the status of the dispatcher that sent the report.
    fn status(&self) -> TargetStatus {
        TargetStatus {
            target: Target::dispatcher(&self.name),
            zone: self.zone.clone(),
            pool: String::new(),
            availability: if self.ready { Availability::Available } else { Availability::Unavailable },
            incarnation: self.incarnation,
        }
    }
}

/// A dispatcher in the list of cluster members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DispatcherMember<'a> {
    /// Name of the dispatcher.
    pub name: &'a str,
    /// Zone of the dispatcher.
    pub zone: &'a str,
}

#[derive(Debug, Clone)]
struct ReceivedReport {
    received_at: Micros,
    report: ReadinessReport,
}

/// Readiness reports that the holder of the observer's lease received in one term.
#[derive(Debug, Clone)]
pub struct AvailabilityObserver {
    report_lifetime: Micros,
    term_started: Micros,
    reports: BTreeMap<String, ReceivedReport>,
    /// Dispatchers that were registered in the state at the last call of [`Self::status_changes`].
    registered: BTreeSet<String>,
    /// Listed dispatchers that were deregistered in this term and have not reported since.
    deregistered: BTreeSet<String>,
}

impl AvailabilityObserver {
    /// Starts a term in which a report is valid for `report_lifetime`.
    pub fn new(report_lifetime: Micros, now: Micros) -> AvailabilityObserver {
        AvailabilityObserver {
            report_lifetime,
            term_started: now,
            reports: BTreeMap::new(),
            registered: BTreeSet::new(),
            deregistered: BTreeSet::new(),
        }
    }

    /// Records a dispatcher's report.
    pub fn record_report(&mut self, report: ReadinessReport, now: Micros) {
        self.deregistered.remove(&report.name);
        self.reports.insert(report.name.clone(), ReceivedReport { received_at: now, report });
    }

    /// Returns the listed and the registered dispatchers whose status differs from the state, or `None` until every
    /// dispatcher had time to report in this term. No dispatcher is ever removed.
    ///
    /// A deregistered dispatcher is ignored until it reports again, or leaves the list of members and is listed again.
    /// The list of members arrives with a session's renewal, so it may be older than the state, and it contains a lost
    /// dispatcher until that dispatcher's session ends. Without this rule, the next observation would undo the
    /// deregistration.
    pub fn status_changes(
        &mut self,
        now: Micros,
        members: &[DispatcherMember<'_>],
        state: &DisruptionState,
    ) -> Option<StatusChanges> {
        let registered = state.targets_by_name(TargetKind::Dispatcher);
        self.track_deregistered(members, &registered);
        if now.saturating_sub(self.term_started) < TERM_GRACE_REPORT_LIFETIMES * self.report_lifetime {
            return None;
        }
        let member_names = members.iter().map(|member| member.name);
        let active_names = member_names.filter(|name| !self.deregistered.contains(*name));
        let names: BTreeSet<&str> = active_names.chain(registered.keys().map(String::as_str)).collect();
        let statuses = names.into_iter().map(|name| {
            let member = members.iter().find(|member| member.name == name);
            self.status(now, name, member, registered.get(name))
        });
        let changed = statuses.filter(|status| registered.get(&status.target.name) != Some(status)).collect();
        Some(StatusChanges { changed, removed: Vec::new() })
    }

    /// Records dispatchers that were removed from the state since the last call, and discards their reports.
    fn track_deregistered(
        &mut self,
        members: &[DispatcherMember<'_>],
        registered: &BTreeMap<String, TargetStatus>,
    ) {
        for name in std::mem::take(&mut self.registered) {
            if !registered.contains_key(&name) {
                self.reports.remove(&name);
                self.deregistered.insert(name);
            }
        }
        let is_member = |name: &String| members.iter().any(|member| member.name == name);
        self.deregistered.retain(|name| is_member(name) && !registered.contains_key(name));
        self.registered = registered.keys().cloned().collect();
    }

    /// Returns a dispatcher's status by its report, or as unavailable if it has no valid report.
    fn status(
        &self,
        now: Micros,
        name: &str,
        member: Option<&DispatcherMember<'_>>,
        registered: Option<&TargetStatus>,
    ) -> TargetStatus {
        if let Some(report) = self.valid_report(now, name) {
            return report.status();
        }
        let member_zone = member.map(|member| member.zone);
        let registered_zone = registered.map(|status| status.zone.as_str());
        TargetStatus {
            target: Target::dispatcher(name),
            zone: member_zone.or(registered_zone).unwrap_or_default().to_owned(),
            pool: String::new(),
            availability: Availability::Unavailable,
            incarnation: registered.map_or(0, |status| status.incarnation),
        }
    }

    fn valid_report(&self, now: Micros, name: &str) -> Option<&ReadinessReport> {
        let received = self.reports.get(name)?;
        let age = now.saturating_sub(received.received_at);
        (age < self.report_lifetime).then_some(&received.report)
    }
}
