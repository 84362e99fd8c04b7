//! The command line of the dispatcher.

use std::process::ExitCode;

use dispatcher::config::{Config, ConfigError, CONFIG_VARIABLE};
use dispatcher::log;
use dispatcher::net::id_journal::IdJournal;
use dispatcher::net::socket_activation::InheritedSocketError;
use dispatcher::net::{self, reload, shutdown, socket_activation};
use dispatcher::settings_file;
use lexopt::prelude::{Long, Short, Value};
use lexopt::ValueExt as _;
use tokio::sync::watch;
use tracing_subscriber::filter::Targets;

const USAGE: &str = "\
dispatcher: a job dispatcher

usage: dispatcher [serve] [--config FILE] [--settings FILE] [--log LEVELS] [--log-format text|json]    serve jobs
       dispatcher check-config [--config FILE] [--settings FILE]    check the configuration and report its first error
       dispatcher version    print the version

The configuration is the file that --config names, or else BALANCER_CONFIG. BALANCER_NAME, BALANCER_LISTEN and
BALANCER_DISCOVERY take precedence over its keys. On SIGHUP the file is read again; then its discovery takes precedence.
The local settings are the HCL file that --settings or CAIRNCRANK_SETTINGS names, else cairncrank.hcl beside the
configuration, else their defaults.
LEVELS is a level, or levels by target: info (the default), or warn,dispatcher::net=debug.
";

/// Exit code for an invalid command line.
const BAD_USAGE: u8 = 2;

enum Command {
    Serve,
    CheckConfig,
    Version,
    Help,
}

/// Parsed command line.
struct Arguments {
    command: Command,
    config: Option<String>,
    settings: Option<String>,
    levels: Targets,
    format: log::Format,
}

impl Arguments {
    fn parse() -> Result<Arguments, lexopt::Error> {
        let mut parser = lexopt::Parser::from_env();
        let mut command = None;
        let mut arguments = Arguments {
            command: Command::Serve,
            config: None,
            settings: None,
            levels: log::default_levels(),
            format: log::Format::default(),
        };
        while let Some(argument) = parser.next()? {
            match argument {
                Long("config") => arguments.config = Some(parser.value()?.string()?),
                Long("settings") => arguments.settings = Some(parser.value()?.string()?),
                Long("log") => arguments.levels = parser.value()?.parse_with(log::parse_levels)?,
                Long("log-format") => arguments.format = parser.value()?.parse()?,
                Long("help") | Short('h') => command = Some(Command::Help),
                Long("version") | Short('V') => command = Some(Command::Version),
                Value(word) if command.is_none() => command = Some(parse_command(&word.string()?)?),
                other => return Err(other.unexpected()),
            }
        }
        if let Some(command) = command {
            arguments.command = command;
        }
        Ok(arguments)
    }
}

fn parse_command(word: &str) -> Result<Command, lexopt::Error> {
    match word {
        "serve" => Ok(Command::Serve),
        "check-config" => Ok(Command::CheckConfig),
        "version" => Ok(Command::Version),
        "help" => Ok(Command::Help),
        other => Err(format!("unknown command '{other}'").into()),
    }
}

/// An error that prevents the start.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("configuration: {0}")]
    Configuration(#[from] ConfigError),
    #[error(transparent)]
    InheritedSocket(#[from] InheritedSocketError),
}

fn main() -> ExitCode {
    let arguments = match Arguments::parse() {
        Ok(arguments) => arguments,
        Err(error) => {
            eprint!("dispatcher: {error}\n\n{USAGE}");
            return ExitCode::from(BAD_USAGE);
        }
    };
    run(arguments).unwrap_or_else(|error| {
        eprintln!("dispatcher: {error}");
        ExitCode::FAILURE
    })
}

fn run(arguments: Arguments) -> Result<ExitCode, StartError> {
    let Arguments { command, config: config_path, settings: settings_path, levels, format } = arguments;
    let variable = move |name: &str| {
        let argument = match name {
            CONFIG_VARIABLE => config_path.clone(),
            settings_file::VARIABLE => settings_path.clone(),
            _ => None,
        };
        argument.or_else(|| std::env::var(name).ok())
    };
    match command {
        Command::Help => print!("{USAGE}"),
        Command::Version => println!("cairncrank {}", env!("CARGO_PKG_VERSION")),
        Command::CheckConfig => print_summary(&Config::from_environment(variable)?),
        Command::Serve => {
            let config = Config::from_environment(&variable)?;
            // Must come before the logging thread starts, because taking the socket sets environment variables.
            let inherited = variable(socket_activation::VARIABLE)
                .map(|text| {
                    socket_activation::parse_descriptor(&text).and_then(socket_activation::take_listener)
                })
                .transpose()?;
            let _guard = log::init(levels, format);
            return Ok(serve(config, inherited, variable));
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn print_summary(config: &Config) {
    println!(
        "{}: {} classes served on {}, discovery at {}, {} workers in the saved list",
        config.name,
        config.names.class_names.len(),
        config.listen,
        config.discovery,
        config.saved_list.endpoints.len()
    );
}

fn serve(
    mut config: Config,
    inherited: Option<std::net::TcpListener>,
    variable: impl Fn(&str) -> Option<String> + 'static,
) -> ExitCode {
    let run = async {
        // Must come first: without a handler, a signal during the start would kill the process.
        let (timeout_in_force, longest_timeout) = watch::channel(config.longest_timeout);
        let phase = shutdown::listen_for_termination(longest_timeout)?;
        let reload = reload::listen_for_reload(move |old| {
            let new = old.reload(&variable)?;
            timeout_in_force.send_replace(new.longest_timeout);
            Ok(new)
        })?;
        let listener = match inherited {
            Some(listener) => {
                let socket = listener.local_addr()?;
                config.id_journal = Some(IdJournal::path(&std::env::temp_dir(), socket));
                tokio::net::TcpListener::from_std(listener)?
            }
            None => tokio::net::TcpListener::bind(config.listen).await?,
        };
        tracing::info!(address = %listener.local_addr()?, "listening for clients");
        net::serve(net::ServeParameters { config, listener, phase, reload }).await
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime.and_then(|runtime| tokio::task::LocalSet::new().block_on(&runtime, run)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "dispatcher stopped because of an error");
            ExitCode::FAILURE
        }
    }
}
