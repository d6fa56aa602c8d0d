//! The edge to the file system.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// What the store needs of a file system; tests put faults behind it.
pub trait DiskEdge: Send {
    /// Creates a folder and those above it.
    ///
    /// # Errors
    ///
    /// Gives the file system's error.
    fn create_folder(&mut self, folder: &Path) -> io::Result<()>;

    /// Locks a file for this process until the edge is dropped; false where another has it.
    ///
    /// # Errors
    ///
    /// Gives the file system's error.
    fn lock(&mut self, path: &Path) -> io::Result<bool>;

    /// Lists the names of a folder's files.
    ///
    /// # Errors
    ///
    /// Gives the file system's error.
    fn list(&mut self, folder: &Path) -> io::Result<Vec<String>>;

    /// Reads a whole file.
    ///
    /// # Errors
    ///
    /// Gives the file system's error.
    fn read(&mut self, path: &Path) -> io::Result<Vec<u8>>;

    /// Appends to a file, which is created where it is not there.
    ///
    /// # Errors
    ///
    /// Gives the file system's error; some of the bytes may have been written.
    fn append(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()>;

    /// Writes over the start of a file, which is created where it is not there.
    ///
    /// # Errors
    ///
    /// Gives the file system's error.
    fn overwrite(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()>;

    /// Cuts a file to a length, in bytes.
    ///
    /// # Errors
    ///
    /// Gives the file system's error.
    fn truncate(&mut self, path: &Path, length: u64) -> io::Result<()>;

    /// Makes a file's content durable.
    ///
    /// # Errors
    ///
    /// Gives the file system's error; what is durable is not known then.
    fn sync_file(&mut self, path: &Path) -> io::Result<()>;

    /// Makes a folder's names durable.
    ///
    /// # Errors
    ///
    /// Gives the file system's error.
    fn sync_folder(&mut self, folder: &Path) -> io::Result<()>;

    /// Gives a file another name, in place of one that has it.
    ///
    /// # Errors
    ///
    /// Gives the file system's error.
    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Gives the file system's error.
    fn remove(&mut self, path: &Path) -> io::Result<()>;
}

/// The file system of the host.
#[derive(Debug, Default)]
pub struct HostDisk {
    lock: Option<File>,
    open: BTreeMap<PathBuf, File>,
}

impl HostDisk {
    /// Returns a file that is open for appending.
    fn file(&mut self, path: &Path) -> io::Result<&mut File> {
        if !self.open.contains_key(path) {
            let file = OpenOptions::new().create(true).append(true).open(path)?;
            self.open.insert(path.to_path_buf(), file);
        }
        self.open
            .get_mut(path)
            .ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
    }
}

impl DiskEdge for HostDisk {
    fn create_folder(&mut self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)
    }

    fn lock(&mut self, path: &Path) -> io::Result<bool> {
        let file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path)?;
        match file.try_lock() {
            Ok(()) => {
                self.lock = Some(file);
                Ok(true)
            }
            Err(TryLockError::WouldBlock) => Ok(false),
            Err(TryLockError::Error(e)) => Err(e),
        }
    }

    fn list(&mut self, folder: &Path) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for item in fs::read_dir(folder)? {
            names.push(item?.file_name().to_string_lossy().into_owned());
        }
        names.sort();
        Ok(names)
    }

    fn read(&mut self, path: &Path) -> io::Result<Vec<u8>> {
        fs::read(path)
    }

    fn append(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        self.file(path)?.write_all(bytes)
    }

    fn overwrite(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let mut options = OpenOptions::new();
        let file = options
            .create(true)
            .truncate(false)
            .write(true)
            .open(path)?;
        file.write_all_at(bytes, 0)
    }

    fn truncate(&mut self, path: &Path, length: u64) -> io::Result<()> {
        self.file(path)?.set_len(length)
    }

    fn sync_file(&mut self, path: &Path) -> io::Result<()> {
        self.file(path)?.sync_data()
    }

    fn sync_folder(&mut self, folder: &Path) -> io::Result<()> {
        File::open(folder)?.sync_all()
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        self.open.remove(from);
        self.open.remove(to);
        fs::rename(from, to)
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        self.open.remove(path);
        fs::remove_file(path)
    }
}
