// Package share decides which jobs of a workspace are within its share under
// saturation: its weight, in jobs a second, with an allowance for bursts.
//
// It addresses one workspace that sends several times its usual rate, so that more
// work waits than the runners can do, while others stay within their weights.
//
// Each job gets a start tag when it is read, the later of its acceptance and the tag of
// the job before it plus the time that the weight allows for one job. It is beyond the
// share if its tag is later than its acceptance by more than the allowance. Such a job
// takes no tag: a workspace that sends too much has a part of its jobs within its share
// at any time, and they are the ones that were accepted last.
//
// The package does no I/O. Its state is one tag for each workspace, of no use after the
// allowance has passed, so that a new leader computes the same tags from the stored
// jobs.
package share
