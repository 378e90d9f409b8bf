//! Tests of the emulated platform.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use cranberrychute_emulator::{Platform, PlatformControl};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use serde_json::{Value, json};

async fn start() -> Platform {
    Platform::start(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .unwrap()
}

async fn call(
    platform: &Platform,
    method: Method,
    path: &str,
    body: &str,
) -> Result<(StatusCode, Value), Box<dyn std::error::Error + Send + Sync>> {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", platform.address()))
        .body(Full::<Bytes>::from(body.to_owned()))?;
    let response = Client::builder(TokioExecutor::new())
        .build_http()
        .request(request)
        .await?;
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    Ok((status, serde_json::from_slice(&body)?))
}

async fn watch(platform: &Platform, after: u64, wait: u64) -> Value {
    let path = format!("/v1/watch?after={after}&wait_ms={wait}");
    call(platform, Method::GET, &path, "").await.unwrap().1
}

/// Guards against lost or repeated documents, and against versions that do not increase.
#[tokio::test]
async fn watch_returns_changed_documents() {
    let platform = start().await;
    assert_eq!(
        watch(&platform, 0, 10_000).await,
        json!({"revision": 0, "documents": []})
    );
    let put = call(
        &platform,
        Method::PUT,
        "/v1/documents/service/parts",
        "a = 1",
    )
    .await
    .unwrap();
    assert_eq!(put, (StatusCode::OK, json!({"version": 1, "revision": 1})));
    platform.put("domains", Some(7), "{}");
    assert_eq!(
        watch(&platform, 0, 0).await["documents"]
            .as_array()
            .unwrap()
            .len(),
        2
    );
    let waiting = async { watch(&platform, 2, 60_000).await };
    let deleting = async {
        while platform.counters().waiting == 0 {
            tokio::task::yield_now().await;
        }
        call(&platform, Method::DELETE, "/v1/documents/domains", "")
            .await
            .unwrap()
    };
    let (seen, _) = tokio::join!(waiting, deleting);
    let deleted = json!([{"key": "domains", "version": 8, "value": null}]);
    assert_eq!(seen, json!({"revision": 3, "documents": deleted}));
    assert_eq!(
        watch(&platform, 3, 1).await,
        json!({"revision": 3, "documents": []})
    );
    let counters = platform.counters();
    assert_eq!((counters.reads, counters.waiting), (4, 0));
    let large = "x".repeat((1 << 20) + 1);
    let rejected = call(&platform, Method::PUT, "/v1/documents/vms", &large)
        .await
        .unwrap();
    assert_eq!(rejected.0, StatusCode::PAYLOAD_TOO_LARGE);
}

/// Guards against faults that let readers see the newest state or that do not end.
#[tokio::test]
async fn injected_faults_start_and_end() {
    let platform = start().await;
    let control = |control: PlatformControl| platform.control(control).unwrap();
    platform.put("domains", None, "1");
    platform.put("domains", None, "2");
    control(PlatformControl {
        stale: Some(true),
        ..PlatformControl::default()
    });
    platform.put("domains", None, "3");
    assert_eq!(watch(&platform, 0, 0).await["documents"][0]["version"], 2);
    control(PlatformControl {
        rollback: Some(1),
        ..PlatformControl::default()
    });
    let old = watch(&platform, 2, 60_000).await;
    assert_eq!(
        (&old["revision"], &old["documents"][0]["version"]),
        (&json!(1), &json!(1))
    );
    control(PlatformControl {
        stale: Some(false),
        ..PlatformControl::default()
    });
    assert_eq!(
        watch(&platform, 1, 60_000).await["documents"][0]["value"],
        "3"
    );
    control(PlatformControl {
        down: Some(true),
        ..PlatformControl::default()
    });
    assert!(
        call(&platform, Method::GET, "/v1/watch?after=0", "")
            .await
            .is_err()
    );
    control(PlatformControl {
        down: Some(false),
        hang: Some(true),
        ..PlatformControl::default()
    });
    let hanging = watch(&platform, 0, 0);
    assert!(
        tokio::time::timeout(Duration::from_millis(100), hanging)
            .await
            .is_err()
    );
    control(PlatformControl {
        hang: Some(false),
        ..PlatformControl::default()
    });
    assert_eq!(watch(&platform, 0, 0).await["revision"], 3);
}
