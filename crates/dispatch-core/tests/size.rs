//! Tests of the size limits of the decision module's source, and of the source paths that `deploy/balancer.toml` lists.

use std::path::Path;

/// Returns path and text of each file of the decision module, as listed under `policy` in `deploy/balancer.toml`.
fn policy() -> Vec<(String, String)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let line = deploy.lines().find(|line| line.starts_with("policy = ")).expect("the key 'policy'");
    let list = line.split('#').next().unwrap_or_default();
    let named = list.split('"').skip(1).step_by(2);
    named.map(|file| (file.to_owned(), std::fs::read_to_string(root.join(file)).expect(file))).collect()
}

/// Maximum number of non-blank lines per file of the decision module.
const MAX_FILE_LINES: usize = 400;
/// Maximum number of lines per function of the decision module.
const MAX_FUNCTION_LINES: usize = 50;
/// Maximum number of columns per line of the decision module.
const MAX_COLUMNS: usize = 110;

/// Returns the first line and the number of lines of each function in a file that is formatted by rustfmt.
fn functions(text: &str) -> Vec<(&str, usize)> {
    let lines: Vec<&str> = text.lines().collect();
    let mut functions = Vec::new();
    for (start, line) in lines.iter().enumerate() {
        let code = line.trim_start();
        // At most a visibility and one more keyword precede `fn`.
        let is_function = code.split_whitespace().take(3).any(|word| word == "fn");
        if !is_function || code.starts_with("//") {
            continue;
        }
        let indent = &line[..line.len() - code.len()];
        let last_line = format!("{indent}}}");
        let length = lines[start..].iter().position(|line| *line == last_line);
        functions.push((code, length.expect("the function must have an end") + 1));
    }
    functions
}

#[test]
fn the_decision_module_keeps_its_size_limits() {
    let files = policy();
    for (file, text) in &files {
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(lines <= MAX_FILE_LINES, "{file}: {lines} non-blank lines");
        let functions = functions(text);
        assert!(!functions.is_empty(), "{file}: no function was found");
        for (function, lines) in functions {
            assert!(lines <= MAX_FUNCTION_LINES, "{file}: {lines} lines in {function}");
        }
    }
    let text = files.iter().flat_map(|(_, text)| text.lines());
    let wide: Vec<&str> = text.filter(|line| line.chars().count() > MAX_COLUMNS).collect();
    assert!(wide.is_empty(), "wider than {MAX_COLUMNS} columns: {wide:?}");
}

#[test]
fn every_file_of_the_decision_module_is_listed_in_the_deployment() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/policy");
    let named: Vec<String> = policy().into_iter().map(|(file, _)| file).collect();
    for entry in std::fs::read_dir(folder).expect("the folder of the module") {
        let file = entry.expect("a file").file_name().into_string().expect("a plain name");
        let path = format!("crates/dispatch-core/src/policy/{file}");
        assert!(named.contains(&path), "{path} is missing in deploy/balancer.toml");
    }
}

#[test]
fn every_listed_path_of_the_dispatcher_exists() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let line = deploy.lines().find(|line| line.starts_with("node = ")).expect("the key 'node'");
    let paths: Vec<&str> = line.split('"').skip(1).step_by(2).collect();
    assert!(!paths.is_empty(), "no path is listed in {line}");
    for path in paths {
        assert!(root.join(path).exists(), "deploy/balancer.toml lists {path}, which does not exist");
    }
}
