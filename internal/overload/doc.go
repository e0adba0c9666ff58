// Package overload decides which submissions an entry daemon rejects because no
// plan can finish them in time. It does no I/O and reads no clock.
//
// The load it addresses: a queue's burst of five times its mean demand for about
// five seconds, which is more than its pool can hold. Without rejections, jobs were
// accepted and completed after any caller had given up on them.
//
// The leader computes a View of its pools: what they can do, what waits, and what
// arrives. Each entry daemon decides by the newest view and by what it has accepted
// itself since. A job is accepted if one of these holds:
//
//   - Capacity for its first steps is idle.
//   - It can start early enough to meet its objective, and all accepted work of its
//     rank can still be completed before it loses its value.
//   - The work before it and the arrivals of its rank leave capacity, so that it is
//     completed before it loses its value.
//
// The scheduler starts work of higher rank first and, within a rank, timely work
// before late work. During a surge a job that cannot start in time would therefore
// wait behind all later ones, which is why the third case counts the arrivals.
//
// Without a view, or a fresh one, everything is accepted.
package overload
