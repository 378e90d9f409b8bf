//! Passes the commit and a digest of the sources to the compiler.

#[expect(unreachable_pub, reason = "its items are public in the library")]
#[path = "src/build/sources.rs"]
mod sources;

use std::{
    env, io,
    path::{Path, PathBuf},
    process::Command,
};

use sources::{SOURCES, digest_sources};

/// Length of a commit, in hexadecimal digits.
const COMMIT: &str = "--short=12";
/// Variables that would make git use another repository or index, as in a hook.
const GIT_VARIABLES: [&str; 3] = ["GIT_DIR", "GIT_WORK_TREE", "GIT_INDEX_FILE"];

fn main() -> io::Result<()> {
    let root = PathBuf::from(env::var_os("CARGO_MANIFEST_DIR").unwrap_or_default());
    let digest = digest_sources(&root)?;
    let commit = commit(&root).unwrap_or_else(|| "unknown".to_owned());
    println!("cargo:rustc-env=CRANBERRYCHUTE_SOURCES={digest}");
    println!("cargo:rustc-env=CRANBERRYCHUTE_COMMIT={commit}");
    SOURCES.iter().for_each(rerun_if_changed);
    Ok(())
}

/// Returns the commit of a repository whose top folder is `root`, and watches for other commits.
fn commit(root: &Path) -> Option<String> {
    // A copy of the sources may lie inside another repository.
    if !git(root, &["rev-parse", "--show-cdup"])?.is_empty() {
        return None;
    }
    let commit = git(root, &["rev-parse", COMMIT, "HEAD"])?;
    let branch = git(root, &["symbolic-ref", "--quiet", "HEAD"]);
    let names = ["HEAD", "logs/HEAD", "packed-refs"].map(str::to_owned);
    for name in names.into_iter().chain(branch) {
        let path = root.join(git(root, &["rev-parse", "--git-path", &name])?);
        // A path that does not exist would run this script at each build.
        if path.exists() {
            rerun_if_changed(&path.display());
        }
    }
    let status = ["--no-optional-locks", "status", "--porcelain", "--"];
    let changes = git(root, &[&status[..], &SOURCES[..]].concat())?;
    let mark = if changes.is_empty() { "" } else { "-modified" };
    Some(commit + mark)
}

/// Runs git and returns what it prints, or None if it fails or is not installed.
fn git(root: &Path, arguments: &[&str]) -> Option<String> {
    let mut command = Command::new("git");
    command.current_dir(root).args(arguments);
    for variable in GIT_VARIABLES {
        command.env_remove(variable);
    }
    let output = command.output().ok()?;
    let text = String::from_utf8(output.stdout).ok()?;
    output.status.success().then(|| text.trim().to_owned())
}

fn rerun_if_changed(path: &impl std::fmt::Display) {
    println!("cargo:rerun-if-changed={path}");
}
