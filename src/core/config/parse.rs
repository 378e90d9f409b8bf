use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use serde_json::Value;
use smallvec::SmallVec;
use url::Url;

use super::{
    AlarmPolicy, DomainList, Fault, HedgePolicy, LeafInfo, QuietHours, ServiceMap, ServicePolicy,
    Shard, Snapshot, SnapshotState, Vm, VmList, VmState,
    table::{Faults, TableReader, describe, truncate},
};
use crate::core::{Domain, LeafId, NodeId, ServiceName, ShardId, SnapshotId};

/// Maximum length of a document value, in bytes. The platform does not store longer values.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Maximum deadline of a query, in milliseconds.
const MAX_DEADLINE_MS: i64 = 10_000;
/// Maximum number of VMs in the list; the system is designed for 2,800.
const MAX_VMS: usize = 8_192;
/// Maximum number of shards of one snapshot in one document.
const MAX_SHARDS: usize = 65_536;
const MAX_SNAPSHOTS: usize = 16;
const MAX_REPLICAS: usize = 16;
const MAX_DOMAINS: usize = 256;
const NAME_RULE: &str = "name of 1 to 64 letters, digits, '.', '_' or '-'";
const ADDRESS_RULE: &str = "ip:port in canonical form, such as 10.0.0.7:7100 or [fd00::7]:7100";
const VMS_RULE: &str = "at least one VM; a node that reads the list runs on one";
const KEY_RULE: &str = "the keys service/<name>, map/<name>, map/<name>/<part>, domains and vms";

/// A valid document of one of the four kinds.
#[derive(Clone, Debug, PartialEq)]
pub enum ParsedDocument {
    Service(ServiceName, Arc<ServicePolicy>),
    /// A map or one part of a map.
    Map(ServiceName, Arc<MapPart>),
    Domains(DomainList),
    Vms(VmList),
}

/// A map document: a complete map, or one part of a map that exceeds 1 MB.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MapPart {
    pub map: Arc<ServiceMap>,
    /// Declared number of shards of each snapshot in all parts together, in the order of `map.snapshots`. A snapshot
    /// becomes active only once that many shards are known, so that its shard list is never incomplete.
    pub totals: Vec<u32>,
}

/// The kinds of documents, in the order of [`super::Digest::totals`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DocumentKind {
    Domains,
    Vms,
    Service,
    Map,
}

/// Returns the kind of the document `key`, and its service for policies and maps.
///
/// # Errors
///
/// Returns a fault if no kind of document has such a key, or if a name in the key is not valid.
pub fn document_kind(key: &str) -> Result<(DocumentKind, Option<ServiceName>), Fault> {
    let parts: SmallVec<[&str; 4]> = key.splitn(4, '/').collect();
    match parts[..] {
        ["domains"] => Ok((DocumentKind::Domains, None)),
        ["vms"] => Ok((DocumentKind::Vms, None)),
        ["service", name] if is_name(name) => Ok((DocumentKind::Service, Some(name.into()))),
        ["map", name] if is_name(name) => Ok((DocumentKind::Map, Some(name.into()))),
        ["map", name, part] if is_name(name) && is_name(part) => {
            Ok((DocumentKind::Map, Some(name.into())))
        }
        _ => {
            let reason = format!("unknown document key \"{}\"", truncate(key));
            let allowed = format!("{KEY_RULE}, where <name> is a {NAME_RULE}");
            Err(Fault::new("key", reason, allowed))
        }
    }
}

/// Parses and validates the value of the document `key`.
///
/// The result depends only on the arguments, so all nodes reach the same result.
///
/// # Errors
///
/// Returns all faults, each with its field, reason and allowed values.
pub fn parse_document(key: &str, text: &str) -> Result<ParsedDocument, Vec<Fault>> {
    let (kind, service) = document_kind(key).map_err(|fault| vec![fault])?;
    if text.len() > MAX_VALUE_BYTES {
        let reason = format!("has {} bytes", text.len());
        let allowed = format!("at most {MAX_VALUE_BYTES} bytes");
        return Err(vec![Fault::new("", reason, allowed)]);
    }
    match (kind, service) {
        (DocumentKind::Service, Some(name)) => {
            let policy = ServicePolicy::parse(&name, text)?;
            Ok(ParsedDocument::Service(name, Arc::new(policy)))
        }
        (DocumentKind::Map, Some(name)) => {
            let part = MapPart::parse(text)?;
            Ok(ParsedDocument::Map(name, Arc::new(part)))
        }
        (DocumentKind::Vms, _) => VmList::parse(text).map(ParsedDocument::Vms),
        _ => DomainList::parse(text).map(ParsedDocument::Domains),
    }
}

/// Checks whether the document `key` may be deleted.
///
/// # Errors
///
/// Returns a fault if no kind of document has such a key, or if the deletion would stop the fleet.
pub(super) fn check_deletion(key: &str) -> Result<(), Vec<Fault>> {
    match document_kind(key) {
        Ok((DocumentKind::Vms, _)) => Err(vec![Fault::new("", "was deleted", VMS_RULE)]),
        Ok(_) => Ok(()),
        Err(fault) => Err(vec![fault]),
    }
}

impl ServicePolicy {
    /// Parses and validates the policy of a service.
    ///
    /// # Errors
    ///
    /// Returns all faults, each with its field, reason and allowed values.
    pub fn parse(name: &ServiceName, text: &str) -> Result<Self, Vec<Fault>> {
        debug_assert!(is_name(name.as_str()), "the key has been validated");
        let mut faults = Faults::default();
        let policy = parse_toml(text, &mut faults, |t| {
            let unit = "milliseconds";
            let policy = Self {
                deadline_ms: t.integer("deadline_ms", None, 1..=MAX_DEADLINE_MS, unit),
                max_deadline_ms: t.integer("max_deadline_ms", None, 1..=MAX_DEADLINE_MS, unit),
                partial_after_ms: t
                    .raw("partial_after_ms")
                    .is_some()
                    .then(|| t.integer("partial_after_ms", None, 1..=MAX_DEADLINE_MS, unit)),
                min_coverage: t.number("min_coverage", Some(1.0), 0.0..=1.0, ""),
                max_top: t.integer("max_top", None, 1..=1_000, "hits"),
                hedge: t.table("hedge", read_hedge).unwrap_or_default(),
                alarm: t.table("alarm", read_alarm),
            };
            let max = policy.max_deadline_ms;
            let allowed = format!("at most max_deadline_ms, which is {max}");
            if max > 0 && policy.deadline_ms > max {
                let reason = format!("is {}, above the longest deadline", policy.deadline_ms);
                t.fault("deadline_ms", reason, allowed.clone());
            }
            if let Some(after) = policy
                .partial_after_ms
                .filter(|&after| max > 0 && after > max)
            {
                let reason = format!("is {after}, above the longest deadline");
                t.fault("partial_after_ms", reason, allowed);
            }
            policy
        });
        faults.into_result(policy)?.ok_or_else(Vec::new)
    }
}

fn read_hedge(t: &mut TableReader<'_>) -> HedgePolicy {
    let default = HedgePolicy::default();
    HedgePolicy {
        quantile: t.number("quantile", Some(default.quantile), 0.5..=0.999, ""),
        percent: t.number("percent", Some(default.percent), 0.0..=10.0, " of percent"),
    }
}

fn read_alarm(t: &mut TableReader<'_>) -> AlarmPolicy {
    AlarmPolicy {
        latency_ms: t.integer("latency_ms", None, 1..=MAX_DEADLINE_MS, "milliseconds"),
        objective: t.number("objective", None, 0.5..=0.9999, ""),
        coverage: t.number("coverage", None, 0.0..=1.0, ""),
        webhook: t.optional("webhook", "URL that starts with http://", |value| {
            let url = Url::parse(value.as_str()?).ok()?;
            (url.scheme() == "http").then(|| url.as_str().into())
        }),
        quiet: t.table("quiet", |t| {
            let quiet = QuietHours {
                from_hour: t.integer("from_hour", None, 0..=23, "hours"),
                to_hour: t.integer("to_hour", None, 0..=23, "hours"),
                utc_offset: t.integer("utc_offset", None, -720..=840, "minutes"),
            };
            if quiet.from_hour == quiet.to_hour {
                let reason = format!("is {}, the same as from_hour", quiet.to_hour);
                t.fault("to_hour", reason, "an hour other than from_hour");
            }
            quiet
        }),
    }
}

impl MapPart {
    /// Returns whether the document contains all shards of each of its snapshots.
    pub fn is_complete(&self) -> bool {
        let mut pairs = self.map.snapshots.iter().zip(&self.totals);
        pairs.all(|(snapshot, &total)| snapshot.shards.len() >= total as usize)
    }

    /// Parses and validates a map document.
    ///
    /// # Errors
    ///
    /// Returns all faults, each with its field, reason and allowed values.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let mut faults = Faults::default();
        let part = parse_json(text, &mut faults, |t| {
            let leaves = t.raw("leaves");
            if leaves.is_none() {
                t.fault("leaves", "missing", "table from leaf address to leaf");
            }
            let leaves = leaves.map(|value| read_leaves(value, t.faults));
            let leaves = leaves.unwrap_or_default();
            let mut ids = BTreeSet::new();
            let snapshots = t.list(
                "snapshots",
                true,
                MAX_SNAPSHOTS,
                "snapshots",
                |path, value, faults| {
                    Some(TableReader::read_at(path, value, faults, |t| {
                        let (snapshot, total) = read_snapshot(t, &leaves);
                        if !ids.insert(snapshot.id) {
                            let reason = format!("is {}, listed twice", snapshot.id);
                            t.fault("id", reason, "one entry per snapshot");
                        }
                        (snapshot, total)
                    }))
                },
            );
            let (snapshots, totals) = snapshots.into_iter().unzip();
            Self {
                map: Arc::new(ServiceMap { snapshots, leaves }),
                totals,
            }
        });
        faults.into_result(part)?.ok_or_else(Vec::new)
    }
}

fn read_leaves(value: &Value, faults: &mut Faults) -> BTreeMap<LeafId, LeafInfo> {
    let Some(fields) = value.as_object() else {
        faults.add("leaves", describe(value), "table from leaf address to leaf");
        return BTreeMap::new();
    };
    let mut leaves = BTreeMap::new();
    for (address, value) in fields {
        let path = format!("leaves.{}", truncate(address));
        if parse_address(address).is_none() {
            faults.add(path.clone(), "is not an address", ADDRESS_RULE);
        }
        let info = TableReader::read_at(path, value, faults, |t| {
            let slots = t.integer("slots", None, 1..=4_096, "calls");
            let max = if slots == 0 { 4_096 } else { i64::from(slots) };
            LeafInfo {
                domain: read_name(t, "domain"),
                slots,
                connections: t.integer("connections", None, 1..=65_535, "connections"),
                cold_capacity: t.integer("cold_capacity", Some(1), 1..=max, "calls"),
                leaving: t.flag("leaving"),
            }
        });
        leaves.insert(address.as_str().into(), info);
    }
    leaves
}

fn read_snapshot(t: &mut TableReader<'_>, leaves: &BTreeMap<LeafId, LeafInfo>) -> (Snapshot, u32) {
    let id: i64 = t.integer("id", None, 0..=i64::MAX, "");
    let state = t.required(
        "state",
        "\"loading\", \"serving\" or \"retiring\"",
        |value| match value.as_str()? {
            "loading" => Some(SnapshotState::Loading),
            "serving" => Some(SnapshotState::Serving),
            "retiring" => Some(SnapshotState::Retiring),
            _ => None,
        },
    );
    let mut seen = BTreeSet::new();
    let shards = t.list(
        "shards",
        true,
        MAX_SHARDS,
        "shards",
        |path, value, faults| {
            Some(TableReader::read_at(path, value, faults, |t| {
                let shard = t.integer("shard", None, 0..=i64::from(u32::MAX), "");
                if !seen.insert(shard) {
                    t.fault(
                        "shard",
                        format!("is {shard}, listed twice"),
                        "one entry per shard",
                    );
                }
                let mut replicas = SmallVec::<[LeafId; 4]>::new();
                t.list(
                    "leaves",
                    true,
                    MAX_REPLICAS,
                    "leaf addresses",
                    |path, value, faults| {
                        let leaf = value.as_str().map(LeafId::from);
                        match leaf.filter(|leaf| leaves.contains_key(leaf)) {
                            Some(leaf) if replicas.contains(&leaf) => {
                                let reason = format!("is {leaf}, listed twice");
                                faults.add(path, reason, "one entry per leaf");
                            }
                            Some(leaf) => replicas.push(leaf),
                            None => faults.add(
                                path,
                                describe(value),
                                "a leaf in `leaves` of this document",
                            ),
                        }
                        None::<()>
                    },
                );
                Shard {
                    shard: ShardId(shard),
                    leaves: replicas,
                }
            }))
        },
    );
    let listed = shards.len() as i64;
    let total = t.integer(
        "total",
        Some(shards.len() as u32),
        listed..=1 << 20,
        "shards",
    );
    let snapshot = Snapshot {
        id: SnapshotId(id.unsigned_abs()),
        state: state.unwrap_or(SnapshotState::Loading),
        shards,
    };
    (snapshot, total)
}

impl DomainList {
    /// Parses and validates the list of failure domains that are out of service.
    ///
    /// # Errors
    ///
    /// Returns all faults, each with its field, reason and allowed values.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let mut faults = Faults::default();
        let list = parse_json(text, &mut faults, |t| {
            let out = t.list(
                "out",
                true,
                MAX_DOMAINS,
                "failure domains",
                |path, value, faults| {
                    let name = value.as_str().filter(|name| is_name(name));
                    if name.is_none() {
                        faults.add(path, describe(value), NAME_RULE);
                    }
                    name.map(Domain::from)
                },
            );
            Self {
                out: out.into_iter().collect(),
            }
        });
        faults.into_result(list)?.ok_or_else(Vec::new)
    }
}

impl VmList {
    /// Parses and validates the list of entry VMs.
    ///
    /// # Errors
    ///
    /// Returns all faults, each with its field, reason and allowed values.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let mut faults = Faults::default();
        let list = parse_json(text, &mut faults, |t| {
            let mut ids = BTreeSet::new();
            let vms = t.list("vms", true, MAX_VMS, "VMs", |path, value, faults| {
                Some(TableReader::read_at(path, value, faults, |t| {
                    let vm = read_vm(t);
                    if !ids.insert(vm.id.clone()) {
                        let reason = format!("is \"{}\", listed twice", vm.id);
                        t.fault("id", reason, "one entry per VM");
                    }
                    vm
                }))
            });
            if vms.is_empty() && t.faults.is_empty() {
                t.fault("vms", "is empty", VMS_RULE);
            }
            Self { vms }
        });
        faults.into_result(list)?.ok_or_else(Vec::new)
    }
}

fn read_vm(t: &mut TableReader<'_>) -> Vm {
    Vm {
        id: read_name::<NodeId>(t, "id"),
        domain: read_name(t, "domain"),
        region: t.optional("region", NAME_RULE, |value| {
            value.as_str().filter(|name| is_name(name)).map(Arc::from)
        }),
        state: t
            .required("state", "\"live\" or \"leaving\"", |value| {
                match value.as_str()? {
                    "live" => Some(VmState::Live),
                    "leaving" => Some(VmState::Leaving),
                    _ => None,
                }
            })
            .unwrap_or(VmState::Live),
        caller: read_address(t, "caller"),
        peer: read_address(t, "peer"),
        control: read_address(t, "control"),
    }
}

/// Reads a required name.
pub(crate) fn read_name<T: for<'a> From<&'a str>>(t: &mut TableReader<'_>, key: &'static str) -> T {
    let name = t.required(key, NAME_RULE, |value| {
        value.as_str().filter(|name| is_name(name)).map(T::from)
    });
    name.unwrap_or_else(|| T::from(""))
}

/// Reads a required address.
pub(crate) fn read_address(t: &mut TableReader<'_>, key: &'static str) -> SocketAddr {
    let address = t.required(key, ADDRESS_RULE, |value| parse_address(value.as_str()?));
    address.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
}

/// Parses the socket address of a process. Only the canonical form is accepted, because addresses also serve
/// as identifiers.
pub(crate) fn parse_address(text: &str) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    let usable = address.port() != 0 && !address.ip().is_unspecified();
    (usable && address.to_string() == text).then_some(address)
}

/// Returns whether `text` is a valid name of a VM, service, failure domain, region or part of a map.
pub(crate) fn is_name(text: &str) -> bool {
    let valid = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    (1..=64).contains(&text.len()) && text.bytes().all(valid)
}

/// Parses a TOML text and reads it as a table. A syntax error is recorded as a fault.
pub(crate) fn parse_toml<T>(
    text: &str,
    faults: &mut Faults,
    read: impl FnOnce(&mut TableReader<'_>) -> T,
) -> Option<T> {
    match toml::from_str::<Value>(text) {
        Ok(value) => {
            reject_non_finite("", &value, faults);
            Some(TableReader::read_at(String::new(), &value, faults, read))
        }
        Err(error) => {
            let offset = error.span().map_or(0, |span| span.start);
            let line = 1 + text
                .bytes()
                .take(offset)
                .filter(|&byte| byte == b'\n')
                .count();
            let reason = format!("is not TOML, line {line}: {}", truncate(error.message()));
            faults.add("", reason, "TOML");
            None
        }
    }
}

/// Records a fault for each `nan` and `inf`. [`Value`] represents them as null, so they would count as absent values.
fn reject_non_finite(path: &str, value: &Value, faults: &mut Faults) {
    match value {
        Value::Null => faults.add(path, "is nan or inf", "finite number"),
        Value::Object(fields) => {
            for (key, value) in fields {
                let dot = if path.is_empty() { "" } else { "." };
                reject_non_finite(&format!("{path}{dot}{}", truncate(key)), value, faults);
            }
        }
        Value::Array(list) => list
            .iter()
            .for_each(|value| reject_non_finite(path, value, faults)),
        _ => {}
    }
}

fn parse_json<T>(
    text: &str,
    faults: &mut Faults,
    read: impl FnOnce(&mut TableReader<'_>) -> T,
) -> Option<T> {
    match serde_json::from_str::<Value>(text) {
        Ok(value) => Some(TableReader::read_at(String::new(), &value, faults, read)),
        Err(error) => {
            faults.add(
                "",
                format!("is not JSON: {}", truncate(&error.to_string())),
                "JSON",
            );
            None
        }
    }
}
