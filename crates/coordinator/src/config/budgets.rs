//! File of disruption budgets, in HCL.

use std::path::Path;

use disruption_budget::{Amount, Budget, BudgetScope, TargetKind};
use hcl_config::{HclError, Section, Value};

use super::{read_text, ConfigError};

/// Maximum length of the name of a budget, in bytes.
const MAX_NAME_LENGTH: usize = 128;
/// Maximum number of targets that a limit of a budget may name.
const MAX_COUNT: u64 = 100_000;
const MAX_PERCENT: u32 = 100;

/// Reads a file of budgets.
///
/// # Errors
/// Returns an error if the file cannot be read, or one that names file, line and key if a budget is invalid.
pub fn read_budgets(file: &Path) -> Result<Vec<Budget>, ConfigError> {
    let text = read_text(file)?;
    Ok(parse_budgets(&file.display().to_string(), &text)?)
}

/// Parses a text of blocks `budget "NAME"`; `file` is its name in errors.
///
/// # Errors
/// Returns an error that names file, line and key if a budget is invalid, or two have the same name.
pub fn parse_budgets(file: &str, text: &str) -> Result<Vec<Budget>, HclError> {
    let top = Section::parse(file, text)?;
    let mut budgets: Vec<Budget> = Vec::new();
    for section in top.sections("budget") {
        let name = section.label();
        let taken = budgets.iter().any(|budget| budget.name == name);
        if name.is_empty() || name.len() > MAX_NAME_LENGTH || taken {
            return Err(section.error("", "expected a label of 1 to 128 bytes that no other budget has"));
        }
        budgets.push(parse_budget(section)?);
    }
    top.deny_unknown_keys()?;
    Ok(budgets)
}

fn parse_budget(section: &Section) -> Result<Budget, HclError> {
    let kinds = [("dispatchers", TargetKind::Dispatcher), ("workers", TargetKind::Worker)];
    let kind = section
        .keyword("targets", &kinds)?
        .ok_or_else(|| section.error("targets", "is missing: dispatchers or workers"))?;
    let budget = Budget {
        name: section.label().to_owned(),
        kind,
        scope: parse_scope(section)?,
        max_unavailable: parse_amount(section, "most_out")?,
        min_available: parse_amount(section, "least_in")?,
    };
    budget.validate().map_err(|fault| section.error(fault.key, fault.problem.to_string()))?;
    Ok(budget)
}

/// Parses the scope of a budget; the whole fleet by default.
fn parse_scope(section: &Section) -> Result<BudgetScope, HclError> {
    let Some(text) = section.string("of")? else { return Ok(BudgetScope::Fleet) };
    match text.as_str() {
        "fleet" => return Ok(BudgetScope::Fleet),
        "each-zone" => return Ok(BudgetScope::EachZone),
        "each-pool" => return Ok(BudgetScope::EachPool),
        _ => {}
    }
    match text.split_once('/') {
        Some(("zone", zone)) if !zone.is_empty() => Ok(BudgetScope::Zone(zone.to_owned())),
        Some(("pool", pool)) if !pool.is_empty() => Ok(BudgetScope::Pool(pool.to_owned())),
        _ => {
            let wanted = "expected fleet, each-zone, zone/NAME, each-pool or pool/NAME";
            Err(section.error("of", format!("{text:?}: {wanted}")))
        }
    }
}

/// Parses a limit: a number of targets, or a percentage such as `"10%"`.
fn parse_amount(section: &Section, key: &str) -> Result<Option<Amount>, HclError> {
    let Some(value) = section.value(key) else { return Ok(None) };
    if !matches!(value, Value::String(_)) {
        return Ok(section.integer(key, 0..=MAX_COUNT)?.map(|count| Amount::Count(count as u32)));
    }
    let text = section.string(key)?.unwrap_or_default();
    let percent = text.strip_suffix('%').and_then(|number| number.trim().parse().ok());
    match percent.filter(|percent| *percent <= MAX_PERCENT) {
        Some(percent) => Ok(Some(Amount::Percent(percent))),
        None => {
            Err(section
                .error(key, format!("{text:?} is not an amount; expected a number or \"0%\" to \"100%\"")))
        }
    }
}
