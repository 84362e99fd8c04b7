//! Hosts dispatchers on the text wire: batches on standard input, replies on standard output.

use std::io;
use std::process::ExitCode;

use simulator_adapter::Host;

/// Batches may be large; reading in big pieces saves system calls.
const BUFFER: usize = 1 << 18;

fn main() -> ExitCode {
    let input = io::BufReader::with_capacity(BUFFER, io::stdin().lock());
    match Host::default().serve(input, io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
