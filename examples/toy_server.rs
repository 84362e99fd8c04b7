//! A minimal environment to try the dispatcher with: two workers, and a discovery service that lists them, in one process.
//!
//! Run it with `cargo run --example toy_server`, and in another terminal
//! `cargo run --bin dispatcher -- serve --config examples/config.json`. Then submit a job:
//!
//! ```sh
//! curl -i http://127.0.0.1:7070/lookup -H 'Request-Id: 1' -H 'Tenant: web' -d 'which sofas?'
//! ```
//!
//! Each worker runs one job at a time, for 200 ms, and reports its start.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Names and addresses of the workers.
const WORKERS: [(&str, &str); 2] = [("toy-1", "127.0.0.1:9101"), ("toy-2", "127.0.0.1:9102")];
/// Address of discovery.
const DISCOVERY: &str = "127.0.0.1:8500";
/// Running time of a job.
const JOB_RUN_TIME: Duration = Duration::from_millis(200);

fn main() -> std::io::Result<()> {
    for (name, address) in WORKERS {
        let one_at_a_time = Arc::new(Mutex::new(()));
        listen(address, move |stream| worker(name, &one_at_a_time, stream))?;
    }
    listen(DISCOVERY, discovery)?;
    println!("workers on {WORKERS:?}, discovery on {DISCOVERY}; press Ctrl-C to stop");
    loop {
        thread::park();
    }
}

/// Serves each connection of an address on a thread of its own.
fn listen<F>(address: &str, serve: F) -> std::io::Result<()>
where
    F: Fn(TcpStream) -> std::io::Result<()> + Clone + Send + 'static,
{
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            // An error ends only this connection; the peer must handle it.
            thread::spawn(move || serve(stream));
        }
    });
    Ok(())
}

/// Reads the head of a request: its first line, its id and the length of its body. Returns `None` at the end of the
/// connection.
fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<(String, String, usize)>> {
    let (mut first, mut id, mut length) = (String::new(), String::new(), 0);
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        match line.trim_end().split_once(": ") {
            Some((name, value)) if name.eq_ignore_ascii_case("request-id") => id = value.to_owned(),
            Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                length = value.parse().unwrap_or(0);
            }
            Some(_) => {}
            None => return Ok(Some((first, id, length))),
        }
    }
}

/// Writes a line as one chunk of a body.
fn write_chunk(mut out: impl Write, line: &str) -> std::io::Result<()> {
    out.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())
}

/// Head of a response whose body is a stream of lines.
const STREAM_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Runs the jobs that arrive on one connection to a worker.
fn worker(name: &str, one_at_a_time: &Mutex<()>, mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some((first, id, length)) = read_head(&mut reader)? {
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        stream.write_all(STREAM_HEAD)?;
        let running = one_at_a_time.lock();
        write_chunk(&stream, &format!(r#"{{"id":"{id}","from":"{name}","state":"started"}}"#))?;
        thread::sleep(JOB_RUN_TIME);
        drop(running);
        let job = first.split(' ').nth(1).unwrap_or("").replace(['"', '\\'], "");
        let result = format!("{name} did {job} with {length} bytes");
        write_chunk(
            &stream,
            &format!(r#"{{"id":"{id}","from":"{name}","state":"done","result":"{result}"}}"#),
        )?;
        stream.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}

/// Sends the list of both workers, and then an empty line every 2 s to report that nothing changed.
fn discovery(mut stream: TcpStream) -> std::io::Result<()> {
    read_head(&mut BufReader::new(stream.try_clone()?))?;
    let members = WORKERS.map(|(id, address)| {
        format!(
            r#"{{"id":"{id}","host_port":"{address}","locality":"north","flavor":"small","cell":0,"phase":"in_service","size":1.0,"up_since_ms":0}}"#
        )
    });
    stream.write_all(STREAM_HEAD)?;
    let line = format!(r#"{{"revision":2,"complete":true,"members":[{}]}}"#, members.join(","));
    write_chunk(&stream, &line)?;
    loop {
        thread::sleep(Duration::from_secs(2));
        write_chunk(&stream, "")?;
    }
}
