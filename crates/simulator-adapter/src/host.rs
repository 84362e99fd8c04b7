//! Host of dispatchers: reads batches of lines and writes a reply to each batch.

use std::fmt;
use std::io::{self, BufRead, Write};

use rustc_hash::FxHashMap;
use thiserror::Error;

use dispatch_core::api::{Action, Seconds, Settings};
use dispatch_core::settings::parse_settings;
use dispatch_core::settings_pairs::{InvalidValue, SettingsPairs};
use dispatch_core::Dispatcher;

use crate::events::EventReader;
use crate::fields::{Fields, Line};
use crate::lists::{parse_endpoint, EndpointLists, NamedEndpoint};
use crate::reply::{Reply, WorkerNames};
use crate::wire::{
    BEGIN_BATCH, BEGIN_LIST, END_BATCH, LIST_ENTRY, REMOVE_INSTANCE, SELECT_INSTANCE, START_INSTANCE,
};

/// Error of a line that violates the protocol.
#[derive(Debug, PartialEq, Eq, Error)]
#[error("line {line}: expected {expected}, found '{found}'")]
pub struct Malformed {
    /// Number of the line, from 1.
    pub line: u64,
    /// Description of the expected value.
    pub expected: String,
    /// Value that was found.
    pub found: String,
}

/// Error that stops the host.
#[derive(Debug, Error)]
pub enum HostError {
    /// The input violates the protocol.
    #[error(transparent)]
    Malformed(Malformed),
    /// Reading or writing failed.
    #[error("reading input or writing output failed: {0}")]
    Io(#[from] io::Error),
}

/// A hosted dispatcher.
struct Instance {
    dispatcher: Dispatcher,
    settings: Settings,
}

/// Hosts dispatchers for a simulator.
///
/// Instances share only the endpoint lists and the names of workers. The id of a worker is a hash of its name, so that
/// it is the same in every process.
#[derive(Default)]
pub struct Host {
    instances: FxHashMap<Box<str>, Instance>,
    worker_names: WorkerNames,
    lists: EndpointLists,
    /// Instance that the following lines refer to; empty if none was selected.
    selected_instance: Box<str>,
    now: Seconds,
    in_batch: bool,
    /// Number of the current line, from 1; 0 before the first line.
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
    /// Replies to batches until the input ends.
    ///
    /// # Errors
    /// Returns [`HostError::Malformed`] for a line that violates the protocol, and [`HostError::Io`] if reading or
    /// writing fails. After a malformed line, only the replies to earlier batches have been written.
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
                0 => Err(InvalidValue::new(END_BATCH, "end of input")),
                _ => self.handle_bytes(&buffer),
            };
            if ends_batch.map_err(|invalid| self.malformed(invalid))? {
                output.write_all(self.reply.take().as_bytes())?;
                output.flush()?;
            }
        }
    }

    fn malformed(&self, invalid: InvalidValue) -> HostError {
        let InvalidValue { expected, found } = invalid;
        HostError::Malformed(Malformed { line: self.line, expected, found })
    }

    fn handle_bytes(&mut self, bytes: &[u8]) -> Result<bool, InvalidValue> {
        match std::str::from_utf8(bytes) {
            Ok(line) => self.handle_line(line.trim_end_matches(['\n', '\r'])),
            Err(_) => Err(InvalidValue::new("UTF-8 text", &String::from_utf8_lossy(bytes))),
        }
    }

    /// Handles one line; returns true if it ends a batch.
    fn handle_line(&mut self, text: &str) -> Result<bool, InvalidValue> {
        let line = Line::new(text);
        if self.lists.is_reading() {
            self.handle_list_line(line)?;
        } else if self.in_batch {
            return self.handle_batch_line(line);
        } else if line.name == BEGIN_BATCH {
            self.begin_batch(line.fields)?;
        } else if !line.name.is_empty() {
            return Err(InvalidValue::new(BEGIN_BATCH, line.text));
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

    fn handle_list_line(&mut self, line: Line<'_>) -> Result<(), InvalidValue> {
        if line.name != LIST_ENTRY {
            let expected = format!("a {LIST_ENTRY} line of the list");
            return Err(InvalidValue::new(&expected, line.text));
        }
        let NamedEndpoint { name, endpoint } = parse_endpoint(line.fields)?;
        self.worker_names.entry(endpoint.worker).or_insert_with(|| name.into());
        self.lists.push(endpoint);
        Ok(())
    }

    fn handle_batch_line(&mut self, line: Line<'_>) -> Result<bool, InvalidValue> {
        match line.name {
            END_BATCH => {
                self.in_batch = false;
                self.reply.end();
                return Ok(true);
            }
            SELECT_INSTANCE => self.select_instance(line.fields)?,
            BEGIN_LIST => self.lists.register(line.fields)?,
            START_INSTANCE => self.start_instance(line)?,
            REMOVE_INSTANCE => {
                self.instances.remove(&self.selected_instance);
            }
            _ => self.handle_event(line)?,
        }
        Ok(false)
    }

    fn select_instance(&mut self, mut fields: Fields<'_>) -> Result<(), InvalidValue> {
        let instance = fields.required_text("an instance")?;
        if *self.selected_instance != *instance {
            self.selected_instance = instance.into();
        }
        Ok(())
    }

    fn start_instance(&mut self, line: Line<'_>) -> Result<(), InvalidValue> {
        if self.selected_instance.is_empty() {
            let expected = format!("{SELECT_INSTANCE} before {START_INSTANCE}");
            return Err(InvalidValue::new(&expected, line.text));
        }
        let mut fields = line.fields;
        let seed = fields.required("a seed")?;
        let settings = parse_settings(&SettingsPairs::parse(fields.rest())?)?;
        let mut dispatcher = Dispatcher::new(settings.clone(), seed);
        dispatcher.start(self.now, &mut self.actions);
        self.instances.insert(self.selected_instance.clone(), Instance { dispatcher, settings });
        self.append_actions();
        Ok(())
    }

    fn handle_event(&mut self, line: Line<'_>) -> Result<(), InvalidValue> {
        let Some(instance) = self.instances.get_mut(&self.selected_instance) else {
            // The simulator may still send events of an instance that it has removed.
            return Ok(());
        };
        let reader =
            EventReader { settings: &instance.settings, lists: &self.lists, message: &mut Vec::new() };
        if let Some(event) = reader.read(line)? {
            instance.dispatcher.on_event(self.now, event, &mut self.actions);
        }
        self.append_actions();
        Ok(())
    }

    /// Appends the collected actions to the reply.
    fn append_actions(&mut self) {
        self.reply.append(&self.selected_instance, &mut self.actions, &self.worker_names);
    }
}
