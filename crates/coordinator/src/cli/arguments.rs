//! Usage, and what the arguments of the process say.

use std::path::PathBuf;

use coordination::{FencingToken, LeaseId};
use disruption_budget::Target;
use lexopt::prelude::*;

/// What `help` prints.
pub(super) const USAGE: &str = "\
coordinator COMMAND --config FILE [options]

  bootstrap       sets up the empty store of this keeper, once in the life of an installation
  serve           keeps; ends on SIGTERM
  status          every keeper: who leads, how far each is
  members         the members that have a session
  duties          who owns what, with which token
  release-duty    ends the running term of --duty NAME (with --token N only that one); another member gets it
  replace         --keeper NUMBER --with NEW --address IP:PORT: a new keeper takes the place of one that is gone or goes
  account         who may be out: budgets and what they have to do with, permits, targets that are not in
  budgets         --set FILE [--seen VERSION]: other budgets, HCL; refused where they were changed since that version
  permit ask      --target KIND/NAME --by WHO [--reason TEXT] [--force]: says whether it is granted; 8 where it waits
  permit begin    --permit N [--number M]: right before the step; done: after it; void: gives it back unbegun
  strike-off      --target KIND/NAME [--by WHO]: a target is gone for good, and its permits with it
  metrics         the figures of this keeper, for Prometheus, as text
  check-config    reads the configuration and says what is wrong with it

  --config FILE   the configuration, HCL
  --joining       with bootstrap: this keeper takes another's place in an installation that runs
  --record FILE   with serve: appends what was applied, a JSON object a line
  --log LEVEL     error, warn, info (the default), debug or trace
  --json          with status, members, duties and account: JSON

Exit codes: 0 done, 1 fault, 2 bad usage, 3 the disk is an old copy or another's, 4 the store cannot be used,
5 something was agreed on that this version does not know, 6 raft refused to go on, 7 replaced by another, 8 not now.
";

/// What the program is to do.
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

/// A word where a command is expected.
#[derive(Debug, thiserror::Error)]
#[error("{0:?} is no command")]
pub(super) struct UnknownSubcommand(String);

/// The arguments of the process. What a command needs and is not here is missed when the command runs.
pub(super) struct Arguments {
    /// The name of the command, or nothing.
    subcommand: String,
    /// What to do with a permit.
    pub(super) permit_verb: String,
    pub(super) config: Option<PathBuf>,
    pub(super) record_file: Option<PathBuf>,
    pub(super) lease: Option<LeaseId>,
    pub(super) token: Option<FencingToken>,
    /// The coordinator to be replaced, and the one that takes its place, with its address.
    pub(super) replaced: Option<u64>,
    pub(super) replacement: Option<u64>,
    pub(super) replacement_address: Option<String>,
    pub(super) budgets_file: Option<PathBuf>,
    /// The version of the budgets that the operator saw.
    pub(super) seen_version: Option<u64>,
    pub(super) target: Option<Target>,
    pub(super) permit: Option<u64>,
    /// The incarnation of a permit's target; 0 where it has none.
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
            permit_verb: String::new(),
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
    /// The command that is named.
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
            Value(word) if arguments.subcommand == "permit" && arguments.permit_verb.is_empty() => {
                arguments.permit_verb = word.string()?;
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
