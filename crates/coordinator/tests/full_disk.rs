//! A keeper's store on a disk that is full: a child process writes under a bound on the size of its files until it fails;
//! what it was told is on the disk has to be there afterwards, and the store has to go on.

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
    let hard = HardState { term: 2, vote: 1, commit: index, ..HardState::default() };
    store
        .write(&WriteBatch { hard_state: Some(&hard), entries: &[entry(index)], ..WriteBatch::default() })
        .is_ok()
}

/// What stands in the store: the last entry, after all before it; and how often it was started.
fn last(store: &Path) -> (u64, u64) {
    let (opened, recovered) = Store::open(store, "test", 1).unwrap();
    for (entry, index) in recovered.entries.iter().zip(2..) {
        assert_eq!(*entry, self::entry(index));
    }
    assert_eq!(recovered.hard_state.commit, recovered.entries.last().map_or(0, |entry| entry.index));
    drop(opened);
    (recovered.hard_state.commit, recovered.identity.start_count)
}

/// Not a test of its own: the process that writes so many entries, says of each that it is on the disk, and is killed; or
/// until it fails, and ends as a keeper does.
#[test]
fn child() {
    let Ok(store) = std::env::var(STORE) else { return };
    let count: u64 = std::env::var(COUNT).unwrap().parse().unwrap();
    let Ok((opened, recovered)) = Store::open(Path::new(&store), "test", 1) else { return };
    println!("boots {}", recovered.identity.start_count);
    let next = recovered.entries.last().map_or(2, |entry| entry.index + 1);
    for index in next..next + count {
        if !write(&opened, index) {
            return;
        }
        println!("written {index}");
    }
    std::process::abort();
}

/// What a child said last of entries and of starts.
fn run(store: &Path, count: u64, blocks: Option<u32>) -> (Option<u64>, Option<u64>) {
    let limit = blocks.map_or(String::new(), |blocks| format!("ulimit -f {blocks};"));
    let script = format!("trap '' XFSZ; ulimit -c 0; {limit} exec \"$0\" \"$@\"");
    let child = Command::new("/bin/sh")
        .args(["-c", &script])
        .arg(std::env::current_exe().unwrap())
        .args(["--exact", "child", "--nocapture"])
        .envs([(STORE, store.as_os_str()), (COUNT, count.to_string().as_ref())])
        .output()
        .unwrap();
    let said = String::from_utf8_lossy(&child.stdout);
    let told = |what: &str| {
        said.lines().filter_map(|line| line.split_once(what)?.1.trim().parse::<u64>().ok()).next_back()
    };
    (told("written "), told("boots "))
}

#[test]
fn store_keeps_acknowledged_writes_when_the_disk_is_full() {
    let mut failed = 0;
    for blocks in (8..4_200).step_by(131).chain([256, 300, 40, 64]) {
        let dir = tempfile::tempdir().unwrap();
        let store = dir.path().join("store");
        bootstrap(&store, "test", 1, &[1, 2, 3], 1, 7).unwrap();
        assert_eq!(run(&store, 118, None), (Some(119), Some(1)));
        let (written, boots) = run(&store, 300, Some(blocks));
        let (written, boots) = (written.unwrap_or(119), boots.unwrap_or(1));
        failed += u64::from(written < 419);
        // At least what was said; what was cut short may be there too.
        let (first, started) = last(&store);
        assert!(
            first == written || first == written + 1,
            "{blocks} blocks: {first} after {written} were said"
        );
        assert!(started > boots, "{blocks} blocks: a start is forgotten");
        assert_eq!(run(&store, 200, None).0, Some(first + 200), "{blocks} blocks");
        assert_eq!(last(&store).0, first + 200, "{blocks} blocks");
    }
    assert!(failed > 10, "the disk was hardly ever full: {failed}");
}
