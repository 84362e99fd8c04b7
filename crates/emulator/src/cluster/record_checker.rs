//! Checks the rules of leases on the records that the processes of a schedule left. No other source is used.
//!
//! All records of a machine are timed by the same clock. A coordinator records a grant after the log entry is
//! committed. A lease holder and a receiver record the time at which they checked the token. A check that passes later
//! than the record of a later grant is therefore a violation, and the order in which processes write their records
//! cannot make a correct run look like a violation.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use serde::Deserialize;
use serde_json::Value;
use stateright::semantics::register::{Register, RegisterOp, RegisterRet};
use stateright::semantics::{ConsistencyTester, LinearizabilityTester};

use super::error::ClusterError;
use super::schedule::FaultKind;
use super::violations::{Rule, Violations};

/// Line of a record.
#[derive(Debug, Clone, Deserialize)]
pub struct RecordLine {
    /// Time of the record, in microseconds.
    #[serde(rename = "t")]
    pub time: u64,
    /// Word of the [kind](cluster_member::record::RecordKind) in the file.
    pub kind: String,
    /// All other fields.
    #[serde(flatten)]
    pub fields: BTreeMap<String, Value>,
}

impl RecordLine {
    fn number(&self, key: &str) -> Option<u64> {
        self.fields.get(key)?.as_u64()
    }

    fn text(&self, key: &str) -> Option<&str> {
        self.fields.get(key)?.as_str()
    }
}

/// A fault that the harness injected, timed by the clock of the records.
#[derive(Debug, Clone)]
pub struct InjectedFault {
    /// Time of the fault, in microseconds.
    pub time: u64,
    /// Kind of fault.
    pub kind: FaultKind,
    /// Time of its end, in microseconds.
    pub until: u64,
    /// Fencing token of the lease holder, if the fault is for the lease holder.
    pub holder_token: Option<u64>,
}

/// Records of all processes.
#[derive(Debug, Default)]
pub struct Records {
    /// Records of the replicas, by number.
    pub coordinators: BTreeMap<u64, Vec<RecordLine>>,
    /// Records of the members, by the name of the file without its extension.
    pub members: BTreeMap<String, Vec<RecordLine>>,
}

/// A rule of leases that is checked on records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeaseRule {
    /// All replicas are in the same state after the same entry.
    SameState,
    /// A later grant has a higher token.
    TokensGrow,
    /// No receiver accepts an effect of a term after a later term was granted.
    NoEffectOfEndedTerm,
    /// No holder sends an effect after a later term was granted.
    NoActionInEndedTerm,
    /// No receiver accepts a lower token after a higher one.
    TokensGrowAtReceivers,
    /// Members use only tokens that were granted.
    OnlyGrantedTokens,
    /// The cluster works again after the last fault has ended.
    Recovery,
    /// A replica that has lost its store, or runs with an old copy of it, does not serve.
    NoServiceWithoutStore,
    /// No process uses a session of an earlier process.
    SessionOfOneProcess,
    /// The history of a lease is linearizable.
    Linearizable,
}

impl LeaseRule {
    /// All rules.
    pub const ALL: [LeaseRule; 10] = [
        LeaseRule::SameState,
        LeaseRule::TokensGrow,
        LeaseRule::NoEffectOfEndedTerm,
        LeaseRule::NoActionInEndedTerm,
        LeaseRule::TokensGrowAtReceivers,
        LeaseRule::OnlyGrantedTokens,
        LeaseRule::Recovery,
        LeaseRule::NoServiceWithoutStore,
        LeaseRule::SessionOfOneProcess,
        LeaseRule::Linearizable,
    ];
}

impl Rule for LeaseRule {
    fn text(self) -> &'static str {
        match self {
            LeaseRule::SameState => "keepers apply the same",
            LeaseRule::TokensGrow => "tokens only grow",
            LeaseRule::NoEffectOfEndedTerm => "no effect of an ended term is taken",
            LeaseRule::NoActionInEndedTerm => "no owner acts when a later term was granted",
            LeaseRule::TokensGrowAtReceivers => "tokens grow at every receiver",
            LeaseRule::OnlyGrantedTokens => "only granted tokens are used",
            LeaseRule::Recovery => "well again when all is healed",
            LeaseRule::NoServiceWithoutStore => "a keeper without its memory does not serve",
            LeaseRule::SessionOfOneProcess => "a session belongs to one process",
            LeaseRule::Linearizable => "a duty's history is linearizable",
        }
    }
}

/// Violations of the rules of leases.
pub type LeaseViolations = Violations<LeaseRule>;

/// Reads a file of records; returns no lines if it does not exist. Ignores a last line without a line break, which a
/// killed process may leave.
///
/// # Errors
/// Returns a [`ClusterError`] if the file exists and cannot be read, or if a complete line is no record.
pub fn read(path: &Path) -> Result<Vec<RecordLine>, ClusterError> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(source) => return Err(ClusterError::io(path.display())(source)),
    };
    let complete = text.rsplit_once('\n').map_or("", |(complete, _)| complete);
    let parse = |(position, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|source| ClusterError::Record {
            path: path.to_owned(),
            line: position + 1,
            source,
        })
    };
    complete.lines().enumerate().map(parse).collect()
}

/// Grant of a lease, with the earliest time at which a coordinator recorded it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Grant {
    index: u64,
    lease: String,
    token: u64,
    time: u64,
}

/// Returns all grants in the order of the log.
fn grants(records: &Records) -> Vec<Grant> {
    let mut grants: BTreeMap<u64, Grant> = BTreeMap::new();
    for line in records.coordinators.values().flatten().filter(|line| line.kind == "applied") {
        let (Some(index), Some(lease), Some(token)) =
            (line.number("index"), line.text("granted"), line.number("token"))
        else {
            continue;
        };
        let new = Grant { index, lease: lease.to_owned(), token, time: line.time };
        let grant = grants.entry(index).or_insert_with(|| new.clone());
        grant.time = grant.time.min(line.time);
    }
    grants.into_values().collect()
}

/// Checks all rules but [`LeaseRule::Recovery`] and [`LeaseRule::NoServiceWithoutStore`], which the harness checks at
/// the end of a schedule.
pub fn check(records: &Records) -> LeaseViolations {
    let mut found = LeaseViolations::default();
    check_digests(records, &mut found);
    let grants = grants(records);
    for pair in grants.windows(2).filter(|pair| pair[0].token >= pair[1].token) {
        let text = format!("entry {} granted {} after {}", pair[1].index, pair[1].token, pair[0].token);
        found.add(LeaseRule::TokensGrow, text);
    }
    for lease in non_linearizable_leases(records, &grants) {
        found.add(LeaseRule::Linearizable, lease);
    }
    let terms = LeaseTerms::new(&grants);
    for (member, lines) in &records.members {
        check_member(member, lines, &terms, &mut found);
    }
    found
}

/// Checks that all coordinators are in the same state after the same entry.
fn check_digests(records: &Records, found: &mut LeaseViolations) {
    /// The first digest that was seen of the state after an entry.
    struct FirstDigest {
        coordinator: u64,
        digest: u64,
    }
    let mut digests: BTreeMap<u64, FirstDigest> = BTreeMap::new();
    for (coordinator, lines) in &records.coordinators {
        for line in lines.iter().filter(|line| line.kind == "applied") {
            let (Some(index), Some(digest)) = (line.number("index"), line.number("digest")) else { continue };
            let first = digests.entry(index).or_insert(FirstDigest { coordinator: *coordinator, digest });
            if first.digest != digest {
                let text = format!(
                    "entry {index}: replica {coordinator} and replica {} have different states",
                    first.coordinator
                );
                found.add(LeaseRule::SameState, text);
            }
        }
    }
}

/// The terms of all leases, each given by its lease and fencing token.
struct LeaseTerms<'a> {
    granted: BTreeSet<(&'a str, u64)>,
    /// Time by which a term had ended: the earliest recorded grant of a later term of the same lease.
    ended: BTreeMap<(&'a str, u64), u64>,
}

impl<'a> LeaseTerms<'a> {
    fn new(grants: &'a [Grant]) -> LeaseTerms<'a> {
        let mut ended: BTreeMap<(&str, u64), u64> = BTreeMap::new();
        for grant in grants {
            let older = grants.iter().filter(|older| older.lease == grant.lease && older.token < grant.token);
            for older in older {
                let end = ended.entry((&older.lease, older.token)).or_insert(grant.time);
                *end = (*end).min(grant.time);
            }
        }
        let granted = grants.iter().map(|grant| (grant.lease.as_str(), grant.token)).collect();
        LeaseTerms { granted, ended }
    }
}

/// Checks the effects that one member accepted and sent, and its sessions.
fn check_member(member: &str, lines: &[RecordLine], terms: &LeaseTerms<'_>, found: &mut LeaseViolations) {
    let mut highest: BTreeMap<&str, u64> = BTreeMap::new();
    // Several processes, one after the other, write to the record of a member.
    let (mut earlier_sessions, mut own_sessions) = (BTreeSet::new(), BTreeSet::new());
    for line in lines {
        if line.kind == "started" {
            highest.clear();
            earlier_sessions.append(&mut own_sessions);
        }
        if let Some(session) = line.number("session").filter(|_| line.kind == "session") {
            own_sessions.insert(session);
            if earlier_sessions.contains(&session) {
                let text = format!("{member} uses session {session} of an earlier process");
                found.add(LeaseRule::SessionOfOneProcess, text);
            }
        }
        let (Some(lease), Some(token)) = (line.text("duty"), line.number("token")) else { continue };
        check_term(member, line, (lease, token), terms, found);
        if line.kind == "taken" {
            let highest = highest.entry(lease).or_insert(token);
            if token < *highest {
                let text =
                    format!("{member} accepted an effect of lease {lease} token {token} after {highest}");
                found.add(LeaseRule::TokensGrowAtReceivers, text);
            }
            *highest = token.max(*highest);
        }
    }
}

/// Checks that an effect was sent or accepted in a term that was granted and had not ended.
fn check_term(
    member: &str,
    line: &RecordLine,
    (lease, token): (&str, u64),
    terms: &LeaseTerms<'_>,
    found: &mut LeaseViolations,
) {
    let (rule, action) = match line.kind.as_str() {
        "taken" => (LeaseRule::NoEffectOfEndedTerm, "accepted"),
        "acted" => (LeaseRule::NoActionInEndedTerm, "sent"),
        _ => return,
    };
    if !terms.granted.contains(&(lease, token)) {
        let text =
            format!("{member} {action} an effect of lease {lease} token {token}, which was not granted");
        found.add(LeaseRule::OnlyGrantedTokens, text);
    }
    if let Some(ended) = terms.ended.get(&(lease, token)).filter(|ended| line.time > **ended) {
        let late = line.time - ended;
        let text = format!(
            "{member} {action} an effect of lease {lease} token {token} {late} us after the next grant"
        );
        found.add(rule, text);
    }
}

/// Returns the leases whose history is not linearizable, when it is seen as the history of a register with the newest
/// token. A grant writes the register at some time between the record of the previous grant and its own record. An
/// accepted effect reads the register at the time of its record; of the effects that a member accepted in one term only
/// the first and the last are checked.
///
/// This check is independent of the other rules: the tester of `stateright` does not rely on increasing tokens.
fn non_linearizable_leases(records: &Records, grants: &[Grant]) -> Vec<String> {
    /// Step of a history. Steps with the same time are ordered by variant, so that a run is accepted if any order of
    /// them is correct.
    #[derive(PartialEq, Eq, PartialOrd, Ord)]
    enum Step {
        Read { thread: u64, token: u64 },
        EndWrite,
        BeginWrite { token: u64 },
    }
    let leases: BTreeSet<&str> = grants.iter().map(|grant| grant.lease.as_str()).collect();
    let violated = leases.into_iter().filter(|lease| {
        let mut steps: Vec<(u64, Step)> = Vec::new();
        let mut previous_grant = 0;
        for grant in grants.iter().filter(|grant| grant.lease == *lease) {
            // A grant that was recorded before its predecessor in the log is left to the other rules.
            steps.push((previous_grant.min(grant.time), Step::BeginWrite { token: grant.token }));
            steps.push((grant.time, Step::EndWrite));
            previous_grant = grant.time;
        }
        for (thread, lines) in (1..).zip(records.members.values()) {
            let mut spans: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
            let is_accepted = |line: &&RecordLine| line.kind == "taken" && line.text("duty") == Some(lease);
            for line in lines.iter().filter(is_accepted) {
                let Some(token) = line.number("token") else { continue };
                let (first, last) = spans.entry(token).or_insert((line.time, line.time));
                (*first, *last) = ((*first).min(line.time), (*last).max(line.time));
            }
            for (token, (first, last)) in spans {
                steps.extend([first, last].map(|time| (time, Step::Read { thread, token })));
            }
        }
        steps.sort();
        let mut tester = LinearizabilityTester::new(Register(0u64));
        for (_, step) in steps {
            let is_valid = match step {
                Step::BeginWrite { token } => tester.on_invoke(0u64, RegisterOp::Write(token)).is_ok(),
                Step::EndWrite => tester.on_return(0, RegisterRet::WriteOk).is_ok(),
                Step::Read { thread, token } => {
                    tester.on_invret(thread, RegisterOp::Read, RegisterRet::ReadOk(token)).is_ok()
                }
            };
            if !is_valid {
                return true;
            }
        }
        !tester.is_consistent()
    });
    violated.map(str::to_owned).collect()
}

/// Returns the takeover times by kind of fault, in microseconds: the time from a fault of a lease holder to the first
/// effect of a later term that a receiver accepted.
///
/// Only the first fault of a term is counted, and only if it ends the term. A pause or a partition from the
/// coordinators ends it if it lasts for at least twice the lease duration; a shorter one may pass without a takeover,
/// and so may a partition from the members.
pub fn takeovers(
    records: &Records,
    faults: &[InjectedFault],
    lease_duration: u64,
) -> BTreeMap<FaultKind, Vec<u64>> {
    let mut first_accepted: BTreeMap<u64, u64> = BTreeMap::new();
    for line in records.members.values().flatten().filter(|line| line.kind == "taken") {
        if let Some(token) = line.number("token") {
            let first = first_accepted.entry(token).or_insert(line.time);
            *first = (*first).min(line.time);
        }
    }
    let mut counted_terms = BTreeSet::new();
    let mut takeovers: BTreeMap<FaultKind, Vec<u64>> = BTreeMap::new();
    for fault in faults {
        let Some(token) = fault.holder_token.filter(|token| counted_terms.insert(*token)) else { continue };
        let ends_term = match fault.kind {
            FaultKind::KillHolder | FaultKind::TerminateHolder => true,
            FaultKind::PauseHolder
            | FaultKind::PauseHolderDuringRenewal
            | FaultKind::PartitionHolderFromCoordinators
            | FaultKind::HolderHearsNoCoordinator => fault.until >= fault.time + 2 * lease_duration,
            _ => false,
        };
        let later_terms = first_accepted.range(token + 1..).map(|(_, time)| *time);
        let next = later_terms.filter(|time| *time > fault.time).min();
        if let Some(next) = next.filter(|_| ends_term) {
            takeovers.entry(fault.kind).or_default().push(next - fault.time);
        }
    }
    takeovers
}

/// Returns the number of effects that members rejected.
pub fn effects_rejected(records: &Records) -> u64 {
    records.members.values().flatten().filter(|line| line.kind == "refused").count() as u64
}

/// Returns the number of effects that members accepted.
pub fn effects_accepted(records: &Records) -> u64 {
    records.members.values().flatten().filter(|line| line.kind == "taken").count() as u64
}

/// Returns whether a member accepted an effect after this time.
pub fn accepted_effect_after(records: &Records, time: u64) -> bool {
    records.members.values().flatten().any(|line| line.kind == "taken" && line.time > time)
}

/// Grant of a lease to a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SessionGrant {
    /// Fencing token of the term.
    pub token: u64,
    /// Session that was granted the lease.
    pub session: u64,
}

/// Returns the recorded grant with the highest token.
pub fn newest_grant(records: &Records) -> Option<SessionGrant> {
    let lines = records.coordinators.values().flatten().filter(|line| line.kind == "applied");
    let grant = |line: &RecordLine| {
        Some(SessionGrant { token: line.number("token")?, session: line.number("session")? })
    };
    lines.filter_map(grant).max()
}

/// Returns the name of the member that opened a session, by the coordinators' records.
pub fn member_of_session(records: &Records, session: u64) -> Option<String> {
    let lines = records.coordinators.values().flatten().filter(|line| line.number("joined") == Some(session));
    lines.filter_map(|line| line.text("name")).next().map(str::to_owned)
}

/// Returns the number of the replica that recorded the leadership of the highest term.
pub fn leader(records: &Records) -> Option<u64> {
    let is_leader = |line: &&RecordLine| line.kind == "leads" && line.number("term").is_some();
    let last = |(coordinator, lines): (&u64, &Vec<RecordLine>)| {
        Some((lines.iter().rfind(is_leader)?.number("term")?, *coordinator))
    };
    records.coordinators.iter().filter_map(last).max().map(|(_, coordinator)| coordinator)
}

/// Returns the number of lease terms that were granted.
pub fn lease_terms(records: &Records) -> u64 {
    grants(records).len() as u64
}
