use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// The name of an entry VM, as in the platform's VM list.
    NodeId
}
name_type! {
    /// The name of a failure domain.
    Domain
}
name_type! {
    /// The name of a query service.
    ServiceName
}
name_type! {
    /// The address of a leaf, `ip:port`. One leaf serves one or more shards of one service.
    LeafId
}
name_type! {
    /// The id that a leaf process generates at its start. Unlike the address, it is never reused by another leaf.
    Instance
}
name_type! {
    /// The id of one caller request, included in every log line about the request and passed on with every hop.
    RequestId
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

number_type! {
    /// Identifies one run of a node process; drawn at random at its start.
    Incarnation(u64)
}
number_type! {
    /// A version of a service's index; a higher one is newer.
    SnapshotId(u64)
}
number_type! {
    /// A shard of one snapshot.
    ShardId(u32)
}

/// A group of leaves in one failure domain that one node owns at a time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartitionId {
    /// The failure domain of the leaves.
    pub domain: Domain,
    /// The bucket within the domain, below the configured number of partitions.
    pub bucket: u16,
}

impl PartitionId {
    /// Returns the partition of a leaf, given the number of partitions per failure domain.
    pub fn of(leaf: &LeafId, domain: &Domain, partitions: u16) -> Self {
        debug_assert!(
            partitions > 0,
            "a failure domain has at least one partition"
        );
        let hash = xxhash_rust::xxh3::xxh3_64(leaf.as_str().as_bytes());
        Self {
            domain: domain.clone(),
            bucket: (hash % u64::from(partitions.max(1))) as u16,
        }
    }
}

impl fmt::Display for PartitionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.domain, self.bucket)
    }
}
