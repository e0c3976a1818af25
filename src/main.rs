//! The hopmoor node: command line.

use hopmoor::config;
use hopmoor::net::{self, Speaks};
use hopmoor::operator::{self, Front};
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
  --config FILE     read this file instead of the one that NODE_CONFIG names
  --operator FILE   be a node set up by this operator's file
  --xmpp FILE       the same, as older set-ups have it

environment:
  NODE_CONFIG         the node's configuration
  NODE_ADMIN          where operators call, unless the file says so
  NODE_PASSED_SOCKET  a descriptor on which clients connect, in place of a listener
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
    let mut operators: Vec<PathBuf> = Vec::new();
    for name in ["--operator", "--xmpp"] {
        match args.opt_value_from_str(name) {
            Ok(file) => operators.extend(file),
            Err(error) => return usage(&error.to_string()),
        }
    }
    if operators.len() + usize::from(file.is_some()) > 1 {
        return usage("--config, --operator and --xmpp exclude each other");
    }
    let operator = operators.pop();
    if let Some(more) = args.finish().first() {
        return usage(&format!("unknown argument '{}'", more.to_string_lossy()));
    }
    match command.as_str() {
        "version" => println!("hopmoor {}", env!("CARGO_PKG_VERSION")),
        "help" => print!("{USAGE}"),
        "check" | "serve" => return with_config(&command, file, operator),
        other => return usage(&format!("unknown command '{other}'")),
    }
    ExitCode::SUCCESS
}

fn with_config(command: &str, file: Option<PathBuf>, operator: Option<PathBuf>) -> ExitCode {
    let named = operator.clone().or(file).or_else(|| std::env::var_os("NODE_CONFIG").map(PathBuf::from));
    let Some(file) = named else {
        return usage("neither --config, --operator nor NODE_CONFIG names a file");
    };
    let read = match operator {
        None => config::read(&file).map(|config| (config, Speaks::Platform(file.clone()))),
        Some(_) => operator::read(&file).map(|found| match found.front {
            Front::Platform(config) => (found.config, Speaks::Platform(config)),
            Front::Xmpp(realm, inventory) => (found.config, Speaks::Xmpp(realm, inventory)),
        }),
    };
    let read = read.and_then(|(mut config, speaks)| {
        // What is not Unicode is no address and no number either, and is refused as such.
        config.take_environment(|name| Some(std::env::var_os(name)?.to_string_lossy().into_owned()))?;
        Ok((config, speaks))
    });
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
