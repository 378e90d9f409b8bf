//! Tests of the control socket over loopback.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use assert_matches::assert_matches;
use cranberrychute::{
    adapter::peer::{ControlError, ControlSocket},
    core::{FleetKey, Incarnation, NodeId, PartitionId, lease::LeaseMessage},
};
use tokio::{net::UdpSocket, time::timeout};

type Message = LeaseMessage<u64>;

async fn open(name: &str, key: u8) -> ControlSocket {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let key = FleetKey::new([key; 32]);
    let socket = ControlSocket::bind(address, name.into(), Incarnation(7), &key).await;
    socket.unwrap()
}

fn release(partitions: u16) -> Message {
    let partition = |bucket| PartitionId {
        domain: "a-failure-domain".into(),
        bucket,
    };
    LeaseMessage::Release {
        incarnation: Incarnation(7),
        round: 1,
        partitions: (0..partitions).map(partition).collect(),
    }
}

/// Guards against messages being lost because they do not fit in one datagram.
#[tokio::test]
async fn large_messages_are_split() {
    let (a, b) = (open("a", 1).await, open("b", 1).await);
    let to = b.local_addr().unwrap();
    a.send(to, release(200), Message::split).await.unwrap();
    let mut received = BTreeSet::new();
    let mut parts = 0;
    while received.len() < 200 {
        let incoming = timeout(Duration::from_secs(5), b.receive::<Message>());
        let incoming = incoming.await.unwrap().unwrap();
        assert_eq!(incoming.from, NodeId::from("a"));
        assert_eq!(incoming.incarnation, Incarnation(7));
        assert_matches!(incoming.message, LeaseMessage::Release { partitions, .. } => {
            received.extend(partitions.into_iter().map(|partition| partition.bucket));
        });
        parts += 1;
    }
    assert!(parts > 1);
    let error = a.send(to, "x".repeat(1_200), Err).await.unwrap_err();
    assert_matches!(error, ControlError::TooLarge { limit: 1_200, .. });
}

/// Guards against messages from other fleets and altered, truncated or oversized datagrams being accepted.
#[tokio::test]
async fn invalid_datagrams_are_dropped_and_counted() {
    let (a, b) = (open("a", 1).await, open("b", 1).await);
    let to = b.local_addr().unwrap();
    let raw = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    a.send(raw.local_addr().unwrap(), release(2), Message::split)
        .await
        .unwrap();
    let mut datagram = [0; 2_000];
    let length = raw.recv(&mut datagram).await.unwrap();
    let valid = &datagram[..length];
    let mut altered = valid.to_vec();
    altered[length - 1] ^= 1;
    for invalid in [
        &altered,
        &valid[..length - 1],
        &valid[..15],
        &[],
        &[0; 1_900][..],
    ] {
        raw.send_to(invalid, to).await.unwrap();
    }
    open("c", 2)
        .await
        .send(to, release(1), Message::split)
        .await
        .unwrap();
    a.send(to, "not a lease message", Err).await.unwrap();
    raw.send_to(valid, to).await.unwrap();
    let incoming = timeout(Duration::from_secs(5), b.receive::<Message>());
    let incoming = incoming.await.unwrap().unwrap();
    assert_eq!(incoming.message, release(2));
    assert_eq!(b.dropped(), 7);
}
