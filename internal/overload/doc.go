// Package overload decides which submissions an entry daemon rejects because no
// plan can finish them in time. It does no I/O and reads no clock.
//
// The load it addresses: a queue's burst of five times its mean demand for about
// five seconds, which is more than its pool can hold. Without rejections, jobs were
// accepted and completed after any caller had given up on them.
//
// The leader computes a View of its pools: what they can do, what waits, and what
// arrives. Each entry daemon decides by the newest view and by what it has accepted
// itself since. The scheduler starts timely work before late work of its urgency, and
// small work before large work. A job is accepted if one of these holds:
//
//   - Capacity for its first steps may be idle.
//   - What is started before it, with the arrivals that go first, lets it meet its
//     objective.
//   - It will be late, but the pool can complete it and the accepted work of its urgency
//     and higher ones, beside the arrivals, within three times its objective.
//
// In a severe surge, in which small jobs alone fill the pool, late work gets no capacity.
// Capacity is therefore kept for accepted work: fewer jobs are expected to fit, and while
// an accepted job would otherwise come too late, only the smallest sizes are accepted, up
// to a share of the capacity. In lesser surges this would reject jobs that can be
// completed in time for the sake of late ones, which have little value.
//
// Without a view, or a fresh one, everything is accepted.
package overload
