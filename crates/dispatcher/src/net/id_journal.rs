//! Journal of the ids that processes on one inherited socket have sent to workers, so that a request which reaches the
//! old process and then the new one runs once.
//!
//! The journal is a pair of files in the folder for temporary files, which the processes share during an upgrade: one
//! for each period of 30 s, in which every process appends records and reads those of the others. A file that is
//! older than the one before the current one is removed.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use crate::engine::{Micros, SentId, SharedIds};

/// Length of a period: the time for which an id is remembered, so that two files hold all that counts.
const PERIOD: Micros = 30_000_000;
/// Length of a number in a record, in bytes.
const NUMBER_BYTES: usize = 8;
/// Numbers of a record: hash, times of the first and the last send, end of the repeatable time, and process with the
/// outcome.
const RECORD_NUMBERS: usize = 5;
/// Length of a record, in bytes.
const RECORD_BYTES: usize = RECORD_NUMBERS * NUMBER_BYTES;
/// Version of the records. Processes of different versions on one socket have files of their own.
const FORMAT_VERSION: u32 = 1;
/// Memory limit per byte of a file, which counts as memory.
const MEMORY_PER_FILE_BYTE: usize = 64;

/// The journal, as one process sees it.
#[derive(Debug)]
pub struct IdJournal {
    /// Path of the files without the number of the period.
    stem: PathBuf,
    process: u64,
    /// Maximum length of a file, in bytes.
    max_file_bytes: u64,
    writer: Option<PeriodFile>,
    readers: Vec<PeriodFile>,
    failing: bool,
}

/// The file of a period.
#[derive(Debug)]
struct PeriodFile {
    period: u64,
    file: File,
}

impl IdJournal {
    /// Returns the path of the journal of a socket in this folder.
    pub fn path(folder: &Path, socket: SocketAddr) -> PathBuf {
        // Without dots, so that the period can follow as an extension.
        let socket = socket.to_string().replace(['.', ':', '[', ']'], "-");
        folder.join(format!("dispatcher-sent-ids-{FORMAT_VERSION}-{socket}"))
    }

    /// Opens a journal whose files have this path, followed by the number of their period. Nothing is written before the
    /// memory limit is set.
    pub fn open(stem: PathBuf) -> IdJournal {
        let process = u64::from(std::process::id());
        IdJournal { stem, process, max_file_bytes: 0, writer: None, readers: Vec::new(), failing: false }
    }

    fn file_path(&self, period: u64) -> PathBuf {
        self.stem.with_extension(period.to_string())
    }

    fn append(&mut self, id: SentId, now: Micros) -> io::Result<()> {
        let period = now / PERIOD;
        if self.writer.as_ref().is_none_or(|writer| writer.period != period) {
            self.remove_older_files(period);
            let file = OpenOptions::new().create(true).append(true).open(self.file_path(period))?;
            self.writer = Some(PeriodFile { period, file });
        }
        let Some(PeriodFile { file, .. }) = &mut self.writer else { return Ok(()) };
        if file.metadata()?.len() >= self.max_file_bytes {
            return Err(io::Error::other("the journal is full until its next period"));
        }
        // One write, so that records of several processes do not mix.
        file.write_all(&encode(id, self.process))
    }

    fn remove_older_files(&self, period: u64) {
        let (Some(folder), Some(name)) = (self.stem.parent(), self.stem.file_name()) else { return };
        let prefix = format!("{}.", name.to_string_lossy());
        for entry in fs::read_dir(folder).into_iter().flatten().flatten() {
            let file_name = entry.file_name().to_string_lossy().into_owned();
            let number = file_name.strip_prefix(&prefix).and_then(|number| number.parse::<u64>().ok());
            if number.is_some_and(|number| number + 1 < period) {
                let _ = fs::remove_file(entry.path());
            }
        }
    }

    /// Opens the files of the current period and the one before, as far as they exist.
    fn open_readers(&mut self, period: u64) {
        self.readers.retain(|reader| reader.period + 1 >= period);
        for wanted in [period.saturating_sub(1), period] {
            if self.readers.iter().any(|reader| reader.period == wanted) {
                continue;
            }
            if let Ok(file) = File::open(self.file_path(wanted)) {
                self.readers.push(PeriodFile { period: wanted, file });
            }
        }
    }

    /// Logs the first of a series of failures. Without the journal, each process serves as if it were alone.
    fn record_result(&mut self, result: &io::Result<()>) {
        if let Err(error) = result {
            if !self.failing {
                tracing::warn!(%error, path = %self.stem.display(), "cannot share the ids of jobs");
            }
        }
        self.failing = result.is_err();
    }
}

impl SharedIds for IdJournal {
    fn publish(&mut self, id: SentId, now: Micros) {
        let result = self.append(id, now);
        self.record_result(&result);
    }

    fn received(&mut self, now: Micros) -> Vec<SentId> {
        self.open_readers(now / PERIOD);
        let mut received = Vec::new();
        for reader in &mut self.readers {
            let mut bytes = Vec::new();
            // A file that cannot be read further is like one that has ended.
            let _ = reader.file.read_to_end(&mut bytes);
            received
                .extend(bytes.chunks_exact(RECORD_BYTES).filter_map(|record| decode(record, self.process)));
        }
        received
    }

    fn set_memory_limit(&mut self, limit: usize) {
        self.max_file_bytes = (limit / MEMORY_PER_FILE_BYTE) as u64;
    }
}

fn encode(id: SentId, process: u64) -> [u8; RECORD_BYTES] {
    let mut record = [0; RECORD_BYTES];
    let source = process << 1 | u64::from(id.may_have_run);
    let numbers = [id.hash, id.first_sent_at, id.last_sent_at, id.repeatable_until, source];
    for (bytes, number) in record.chunks_exact_mut(NUMBER_BYTES).zip(numbers) {
        bytes.copy_from_slice(&number.to_le_bytes());
    }
    record
}

/// Returns the id of a record; none if this process wrote it.
fn decode(record: &[u8], process: u64) -> Option<SentId> {
    let mut numbers = record.chunks_exact(NUMBER_BYTES).map(|bytes| {
        let bytes: Result<[u8; NUMBER_BYTES], _> = bytes.try_into();
        bytes.map_or(0, u64::from_le_bytes)
    });
    let id = SentId {
        hash: numbers.next()?,
        first_sent_at: numbers.next()?,
        last_sent_at: numbers.next()?,
        repeatable_until: numbers.next()?,
        may_have_run: false,
    };
    let source = numbers.next()?;
    (source >> 1 != process).then_some(SentId { may_have_run: source & 1 == 1, ..id })
}
