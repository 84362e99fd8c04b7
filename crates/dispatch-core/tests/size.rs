//! The limits that keep the decision module readable, and the paths that the deployment names.

use std::path::Path;

/// The files of the decision module, by what the deployment says of them.
fn policy() -> Vec<(String, String)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let line = deploy.lines().find(|line| line.starts_with("policy = ")).expect("the key 'policy'");
    let list = line.split('#').next().unwrap_or_default();
    let named = list.split('"').skip(1).step_by(2);
    named.map(|file| (file.to_owned(), std::fs::read_to_string(root.join(file)).expect(file))).collect()
}

/// Lines of a file of the decision module that are not blank, at most.
const MAX_FILE_LINES: usize = 400;
/// Lines of one of its functions, at most.
const MAX_FUNCTION_LINES: usize = 50;
/// Columns of one of its lines, at most.
const MAX_COLUMNS: usize = 110;

/// Returns the first line of each function in a file that rustfmt has laid out, with the number of its lines.
fn functions(text: &str) -> Vec<(&str, usize)> {
    let lines: Vec<&str> = text.lines().collect();
    let mut functions = Vec::new();
    for (start, line) in lines.iter().enumerate() {
        let code = line.trim_start();
        // At most a visibility and one more keyword stand before.
        let is_function = code.split_whitespace().take(3).any(|word| word == "fn");
        if !is_function || code.starts_with("//") {
            continue;
        }
        let indent = &line[..line.len() - code.len()];
        let last_line = format!("{indent}}}");
        let length = lines[start..].iter().position(|line| *line == last_line);
        functions.push((code, length.expect("the end of the function") + 1));
    }
    functions
}

#[test]
fn the_decision_module_is_short_and_narrow() {
    let files = policy();
    for (file, text) in &files {
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(lines <= MAX_FILE_LINES, "{file}: {lines} lines that are not blank");
        let functions = functions(text);
        assert!(!functions.is_empty(), "{file}: no function was seen");
        for (function, lines) in functions {
            assert!(lines <= MAX_FUNCTION_LINES, "{file}: {lines} lines of {function}");
        }
    }
    let text = files.iter().flat_map(|(_, text)| text.lines());
    let wide: Vec<&str> = text.filter(|line| line.chars().count() > MAX_COLUMNS).collect();
    assert!(wide.is_empty(), "wider than {MAX_COLUMNS} columns: {wide:?}");
}

#[test]
fn every_file_of_the_module_is_named_for_the_deployment() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/policy");
    let named: Vec<String> = policy().into_iter().map(|(file, _)| file).collect();
    for entry in std::fs::read_dir(folder).expect("the folder of the module") {
        let file = entry.expect("a file").file_name().into_string().expect("a plain name");
        let path = format!("crates/dispatch-core/src/policy/{file}");
        assert!(named.contains(&path), "{path} is missing in deploy/balancer.toml");
    }
}

#[test]
fn every_path_of_the_dispatcher_in_the_deployment_exists() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let line = deploy.lines().find(|line| line.starts_with("node = ")).expect("the key 'node'");
    let paths: Vec<&str> = line.split('"').skip(1).step_by(2).collect();
    assert!(!paths.is_empty(), "no path in {line}");
    for path in paths {
        assert!(root.join(path).exists(), "deploy/balancer.toml names {path}, which does not exist");
    }
}
