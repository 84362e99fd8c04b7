//! The command line of the dispatcher.

use std::process::ExitCode;

use dispatcher::config::{Config, ConfigError};
use dispatcher::log;
use dispatcher::net::{self, reload, shutdown, socket_activation};
use dispatcher::settings_file;
use lexopt::prelude::{Long, Short, Value};
use lexopt::ValueExt as _;
use tracing_subscriber::filter::Targets;

const USAGE: &str = "\
dispatcher: a job dispatcher

usage: dispatcher [serve] [--config FILE] [--settings FILE] [--log LEVELS] [--log-format text|json]    serve jobs
       dispatcher check-config [--config FILE] [--settings FILE]    read the configuration, say what is wrong with it
       dispatcher version    print the version

The configuration is the file that --config names, or else BALANCER_CONFIG. BALANCER_NAME, BALANCER_LISTEN and
BALANCER_DISCOVERY win over what it says of them. On SIGHUP the file is read again; there its discovery wins.
Our own settings are the HCL file that --settings or CAIRNCRANK_SETTINGS names, else cairncrank.hcl beside the
configuration, else their defaults.
LEVELS is a level, or levels by target: info (the default), or warn,dispatcher::net=debug.
";

/// The exit code of bad usage.
const BAD_USAGE: u8 = 2;

enum Command {
    Serve,
    CheckConfig,
    Version,
    Help,
}

/// What the command line says.
struct Arguments {
    command: Command,
    config: Option<String>,
    settings: Option<String>,
    levels: Targets,
    format: log::Format,
}

fn arguments() -> Result<Arguments, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let (mut command, mut config, mut settings) = (None, None, None);
    let (mut levels, mut format) = (log::default_levels(), log::Format::default());
    while let Some(argument) = parser.next()? {
        match argument {
            Long("config") => config = Some(parser.value()?.string()?),
            Long("settings") => settings = Some(parser.value()?.string()?),
            Long("log") => levels = parser.value()?.parse_with(log::parse_levels)?,
            Long("log-format") => format = parser.value()?.parse()?,
            Long("help") | Short('h') => command = Some(Command::Help),
            Long("version") | Short('V') => command = Some(Command::Version),
            Value(word) if command.is_none() => {
                command = Some(match word.string()?.as_str() {
                    "serve" => Command::Serve,
                    "check-config" => Command::CheckConfig,
                    "version" => Command::Version,
                    "help" => Command::Help,
                    other => return Err(format!("there is no command '{other}'").into()),
                });
            }
            other => return Err(other.unexpected()),
        }
    }
    Ok(Arguments { command: command.unwrap_or(Command::Serve), config, settings, levels, format })
}

fn main() -> ExitCode {
    let Arguments { command, config: file, settings, levels, format } = match arguments() {
        Ok(arguments) => arguments,
        Err(error) => {
            eprint!("dispatcher: {error}\n\n{USAGE}");
            return ExitCode::from(BAD_USAGE);
        }
    };
    let variable = move |name: &str| match &file {
        Some(file) if name == "BALANCER_CONFIG" => Some(file.clone()),
        _ if name == settings_file::VARIABLE && settings.is_some() => settings.clone(),
        _ => std::env::var(name).ok(),
    };
    match command {
        Command::Help => print!("{USAGE}"),
        Command::Version => println!("cairncrank {}", env!("CARGO_PKG_VERSION")),
        Command::CheckConfig => match Config::from_environment(variable) {
            Ok(config) => println!(
                "{}: serves {} classes on {}, follows {}, knows {} workers",
                config.name,
                config.names.classes.len(),
                config.listen,
                config.discovery,
                config.saved_list.1.len()
            ),
            Err(error) => return misconfigured(&error),
        },
        Command::Serve => match Config::from_environment(&variable) {
            Ok(config) => {
                // Before the log's thread starts: taking the socket sets variables of the environment.
                let inherited = match variable(socket_activation::VARIABLE).map(|text| {
                    socket_activation::parse_descriptor(&text).and_then(socket_activation::take_listener)
                }) {
                    None => None,
                    Some(Ok(listener)) => Some(listener),
                    Some(Err(error)) => {
                        eprintln!("dispatcher: {error}");
                        return ExitCode::FAILURE;
                    }
                };
                let _guard = log::init(levels, format);
                return serve(config, inherited, variable);
            }
            Err(error) => return misconfigured(&error),
        },
    }
    ExitCode::SUCCESS
}

fn misconfigured(error: &ConfigError) -> ExitCode {
    eprintln!("dispatcher: configuration: {error}");
    ExitCode::FAILURE
}

fn serve(
    config: Config,
    inherited: Option<std::net::TcpListener>,
    variable: impl Fn(&str) -> Option<String> + 'static,
) -> ExitCode {
    let run = async {
        // Caught first: a signal that comes while the rest starts must not kill.
        let phase = shutdown::listen_for_termination(config.longest_timeout)?;
        let reload = reload::listen_for_reload(move |old| old.reload(&variable))?;
        // The platform may hold the address itself and hand it over, so that two processes serve it in turn.
        let listener = match inherited {
            Some(listener) => tokio::net::TcpListener::from_std(listener)?,
            None => tokio::net::TcpListener::bind(config.listen).await?,
        };
        net::serve(config, listener, phase, reload).await
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime.and_then(|runtime| tokio::task::LocalSet::new().block_on(&runtime, run)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "stopped by an error");
            ExitCode::FAILURE
        }
    }
}
