//! Hosts dispatchers on the wire: batches of lines in, a reply for each.

use std::fmt;
use std::io::{self, BufRead, Write};

use rustc_hash::FxHashMap;
use thiserror::Error;

use dispatch_core::api::{Action, Seconds};
use dispatch_core::load_report::LoadReportFormat;
use dispatch_core::settings::parse_settings;
use dispatch_core::settings_pairs::{InvalidValue, SettingsPairs};
use dispatch_core::Dispatcher;

use crate::events::EventReader;
use crate::fields::Fields;
use crate::lists::{parse_endpoint, EndpointLists};
use crate::reply::{Reply, WorkerNames};

/// What was wrong with a line.
#[derive(Debug, PartialEq, Eq, Error)]
#[error("line {line}: expected {expected}, found '{found}'")]
pub struct Malformed {
    /// The number of the line, from 1.
    pub line: u64,
    /// What was expected there.
    pub expected: String,
    /// What stood there.
    pub found: String,
}

/// Why the host stopped.
#[derive(Debug, Error)]
pub enum HostError {
    /// The input broke the protocol.
    #[error(transparent)]
    Malformed(Malformed),
    /// Reading or writing failed.
    #[error("input or output failed: {0}")]
    Io(#[from] io::Error),
}

/// One hosted dispatcher.
struct Instance {
    dispatcher: Dispatcher,
    load_report_format: LoadReportFormat,
}

/// Hosts dispatchers on the wire.
///
/// Instances share the endpoint lists and the names of workers and nothing else; a worker's id is a hash of its name, so
/// it is the same in every process.
#[derive(Default)]
pub struct Host {
    instances: FxHashMap<Box<str>, Instance>,
    worker_names: WorkerNames,
    lists: EndpointLists,
    /// The instance that the lines at hand concern.
    context: Box<str>,
    now: Seconds,
    in_batch: bool,
    /// The number of the line at hand, from 1.
    line: u64,
    actions: Vec<Action>,
    reply: Reply,
}

impl fmt::Debug for Host {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = formatter.debug_struct("Host");
        debug.field("instances", &self.instances.len()).field("line", &self.line).finish()
    }
}

impl Host {
    /// Answers batches until the input ends.
    ///
    /// # Errors
    /// A malformed line, or an input or output that fails. Whole replies only have been written by then.
    pub fn serve(&mut self, mut input: impl BufRead, mut output: impl Write) -> Result<(), HostError> {
        let mut buffer = Vec::new();
        loop {
            buffer.clear();
            let read = input.read_until(b'\n', &mut buffer)?;
            if read == 0 && !self.in_batch {
                return Ok(());
            }
            self.line += 1;
            let ends_batch = match read {
                0 => Err(InvalidValue::new("EOF_BATCH", "end of input")),
                _ => self.handle_bytes(&buffer),
            };
            if ends_batch.map_err(|fault| self.malformed(fault))? {
                output.write_all(self.reply.take().as_bytes())?;
                output.flush()?;
            }
        }
    }

    fn malformed(&self, fault: InvalidValue) -> HostError {
        let InvalidValue { expected, found } = fault;
        HostError::Malformed(Malformed { line: self.line, expected, found })
    }

    fn handle_bytes(&mut self, bytes: &[u8]) -> Result<bool, InvalidValue> {
        match std::str::from_utf8(bytes) {
            Ok(line) => self.handle_line(line.trim_end_matches(['\n', '\r'])),
            Err(_) => Err(InvalidValue::new("UTF-8 text", &String::from_utf8_lossy(bytes))),
        }
    }

    /// Takes one line; true when it ended a batch.
    fn handle_line(&mut self, line: &str) -> Result<bool, InvalidValue> {
        let (name, fields) = Fields::of_line(line);
        if self.lists.is_reading() {
            self.handle_list_line(name, fields, line)?;
        } else if self.in_batch {
            return self.handle_batch_line(name, fields, line);
        } else if name == "SYNC" {
            self.begin_batch(fields)?;
        } else if !name.is_empty() {
            return Err(InvalidValue::new("SYNC", line));
        }
        Ok(false)
    }

    fn begin_batch(&mut self, mut fields: Fields<'_>) -> Result<(), InvalidValue> {
        const CLOCK: &str = "the clock in seconds";
        self.now = fields.number(CLOCK)?.ok_or_else(|| InvalidValue::new(CLOCK, "nothing"))?;
        self.in_batch = true;
        self.reply.begin();
        Ok(())
    }

    fn handle_list_line(&mut self, name: &str, fields: Fields<'_>, line: &str) -> Result<(), InvalidValue> {
        if name != "WORKER" {
            return Err(InvalidValue::new("a WORKER line of the list", line));
        }
        let (worker_name, endpoint) = parse_endpoint(fields)?;
        self.worker_names.entry(endpoint.worker).or_insert_with(|| worker_name.into());
        self.lists.push(endpoint);
        Ok(())
    }

    fn handle_batch_line(
        &mut self,
        name: &str,
        mut fields: Fields<'_>,
        line: &str,
    ) -> Result<bool, InvalidValue> {
        match name {
            "EOF_BATCH" => {
                self.in_batch = false;
                self.reply.end();
                return Ok(true);
            }
            "CONTEXT" => {
                let instance = fields.required_text("an instance")?;
                if *self.context != *instance {
                    self.context = instance.into();
                }
            }
            "REGISTER" => self.lists.register(fields)?,
            "INIT" => self.start_instance(fields, line)?,
            "KILL" => {
                self.instances.remove(&self.context);
            }
            _ => self.handle_event(name, fields, line)?,
        }
        Ok(false)
    }

    fn start_instance(&mut self, mut fields: Fields<'_>, line: &str) -> Result<(), InvalidValue> {
        if self.context.is_empty() {
            return Err(InvalidValue::new("CONTEXT before INIT", line));
        }
        let seed = fields.required("a seed")?;
        let settings = parse_settings(&SettingsPairs::parse(fields.rest())?)?;
        let load_report_format = settings.load_report_format.clone();
        let mut dispatcher = Dispatcher::new(settings, seed);
        dispatcher.start(self.now, &mut self.actions);
        self.instances.insert(self.context.clone(), Instance { dispatcher, load_report_format });
        self.append_actions();
        Ok(())
    }

    fn handle_event(&mut self, name: &str, fields: Fields<'_>, line: &str) -> Result<(), InvalidValue> {
        let Some(instance) = self.instances.get_mut(&self.context) else {
            return Ok(()); // Late for an instance that was killed: odd, but no fault of the line.
        };
        let reader = EventReader {
            format: &instance.load_report_format,
            lists: &self.lists,
            message: &mut Vec::new(),
        };
        if let Some(event) = reader.read(name, fields, line)? {
            instance.dispatcher.on_event(self.now, event, &mut self.actions);
        }
        self.append_actions();
        Ok(())
    }

    /// Appends the actions at hand to the reply.
    fn append_actions(&mut self) {
        self.reply.append(&self.context, &mut self.actions, &self.worker_names);
    }
}
