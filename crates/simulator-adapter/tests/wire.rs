//! Tests of the protocol: replies to batches, and errors of malformed lines.

use std::io::Write as _;
use std::process::{Command, Stdio};

use simulator_adapter::{Host, HostError};

const INIT: &str = "INIT 7 azs=a,b balancers=1 zone=0 slot-no=0 discovery=push unknown.key=x \
    profiles.count=1 profiles.0.deadline-s=5.0 profiles.0.promise-s=0.5 profiles.0.idempotency=free \
    projects.count=1 projects.0.share=1.0 projects.0.quota-per-s=50.0 caps.send-cap=3 caps.retry-after=true \
    caps.max-retry-after-s=2.0 resolution-s=0.004";

fn serve(input: &str) -> Result<String, HostError> {
    let mut out = Vec::new();
    Host::default().serve(input.as_bytes(), &mut out)?;
    Ok(String::from_utf8(out).expect("replies are UTF-8"))
}

/// Returns a batch that starts an instance with two workers, and a second batch with these lines.
fn started(lines: &str) -> String {
    format!(
        "SYNC 10\nCONTEXT scheduler/0\n{INIT}\nREGISTER 0 2\nWORKER worker.a 0 1 - 0 0 SERVING\n\
         WORKER worker.b 0 1 6.5 1 0 SERVING\nFLEET SAVED 0 4\nEOF_BATCH\nSYNC 12\nCONTEXT scheduler/0\n{lines}\n\
         EOF_BATCH\n"
    )
}

#[test]
fn an_empty_batch_is_answered() {
    assert_eq!(serve("SYNC 8.41225\nEOF_BATCH\n").unwrap(), "OK\n");
}

#[test]
fn a_request_is_placed_and_served() {
    let text = started("KNOCK 868246382875076 1 4.5 0 0 - - 0");
    let reply = serve(&text).unwrap();
    let second = reply.split("OK\n").nth(1).unwrap();
    assert!(second.starts_with("ON_BEHALF scheduler/0\nPLACE 868246382875076 worker."), "{second}");
    let text = format!(
        "{text}SYNC 12.5\nCONTEXT scheduler/0\nUPDATE_OF 868246382875076 worker.a 1 0\n\
         UPDATE_OF 868246382875076 worker.a 9 0\nRESPONSE 868246382875076 0.5 worker.a 0 - 1 0 -\n\
         RESPONSE 868246382875076 0.5 worker.a 0 - 1 0 -\nEOF_BATCH\n"
    );
    assert!(serve(&text).unwrap().ends_with("OK\n"));
}

#[test]
fn a_removed_instance_can_be_started_again_in_the_same_batch() {
    let text = started(&format!(
        "KILL\n{INIT}\nFLEET SAVED 0 4\nKNOCK 5 1 4.5\nDEADLINE_HIT 3\nKILL\nKNOCK 6 1 4.5"
    ));
    let reply = serve(&text).unwrap();
    assert!(!reply.contains(" 6 "), "{reply}");
}

#[test]
fn a_list_number_can_be_reused_within_a_batch() {
    let text = started(
        "FLEET FULL 0 5\nREGISTER 0 1\nWORKER worker.c 0 1 - 0 0 SERVING\nFLEET FULL 0 6\nKNOCK 5 1 4.5 0 0",
    );
    assert!(serve(&text).unwrap().contains("PLACE 5 worker.c"));
}

#[test]
fn instances_in_separate_processes_take_the_same_actions() {
    let batches = |name: &str| started("KNOCK 5 1 4.5\nKNOCK 7 2 4.5 0 0 1.5").replace("scheduler/0", name);
    let actions =
        |reply: &str| reply.lines().filter(|line| *line != "OK").map(str::to_owned).collect::<Vec<_>>();
    let separate = [
        actions(&serve(&batches("scheduler/0")).unwrap()),
        actions(&serve(&batches("scheduler/1")).unwrap()),
    ]
    .concat();
    let joined = serve(&format!("{}{}", batches("scheduler/0"), batches("scheduler/1"))).unwrap();
    assert_eq!(separate, actions(&joined));
}

#[test]
fn errors_of_malformed_lines_name_the_expected_value() {
    for (line, expected) in [
        ("KNOCK x 1 2", "a request"),
        ("KNOCK 5 1 nan", "timeout"),
        ("RESPONSE 5 0.1 worker.a 0 - 2 0", "complete"),
        ("RESPONSE 5 0.1 worker.a 0 - 1 77", "an outcome"),
        ("FLEET SOME 0 1", "INCREMENTAL"),
        ("FLEET FULL 16 1", "list number"),
        ("REGISTER 99 1", "list number"),
        ("WHISPER 1 ***", "base64"),
        ("GIBBERISH 1", "an event"),
        ("SYNC 3", "an event"),
    ] {
        match serve(&started(line)) {
            Err(HostError::Malformed(malformed)) => {
                assert!(malformed.expected.contains(expected), "{line}: {malformed}");
                assert_eq!(malformed.line, 11, "{line}: {malformed}");
            }
            other => panic!("{line}: {other:?}"),
        }
    }
    for text in
        ["KNOCK 5 1 2\n", "SYNC 1\n", "SYNC soon\nEOF_BATCH\n", "SYNC 1\nREGISTER 0 1\nFLEET FULL 0 1\n"]
    {
        assert!(matches!(serve(text), Err(HostError::Malformed(_))), "{text}");
    }
}

/// The program replies to an empty batch and exits with success at the end of its input.
#[test]
fn the_program_replies_and_exits() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    child
        .stdin
        .take()
        .expect("standard input")
        .write_all(b"SYNC 1.5\nEOF_BATCH\n")
        .expect("the batch is written");
    let output = child.wait_with_output().expect("the program exits");
    assert_eq!((output.status.code(), output.stdout.as_slice()), (Some(0), &b"OK\n"[..]));
}
