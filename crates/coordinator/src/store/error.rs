//! Errors of creating, opening or writing a store.

use std::io;
use std::path::PathBuf;

/// Error of creating, opening or writing a store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// There is no store in the directory. It is created once, before the first start of a replica.
    #[error(
        "{}: there is no store. A replica does not start without its store, since it could vote twice. For a new \
         installation run `coordinator bootstrap`; a replica that lost its store is replaced by a new one \
         (docs/operate/replicas.md)",
        .file.display()
    )]
    Missing {
        /// Path of the missing file.
        file: PathBuf,
    },
    /// A store exists where one is to be created.
    #[error("{}: a store exists already and was not changed", .directory.display())]
    AlreadyExists {
        /// Directory of the store.
        directory: PathBuf,
    },
    /// Another process has the store open.
    #[error("the store is locked by another process: {0}")]
    Locked(#[source] io::Error),
    /// The file has another format. Run a version that supports it.
    #[error("{}: store format {found} is not supported, only {supported}", .file.display())]
    UnknownFormat {
        /// Path of the file.
        file: PathBuf,
        /// Format of the file.
        found: u32,
        /// Format that this version supports.
        supported: u32,
    },
    /// The store belongs to another replica. Correct `serve.keeper`, `serve.store` or `installation`.
    #[error(
        "{}: this is the store of replica {found_replica} of installation {found_installation:?}, not of replica \
         {replica_id} of {installation:?}",
        .file.display()
    )]
    WrongReplica {
        /// Path of the file.
        file: PathBuf,
        /// Number of the replica that the store belongs to.
        found_replica: u64,
        /// Installation that the store belongs to.
        found_installation: String,
        /// Number of the replica that opened it.
        replica_id: u64,
        /// Installation of the replica that opened it.
        installation: String,
    },
    /// The file has no header.
    #[error("the store cannot be used: it has no header")]
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
    /// A transaction cannot be started.
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
