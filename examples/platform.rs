//! Runs the emulated configuration service and VM list in a process of their own.
//!
//! Prints its address as one JSON line, then serves until it is terminated.

use std::{fs, net::SocketAddr};

use anyhow::Context;
use argh::FromArgs;
use cranberrychute_emulator::Platform;

/// Serve documents to the nodes in place of the platform.
#[derive(FromArgs)]
struct Arguments {
    /// address to listen on (default 127.0.0.1:0)
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,

    /// document published at the start, KEY=FILE; may be repeated
    #[argh(option)]
    document: Vec<String>,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let arguments: Arguments = argh::from_env();
    let platform = Platform::start(arguments.listen).await?;
    for document in &arguments.document {
        let (key, file) = document
            .split_once('=')
            .with_context(|| format!("{document:?} is not KEY=FILE"))?;
        let value = fs::read_to_string(file).with_context(|| format!("cannot read {file}"))?;
        platform.put(key, None, &value);
    }
    println!("{}", serde_json::json!({"address": platform.address()}));
    std::future::pending().await
}
