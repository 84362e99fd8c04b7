//! Set-up shared by the tests: the program as a child process, coordinators with scripted answers, stores from fixtures.

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
const FIXTURE_ROW: usize = 32;
static PROCESS_START: RwLock<()> = RwLock::new(());

/// How a scripted coordinator behaves.
pub enum Script {
    /// It accepts operators and answers by this function.
    Answers(Box<dyn Fn(&Operation) -> Response + Send>),
    /// It rejects whoever connects.
    Rejects(HandshakeRejection),
    /// Nobody listens at its address.
    Unreachable,
}

/// Coordinators 1, 2 and 3 of installation `north` with scripted answers, and a folder with their settings file.
pub struct Installation {
    folder: tempfile::TempDir,
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
        let installation = Installation { folder: tempfile::tempdir().unwrap(), addresses, requests };
        std::fs::write(installation.settings_file(), installation.settings()).unwrap();
        installation
    }

    /// None of the three is reached.
    pub fn unreachable() -> Installation {
        Installation::new([Script::Unreachable, Script::Unreachable, Script::Unreachable])
    }

    /// The first leads and answers by this function; the others are not reached.
    pub fn answered_by(answers: impl Fn(&Operation) -> Response + Send + 'static) -> Installation {
        Installation::new([Script::Answers(Box::new(answers)), Script::Unreachable, Script::Unreachable])
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
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
        // Its own listening address is one that is free: the scripted coordinator 2 may have the one above.
        let store = self.store();
        let _ = writeln!(
            text,
            "serve {{\n  keeper = 2\n  listen = \"127.0.0.1:0\"\n  store = \"{}\"\n}}",
            store.display()
        );
        text
    }

    /// Runs the program with the settings file and these arguments; the report names exit code and both streams, with what
    /// differs from run to run (ports, folders, the program's name) replaced.
    pub fn run(&self, arguments: &[&str]) -> String {
        let settings = self.settings_file();
        let mut all = arguments.to_vec();
        all.extend(["--config", settings.to_str().unwrap()]);
        let mut report = report(&run_program(&all));
        for (number, address) in &self.addresses {
            report = report.replace(&address.to_string(), &format!("ADDRESS-{number}"));
        }
        report.replace(&self.folder.path().display().to_string(), "FOLDER")
    }

    /// What was asked of the scripted coordinators so far, but for their status.
    pub fn requests(&self) -> Vec<(u64, Operation)> {
        let requests = self.requests.lock().unwrap();
        requests.iter().filter(|(_, operation)| *operation != Operation::Status).cloned().collect()
    }
}

/// Runs the program; without settings file.
pub fn run_program(arguments: &[&str]) -> Output {
    start_program(arguments).wait_with_output().unwrap()
}

/// Starts the program; without settings file.
pub fn start_program(arguments: &[&str]) -> Child {
    let mut process = Process::new(PROGRAM_PATH);
    process.args(arguments).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let _starting = PROCESS_START.write().unwrap();
    process.spawn().unwrap()
}

/// A process that starts has for a moment all files that are open here, and with them the locks on stores. Whoever opens a
/// store in the test's own process holds this meanwhile.
pub fn no_process_starts() -> RwLockReadGuard<'static, ()> {
    PROCESS_START.read().unwrap()
}

/// Exit code and both streams as text, without the program's own name.
pub fn report(output: &Output) -> String {
    let (stdout, stderr) = (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    let code = output.status.code().unwrap();
    format!("exit {code}\n--- stdout\n{stdout}--- stderr\n{stderr}")
        .replace(PROGRAM_NAME, "PROGRAM")
        .replace(env!("CARGO_PKG_VERSION"), "VERSION")
}

/// The address at which the coordinator answers from now on.
fn spawn_scripted(number: u8, script: Script, requests: Arc<Mutex<Vec<(u64, Operation)>>>) -> SocketAddr {
    if matches!(script, Script::Unreachable) {
        // Nobody listens at port 1.
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
                // One that goes away is of no concern; the next one is served.
                let _ = serve_one(number.into(), stream, &script, &requests).await;
            }
        });
    });
    address
}

async fn serve_one(
    number: u64,
    stream: tokio::net::TcpStream,
    script: &Script,
    requests: &Mutex<Vec<(u64, Operation)>>,
) -> Result<(), ConnectionError> {
    let (mut link, hello) = Connection::accept(stream).await?;
    let answers = match script {
        Script::Answers(answers) => answers,
        Script::Rejects(why) => return link.send_server_hello(&ServerHello::Rejected(why.clone())).await,
        Script::Unreachable => return Ok(()),
    };
    assert_eq!((hello.installation.as_str(), &hello.identity), ("north", &ClientIdentity::Operator));
    link.send_server_hello(&ServerHello::Accepted { name: format!("keeper {number}") }).await?;
    loop {
        let request: Request = link.receive().await?;
        requests.lock().unwrap().push((number, request.operation.clone()));
        link.send(&CoordinatorMessage::Response { id: request.id, response: answers(&request.operation) })
            .await?;
    }
}

/// Writes a snapshot that replaces the whole log.
pub fn write_snapshot(store: &Store, snapshot: &Snapshot) {
    let written = SnapshotWrite { snapshot, retained: RetainedLog::Nothing };
    store.write(&WriteBatch { snapshot: Some(written), ..WriteBatch::default() }).unwrap();
}

/// Writes the file of a fixture to `file`. Rows of zeros are left out of the fixture, and rows that are there several times in a
/// row are there once, with their number.
pub fn unpack_fixture(name: &str, file: &Path) {
    let text = std::fs::read_to_string(fixture_path(name)).unwrap();
    let mut lines = text.lines();
    let length: usize = lines.next().unwrap().strip_prefix("length ").unwrap().parse().unwrap();
    let mut bytes = vec![0; length];
    for line in lines {
        let (place, row) = line.split_once(' ').unwrap();
        let (offset, count) = place.split_once('*').unwrap_or((place, "1"));
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

/// The reverse of [`unpack_fixture`].
pub fn pack_fixture(name: &str, file: &Path) {
    let bytes = std::fs::read(file).unwrap();
    let mut text = format!("length {}\n", bytes.len());
    let rows: Vec<&[u8]> = bytes.chunks(FIXTURE_ROW).collect();
    let mut at = 0;
    while at < rows.len() {
        let count = rows[at..].iter().take_while(|row| **row == rows[at]).count();
        if rows[at].iter().any(|byte| *byte != 0) {
            let repeated = if count > 1 { format!("*{count}") } else { String::new() };
            let _ = writeln!(text, "{:x}{repeated} {}", at * FIXTURE_ROW, hex(rows[at]));
        }
        at += count;
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
