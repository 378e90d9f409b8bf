//! Tests of what a process says about its build.

use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::Path,
    process::{Command, Stdio},
};

use cranberrychute::build::{BUILD, digest_sources};
use cranberrychute_emulator::NodeSpec;
use proptest::prelude::*;
use serde_json::Value;
use tempfile::tempdir;

const PROGRAM: &str = env!("CARGO_BIN_EXE_cranberrychute");

/// Writes files into a new folder and returns their digest.
fn digest(files: &[(String, String)]) -> String {
    let folder = tempdir().unwrap();
    for (path, content) in files {
        let path = folder.path().join(path);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(path, content).unwrap();
    }
    digest_sources(folder.path()).unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against a digest that depends on the order in which files are found, or misses a change.
    #[test]
    fn the_digest_tells_sources_apart(
        files in prop::collection::btree_map("(src|platform)/[a-c]/[a-d]{1,3}", "[xy]{0,4}", 1..8),
        changed in any::<prop::sample::Index>(),
    ) {
        let mut files: Vec<(String, String)> = files.into_iter().collect();
        let before = digest(&files);
        files.reverse();
        prop_assert_eq!(&digest(&files), &before);
        let changed = changed.index(files.len());
        let (path, content) = files[changed].clone();
        files[changed].1 = format!("{content}z");
        prop_assert_ne!(&digest(&files), &before);
        // The same bytes, divided otherwise between path and content.
        files[changed] = (format!("{path}z"), content);
        prop_assert_ne!(&digest(&files), &before);
    }
}

/// Guards against a digest that cannot be found again from the sources of a commit.
#[test]
fn the_digest_of_the_checkout_is_that_of_the_build() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let output = Command::new(PROGRAM)
        .args(["version", "--sources"])
        .arg(root)
        .output()
        .unwrap();
    assert_eq!(
        String::from_utf8(output.stdout).unwrap().trim(),
        BUILD.sources
    );
}

/// Guards against a log of a node that does not say which build wrote it.
#[test]
fn a_node_logs_its_build() {
    let folder = tempdir().unwrap();
    let settings = folder.path().join("node.toml");
    let specs = NodeSpec::allocate(1, &["a"]).unwrap();
    let platform = SocketAddr::from(([127, 0, 0, 1], 9));
    let text = specs[0].settings(platform, &"5a".repeat(32), &specs);
    fs::write(&settings, format!("{text}\n[log]\nformat = \"json\"\n")).unwrap();
    let mut node = Command::new(PROGRAM)
        .args(["node", "--settings"])
        .arg(&settings)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let lines = BufReader::new(node.stderr.take().unwrap()).lines();
    let started = lines
        .map(|line| serde_json::from_str::<Value>(&line.unwrap()).unwrap())
        .find(|line| line["message"] == "node started");
    node.kill().unwrap();
    node.wait().unwrap();
    let started = started.expect("the node logs its start");
    assert_eq!(started["crate_version"], BUILD.crate_version);
    assert_eq!(started["commit"], BUILD.commit);
    assert_eq!(started["sources"], BUILD.sources);
    assert_eq!(started["arch"], BUILD.arch);
}
