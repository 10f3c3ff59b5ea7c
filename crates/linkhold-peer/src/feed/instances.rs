//! Encoding of instances.

use std::time::Duration;

use linkhold_core::service::instance::{Instance, InstanceId, Lifecycle, Role};
use minicbor::{Decode, Encode};

use crate::milliseconds;

#[derive(Encode, Decode)]
pub(super) struct WireInstance {
    #[n(0)]
    id: String,
    #[n(1)]
    service: String,
    #[n(2)]
    address: String,
    #[n(3)]
    zone: String,
    #[n(4)]
    capacity: u64,
    #[n(5)]
    is_draining: bool,
    #[n(6)]
    is_primary: bool,
    #[n(7)]
    is_listed: bool,
    #[n(8)]
    warm_up_left_ms: u64,
}

pub(super) fn instances_to_wire(instances: &[(Instance, bool)]) -> Vec<WireInstance> {
    let instances = instances.iter();
    instances
        .map(|(instance, is_listed)| instance_to_wire(instance, *is_listed))
        .collect()
}

fn instance_to_wire(instance: &Instance, is_listed: bool) -> WireInstance {
    WireInstance {
        id: instance.id.to_string(),
        service: instance.service.to_string(),
        address: instance.address.to_string(),
        zone: instance.zone.to_string(),
        capacity: instance.capacity as u64,
        is_draining: instance.lifecycle == Lifecycle::Draining,
        is_primary: instance.role == Role::Primary,
        is_listed,
        warm_up_left_ms: milliseconds(instance.warm_up_left),
    }
}

pub(super) fn instances_from_wire(wire: Vec<WireInstance>) -> Option<Vec<(Instance, bool)>> {
    wire.into_iter().map(instance_from_wire).collect()
}

fn instance_from_wire(wire: WireInstance) -> Option<(Instance, bool)> {
    let instance = Instance {
        id: InstanceId(wire.id.into()),
        service: wire.service.into(),
        address: wire.address.parse().ok()?,
        zone: wire.zone.into(),
        capacity: wire.capacity as usize,
        lifecycle: if wire.is_draining {
            Lifecycle::Draining
        } else {
            Lifecycle::Ready
        },
        role: if wire.is_primary {
            Role::Primary
        } else {
            Role::Replica
        },
        warm_up_left: Duration::from_millis(wire.warm_up_left_ms),
    };
    Some((instance, wire.is_listed))
}
