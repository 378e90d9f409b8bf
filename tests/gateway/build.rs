use std::process::Command;

use serde_json::Value;

use crate::site::{Site, wait_until};

/// Guards against a log that does not say which build wrote it, and against a command that says something else.
#[tokio::test]
async fn the_log_and_the_command_name_the_build() {
    let site = Site::start(1, 1).await;
    let node = site.node(0);
    wait_until("the node has logged", async || !node.log().is_empty()).await;
    let log = node.log();
    let mut lines = log
        .lines()
        .map(|line| serde_json::from_str::<Value>(line).unwrap());
    let started = lines.find(|line| line["message"] == "started").unwrap();
    let version = Command::new(env!("CARGO_BIN_EXE_cranberrychute"))
        .arg("version")
        .output()
        .unwrap();
    let printed = String::from_utf8(version.stdout).unwrap();
    let fields: Vec<(&str, &str)> = printed
        .lines()
        .filter_map(|line| line.split_once(' '))
        .collect();
    let names: Vec<&str> = fields.iter().map(|(name, _)| *name).collect();
    assert_eq!(names, ["crate_version", "commit", "sources", "arch"]);
    for (name, value) in fields {
        assert_eq!(started[name], value, "{name}");
        assert!(!value.is_empty(), "{name}");
    }
}
