//! Records of log groups as rows.

use linkhold_core::service::instance::InstanceId;
use linkhold_core::service::log_group::{LogGroup, LogMember, LogState};
use serde::{Deserialize, Serialize};

#[derive(Serialize, Deserialize)]
struct GroupRow {
    synchronous: usize,
    members: Vec<MemberRow>,
}

#[derive(Serialize, Deserialize)]
struct MemberRow {
    id: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    address: Option<String>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    former: Vec<String>,
    #[serde(default, skip_serializing_if = "is_false")]
    lost: bool,
    #[serde(default, skip_serializing_if = "is_false")]
    leaving: bool,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_false(value: &bool) -> bool {
    !*value
}

/// Encodes a record as a row's value.
pub(super) fn encode(group: &LogGroup) -> Vec<u8> {
    let member = |member: &LogMember| MemberRow {
        id: member.id.to_string(),
        address: member.address.map(|address| address.to_string()),
        former: member.former.iter().map(ToString::to_string).collect(),
        lost: member.state == LogState::Lost,
        leaving: member.is_leaving,
    };
    let row = GroupRow {
        synchronous: group.synchronous,
        members: group.members.iter().map(member).collect(),
    };
    serde_json::to_vec(&row).expect("a record has nothing that cannot be written")
}

/// Decodes a row's value; `None` if it is not a record.
pub(super) fn decode(value: &[u8]) -> Option<LogGroup> {
    let row: GroupRow = serde_json::from_slice(value).ok()?;
    let id = |id: String| InstanceId(id.into());
    let member = |member: MemberRow| {
        let address = match member.address {
            Some(address) => Some(address.parse().ok()?),
            None => None,
        };
        Some(LogMember {
            id: id(member.id),
            former: member.former.into_iter().map(id).collect(),
            address,
            state: if member.lost {
                LogState::Lost
            } else {
                LogState::Intact
            },
            is_leaving: member.leaving,
        })
    };
    let members: Option<Vec<LogMember>> = row.members.into_iter().map(member).collect();
    Some(LogGroup {
        members: members?,
        synchronous: row.synchronous,
    })
}
