//! Set-up shared by the tests: the program as a child process, replicas with scripted responses, stores from fixtures.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command as Process, Output, Stdio};
use std::sync::{Arc, Mutex, RwLock, RwLockReadGuard};

use cluster_member::wire::{
    ClientIdentity, Connection, ConnectionError, CoordinatorMessage, HandshakeRejection, Operation, Request,
    Response, ServerHello,
};
use coordinator::store::{RetainedLog, SnapshotWrite, Store, WriteBatch};
use raft::eraftpb::Snapshot;

const PROGRAM_PATH: &str = env!("CARGO_BIN_EXE_coordinator");
const PROGRAM_NAME: &str = env!("CARGO_PKG_NAME");
/// Bytes in one row of a fixture.
const FIXTURE_ROW: usize = 32;
/// Held for writing while a child process starts. See [`no_process_starts`].
static PROCESS_START: RwLock<()> = RwLock::new(());

/// Behavior of a scripted replica.
pub enum Script {
    /// Accepts operators and sends the responses that this function returns.
    Responds(Box<dyn Fn(&Operation) -> Response + Send>),
    /// Rejects every handshake.
    Rejects(HandshakeRejection),
    /// Does not listen at its address, so that connections are refused.
    Unreachable,
}

/// Replicas 1, 2 and 3 of installation `north` with scripted responses, and a directory with their settings file.
pub struct Installation {
    directory: tempfile::TempDir,
    addresses: BTreeMap<u64, SocketAddr>,
    requests: Arc<Mutex<Vec<(u64, Operation)>>>,
}

impl Installation {
    pub fn new(scripts: [Script; 3]) -> Installation {
        let requests = Arc::new(Mutex::new(Vec::new()));
        let mut addresses = BTreeMap::new();
        for (number, script) in (1u8..).zip(scripts) {
            addresses.insert(u64::from(number), spawn_scripted(number, script, requests.clone()));
        }
        let installation = Installation { directory: tempfile::tempdir().unwrap(), addresses, requests };
        std::fs::write(installation.settings_file(), installation.settings()).unwrap();
        installation
    }

    /// Creates an installation without a reachable replica.
    pub fn unreachable() -> Installation {
        Installation::new([Script::Unreachable, Script::Unreachable, Script::Unreachable])
    }

    /// Creates an installation in which replica 1 sends the responses of this function, and the others are unreachable.
    pub fn with_responses(responses: impl Fn(&Operation) -> Response + Send + 'static) -> Installation {
        Installation::new([Script::Responds(Box::new(responses)), Script::Unreachable, Script::Unreachable])
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    pub fn settings_file(&self) -> PathBuf {
        self.path("keeper.hcl")
    }

    pub fn store(&self) -> PathBuf {
        self.path("store")
    }

    fn settings(&self) -> String {
        let mut text = String::from("installation = \"north\"\n");
        for (number, address) in &self.addresses {
            let _ = writeln!(text, "keeper \"{number}\" {{\n  address = \"{address}\"\n}}");
        }
        // The program listens at a free port, because the scripted replica 2 may listen at the address above.
        let store = self.store();
        let _ = writeln!(
            text,
            "serve {{\n  keeper = 2\n  listen = \"127.0.0.1:0\"\n  store = \"{}\"\n}}",
            store.display()
        );
        text
    }

    /// Runs the program with the settings file and these arguments. Returns exit code and both streams; ports,
    /// directories and the name of the program, which differ between runs, are replaced by placeholders.
    pub fn run(&self, arguments: &[&str]) -> String {
        let settings = self.settings_file();
        let mut all = arguments.to_vec();
        all.extend(["--config", settings.to_str().unwrap()]);
        let mut report = report(&run_program(&all));
        for (number, address) in &self.addresses {
            report = report.replace(&address.to_string(), &format!("ADDRESS-{number}"));
        }
        report.replace(&self.directory.path().display().to_string(), "FOLDER")
    }

    /// Returns the operations that the scripted replicas received so far, except status requests.
    pub fn requests(&self) -> Vec<(u64, Operation)> {
        let requests = self.requests.lock().unwrap();
        requests.iter().filter(|(_, operation)| *operation != Operation::Status).cloned().collect()
    }
}

/// Runs the program without a settings file.
pub fn run_program(arguments: &[&str]) -> Output {
    start_program(arguments).wait_with_output().unwrap()
}

/// Starts the program without a settings file.
pub fn start_program(arguments: &[&str]) -> Child {
    let mut process = Process::new(PROGRAM_PATH);
    process.args(arguments).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let _starting = PROCESS_START.write().unwrap();
    process.spawn().unwrap()
}

/// Returns a guard that keeps this test process from starting children. A test holds it while it has a store open: a
/// child that starts inherits all open files for a moment, and with them the lock on the store.
pub fn no_process_starts() -> RwLockReadGuard<'static, ()> {
    PROCESS_START.read().unwrap()
}

/// Formats exit code and both streams; name and version of the program are replaced by placeholders.
pub fn report(output: &Output) -> String {
    let (stdout, stderr) = (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    let code = output.status.code().unwrap();
    format!("exit {code}\n--- stdout\n{stdout}--- stderr\n{stderr}")
        .replace(PROGRAM_NAME, "PROGRAM")
        .replace(env!("CARGO_PKG_VERSION"), "VERSION")
}

/// Starts a scripted replica and returns its address.
fn spawn_scripted(number: u8, script: Script, requests: Arc<Mutex<Vec<(u64, Operation)>>>) -> SocketAddr {
    if matches!(script, Script::Unreachable) {
        // No process listens at port 1, so connections to it are refused.
        return SocketAddr::from(([127, 0, 0, number], 1));
    }
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    listener.set_nonblocking(true).unwrap();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async move {
            let listener = tokio::net::TcpListener::from_std(listener).unwrap();
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                // A connection that fails is ignored, and the next one is accepted.
                let _ = serve_connection(number.into(), stream, &script, &requests).await;
            }
        });
    });
    address
}

async fn serve_connection(
    number: u64,
    stream: tokio::net::TcpStream,
    script: &Script,
    requests: &Mutex<Vec<(u64, Operation)>>,
) -> Result<(), ConnectionError> {
    let (mut link, hello) = Connection::accept(stream).await?;
    let responses = match script {
        Script::Responds(responses) => responses,
        Script::Rejects(reason) => {
            return link.send_server_hello(&ServerHello::Rejected(reason.clone())).await;
        }
        Script::Unreachable => return Ok(()),
    };
    assert_eq!((hello.installation.as_str(), &hello.identity), ("north", &ClientIdentity::Operator));
    link.send_server_hello(&ServerHello::Accepted { name: format!("keeper {number}") }).await?;
    loop {
        let request: Request = link.receive().await?;
        requests.lock().unwrap().push((number, request.operation.clone()));
        link.send(&CoordinatorMessage::Response { id: request.id, response: responses(&request.operation) })
            .await?;
    }
}

/// Writes a snapshot that replaces the whole log.
pub fn write_snapshot(store: &Store, snapshot: &Snapshot) {
    let written = SnapshotWrite { snapshot, retained: RetainedLog::Nothing };
    store.write(&WriteBatch { snapshot: Some(written), ..WriteBatch::default() }).unwrap();
}

/// Unpacks a fixture to `file`. A fixture omits rows of zeros, and has equal consecutive rows once, with their count.
pub fn unpack_fixture(name: &str, file: &Path) {
    let text = std::fs::read_to_string(fixture_path(name)).unwrap();
    let mut lines = text.lines();
    let length: usize = lines.next().unwrap().strip_prefix("length ").unwrap().parse().unwrap();
    let mut bytes = vec![0; length];
    for line in lines {
        let (position, row) = line.split_once(' ').unwrap();
        let (offset, count) = position.split_once('*').unwrap_or((position, "1"));
        let (mut offset, count) = (usize::from_str_radix(offset, 16).unwrap(), count.parse().unwrap());
        let row = unhex(row);
        for _ in 0..count {
            bytes[offset..offset + row.len()].copy_from_slice(&row);
            offset += row.len();
        }
    }
    std::fs::create_dir_all(file.parent().unwrap()).unwrap();
    std::fs::write(file, bytes).unwrap();
}

/// Packs `file` into a fixture, as [`unpack_fixture`] expects it.
pub fn pack_fixture(name: &str, file: &Path) {
    let bytes = std::fs::read(file).unwrap();
    let mut text = format!("length {}\n", bytes.len());
    let rows: Vec<&[u8]> = bytes.chunks(FIXTURE_ROW).collect();
    let mut index = 0;
    while index < rows.len() {
        let count = rows[index..].iter().take_while(|row| **row == rows[index]).count();
        if rows[index].iter().any(|byte| *byte != 0) {
            let repeated = if count > 1 { format!("*{count}") } else { String::new() };
            let _ = writeln!(text, "{:x}{repeated} {}", index * FIXTURE_ROW, hex(rows[index]));
        }
        index += count;
    }
    std::fs::write(fixture_path(name), text).unwrap();
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).unwrap());
    digits.map(|pair| u8::from_str_radix(pair, 16).unwrap()).collect()
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn fixture_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/compatibility/fixtures").join(name)
}
