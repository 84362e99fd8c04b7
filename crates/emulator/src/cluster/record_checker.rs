//! Checks of a schedule by the records that its processes left, and by nothing else.
//!
//! All records of a machine have one clock. A coordinator records a grant after it was agreed, an holder and a receiver
//! record the reading of the clock on which they decided. So whatever decided later than a record of a later grant
//! broke the rule, and no order of writing can make a sound run look broken.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use serde::Deserialize;
use serde_json::Value;
use stateright::semantics::register::{Register, RegisterOp, RegisterRet};
use stateright::semantics::{ConsistencyTester, LinearizabilityTester};

use super::error::ClusterError;
use super::schedule::FaultKind;
use super::violations::{Rule, Violations};

/// A line of a record.
#[derive(Debug, Clone, Deserialize)]
pub struct RecordLine {
    /// The reading of the clock, in microseconds.
    #[serde(rename = "t")]
    pub time: u64,
    /// What kind of line.
    pub kind: String,
    /// The rest.
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

/// What the harness did, by the same clock.
#[derive(Debug, Clone)]
pub struct InjectedFault {
    /// When.
    pub time: u64,
    /// What.
    pub kind: FaultKind,
    /// Until when.
    pub until: u64,
    /// The term that the holder had whom it was done to, where it was done to an holder.
    pub holder_token: Option<u64>,
}

/// Records by process.
#[derive(Debug, Default)]
pub struct Records {
    /// Coordinators, by number.
    pub coordinators: BTreeMap<u64, Vec<RecordLine>>,
    /// Members, by name.
    pub members: BTreeMap<String, Vec<RecordLine>>,
}

/// A rule of leases that is checked by records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeaseRule {
    /// All replicas are in the same state after the same entry.
    SameState,
    /// A later grant has a higher token.
    TokensGrow,
    /// No receiver accepts an effect of a term after the next one was granted.
    NoEffectOfEndedTerm,
    /// No holder acts after a later term was granted.
    NoActionInEndedTerm,
    /// No receiver accepts a lower token after a higher one.
    TokensGrowAtReceivers,
    /// Members use only tokens that were granted.
    OnlyGrantedTokens,
    /// All works again after the last fault has ended.
    Recovery,
    /// A replica without its store, or with an old one, does not serve.
    NoServiceWithoutStore,
    /// A session belongs to one process.
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

/// Reads one file of records. A last line that was cut by a kill is left out.
///
/// # Errors
/// The file is there and cannot be read, or a line in its middle is none.
pub fn read(path: &Path) -> Result<Vec<RecordLine>, ClusterError> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(source) => return Err(ClusterError::io(path.display())(source)),
    };
    let whole = text.rsplit_once('\n').map_or("", |(whole, _)| whole);
    let line = |(at, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|source| ClusterError::Record {
            path: path.to_owned(),
            line: at + 1,
            source,
        })
    };
    whole.lines().enumerate().map(line).collect()
}

/// A grant, as the first coordinator recorded it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Grant {
    index: u64,
    lease: String,
    token: u64,
    time: u64,
}

fn grants(records: &Records) -> Vec<Grant> {
    let mut grants: BTreeMap<u64, Grant> = BTreeMap::new();
    for line in records.coordinators.values().flatten().filter(|line| line.kind == "applied") {
        let (Some(index), Some(duty), Some(token)) =
            (line.number("index"), line.text("granted"), line.number("token"))
        else {
            continue;
        };
        let new = Grant { index, lease: duty.to_owned(), token, time: line.time };
        let known = grants.entry(index).or_insert_with(|| new.clone());
        known.time = known.time.min(line.time);
    }
    grants.into_values().collect()
}

/// Checks all rules but the seventh and the eighth, which the end of a schedule decides.
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

/// All coordinators are in the same state after the same entry.
fn check_digests(records: &Records, found: &mut LeaseViolations) {
    let mut digests: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
    for (coordinator, lines) in &records.coordinators {
        for line in lines.iter().filter(|line| line.kind == "applied") {
            let (Some(index), Some(digest)) = (line.number("index"), line.number("digest")) else { continue };
            let (first, known) = *digests.entry(index).or_insert((*coordinator, digest));
            if known != digest {
                let text = format!("entry {index}: keeper {coordinator} is not where keeper {first} is");
                found.add(LeaseRule::SameState, text);
            }
        }
    }
}

/// The terms of leases that were granted, and when each was over for good: at the next grant of the same lease.
struct LeaseTerms<'a> {
    granted: BTreeSet<(&'a str, u64)>,
    ended: BTreeMap<(&'a str, u64), u64>,
}

impl<'a> LeaseTerms<'a> {
    fn new(grants: &'a [Grant]) -> LeaseTerms<'a> {
        let mut ended: BTreeMap<(&str, u64), u64> = BTreeMap::new();
        for grant in grants {
            let older = grants.iter().filter(|older| older.lease == grant.lease && older.token < grant.token);
            for older in older {
                let at = ended.entry((&older.lease, older.token)).or_insert(grant.time);
                *at = (*at).min(grant.time);
            }
        }
        let granted = grants.iter().map(|grant| (grant.lease.as_str(), grant.token)).collect();
        LeaseTerms { granted, ended }
    }
}

/// Checks what one member accepted, sent and was told of its session.
fn check_member(member: &str, lines: &[RecordLine], terms: &LeaseTerms<'_>, found: &mut LeaseViolations) {
    let mut highest: BTreeMap<&str, u64> = BTreeMap::new();
    // Sessions of earlier processes that wrote this record, and of the one that writes it.
    let (mut earlier, mut own) = (BTreeSet::new(), BTreeSet::new());
    for line in lines {
        if line.kind == "started" {
            highest.clear();
            earlier.append(&mut own);
        }
        if let Some(session) = line.number("session").filter(|_| line.kind == "session") {
            own.insert(session);
            if earlier.contains(&session) {
                let text = format!("{member} has session {session} of a process before it");
                found.add(LeaseRule::SessionOfOneProcess, text);
            }
        }
        let (Some(lease), Some(token)) = (line.text("duty"), line.number("token")) else { continue };
        check_term(member, line, (lease, token), terms, found);
        if line.kind == "taken" {
            let highest = highest.entry(lease).or_insert(token);
            if token < *highest {
                let text = format!("{member} took {lease} token {token} after {highest}");
                found.add(LeaseRule::TokensGrowAtReceivers, text);
            }
            *highest = token.max(*highest);
        }
    }
}

/// Whoever acts or accepts does so in a term that was granted and has not ended.
fn check_term(
    member: &str,
    line: &RecordLine,
    (lease, token): (&str, u64),
    terms: &LeaseTerms<'_>,
    found: &mut LeaseViolations,
) {
    let rule = match line.kind.as_str() {
        "taken" => LeaseRule::NoEffectOfEndedTerm,
        "acted" => LeaseRule::NoActionInEndedTerm,
        _ => return,
    };
    if !terms.granted.contains(&(lease, token)) {
        found.add(LeaseRule::OnlyGrantedTokens, format!("{member} {} {lease} {token}", line.kind));
    }
    if let Some(ended) = terms.ended.get(&(lease, token)).filter(|ended| line.time > **ended) {
        let late = line.time - ended;
        let text = format!("{member} {} {lease} token {token} {late} us after the next grant", line.kind);
        found.add(rule, text);
    }
}

/// The leases whose history is not that of one register that holds the newest token: a grant writes it, at some moment
/// after the grant before and before a coordinator recorded it; an effect that is taken reads it, at that moment. Of what one
/// process took in one term the first and the last count. By the tester of `stateright`, as a second opinion: it knows
/// nothing of tokens that only grow.
fn non_linearizable_leases(records: &Records, grants: &[Grant]) -> Vec<String> {
    /// Order of what has one reading of the clock: whatever can be sound is.
    #[derive(PartialEq, Eq, PartialOrd, Ord)]
    enum Step {
        Read(u64, u64),
        Granted,
        Begins(u64),
    }
    let duties: BTreeSet<&str> = grants.iter().map(|grant| grant.lease.as_str()).collect();
    let broken = duties.into_iter().filter(|duty| {
        let mut steps: Vec<(u64, Step)> = Vec::new();
        let mut before = 0;
        for grant in grants.iter().filter(|grant| grant.lease == *duty) {
            // One that was recorded before the grant that it followed is the matter of another rule.
            steps.push((before.min(grant.time), Step::Begins(grant.token)));
            steps.push((grant.time, Step::Granted));
            before = grant.time;
        }
        for (thread, lines) in (1..).zip(records.members.values()) {
            let mut ends: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
            let of_duty = |line: &&RecordLine| line.kind == "taken" && line.text("duty") == Some(duty);
            for line in lines.iter().filter(of_duty) {
                let Some(token) = line.number("token") else { continue };
                let (first, last) = ends.entry(token).or_insert((line.time, line.time));
                (*first, *last) = ((*first).min(line.time), (*last).max(line.time));
            }
            for (token, (first, last)) in ends {
                steps.extend([first, last].map(|t| (t, Step::Read(thread, token))));
            }
        }
        steps.sort();
        let mut tester = LinearizabilityTester::new(Register(0u64));
        for (_, step) in steps {
            let sound = match step {
                Step::Begins(token) => tester.on_invoke(0u64, RegisterOp::Write(token)).is_ok(),
                Step::Granted => tester.on_return(0, RegisterRet::WriteOk).is_ok(),
                Step::Read(thread, token) => {
                    tester.on_invret(thread, RegisterOp::Read, RegisterRet::ReadOk(token)).is_ok()
                }
            };
            if !sound {
                return true;
            }
        }
        !tester.is_consistent()
    });
    broken.map(str::to_owned).collect()
}

/// From a fault at an holder to the first effect of a later term that somebody took, in microseconds, by kind.
///
/// Only the first fault of a term counts, and only one that has to end it: a stop or a cut that is shorter than the
/// lease may go by unnoticed, and so may not hearing members.
pub fn takeovers(records: &Records, done: &[InjectedFault], lease: u64) -> BTreeMap<FaultKind, Vec<u64>> {
    let mut taken: BTreeMap<u64, u64> = BTreeMap::new();
    for line in records.members.values().flatten().filter(|line| line.kind == "taken") {
        if let Some(token) = line.number("token") {
            let first = taken.entry(token).or_insert(line.time);
            *first = (*first).min(line.time);
        }
    }
    let mut counted = BTreeSet::new();
    let mut takeovers: BTreeMap<FaultKind, Vec<u64>> = BTreeMap::new();
    for fault in done {
        let Some(token) = fault.holder_token.filter(|token| counted.insert(*token)) else { continue };
        let ends = match fault.kind {
            FaultKind::KillHolder | FaultKind::TerminateHolder => true,
            FaultKind::PauseHolder
            | FaultKind::PauseHolderDuringRenewal
            | FaultKind::PartitionHolderFromCoordinators
            | FaultKind::HolderHearsNoCoordinator => fault.until >= fault.time + 2 * lease,
            _ => false,
        };
        let next = taken.range(token + 1..).map(|(_, t)| *t).filter(|t| *t > fault.time).min();
        if let Some(next) = next.filter(|_| ends) {
            takeovers.entry(fault.kind).or_default().push(next - fault.time);
        }
    }
    takeovers
}

/// Effects that were refused, over all members.
pub fn effects_rejected(records: &Records) -> u64 {
    records.members.values().flatten().filter(|line| line.kind == "refused").count() as u64
}

/// Effects that were taken, over all members.
pub fn effects_accepted(records: &Records) -> u64 {
    records.members.values().flatten().filter(|line| line.kind == "taken").count() as u64
}

/// Whether somebody took an effect after this time.
pub fn accepted_effect_after(records: &Records, t: u64) -> bool {
    records.members.values().flatten().any(|line| line.kind == "taken" && line.time > t)
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

/// The member of a session, by the coordinators' records.
pub fn member_of_session(records: &Records, session: u64) -> Option<String> {
    let lines = records.coordinators.values().flatten().filter(|line| line.number("joined") == Some(session));
    lines.filter_map(|line| line.text("name")).next().map(str::to_owned)
}

/// The coordinator that recorded last that it leads.
pub fn leader(records: &Records) -> Option<u64> {
    let leads = |line: &&RecordLine| line.kind == "leads" && line.number("term").is_some();
    let last = |(coordinator, lines): (&u64, &Vec<RecordLine>)| {
        Some((lines.iter().rfind(leads)?.number("term")?, *coordinator))
    };
    records.coordinators.iter().filter_map(last).max().map(|(_, coordinator)| coordinator)
}

/// How many terms were granted.
pub fn lease_terms(records: &Records) -> u64 {
    grants(records).len() as u64
}
