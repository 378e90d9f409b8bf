use std::{net::SocketAddr, process::ExitCode, time::Duration};

use anyhow::Context;
use argh::FromArgs;
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};

/// Timeout of the request to the node.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of the answer.
const MAX_STATE_BYTES: usize = 16 << 20;

/// Show the state of a node to an operator, as JSON.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "state",
    note = "The state names leases, leaves, configuration versions, refusals, alarms and recent trace spans.",
    example = "{command_name} 127.0.0.1:8001",
    error_code(1, "The node does not answer.")
)]
pub(super) struct State {
    /// caller address of the node, for example 127.0.0.1:8001
    #[argh(positional)]
    node: SocketAddr,

    /// one line instead of indented JSON
    #[argh(switch)]
    compact: bool,
}

impl State {
    pub(super) fn run(self) -> ExitCode {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let text = runtime
            .context("cannot start the runtime")
            .and_then(|runtime| runtime.block_on(self.fetch()));
        match text {
            Ok(text) => super::print(&text),
            Err(error) => {
                super::print_error(&format!(
                    "cannot get the state of node {}: {error:#}",
                    self.node
                ));
                ExitCode::FAILURE
            }
        }
    }

    async fn fetch(&self) -> anyhow::Result<String> {
        let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
        let request = Request::get(format!("http://{}/v1/state", self.node)).body(Empty::new())?;
        let exchange = async {
            let response = client.request(request).await.context("request failed")?;
            let body = Limited::new(response.into_body(), MAX_STATE_BYTES)
                .collect()
                .await;
            body.map_err(|error| anyhow::anyhow!("cannot read the answer: {error}"))
        };
        let body = tokio::time::timeout(REQUEST_TIMEOUT, exchange)
            .await
            .context("no answer in time")??;
        let state: serde_json::Value =
            serde_json::from_slice(&body.to_bytes()).context("the answer is not JSON")?;
        Ok(if self.compact {
            state.to_string()
        } else {
            format!("{state:#}")
        })
    }
}
