//! The availability of dispatchers, from their readiness reports and their silence.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{Availability, DisruptionState, Micros, StatusChanges, Target, TargetKind, TargetStatus};

/// The name of the observer's lease, as settings and records have it.
pub const OBSERVER_LEASE: &str = "account";

/// An observer waits for so many lifetimes of a report in its term before it calls a dispatcher unavailable.
const TERM_GRACE_REPORT_LIFETIMES: Micros = 2;

/// What a dispatcher says of itself when an observer polls it. The order of fields is the format on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadinessReport {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its incarnation: higher with each start and each return from standby.
    pub incarnation: u64,
    /// Whether it is ready and invites work.
    pub ready: bool,
}

impl ReadinessReport {
    /// The bytes of an answer to a poll.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads an answer to a poll; none where the bytes are no report.
    pub fn decode(bytes: &[u8]) -> Option<ReadinessReport> {
        postcard::from_bytes(bytes).ok()
    }
}

/// A dispatcher in the list of members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetMember<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its zone.
    pub zone: &'a str,
}

#[derive(Debug, Clone)]
struct ReceivedReport {
    received_at: Micros,
    report: ReadinessReport,
}

/// The reports that the holder of the observer's lease received in one term.
#[derive(Debug, Clone)]
pub struct AvailabilityObserver {
    report_lifetime: Micros,
    term_started: Micros,
    reports: BTreeMap<String, ReceivedReport>,
    /// The dispatchers that the state had at the last look.
    registered: BTreeSet<String>,
    /// Dispatchers that were deregistered in this term and have not reported since, for as long as they are listed.
    deregistered: BTreeSet<String>,
}

impl AvailabilityObserver {
    /// Starts a term. A report is valid for `report_lifetime`.
    pub fn new(report_lifetime: Micros, now: Micros) -> AvailabilityObserver {
        AvailabilityObserver {
            report_lifetime,
            term_started: now,
            reports: BTreeMap::new(),
            registered: BTreeSet::new(),
            deregistered: BTreeSet::new(),
        }
    }

    /// Takes a dispatcher's report.
    pub fn record_report(&mut self, report: ReadinessReport, now: Micros) {
        self.deregistered.remove(&report.name);
        self.reports.insert(report.name.clone(), ReceivedReport { received_at: now, report });
    }

    /// The dispatchers whose status differs from the state: of those in the list of members and those that the state
    /// knows, of which none is ever removed. None before each had time to report in this term.
    ///
    /// A dispatcher that was deregistered stays unknown until it reports again or is listed anew. The list of members is
    /// older than the state (it comes with a session's renewal) and has a lost dispatcher for as long as its session
    /// lasts: by the list alone a deregistration would be undone at the next look.
    pub fn status_changes(
        &mut self,
        now: Micros,
        members: &[FleetMember<'_>],
        state: &DisruptionState,
    ) -> Option<StatusChanges> {
        let known: BTreeMap<String, TargetStatus> = state
            .targets()
            .filter(|status| status.target.kind == TargetKind::Dispatcher)
            .map(|status| (status.target.name.clone(), status))
            .collect();
        self.track_deregistered(members, &known);
        if now.saturating_sub(self.term_started) < TERM_GRACE_REPORT_LIFETIMES * self.report_lifetime {
            return None;
        }
        let listed = members.iter().map(|member| member.name);
        let listed = listed.filter(|name| !self.deregistered.contains(*name));
        let names: BTreeSet<&str> = listed.chain(known.keys().map(String::as_str)).collect();
        let statuses = names.into_iter().map(|name| {
            let zone = members.iter().find(|member| member.name == name).map(|member| member.zone);
            self.status(now, name, zone, known.get(name))
        });
        let changed = statuses.filter(|status| known.get(&status.target.name) != Some(status)).collect();
        Some(StatusChanges { changed, removed: Vec::new() })
    }

    /// Remembers the dispatchers that the state had at the last look and has no more; what they reported before is void.
    fn track_deregistered(&mut self, members: &[FleetMember<'_>], known: &BTreeMap<String, TargetStatus>) {
        for name in std::mem::take(&mut self.registered) {
            if !known.contains_key(&name) {
                self.reports.remove(&name);
                self.deregistered.insert(name);
            }
        }
        let is_listed = |name: &String| members.iter().any(|member| member.name == name);
        self.deregistered.retain(|name| is_listed(name) && !known.contains_key(name));
        self.registered = known.keys().cloned().collect();
    }

    /// A dispatcher's status, by a valid report or its silence.
    fn status(
        &self,
        now: Micros,
        name: &str,
        listed_zone: Option<&str>,
        known: Option<&TargetStatus>,
    ) -> TargetStatus {
        let (availability, zone, incarnation) = match self.valid_report(now, name) {
            Some(report) => {
                let availability =
                    if report.ready { Availability::Available } else { Availability::Unavailable };
                (availability, report.zone.clone(), report.incarnation)
            }
            None => {
                let known_zone = known.map(|status| status.zone.clone());
                let zone = listed_zone.map(str::to_owned).or(known_zone).unwrap_or_default();
                (Availability::Unavailable, zone, known.map_or(0, |status| status.incarnation))
            }
        };
        let target = Target { kind: TargetKind::Dispatcher, name: name.to_owned() };
        TargetStatus { target, zone, pool: String::new(), availability, incarnation }
    }

    fn valid_report(&self, now: Micros, name: &str) -> Option<&ReadinessReport> {
        let received = self.reports.get(name)?;
        let age = now.saturating_sub(received.received_at);
        (age < self.report_lifetime).then_some(&received.report)
    }
}
