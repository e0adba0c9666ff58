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
//   - Capacity for its first steps may be idle.
//   - All accepted work of its urgency and higher ones can be started soon enough: the
//     job itself and all accepted jobs of its urgency can then be completed within three
//     times their objective, in whatever order the scheduler starts them.
//
// The scheduler starts timely work before late work. While more timely work keeps
// arriving than a pool can do, late work is not started at all. The second condition
// therefore holds only if no more jobs are accepted once it is no longer met, which is
// why it is checked for the accepted jobs and not only for the new one. A job that would
// be late is rejected at a lower load, since it would later keep timely ones out.
//
// Without a view, or a fresh one, everything is accepted.
package overload
