//! One instance's way out: encodes what the rules order, and lets nothing through that the wire calls a
//! fault, so that a slip in the rules costs an order and not the process.

use crate::decode::Figures;
use otterwinch::host::{Host, Id, Products, Retry};
use otterwinch::time::Span;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::fmt;

pub struct Desk {
    who: u64,
    slices: bool,
    known: BTreeSet<Id>,
    joined: BTreeSet<u32>,
    charges: BTreeSet<u32>,
    pub said: Vec<u8>,
}

impl Desk {
    pub fn new(who: u64, env: &Figures) -> Self {
        let slices = env.at("familyInfo").at("slices").count() > 0;
        let (known, joined, charges) = (BTreeSet::new(), BTreeSet::new(), BTreeSet::new());
        Desk { who, slices, known, joined, charges, said: vec![] }
    }

    pub fn learn<'a>(&mut self, ids: impl Iterator<Item = &'a Id>) {
        ids.for_each(|id| {
            if !self.known.contains(id) {
                self.known.insert(id.clone());
            }
        });
    }

    pub fn joined(&mut self, proxy: u32, is: bool) {
        if is {
            self.joined.insert(proxy);
        } else {
            self.joined.remove(&proxy);
        }
    }

    pub fn charged(&mut self, slice: u32, is: bool) {
        if is {
            self.charges.insert(slice);
        } else {
            self.charges.remove(&slice);
        }
    }

    fn say(&mut self, kind: &str, mut fields: Value) {
        fields["kind"] = kind.into();
        fields["who"] = self.who.into();
        self.said.extend_from_slice(fields.to_string().as_bytes());
        self.said.push(b'\n');
    }

    fn tbl_stands(&self, tbl: u32) -> bool {
        tbl < 65_535 && (!self.slices || self.charges.contains(&tbl))
    }

    fn refuse(&self, order: &str, why: fmt::Arguments<'_>) {
        eprintln!("otterwinch-wirehost: instance {}: {order} not sent: {why}", self.who);
    }
}

impl Host for Desk {
    fn line(&mut self, tbl: u32, server: &Id, weight: f64) {
        if !self.tbl_stands(tbl) || !self.known.contains(server) || !weight.is_finite() || weight < 0.0 {
            return self.refuse("line", format_args!("table {tbl}, server {server}, weight {weight}"));
        }
        self.say("ENDPOINT", json!({"mapId": tbl, "server": &**server, "weight": weight}));
    }

    fn bind(&mut self, proxy: u32, tbl: u32, products: Products) {
        if self.slices || !self.tbl_stands(tbl) || !self.joined.contains(&proxy) {
            return self.refuse("bind", format_args!("proxy {proxy}, table {tbl}"));
        }
        self.say("INSTALL", json!({"px": proxy, "mapId": tbl, "forClasses": products}));
    }

    fn withdraw(&mut self, server: &Id, out: bool) {
        if !self.known.contains(server) {
            return self.refuse("withdrawal", format_args!("server {server} was never listed"));
        }
        self.say("WITHDRAW", json!({"server": &**server, "set": out}));
    }

    fn level(&mut self, tbl: u32, products: Products, admitted: f64, retry: Retry) {
        if !self.tbl_stands(tbl) || !admitted.is_finite() || admitted < 0.0 {
            return self.refuse("level", format_args!("table {tbl}, level {admitted}"));
        }
        let how = match retry {
            Retry::Never => 0,
            Retry::IfNeverRan => 1,
            Retry::Once => 2,
            Retry::Twice => 3,
        };
        let fields = json!({"mapId": tbl, "forClasses": products, "allowance": admitted, "how": how});
        self.say("SET_LEVEL", fields);
    }

    fn mark(&mut self, number: u32) {
        self.say("CHECKPOINT", json!({"epoch": number, "set": false}));
    }

    fn follow_list(&mut self) {
        self.say("FOLLOW", json!({"set": true}));
    }

    fn wake(&mut self, after: Span, label: u64) {
        let longest = 70 * 60 * 1_000_000;
        self.say("TIMER", json!({"afterUs": after.as_us().clamp(1, longest), "label": label}));
    }
}
