//! Usage and arguments of the process.

use std::path::PathBuf;

use coordination::{FencingToken, LeaseId};
use disruption_budget::Target;
use lexopt::prelude::*;

/// Text of `help`.
pub(super) const USAGE: &str = "\
coordinator COMMAND --config FILE [options]

  bootstrap       creates the empty store of this replica; only once, before its first start
  serve           runs this replica until SIGTERM
  status          prints the role, Raft term and applied entries of each replica
  members         lists the members that have a session
  duties          lists the leases with their holders and fencing tokens
  release-duty    --duty NAME [--token N]: ends the running term of a lease, so that another member is granted it; with
                  --token only if the running term has this fencing token
  replace         --keeper NUMBER --with NEW --address IP:PORT: replaces a replica by a new one
  account         prints the disruption state: budgets and their use, permits, unavailable targets
  budgets         --set FILE [--seen VERSION]: replaces the budgets by those of an HCL file; with --seen only if the
                  budgets have not changed since that version
  permit ask      --target KIND/NAME --by WHO [--reason TEXT] [--force]: requests a permit; exits with 8 until granted
  permit begin    --permit N [--number M]: begins a permit, right before the disruption;
                  M is the incarnation of the target
  permit done     --permit N: reports that the disruption is complete
  permit void     --permit N: cancels a permit that has not begun
  strike-off      --target KIND/NAME [--by WHO]: deregisters a target permanently, with its permits
  metrics         prints the metrics of this replica in the text format of Prometheus
  check-config    reads and validates the settings file

  --config FILE   the settings file, HCL
  --joining       with bootstrap: this replica joins a running installation in place of another
  --record FILE   with serve: appends a record of each applied entry as a line of JSON
  --log LEVEL     error, warn, info (the default), debug or trace
  --json          with status, members, duties and account: prints JSON

Exit codes: 0 success, 1 error, 2 invalid arguments, 3 the store is an old copy or that of another replica, 4 the store
cannot be used, 5 the snapshot or the log has a format that this version does not support, 6 Raft failed, 7 another
replica has replaced this one, 8 the permit is not granted yet.
";

/// Subcommand of the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Subcommand {
    Help,
    Version,
    Bootstrap,
    Serve,
    Status,
    Members,
    Leases,
    ReleaseLease,
    Replace,
    DisruptionState,
    Budgets,
    Permit,
    Deregister,
    Metrics,
    CheckConfig,
}

/// Error for a first argument that is not a subcommand.
#[derive(Debug, thiserror::Error)]
#[error("{0:?} is not a command")]
pub(super) struct UnknownSubcommand(String);

/// Arguments of the process. Each subcommand checks whether the arguments that it requires are present.
pub(super) struct Arguments {
    /// Name of the subcommand; empty if there is none.
    subcommand: String,
    /// Operation on a permit; empty if there is none.
    pub(super) permit_operation: String,
    pub(super) config: Option<PathBuf>,
    pub(super) record_file: Option<PathBuf>,
    pub(super) lease: Option<LeaseId>,
    pub(super) token: Option<FencingToken>,
    /// Number of the replica to be replaced.
    pub(super) replaced: Option<u64>,
    /// Number of the new replica.
    pub(super) replacement: Option<u64>,
    /// Address of the new replica.
    pub(super) replacement_address: Option<String>,
    pub(super) budgets_file: Option<PathBuf>,
    /// Version of the budgets that the operator has seen.
    pub(super) seen_version: Option<u64>,
    pub(super) target: Option<Target>,
    pub(super) permit: Option<u64>,
    /// Incarnation of a permit's target; 0 if it has none.
    pub(super) incarnation: u64,
    pub(super) reason: Option<String>,
    pub(super) force: bool,
    pub(super) requester: Option<String>,
    pub(super) joining: bool,
    pub(super) log_level: tracing::Level,
    pub(super) json: bool,
}

impl Default for Arguments {
    fn default() -> Arguments {
        Arguments {
            subcommand: String::new(),
            permit_operation: String::new(),
            config: None,
            record_file: None,
            lease: None,
            token: None,
            replaced: None,
            replacement: None,
            replacement_address: None,
            budgets_file: None,
            seen_version: None,
            target: None,
            permit: None,
            incarnation: 0,
            reason: None,
            force: false,
            requester: None,
            joining: false,
            log_level: tracing::Level::INFO,
            json: false,
        }
    }
}

impl Arguments {
    /// Returns the subcommand.
    pub(super) fn subcommand(&self) -> Result<Subcommand, UnknownSubcommand> {
        Ok(match self.subcommand.as_str() {
            "help" => Subcommand::Help,
            "version" => Subcommand::Version,
            "bootstrap" => Subcommand::Bootstrap,
            "serve" => Subcommand::Serve,
            "status" => Subcommand::Status,
            "members" => Subcommand::Members,
            "duties" => Subcommand::Leases,
            "release-duty" => Subcommand::ReleaseLease,
            "replace" => Subcommand::Replace,
            "account" => Subcommand::DisruptionState,
            "budgets" => Subcommand::Budgets,
            "permit" => Subcommand::Permit,
            "strike-off" => Subcommand::Deregister,
            "metrics" => Subcommand::Metrics,
            "check-config" => Subcommand::CheckConfig,
            other => return Err(UnknownSubcommand(other.to_owned())),
        })
    }
}

/// Parses the arguments of the process.
pub(super) fn parse() -> Result<Arguments, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut arguments = Arguments::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Value(word) if arguments.subcommand.is_empty() => arguments.subcommand = word.string()?,
            Value(word) if arguments.subcommand == "permit" && arguments.permit_operation.is_empty() => {
                arguments.permit_operation = word.string()?;
            }
            Long("config") => arguments.config = Some(parser.value()?.into()),
            Long("record") => arguments.record_file = Some(parser.value()?.into()),
            Long("duty") => arguments.lease = Some(parser.value()?.parse()?),
            Long("token") => arguments.token = Some(FencingToken(parser.value()?.parse()?)),
            Long("keeper") => arguments.replaced = Some(parser.value()?.parse()?),
            Long("with") => arguments.replacement = Some(parser.value()?.parse()?),
            Long("address") => arguments.replacement_address = Some(parser.value()?.string()?),
            Long("set") => arguments.budgets_file = Some(parser.value()?.into()),
            Long("seen") => arguments.seen_version = Some(parser.value()?.parse()?),
            Long("target") => arguments.target = Some(parser.value()?.parse()?),
            Long("permit") => arguments.permit = Some(parser.value()?.parse()?),
            Long("number") => arguments.incarnation = parser.value()?.parse()?,
            Long("reason") => arguments.reason = Some(parser.value()?.string()?),
            Long("force") => arguments.force = true,
            Long("by") => arguments.requester = Some(parser.value()?.string()?),
            Long("joining") => arguments.joining = true,
            Long("log") => arguments.log_level = parser.value()?.parse()?,
            Long("json") => arguments.json = true,
            Short('h') | Long("help") => arguments.subcommand = "help".to_owned(),
            Long("version") => arguments.subcommand = "version".to_owned(),
            _ => return Err(argument.unexpected()),
        }
    }
    Ok(arguments)
}
