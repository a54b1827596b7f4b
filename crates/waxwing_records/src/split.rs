//! Files with several records.

use serde_json::Value;

use crate::Findings;
use crate::wire::Unique;

/// Splits a file into its records: one record, several one after the other (as in JSON lines), or
/// lists of records. Returns each as a JSON value; whether it is a valid record is not checked.
///
/// # Errors
/// The file is not JSON, or a field stands twice in one object.
pub fn split_records(json: &[u8]) -> Result<Vec<Value>, Findings> {
    let mut records = Vec::new();
    let values = serde_json::Deserializer::from_slice(json).into_iter::<Unique>();
    for value in values {
        match value {
            Ok(Unique(Value::Array(items))) => records.extend(items),
            Ok(Unique(value)) => records.push(value),
            Err(error) => {
                let mut findings = Findings::default();
                findings.add(format!("record {}", records.len() + 1), error.to_string());
                return Err(findings);
            }
        }
    }
    Ok(records)
}
