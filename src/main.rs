//! Command line of the hopmoor node.

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
  check     validate that file and exit
  version   print the version
  help      print this

options:
  --config FILE         read this file instead of the one that NODE_CONFIG names
  --operator FILE       run a node from this operator file
  --xmpp FILE           older name of --operator
  --log-format FORMAT   text (the default) or json: one object per line

environment:
  NODE_CONFIG         the node's configuration
  NODE_ADMIN          address of the admin endpoint, unless the file sets it
  NODE_PASSED_SOCKET  number of an open listening socket for clients, used instead of opening one
  HOPMOOR_LOG_FORMAT  as --log-format

hopmoor COMMAND --help describes the options of a command.
";

const SERVE_USAGE: &str = "\
hopmoor serve: run a node until SIGTERM or SIGINT

usage: hopmoor serve [--config FILE | --operator FILE] [--log-format FORMAT]

  --config FILE         the platform's configuration; without it NODE_CONFIG names one
  --operator FILE       an operator file: XMPP with an inventory, or the platform's front
  --xmpp FILE           older name of --operator
  --log-format FORMAT   text (the default) or json: one object per line (node, incarnation, RFC 3339 time)

environment: NODE_CONFIG, NODE_ADMIN, NODE_PASSED_SOCKET, HOPMOOR_LOG_FORMAT (see hopmoor help)
signals: SIGUSR1 logs the counters, SIGHUP reloads configuration, inventory and fleet keys
";

const CHECK_USAGE: &str = "\
hopmoor check: validate a node's files and exit

usage: hopmoor check [--config FILE | --operator FILE]

  --config FILE     the platform's configuration; without it NODE_CONFIG names one
  --operator FILE   an operator file, with the inventory, configuration and keys that it names
  --xmpp FILE       older name of --operator

Exit status: 0 if all files are valid, 1 with one message if not.
";

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    let wants_help = args.contains(["-h", "--help"]);
    let command = match args.subcommand() {
        Ok(Some(command)) => command,
        Ok(None) if wants_help => "help".to_owned(),
        Ok(None) if args.contains(["-V", "--version"]) => "version".to_owned(),
        Ok(None) => return usage_error("no command"),
        Err(error) => return usage_error(&error.to_string()),
    };
    if wants_help {
        return help(&command);
    }
    let file: Option<PathBuf> = match args.opt_value_from_str("--config") {
        Ok(file) => file,
        Err(error) => return usage_error(&error.to_string()),
    };
    let mut operator_files: Vec<PathBuf> = Vec::new();
    for name in ["--operator", "--xmpp"] {
        match args.opt_value_from_str(name) {
            Ok(file) => operator_files.extend(file),
            Err(error) => return usage_error(&error.to_string()),
        }
    }
    if operator_files.len() + usize::from(file.is_some()) > 1 {
        return usage_error("--config, --operator and --xmpp exclude each other");
    }
    let operator = operator_files.pop();
    let format_name = match args.opt_value_from_str::<_, String>("--log-format") {
        Ok(format) => {
            format.or_else(|| std::env::var("HOPMOOR_LOG_FORMAT").ok()).filter(|text| !text.is_empty())
        }
        Err(error) => return usage_error(&error.to_string()),
    };
    let format = match format_name.as_deref().map_or(Ok(LogFormat::Text), str::parse) {
        Ok(format) => format,
        Err(error) => return usage_error(&format!("{error}, not '{}'", format_name.unwrap_or_default())),
    };
    if let Some(argument) = args.finish().first() {
        return usage_error(&format!("unknown argument '{}'", argument.to_string_lossy()));
    }
    match command.as_str() {
        "version" => println!("hopmoor {}", env!("CARGO_PKG_VERSION")),
        "help" => print!("{USAGE}"),
        "check" | "serve" => return run_with_config(&command, file, operator, format),
        other => return usage_error(&format!("unknown command '{other}'")),
    }
    ExitCode::SUCCESS
}

fn help(command: &str) -> ExitCode {
    match command {
        "serve" => print!("{SERVE_USAGE}"),
        "check" => print!("{CHECK_USAGE}"),
        "version" | "help" => print!("{USAGE}"),
        other => return usage_error(&format!("unknown command '{other}'")),
    }
    ExitCode::SUCCESS
}

fn run_with_config(
    command: &str,
    file: Option<PathBuf>,
    operator: Option<PathBuf>,
    format: LogFormat,
) -> ExitCode {
    let chosen = operator.clone().or(file).or_else(|| std::env::var_os("NODE_CONFIG").map(PathBuf::from));
    let Some(file) = chosen else {
        return usage_error("neither --config, --operator nor NODE_CONFIG names a file");
    };
    let loaded = match operator {
        None => config::read(&file).map(|config| (config, FrontConfig::Platform(file.clone()))),
        Some(_) => operator::read(&file).map(|setup| match setup.front {
            Front::Platform(config) => (setup.config, FrontConfig::Platform(config)),
            Front::Xmpp(settings, inventory) => (setup.config, FrontConfig::Xmpp(settings, inventory)),
        }),
    };
    let loaded = loaded.and_then(|(mut config, front_config)| {
        // A value that is not Unicode is rejected below like any other invalid address or number.
        config.take_environment(|name| Some(std::env::var_os(name)?.to_string_lossy().into_owned()))?;
        Ok((config, front_config))
    });
    let (config, front_config) = match loaded {
        Ok(loaded) => loaded,
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
    let (log, _flush_guard) = net::logger(format, &config.name, clock.incarnation());
    match net::serve(config, front_config, clock, log.clone()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            slog::error!(log, "node ended"; "error" => %error);
            ExitCode::FAILURE
        }
    }
}

fn usage_error(message: &str) -> ExitCode {
    eprintln!("hopmoor: {message}\n\n{USAGE}");
    ExitCode::from(2)
}
