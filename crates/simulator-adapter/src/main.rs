//! Hosts dispatchers for a simulator: batches on standard input, replies on standard output.

use std::io;
use std::process::ExitCode;

use simulator_adapter::Host;

/// Size of the input buffer in bytes. Batches may be large, and a large buffer saves system calls.
const INPUT_BUFFER_BYTES: usize = 1 << 18;

fn main() -> ExitCode {
    let input = io::BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    match Host::default().serve(input, io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
