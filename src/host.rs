//! The small interface through which the rules act, whatever protocol carries their commands.

use crate::time::{Moment, Span};
use std::rc::Rc;

/// A server's id, as the outside gives it.
pub type EndpointId = Rc<str>;

/// A set of products, bit k for the product at position k.
pub type RequestClassSet = u64;

/// What the list says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    Ready,
    Draining,
    #[default]
    Removed,
}

/// What the list knows of one server.
#[derive(Clone, Debug, Default)]
pub struct EndpointUpdate {
    pub id: EndpointId,
    pub zone: u32,
    pub weight: f64,
    pub standing: EndpointState,
    /// The latest start; nothing where it is long past.
    pub started: Option<Moment>,
}

/// When a proxy tries another server; the protocols number these from 0 in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryPolicy {
    Never,
    IfNeverRan,
    Once,
    Twice,
}

/// Commands take effect in the order of the calls; those of one moment travel together.
pub trait Host {
    /// Sets one line of a table; weight 0 takes it out.
    fn line(&mut self, tbl: u32, server: &EndpointId, weight: f64);
    /// Puts a joined proxy on a table, for all products.
    fn bind(&mut self, proxy: u32, tbl: u32);
    /// Bars all joined proxies from a server, whatever tables they hold, or lets them back.
    fn withdraw(&mut self, server: &EndpointId, out: bool);
    /// A server has long been gone: no command names it any more unless the list does so anew.
    fn forget(&mut self, server: &EndpointId);
    /// What part of some products a table lets in, and when its proxies try again.
    fn level(&mut self, tbl: u32, products: RequestClassSet, admitted: f64, retry: RetryPolicy);
    /// Asks each proxy that this moment's commands reach to tell when they have come.
    fn mark(&mut self, number: u32);
    /// Sends once more what `Controller::commands_lost` was told of.
    fn repeat(&mut self);
    /// Subscribes to the list.
    fn follow_list(&mut self);
    fn wake(&mut self, after: Span, label: u64);
}
