//! What is inside a block: protobuf, a column a field, so that like stands beside like and compresses well.

use crate::record::{Asked, Met, Start, Sum, Txn};
use prost::Message;

#[derive(Clone, PartialEq, Message)]
pub struct StartBlock {
    #[prost(string, repeated, tag = "1")]
    pub products: Vec<String>,
    #[prost(string, repeated, tag = "2")]
    pub halls: Vec<String>,
    #[prost(uint64, tag = "3")]
    pub began_unix_ms: u64,
    #[prost(string, tag = "4")]
    pub source: String,
}

#[derive(Clone, PartialEq, Message)]
pub struct EndBlock {
    #[prost(uint64, tag = "1")]
    pub txns: u64,
    #[prost(uint64, tag = "2")]
    pub sums: u64,
}

/// Columns of one length. Times are differences from the record before; a figure that may be absent is one more
/// than it is, and 0 where it is absent.
#[derive(Clone, PartialEq, Message)]
pub struct TxnBlock {
    #[prost(sint64, repeated, tag = "1")]
    pub gap_us: Vec<i64>,
    #[prost(uint32, repeated, tag = "2")]
    pub product: Vec<u32>,
    #[prost(uint32, repeated, tag = "3")]
    pub hall: Vec<u32>,
    #[prost(uint64, repeated, tag = "4")]
    pub work_us: Vec<u64>,
    /// Absent where no txn of the block has a key.
    #[prost(fixed64, repeated, tag = "5")]
    pub key: Vec<u64>,
    /// Absent where all are first tries.
    #[prost(uint32, repeated, tag = "6")]
    pub attempt: Vec<u32>,
}

#[derive(Clone, PartialEq, Message)]
pub struct SumBlock {
    #[prost(string, repeated, tag = "1")]
    pub nodes: Vec<String>,
    #[prost(message, repeated, tag = "2")]
    pub met: Vec<MetRow>,
    #[prost(message, repeated, tag = "3")]
    pub asked: Vec<AskedRow>,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct MetRow {
    #[prost(sint64, tag = "1")]
    pub at_us: i64,
    #[prost(uint64, tag = "2")]
    pub over_us: u64,
    #[prost(uint32, tag = "3")]
    pub hall: u32,
    /// The place of its name among the block's nodes.
    #[prost(uint32, tag = "4")]
    pub node: u32,
    #[prost(uint64, tag = "5")]
    pub tries: u64,
    #[prost(uint64, tag = "6")]
    pub voided: u64,
    #[prost(uint64, tag = "7")]
    pub took_us: u64,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct AskedRow {
    #[prost(sint64, tag = "1")]
    pub at_us: i64,
    #[prost(uint64, tag = "2")]
    pub over_us: u64,
    #[prost(uint32, tag = "3")]
    pub forwarder: u32,
    #[prost(uint32, tag = "4")]
    pub product: u32,
    #[prost(uint64, tag = "5")]
    pub txns: u64,
}

pub fn start(start: &Start) -> Vec<u8> {
    let Start { products, halls, began_unix_ms, source } = start.clone();
    StartBlock { products, halls, began_unix_ms, source }.encode_to_vec()
}

pub fn read_start(bytes: &[u8]) -> Result<Start, String> {
    let StartBlock { products, halls, began_unix_ms, source } =
        StartBlock::decode(bytes).map_err(|e| e.to_string())?;
    Ok(Start { products, halls, began_unix_ms, source })
}

pub fn txns(txns: &[Txn]) -> Vec<u8> {
    let mut block = TxnBlock::default();
    let (keyed, repeated) = (txns.iter().any(|t| t.key.is_some()), txns.iter().any(|t| t.attempt > 0));
    let mut before = 0;
    for txn in txns {
        block.gap_us.push(txn.at_us.wrapping_sub(before));
        before = txn.at_us;
        block.product.push(txn.product);
        block.hall.push(txn.hall);
        block.work_us.push(txn.work_us.map_or(0, |work| work.saturating_add(1)));
        if keyed {
            // A hash of all ones would pass for none; its neighbour serves as well.
            block.key.push(txn.key.map_or(0, |key| key.saturating_add(1)));
        }
        if repeated {
            block.attempt.push(txn.attempt);
        }
    }
    block.encode_to_vec()
}

/// Reads a block of txns, and checks that its columns fit each other and the names that the file opened with.
pub fn read_txns(bytes: &[u8], start: &Start) -> Result<Vec<Txn>, String> {
    let block = TxnBlock::decode(bytes).map_err(|e| e.to_string())?;
    let rows = block.gap_us.len();
    let whole = [block.product.len(), block.hall.len(), block.work_us.len()];
    let partly = [block.key.len(), block.attempt.len()];
    if whole.iter().any(|n| *n != rows) || partly.iter().any(|n| *n != rows && *n != 0) {
        return Err("its columns are not of one length".into());
    }
    let known = |all: &[u32], names: &[String]| all.iter().all(|place| (*place as usize) < names.len());
    if !known(&block.product, &start.products) || !known(&block.hall, &start.halls) {
        return Err("it names a product or hall that the file did not open with".into());
    }
    let mut at_us = 0i64;
    let row = |k: usize| {
        at_us = at_us.wrapping_add(block.gap_us[k]);
        Txn {
            at_us,
            product: block.product[k],
            hall: block.hall[k],
            work_us: block.work_us[k].checked_sub(1),
            key: block.key.get(k).and_then(|key| key.checked_sub(1)),
            attempt: block.attempt.get(k).copied().unwrap_or(0),
        }
    };
    Ok((0..rows).map(row).collect())
}

pub fn sums(sums: &[Sum]) -> Vec<u8> {
    let mut block = SumBlock::default();
    let mut places = std::collections::HashMap::<&str, u32>::new();
    for sum in sums {
        match sum {
            Sum::Met(Met { at_us, over_us, hall, node, tries, voided, took_us }) => {
                let node = *places.entry(node).or_insert_with(|| {
                    block.nodes.push(node.clone());
                    block.nodes.len() as u32 - 1
                });
                let (at_us, over_us, hall) = (*at_us, *over_us, *hall);
                let (tries, voided, took_us) = (*tries, *voided, *took_us);
                block.met.push(MetRow { at_us, over_us, hall, node, tries, voided, took_us });
            }
            Sum::Asked(Asked { at_us, over_us, forwarder, product, txns }) => {
                let (at_us, over_us, forwarder) = (*at_us, *over_us, *forwarder);
                block.asked.push(AskedRow { at_us, over_us, forwarder, product: *product, txns: *txns });
            }
        }
    }
    block.encode_to_vec()
}

pub fn read_sums(bytes: &[u8], start: &Start) -> Result<Vec<Sum>, String> {
    let block = SumBlock::decode(bytes).map_err(|e| e.to_string())?;
    let hall = |hall: u32| (hall as usize) < start.halls.len();
    let product = |product: u32| (product as usize) < start.products.len();
    if !block.met.iter().all(|row| hall(row.hall)) || !block.asked.iter().all(|row| product(row.product)) {
        return Err("it names a product or hall that the file did not open with".into());
    }
    let mut sums = Vec::with_capacity(block.met.len() + block.asked.len());
    for MetRow { at_us, over_us, hall, node, tries, voided, took_us } in block.met {
        let node = block.nodes.get(node as usize).ok_or("it names a node that it does not list")?.clone();
        sums.push(Sum::Met(Met { at_us, over_us, hall, node, tries, voided, took_us }));
    }
    for AskedRow { at_us, over_us, forwarder, product, txns } in block.asked {
        sums.push(Sum::Asked(Asked { at_us, over_us, forwarder, product, txns }));
    }
    Ok(sums)
}

pub fn end(txns: u64, sums: u64) -> Vec<u8> {
    EndBlock { txns, sums }.encode_to_vec()
}

pub fn read_end(bytes: &[u8]) -> Result<(u64, u64), String> {
    EndBlock::decode(bytes).map(|end| (end.txns, end.sums)).map_err(|e| e.to_string())
}
