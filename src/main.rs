//! The hopmoor node: command line.

use hopmoor::config;
use hopmoor::net::{self, FrontConfig, LogFormat};
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
  --config FILE         read this file instead of the one that NODE_CONFIG names
  --operator FILE       be a node set up by this operator's file
  --xmpp FILE           the same, as older set-ups have it
  --log-format FORMAT   text (the default) or json: one object a line

environment:
  NODE_CONFIG         the node's configuration
  NODE_ADMIN          where operators call, unless the file says so
  NODE_PASSED_SOCKET  a descriptor on which clients connect, in place of a listener
  HOPMOOR_LOG_FORMAT  as --log-format

hopmoor COMMAND --help tells what belongs to a command.
";

const SERVE: &str = "\
hopmoor serve: run a node until SIGTERM or SIGINT

usage: hopmoor serve [--config FILE | --operator FILE] [--log-format FORMAT]

  --config FILE         the platform's configuration; without it NODE_CONFIG names one
  --operator FILE       an operator's file: XMPP with an inventory, or the platform's front
  --xmpp FILE           the same, as older set-ups have it
  --log-format FORMAT   text (the default) or json: one object a line, with node, incarnation and RFC 3339 time

environment: NODE_CONFIG, NODE_ADMIN, NODE_PASSED_SOCKET, HOPMOOR_LOG_FORMAT (see hopmoor help)
signals: SIGUSR1 prints the counters, SIGHUP reads configuration, inventory and fleet keys anew
";

const CHECK: &str = "\
hopmoor check: read a node's files, say what is wrong with them, and end

usage: hopmoor check [--config FILE | --operator FILE]

  --config FILE     the platform's configuration; without it NODE_CONFIG names one
  --operator FILE   an operator's file, with the inventory, configuration and keys that it names
  --xmpp FILE       the same, as older set-ups have it

Ends with 0 if all is good, 1 with one message if not.
";

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    let asks_help = args.contains(["-h", "--help"]);
    let command = match args.subcommand() {
        Ok(Some(command)) => command,
        Ok(None) if asks_help => "help".to_owned(),
        Ok(None) if args.contains(["-V", "--version"]) => "version".to_owned(),
        Ok(None) => return usage("no command"),
        Err(error) => return usage(&error.to_string()),
    };
    if asks_help {
        return help(&command);
    }
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
    let named = match args.opt_value_from_str::<_, String>("--log-format") {
        Ok(format) => {
            format.or_else(|| std::env::var("HOPMOOR_LOG_FORMAT").ok()).filter(|text| !text.is_empty())
        }
        Err(error) => return usage(&error.to_string()),
    };
    let format = match named.as_deref().map_or(Ok(LogFormat::Text), str::parse) {
        Ok(format) => format,
        Err(error) => return usage(&format!("{error}, not '{}'", named.unwrap_or_default())),
    };
    if let Some(more) = args.finish().first() {
        return usage(&format!("unknown argument '{}'", more.to_string_lossy()));
    }
    match command.as_str() {
        "version" => println!("hopmoor {}", env!("CARGO_PKG_VERSION")),
        "help" => print!("{USAGE}"),
        "check" | "serve" => return with_config(&command, file, operator, format),
        other => return usage(&format!("unknown command '{other}'")),
    }
    ExitCode::SUCCESS
}

fn help(command: &str) -> ExitCode {
    match command {
        "serve" => print!("{SERVE}"),
        "check" => print!("{CHECK}"),
        "version" | "help" => print!("{USAGE}"),
        other => return usage(&format!("unknown command '{other}'")),
    }
    ExitCode::SUCCESS
}

fn with_config(
    command: &str,
    file: Option<PathBuf>,
    operator: Option<PathBuf>,
    format: LogFormat,
) -> ExitCode {
    let named = operator.clone().or(file).or_else(|| std::env::var_os("NODE_CONFIG").map(PathBuf::from));
    let Some(file) = named else {
        return usage("neither --config, --operator nor NODE_CONFIG names a file");
    };
    let read = match operator {
        None => config::read(&file).map(|config| (config, FrontConfig::Platform(file.clone()))),
        Some(_) => operator::read(&file).map(|found| match found.front {
            Front::Platform(config) => (found.config, FrontConfig::Platform(config)),
            Front::Xmpp(realm, inventory) => (found.config, FrontConfig::Xmpp(realm, inventory)),
        }),
    };
    let read = read.and_then(|(mut config, front_config)| {
        // What is not Unicode is no address and no number either, and is refused as such.
        config.take_environment(|name| Some(std::env::var_os(name)?.to_string_lossy().into_owned()))?;
        Ok((config, front_config))
    });
    let (config, front_config) = match read {
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
    let clock = net::Clock::new();
    let (log, _written_at_the_end) = net::logger(format, &config.name, clock.incarnation());
    match net::serve(config, front_config, clock, log.clone()) {
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
