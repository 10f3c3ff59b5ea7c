//! Request keys, which make a request run at most once, whichever nodes it reaches.
//!
//! A node inserts the caller's key into a table of the same database in the
//! same transaction as the request. The primary key of that table lets only
//! one such transaction commit. A node that does not know the outcome of a
//! request inserts the key as cancelled: if that commits, the request can never
//! commit; if it conflicts, the stored row holds the outcome.

/// Table that holds request keys.
pub const TABLE: &str = "linkhold_requests";
/// Longest key accepted, in bytes.
pub const MAX_KEY_LENGTH: usize = 128;
/// Outcome stored with a request that ran.
pub const OUTCOME_COMPLETED: &str = "completed";
/// Outcome stored when a request of unknown outcome was cancelled.
pub const OUTCOME_CANCELLED: &str = "cancelled";
/// How long keys are kept before they may be deleted, in seconds. A caller
/// must not send the same key again after this time.
pub const RETENTION_SECONDS: u64 = 24 * 60 * 60;

/// Whether a text from a caller is a valid key: printable ASCII without
/// quotes or backslashes, so that it needs no escaping anywhere.
pub fn is_valid(key: &str) -> bool {
    let length_fits = !key.is_empty() && key.len() <= MAX_KEY_LENGTH;
    length_fits
        && key
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && !matches!(byte, b'\'' | b'"' | b'\\'))
}

/// Statement that creates the table; run once by the operator or stand-in.
pub fn create_table() -> String {
    format!(
        "CREATE TABLE IF NOT EXISTS {TABLE} \
         (request_key TEXT PRIMARY KEY, outcome TEXT NOT NULL, recorded_at BIGINT NOT NULL)"
    )
}

/// Statement that records a key with an outcome at `now` (Unix seconds).
pub fn insert(key: &str, outcome: &str, now: u64) -> String {
    format!(
        "INSERT INTO {TABLE} (request_key, outcome, recorded_at) VALUES ('{key}', '{outcome}', {now})"
    )
}

/// Query for the stored outcome of a key.
pub fn select_outcome(key: &str) -> String {
    format!("SELECT outcome FROM {TABLE} WHERE request_key = '{key}'")
}

/// Statement that deletes keys older than the retention time at `now`.
pub fn delete_expired(now: u64) -> String {
    let oldest = now.saturating_sub(RETENTION_SECONDS);
    format!("DELETE FROM {TABLE} WHERE recorded_at < {oldest}")
}
