//! Settings file of a coordinator: parsing, and the errors of invalid settings.

use coordinator::config::parse;

const REPLICAS: &str = r#"
installation = "north"
keeper "1" {
  address = "127.0.0.1:7101"
}
keeper "2" {
  address = "127.0.0.1:7102"
}
keeper "3" {
  address = "127.0.0.1:7103"
}
"#;

fn error_text(more: &str) -> String {
    parse("keeper.hcl", &format!("{REPLICAS}{more}")).unwrap_err().to_string()
}

#[test]
fn parses_a_complete_configuration() {
    let more =
        "serve {\n  keeper = 2\n  store = \"var\"\n}\ntimes {\n  lease_ms = 2000\n}\nfirst_token = 50\n";
    let config = parse("keeper.hcl", &format!("{REPLICAS}{more}")).unwrap();
    let serve = config.serve.unwrap();
    assert_eq!((serve.replica_id, serve.listen.port(), config.first_token), (2, 7102, 50));
    assert_eq!((config.timing.lease_duration, config.timing.renewal_interval), (2_000_000, 400_000));
}

#[test]
fn errors_name_file_line_and_key() {
    let one_replica =
        parse("keeper.hcl", "installation = \"a\"\nkeeper \"1\" {\n  address = \"127.0.0.1:1\"\n}\n");
    assert!(one_replica.unwrap_err().to_string().contains("expected three or five replicas, found 1"));
    let times = error_text("times {\n  lease_ms = 1000\n}\n");
    assert!(times.contains("keeper.hcl:") && times.contains("renew_ms: conflicts with lease_ms"), "{times}");
    assert!(error_text("serve {\n  keeper = 4\n  store = \"var\"\n}\n")
        .contains("there is no block keeper \"4\""));
    assert!(error_text("serve {\n  keeper = 1\n}\n").contains("store"));
    assert!(error_text("sevre {\n}\n").contains("sevre"));
    let duplicate = error_text("keeper \"3\" {\n  address = \"127.0.0.1:1\"\n}\n");
    assert!(duplicate.contains("replica 3 is defined twice"), "{duplicate}");
    assert!(error_text("first_token = 0\n").contains("first_token"));
}
