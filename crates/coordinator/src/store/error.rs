//! Why a store cannot be set up, opened or written.

use std::io;
use std::path::PathBuf;

/// Why a store cannot be set up, opened or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// There is no store in the directory. Set one up, once in the life of a coordinator.
    #[error(
        "{}: there is no store. A keeper does not start without its memory, since it could vote twice. For a new \
         installation run `coordinator bootstrap`; a keeper that lost its disk is replaced by a new one \
         (docs/operate/replicas.md)",
        .file.display()
    )]
    Missing {
        /// Where its file would be.
        file: PathBuf,
    },
    /// A store is to be set up where there is one.
    #[error("{}: there is a store already; it is left alone", .directory.display())]
    AlreadyExists {
        /// Where.
        directory: PathBuf,
    },
    /// Another process has it open.
    #[error("the store cannot be used: another process has it: {0}")]
    Locked(#[source] io::Error),
    /// The file has another format. Run a version that knows it.
    #[error("{}: format {found}, wanted {supported}", .file.display())]
    UnknownFormat {
        /// The file.
        file: PathBuf,
        /// Its format.
        found: u32,
        /// The one format that this version knows.
        supported: u32,
    },
    /// The store belongs to another coordinator. Correct `serve.keeper`, `serve.store` or `installation`.
    #[error(
        "{}: this is the store of keeper {found_coordinator} of installation {found_installation:?}, not of keeper \
         {coordinator_id} of {installation:?}",
        .file.display()
    )]
    WrongOwner {
        /// The file.
        file: PathBuf,
        /// The number of the coordinator that it belongs to.
        found_coordinator: u64,
        /// The installation that it belongs to.
        found_installation: String,
        /// The number of the coordinator that opened it.
        coordinator_id: u64,
        /// The installation of the coordinator that opened it.
        installation: String,
    },
    /// The file has no header.
    #[error("the store cannot be used: it has no label")]
    MissingHeader,
    /// The file has no snapshot.
    #[error("the store cannot be used: it has no snapshot")]
    MissingSnapshot,
    /// A file or directory cannot be read or written.
    #[error("the store cannot be used: {0}")]
    File(#[from] io::Error),
    /// The file cannot be opened as a database.
    #[error("the store cannot be used: {0}")]
    OpenDatabase(#[from] redb::DatabaseError),
    /// A transaction cannot be begun.
    #[error("the store cannot be used: {0}")]
    BeginTransaction(#[source] Box<redb::TransactionError>),
    /// A table cannot be opened.
    #[error("the store cannot be used: {0}")]
    OpenTable(#[from] redb::TableError),
    /// A table cannot be read or written.
    #[error("the store cannot be used: {0}")]
    AccessTable(#[from] redb::StorageError),
    /// A transaction cannot be committed.
    #[error("the store cannot be used: {0}")]
    Commit(#[from] redb::CommitError),
    /// The header or the identity of a peer is malformed.
    #[error("the store cannot be used: {0}")]
    MalformedIdentity(#[from] postcard::Error),
    /// A hard state, snapshot or entry is malformed.
    #[error("the store cannot be used: {0}")]
    MalformedRaftState(#[from] protobuf::ProtobufError),
}

impl From<redb::TransactionError> for StoreError {
    fn from(error: redb::TransactionError) -> StoreError {
        StoreError::BeginTransaction(Box::new(error))
    }
}
