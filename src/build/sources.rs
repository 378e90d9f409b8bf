// Also a module of the build script, so it uses nothing else of this crate.

use std::{
    fs,
    io::{self, ErrorKind},
    path::Path,
};

use xxhash_rust::xxh3::Xxh3;

/// Files and folders that decide what a build does, relative to the root of the repository.
pub const SOURCES: [&str; 5] = ["Cargo.lock", "Cargo.toml", "build.rs", "platform", "src"];

/// Returns a digest of the sources below `root`, as 32 hexadecimal digits.
///
/// It rests on the paths and contents of the files only, so it is the same on all machines. [`SOURCES`] that do not exist
/// are left out, as the build script is in commits before it.
///
/// # Errors
///
/// Fails if there is no source or one cannot be read.
pub fn digest_sources(root: &Path) -> io::Result<String> {
    let mut files = Vec::new();
    for source in SOURCES {
        list_files(root, source.to_owned(), &mut files)?;
    }
    if files.is_empty() {
        return Err(ErrorKind::NotFound.into());
    }
    files.sort_unstable();
    let mut digest = Xxh3::new();
    for path in files {
        let content = fs::read(root.join(&path))?;
        for part in [path.as_bytes(), &content] {
            digest.update(&(part.len() as u64).to_le_bytes());
            digest.update(part);
        }
    }
    Ok(format!("{:032x}", digest.digest128()))
}

/// Adds the files at or below a path, which has `/` between its parts.
fn list_files(root: &Path, path: String, files: &mut Vec<String>) -> io::Result<()> {
    let full = root.join(&path);
    if full.is_file() {
        files.push(path);
    } else if full.is_dir() {
        for entry in fs::read_dir(full)? {
            let name = entry?.file_name();
            list_files(root, format!("{path}/{}", name.to_string_lossy()), files)?;
        }
    }
    Ok(())
}
