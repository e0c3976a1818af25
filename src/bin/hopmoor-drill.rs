//! The adapter: batches of events on standard input, one reply a batch on standard output.

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut input = io::stdin().lock();
    let mut output = io::BufWriter::new(io::stdout().lock());
    let mut host = hopmoor::drill::Adapter::default();
    let mut line = Vec::new();
    for number in 1u64.. {
        line.clear();
        match input.read_until(b'\n', &mut line) {
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) if line.iter().all(u8::is_ascii_whitespace) => continue,
            Ok(_) => {}
            Err(error) => return stop(number, &error),
        }
        let reply = match host.batch(&line) {
            Ok(reply) => reply,
            Err(error) => return stop(number, &error),
        };
        if let Err(error) = output
            .write_all(reply.as_bytes())
            .and_then(|()| output.write_all(b"\n"))
            .and_then(|()| output.flush())
        {
            return stop(number, &error);
        }
    }
    ExitCode::SUCCESS
}

fn stop(line: u64, what: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("hopmoor-drill: line {line}: {what}");
    ExitCode::FAILURE
}
