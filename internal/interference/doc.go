// Package interference learns which images slow each other down on one machine. It is
// pure: package sched reports what ran beside what and how it went, and prefers runners
// where such images are apart.
//
// It answers tasks that take longer, and long-running tasks whose tail latency rises,
// because of what runs beside them. Which ones do is not declared, and changes.
//
// # Evidence
//
// An observation is the logarithm of how slow a task of an image was, with the amount of
// time for which each other image was beside it. For each image, and each other image
// seen beside it, a line is fitted by least squares: its slope is the effect of the pair,
// its intercept the base level of the image. Older observations count less and less. A
// pair is known once the slope is so many standard errors above zero that none of some
// hundred harmless pairs gets there by chance; unknown pairs count as harmless.
//
// Tasks of one step have their declared estimate in common, and one long-running task its
// load. Such observations count together as one. The tail latencies are taken relative to
// their present mean over the tasks of the image, so that a load that rises for all of
// them at once is no effect of a pair.
//
// The effects of known pairs are subtracted from later observations, so that what is
// often beside a disturbing image is not blamed with it, and a known pair is observed for
// its change. It expires when its effect has gone, and when it has not been observed for a
// while, since a pair that is kept apart shows nothing.
//
// Nothing is stored. A new leader knows no pair.
package interference
