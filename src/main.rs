//! The hopmoor node: command line.

use hopmoor::net::{self, Speaks};
use hopmoor::{config, operator};
use std::path::PathBuf;
use std::process::ExitCode;

const USAGE: &str = "\
hopmoor: a broker for long-lived connections

usage: hopmoor COMMAND

commands:
  serve     run a node; it reads the file that NODE_CONFIG names
  check     read that file, say what is wrong with it, and end
  version   print the version
  help      print this

options:
  --config FILE   read this file instead of the one that NODE_CONFIG names
  --xmpp FILE     be an XMPP node, set up by this operator's file
";

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    let command = match args.subcommand() {
        Ok(Some(command)) => command,
        Ok(None) if args.contains(["-h", "--help"]) => "help".to_owned(),
        Ok(None) if args.contains(["-V", "--version"]) => "version".to_owned(),
        Ok(None) => return usage("no command"),
        Err(error) => return usage(&error.to_string()),
    };
    let file: Option<PathBuf> = match args.opt_value_from_str("--config") {
        Ok(file) => file,
        Err(error) => return usage(&error.to_string()),
    };
    let xmpp: Option<PathBuf> = match args.opt_value_from_str("--xmpp") {
        Ok(file) => file,
        Err(error) => return usage(&error.to_string()),
    };
    if file.is_some() && xmpp.is_some() {
        return usage("--config and --xmpp exclude each other");
    }
    if let Some(more) = args.finish().first() {
        return usage(&format!("unknown argument '{}'", more.to_string_lossy()));
    }
    match command.as_str() {
        "version" => println!("hopmoor {}", env!("CARGO_PKG_VERSION")),
        "help" => print!("{USAGE}"),
        "check" | "serve" => return with_config(&command, file, xmpp),
        other => return usage(&format!("unknown command '{other}'")),
    }
    ExitCode::SUCCESS
}

fn with_config(command: &str, file: Option<PathBuf>, xmpp: Option<PathBuf>) -> ExitCode {
    let named = xmpp.clone().or(file).or_else(|| std::env::var_os("NODE_CONFIG").map(PathBuf::from));
    let Some(file) = named else {
        return usage("neither --config, --xmpp nor NODE_CONFIG names a file");
    };
    let read = match xmpp {
        None => config::read(&file).map(|config| (config, Speaks::Platform(file.clone()))),
        Some(_) => {
            operator::read(&file).map(|found| (found.config, Speaks::Xmpp(found.realm, found.inventory)))
        }
    };
    let (config, speaks) = match read {
        Ok(read) => read,
        Err(error) => {
            eprintln!("hopmoor: {error}");
            return ExitCode::FAILURE;
        }
    };
    if command == "check" {
        println!("{}: good; {} listed pool members", file.display(), config.known.members.len());
        return ExitCode::SUCCESS;
    }
    let (log, _written_at_the_end) = net::logger();
    match net::serve(config, speaks, log.clone()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            slog::error!(log, "node ended"; "error" => %error);
            ExitCode::FAILURE
        }
    }
}

fn usage(what: &str) -> ExitCode {
    eprintln!("hopmoor: {what}\n\n{USAGE}");
    ExitCode::from(2)
}
