use super::*;
use tokio::task::JoinHandle;

/// A connection in the table, with the handles through which the table ends it.
struct Connection {
    slot: ConnectionSlot,
    task: JoinHandle<()>,
    closing: CancellationToken,
}

fn connect(table: &Rc<RefCell<ConnectionTable>>) -> Connection {
    let number = table.borrow_mut().allocate_number();
    let task = tokio::spawn(std::future::pending());
    let closing = CancellationToken::new();
    table.borrow_mut().insert(number, task.abort_handle(), closing.clone());
    Connection { slot: ConnectionSlot::new(number, table.clone()), task, closing }
}

fn table(max_connections: usize, zone_count: usize) -> Rc<RefCell<ConnectionTable>> {
    Rc::new(RefCell::new(ConnectionTable::new(max_connections, zone_count)))
}

#[tokio::test]
async fn the_oldest_unidentified_connection_is_aborted_rather_than_a_collector() {
    let table = table(3, 1);
    let collector = connect(&table);
    collector.slot.identify(0);
    let (oldest, newest) = (connect(&table), connect(&table));
    assert!(table.borrow().is_full());
    assert!(table.borrow_mut().abort_oldest());
    assert!(oldest.task.await.unwrap_err().is_cancelled());
    assert!(!collector.closing.is_cancelled() && !collector.task.is_finished());
    assert!(!newest.task.is_finished());
}

#[tokio::test(start_paused = true)]
async fn a_zone_with_too_many_collectors_closes_the_longest_silent_one() {
    let table = table(8, 2);
    let (first, second, other_zone) = (connect(&table), connect(&table), connect(&table));
    other_zone.slot.identify(1);
    first.slot.identify(0);
    second.slot.identify(0);
    tokio::time::advance(std::time::Duration::from_secs(1)).await;
    first.slot.record_activity();
    let third = connect(&table);
    third.slot.identify(0);
    let closing = [&first, &second, &third, &other_zone].map(|connection| connection.closing.is_cancelled());
    assert_eq!(closing, [false, true, false, false]);
}

#[tokio::test]
async fn dropping_a_slot_frees_it() {
    let table = table(1, 1);
    let connection = connect(&table);
    assert!(table.borrow().is_full());
    drop(connection.slot);
    assert!(!table.borrow().is_full());
    assert!(!table.borrow_mut().abort_oldest());
}

/// Guards against closing connections that nothing counts: each still holds a socket.
#[tokio::test]
async fn a_closing_connection_keeps_its_slot_and_is_the_first_to_be_aborted() {
    let table = table(3, 1);
    let (first, second, unidentified) = (connect(&table), connect(&table), connect(&table));
    first.slot.identify(0);
    second.slot.identify(0);
    assert!(first.closing.is_cancelled() && table.borrow().is_full());
    assert!(table.borrow_mut().abort_oldest());
    assert!(first.task.await.unwrap_err().is_cancelled());
    assert!(!second.task.is_finished() && !unidentified.task.is_finished());
    drop(first.slot);
    assert!(!table.borrow().is_full());
}
