//! Disk operations of the store.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Disk operations that the store needs. Tests implement the trait to inject faults.
pub trait DiskIo: Send {
    /// Creates a folder and its missing parents.
    ///
    /// # Errors
    ///
    /// Returns the file system's error.
    fn create_folder(&mut self, folder: &Path) -> io::Result<()>;

    /// Locks a file for this process until the disk is dropped. Returns false if another process
    /// holds the lock.
    ///
    /// # Errors
    ///
    /// Returns the file system's error.
    fn lock(&mut self, path: &Path) -> io::Result<bool>;

    /// Lists the names of the files in a folder, in alphabetical order.
    ///
    /// # Errors
    ///
    /// Returns the file system's error.
    fn list(&mut self, folder: &Path) -> io::Result<Vec<String>>;

    /// Reads a whole file.
    ///
    /// # Errors
    ///
    /// Returns the file system's error.
    fn read(&mut self, path: &Path) -> io::Result<Vec<u8>>;

    /// Appends to a file; creates the file if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Returns the file system's error; some of the bytes may have been written.
    fn append(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()>;

    /// Overwrites the start of a file; creates the file if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Returns the file system's error.
    fn overwrite(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()>;

    /// Truncates a file to a length in bytes.
    ///
    /// # Errors
    ///
    /// Returns the file system's error.
    fn truncate(&mut self, path: &Path, length: u64) -> io::Result<()>;

    /// Syncs the content of a file.
    ///
    /// # Errors
    ///
    /// Returns the file system's error; the content may or may not be durable.
    fn sync_file(&mut self, path: &Path) -> io::Result<()>;

    /// Syncs the entries of a folder, so that created, renamed and removed files are durable.
    ///
    /// # Errors
    ///
    /// Returns the file system's error.
    fn sync_folder(&mut self, folder: &Path) -> io::Result<()>;

    /// Renames a file, replacing an existing file of the new name.
    ///
    /// # Errors
    ///
    /// Returns the file system's error.
    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Returns the file system's error.
    fn remove(&mut self, path: &Path) -> io::Result<()>;
}

/// Disk operations on the operating system's file system.
#[derive(Debug, Default)]
pub struct SystemDisk {
    lock: Option<File>,
    open: BTreeMap<PathBuf, File>,
}

impl SystemDisk {
    /// Returns a file opened for appending; keeps it open for later calls.
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

impl DiskIo for SystemDisk {
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
