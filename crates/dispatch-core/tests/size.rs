//! The limits that keep the decision module readable.

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

#[test]
fn the_decision_module_is_short_and_narrow() {
    let files = policy();
    let text = files.iter().flat_map(|(_, text)| text.lines());
    let lines = text.clone().filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= 950, "{lines} lines that are not blank");
    let wide: Vec<&str> = text.filter(|line| line.chars().count() > 110).collect();
    assert!(wide.is_empty(), "wider than 110 columns: {wide:?}");
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
