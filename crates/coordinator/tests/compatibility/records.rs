//! Records that `serve --record` appends, which the checkers of the emulator read. Also tests that SIGTERM ends the
//! program with exit code 0.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::Child;
use std::time::{Duration, Instant};

use cluster_member::wire::{
    ClientHello, ClientIdentity, Connection, CoordinatorMessage, Operation, Request, Response, SCHEMA_VERSION,
};
use coordination::{LeaseId, SessionId};

use crate::support::{report, run_program, start_program};

/// Timeout of electing a leader and of granting a lease.
const TIMEOUT: Duration = Duration::from_secs(30);
const LEADERSHIP_LOST: &str = r#"{"t":0,"kind":"leads","term":null}"#;
const RENEWAL_INTERVAL: Duration = Duration::from_millis(200);

/// Three replicas as processes, each with a file of records.
struct ReplicaProcesses {
    directory: tempfile::TempDir,
    addresses: [SocketAddr; 3],
    processes: Vec<Child>,
}

impl ReplicaProcesses {
    fn start() -> ReplicaProcesses {
        let directory = tempfile::tempdir().unwrap();
        let listeners = [0; 3].map(|_| TcpListener::bind("127.0.0.1:0").unwrap());
        let addresses = listeners.map(|listener| listener.local_addr().unwrap());
        let mut replicas = ReplicaProcesses { directory, addresses, processes: Vec::new() };
        for number in 1..=3 {
            let settings = replicas.write_settings(number);
            let settings = settings.to_str().unwrap();
            let bootstrap = run_program(&["bootstrap", "--config", settings]);
            assert!(bootstrap.status.success(), "{}", report(&bootstrap));
            let records = replicas.records_file(number);
            let arguments = ["serve", "--log", "error", "--config", settings, "--record"];
            let process = start_program(&[&arguments[..], &[records.to_str().unwrap()]].concat());
            replicas.processes.push(process);
        }
        replicas
    }

    fn write_settings(&self, number: usize) -> std::path::PathBuf {
        let mut text = String::from("installation = \"north\"\n");
        for (other, address) in (1..).zip(self.addresses) {
            text += &format!("keeper \"{other}\" {{\n  address = \"{address}\"\n}}\n");
        }
        let store = self.directory.path().join(format!("store-{number}"));
        text += &format!("serve {{\n  keeper = {number}\n  store = \"{}\"\n}}\n", store.display());
        let file = self.directory.path().join(format!("keeper-{number}.hcl"));
        std::fs::write(&file, text).unwrap();
        file
    }

    fn records_file(&self, number: usize) -> std::path::PathBuf {
        self.directory.path().join(format!("records-{number}.jsonl"))
    }

    /// Stops all replicas by SIGTERM, and returns the records of all.
    fn stop(mut self) -> String {
        for process in &mut self.processes {
            let pid = process.id().to_string();
            assert!(std::process::Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
            assert_eq!(process.wait().unwrap().code(), Some(0));
        }
        (1..=3).map(|number| std::fs::read_to_string(self.records_file(number)).unwrap()).collect()
    }
}

/// Session of a member with the leader.
struct Member {
    connection: Connection,
    session: SessionId,
}

async fn call(connection: &mut Connection, operation: Operation) -> Option<Response> {
    connection.send(&Request { id: 1, operation }).await.ok()?;
    loop {
        if let CoordinatorMessage::Response { response, .. } = connection.receive().await.ok()? {
            return Some(response);
        }
    }
}

impl Member {
    async fn join(addresses: &[SocketAddr]) -> Member {
        let identity = ClientIdentity::Member { name: "berlin".to_owned() };
        let hello =
            ClientHello { schema_version: SCHEMA_VERSION, installation: "north".to_owned(), identity };
        let deadline = Instant::now() + TIMEOUT;
        for address in addresses.iter().cycle() {
            assert!(Instant::now() < deadline, "no replica leads");
            tokio::time::sleep(Duration::from_millis(50)).await;
            let Ok((mut connection, _)) = Connection::connect(*address, None, &hello).await else { continue };
            let operation = Operation::OpenSession {
                name: "berlin".to_owned(),
                boot_id: 7,
                zone: "east".to_owned(),
                address: "192.0.2.41:7200".to_owned(),
                eligible_leases: vec![LeaseId::fleet("list")],
            };
            if let Some(Response::SessionOpened { session, .. }) = call(&mut connection, operation).await {
                return Member { connection, session };
            }
        }
        unreachable!()
    }

    /// Renews the session until a lease was granted according to the records, then closes it.
    async fn hold_until_granted(mut self, records: &[std::path::PathBuf]) {
        let deadline = Instant::now() + TIMEOUT;
        while !records.iter().any(|file| has_grant(file)) {
            assert!(Instant::now() < deadline, "no lease was granted");
            let operation =
                Operation::RenewSession { session: self.session, known_view: u64::MAX, known_members: None };
            call(&mut self.connection, operation).await;
            tokio::time::sleep(RENEWAL_INTERVAL).await;
        }
        let closed = call(&mut self.connection, Operation::CloseSession { session: self.session }).await;
        assert_eq!(closed, Some(Response::Done));
    }
}

fn has_grant(records: &Path) -> bool {
    std::fs::read_to_string(records).is_ok_and(|text| text.contains("\"granted\""))
}

/// Returns the distinct lines in order, with each number replaced by 0.
fn forms(records: &str) -> String {
    let form = |line: &str| {
        let mut form = String::new();
        for character in line.chars() {
            let digit = character.is_ascii_digit();
            if !digit || !form.ends_with('0') {
                form.push(if digit { '0' } else { character });
            }
        }
        form
    };
    let mut forms: BTreeSet<String> = records.lines().map(form).collect();
    // Whether the last leader records its loss of the leadership depends on the order in which the replicas stop.
    forms.remove(LEADERSHIP_LOST);
    forms.into_iter().collect::<Vec<String>>().join("\n")
}

#[test]
fn records_of_three_replicas_and_a_member() {
    let replicas = ReplicaProcesses::start();
    let files: Vec<std::path::PathBuf> = (1..=3).map(|number| replicas.records_file(number)).collect();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let member = Member::join(&replicas.addresses).await;
        member.hold_until_granted(&files).await;
    });
    insta::assert_snapshot!("forms", forms(&replicas.stop()));
}
