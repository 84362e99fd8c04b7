//! Log lines of applied commands and leadership changes.

use coordination::{Command, CommandOutcome};
use disruption_budget::{DisruptionCommand, DisruptionOutcome, PermitState};

/// Logs that this replica became leader in this term, or lost the leadership.
pub(super) fn leadership_changed(leading_term: Option<u64>) {
    match leading_term {
        Some(term) => tracing::info!(term, "became leader"),
        None => tracing::info!("lost leadership"),
    }
}

/// Logs the outcome of a command.
pub(super) fn applied(command: &Command, outcome: &CommandOutcome) {
    match outcome {
        CommandOutcome::LeaseGranted { lease, holder } => {
            tracing::info!(%lease, token = holder.token.0, session = holder.session.0, "lease granted");
        }
        CommandOutcome::SessionOpened { session, incarnation } => {
            if let Command::OpenSession { name, .. } = command {
                tracing::info!(name, session = session.0, incarnation, "session opened");
            }
        }
        CommandOutcome::SessionEnded(session) => {
            let cause = if matches!(command, Command::CloseSession { .. }) { "left" } else { "expired" };
            tracing::info!(session = session.0, cause, "session ended, its leases are free");
        }
        CommandOutcome::Disruption(outcome) => {
            if let Command::Disruption(change) = command {
                disruption_changed(change, outcome);
            }
        }
        CommandOutcome::LeaseReleased { lease, token } => {
            tracing::info!(%lease, token = token.0, "lease released")
        }
        CommandOutcome::Rejected(reason) => {
            tracing::debug!(%reason, command = command_name(command), "command rejected")
        }
        CommandOutcome::SessionStable(_) | CommandOutcome::Acknowledged => {}
    }
}

/// Logs the outcome of a disruption command, unless it changed nothing.
fn disruption_changed(change: &DisruptionCommand, outcome: &DisruptionOutcome) {
    match (change, outcome) {
        (
            DisruptionCommand::RequestPermit { target, reason, requester, force: true },
            DisruptionOutcome::PermitRequested { permit, .. },
        ) => {
            tracing::warn!(%target, reason, requester, permit, "permit forced beyond the budgets");
        }
        (
            DisruptionCommand::RequestPermit { target, reason, requester, .. },
            DisruptionOutcome::PermitRequested { permit, state: PermitState::Waiting },
        ) => {
            tracing::debug!(%target, reason, requester, permit, "permit requested");
        }
        (DisruptionCommand::BeginPermit { .. }, DisruptionOutcome::PermitBegun(permit)) => {
            tracing::info!(permit, "permit begun")
        }
        (DisruptionCommand::CancelPermit { permit }, DisruptionOutcome::Applied) => {
            tracing::info!(permit, "permit cancelled")
        }
        (DisruptionCommand::DeregisterTarget { target, operator }, DisruptionOutcome::Applied) => {
            tracing::warn!(%target, operator, "target deregistered");
        }
        (DisruptionCommand::SetBudgets { budgets, .. }, DisruptionOutcome::Applied) => {
            tracing::info!(budgets = budgets.len(), "budgets replaced");
        }
        (
            DisruptionCommand::RecordObservation { .. },
            DisruptionOutcome::ObservationRecorded { granted, revoked, closed },
        ) if !(granted.is_empty() && revoked.is_empty() && closed.is_empty()) => {
            tracing::info!(?granted, ?revoked, ?closed, "permits changed");
        }
        (_, DisruptionOutcome::Rejected(reason)) => {
            tracing::info!(%reason, change = change_text(change), "change rejected")
        }
        _ => {}
    }
}

/// Names a command in log lines.
fn command_name(command: &Command) -> &'static str {
    match command {
        Command::OpenSession { .. } => "open session",
        Command::CloseSession { .. } => "close session",
        Command::ExpireSession { .. } => "expire session",
        Command::MarkSessionStable { .. } => "mark session stable",
        Command::GrantLease { .. } => "grant lease",
        Command::ReleaseLease { .. } => "release lease",
        Command::RecordReplicaStart { .. } => "record replica start",
        Command::ReplaceReplica { .. } => "replace replica",
        Command::CompleteReplacement { .. } => "complete replacement",
        Command::Disruption(_) => "change disruption state",
    }
}

/// Describes a disruption command in log lines.
fn change_text(change: &DisruptionCommand) -> String {
    match change {
        DisruptionCommand::SetBudgets { .. } => "set budgets".to_owned(),
        DisruptionCommand::RequestPermit { target, .. } => format!("request a permit for {target}"),
        DisruptionCommand::BeginPermit { permit, .. } => format!("begin permit {permit}"),
        DisruptionCommand::CompletePermit { permit } => format!("complete permit {permit}"),
        DisruptionCommand::CancelPermit { permit } => format!("cancel permit {permit}"),
        DisruptionCommand::RecordObservation { .. } => "record an observation".to_owned(),
        DisruptionCommand::DeregisterTarget { target, .. } => format!("deregister {target}"),
    }
}
