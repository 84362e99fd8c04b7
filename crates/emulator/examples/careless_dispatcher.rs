//! A dispatcher with injected bugs, which a run over sockets must detect: it ignores discovery and sends nothing to any
//! worker. A request with an even id gets an invented result; one with an odd id gets no response in time.

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

fn main() -> std::io::Result<()> {
    // Takes the arguments of the dispatcher program: serve --config FILE.
    let config_file = std::env::args().nth(3).unwrap_or_default();
    let config: serde_json::Value = serde_json::from_slice(&std::fs::read(config_file)?)?;
    let listener = TcpListener::bind(config["listen"].as_str().unwrap_or_default())?;
    for stream in listener.incoming() {
        let stream = stream?;
        std::thread::spawn(move || serve(stream));
    }
    Ok(())
}

fn serve(mut stream: TcpStream) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let (mut request_line, mut id) = (String::new(), String::new());
        if reader.read_line(&mut request_line)? == 0 {
            return Ok(());
        }
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            match line.trim_end().split_once(": ") {
                Some(("Request-Id", value)) => id = value.to_owned(),
                Some(_) => {}
                None => break,
            }
        }
        if id.ends_with(['1', '3', '5', '7', '9', 'b', 'd', 'f']) {
            std::thread::sleep(Duration::from_secs(30));
        }
        let body =
            if request_line.contains("/healthz") { "ready".to_owned() } else { format!("{id} made up") };
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
    }
}
