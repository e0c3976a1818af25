//! The hopmoor node: command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    match args.subcommand() {
        Ok(Some(command)) if command == "version" => {
            println!("hopmoor {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        _ => {
            eprintln!("usage: hopmoor version");
            ExitCode::from(2)
        }
    }
}
