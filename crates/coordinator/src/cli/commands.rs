//! Subcommands that need the settings. Each returns the text to be printed.

use std::net::SocketAddr;

use cluster_member::clock;
use cluster_member::record::Recorder;
use coordinator::config::{self, Config, ServeConfig};
use coordinator::{operator_client, server, store};
use disruption_budget::{DisruptionCommand, DisruptionOutcome, PermitState};

use super::arguments::{Arguments, Subcommand};
use super::error::CommandError;
use super::{metrics, output};

/// Default of `--by` for a deregistered target.
const DEFAULT_REQUESTER: &str = "an operator";

/// Runs a subcommand that needs the settings.
pub(super) async fn run(
    subcommand: Subcommand,
    arguments: &Arguments,
    config: &Config,
) -> Result<String, CommandError> {
    match subcommand {
        Subcommand::Bootstrap => bootstrap(arguments, config),
        Subcommand::Serve => serve(arguments, config).await,
        Subcommand::Status => status(arguments, config).await,
        Subcommand::Members => members(arguments, config).await,
        Subcommand::Leases => leases(arguments, config).await,
        Subcommand::ReleaseLease => release_lease(arguments, config).await,
        Subcommand::Replace => replace(arguments, config).await,
        Subcommand::DisruptionState => disruption_state(arguments, config).await,
        Subcommand::Budgets => budgets(arguments, config).await,
        Subcommand::Permit => permit(arguments, config).await,
        Subcommand::Deregister => deregister(arguments, config).await,
        Subcommand::Metrics => print_metrics(config).await,
        Subcommand::CheckConfig | Subcommand::Help | Subcommand::Version => {
            Ok("the configuration is valid\n".to_owned())
        }
    }
}

fn serve_config(config: &Config) -> Result<&ServeConfig, CommandError> {
    config.serve.as_ref().ok_or(CommandError::NoServeBlock)
}

/// Returns the value of a required argument.
fn required<T: Clone>(value: &Option<T>, name: &'static str) -> Result<T, CommandError> {
    value.clone().ok_or(CommandError::MissingArgument(name))
}

fn bootstrap(arguments: &Arguments, config: &Config) -> Result<String, CommandError> {
    let serve = serve_config(config)?;
    let directory = &serve.store_directory;
    let id = serve.replica_id;
    let installation = &config.installation;
    let store_id = clock::random_id();
    if arguments.joining {
        store::bootstrap_joining(directory, installation, id, store_id)?;
        return Ok(format!(
            "{}: created the store of replica {id}, which joins a running installation\n",
            directory.display()
        ));
    }
    let voters: Vec<u64> = config.replicas.keys().copied().collect();
    store::bootstrap(directory, installation, id, &voters, config.first_token, store_id)?;
    Ok(format!("{}: created an empty store for replica {id}\n", directory.display()))
}

async fn serve(arguments: &Arguments, config: &Config) -> Result<String, CommandError> {
    let recorder = match &arguments.record_file {
        Some(file) => Recorder::append_to(file)
            .map_err(|source| CommandError::RecordFile { file: file.clone(), source })?,
        None => Recorder::default(),
    };
    server::serve(config, serve_config(config)?, recorder).await?;
    Ok(String::new())
}

async fn status(arguments: &Arguments, config: &Config) -> Result<String, CommandError> {
    let mut text = String::new();
    for result in operator_client::statuses(config).await {
        text += &match result.status {
            Ok(status) if arguments.json => output::json_line(&status),
            Ok(status) => output::status_line(result.replica, &status),
            Err(error) => format!("{error}\n"),
        };
    }
    Ok(text)
}

async fn members(arguments: &Arguments, config: &Config) -> Result<String, CommandError> {
    let members = operator_client::leader_status(config).await?.members;
    if arguments.json {
        return Ok(output::json_line(&members));
    }
    Ok(members.iter().map(output::member_line).collect())
}

async fn leases(arguments: &Arguments, config: &Config) -> Result<String, CommandError> {
    let leases = operator_client::leader_status(config).await?.leases;
    if arguments.json {
        return Ok(output::json_line(&leases));
    }
    Ok(leases.iter().map(output::lease_line).collect())
}

async fn release_lease(arguments: &Arguments, config: &Config) -> Result<String, CommandError> {
    let lease = required(&arguments.lease, "duty")?;
    operator_client::release_lease(config, lease, arguments.token).await?;
    Ok(String::new())
}

async fn replace(arguments: &Arguments, config: &Config) -> Result<String, CommandError> {
    let old = required(&arguments.replaced, "keeper")?;
    let new = required(&arguments.replacement, "with")?;
    let address = required(&arguments.replacement_address, "address")?;
    if address.parse::<SocketAddr>().is_err() {
        return Err(CommandError::InvalidAddress(address));
    }
    operator_client::replace(config, old, new, address).await?;
    Ok(format!("replica {new} has replaced replica {old}\n"))
}

async fn disruption_state(arguments: &Arguments, config: &Config) -> Result<String, CommandError> {
    let snapshot = operator_client::disruption_state(config).await?;
    if arguments.json {
        return Ok(output::disruption_state_json(&snapshot));
    }
    Ok(output::disruption_state_text(&snapshot.state))
}

async fn budgets(arguments: &Arguments, config: &Config) -> Result<String, CommandError> {
    let file = required(&arguments.budgets_file, "set FILE")?;
    let budgets = config::read_budgets(&file)?;
    let expected_version = match arguments.seen_version {
        Some(version) => version,
        // Without `--seen`, the budgets are replaced whatever their version is.
        None => operator_client::disruption_state(config).await?.state.budgets_version(),
    };
    let count = budgets.len();
    operator_client::change_disruption_state(
        config,
        DisruptionCommand::SetBudgets { expected_version, budgets },
    )
    .await?;
    Ok(format!("{count} budgets are in effect\n"))
}

/// Requests, begins, completes or cancels a permit.
async fn permit(arguments: &Arguments, config: &Config) -> Result<String, CommandError> {
    let outcome = operator_client::change_disruption_state(config, permit_change(arguments)?).await?;
    match outcome {
        DisruptionOutcome::PermitRequested { permit, state: PermitState::Waiting } => {
            let snapshot = operator_client::disruption_state(config).await?;
            let budget = snapshot.state.blocking_budget(permit).map(|budget| budget.name.clone());
            Err(CommandError::PermitWaiting { permit, budget })
        }
        DisruptionOutcome::PermitRequested { permit, state } => Ok(format!("{permit} {state}\n")),
        DisruptionOutcome::PermitBegun(permit) => Ok(format!("{permit} begun\n")),
        _ => Ok(String::new()),
    }
}

fn permit_change(arguments: &Arguments) -> Result<DisruptionCommand, CommandError> {
    let permit = || required(&arguments.permit, "permit");
    match arguments.permit_operation.as_str() {
        "ask" => Ok(DisruptionCommand::RequestPermit {
            target: required(&arguments.target, "target")?,
            reason: arguments.reason.clone().unwrap_or_default(),
            requester: required(&arguments.requester, "by")?,
            force: arguments.force,
        }),
        "begin" => {
            Ok(DisruptionCommand::BeginPermit { permit: permit()?, incarnation: arguments.incarnation })
        }
        "done" => Ok(DisruptionCommand::CompletePermit { permit: permit()? }),
        "void" => Ok(DisruptionCommand::CancelPermit { permit: permit()? }),
        other => Err(CommandError::UnknownPermitOperation(other.to_owned())),
    }
}

async fn deregister(arguments: &Arguments, config: &Config) -> Result<String, CommandError> {
    let target = required(&arguments.target, "target")?;
    let operator = arguments.requester.clone().unwrap_or_else(|| DEFAULT_REQUESTER.to_owned());
    operator_client::change_disruption_state(
        config,
        DisruptionCommand::DeregisterTarget { target, operator },
    )
    .await?;
    Ok(String::new())
}

async fn print_metrics(config: &Config) -> Result<String, CommandError> {
    let own_id = serve_config(config)?.replica_id;
    let status = operator_client::status(config, own_id).await?;
    Ok(metrics::prometheus_text(&status))
}
