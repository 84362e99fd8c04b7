use super::*;

/// Equations (2.8) and (2.9) of the paper: U never exceeds C_J + C_T, and the tokens that overflow are counted.
#[test]
fn tokens_follow_the_recursion() {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut bank = TokenBank { token_capacity: 7, buffer_capacity: 3, ..TokenBank::default() };
    let (mut u, mut expected_overflow, mut overflow) = (0, 0, 0.0);
    for _ in 0..2000 {
        let tokens = rng.i64(0..4);
        let next = (bank.token_capacity + bank.buffer_capacity).min(u + tokens);
        expected_overflow += tokens - (next - u);
        overflow += bank.add_tokens(tokens as f64);
        u = next;
        assert_eq!((bank.balance, overflow), (u, expected_overflow as f64));
        let job = rng.i64(1..3);
        if u >= job {
            u -= job;
            bank.balance -= job;
        }
    }
    assert!(expected_overflow > 0, "the stream must overflow the bank");
}
