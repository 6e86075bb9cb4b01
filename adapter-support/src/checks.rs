//! Checks on commands before they go out, so that a slip in the rules costs a command and not the whole call.

use otterwinch::config::ControllerConfig;
use otterwinch::host::EndpointId;
use std::collections::BTreeSet;

/// What an instance may name: servers it was told of, proxies that are joined, slices in its charge.
///
/// ```
/// use otterwinch_adapter_support::Checks;
/// let (mut checks, id) = (Checks::default(), "a".into());
/// assert!(checks.line(0, &id, 1.0).is_err());
/// checks.learn([&id].into_iter());
/// assert!(checks.line(0, &id, 1.0).is_ok());
/// assert!(checks.line(0, &id, f64::NAN).is_err());
/// assert!(checks.bind(4, 0).is_err());
/// ```
#[derive(Default)]
pub struct Checks {
    slices: bool,
    known: BTreeSet<EndpointId>,
    joined: BTreeSet<u32>,
    charges: BTreeSet<u32>,
}

impl Checks {
    pub fn new(config: &ControllerConfig) -> Self {
        Checks { slices: config.shards > 0, ..Checks::default() }
    }

    pub fn learn<'a>(&mut self, ids: impl Iterator<Item = &'a EndpointId>) {
        ids.for_each(|id| {
            if !self.known.contains(id) {
                self.known.insert(id.clone());
            }
        });
    }

    /// The rules will not name it any more: ids are new all day long.
    pub fn forget(&mut self, id: &EndpointId) {
        self.known.remove(id);
    }

    pub fn joined(&mut self, proxy: u32, is: bool) {
        set(&mut self.joined, proxy, is);
    }

    pub fn charged(&mut self, slice: u32, is: bool) {
        set(&mut self.charges, slice, is);
    }

    fn tbl_stands(&self, tbl: u32) -> bool {
        tbl < 65_535 && (!self.slices || self.charges.contains(&tbl))
    }

    pub fn line(&self, tbl: u32, server: &EndpointId, weight: f64) -> Result<(), String> {
        let fits = self.tbl_stands(tbl) && self.known.contains(server) && weight.is_finite() && weight >= 0.0;
        ok(fits, || format!("line not sent: table {tbl}, server {server}, weight {weight}"))
    }

    pub fn bind(&self, proxy: u32, tbl: u32) -> Result<(), String> {
        let fits = !self.slices && self.tbl_stands(tbl) && self.joined.contains(&proxy);
        ok(fits, || format!("bind not sent: proxy {proxy}, table {tbl}"))
    }

    pub fn withdrawal(&self, server: &EndpointId) -> Result<(), String> {
        ok(self.known.contains(server), || format!("withdrawal not sent: server {server} was never listed"))
    }

    pub fn level(&self, tbl: u32, admitted: f64) -> Result<(), String> {
        let fits = self.tbl_stands(tbl) && admitted.is_finite() && admitted >= 0.0;
        ok(fits, || format!("level not sent: table {tbl}, level {admitted}"))
    }
}

fn set(all: &mut BTreeSet<u32>, one: u32, is: bool) {
    if is {
        all.insert(one);
    } else {
        all.remove(&one);
    }
}

fn ok(fits: bool, why: impl FnOnce() -> String) -> Result<(), String> {
    if fits {
        Ok(())
    } else {
        Err(why())
    }
}
