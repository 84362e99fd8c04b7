//! Discovery's agent on the dispatcher's machine: answers with the list, and keeps watches open.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{chunk, Reader};
use crate::worker::Worker;

/// Interval of empty lines on a watch on which nothing changes.
const EMPTY_LINE_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which a watch looks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub host_port: SocketAddr,
    pub locality: String,
    pub cell: u32,
    pub phase: &'static str,
    pub up_since_ms: u64,
}

impl Entry {
    /// Returns the entry of a worker that has been in service for long.
    pub fn of(worker: &Worker, locality: &str) -> Entry {
        Entry {
            id: worker.name.clone(),
            host_port: worker.address,
            locality: locality.to_owned(),
            cell: worker.cell,
            phase: "in_service",
            up_since_ms: 0,
        }
    }

    fn json(&self) -> String {
        format!(
            "{{\"id\":\"{}\",\"host_port\":\"{}\",\"locality\":\"{}\",\"flavor\":\"gen2\",\"cell\":{},\"phase\":\"{}\",\
             \"size\":1.0,\"up_since_ms\":{}}}",
            self.id, self.host_port, self.locality, self.cell, self.phase, self.up_since_ms
        )
    }
}

/// The list, with one set of changed entries for each revision after the first.
struct List {
    first_revision: u64,
    members: Vec<Entry>,
    changes: Vec<Vec<Entry>>,
}

impl List {
    fn revision(&self) -> u64 {
        self.first_revision + self.changes.len() as u64
    }
}

/// An agent that listens.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<Mutex<List>>,
}

impl Discovery {
    pub fn start(members: Vec<Entry>) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let list = List { first_revision: 1, members, changes: Vec::new() };
        let discovery = Discovery { address: listener.local_addr()?, list: Arc::new(Mutex::new(list)) };
        let serving = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = serving.clone();
                std::thread::spawn(move || discovery.serve(stream));
            }
        });
        Ok(discovery)
    }

    /// Applies changed entries to the list; watches send them as one line.
    pub fn change(&self, changed: Vec<Entry>) {
        let Ok(mut list) = self.list.lock() else { return };
        for entry in &changed {
            list.members.retain(|member| member.id != entry.id);
            if entry.phase != "terminated" {
                list.members.push(entry.clone());
            }
        }
        list.changes.push(changed);
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::default();
        while let Ok(Some(request)) = reader.read(&mut stream) {
            let target = request.second_word();
            let written = match target.split_once("index=") {
                Some((_, index)) => self.watch(index.parse().unwrap_or(0), &mut stream),
                None => self.whole_list(&mut stream),
            };
            if written.is_err() {
                return;
            }
        }
    }

    fn whole_list(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        let body =
            self.list.lock().map(|list| line(list.revision(), true, &list.members)).unwrap_or_default();
        stream
            .write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).as_bytes())
    }

    /// Serves a watch until its connection ends.
    fn watch(&self, index: u64, stream: &mut TcpStream) -> std::io::Result<()> {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut sent = index;
        let mut last_line_at = Instant::now();
        loop {
            let lines = self.lines_after(sent);
            if let Some((revision, _)) = lines.last() {
                sent = *revision;
                last_line_at = Instant::now();
            }
            for (_, line) in lines {
                stream.write_all(&chunk(line.as_bytes()))?;
            }
            if last_line_at.elapsed() >= EMPTY_LINE_INTERVAL {
                last_line_at = Instant::now();
                stream.write_all(&chunk(b"\n"))?;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the lines after a revision, each with its own revision.
    fn lines_after(&self, revision: u64) -> Vec<(u64, String)> {
        let Ok(list) = self.list.lock() else { return Vec::new() };
        if revision < list.first_revision {
            return vec![(list.revision(), line(list.revision(), true, &list.members))];
        }
        let known = (revision - list.first_revision) as usize;
        let changes = list.changes.iter().enumerate().skip(known);
        let revision_of = |position: usize| list.first_revision + position as u64 + 1;
        changes.map(|(at, changed)| (revision_of(at), line(revision_of(at), false, changed))).collect()
    }
}

fn line(revision: u64, complete: bool, members: &[Entry]) -> String {
    let members: Vec<String> = members.iter().map(Entry::json).collect();
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{}]}}\n", members.join(","))
}
