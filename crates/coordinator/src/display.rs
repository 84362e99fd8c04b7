//! Formatting shared by messages to operators.

/// Formats the numbers of replicas as a list, or as "none".
pub(crate) fn replica_list(replicas: &[u64]) -> String {
    if replicas.is_empty() {
        return "none".to_owned();
    }
    let numbers: Vec<String> = replicas.iter().map(u64::to_string).collect();
    numbers.join(", ")
}
