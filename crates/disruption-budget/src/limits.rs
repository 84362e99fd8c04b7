//! Limits on the size of the disruption state.

use crate::Rejection;

/// Maximum number of targets in the state.
pub const MAX_TARGETS: usize = 4_096;
/// Maximum number of open permits.
pub const MAX_OPEN_PERMITS: usize = 1_024;
/// Maximum number of budgets.
pub const MAX_BUDGETS: usize = 64;
/// Maximum length of a name, a zone, a pool or a reason, in bytes.
pub const MAX_TEXT_BYTES: usize = 256;

/// Checks the length of texts that will be stored.
pub(crate) fn check_text_length(texts: &[&str]) -> Result<(), Rejection> {
    if texts.iter().any(|text| text.len() > MAX_TEXT_BYTES) {
        return Err(Rejection::LimitExceeded(format!("a text is longer than {MAX_TEXT_BYTES} bytes")));
    }
    Ok(())
}
