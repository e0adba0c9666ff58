// Package estimate learns how long the tasks of a step run, and combines that with the
// estimate that the caller declared. It is pure: package sched says which ended runs
// are evidence, and uses the result for the order of jobs, the deadline class, slow
// runs and the demand of pools.
//
// It answers callers whose estimates are off by up to 90% in both directions: the
// smallest job is then not the one that is started first, jobs count as late that are
// not, and pools get too many or too few machines.
//
// # Learned run times
//
// A Table has one entry for each queue, step number and image. Each step that has
// mostly ended adds one sample, the median of its tasks, so that a job with many tasks
// counts once and a few tasks of many times the usual run time do not count. A declared
// estimate stays in use, unchanged, until more of the last samples than chance explains
// show it off by more than half, and again once less than a sixth do. In between, the
// declared and the learned value are weighted by the inverse square of the typical error
// that each has shown.
//
// # Siblings
//
// The tasks of one step take about the same time. Two or more that have ended, or that
// run longer than expected, say more of the others than the table; see Siblings.
//
// Nothing is stored. A new leader has an empty table, which returns declared estimates.
package estimate
