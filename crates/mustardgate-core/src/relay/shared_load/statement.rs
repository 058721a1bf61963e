//! Statements of runners' load in messages between nodes.
//!
//! The leader answers each node every 0.7 s with the statements of nearly all runners. As fields of a CBOR message with the
//! names of runners a statement takes some 80 bytes; this form takes about 10.

use std::time::Duration;

use sha2::{Digest, Sha256};

use super::super::load::ReportedLoad;
use crate::ids::RunnerProcess;

/// Unit of ages in messages. Ages are rounded up, so that a statement which returns to its origin is never newer there.
const AGE_UNIT: Duration = Duration::from_millis(10);
/// Unit of the pace in messages.
const PACE_UNIT: f64 = 0.01;
const TAG_BYTES: usize = 4;
/// Bits of a number in one byte; the highest bit says that more bytes follow.
const GROUP_BITS: u32 = 7;

/// Short form of a runner process, which all nodes compute alike.
///
/// Two of 360 processes have the same one with a probability of 2 in 100,000; nodes then use what they see themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunnerTag(u32);

impl RunnerTag {
    /// Returns the short form of a process.
    pub fn of(process: &RunnerProcess) -> Self {
        let mut hash = Sha256::new();
        hash.update(process.1.to_be_bytes());
        hash.update(process.0.as_bytes());
        let digest = hash.finalize();
        Self(u32::from_be_bytes([digest[0], digest[1], digest[2], digest[3]]))
    }
}

/// What a runner that states its pace said of its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadStatement {
    /// The runner process.
    pub runner: RunnerTag,
    /// Its load.
    pub load: ReportedLoad,
    /// Time since the statement was received from it.
    pub age: Duration,
}

/// Encodes statements; those without a pace are left out.
pub fn encode_loads(statements: &[LoadStatement]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(statements.len() * 10);
    for LoadStatement { runner, load, age } in statements {
        let Some(pace) = load.pace else { continue };
        bytes.extend(runner.0.to_be_bytes());
        let age = age.as_nanos().div_ceil(AGE_UNIT.as_nanos());
        for number in [
            load.running,
            load.waiting,
            load.slots,
            (pace / PACE_UNIT).round() as u32,
            u32::try_from(age).unwrap_or(u32::MAX),
        ] {
            write_number(&mut bytes, number);
        }
    }
    bytes
}

/// Decodes statements, up to the first malformed one.
pub fn decode_loads(mut bytes: &[u8]) -> Vec<LoadStatement> {
    let mut statements = Vec::new();
    while let Some(statement) = read_statement(&mut bytes) {
        statements.push(statement);
    }
    statements
}

fn read_statement(bytes: &mut &[u8]) -> Option<LoadStatement> {
    let (tag, rest) = bytes.split_first_chunk::<TAG_BYTES>()?;
    *bytes = rest;
    let mut number = || read_number(bytes);
    let load = ReportedLoad {
        running: number()?,
        waiting: number()?,
        slots: number()?,
        pace: Some(f64::from(number()?.max(1)) * PACE_UNIT),
    };
    Some(LoadStatement {
        runner: RunnerTag(u32::from_be_bytes(*tag)),
        load,
        age: AGE_UNIT.saturating_mul(number()?),
    })
}

fn write_number(bytes: &mut Vec<u8>, mut number: u32) {
    while number >> GROUP_BITS > 0 {
        bytes.push(number as u8 | 1 << GROUP_BITS);
        number >>= GROUP_BITS;
    }
    bytes.push(number as u8);
}

fn read_number(bytes: &mut &[u8]) -> Option<u32> {
    let mut number = 0_u32;
    for shift in (0..u32::BITS).step_by(GROUP_BITS as usize) {
        let (byte, rest) = bytes.split_first()?;
        *bytes = rest;
        let group = u32::from(byte & !(1 << GROUP_BITS));
        number |= group.checked_shl(shift)?;
        if byte >> GROUP_BITS == 0 {
            return Some(number);
        }
    }
    None
}
