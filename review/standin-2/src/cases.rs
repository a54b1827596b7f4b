//! The cases.

mod coordinator;
mod idle;
mod lists;
mod poison;
mod quota;
mod reader;
mod restart;

use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use crate::record::Record;

/// Bounds that the pages set.
pub const DRAIN: Duration = Duration::from_millis(2500);
pub const STABLE: Duration = Duration::from_millis(4000);

pub type Failure = Box<dyn std::error::Error>;

/// Plays a case. Returns whether the rule held.
pub fn play(
    name: &str,
    root: &Path,
    with_trouble: bool,
    record: &mut Record,
) -> Result<bool, Failure> {
    match name {
        "reader" => reader::play(root, with_trouble, record),
        "coordinator" => coordinator::play(root, with_trouble, record),
        "restart" => restart::play(root, with_trouble, record),
        "idle" => idle::play(root, with_trouble, record),
        "poison" => poison::play(root, with_trouble, record),
        "lists" => lists::play(root, with_trouble, record),
        _ => Err(format!("no case {name}").into()),
    }
}

/// A folder for the logs of the processes, which is removed at the end unless KEEP is set.
pub struct Work(pub PathBuf);

impl Work {
    pub fn new() -> std::io::Result<Self> {
        let path = std::env::temp_dir().join(format!("standin-2-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// The address of a machine. Each run has a network of its own.
pub fn machine_ip(number: u8) -> Ipv4Addr {
    let id = std::process::id();
    Ipv4Addr::new(127, 16 + (id % 200) as u8, (id / 200 % 250) as u8, number)
}

/// A configuration with an unsafe route and one for uploads of one service and one tenant without a quota.
pub fn config(version: u64) -> String {
    config_with_quota(version, 0, 0)
}

/// The same with the rate and the burst of the tenant.
pub fn config_with_quota(version: u64, rate: u64, burst: u64) -> String {
    format!(
        concat!(
            r#"{{"configVersion":{version},"routes":{{"columns":["name","host","pathPrefix","kind","timeoutMs","targetLatencyMs","priority","maxAttempts","anonymous","sessionAffinity","homeRegions","service"],"#,
            r#""rows":[["orders","shop.example","/orders/","unsafe",2000,500,1,2,false,false,[],"orders"],["photos","shop.example","/photos/","upload",2000,500,1,2,false,false,[],"orders"]]}},"#,
            r#""services":{{"columns":["name","healthPath","maxConns","coldS","coldPerS"],"rows":[["orders","/health",660,3.0,6.9],["other","/health",660,3.0,6.9]]}},"#,
            r#""limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"#,
            r#""tenants":{{"columns":["name","apiKeys","priority","ratePerS","burst","homeRegions"],"rows":[["clinic",["key-of-the-clinic"],0,{rate},{burst},[]]]}}}}"#
        ),
        version = version,
        rate = rate,
        burst = burst
    )
}
