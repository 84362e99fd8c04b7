//! The command line of a keeper.

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use cluster_member::record::Recorder;
use coordination::{FencingToken, LeaseId};
use coordinator::config::{self, Config};
use coordinator::{operator, server, store, CoordinatorError};
use disruption_budget::{DisruptionCommand, DisruptionOutcome, PermitState, Target};
use lexopt::prelude::*;

const USAGE: &str = "\
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

struct Arguments {
    command: String,
    verb: String,
    config: Option<PathBuf>,
    record: Option<PathBuf>,
    duty: Option<LeaseId>,
    token: Option<FencingToken>,
    keeper: Option<u64>,
    with: Option<u64>,
    address: Option<String>,
    set: Option<PathBuf>,
    seen: Option<u64>,
    target: Option<Target>,
    permit: Option<u64>,
    number: u64,
    reason: Option<String>,
    force: bool,
    by: Option<String>,
    joining: bool,
    level: tracing::Level,
    json: bool,
}

fn parse_arguments() -> Result<Arguments, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut args = Arguments {
        command: String::new(),
        verb: String::new(),
        config: None,
        record: None,
        duty: None,
        token: None,
        keeper: None,
        with: None,
        address: None,
        set: None,
        seen: None,
        target: None,
        permit: None,
        number: 0,
        reason: None,
        force: false,
        by: None,
        joining: false,
        level: tracing::Level::INFO,
        json: false,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Value(command) if args.command.is_empty() => args.command = command.string()?,
            Value(verb) if args.command == "permit" && args.verb.is_empty() => args.verb = verb.string()?,
            Long("config") => args.config = Some(parser.value()?.into()),
            Long("record") => args.record = Some(parser.value()?.into()),
            Long("duty") => args.duty = Some(parser.value()?.parse()?),
            Long("token") => args.token = Some(FencingToken(parser.value()?.parse()?)),
            Long("keeper") => args.keeper = Some(parser.value()?.parse()?),
            Long("with") => args.with = Some(parser.value()?.parse()?),
            Long("address") => args.address = Some(parser.value()?.string()?),
            Long("set") => args.set = Some(parser.value()?.into()),
            Long("seen") => args.seen = Some(parser.value()?.parse()?),
            Long("target") => args.target = Some(parser.value()?.parse()?),
            Long("permit") => args.permit = Some(parser.value()?.parse()?),
            Long("number") => args.number = parser.value()?.parse()?,
            Long("reason") => args.reason = Some(parser.value()?.string()?),
            Long("force") => args.force = true,
            Long("by") => args.by = Some(parser.value()?.string()?),
            Long("joining") => args.joining = true,
            Long("log") => args.level = parser.value()?.parse()?,
            Long("json") => args.json = true,
            Short('h') | Long("help") => args.command = "help".to_owned(),
            Long("version") => args.command = "version".to_owned(),
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(args)
}

fn main() -> ExitCode {
    let args = match parse_arguments() {
        Ok(args) => args,
        Err(error) => {
            eprintln!("coordinator: {error}\n\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    match args.command.as_str() {
        "help" => {
            print!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        "version" => {
            println!("coordinator {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        "bootstrap" | "serve" | "status" | "members" | "duties" | "release-duty" | "replace" | "metrics"
        | "check-config" | "account" | "budgets" | "permit" | "strike-off" => {}
        other => {
            eprintln!("coordinator: {other:?} is no command\n\n{USAGE}");
            return ExitCode::from(2);
        }
    }
    let Some(path) = &args.config else {
        eprintln!("coordinator: --config FILE is missing");
        return ExitCode::from(2);
    };
    let config = match config::read(path) {
        Ok(config) => config,
        Err(fault) => {
            eprintln!("coordinator: {fault}");
            return ExitCode::FAILURE;
        }
    };
    tracing_subscriber::fmt().with_max_level(args.level).with_ansi(false).with_writer(std::io::stderr).init();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("coordinator: {error}");
            return ExitCode::FAILURE;
        }
    };
    match tokio::task::LocalSet::new().block_on(&runtime, run(&args, &config)) {
        Ok(text) => {
            let _ = std::io::stdout().write_all(text.as_bytes());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("coordinator: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn serve_config(config: &Config) -> Result<&config::ServeConfig, CoordinatorError> {
    config.serve.as_ref().ok_or_else(|| CoordinatorError::Startup("serve: the block is missing".to_owned()))
}

/// Asks for a permit, begins it, says that its step is done, or gives it back.
async fn permit(args: &Arguments, config: &Config) -> Result<String, CoordinatorError> {
    let missing = |key: &str| CoordinatorError::Startup(format!("--{key} is missing"));
    let number = || args.permit.ok_or_else(|| missing("permit"));
    let command = match args.verb.as_str() {
        "ask" => DisruptionCommand::RequestPermit {
            target: args.target.clone().ok_or_else(|| missing("target"))?,
            reason: args.reason.clone().unwrap_or_default(),
            requester: args.by.clone().ok_or_else(|| missing("by"))?,
            force: args.force,
        },
        "begin" => DisruptionCommand::BeginPermit { permit: number()?, incarnation: args.number },
        "done" => DisruptionCommand::CompletePermit { permit: number()? },
        "void" => DisruptionCommand::CancelPermit { permit: number()? },
        other => {
            return Err(CoordinatorError::Startup(format!(
                "permit {other:?}: wanted ask, begin, done or void"
            )))
        }
    };
    match operator::change_disruption_state(config, command).await.map_err(CoordinatorError::Startup)? {
        DisruptionOutcome::PermitRequested(permit, PermitState::Waiting) => {
            let (_, account) = operator::disruption_state(config).await.map_err(CoordinatorError::Startup)?;
            let held = account
                .blocking_budget(permit)
                .map_or(String::new(), |held| format!(", held by budget {:?}", held.name));
            Err(CoordinatorError::PermitWaiting(format!(
                "permit {permit} waits for its turn{held}; ask again within a minute"
            )))
        }
        DisruptionOutcome::PermitRequested(permit, state) => Ok(format!("{permit} {state}\n")),
        DisruptionOutcome::PermitBegun(permit) => Ok(format!("{permit} begun\n")),
        _ => Ok(String::new()),
    }
}

async fn run(args: &Arguments, config: &Config) -> Result<String, CoordinatorError> {
    match args.command.as_str() {
        "bootstrap" => {
            let serve = serve_config(config)?;
            let voters: Vec<u64> = config.coordinators.keys().copied().collect();
            let disk = cluster_member::clock::random_id();
            if args.joining {
                store::bootstrap_joining(
                    &serve.store_directory,
                    &config.installation,
                    serve.coordinator_id,
                    disk,
                )?;
                return Ok(format!(
                    "{}: the store of keeper {}, which is to join\n",
                    serve.store_directory.display(),
                    serve.coordinator_id
                ));
            }
            store::bootstrap(
                &serve.store_directory,
                &config.installation,
                serve.coordinator_id,
                &voters,
                config.first_token,
                disk,
            )?;
            Ok(format!(
                "{}: an empty store of keeper {}\n",
                serve.store_directory.display(),
                serve.coordinator_id
            ))
        }
        "serve" => {
            let record = match &args.record {
                Some(path) => Recorder::append_to(path).map_err(|error| {
                    CoordinatorError::Startup(format!("--record: {}: {error}", path.display()))
                })?,
                None => Recorder::default(),
            };
            server::serve(config, serve_config(config)?, record).await.map(|()| String::new())
        }
        "status" => {
            let all = operator::statuses(config).await;
            let mut text = String::new();
            for (keeper, status) in &all {
                text += &match status {
                    Ok(status) if args.json => serde_json::to_string(status).unwrap_or_default() + "\n",
                    Ok(status) => format!(
                        "keeper {keeper}: {}, term {}, applied {} of {}, {} members, commit p50 {} us p99 {} us\n",
                        if status.is_leader { "leads" } else { "follows" },
                        status.raft_term,
                        status.applied_index,
                        status.committed_index,
                        status.members.len(),
                        status.commit_latency.0,
                        status.commit_latency.1
                    ),
                    Err(error) => format!("{error}\n"),
                };
            }
            Ok(text)
        }
        "members" => {
            let status = operator::leader_status(config).await.map_err(CoordinatorError::Startup)?;
            if args.json {
                return Ok(serde_json::to_string(&status.members).unwrap_or_default() + "\n");
            }
            let line = |member: &cluster_member::wire::MemberStatus| {
                let (peer, settled) = (&member.peer, if member.stable { "settled" } else { "new" });
                let state = if member.superseded { "superseded" } else { settled };
                format!(
                    "{} process {} session {} at {} {state}\n",
                    peer.name, peer.incarnation, member.session.0, peer.address
                )
            };
            Ok(status.members.iter().map(line).collect())
        }
        "duties" => {
            let status = operator::leader_status(config).await.map_err(CoordinatorError::Startup)?;
            if args.json {
                return Ok(serde_json::to_string(&status.leases).unwrap_or_default() + "\n");
            }
            let line = |duty: &cluster_member::wire::LeaseStatus| match &duty.holder {
                Some((name, token)) => format!("{}: {name}, token {}\n", duty.lease, token.0),
                None => format!("{}: nobody, tokens below {} are over\n", duty.lease, duty.minimum_token.0),
            };
            Ok(status.leases.iter().map(line).collect())
        }
        "release-duty" => {
            let duty =
                args.duty.clone().ok_or_else(|| CoordinatorError::Startup("--duty is missing".to_owned()))?;
            operator::release_lease(config, duty, args.token)
                .await
                .map(|()| String::new())
                .map_err(CoordinatorError::Startup)
        }
        "replace" => {
            let missing = |key: &str| CoordinatorError::Startup(format!("--{key} is missing"));
            let (old, new) =
                (args.keeper.ok_or_else(|| missing("keeper"))?, args.with.ok_or_else(|| missing("with"))?);
            let address = args.address.clone().ok_or_else(|| missing("address"))?;
            if address.parse::<std::net::SocketAddr>().is_err() {
                return Err(CoordinatorError::Startup(format!(
                    "--address: {address:?} is no address; wanted IP:PORT"
                )));
            }
            operator::replace(config, old, new, address).await.map_err(CoordinatorError::Startup)?;
            Ok(format!("keeper {new} has taken the place of keeper {old}\n"))
        }
        "account" => {
            let (revision, account) =
                operator::disruption_state(config).await.map_err(CoordinatorError::Startup)?;
            match args.json {
                true => Ok(serde_json::json!({"revision": revision, "account": operator::disruption_state_json(&account)})
                    .to_string()
                    + "\n"),
                false => Ok(operator::disruption_state_text(&account)),
            }
        }
        "budgets" => {
            let path = args
                .set
                .as_ref()
                .ok_or_else(|| CoordinatorError::Startup("--set FILE is missing".to_owned()))?;
            let budgets = config::read_budgets(path).map_err(CoordinatorError::Startup)?;
            // Whoever does not say what version was seen has just looked.
            let seen = match args.seen {
                Some(seen) => seen,
                None => operator::disruption_state(config)
                    .await
                    .map_err(CoordinatorError::Startup)?
                    .1
                    .budgets_version(),
            };
            let count = budgets.len();
            operator::change_disruption_state(
                config,
                DisruptionCommand::SetBudgets { expected_version: seen, budgets },
            )
            .await
            .map_err(CoordinatorError::Startup)?;
            Ok(format!("{count} budgets hold from now on\n"))
        }
        "permit" => permit(args, config).await,
        "strike-off" => {
            let target = args
                .target
                .clone()
                .ok_or_else(|| CoordinatorError::Startup("--target is missing".to_owned()))?;
            let by = args.by.clone().unwrap_or_else(|| "an operator".to_owned());
            operator::change_disruption_state(
                config,
                DisruptionCommand::DeregisterTarget { target, operator: by },
            )
            .await
            .map_err(CoordinatorError::Startup)?;
            Ok(String::new())
        }
        "metrics" => {
            let status = operator::status(config, serve_config(config)?.coordinator_id).await;
            Ok(operator::metrics_text(&status.map_err(CoordinatorError::Startup)?))
        }
        _ => Ok("the configuration is fine\n".to_owned()),
    }
}
