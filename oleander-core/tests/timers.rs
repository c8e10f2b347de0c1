//! Order and cancellation of timers in the timer queue.

use oleander_core::time::Time;
use oleander_core::timers::TimerQueue;

#[test]
fn items_are_returned_in_order_of_due_time() {
    let mut queue = TimerQueue::new();
    queue.schedule(Time(30), "c");
    queue.schedule(Time(10), "a");
    queue.schedule(Time(10), "b");
    assert_eq!(queue.pop_due(Time(9)), None);
    assert_eq!(queue.pop_due(Time(10)), Some("a"));
    assert_eq!(queue.pop_due(Time(10)), Some("b"));
    assert_eq!(queue.pop_due(Time(10)), None);
    assert_eq!(queue.next_due(), Some(Time(30)));
}

#[test]
fn cancelled_items_are_not_returned() {
    let mut queue = TimerQueue::new();
    let id = queue.schedule(Time(10), "a");
    assert!(queue.cancel(id));
    assert!(!queue.cancel(id));
    assert_eq!(queue.next_due(), None);
    assert_eq!(queue.pop_due(Time(10)), None);
    assert!(queue.is_empty());
}
