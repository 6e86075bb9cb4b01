//! From the schema's types to our own: every figure within its bounds, every name known, defaults filled in.

use crate::model::*;
use crate::proto;
use otterwinch::time::Span;
use otterwinch_textproto::Validator;

const MOST_HALLS: usize = 64;
const MOST_NODES: u32 = 20_000;
const MOST_FORWARDERS: u32 = 20_000;
const MOST_PRODUCTS: usize = 16;
const LONGEST_MS: f64 = 600_000.0;

fn ms(value: f64) -> Span {
    Span::secs(value / 1e3)
}

pub fn fleet(c: &Validator, told: &proto::Fleet) -> Fleet {
    let name = c.field("name").identifier(&told.name);
    c.field("hall").require((1..=MOST_HALLS).contains(&told.hall.len()), || {
        format!("{} halls are not allowed: 1 to {MOST_HALLS}", told.hall.len())
    });
    c.field("group").require(!told.group.is_empty(), || "a fleet has at least one group of nodes".into());
    c.field("product").require((1..=MOST_PRODUCTS).contains(&told.product.len()), || {
        format!("{} products are not allowed: 1 to {MOST_PRODUCTS}", told.product.len())
    });
    c.unique_names("hall", told.hall.iter().map(|hall| hall.name.as_str()));
    c.unique_names("group", told.group.iter().map(|group| group.name.as_str()));
    c.unique_names("product", told.product.iter().map(|product| product.name.as_str()));
    let named: Vec<String> = told.hall.iter().map(|hall| hall.name.clone()).collect();

    let mut halls: Vec<Zone> = (0..).zip(&told.hall).map(|(k, h)| hall(&c.element("hall", k), h)).collect();
    let forwarders: u32 = halls.iter().map(|hall| hall.proxy_count).sum();
    c.field("hall").require(forwarders <= MOST_FORWARDERS, || {
        format!("{forwarders} forwarders in all are not allowed: {MOST_FORWARDERS} at most")
    });
    part_of_one(halls.iter_mut().map(|hall| &mut hall.client_share), || {
        c.field("hall").report("no hall has clients: at least one has clients above 0");
    });
    let groups: Vec<EndpointGroup> =
        (0..).zip(&told.group).map(|(k, g)| group(&c.element("group", k), g, &named)).collect();
    let nodes = groups.iter().map(|group| u64::from(group.count)).sum::<u64>();
    c.field("group").require(nodes <= u64::from(MOST_NODES), || {
        format!("{nodes} nodes in all are not allowed: {MOST_NODES} at most")
    });
    c.field("group")
        .require(nodes > 0 || groups.is_empty(), || "no group has a node: one has a count above 0".into());
    let mut products: Vec<RequestClass> =
        (0..).zip(&told.product).map(|(k, p)| product(&c.element("product", k), p)).collect();
    part_of_one(products.iter_mut().map(|product| &mut product.share), || {
        c.field("product").report("no product has a share: at least one has a share above 0");
    });

    let network = network(&c.field("network"), &told.network.clone().unwrap_or_default(), &named);
    let longest = groups.iter().filter_map(|g| g.warm_up).map(|w| w.duration).max().unwrap_or(Span::ZERO);
    let supervisors = supervisors(&c.field("supervisors"), &told.supervisors.unwrap_or_default(), longest);
    let clients = clients(&c.field("clients"), &told.clients.unwrap_or_default());
    let forwarders = forwarding(&c.field("forwarders"), &told.forwarders.unwrap_or_default());
    let goal = goal(&c.field("goal"), &told.goal.unwrap_or_default());
    Fleet {
        name,
        network,
        zones: halls,
        groups,
        request_classes: products,
        clients,
        proxies: forwarders,
        control_plane: supervisors,
        goal,
    }
}

/// Makes parts that were given against each other parts of 1.
fn part_of_one<'a>(parts: impl Iterator<Item = &'a mut f64>, none: impl FnOnce()) {
    let parts: Vec<&mut f64> = parts.collect();
    let whole: f64 = parts.iter().map(|part| **part).sum();
    if whole > 0.0 {
        parts.into_iter().for_each(|part| *part /= whole);
    } else if !parts.is_empty() {
        none();
    }
}

fn hall(c: &Validator, told: &proto::Hall) -> Zone {
    let forwarders =
        c.field("forwarders").required(told.forwarders, "how many forwarders stand in this hall, 1 to 2,000");
    let forwarders = if told.forwarders.is_some() {
        c.field("forwarders").count_in_range(forwarders, 1..=2_000, "forwarders")
    } else {
        1
    };
    let clients =
        c.field("clients").in_range(told.clients.unwrap_or(1.0), 0.0..=1_000.0, "parts of the clients");
    Zone { name: c.field("name").identifier(&told.name), proxy_count: forwarders, client_share: clients }
}

fn network(c: &Validator, told: &proto::Network, halls: &[String]) -> Network {
    let way = |field: &str, value: Option<f64>, absent: f64| {
        ms(c.field(field).in_range(value.unwrap_or(absent), 0.0..=1_000.0, "ms"))
    };
    let client = way("client_ms", told.client_ms, 0.5);
    let within = way("within_hall_ms", told.within_hall_ms, 0.2);
    let between = way("between_halls_ms", told.between_halls_ms, 1.0);
    let mut ways: Vec<Vec<Span>> = (0..halls.len())
        .map(|a| (0..halls.len()).map(|b| if a == b { within } else { between }).collect())
        .collect();
    for (k, one) in told.way.iter().enumerate() {
        let c = c.element("way", k);
        let from = c.field("from").position_of(&one.from, halls, "hall");
        let to = c.field("to").position_of(&one.to, halls, "hall");
        let time = c.field("one_way_ms").required(one.one_way_ms, "the time between these halls, in ms");
        let time = ms(c.field("one_way_ms").in_range(time, 0.0..=1_000.0, "ms"));
        if from < halls.len() && to < halls.len() {
            (ways[from][to], ways[to][from]) = (time, time);
        }
    }
    Network { client_latency: client, zone_latency: ways }
}

fn group(c: &Validator, told: &proto::Group, halls: &[String]) -> EndpointGroup {
    let needed =
        |field: &str, value: Option<u32>, bounds: std::ops::RangeInclusive<u32>, what: &str| match value {
            Some(value) => c.field(field).count_in_range(value, bounds, what),
            None => {
                c.field(field).report(format!("is missing: {what}, {} to {}", bounds.start(), bounds.end()));
                *bounds.start()
            }
        };
    let count = needed("count", told.count, 0..=MOST_NODES, "nodes");
    let cores = needed("cores", told.cores, 1..=1_024, "cores");
    let speed = speed(&c.field("speed"), told.speed.as_ref());
    let weight =
        c.field("weight").in_range(told.weight.unwrap_or(f64::from(cores)), 0.001..=1e6, "of weight");
    let waiting = c.field("waiting").count_in_range(told.waiting.unwrap_or(64), 0..=100_000, "waiting txns");
    let connections = told.connections.unwrap_or(1_000);
    let connections = c.field("connections").count_in_range(connections, 1..=100_000, "connections");
    let price =
        c.field("connection_ms").in_range(told.connection_ms.unwrap_or(0.0), 0.0..=1_000.0, "ms of work");
    let warm_up = told.warm_up.map(|w| {
        let c = c.field("warm_up");
        let from = c.field("from").required(w.from, "the part of full speed at the start, 0.01 to 1");
        let over = c.field("over_s").required(w.over_s, "the seconds to full speed, 0.1 to 3,600");
        let from =
            if w.from.is_some() { c.field("from").in_range(from, 0.01..=1.0, "of full speed") } else { 1.0 };
        let over =
            if w.over_s.is_some() { c.field("over_s").in_range(over, 0.1..=3_600.0, "s") } else { 1.0 };
        WarmUp { initial_speed: from, duration: Span::secs(over) }
    });
    let topples = told.topples.map(|t| {
        let c = c.field("topples");
        let multiple = c.field("multiple").required(t.multiple, "times the present speed, 1 to 100");
        let over = c.field("over_s").required(t.over_s, "the seconds over which it is counted, 0.1 to 60");
        let multiple = if t.multiple.is_some() {
            c.field("multiple").in_range(multiple, 1.0..=100.0, "times")
        } else {
            1.0
        };
        let over = if t.over_s.is_some() { c.field("over_s").in_range(over, 0.1..=60.0, "s") } else { 1.0 };
        OverloadCollapse { overload_factor: multiple, window: Span::secs(over) }
    });
    c.field("topples").require(topples.is_none() || warm_up.is_some(), || {
        "only a cold node falls over: give the group a warm_up, or leave this out".into()
    });
    let started = told.started_s.map(|s| Span::secs(c.field("started_s").in_range(s, 0.0..=86_400.0, "s")));
    EndpointGroup {
        name: c.field("name").identifier(&told.name),
        zone: c.field("hall").position_of(&told.hall, halls, "hall"),
        count,
        cores,
        speed,
        weight,
        max_queued: waiting,
        max_connections: connections,
        connection_work: price / 1e3,
        warm_up,
        overload_collapse: topples,
        finishes_abandoned: told.works_on,
        uptime: started,
    }
}

fn speed(c: &Validator, told: Option<&proto::Speed>) -> Speed {
    let Some(told) = told else { return Speed::Uniform(1.0, 1.0) };
    let bounds = 0.01..=100.0;
    if !told.measured.is_empty() {
        c.field("measured").require(told.from.is_none() && told.to.is_none(), || {
            "speeds are either measured or between 'from' and 'to', not both".into()
        });
        let one =
            |(k, speed): (usize, &f64)| c.element("measured", k).in_range(*speed, bounds.clone(), "of speed");
        return Speed::Measured(told.measured.iter().enumerate().map(one).collect());
    }
    let from = c.field("from").in_range(told.from.unwrap_or(1.0), bounds, "of speed");
    let to = told.to.unwrap_or(from);
    Speed::Uniform(from, c.field("to").in_range(to, from..=100.0, "of speed"))
}

fn product(c: &Validator, told: &proto::Product) -> RequestClass {
    let time = |field: &str, value: Option<f64>, least: f64, what: &str| match value {
        Some(value) => c.field(field).in_range(value, least..=LONGEST_MS, "ms"),
        None => {
            c.field(field).report(format!("is missing: {what}, in ms"));
            least
        }
    };
    let sla = time("sla_ms", told.sla_ms, 1.0, "the time in which an answer is wanted");
    let expiry = time("expiry_ms", told.expiry_ms, sla, "the time after which the client gives up");
    let repeats = match told.repeats() {
        proto::Repeats::InquiryLike => Idempotency::Idempotent,
        proto::Repeats::Referenced => Idempotency::WithIdempotencyKey,
        proto::Repeats::OnceOnly => Idempotency::NotIdempotent,
        proto::Repeats::Unspecified => {
            c.field("repeats").report("is missing: INQUIRY_LIKE, REFERENCED or ONCE_ONLY");
            Idempotency::NotIdempotent
        }
    };
    c.field("discard_s")
        .require(told.discard_s.is_none() || repeats == Idempotency::WithIdempotencyKey, || {
            "only a REFERENCED product's repeats are dropped: leave this out".into()
        });
    let part = |field: &str, value: Option<f64>, absent: f64| {
        c.field(field).in_range(value.unwrap_or(absent), 0.0..=1.0, "of the whole")
    };
    RequestClass {
        name: c.field("name").identifier(&told.name),
        share: c.field("share").in_range(told.share.unwrap_or(1.0), 0.0..=1_000.0, "parts of the txns"),
        work: work(&c.field("work"), told.work.as_ref()),
        latency_objective: ms(sla),
        timeout: ms(expiry),
        priority_weight: c.field("revenue").in_range(told.revenue.unwrap_or(1.0), 0.0..=1e6, "of revenue"),
        late_value: part("late_part", told.late_part, 0.0),
        idempotency: repeats,
        deduplication_window: Span::secs(c.field("discard_s").in_range(
            told.discard_s.unwrap_or(0.0),
            0.0..=600.0,
            "s",
        )),
        min_admitted: part("floor", told.floor, 0.1),
    }
}

fn work(c: &Validator, told: Option<&proto::Work>) -> Work {
    let Some(told) = told else {
        c.report("is missing: what a txn costs, from_ms to to_ms");
        return Work { from: 1.0, to: 1.0, costly_share: 0.0, costly_from: 1.0, costly_to: 1.0 };
    };
    let from = match told.from_ms {
        Some(from) => c.field("from_ms").in_range(from, 0.01..=LONGEST_MS, "ms of work"),
        None => {
            c.field("from_ms").report("is missing: what a txn costs at least, in ms of work");
            0.01
        }
    };
    let to = c.field("to_ms").in_range(told.to_ms.unwrap_or(from), from..=LONGEST_MS, "ms of work");
    let costly_share =
        c.field("costly_share").in_range(told.costly_share.unwrap_or(0.0), 0.0..=1.0, "of the txns");
    let costly_from =
        c.field("costly_from").in_range(told.costly_from.unwrap_or(1.0), 1.0..=1_000.0, "times the work");
    let costly_to = told.costly_to.unwrap_or(costly_from);
    let costly_to = c.field("costly_to").in_range(costly_to, costly_from..=1_000.0, "times the work");
    Work { from: from / 1e3, to: to / 1e3, costly_share, costly_from, costly_to }
}

fn clients(c: &Validator, told: &proto::Clients) -> Clients {
    let wait_from =
        c.field("wait_from_ms").in_range(told.wait_from_ms.unwrap_or(0.0), 0.0..=LONGEST_MS, "ms");
    let wait_to = told.wait_to_ms.unwrap_or(wait_from);
    let wait_to = c.field("wait_to_ms").in_range(wait_to, wait_from..=LONGEST_MS, "ms");
    let patient =
        c.field("patience_from").in_range(told.patience_from.unwrap_or(1.0), 0.05..=1.0, "of the expiry");
    let most =
        c.field("patience_to").in_range(told.patience_to.unwrap_or(1.0), patient..=1.0, "of the expiry");
    Clients {
        max_retries: c.field("again").count_in_range(told.again.unwrap_or(0), 0..=10, "tries more"),
        retry_wait: (ms(wait_from), ms(wait_to)),
        attempt_timeout_fraction: (patient, most),
    }
}

fn forwarding(c: &Validator, told: &proto::Forwarders) -> Proxies {
    let line = c.field("line_us").in_range(told.line_us.unwrap_or(0.0), 0.0..=10_000.0, "microseconds");
    Proxies {
        idle_timeout: Span::secs(c.field("idle_s").in_range(told.idle_s.unwrap_or(10.0), 0.1..=3_600.0, "s")),
        retries_unexecuted: told.again() != proto::Again::Never,
        apply_time_per_line: Span::secs(line / 1e6),
        initial_table_size: c.field("standing").count_in_range(
            told.standing.unwrap_or(12),
            1..=1_000,
            "nodes",
        ),
    }
}

fn supervisors(c: &Validator, told: &proto::Supervisors, longest: Span) -> ControlPlane {
    let time = |field: &str, value: Option<f64>, absent: f64, bounds: std::ops::RangeInclusive<f64>| {
        ms(c.field(field).in_range(value.unwrap_or(absent), bounds, "ms"))
    };
    let lines_per_s = told.lines_per_s.unwrap_or(15_000.0);
    let lines_per_s = c.field("lines_per_s").in_range(lines_per_s, 10.0..=1e7, "lines a second");
    let most_waiting = told.most_waiting.unwrap_or(lines_per_s);
    let cold_for = told.cold_for_s.unwrap_or(longest.as_secs());
    ControlPlane {
        instances: c.field("count").count_in_range(told.count.unwrap_or(1), 1..=64, "supervisors"),
        report_interval: time("report_every_ms", told.report_every_ms, 1_000.0, 100.0..=60_000.0),
        report_delay: time("report_late_ms", told.report_late_ms, 500.0, 0.0..=60_000.0),
        endpoint_list_delay: time("list_late_ms", told.list_late_ms, 2_000.0, 0.0..=LONGEST_MS),
        channel_rate: lines_per_s,
        message_overhead_lines: c.field("head_lines").in_range(
            told.head_lines.unwrap_or(10.0),
            0.0..=10_000.0,
            "lines",
        ),
        max_queued_lines: c.field("most_waiting").in_range(most_waiting, 10.0..=1e8, "lines"),
        message_delay: time("message_ms", told.message_ms, 150.0, 0.0..=60_000.0),
        drain_grace: time("drain_grace_ms", told.drain_grace_ms, 1_500.0, 100.0..=LONGEST_MS),
        slow_start_window: Span::secs(c.field("cold_for_s").in_range(cold_for, 0.0..=3_600.0, "s")),
        cross_zone_costs: told.crossing_costs.unwrap_or(true),
    }
}

fn goal(c: &Validator, told: &proto::Goal) -> Goal {
    let service = told.service.unwrap_or(0.95);
    let each = told.each_product.unwrap_or(0.0);
    Goal {
        service_level: c.field("service").in_range(service, 0.01..=1.0, "of the revenue"),
        class_service_level: c.field("each_product").in_range(each, 0.0..=1.0, "of the revenue"),
    }
}
