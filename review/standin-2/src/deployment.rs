//! The settings of the deployments that the cases use.

#[derive(Clone)]
pub struct Deployment {
    pub zones: Vec<&'static str>,
    pub classes: Vec<&'static str>,
    pub proxies: usize,
    pub servers: usize,
    /// Lines a second that the channel sends.
    pub rate: f64,
    /// Lines that a message costs besides its own.
    pub head: f64,
    pub most_waiting: f64,
    /// Messages to one proxy within `messages_over_s`; 0: no limit.
    pub messages_most: usize,
    pub messages_over_s: f64,
    /// Mean and longest time from the channel to a proxy.
    pub late_ms: f64,
    pub late_most_ms: f64,
    pub grace_ms: f64,
    pub cold_ms: f64,
    pub unserved_ms: f64,
    pub standing: usize,
    pub ejects: usize,
    pub throttle: &'static str,
    pub intake_per_s: usize,
    pub requests_per_proxy: f64,
    pub class_json: &'static str,
    pub stays_local: &'static str,
    pub min_conn_cap: f64,
    /// Whether the grace applies only to servers that were listed as draining.
    pub removal_not_binding: bool,
    /// The number of proxies of all supervisors; 0: those of this one.
    pub all_proxies: usize,
    /// The part of the servers' capacity that the requests usually take.
    pub usual_load: f64,
    /// The part of its capacity at which a server starts; it is warm after `cold_ms`.
    pub cold_from: f64,
    /// Sent more than this multiple of its capacity for `overload_ms`, a cold server falls over.
    pub fall_multiple: f64,
    pub overload_ms: f64,
    /// Whether servers do fall over.
    pub servers_fall: bool,
}

impl Deployment {
    /// Journey searches: a dozen gateways, and a limit on the messages to each.
    pub fn gateways() -> Self {
        Deployment {
            zones: vec!["perth", "dundee", "stirling", "falkirk"],
            classes: vec!["plan", "replan"],
            proxies: 12,
            servers: 20,
            rate: 1800.0,
            head: 3.0,
            most_waiting: 1800.0,
            messages_most: 12,
            messages_over_s: 10.0,
            late_ms: 110.0,
            late_most_ms: 275.0,
            grace_ms: 1500.0,
            cold_ms: 17000.0,
            unserved_ms: 6600.0,
            standing: 5,
            ejects: 0,
            throttle: "none",
            intake_per_s: 75,
            requests_per_proxy: 17.5,
            class_json: r#"{"deadlineUs":2000000,"effect":"idempotent","group":"all","importance":1.0,"keyTtlUs":5000000,"lateWorth":0.1,"name":"plan","promiseUs":750000},{"deadlineUs":2000000,"effect":"idempotent","group":"all","importance":3.0,"keyTtlUs":5000000,"lateWorth":0.1,"name":"replan","promiseUs":750000}"#,
            stays_local: "false,false",
            min_conn_cap: 314.0,
            removal_not_binding: false,
            all_proxies: 0,
            usual_load: 0.5,
            cold_from: 0.15,
            fall_multiple: 4.0,
            overload_ms: 1500.0,
            servers_fall: false,
        }
    }

    /// Tickets: many forwarders, and no limit on messages.
    pub fn forwarders(proxies: usize) -> Self {
        Deployment {
            zones: vec!["hall-a", "hall-b", "hall-c", "hall-d"],
            classes: vec!["fare-quote", "seat-hold", "ticket-issue"],
            proxies,
            servers: 30,
            rate: 14000.0,
            head: 10.0,
            most_waiting: 14000.0,
            messages_most: 0,
            messages_over_s: 10.0,
            late_ms: 120.0,
            late_most_ms: 300.0,
            grace_ms: 1500.0,
            cold_ms: 16000.0,
            unserved_ms: 6600.0,
            standing: 12,
            ejects: 0,
            throttle: "fraction",
            intake_per_s: 1000,
            requests_per_proxy: 1.5,
            class_json: r#"{"deadlineUs":4000000,"effect":"idempotent","group":"all","importance":1.0,"keyTtlUs":5000000,"lateWorth":0.1,"name":"fare-quote","promiseUs":1500000},{"deadlineUs":4000000,"effect":"deduplicated","group":"zone","importance":3.0,"keyTtlUs":2500000,"lateWorth":0.1,"name":"seat-hold","promiseUs":1200000},{"deadlineUs":4000000,"effect":"at_most_once","group":"all","importance":3.0,"keyTtlUs":5000000,"lateWorth":0.1,"name":"ticket-issue","promiseUs":1200000}"#,
            stays_local: "false,false,false",
            min_conn_cap: 320.0,
            removal_not_binding: false,
            all_proxies: 0,
            usual_load: 0.5,
            cold_from: 0.15,
            fall_multiple: 4.0,
            overload_ms: 1500.0,
            servers_fall: false,
        }
    }

    /// Journey searches after the first growth: 75 gateways, of which 40 are joined to this supervisor.
    pub fn many_gateways() -> Self {
        Deployment {
            servers: 26,
            proxies: 40,
            all_proxies: 75,
            ejects: 3,
            requests_per_proxy: 3.7,
            ..Deployment::gateways()
        }
    }

    /// Tickets with a product that keeps to the zone of its forwarder, and a grace that binds draining servers
    /// only.
    pub fn local_forwarders() -> Self {
        Deployment {
            servers: 20,
            stays_local: "false,true,false",
            removal_not_binding: true,
            requests_per_proxy: 7.5,
            ..Deployment::forwarders(24)
        }
    }

    /// Journey searches of which each has to stay in its site.
    pub fn local_gateways() -> Self {
        Deployment { stays_local: "true,true", servers_fall: true, ..Deployment::gateways() }
    }

    pub fn settings(&self) -> String {
        let us = |ms: f64| (ms * 1000.0) as u64;
        let zones: Vec<String> = self.zones.iter().map(|zone| format!("\"{zone}\"")).collect();
        let writes: Vec<&str> = self.classes.iter().map(|_| "false").collect();
        format!(
            r#"{{"bounds":{{"cpuUsPerS":343750,"dialTimeoutUs":250000,"keepaliveUs":15000000,"multiplex":100,"peers":false,"probes":true}},
"charges":{{"connection":0.02,"crossZone":0.06,"discovery":0.0,"handshake":0.04,"lateFail":0.03,"moves":0.0,"peer":0.0,"probe":0.02,"waste":0.08}},
"classes":[{}],"discovery":"push","family":"control",
"familyInfo":{{"bufferForUs":300000,"channelRate":{:.1},"fixedCost":{:.1},"homedByZone":true,"ingestRate":{}.0,"initialSet":{},"keepsWritingUs":2500000,"minConnCap":{:.1},"mostWaiting":{:.1},"movePrice":0.01,"outlierAfter":{},"propagationUs":{},"proxyCount":{},"pushPrice":0.04,"pushesAllowed":{},"reloadSpanUs":{},"reportEveryUs":1000000,"retryDefault":1,"selectsBy":"random","settleUs":20000,"singleWriter":false,"slices":0,"staysLocal":[{}],"throttleBy":"{}","transitMaxUs":{},"tryFactor":1.2,"unservedMaxUs":{},"warmKeys":false,"writeClasses":[{}]}},
"goal":{{"whole":0.7,"worstClass":0.1,"worstTenant":0.0,"worstWindow":0.2}},
"guarantees":{{"askWithinUs":10000000,"coldFrom":{},"coldUs":{},"drainGraceUs":{},"fallMultiple":{:.1},"overloadForUs":{}{}}},
"kinds":["m2"],"locality":0,"replicasOfMe":2,"reporting":{{"how":"none","names":[]}},"selfIndex":0,"tickUs":4000,"valueBy":"request","weights":"none","zones":[{}]}}"#,
            self.class_json,
            self.rate,
            self.head,
            self.intake_per_s,
            self.standing,
            self.min_conn_cap,
            self.most_waiting,
            self.ejects,
            us(self.late_ms),
            self.proxies.max(self.all_proxies),
            self.messages_most,
            us(self.messages_over_s * 1000.0),
            self.stays_local,
            self.throttle,
            us(self.late_most_ms),
            us(self.unserved_ms),
            writes.join(","),
            self.cold_from,
            us(self.cold_ms),
            us(self.grace_ms),
            self.fall_multiple,
            us(self.overload_ms),
            if self.removal_not_binding { r#","removalNotBinding":true"# } else { "" },
            zones.join(",")
        )
    }
}
