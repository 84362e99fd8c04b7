//! Store of a replica on a full disk. A child process writes under a limit on its file size (`ulimit -f`) until a write
//! fails. Afterwards, every write that the store acknowledged must be there, and the store must accept new writes.

use std::path::Path;
use std::process::Command;

use coordinator::store::{bootstrap, Store, WriteBatch};
use raft::eraftpb::{Entry, HardState};

const STORE: &str = "CAIRNCRANK_TEST_STORE";
const COUNT: &str = "CAIRNCRANK_TEST_COUNT";

fn entry(index: u64) -> Entry {
    Entry { index, term: 2, data: vec![index as u8; 60 + (index % 200) as usize].into(), ..Entry::default() }
}

fn write(store: &Store, index: u64) -> bool {
    let hard_state = HardState { term: 2, vote: 1, commit: index, ..HardState::default() };
    store
        .write(&WriteBatch {
            hard_state: Some(&hard_state),
            entries: &[entry(index)],
            ..WriteBatch::default()
        })
        .is_ok()
}

/// Opens the store, checks all entries, and returns the index of the last entry and the start count.
fn last_entry_and_starts(store: &Path) -> (u64, u64) {
    let (opened, recovered) = Store::open(store, "test", 1).unwrap();
    for (entry, index) in recovered.entries.iter().zip(2..) {
        assert_eq!(*entry, self::entry(index));
    }
    assert_eq!(recovered.hard_state.commit, recovered.entries.last().map_or(0, |entry| entry.index));
    drop(opened);
    (recovered.hard_state.commit, recovered.identity.start_count)
}

/// Child process of the test below; does nothing in a normal test run. It writes `COUNT` entries, prints the index of
/// each one that the store acknowledged, and aborts as if killed. If a write fails it exits, as a replica does.
#[test]
fn child() {
    let Ok(store) = std::env::var(STORE) else { return };
    let count: u64 = std::env::var(COUNT).unwrap().parse().unwrap();
    let Ok((opened, recovered)) = Store::open(Path::new(&store), "test", 1) else { return };
    println!("starts {}", recovered.identity.start_count);
    let next = recovered.entries.last().map_or(2, |entry| entry.index + 1);
    for index in next..next + count {
        if !write(&opened, index) {
            return;
        }
        println!("written {index}");
    }
    std::process::abort();
}

/// Runs the child with a limit of this many `ulimit` blocks on its file size. Returns the last acknowledged entry and
/// the start count that it printed.
fn run_child(store: &Path, count: u64, blocks: Option<u32>) -> (Option<u64>, Option<u64>) {
    let limit = blocks.map_or(String::new(), |blocks| format!("ulimit -f {blocks};"));
    let script = format!("trap '' XFSZ; ulimit -c 0; {limit} exec \"$0\" \"$@\"");
    let child = Command::new("/bin/sh")
        .args(["-c", &script])
        .arg(std::env::current_exe().unwrap())
        .args(["--exact", "child", "--nocapture"])
        .envs([(STORE, store.as_os_str()), (COUNT, count.to_string().as_ref())])
        .output()
        .unwrap();
    let stdout = String::from_utf8_lossy(&child.stdout);
    let last_number = |prefix: &str| {
        stdout.lines().filter_map(|line| line.split_once(prefix)?.1.trim().parse::<u64>().ok()).next_back()
    };
    (last_number("written "), last_number("starts "))
}

#[test]
fn store_keeps_acknowledged_writes_when_the_disk_is_full() {
    let mut full_disks = 0;
    for blocks in (8..4_200).step_by(131).chain([256, 300, 40, 64]) {
        let dir = tempfile::tempdir().unwrap();
        let store = dir.path().join("store");
        bootstrap(&store, "test", 1, &[1, 2, 3], 1, 7).unwrap();
        assert_eq!(run_child(&store, 118, None), (Some(119), Some(1)));
        let (written, starts) = run_child(&store, 300, Some(blocks));
        let (written, starts) = (written.unwrap_or(119), starts.unwrap_or(1));
        full_disks += u64::from(written < 419);
        // All acknowledged entries must be there. The write that failed may be there too.
        let (last, start_count) = last_entry_and_starts(&store);
        assert!(
            last == written || last == written + 1,
            "{blocks} blocks: last entry {last}, last acknowledged entry {written}"
        );
        assert!(start_count > starts, "{blocks} blocks: a start was not counted");
        assert_eq!(run_child(&store, 200, None).0, Some(last + 200), "{blocks} blocks");
        assert_eq!(last_entry_and_starts(&store).0, last + 200, "{blocks} blocks");
    }
    assert!(full_disks > 10, "the disk was full in only {full_disks} runs");
}
