use super::BodyBudget;

#[test]
fn bodies_share_the_budget_and_give_it_back() {
    let budget = BodyBudget::new(100);
    let mut first = budget.begin();
    let mut second = budget.begin();
    assert!(first.grow(60) && second.grow(40));
    assert!(!second.grow(1), "nothing is left");
    assert_eq!((first.bytes(), second.bytes()), (60, 40));
    drop(first);
    assert!(second.grow(60) && !second.grow(1));
    drop(second);
    assert!(budget.begin().grow(100));
}
